//! Errors of the stand-ins, as contexts for `error-stack` reports.

use std::fmt;

/// Operation of a stand-in that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandinError {
    /// A file could not be read or written.
    File,
    /// A listener could not be bound.
    Bind,
    /// A daemon could not be started, or the daemons were not ready in time.
    Daemon,
    /// A request to a process failed, or its response could not be used.
    Request,
    /// An experiment, job or report file is malformed.
    Parse,
    /// A report could not be rendered as JSON or SVG.
    Report,
}

impl fmt::Display for StandinError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::File => "could not read or write a file",
            Self::Bind => "could not bind a listener",
            Self::Daemon => "could not start a daemon",
            Self::Request => "could not complete a request to a process",
            Self::Parse => "could not parse the file",
            Self::Report => "could not render the report",
        })
    }
}

impl std::error::Error for StandinError {}
