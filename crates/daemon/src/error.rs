//! Errors of the daemons, as contexts for `error-stack` reports.

use std::fmt;

/// What a daemon could not do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DaemonError {
    /// The settings are wrong or unreadable.
    Settings,
    /// A committed state chart is wrong.
    Charts,
    /// A listener could not be bound.
    Bind,
    /// The HTTP client could not be built.
    Client,
    /// The log did not do what was asked.
    Log,
    /// The log filter is malformed.
    LogFilter,
    /// A metric could not be registered.
    Metrics,
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Settings => "could not use the settings",
            Self::Charts => "could not load the state charts",
            Self::Bind => "could not bind a listener",
            Self::Client => "could not build the HTTP client",
            Self::Log => "could not reach the log",
            Self::LogFilter => "could not read the log filter",
            Self::Metrics => "could not register a metric",
        })
    }
}

impl std::error::Error for DaemonError {}
