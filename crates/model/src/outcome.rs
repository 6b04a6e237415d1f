//! Outcome of a request, as reported to its caller.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Whether a request was executed, as far as the entry instance can determine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request was executed and the caller has the complete response.
    #[display("answered")]
    Answered,
    /// The request was certainly not executed.
    #[display("not-run")]
    NotRun,
    /// The request may or may not have been executed.
    #[display("unknown")]
    Unknown,
}
