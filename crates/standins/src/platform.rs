//! Stand-in for the platform: table service, object store and list of instances.

mod listing;
mod memory;
mod meter;
mod server;
mod tables;

pub(crate) use server::{parameters, zone_of};
pub use {
    listing::LaggingList,
    memory::{Answer, Call, MemoryPlatform, NoAnswer},
    meter::{Counts, Limits},
    server::serve_platform,
    tables::MemoryTable,
};
