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
mod figures;
mod membership;
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
        Backend, ChangeError, Figures, JobError, LinkState, Load, LocalRequests, Member,
        PoolFigures, SettingsChange, VersionedSettings,
    },
    config::{ControlConfig, Limits, PoolConfig, SchedulerFactory, Timings, ZoneConfig, pools_of},
    control::{Connections, Control},
    figures::Placement,
};
