//! Exit codes of the program.

use std::process::ExitCode;

/// How the program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Everything was done.
    Success = 0,
    /// Something failed that no other code describes.
    Failure = 1,
    /// The command line is wrong.
    Usage = 2,
    /// A settings file or a job specification is not acceptable.
    Invalid = 3,
    /// The change was made from an outdated version.
    Conflict = 4,
    /// The command was certainly not carried out; it may be repeated.
    NotRun = 5,
    /// The command may or may not have been carried out.
    Unknown = 6,
    /// What was named does not exist, or the token does not give access to it.
    NotFound = 7,
    /// A check of the system's promises found a violation.
    Violation = 8,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
