//! Tests of an entry under load patterns and faults, one module each.

mod backlog;
mod caller_numbers;
mod confirmation;
mod extreme_numbers;
mod fixtures;
mod job_stream;
mod lost_cancellation;
mod overload;
mod quarantine;
mod resumption;
mod run_leases;
mod wrong_estimates;
