//! When a service is overloaded.

use std::time::Duration;

/// Time without a delayed or refused job after which overload ends. It spans several plans, so that
/// a short gap between two groups of jobs does not end it.
const CALM_TIME: Duration = Duration::from_millis(500);

/// Change of the state of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverloadTransition {
    /// A plan delays or refuses a job.
    Entered,
    /// No plan has delayed or refused a job for some time.
    Left,
}

/// Whether a service is overloaded at an entry.
#[derive(Debug, Clone, Default)]
pub struct OverloadState {
    /// Time of the latest plan that delayed or refused a job; `None` in normal operation.
    yielded_at: Option<Duration>,
}

impl OverloadState {
    /// Whether the service is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.yielded_at.is_some()
    }

    /// Records whether jobs yield to others at `now`; returns the change of the state.
    pub fn update(&mut self, has_yielded: bool, now: Duration) -> Option<OverloadTransition> {
        if has_yielded {
            let was_overloaded = self.yielded_at.replace(now).is_some();
            return (!was_overloaded).then_some(OverloadTransition::Entered);
        }
        let is_over = self.yielded_at.is_some_and(|at| now >= at + CALM_TIME);
        if is_over {
            self.yielded_at = None;
        }
        is_over.then_some(OverloadTransition::Left)
    }
}
