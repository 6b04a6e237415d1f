//! Conversion of panics to errors.
//!
//! A panic in a task terminates the thread that polls it. When the executor runs on a single thread, the panic would
//! stop all other tasks of the process.

use {
    futures_lite::FutureExt,
    std::{
        any::Any,
        future::Future,
        panic::{self, AssertUnwindSafe},
    },
};

/// Runs a future and converts a panic to an error.
///
/// # Errors
///
/// Returns the panic's message. Data that the future was changing may be left in an inconsistent state.
pub async fn catch_panic<T>(future: impl Future<Output = T>) -> Result<T, String> {
    let result = AssertUnwindSafe(future).catch_unwind().await;
    result.map_err(|panic| panic_message(&*panic))
}

/// Calls a function and converts a panic to an error.
///
/// # Errors
///
/// Returns the panic's message. Data that the function was changing may be left in an inconsistent state.
pub fn catch_panic_sync<T>(function: impl FnOnce() -> T) -> Result<T, String> {
    panic::catch_unwind(AssertUnwindSafe(function)).map_err(|panic| panic_message(&*panic))
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    if let Some(text) = panic.downcast_ref::<&str>() {
        return (*text).to_owned();
    }
    let text = panic.downcast_ref::<String>().cloned();
    text.unwrap_or_else(|| "a panic without a message".to_owned())
}
