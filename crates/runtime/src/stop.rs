//! Graceful shutdown of a process or of a part of it.
//!
//! A shutdown has two stages. [`Stop::request`] asks the tasks to stop; they wait for it with [`Stop::requested`] and
//! finish their work in flight, for which each holds a [`StopGuard`]. [`Stop::drained`] returns once all guards are
//! dropped.

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

/// Shutdown signal; clones share its state.
#[derive(Debug, Clone)]
pub struct Stop {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    requested: AtomicBool,
    guards: AtomicUsize,
    // Never carries a message; closing it wakes all tasks that wait for the request.
    request_tx: Sender<()>,
    request_rx: Receiver<()>,
    // Carries a message when the last guard is dropped.
    last_guard_dropped_tx: Sender<()>,
    last_guard_dropped_rx: Receiver<()>,
}

impl Default for Stop {
    fn default() -> Self {
        Self::new()
    }
}

impl Stop {
    /// Creates a signal in which no stop is requested.
    #[must_use]
    pub fn new() -> Self {
        let (request_tx, request_rx) = async_channel::bounded(1);
        let (last_guard_dropped_tx, last_guard_dropped_rx) = async_channel::bounded(1);
        let shared = Shared {
            requested: AtomicBool::new(false),
            guards: AtomicUsize::new(0),
            request_tx,
            request_rx,
            last_guard_dropped_tx,
            last_guard_dropped_rx,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Requests the stop; repeated calls have no effect.
    pub fn request(&self) {
        self.shared.requested.store(true, Ordering::SeqCst);
        self.shared.request_tx.close();
    }

    /// Whether the stop has been requested.
    #[must_use]
    pub fn is_requested(&self) -> bool {
        self.shared.requested.load(Ordering::SeqCst)
    }

    /// Waits until the stop is requested.
    pub async fn requested(&self) {
        // The channel carries no message; receiving fails once it is closed.
        let _ = self.shared.request_rx.recv().await;
    }

    /// Registers work in flight, which [`Stop::drained`] waits for until the guard is dropped.
    #[must_use]
    pub fn guard(&self) -> StopGuard {
        self.shared.guards.fetch_add(1, Ordering::SeqCst);
        StopGuard {
            shared: Arc::clone(&self.shared),
        }
    }

    /// Number of guards that are not dropped yet.
    #[must_use]
    pub fn guards(&self) -> usize {
        self.shared.guards.load(Ordering::SeqCst)
    }

    /// Waits until all guards are dropped.
    pub async fn drained(&self) {
        while self.guards() > 0 {
            let _ = self.shared.last_guard_dropped_rx.recv().await;
        }
    }
}

/// Guard of work in flight; dropped when the work ends.
#[derive(Debug)]
pub struct StopGuard {
    shared: Arc<Shared>,
}

impl Drop for StopGuard {
    fn drop(&mut self) {
        if self.shared.guards.fetch_sub(1, Ordering::SeqCst) == 1 {
            let _ = self.shared.last_guard_dropped_tx.try_send(());
        }
    }
}

/// Requests the stop on SIGTERM or SIGINT; SIGHUP is ignored.
///
/// # Errors
///
/// Returns an error when the signal handlers cannot be installed or their thread cannot be created.
pub fn stop_on_signals(stop: Stop) -> io::Result<()> {
    handle_signals(stop, || {})
}

/// Requests the stop on SIGTERM or SIGINT and calls `reload` on SIGHUP, whose default action terminates the process.
///
/// # Errors
///
/// Returns an error when the signal handlers cannot be installed or their thread cannot be created.
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
