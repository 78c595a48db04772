//! What an entry states of the latest confirmation of its configuration by the log.

use super::fixtures::{at, entry, report, submit_job, task};
use parsleyspool_core::entry::{EntryAction, EntryEvent, EntryLimits, EntryMachine};
use parsleyspool_core::freshness::{PeerReport, VersionConfirmation};
use std::time::Duration;

/// Reading of the agent's clock in its only heartbeat, which arrives at [`HEARTBEAT_MS`].
const AGENT_CLOCK: Duration = Duration::from_secs(100);
const HEARTBEAT_MS: u64 = 5;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Entry that goes on without the log, which confirmed its configuration at 0 s for the last time.
fn unconfirmed_entry() -> EntryMachine {
    let limits = EntryLimits { serves_unconfirmed: true, ..EntryLimits::default() };
    let mut machine = entry(limits);
    machine.handle(EntryEvent::Heartbeat(report(1, 0, 0)), at(HEARTBEAT_MS));
    machine
}

fn confirmed_age(machine: &mut EntryMachine, now_ms: u64) -> Option<Duration> {
    machine.handle(EntryEvent::Tick, at(now_ms));
    machine.directive(&report(2, 0, 0), at(now_ms)).confirmed_age
}

/// Failure (review/12): the directives of an entry that is cut off from the log look like those of one
/// that reads it.
#[test]
fn a_directive_states_the_age_of_the_latest_confirmation_however_old() {
    let mut machine = unconfirmed_entry();

    let fresh = confirmed_age(&mut machine, 2_000);
    let old = confirmed_age(&mut machine, 600_000);
    machine.handle(
        EntryEvent::ConfigFetched { snapshot: None, requested_at: seconds(601) },
        at(602_000),
    );
    let confirmed = confirmed_age(&mut machine, 602_500);

    assert_eq!(fresh, Some(seconds(2)));
    assert_eq!(old, Some(seconds(600)));
    assert_eq!(confirmed, Some(Duration::from_millis(1_500)));
}

#[test]
fn a_confirmation_relayed_by_another_entry_counts() {
    let mut machine = unconfirmed_entry();
    let peer = PeerReport {
        entry: "e-2".into(),
        version: 1,
        is_voter: true,
        confirmed_age: Some(seconds(1)),
    };

    machine.handle(
        EntryEvent::PeerReported {
            report: peer,
            team_load: Default::default(),
            requested_at: seconds(599),
        },
        at(599_500),
    );

    assert_eq!(confirmed_age(&mut machine, 600_000), Some(seconds(2)));
}

/// Load pattern: heartbeats are rarer than an agent needs a confirmation, so each start carries one.
#[test]
fn a_start_states_the_latest_confirmation_on_the_clock_of_the_agent() {
    let mut machine = unconfirmed_entry();

    let actions = submit_job(&mut machine, 1, vec![task(None)], 2_000);

    let stated = actions.into_iter().find_map(|action| match action {
        EntryAction::Start { request, .. } => request.confirmation,
        _ => None,
    });
    let told_at = AGENT_CLOCK + Duration::from_millis(2_000 - HEARTBEAT_MS);
    assert_eq!(stated, Some(VersionConfirmation { told_at, told_age: seconds(2) }));
}
