//! Shared types: names, resources, jobs, settings, outcomes and clocks.
//!
//! Every other package depends on this one, and it depends on no other package of the workspace. Types carry their
//! units in field names (`memory_mib`, `run_time_ms`). All of them are plain data; behaviour lives in the packages
//! that use them.

mod clock;
mod job;
mod name;
mod outcome;
mod resources;
mod settings;

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
