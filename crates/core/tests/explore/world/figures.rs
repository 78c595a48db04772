//! What a world shows of itself: its states, counts, breaches and story.

use super::World;
use parsleyspool_core::checker::{GracePeriods, InvariantViolation, ObservedEvent, check};
use std::fmt;
use std::fmt::Write as _;

/// Figures of one or more worlds.
#[derive(Debug, Default, Clone, Copy)]
pub struct WorldFigures {
    pub submissions: usize,
    pub starts: usize,
    pub complete: usize,
    pub refused: usize,
    pub failed: usize,
    pub crashes: usize,
    pub lost: usize,
    pub doubled: usize,
}

impl WorldFigures {
    pub fn add(&mut self, other: &Self) {
        self.submissions += other.submissions;
        self.starts += other.starts;
        self.complete += other.complete;
        self.refused += other.refused;
        self.failed += other.failed;
        self.crashes += other.crashes;
        self.lost += other.lost;
        self.doubled += other.doubled;
    }
}

impl fmt::Display for WorldFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "submissions={} starts={} complete={} refused={} failed={} crashes={} lost={} doubled={}",
            self.submissions,
            self.starts,
            self.complete,
            self.refused,
            self.failed,
            self.crashes,
            self.lost,
            self.doubled
        )
    }
}

impl World {
    pub fn states(&self) -> impl Iterator<Item = u64> + '_ {
        self.states.iter().copied()
    }

    pub fn figures(&self) -> WorldFigures {
        let report = check(&self.events, GracePeriods::default());
        WorldFigures { submissions: report.submissions, starts: report.starts, ..self.figures }
    }

    pub fn breaches(&self) -> Vec<InvariantViolation> {
        let mut breaches = check(&self.events, GracePeriods::default()).violations;
        let wrong = self.wrong_answers.iter().map(|(promise, text)| InvariantViolation {
            invariant: *promise,
            process: "world".into(),
            stamp: parsleyspool_core::time::HybridTimestamp::default(),
            text: text.clone(),
        });
        breaches.extend(wrong);
        breaches
    }

    /// Events of the run, one a line.
    pub fn story(&self) -> String {
        let mut events: Vec<&ObservedEvent> = self.events.iter().collect();
        events.sort_by_key(|observed| observed.event.stamp);
        let mut story = String::new();
        for observed in events {
            let at = observed.event.stamp.wall_us / 1000 - 1_000_000_000;
            let _ = writeln!(story, "{at} {} {}", observed.process, observed.event);
        }
        story
    }
}
