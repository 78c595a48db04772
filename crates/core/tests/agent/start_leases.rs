//! Run leases that starts grant, and when heartbeats renew them.

use super::{at, count_runs, count_stops};
use super::{leased_agent, millis, one_slot, renew_lease, send_start, start_request};
use parsleyspool_core::agent::AgentEvent;
use parsleyspool_core::entry::StartRequest;

/// Start that grants a lease until `until_ms`.
fn leasing_start(index: u32, until_ms: u64) -> StartRequest {
    StartRequest { run_lease_until: Some(millis(until_ms)), ..start_request(index, 1, one_slot()) }
}

/// Failure (review/3): with many agents the heartbeats of each become rare, so a task could start only
/// under a lease that spans several of them, and outlasts the time after which callers submit again.
#[test]
fn a_start_grants_the_lease_of_its_task() {
    let mut agent = leased_agent();

    let started = send_start(&mut agent, leasing_start(0, 910), 10);
    let before = agent.handle(AgentEvent::Tick, at(909));
    let after = agent.handle(AgentEvent::Tick, at(911));

    assert_eq!(count_runs(&started), 1);
    assert_eq!((count_stops(&before), count_stops(&after)), (0, 1));
}

#[test]
fn a_start_does_not_shorten_a_lease() {
    let mut agent = leased_agent();
    send_start(&mut agent, leasing_start(0, 910), 10);

    send_start(&mut agent, leasing_start(1, 500), 20);
    let ticked = agent.handle(AgentEvent::Tick, at(600));

    assert_eq!(count_stops(&ticked), 0);
}

/// Failure: a late start renews the lease of a run whose entry takes it for ended.
#[test]
fn a_start_does_not_renew_the_lease_of_a_run_after_its_end() {
    let mut agent = leased_agent();
    send_start(&mut agent, leasing_start(0, 910), 10);

    let late = send_start(&mut agent, leasing_start(1, 2_000), 1_100);

    assert_eq!(count_stops(&late), 1);
}

/// Failure: the tasks of an entry whose other heartbeats are rare end with their first lease.
#[test]
fn the_lease_of_a_task_is_due_for_renewal_well_before_its_end() {
    let mut agent = leased_agent();
    renew_lease(&mut agent, 0);
    assert_eq!(agent.renewal_due("e"), None);

    send_start(&mut agent, leasing_start(0, 1_000), 100);

    // The directive grants 0.9 s and asks for a renewal after 0.3 s.
    assert_eq!(agent.renewal_due("e"), Some(millis(1_000 - 600)));
    assert_eq!(agent.renewal_due("other"), None);
}
