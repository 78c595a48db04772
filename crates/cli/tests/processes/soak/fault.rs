//! Injects the faults into a cluster; some of them are configuration changes.

use super::cluster::SoakCluster;
use super::fault_schedule::SoakFault;
use super::load::LoadControl;
use crate::environment::DOMAINS;
use crate::operator::{initial_changes, put_service, send_change};
use parsleyspool_standins::backend::BackendModel;
use parsleyspool_standins::log::LogFaults;
use parsleyspool_wire::config::{ChangeWire, DomainAvailabilityWire};
use parsleyspool_wire::operator::ChangeOutcomeBody;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time within which the last task starts in a failure domain, measured from the acceptance of the
/// change that takes it out of service.
const LAST_START_BOUND: Duration = Duration::from_secs(5);
/// Time after [`LAST_START_BOUND`] in which no task may start there.
const OBSERVATION_TIME: Duration = Duration::from_secs(2);
/// Maximum number of attempts to send each change of the initial configuration.
const MAX_CHANGE_ATTEMPTS: usize = 20;

/// Injects `fault` and returns when it has ended.
pub async fn inject(cluster: &SoakCluster, control: &LoadControl, fault: SoakFault) {
    match fault {
        SoakFault::Kill(role, downtime) => cluster.kill(role, downtime).await,
        SoakFault::Freeze(role, time) => cluster.freeze(role, time).await,
        SoakFault::Stop(role) => cluster.stop(role).await,
        SoakFault::Hold(link, direction, time) => {
            cluster.proxy_of(link).set_paused(Some(direction));
            tokio::time::sleep(time).await;
            cluster.proxy_of(link).set_paused(None);
        }
        SoakFault::Delay(link, delay, time) => {
            cluster.proxy_of(link).set_delay(delay);
            tokio::time::sleep(time).await;
            cluster.proxy_of(link).set_delay(Duration::ZERO);
        }
        SoakFault::Reset(link) => cluster.proxy_of(link).reset_connections(),
        SoakFault::Silence(link, direction) => cluster.proxy_of(link).discard_traffic(direction),
        SoakFault::LogAway(time) => {
            apply_log_faults(
                cluster,
                LogFaults { is_unavailable: true, ..LogFaults::default() },
                time,
            )
            .await;
        }
        SoakFault::LogSlow(delay, time) => {
            apply_log_faults(cluster, LogFaults { delay, ..LogFaults::default() }, time).await;
        }
        SoakFault::LogDeaf(time) => {
            apply_log_faults(
                cluster,
                LogFaults { loses_answers: true, ..LogFaults::default() },
                time,
            )
            .await;
        }
        SoakFault::BackendSlow(index, slowdown, time) => {
            let model = BackendModel { slowdown, ..BackendModel::default() };
            apply_backend_model(cluster, index, model, time).await;
        }
        SoakFault::BackendFails(index, time) => {
            let model = BackendModel { fails_all: true, ..BackendModel::default() };
            apply_backend_model(cluster, index, model, time).await;
        }
        SoakFault::DomainOut(domain) => take_domain_out(cluster, domain).await,
        SoakFault::ServiceChange => {
            send_to_any(cluster, put_service(Duration::from_secs(9))).await;
        }
        SoakFault::ClockJump(clock_lead, time) => {
            control.clock_lead.store(clock_lead, Ordering::SeqCst);
            tokio::time::sleep(time).await;
            control.clock_lead.store(0, Ordering::SeqCst);
        }
    }
}

async fn apply_log_faults(cluster: &SoakCluster, faults: LogFaults, time: Duration) {
    cluster.log.set_faults(faults);
    tokio::time::sleep(time).await;
    cluster.log.set_faults(LogFaults::default());
}

async fn apply_backend_model(
    cluster: &SoakCluster,
    index: usize,
    model: BackendModel,
    time: Duration,
) {
    let backend = &cluster.agents[index].backend;
    backend.set_model(model);
    tokio::time::sleep(time).await;
    backend.set_model(BackendModel::default());
}

/// Takes a failure domain out of service, checks that no task starts there, and brings it back.
async fn take_domain_out(cluster: &SoakCluster, domain: usize) {
    let _guard = cluster.domain_out_lock.lock().await;
    let change = |availability| ChangeWire::SetDomainAvailability {
        domain: format!("domain-{}", domain + 1),
        availability,
    };
    if send_to_any(cluster, change(DomainAvailabilityWire::OutOfService)).await {
        tokio::time::sleep(LAST_START_BOUND).await;
        let before = starts_in(cluster, domain);
        tokio::time::sleep(OBSERVATION_TIME).await;
        let after = starts_in(cluster, domain);
        if before != after {
            let text =
                format!("domain {domain} is out of service but started {} tasks", after - before);
            cluster.record.add_violation(text);
        }
    }
    send_to_any(cluster, change(DomainAvailabilityWire::InService)).await;
}

fn starts_in(cluster: &SoakCluster, domain: usize) -> u32 {
    let agents = cluster.agents.iter().skip(domain).step_by(DOMAINS);
    agents.flat_map(|agent| agent.backend.starts()).map(|(_, count)| count).sum()
}

/// Sends each change of the initial configuration until it is accepted.
pub async fn configure(cluster: &SoakCluster) {
    for change in initial_changes(cluster.entries.len()) {
        let mut attempts = 0;
        while !send_to_any(cluster, change.clone()).await {
            attempts += 1;
            assert!(attempts < MAX_CHANGE_ATTEMPTS, "{change:?} is never accepted");
        }
    }
}

/// Sends a change to the entries in order until one accepts it; returns whether one did.
async fn send_to_any(cluster: &SoakCluster, change: ChangeWire) -> bool {
    for entry in 0..cluster.entries.len() {
        let outcome =
            send_change(&cluster.client, cluster.operator_address(entry), change.clone()).await;
        if matches!(outcome, Some(ChangeOutcomeBody::Accepted { .. })) {
            return true;
        }
    }
    false
}
