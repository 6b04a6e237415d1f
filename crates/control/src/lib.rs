//! Cluster membership, pool ownership, journaling, recovery and settings distribution.
//!
//! [`Control`] is the control plane of one entry instance. It renews the instance's row in the table service, watches
//! the rows of the other instances, owns pools, divides backend slots among the members of its zone and keeps the
//! settings up to date. All durable state is in the platform's table service and object store.

mod api;
mod backends;
mod config;
mod control;
mod entry_service;
pub mod events;
mod job_routing;
mod membership;
mod metrics;
mod owner;
mod ownership;
mod peers;
mod rows;
mod settings;
mod settings_change;
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
