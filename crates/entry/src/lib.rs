//! Calls between entry instances: tonic services over HTTP/2.

#[allow(missing_docs, clippy::all, clippy::pedantic, reason = "generated code")]
pub mod generated;
