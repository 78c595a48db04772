//! Event ring and hybrid clock of one process, shared by its tasks.

use crate::interfaces::ClockSource;
use crate::telemetry::metrics::DaemonMetrics;
use parsleyspool_core::id::Incarnation;
use parsleyspool_core::time::{HybridClock, Stamp};
use parsleyspool_core::timeline::{EventFigure, EventKind, EventRing, RunWord, TimelineEvent};
use parsleyspool_wire::operator::TimelineBody;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Records events in the ring, the log and the metrics.
#[derive(Debug)]
pub struct EventRecorder {
    state: Mutex<RecorderState>,
    clock: Arc<dyn ClockSource>,
    metrics: Arc<DaemonMetrics>,
}

#[derive(Debug)]
struct RecorderState {
    hybrid: HybridClock,
    ring: EventRing,
    lines: LineBudget,
}

impl EventRecorder {
    /// Recorder with a ring of `capacity` events.
    pub fn new(
        capacity: usize,
        incarnation: Incarnation,
        clock: Arc<dyn ClockSource>,
        metrics: Arc<DaemonMetrics>,
    ) -> Self {
        let ring = EventRing::new(capacity, incarnation);
        let state = Mutex::new(RecorderState {
            hybrid: HybridClock::default(),
            ring,
            lines: LineBudget::default(),
        });
        Self { state, clock, metrics }
    }

    fn state(&self) -> MutexGuard<'_, RecorderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records `event` as of now.
    pub fn record(&self, event: TimelineEvent) {
        self.metrics.count_event(event.kind);
        let is_detail = is_detail(&event);
        let is_written = !is_detail || tracing::enabled!(tracing::Level::DEBUG);
        let now = self.clock.now();
        let mut state = self.state();
        if is_written && state.lines.admit(now.elapsed) {
            write_line(&event, is_detail);
        }
        let stamp = state.hybrid.tick(now);
        state.ring.push(TimelineEvent { stamp, ..event });
    }

    /// Whether one more line may be written in this second.
    pub fn try_acquire_line(&self) -> bool {
        let now = self.clock.now();
        self.state().lines.admit(now.elapsed)
    }

    /// Stamp for a message that leaves now.
    pub fn stamp(&self) -> Stamp {
        let now = self.clock.now();
        self.state().hybrid.tick(now)
    }

    /// Takes note of the stamp of a message that came.
    pub fn observe(&self, stamp: Stamp) {
        let now = self.clock.now();
        self.state().hybrid.observe(stamp, now);
    }

    /// Events held, for the process `name` of `role`.
    pub fn timeline(&self, name: &str, role: &str) -> TimelineBody {
        TimelineBody::new(name, role, &self.state().ring)
    }
}

/// Whether an event is a step that went well, which is written only at the debug level.
fn is_detail(event: &TimelineEvent) -> bool {
    use EventKind as K;
    match event.kind {
        K::JobComplete
        | K::ClaimSent
        | K::ClaimWon
        | K::TaskSent
        | K::TaskAnswered
        | K::AgentQueued
        | K::AgentStarted => true,
        K::AgentFinished => event.figures.contains(&EventFigure::Result(RunWord::Answered)),
        _ => false,
    }
}

/// Lines written in one second, so that a storm of events does not become one of lines.
#[derive(Debug, Default)]
struct LineBudget {
    second: u64,
    written: u32,
    left_out: u64,
}

/// Lines of events that a process writes in one second at most.
const LINES_PER_SECOND: u32 = 1000;

impl LineBudget {
    /// Whether a line may be written at `now`; says once a second how many were left out.
    fn admit(&mut self, now: Duration) -> bool {
        if self.second != now.as_secs() {
            if self.left_out > 0 {
                tracing::warn!(event = "lines_left_out", count = self.left_out);
            }
            *self = Self { second: now.as_secs(), written: 0, left_out: 0 };
        }
        let may_write = self.written < LINES_PER_SECOND;
        self.written += u32::from(may_write);
        self.left_out += u64::from(!may_write);
        may_write
    }
}

fn write_line(event: &TimelineEvent, is_detail: bool) {
    let name = event.kind.name();
    let submission = event.submission.map(parsleyspool_core::id::format_id);
    let subject = event.subject.as_deref();
    let figures: Vec<String> = event.figures.iter().map(ToString::to_string).collect();
    let figures = figures.join(" ");
    if is_detail {
        tracing::debug!(event = name, submission, task = event.task, subject, figures);
    } else {
        tracing::info!(event = name, submission, task = event.task, subject, figures);
    }
}
