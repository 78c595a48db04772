//! Overload control: which waiting jobs are served while capacity is short.

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
