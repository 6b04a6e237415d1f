//! Stand-in for the platform: table service, object store and list of instances.

mod instance_list;
mod memory;
mod rate_limit;
mod server;
mod table;

pub(crate) use server::{parameters, zone_of};
pub use {
    instance_list::LaggingInstanceList,
    memory::{CallError, MemoryPlatform, PlatformCall, PlatformReply},
    rate_limit::{PlatformCounts, RateLimits},
    server::serve_platform,
    table::MemoryTable,
};
