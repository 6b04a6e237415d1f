//! Platform stand-in: table service, object store and instance list, in memory.

mod instance_list;
mod memory;
mod rate_limit;
mod server;
mod table;

pub(crate) use server::{caller_zone, query_values};
pub use {
    instance_list::LaggingInstanceList,
    memory::{CallError, MemoryPlatform, PlatformCall, PlatformReply},
    rate_limit::{PlatformCounts, RateLimits},
    server::serve_platform,
    table::MemoryTable,
};
