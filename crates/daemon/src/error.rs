//! Errors of the daemons, used as contexts of `error-stack` reports.

use std::fmt;

/// Operation of a daemon that failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DaemonError {
    /// The settings are invalid or unreadable.
    Settings,
    /// A built-in state chart is invalid.
    Charts,
    /// A listener could not be bound, or its address could not be read.
    Bind,
    /// An HTTP client could not be built.
    Client,
    /// A request to the log failed, or its reply was invalid.
    Log,
    /// The log filter is malformed, or the logger of the process is already installed or belongs to
    /// an embedder.
    LogFilter,
    /// A metric could not be registered.
    Metrics,
    /// A signal handler could not be installed.
    Signals,
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Settings => "could not load the settings",
            Self::Charts => "could not load the state charts",
            Self::Bind => "could not bind a listener",
            Self::Client => "could not build an HTTP client",
            Self::Log => "request to the log failed",
            Self::LogFilter => "could not apply the log filter",
            Self::Metrics => "could not register a metric",
            Self::Signals => "could not install a signal handler",
        })
    }
}

impl std::error::Error for DaemonError {}
