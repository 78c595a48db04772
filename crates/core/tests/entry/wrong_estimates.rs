//! Estimates of run times that are wrong, or were right before: an entry refuses nothing for good by
//! them.

use super::fixtures::entry;
use super::job_stream::{StreamOutcome, StreamedJob, every, play};
use parsleyspool_core::entry::{EntryLimits, EntryMachine};

/// Job of 60 ms that declares so.
const SHORT: StreamedJob =
    StreamedJob { at_ms: 0, declared_ms: 60, actual_ms: 60, deadline_ms: 1_500 };
/// Job of 3.6 s that declares so, under a deadline that it can meet.
const LONG: StreamedJob =
    StreamedJob { at_ms: 0, declared_ms: 3_600, actual_ms: 3_600, deadline_ms: 8_000 };
/// Time between two jobs.
const INTERVAL_MS: u64 = 400;
const COUNT: u64 = 60;

fn idle_entry() -> EntryMachine {
    entry(EntryLimits::default())
}

/// Failure (review/6): the first job declares 60 times its run time, and every later one is refused.
#[test]
fn one_declaration_that_is_far_too_long_does_not_stop_later_jobs() {
    let overstated = StreamedJob { at_ms: 10, declared_ms: 3_600, deadline_ms: 8_000, ..SHORT };
    let mut jobs = vec![overstated];
    jobs.extend(every(INTERVAL_MS, COUNT, StreamedJob { at_ms: 1_001, ..SHORT }));

    let outcome = play(&mut idle_entry(), &jobs);

    assert_eq!(outcome.served.len(), jobs.len());
}

/// Failure: the mean of long jobs, all declared truly, refuses every short one on an idle server.
#[test]
fn short_jobs_are_served_after_long_ones_of_their_kind() {
    for long_count in [1, 3] {
        let mut jobs = every(INTERVAL_MS, long_count, StreamedJob { at_ms: 10, ..LONG });
        jobs.extend(every(INTERVAL_MS, COUNT, StreamedJob { at_ms: 5_001, ..SHORT }));

        let outcome = play(&mut idle_entry(), &jobs);

        assert_eq!(outcome.served.len(), jobs.len(), "after {long_count} long jobs");
    }
}

/// Failure: what was measured while all servers were slow refuses every job for good afterwards.
#[test]
fn jobs_are_served_after_a_spell_of_slow_servers() {
    for declared_ms in [0, 60, 3_600] {
        let ordinary = StreamedJob { declared_ms, ..SHORT };
        let mut jobs = every(INTERVAL_MS, COUNT, StreamedJob { at_ms: 10, ..ordinary });
        let slow = StreamedJob { actual_ms: 3_600, deadline_ms: 8_000, ..ordinary };
        jobs.extend(every(200, 30, StreamedJob { at_ms: 25_001, ..slow }));
        jobs.extend(every(INTERVAL_MS, COUNT, StreamedJob { at_ms: 36_003, ..ordinary }));

        let outcome = play(&mut idle_entry(), &jobs);

        assert_eq!(outcome.served_from(36_003), COUNT as usize, "declaring {declared_ms} ms");
    }
}

/// Failure: a kind of request whose callers all declare too much is never run, and never measured.
#[test]
fn a_kind_of_request_that_always_declares_too_much_is_served() {
    let overstated = StreamedJob { at_ms: 10, declared_ms: 3_600, ..SHORT };

    let outcome = play(&mut idle_entry(), &every(INTERVAL_MS, COUNT, overstated));

    assert_eq!(outcome.served.len(), COUNT as usize);
}

/// Failure: a job that cannot be served in time waits until its deadline, as every test of that is
/// admitted.
#[test]
fn jobs_that_declare_that_they_cannot_be_served_are_refused_but_for_a_few() {
    let hopeless = StreamedJob { at_ms: 10, deadline_ms: 1_500, ..LONG };
    let jobs = every(100, 600, hopeless);

    let outcome = play(&mut idle_entry(), &jobs);

    assert_few_wait_in_vain(&outcome, &jobs);
}

/// The same for jobs that declare too little or nothing, of a kind whose run times are measured.
#[test]
fn jobs_that_are_known_not_to_be_served_in_time_are_refused_but_for_a_few() {
    for declared_ms in [0, 60] {
        let served = StreamedJob { at_ms: 10, declared_ms, ..LONG };
        let hopeless = StreamedJob { at_ms: 4_001, deadline_ms: 1_500, ..served };
        let jobs = every(100, 600, hopeless);
        let mut all = jobs.clone();
        all.extend(every(500, 120, served));

        let outcome = play(&mut idle_entry(), &all);

        assert_few_wait_in_vain(&outcome, &jobs);
    }
}

/// At most one of `jobs` waits in vain in each delay between two tests of 1, 2, 4 and 4 s, and so on.
fn assert_few_wait_in_vain(outcome: &StreamOutcome, jobs: &[StreamedJob]) {
    let is_refused = |job: &&StreamedJob| outcome.refused_at_once.contains(&job.at_ms);
    let refused = jobs.iter().filter(is_refused).count();
    assert!(jobs.iter().all(|job| !outcome.served.contains(&job.at_ms)));
    assert!(refused >= jobs.len() - 16, "{refused} of {} jobs were refused at once", jobs.len());
}
