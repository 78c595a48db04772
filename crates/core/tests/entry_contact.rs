//! Contact of an agent with its entries after all processes have stopped at once.

use parsleyspool_core::agent::{ConnectPatience, EntryContact};
use std::time::Duration;

/// Time that a brief attempt waits for a connection.
const BRIEF_CONNECT_TIME: Duration = Duration::from_millis(150);

/// Time from the start of the agent until it reaches an entry that starts `delay` later and drops
/// the packets of every attempt that began before.
fn contact_time(delay: Duration) -> Duration {
    let mut contact = EntryContact::default();
    let mut now = Duration::ZERO;
    while now < delay {
        assert_eq!(contact.patience(), ConnectPatience::Brief);
        now += BRIEF_CONNECT_TIME;
        now += contact.record_failure();
    }
    now
}

/// Load pattern: machines lose power and start again within half a second of each other.
#[test]
fn an_entry_that_starts_after_its_agents_is_reached_at_once() {
    let delays = (0..=500).step_by(10).map(Duration::from_millis);

    let longest_wait = delays.map(|delay| contact_time(delay) - delay).max();

    assert!(longest_wait < Some(Duration::from_millis(200)), "{longest_wait:?}");
}

/// Load pattern: connections to the entry take longer than a brief attempt.
#[test]
fn an_entry_behind_a_slow_link_keeps_its_connection() {
    let mut contact = EntryContact::default();
    let mut attempts = 0;
    while contact.patience() == ConnectPatience::Brief {
        contact.record_failure();
        attempts += 1;
    }

    contact.record_answer();

    assert_eq!(contact.patience(), ConnectPatience::Patient);
    assert!(attempts < 10, "{attempts}");
}

#[test]
fn an_entry_that_is_gone_is_tried_at_the_usual_rate() {
    let mut contact = EntryContact::default();

    let delays: Vec<Duration> = (0..20).map(|_| contact.record_failure()).collect();

    assert!(delays.windows(2).all(|pair| pair[0] <= pair[1]));
    assert_eq!(delays.last(), Some(&Duration::from_millis(250)));
}
