//! Process runtime: executor, timers, mutex locking, graceful shutdown, panic handling, logging and traffic counters.
//!
//! All tasks of the process run on one `async-executor`; `async-io` drives its sockets and timers. A task is detached
//! or awaited through the handle that [`spawn`] returns.

mod executor;
mod lock;
mod log;
mod panics;
mod stop;
mod time;
pub mod traffic;

pub use async_executor::Task;
pub use executor::{Spawner, block_on, run_on_current_thread, spawn, start_threads};
pub use futures_lite::future;
pub use lock::lock;
pub use log::{Event, Level, discard_logger, json_logger, stdout_logger};
pub use panics::{catch_panic, catch_panic_sync};
pub use slog::{self, Logger};
pub use stop::{Stop, StopGuard, handle_signals, stop_on_signals};
pub use time::{
    Elapsed, boot_ms, sleep, sleep_ms, timeout, timeout_at, timeout_ms, unix_minute, unix_ms,
};
