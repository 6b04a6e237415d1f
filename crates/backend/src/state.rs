//! State that a pool shares with its connection tasks.

use {
    crate::{PoolLimits, SendOptions, SendResult, Slot, latency::LatencyWindow},
    async_channel::Sender,
    ragwortreel_http::Request,
    ragwortreel_model::WorkClass,
    ragwortreel_runtime::{Logger, Stop, StopGuard},
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Latency samples of short work that are needed before the silence timeout of retryable requests is shortened.
const MIN_SHORT_SAMPLES: usize = 16;

/// A request that is passed to a connection task.
pub struct PendingRequest {
    pub request: Request,
    pub options: SendOptions,
    /// Slot that the request occupies; `None` for requests that need no slot.
    pub slot: Option<Arc<dyn Slot>>,
    pub reply_tx: Sender<SendResult>,
}

/// Connection counts of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolStats {
    /// Open connections, including those that are being opened or closed.
    pub open: usize,
    /// Idle connections for urgent and short work.
    pub idle_short: usize,
    /// Idle connections for long work.
    pub idle_long: usize,
    /// Connections opened since the pool was created.
    pub opened: u64,
    /// Silent connections that requests and probes have detected since the pool was created.
    pub silent: u64,
}

/// State shared by the pool and its connection tasks.
pub struct Shared {
    pub peer: SocketAddr,
    pub limits: PoolLimits,
    pub log: Logger,
    /// Requested when the pool drains; each connection holds a guard until it has closed.
    pub stop: Stop,
    // Initially the value in `limits`; follows this instance's share of the backend server's connections.
    max_connections: AtomicUsize,
    // A synchronous lock, because taking a connection must not wait for the executor. It is never held across an await.
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    next_id: u64,
    open: usize,
    // Connections that still count as open but take no more requests.
    closing: usize,
    opened: u64,
    silent: u64,
    idle_short: Vec<IdleConnection>,
    idle_long: Vec<IdleConnection>,
    last_silent: Option<Instant>,
    // Idle connections are reused only if their last activity is after this instant.
    reusable_after: Option<Instant>,
    short_latency: LatencyWindow,
    long_latency: LatencyWindow,
}

struct IdleConnection {
    id: u64,
    request_tx: Sender<PendingRequest>,
}

/// Result of taking a connection for a request.
pub enum Checkout {
    /// Channel to the task of an idle connection.
    Idle(Sender<PendingRequest>),
    /// Permission to open a new connection.
    New(ConnectionPermit),
    /// All connections count as open, but one is being closed; the caller retries shortly.
    Closing,
    /// All allowed connections, this many, are in use.
    Exhausted(usize),
}

/// Counts a connection as open until it is dropped.
pub struct ConnectionPermit {
    id: u64,
    closing: bool,
    shared: Arc<Shared>,
    _guard: StopGuard,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.open -= 1;
        state.closing -= usize::from(self.closing);
    }
}

impl ConnectionPermit {
    /// Offers the connection for reuse; returns false if the pool drains or has more connections than allowed.
    pub fn offer_idle(&self, class: WorkClass, request_tx: Sender<PendingRequest>) -> bool {
        if self.shared.stop.is_requested() {
            return false;
        }
        let id = self.id;
        let mut state = self.shared.lock();
        if state.open > self.shared.max_connections.load(Ordering::Relaxed) {
            return false;
        }
        state.idle(class).push(IdleConnection { id, request_tx });
        true
    }

    /// Removes the connection from the idle ones; returns false if a request has already taken it.
    ///
    /// With `to_close`, the connection counts as closing until the permit is dropped.
    pub fn remove_idle(&mut self, class: WorkClass, to_close: bool) -> bool {
        let mut state = self.shared.lock();
        let idle = state.idle(class);
        let Some(at) = idle.iter().position(|idle| idle.id == self.id) else {
            return false;
        };
        idle.remove(at);
        state.closing += usize::from(to_close);
        drop(state);
        self.closing = to_close;
        true
    }
}

impl State {
    fn idle(&mut self, class: WorkClass) -> &mut Vec<IdleConnection> {
        match class {
            WorkClass::Urgent | WorkClass::Short => &mut self.idle_short,
            WorkClass::Long => &mut self.idle_long,
        }
    }

    fn latency(&mut self, class: WorkClass) -> &mut LatencyWindow {
        match class {
            WorkClass::Urgent | WorkClass::Short => &mut self.short_latency,
            WorkClass::Long => &mut self.long_latency,
        }
    }
}

impl Shared {
    pub fn new(peer: SocketAddr, limits: PoolLimits, log: Logger) -> Self {
        Self {
            peer,
            max_connections: AtomicUsize::new(limits.max_connections),
            limits,
            log,
            stop: Stop::new(),
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn stats(&self) -> PoolStats {
        let state = self.lock();
        PoolStats {
            open: state.open,
            idle_short: state.idle_short.len(),
            idle_long: state.idle_long.len(),
            opened: state.opened,
            silent: state.silent,
        }
    }

    /// Takes the most recently used idle connection of this class. If there is none, permits a new connection or, at
    /// the connection limit, takes an idle one of the other class.
    pub fn check_out(self: &Arc<Self>, class: WorkClass) -> Checkout {
        let mut state = self.lock();
        if let Some(idle) = state.idle(class).pop() {
            return Checkout::Idle(idle.request_tx);
        }
        if state.open < self.max_connections.load(Ordering::Relaxed) {
            state.open += 1;
            state.next_id += 1;
            let id = state.next_id;
            drop(state);
            return Checkout::New(ConnectionPermit {
                id,
                closing: false,
                shared: Arc::clone(self),
                _guard: self.stop.guard(),
            });
        }
        let other = match class {
            WorkClass::Urgent | WorkClass::Short => WorkClass::Long,
            WorkClass::Long => WorkClass::Short,
        };
        match state.idle(other).pop() {
            Some(idle) => Checkout::Idle(idle.request_tx),
            None if state.closing > 0 => Checkout::Closing,
            None => Checkout::Exhausted(state.open),
        }
    }

    /// Sets the maximum number of connections. Surplus idle connections close at once, surplus busy ones after their
    /// requests.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections
            .store(max_connections, Ordering::Relaxed);
        let mut state = self.lock();
        let excess = state.open.saturating_sub(max_connections);
        let long = excess.min(state.idle_long.len());
        let short = (excess - long).min(state.idle_short.len());
        // The least recently used connections are at the front. The channels are closed explicitly, because dropping
        // these senders would not close them: each task holds a sender of its own channel.
        let surplus: Vec<IdleConnection> = state.idle_long.drain(..long).collect();
        for idle in surplus.into_iter().chain(state.idle_short.drain(..short)) {
            idle.request_tx.close();
        }
    }

    pub fn count_opened(&self) {
        self.lock().opened += 1;
    }

    /// Whether an idle connection with this last activity may be reused.
    pub fn is_reusable(&self, last_activity: Instant) -> bool {
        let reusable_after = self.lock().reusable_after;
        last_activity.elapsed() < self.limits.idle_timeout
            && reusable_after.is_none_or(|since| last_activity > since)
    }

    /// Causes all connections that are idle now to be replaced before their next request.
    pub fn invalidate_idle(&self) {
        self.lock().reusable_after = Some(Instant::now());
    }

    /// Records a silent connection and invalidates the idle ones, because they may be silent as well.
    pub fn record_silent_connection(&self) {
        let mut state = self.lock();
        state.silent += 1;
        state.last_silent = Some(Instant::now());
        state.reusable_after = state.last_silent;
    }

    /// Whether a connection was found silent at or after this instant.
    pub fn found_silent_connection_since(&self, start: Instant) -> bool {
        self.lock().last_silent.is_some_and(|at| at >= start)
    }

    pub fn record_answered(&self, class: WorkClass, elapsed: Duration) {
        self.lock().latency(class).record_answered(elapsed);
    }

    pub fn record_silent_exchange(&self, class: WorkClass, waited: Duration) {
        self.lock().latency(class).record_silent(waited);
    }

    /// Time without progress after which the request's connection counts as silent, derived from the latencies of its
    /// class; `None` if the detection is off.
    pub fn silence_timeout(&self, options: SendOptions) -> Option<Duration> {
        let base = self.limits.silence_timeout?;
        let left = options.deadline.saturating_duration_since(Instant::now());
        let state = self.lock();
        let timeout = |latency: &LatencyWindow, base, min_samples| {
            if options.retryable {
                latency.retryable_silence_timeout(base, left, min_samples)
            } else {
                latency.silence_timeout(base)
            }
        };
        Some(match options.class {
            WorkClass::Urgent | WorkClass::Short => {
                let max = self.limits.max_short_silence_timeout.max(base);
                timeout(&state.short_latency, base, MIN_SHORT_SAMPLES).min(max)
            }
            // No samples are needed, because long work is aborted only if another connection was found silent.
            WorkClass::Long => {
                let base = self.limits.long_silence_timeout.max(base);
                timeout(&state.long_latency, base, 0)
            }
        })
    }
}
