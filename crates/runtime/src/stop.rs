//! The stop signal of a process or of a part of it.
//!
//! A stop has two stages: tasks see [`Stop::requested`] and finish what they have in flight, each holding a
//! [`StopGuard`]; [`Stop::drained`] returns when the last guard is gone.

use {
    async_channel::{Receiver, Sender},
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
    },
};

/// Handle to a stop signal; clones share it.
#[derive(Debug, Clone)]
pub struct Stop {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    requested: AtomicBool,
    guards: AtomicUsize,
    // Closing these channels wakes all waiting tasks.
    request_tx: Sender<()>,
    request_rx: Receiver<()>,
    guard_gone_tx: Sender<()>,
    guard_gone_rx: Receiver<()>,
}

impl Default for Stop {
    fn default() -> Self {
        Self::new()
    }
}

impl Stop {
    /// Makes a signal that is not yet requested.
    #[must_use]
    pub fn new() -> Self {
        let (request_tx, request_rx) = async_channel::bounded(1);
        let (guard_gone_tx, guard_gone_rx) = async_channel::bounded(1);
        let shared = Shared {
            requested: AtomicBool::new(false),
            guards: AtomicUsize::new(0),
            request_tx,
            request_rx,
            guard_gone_tx,
            guard_gone_rx,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Asks all tasks to stop.
    pub fn request(&self) {
        self.shared.requested.store(true, Ordering::SeqCst);
        self.shared.request_tx.close();
    }

    /// Whether the stop was requested.
    #[must_use]
    pub fn is_requested(&self) -> bool {
        self.shared.requested.load(Ordering::SeqCst)
    }

    /// Waits until the stop is requested.
    pub async fn requested(&self) {
        // The channel carries no message; receiving fails once it is closed.
        let _ = self.shared.request_rx.recv().await;
    }

    /// Marks work in flight that a graceful stop waits for.
    #[must_use]
    pub fn guard(&self) -> StopGuard {
        self.shared.guards.fetch_add(1, Ordering::SeqCst);
        StopGuard {
            shared: Arc::clone(&self.shared),
        }
    }

    /// Number of guards that exist.
    #[must_use]
    pub fn guards(&self) -> usize {
        self.shared.guards.load(Ordering::SeqCst)
    }

    /// Waits until no guard exists.
    pub async fn drained(&self) {
        while self.guards() > 0 {
            let _ = self.shared.guard_gone_rx.recv().await;
        }
    }
}

/// Work in flight; dropping it marks the work's end.
#[derive(Debug)]
pub struct StopGuard {
    shared: Arc<Shared>,
}

impl Drop for StopGuard {
    fn drop(&mut self) {
        if self.shared.guards.fetch_sub(1, Ordering::SeqCst) == 1 {
            let _ = self.shared.guard_gone_tx.try_send(());
        }
    }
}

/// Requests the stop when the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error when the signal handlers cannot be installed.
pub fn stop_on_signals(stop: Stop) -> io::Result<()> {
    handle_signals(stop, || {})
}

/// Requests the stop on SIGTERM or SIGINT, and calls `reload` on SIGHUP, which would otherwise end the process.
///
/// # Errors
///
/// Returns an error when the signal handlers cannot be installed.
pub fn handle_signals(stop: Stop, reload: impl Fn() + Send + 'static) -> io::Result<()> {
    use signal_hook::{
        consts::{SIGHUP, SIGINT, SIGTERM},
        iterator::Signals,
    };
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for signal in signals.forever() {
                if signal == SIGHUP {
                    reload();
                } else {
                    stop.request();
                }
            }
        })?;
    Ok(())
}
