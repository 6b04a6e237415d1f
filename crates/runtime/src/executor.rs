//! The process-wide executor and the threads that run it.

use {
    async_executor::{Executor, Task},
    std::{future::Future, io, sync::OnceLock, thread},
};

static EXECUTOR: Executor<'static> = Executor::new();
/// Set by the first call of [`start_threads`] or [`run_on_current_thread`].
static STARTED: OnceLock<()> = OnceLock::new();
/// Number of threads that [`spawn`] starts when the process has not started any.
const DEFAULT_THREADS: usize = 2;

/// Starts the threads that run spawned tasks, at least one.
///
/// Only the first call has an effect, and none after [`run_on_current_thread`].
///
/// # Errors
///
/// Returns an error when the operating system cannot create a thread.
pub fn start_threads(count: usize) -> io::Result<()> {
    if STARTED.set(()).is_err() {
        return Ok(());
    }
    for index in 0..count.max(1) {
        thread::Builder::new()
            .name(format!("executor-{index}"))
            .spawn(|| {
                async_io::block_on(EXECUTOR.run(futures_lite::future::pending::<()>()));
            })?;
    }
    Ok(())
}

/// Spawns a future as a task on the process-wide executor.
///
/// Dropping the returned handle cancels the task; `detach` lets it run to completion.
///
/// # Panics
///
/// Panics when no executor thread is running and the operating system cannot create one.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    start_threads(DEFAULT_THREADS).expect("failed to start the executor threads");
    EXECUTOR.spawn(future)
}

/// Runs a future and all spawned tasks on the calling thread until the future completes.
///
/// Suited to small instances with a fraction of a core, where more threads would only add context switches.
pub fn run_on_current_thread<T>(future: impl Future<Output = T>) -> T {
    let _ = STARTED.set(());
    async_io::block_on(EXECUTOR.run(future))
}

/// Runs a future on the calling thread until it completes; spawned tasks run on the executor's threads.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    async_io::block_on(future)
}

/// Executor handle that spawns detached tasks, for libraries that require an executor.
#[derive(Debug, Clone, Copy, Default)]
pub struct Spawner;

impl Spawner {
    /// Spawns a future as a detached task.
    pub fn execute<T: Send + 'static>(&self, future: impl Future<Output = T> + Send + 'static) {
        spawn(future).detach();
    }
}
