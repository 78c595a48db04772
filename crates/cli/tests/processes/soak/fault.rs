//! How each fault is carried out, and the changes of an operator among them.

use super::load::SoakCallers;
use super::plan::SoakFault;
use super::stage::SoakStage;
use crate::operator::{first_changes, put_service, send_change};
use crate::surroundings::DOMAINS;
use parsleyspool_standins::backend::BackendModel;
use parsleyspool_standins::log::LogFaults;
use parsleyspool_wire::operator::ChangeOutcomeBody;
use parsleyspool_wire::settings::{ChangeWire, DomainAvailabilityWire};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time after the acceptance of a take-out within which the last task starts there.
const FEW_SECONDS: Duration = Duration::from_secs(5);
/// Time for which it is watched that none starts.
const WATCHED: Duration = Duration::from_secs(2);
/// Times that a change is sent while the first configuration is made.
const CHANGE_TRIES: usize = 20;

/// Carries `fault` out until its end.
pub async fn strike(stage: &SoakStage, callers: &SoakCallers, fault: SoakFault) {
    match fault {
        SoakFault::Kill(role, down) => stage.kill(role, down).await,
        SoakFault::Freeze(role, time) => stage.freeze(role, time).await,
        SoakFault::Stop(role) => stage.stop(role).await,
        SoakFault::Hold(link, direction, time) => {
            stage.link(link).set_paused(Some(direction));
            tokio::time::sleep(time).await;
            stage.link(link).set_paused(None);
        }
        SoakFault::Delay(link, delay, time) => {
            stage.link(link).set_delay(delay);
            tokio::time::sleep(time).await;
            stage.link(link).set_delay(Duration::ZERO);
        }
        SoakFault::Reset(link) => stage.link(link).reset_connections(),
        SoakFault::Silence(link, direction) => stage.link(link).discard_traffic(direction),
        SoakFault::LogAway(time) => {
            harm_log(stage, LogFaults { is_unavailable: true, ..LogFaults::default() }, time).await;
        }
        SoakFault::LogSlow(delay, time) => {
            harm_log(stage, LogFaults { delay, ..LogFaults::default() }, time).await;
        }
        SoakFault::LogDeaf(time) => {
            harm_log(stage, LogFaults { loses_answers: true, ..LogFaults::default() }, time).await;
        }
        SoakFault::BackendSlow(index, slowdown, time) => {
            let model = BackendModel { slowdown, ..BackendModel::default() };
            harm_backend(stage, index, model, time).await;
        }
        SoakFault::BackendFails(index, time) => {
            let model = BackendModel { fails_all: true, ..BackendModel::default() };
            harm_backend(stage, index, model, time).await;
        }
        SoakFault::DomainOut(domain) => take_out(stage, domain).await,
        SoakFault::ServiceChange => {
            change(stage, put_service(Duration::from_secs(9))).await;
        }
        SoakFault::ClockJump(lead, time) => {
            callers.lead.store(lead, Ordering::SeqCst);
            tokio::time::sleep(time).await;
            callers.lead.store(0, Ordering::SeqCst);
        }
    }
}

async fn harm_log(stage: &SoakStage, faults: LogFaults, time: Duration) {
    stage.log.set_faults(faults);
    tokio::time::sleep(time).await;
    stage.log.set_faults(LogFaults::default());
}

async fn harm_backend(stage: &SoakStage, index: usize, model: BackendModel, time: Duration) {
    let backend = &stage.agents[index].backend;
    backend.set_model(model);
    tokio::time::sleep(time).await;
    backend.set_model(BackendModel::default());
}

/// Takes a failure domain out of service, watches that nothing starts there, and takes it back.
async fn take_out(stage: &SoakStage, domain: usize) {
    let _held = stage.domain_order.lock().await;
    let order = |availability| ChangeWire::SetDomainAvailability {
        domain: format!("domain-{}", domain + 1),
        availability,
    };
    if change(stage, order(DomainAvailabilityWire::OutOfService)).await {
        tokio::time::sleep(FEW_SECONDS).await;
        let before = starts_in(stage, domain);
        tokio::time::sleep(WATCHED).await;
        let after = starts_in(stage, domain);
        if before != after {
            let text = format!("domain {domain} is out and saw {} starts", after - before);
            stage.record.breach(text);
        }
    }
    change(stage, order(DomainAvailabilityWire::InService)).await;
}

fn starts_in(stage: &SoakStage, domain: usize) -> u32 {
    let agents = stage.agents.iter().skip(domain).step_by(DOMAINS);
    agents.flat_map(|agent| agent.backend.starts()).map(|(_, count)| count).sum()
}

/// Makes the first configuration.
pub async fn configure(stage: &SoakStage) {
    for wanted in first_changes(stage.entries.len()) {
        let mut tries = 0;
        while !change(stage, wanted.clone()).await {
            tries += 1;
            assert!(tries < CHANGE_TRIES, "{wanted:?} is never accepted");
        }
    }
}

/// Sends a change to one entry after the other until one accepts it; returns whether one did.
async fn change(stage: &SoakStage, change: ChangeWire) -> bool {
    for entry in 0..stage.entries.len() {
        let outcome = send_change(&stage.client, stage.operators(entry), change.clone()).await;
        if matches!(outcome, Some(ChangeOutcomeBody::Accepted { .. })) {
            return true;
        }
    }
    false
}
