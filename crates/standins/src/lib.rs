//! Stand-ins for the platform, workers and backend servers.
//!
//! Each stand-in works in process for fast tests and behind a real socket. Both forms share one implementation and
//! the same fault switches.
//!
//! Control endpoints of the servers, which no fault concerns except silent connections and cut responses:
//! - all roles: `GET` and `POST /standin/faults` read and replace the [`Faults`];
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
