//! Errors of the commands and their exit codes.

use std::fmt;
use std::process::ExitCode;

/// Reason for the failure of a command; each has its own exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandError {
    /// A file, setting or answer is invalid, or a process rejected the request as invalid.
    Input,
    /// A process could not be reached, or did not answer as expected.
    Unreachable,
    /// The change was rejected because another change of the same subject came first.
    Conflict,
    /// The outcome of a change is unknown, or some processes have not confirmed it in time.
    Unconfirmed,
    /// A daemon could not start, or stopped with unfinished jobs or tasks.
    DaemonFailed,
    /// The checker found a violated invariant.
    InvariantViolated,
    /// A check found warnings, but no errors.
    Warnings,
}

impl CommandError {
    /// Every reason with its exit code and meaning.
    pub const TABLE: [(Self, u8, &'static str); 7] = [
        (Self::Input, 3, "a file, setting or answer is wrong"),
        (Self::Unreachable, 4, "a process could not be reached"),
        (Self::Conflict, 5, "another change of the same subject came first"),
        (Self::Unconfirmed, 6, "not confirmed in time; see the list of missing processes"),
        (Self::DaemonFailed, 7, "a daemon could not start, or stopped with unfinished work"),
        (Self::InvariantViolated, 8, "the checker found a violated invariant"),
        (Self::Warnings, 9, "a check found warnings, but no errors"),
    ];

    /// Exit code of the process.
    pub fn exit_code(self) -> ExitCode {
        let row = Self::TABLE.into_iter().find(|(kind, ..)| *kind == self);
        ExitCode::from(row.map_or(1, |(_, code, _)| code))
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let row = Self::TABLE.into_iter().find(|(kind, ..)| kind == self);
        f.write_str(row.map_or("failed", |(_, _, text)| text))
    }
}

impl std::error::Error for CommandError {}
