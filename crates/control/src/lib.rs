//! Membership, pool ownership, journal, snapshots, recovery and settings distribution.
//!
//! [`Control`] is one instance's control part. It keeps the instance's row alive, follows the rows of the others,
//! owns pools, divides slots among the members of its zone and keeps the settings in force. Durable state is in the
//! platform's table and object store only.

mod api;
mod backends;
mod change;
mod config;
mod control;
pub mod events;
mod membership;
mod metrics;
mod owner;
mod ownership;
mod peers;
mod routing;
mod rows;
mod service;
mod settings;
mod shared;
mod slots;
mod store;
mod view;

pub use {
    api::{
        Backend, ControlMetrics, DataPlane, JobError, LinkState, Load, Member, PoolMetrics,
        SettingsChange, SettingsChangeError, VersionedSettings,
    },
    config::{
        ControlConfig, Limits, PoolConfig, SchedulerFactory, Timings, ZoneConfig, pools_for_zones,
    },
    control::{Connections, Control},
    metrics::PlacementSample,
};
