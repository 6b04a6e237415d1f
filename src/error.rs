//! Error type of the program and its mapping to exit codes.

use {
    crate::exit_codes::Exit,
    derive_more::{Display, Error},
    ragwortreel_model::SettingsError,
    std::{
        io,
        path::{Path, PathBuf},
    },
};

/// Error that ends the program.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// Invalid command line.
    #[display("{problem}\nTry 'ragwortreel help'.")]
    Usage {
        /// Description of the invalid argument.
        problem: String,
    },
    /// Reading a file failed.
    #[display("reading {}: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Invalid settings file or job specification.
    #[display("{}: {source}", path.display())]
    Settings {
        /// Path of the file.
        path: PathBuf,
        /// Position in the document and the expected value.
        source: SettingsError,
    },
    /// A local operation failed, such as binding an address.
    #[display("{step}: {problem}")]
    Start {
        /// The failed step.
        step: &'static str,
        /// Cause of the failure.
        problem: String,
    },
    /// A command to an entry instance failed: it was refused, or the connection failed.
    #[display("{step} at {peer}: {problem}")]
    Refused {
        /// The failed step.
        step: &'static str,
        /// Address of the entry instance, as `IP:PORT`.
        peer: String,
        /// Reason reported by the instance, or the connection error.
        problem: String,
        /// Exit code; it states whether the command may have been executed.
        #[error(not(source))]
        exit: Exit,
    },
    /// Writing to standard output failed.
    #[display("writing the output: {source}")]
    Output {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A configuration has errors, which were printed.
    #[display("{}: {errors} errors; do not send it", path.display())]
    Configuration {
        /// Path of the file.
        path: PathBuf,
        /// Number of errors.
        #[error(not(source))]
        errors: usize,
    },
    /// Consistency checks found violations.
    #[display("{violations} violations were found")]
    Violations {
        /// Number of violations over all checks.
        #[error(not(source))]
        violations: u64,
    },
}

impl Error {
    /// Creates an [`Error::Usage`].
    pub fn usage(problem: impl Into<String>) -> Self {
        Self::Usage {
            problem: problem.into(),
        }
    }

    /// Returns a function that converts a [`SettingsError`] of the file `path` to an [`Error::Settings`].
    pub fn settings(path: &Path) -> impl Fn(SettingsError) -> Self + Copy {
        |source| Self::Settings {
            path: path.to_owned(),
            source,
        }
    }

    /// Creates an [`Error::Start`] for a failed step.
    pub fn start(step: &'static str, problem: &impl ToString) -> Self {
        Self::Start {
            step,
            problem: problem.to_string(),
        }
    }

    /// Exit code of a process that ends with this error.
    #[must_use]
    pub fn exit_code(&self) -> Exit {
        match self {
            Self::Usage { .. } => Exit::Usage,
            Self::Settings { .. } | Self::Configuration { .. } => Exit::Invalid,
            Self::Refused { exit, .. } => *exit,
            Self::Violations { .. } => Exit::Violation,
            Self::Read { .. } | Self::Start { .. } | Self::Output { .. } => Exit::Failure,
        }
    }
}
