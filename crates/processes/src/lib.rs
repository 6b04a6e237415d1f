//! Test cells with entry instances as child processes and stand-ins of the platform in this process.
//!
//! Tests and benchmarks kill, pause and stop the processes of entry instances. A [`ProcessCell`] sends signals only to
//! processes that it has started, and kills all of them when it is dropped.

mod cell;
mod child;

pub use {
    cell::{ProcessCell, StartError},
    child::Program,
};
