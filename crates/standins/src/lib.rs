//! Stand-ins of what parsleyspool stands on, for tests, examples and the bench.
//!
//! Nothing here is part of the product, and the daemons do not depend on this package.
//! [`log`] stands for the platform's log service, [`backend`] for a team's backend server,
//! [`proxy`] for a network that goes silent, and [`embedded`] puts all roles into one process.

pub mod backend;
pub mod cost;
pub mod embedded;
pub mod error;
pub mod experiment;
pub mod jobs;
pub mod log;
pub mod proxy;
pub mod yaml;
