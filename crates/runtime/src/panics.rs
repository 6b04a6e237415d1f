//! Panics that must not end the process.
//!
//! A panic of a task ends the thread that polls it, and with it every other task of a process of one thread.

use {
    futures_lite::FutureExt,
    std::{
        any::Any,
        future::Future,
        panic::{self, AssertUnwindSafe},
    },
};

/// Runs a future; a panic becomes an error with its message.
///
/// # Errors
///
/// Returns the panic's message. Whatever the future was changing may be half changed.
pub async fn catch_panic<T>(future: impl Future<Output = T>) -> Result<T, String> {
    let result = AssertUnwindSafe(future).catch_unwind().await;
    result.map_err(|panic| text(&*panic))
}

/// The same for a function.
///
/// # Errors
///
/// Returns the panic's message.
pub fn catch_panic_sync<T>(run: impl FnOnce() -> T) -> Result<T, String> {
    panic::catch_unwind(AssertUnwindSafe(run)).map_err(|panic| text(&*panic))
}

fn text(panic: &(dyn Any + Send)) -> String {
    if let Some(text) = panic.downcast_ref::<&str>() {
        return (*text).to_owned();
    }
    let text = panic.downcast_ref::<String>().cloned();
    text.unwrap_or_else(|| "a panic without a message".to_owned())
}
