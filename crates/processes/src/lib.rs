//! Entry instances as child processes, with stand-ins of the platform in this process.
//!
//! Tests and measurements kill, pause and stop real processes. Only processes that a [`ProcessCell`] has started are
//! ever signalled, and dropping it ends all of them.

mod cell;
mod child;

pub use {
    cell::{ProcessCell, StartError},
    child::Program,
};
