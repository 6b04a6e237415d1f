//! Shared types: names, resources, jobs, settings, outcomes and clocks.
//!
//! The types are plain data with their validation; scheduling, routing and input/output are implemented in other
//! packages. Field names carry their units (`memory_mib`, `run_time_ms`). This package depends on no other package of
//! the Cargo workspace.
//!
//! # Terms
//!
//! - *Cell*: a group of entry instances and workers that share one settings tree.
//! - *Entry instance*: a process that forwards callers' requests to backend servers and schedules jobs on workers.
//! - *Slot*: the right to have one request in flight at a backend server.

mod clock;
mod job;
mod name;
mod outcome;
mod resources;
mod settings;
mod token;

pub use clock::{Clock, ManualClock, SystemClock};
pub use job::{
    Assignment, Attempt, Epoch, Incarnation, JobKind, JobSpec, JobState, JobStatus, MAX_TASKS,
    Priority, SpecError, TaskId, TaskResult, WaitReason,
};
pub use name::{
    InstanceId, JobId, MAX_NAME_BYTES, NameError, Pool, Rack, ServiceName, WorkerId, Workspace,
    Zone,
};
pub use outcome::Outcome;
pub use resources::Resources;
pub use settings::{
    CellSettings, MAX_SETTINGS_BYTES, MAX_WORKSPACES, ServiceSettings, Settings, SettingsError,
    SloSettings, WorkClass, WorkspaceSettings, parse_json,
};
pub use token::token_digest;
