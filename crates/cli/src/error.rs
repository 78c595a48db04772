//! Errors of the commands and the exit codes that they end with.

use std::fmt;
use std::process::ExitCode;

/// What a command could not do; each kind has an exit code of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandError {
    /// A file, setting or answer is wrong.
    Input,
    /// A process could not be reached, or did not answer as expected.
    Unreachable,
    /// The change was rejected, since another one came first.
    Rejected,
    /// The outcome is not known, or not everyone has confirmed in time.
    Unconfirmed,
    /// A daemon could not start.
    Daemon,
    /// A promise was found broken.
    Broken,
}

impl CommandError {
    /// Every kind with its exit code and meaning.
    pub const TABLE: [(Self, u8, &'static str); 6] = [
        (Self::Input, 3, "a file, setting or answer is wrong"),
        (Self::Unreachable, 4, "a process could not be reached"),
        (Self::Rejected, 5, "another change of the same subject came first"),
        (Self::Unconfirmed, 6, "not confirmed in time; see the list of who is missing"),
        (Self::Daemon, 7, "a daemon could not start, or was cut off while it drained"),
        (Self::Broken, 8, "the checker found a broken promise"),
    ];

    /// Exit code of this kind.
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
