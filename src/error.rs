//! Errors of the program, each with its exit code.

use {
    crate::exit_codes::Exit,
    derive_more::{Display, Error},
    ragwortreel_model::SettingsError,
    std::{
        io,
        path::{Path, PathBuf},
    },
};

/// Why the program ended without success.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The command line is wrong.
    #[display("{problem}\nTry 'ragwortreel help'.")]
    Usage {
        /// What is wrong.
        problem: String,
    },
    /// A file cannot be read.
    #[display("reading {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Reason.
        source: io::Error,
    },
    /// A settings file is not acceptable.
    #[display("{}: {source}", path.display())]
    Settings {
        /// The file.
        path: PathBuf,
        /// Where and what.
        source: SettingsError,
    },
    /// A part of the daemon cannot start.
    #[display("{step}: {problem}")]
    Start {
        /// What was attempted.
        step: &'static str,
        /// What went wrong.
        problem: String,
    },
    /// An entry instance refused a command.
    #[display("{step} at {peer}: {problem}")]
    Refused {
        /// What was attempted.
        step: &'static str,
        /// Address of the entry instance.
        peer: String,
        /// The instance's explanation.
        problem: String,
        /// Exit code that tells what became of the command.
        #[error(not(source))]
        exit: Exit,
    },
    /// Writing the output failed.
    #[display("writing the output: {source}")]
    Output {
        /// Reason.
        source: io::Error,
    },
    /// A check found that a promise was broken.
    #[display("{violations} violations were found")]
    Violations {
        /// Number of violations.
        #[error(not(source))]
        violations: u64,
    },
}

impl Error {
    /// A wrong command line.
    pub fn usage(problem: impl Into<String>) -> Self {
        Self::Usage {
            problem: problem.into(),
        }
    }

    /// What a problem in a settings file becomes.
    pub fn settings(path: &Path) -> impl Fn(SettingsError) -> Self + Copy {
        |source| Self::Settings {
            path: path.to_owned(),
            source,
        }
    }

    /// A part that cannot start.
    pub fn start(step: &'static str, problem: &impl ToString) -> Self {
        Self::Start {
            step,
            problem: problem.to_string(),
        }
    }

    /// Exit code for this error.
    #[must_use]
    pub fn exit_code(&self) -> Exit {
        match self {
            Self::Usage { .. } => Exit::Usage,
            Self::Settings { .. } => Exit::Invalid,
            Self::Refused { exit, .. } => *exit,
            Self::Violations { .. } => Exit::Violation,
            Self::Read { .. } | Self::Start { .. } | Self::Output { .. } => Exit::Failure,
        }
    }
}
