//! Locking without poison.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex; a panic of another holder does not spread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
