//! Overload control: which waiting jobs are served while capacity is short.
//!
//! [`OverloadPlan`] decides about the jobs of one service that are queued at one entry,
//! [`WorkHistory`] says how much of each priority was served lately, and [`OverloadState`] when the
//! service enters and leaves overload. None of them reads a clock.

mod history;
mod plan;
mod state;

pub use history::WorkHistory;
pub use plan::{OverloadPlan, PlannedRefusal, Supply, Verdict, WaitingJob, urgency};
pub use state::{OverloadState, OverloadTransition};

use crate::named_enum::named_enum;

named_enum! {
    /// How waiting jobs are served while capacity is short.
    pub enum OverloadPolicy {
        /// By their latest start, whatever their priority.
        Arrival = "arrival",
        /// The jobs that cost callers least are delayed or refused, by priority, deadline and work.
        Priority = "priority",
    }
}

/// Work of a job or a queue: slots times expected run time, in slot-seconds.
pub type SlotSeconds = f64;
