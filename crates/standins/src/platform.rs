//! Stand-in for the platform: table service, object store and list of instances.

mod listing;
mod memory;
mod meter;
mod tables;

pub use {
    listing::LaggingList,
    memory::{Answer, Call, MemoryPlatform, NoAnswer},
    meter::{Counts, Limits},
    tables::MemoryTable,
};
