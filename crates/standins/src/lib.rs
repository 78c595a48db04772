//! Stand-ins for the services that parsleyspool depends on, for tests, examples and benchmarks.
//!
//! Nothing here is part of the product, and the daemons do not depend on this package.
//! [`log`] replaces the platform's log service and [`backend`] a team's backend server. [`proxy`]
//! injects network faults, and [`embedded`] runs all roles in one process. [`experiment`] submits
//! a generated load to running processes and reports the results, and [`cost`] measures how
//! processing time, memory and message sizes grow with the size of the system.

pub mod backend;
pub mod cost;
pub mod embedded;
pub mod error;
pub mod experiment;
pub mod job_file;
pub mod log;
pub mod proxy;
pub mod yaml;
