//! The process-wide executor.

use {
    async_executor::{Executor, Task},
    std::{future::Future, io, sync::OnceLock, thread},
};

static EXECUTOR: Executor<'static> = Executor::new();
static STARTED: OnceLock<()> = OnceLock::new();
/// Threads that [`spawn`] starts when the process did not start any itself.
const DEFAULT_THREADS: usize = 2;

/// Starts the threads that run spawned tasks; a second call has no effect.
///
/// # Errors
///
/// Returns an error when the operating system refuses a thread.
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

/// Runs a future as a task of the process-wide executor.
///
/// Dropping the returned handle cancels the task; call `detach` to let it run on.
///
/// # Panics
///
/// Panics when no executor thread was started and the operating system refuses one.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    start_threads(DEFAULT_THREADS).expect("an executor thread starts");
    EXECUTOR.spawn(future)
}

/// Runs a future and all spawned tasks on the calling thread until the future ends.
///
/// A small instance has a fraction of one core; further threads would only cost switches between them.
pub fn run_on_current_thread<T>(future: impl Future<Output = T>) -> T {
    let _ = STARTED.set(());
    async_io::block_on(EXECUTOR.run(future))
}

/// Runs a future on the calling thread until it ends.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    async_io::block_on(future)
}

/// Spawns detached tasks for libraries that ask for an executor.
#[derive(Debug, Clone, Copy, Default)]
pub struct Spawner;

impl Spawner {
    /// Runs a future as a detached task.
    pub fn execute<T: Send + 'static>(&self, future: impl Future<Output = T> + Send + 'static) {
        spawn(future).detach();
    }
}
