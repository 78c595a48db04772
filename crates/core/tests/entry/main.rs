//! Tests of an entry under load patterns and faults, one module each.

mod backlog;
mod fixtures;
mod lost_cancellation;
