//! What a caller is told about a request.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

/// Outcome of a request, as told to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The caller has the complete response to this request.
    #[display("answered")]
    Answered,
    /// The request certainly did not run.
    #[display("not-run")]
    NotRun,
    /// The request may or may not have run.
    #[display("unknown")]
    Unknown,
}
