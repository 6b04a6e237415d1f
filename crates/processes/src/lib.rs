//! Test cells: groups of entry instances, workers and backend servers that are started for a test or benchmark.
//!
//! Entry instances run as child processes. The platform, the workers and the backend servers are replaced by stand-ins
//! (test doubles) in this process.
//!
//! Tests and benchmarks kill, pause and stop the processes of entry instances. A [`ProcessCell`] sends signals only to
//! processes that it has started, and kills all of them when it is dropped.

mod cell;
mod child;

pub use {
    cell::{ProcessCell, StartError},
    child::Program,
};
