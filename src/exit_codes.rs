//! Exit codes of the program.

use std::process::ExitCode;

/// Exit code of the process, by result of the command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success = 0,
    /// Failure without a more specific code.
    Failure = 1,
    /// Invalid command line.
    Usage = 2,
    /// Invalid settings file or job specification.
    Invalid = 3,
    /// The change is based on an outdated version or conflicts with the current state.
    Conflict = 4,
    /// The command was not executed; a retry is safe.
    NotRun = 5,
    /// The command may or may not have been executed.
    Unknown = 6,
    /// The named object does not exist, or the token does not grant access to it.
    NotFound = 7,
    /// A consistency check found a violation.
    Violation = 8,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
