//! Stand-ins (test doubles) of the platform, the workers and the backend servers, with fault injection.
//!
//! Tests call a stand-in in process or over HTTP; both ways share one implementation and one set of faults. Workers
//! in process are reached through [`FakeFleet`], the platform through [`MemoryPlatform`]; a backend server is reached
//! over HTTP only.
//!
//! Control endpoints of the HTTP servers. Injected faults do not affect them, except silenced connections and
//! truncated responses; neither of the two affects `/standin/faults`:
//! - all stand-ins: `GET` and `POST /standin/faults` read and replace the [`Faults`];
//! - platform: `GET /standin/counts`;
//! - worker: `GET /standin/counts`, `GET /standin/runs`, `POST /standin/restart`;
//! - backend server: `GET /standin/counts`, `GET /standin/records`, `POST /standin/drain`.

pub mod backend;
mod cell;
mod faults;
mod listener;
pub mod platform;
pub mod worker;

pub use {
    backend::{Backend, BackendCounts, BackendSpec, RequestRecord, ServiceTime},
    cell::{
        BackendConfig, PlatformConfig, RunningStandin, StandinConfig, Standins, WorkerConfig, serve,
    },
    faults::{FaultDecision, FaultInjector, Faults, Outage},
    listener::{FAULTS_PATH, Reply, RequestHandler, ServerHandle, listen},
    platform::{MemoryPlatform, MemoryTable, PlatformCounts, RateLimits},
    worker::{FakeFleet, FakeWorker, RunHistory, Violation, WorkerSpec},
};
