//! Event ring and hybrid logical clock of one process, shared by its tasks.

use crate::interfaces::ClockSource;
use crate::telemetry::metrics::DaemonMetrics;
use parsleyspool_core::id::Incarnation;
use parsleyspool_core::time::{HybridClock, HybridTimestamp};
use parsleyspool_core::timeline::{EventField, EventKind, EventRing, RunOutcome, TimelineEvent};
use parsleyspool_wire::operator::TimelineBody;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Records events in the ring buffer, the log and the metrics.
#[derive(Debug)]
pub struct EventRecorder {
    state: Mutex<RecorderState>,
    clock: Arc<dyn ClockSource>,
    metrics: Arc<DaemonMetrics>,
}

#[derive(Debug)]
struct RecorderState {
    hybrid_clock: HybridClock,
    ring: EventRing,
    line_budget: LineBudget,
}

impl EventRecorder {
    /// Creates a recorder with a ring buffer of `capacity` events.
    pub fn new(
        capacity: usize,
        incarnation: Incarnation,
        clock: Arc<dyn ClockSource>,
        metrics: Arc<DaemonMetrics>,
    ) -> Self {
        let ring = EventRing::new(capacity, incarnation);
        let state = Mutex::new(RecorderState {
            hybrid_clock: HybridClock::default(),
            ring,
            line_budget: LineBudget::default(),
        });
        Self { state, clock, metrics }
    }

    fn state(&self) -> MutexGuard<'_, RecorderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stamps `event` with the current time and records it.
    pub fn record(&self, event: TimelineEvent) {
        self.metrics.count_event(&event);
        let is_debug_event = is_debug_event(&event);
        let is_written = !is_debug_event || tracing::enabled!(tracing::Level::DEBUG);
        let now = self.clock.now();
        let mut state = self.state();
        if is_written && state.line_budget.try_acquire(now.elapsed) {
            log_event(&event, is_debug_event);
        }
        let stamp = state.hybrid_clock.tick(now);
        state.ring.push(TimelineEvent { stamp, ..event });
    }

    /// Takes one log line from the budget of this second; `false` if the budget is used up.
    pub fn try_acquire_line(&self) -> bool {
        let now = self.clock.now();
        self.state().line_budget.try_acquire(now.elapsed)
    }

    /// Returns the stamp for a message that is sent now.
    pub fn stamp(&self) -> HybridTimestamp {
        let now = self.clock.now();
        self.state().hybrid_clock.tick(now)
    }

    /// Advances the hybrid logical clock by the stamp of a received message.
    pub fn observe(&self, stamp: HybridTimestamp) {
        let now = self.clock.now();
        self.state().hybrid_clock.observe(stamp, now);
    }

    /// Recorded events, labelled with the name and role of the process.
    pub fn timeline(&self, name: &str, role: &str) -> TimelineBody {
        TimelineBody::new(name, role, &self.state().ring)
    }
}

/// Whether an event is a successful step, which is logged only at the debug level.
fn is_debug_event(event: &TimelineEvent) -> bool {
    use EventKind as K;
    match event.kind {
        K::JobComplete
        | K::ClaimSent
        | K::ClaimWon
        | K::TaskSent
        | K::TaskAnswered
        | K::AgentQueued
        | K::AgentStarted => true,
        K::AgentFinished => event.fields.contains(&EventField::Result(RunOutcome::Answered)),
        _ => false,
    }
}

/// Limits the log lines of each second, so that a burst of events does not flood the log.
#[derive(Debug, Default)]
struct LineBudget {
    second: u64,
    written: u32,
    dropped: u64,
}

/// Largest number of log lines that a process writes in one second.
const MAX_LINES_PER_SECOND: u32 = 1000;

impl LineBudget {
    /// Takes one line from the budget of the current second; `false` if it is used up.
    ///
    /// The first call in a new second logs how many lines were dropped before.
    fn try_acquire(&mut self, now: Duration) -> bool {
        if self.second != now.as_secs() {
            if self.dropped > 0 {
                tracing::warn!(event = "lines_left_out", count = self.dropped);
            }
            *self = Self { second: now.as_secs(), written: 0, dropped: 0 };
        }
        let is_allowed = self.written < MAX_LINES_PER_SECOND;
        self.written += u32::from(is_allowed);
        self.dropped += u64::from(!is_allowed);
        is_allowed
    }
}

fn log_event(event: &TimelineEvent, is_debug_event: bool) {
    let name = event.kind.name();
    let submission = event.submission.map(parsleyspool_core::id::format_id);
    let subject = event.subject.as_deref();
    let fields: Vec<String> = event.fields.iter().map(ToString::to_string).collect();
    let figures = fields.join(" ");
    if is_debug_event {
        tracing::debug!(event = name, submission, task = event.task, subject, figures);
    } else {
        tracing::info!(event = name, submission, task = event.task, subject, figures);
    }
}
