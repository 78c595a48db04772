//! Errors of the stand-ins, as contexts for `error-stack` reports.

use std::fmt;

/// What a stand-in could not do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandinError {
    /// A file could not be read or written.
    File,
    /// A listener could not be bound.
    Bind,
    /// A daemon could not be started.
    Daemon,
    /// A request to a process failed.
    Request,
    /// An experiment or job file is malformed.
    Form,
    /// A report could not be drawn.
    Report,
}

impl fmt::Display for StandinError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::File => "could not use the file",
            Self::Bind => "could not bind a listener",
            Self::Daemon => "could not start a daemon",
            Self::Request => "could not reach a process",
            Self::Form => "could not read the file's form",
            Self::Report => "could not draw the report",
        })
    }
}

impl std::error::Error for StandinError {}
