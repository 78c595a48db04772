//! The time by which the runs at an agent must be over.

use super::{
    answer_heartbeat, at, leased_agent, millis, one_slot, renew_lease, send_start, start_request,
};
use parsleyspool_core::agent::{AgentEvent, AgentMachine};

/// `stop_grace` of the default limits.
const GRACE_MS: u64 = 300;

/// Agent with a run in progress, under a lease until 1,000 ms.
fn agent_with_run() -> AgentMachine {
    let mut agent = leased_agent();
    renew_lease(&mut agent, 100);
    send_start(&mut agent, start_request(0, 1, one_slot()), 110);
    agent
}

#[test]
fn an_agent_without_runs_has_no_run_deadline() {
    let mut agent = leased_agent();
    renew_lease(&mut agent, 100);

    assert_eq!(agent.run_deadline(), None);
}

/// Failure: nothing ends a run by a certain time if its entry dies, and then its agent.
#[test]
fn a_run_must_be_over_soon_after_the_lease_of_its_entry() {
    let mut agent = agent_with_run();
    assert_eq!(agent.run_deadline(), Some(millis(1_000 + GRACE_MS)));

    renew_lease(&mut agent, 400);

    assert_eq!(agent.run_deadline(), Some(millis(1_300 + GRACE_MS)));
}

/// Failure: the stop of a cancelled run is lost again and again, while its entry renews the lease.
#[test]
fn a_run_must_be_over_soon_after_its_cancellation() {
    let mut agent = agent_with_run();
    let task = start_request(0, 1, one_slot()).task;

    agent.handle(AgentEvent::Cancel { task }, at(200));
    renew_lease(&mut agent, 400);

    assert_eq!(agent.run_deadline(), Some(millis(200 + GRACE_MS)));
}

#[test]
fn a_run_must_be_over_soon_after_its_submission_has_ended() {
    let mut agent = agent_with_run();
    let submission = start_request(0, 1, one_slot()).task.submission;

    answer_heartbeat(&mut agent, 400, vec![submission]);

    assert_eq!(agent.run_deadline(), Some(millis(400 + GRACE_MS)));
}
