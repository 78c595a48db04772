//! Searches for entries by agents that no entry answers, in simulated time.

use parsleyspool_core::agent::{
    EntrySilence, MEMBERS_PACE, SETTINGS_PACE, SearchPace, SearchSchedule, SearchStep,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Time between two steps of a schedule, as in the daemon.
const STEP: Duration = Duration::from_millis(200);
/// Most heartbeats per second at an entry, by the settings of the deploy file.
const HEARTBEATS_PER_SECOND: u32 = 150;
/// Shortest heartbeat interval, by the settings of the deploy file.
const MIN_INTERVAL: Duration = Duration::from_millis(300);
/// Reads of the log in one search: one that finds the first records expired, and one more.
const READS_PER_SEARCH: usize = 2;
/// Reads per second that the log allows to all processes of the smallest deployment.
const READS_PER_SECOND: usize = 2_000;

/// Heartbeat interval that an entry asks `agents` for.
fn heartbeat_interval(agents: u32) -> Duration {
    (Duration::from_secs(1) * agents / HEARTBEATS_PER_SECOND).max(MIN_INTERVAL)
}

/// Times of the searches of one agent in `time` after its entries fell silent. `interval` is that of
/// the latest answer; `None` if the agent has had none.
fn search_times(
    pace: SearchPace,
    interval: Option<Duration>,
    time: Duration,
    random: &mut ChaCha8Rng,
) -> Vec<Duration> {
    let mut silence = EntrySilence::default();
    let mut schedule = SearchSchedule::new(pace);
    let mut now = Duration::ZERO;
    if let Some(interval) = interval {
        // Heartbeats of the agents are spread over the interval.
        let answered_at = interval.mul_f64(random.random());
        silence.record_answer(interval, answered_at);
        now = answered_at + interval;
    }
    silence.record_failure(now);
    let mut times = Vec::new();
    while now < time {
        if schedule.step(&silence, random.random(), now) == SearchStep::Search {
            times.push(now);
        }
        now += STEP;
    }
    times
}

/// Largest number of searches in one second by `agents` that lose their entries at the same moment,
/// and that had the heartbeat `interval` before.
fn peak_searches(agents: u32, interval: Option<Duration>, time: Duration) -> usize {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut by_second = vec![0; time.as_secs() as usize + 1];
    for _ in 0..agents {
        for at in search_times(MEMBERS_PACE, interval, time, &mut random) {
            by_second[at.as_secs() as usize] += 1;
        }
    }
    by_second.into_iter().max().unwrap_or(0)
}

/// Load pattern: every agent loses all entries at the same moment, in deployments of any size.
#[test]
fn agents_that_search_together_stay_within_the_reads_of_the_smallest_deployment() {
    for agents in [11, 58, 300, 7_800] {
        let interval = Some(heartbeat_interval(agents));

        let peak = peak_searches(agents, interval, Duration::from_secs(120));
        let peak_at_start = peak_searches(agents, None, Duration::from_secs(120));

        println!(
            "agents={agents} peak_reads_per_second={} at_start={}",
            peak * READS_PER_SEARCH,
            peak_at_start * READS_PER_SEARCH
        );
        assert!(peak * READS_PER_SEARCH <= READS_PER_SECOND / 2, "{agents} agents: {peak}");
    }
}

/// Failure (review/11): agents never find the entries again after all of them were replaced.
#[test]
fn an_agent_searches_until_an_entry_answers() {
    let time = Duration::from_secs(3600);
    let longest_gap = Duration::from_secs(5);
    for (pace, interval) in [(SETTINGS_PACE, None), (MEMBERS_PACE, Some(MIN_INTERVAL))] {
        let mut random = ChaCha8Rng::seed_from_u64(1);

        let times = search_times(pace, interval, time, &mut random);

        assert!(times[0] <= Duration::from_secs(2), "{:?}", times[0]);
        assert!(times.windows(2).all(|pair| pair[1] - pair[0] <= longest_gap));
        assert!(times.last().is_some_and(|last| time - *last <= longest_gap));
    }
}

#[test]
fn an_agent_that_one_of_its_entries_answers_does_not_search() {
    let mut silence = EntrySilence::default();
    let mut schedule = SearchSchedule::new(MEMBERS_PACE);
    let mut steps = Vec::new();

    for tick in 0..600 {
        let now = STEP * tick;
        silence.record_failure(now);
        if tick % 20 == 0 {
            silence.record_answer(Duration::from_secs(4), now);
        }
        steps.push(schedule.step(&silence, 0.0, now));
    }

    assert!(steps.iter().all(|step| *step == SearchStep::Wait));
}

#[test]
fn a_search_after_a_later_silence_begins_as_the_first_did() {
    let mut silence = EntrySilence::default();
    let mut schedule = SearchSchedule::new(SETTINGS_PACE);
    silence.record_failure(Duration::ZERO);
    let first = schedule.step(&silence, 0.0, SETTINGS_PACE.first_after);

    silence.record_answer(Duration::ZERO, Duration::from_secs(9));
    let answered = schedule.step(&silence, 0.0, Duration::from_secs(9));
    silence.record_failure(Duration::from_secs(10));
    let early = schedule.step(&silence, 0.0, Duration::from_secs(10));
    let due = schedule.step(&silence, 0.0, Duration::from_secs(10) + SETTINGS_PACE.first_after);

    let steps = [first, answered, early, due];
    let (search, wait) = (SearchStep::Search, SearchStep::Wait);
    assert_eq!(steps, [search, wait, wait, search]);
}
