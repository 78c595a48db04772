//! Results of a schedule: visited states, counters, violations and transcript.

use super::SimulatedCluster;
use parsleyspool_core::checker::{GracePeriods, InvariantViolation, ObservedEvent, check};
use parsleyspool_core::timeline::EventKind;
use std::fmt;
use std::fmt::Write as _;

/// Counters of one or more schedules.
#[derive(Debug, Default, Clone, Copy)]
pub struct ClusterCounters {
    pub submissions: usize,
    pub starts: usize,
    pub complete: usize,
    pub refused: usize,
    pub failed: usize,
    pub crashes: usize,
    pub lost: usize,
    pub duplicated: usize,
    /// Times that an entry became overloaded.
    pub overloads: usize,
}

impl ClusterCounters {
    pub fn add(&mut self, other: &Self) {
        self.submissions += other.submissions;
        self.starts += other.starts;
        self.complete += other.complete;
        self.refused += other.refused;
        self.failed += other.failed;
        self.crashes += other.crashes;
        self.lost += other.lost;
        self.duplicated += other.duplicated;
        self.overloads += other.overloads;
    }
}

impl fmt::Display for ClusterCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "submissions={} starts={} complete={} refused={} failed={} crashes={} lost={} duplicated={} \
             overloads={}",
            self.submissions,
            self.starts,
            self.complete,
            self.refused,
            self.failed,
            self.crashes,
            self.lost,
            self.duplicated,
            self.overloads
        )
    }
}

impl SimulatedCluster {
    pub fn visited_states(&self) -> impl Iterator<Item = u64> + '_ {
        self.visited_states.iter().copied()
    }

    pub fn counters(&self) -> ClusterCounters {
        let report = check(&self.events, GracePeriods::default());
        let is_entered =
            |observed: &&ObservedEvent| observed.event.kind == EventKind::OverloadEntered;
        let overloads = self.events.iter().filter(is_entered).count();
        let (submissions, starts) = (report.submissions, report.starts);
        ClusterCounters { submissions, starts, overloads, ..self.counters }
    }

    pub fn violations(&self) -> Vec<InvariantViolation> {
        let mut violations = check(&self.events, GracePeriods::default()).violations;
        let answer_violations =
            self.answer_violations.iter().map(|(invariant, text)| InvariantViolation {
                invariant: *invariant,
                process: "cluster".into(),
                stamp: parsleyspool_core::time::HybridTimestamp::default(),
                text: text.clone(),
            });
        violations.extend(answer_violations);
        violations
    }

    /// Events of all processes in time order, one per line, with the simulated time in
    /// milliseconds.
    pub fn transcript(&self) -> String {
        let mut events: Vec<&ObservedEvent> = self.events.iter().collect();
        events.sort_by_key(|observed| observed.event.stamp);
        let mut transcript = String::new();
        for observed in events {
            let millis = observed.event.stamp.wall_us / 1000 - 1_000_000_000;
            let _ = writeln!(transcript, "{millis} {} {}", observed.process, observed.event);
        }
        transcript
    }
}
