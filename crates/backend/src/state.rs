//! State that a pool shares with the tasks of its connections.

use {
    crate::{PoolLimits, SendOptions, SendResult, Slot, latency::Latency},
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

/// Samples after which the silence time of short work is shortened for requests that may be sent again.
const MIN_SHORT_SAMPLES: usize = 16;

/// A request on its way to a connection's task.
pub struct Job {
    pub request: Request,
    pub terms: SendOptions,
    /// Absent for requests that need no slot.
    pub slot: Option<Arc<dyn Slot>>,
    pub reply: Sender<SendResult>,
}

/// Counts of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolStats {
    /// Open connections, including those being opened.
    pub open: usize,
    /// Idle connections for urgent and short work.
    pub idle_short: usize,
    /// Idle connections for long work.
    pub idle_long: usize,
    /// Connections opened so far, with replacements.
    pub opened: u64,
    /// Connections found silent so far, by requests or probes.
    pub silent: u64,
}

/// Shared by the pool and its connections' tasks.
pub struct Shared {
    pub peer: SocketAddr,
    pub limits: PoolLimits,
    pub log: Logger,
    /// Requested when the pool drains; each connection holds a guard.
    pub stop: Stop,
    // Starts as the limit in `limits` and follows this instance's share of the backend server.
    max_connections: AtomicUsize,
    // A lock, because taking a connection must not wait for a scheduler turn. It is never held across a wait.
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    next_id: u64,
    open: usize,
    // Connections that are counted as open but take no more requests.
    closing: usize,
    opened: u64,
    silent: u64,
    idle_short: Vec<Idle>,
    idle_long: Vec<Idle>,
    last_silent: Option<Instant>,
    // Idle connections whose last sign of life is older are not reused.
    trusted_since: Option<Instant>,
    short_latency: Latency,
    long_latency: Latency,
}

struct Idle {
    id: u64,
    job_tx: Sender<Job>,
}

/// Where a request can go.
pub enum Place {
    /// The task of an idle connection.
    Idle(Sender<Job>),
    /// A new connection.
    New(Permit),
    /// A connection is just being closed, so there will be room at once.
    Soon,
    /// This number of connections is in use, and no more are allowed.
    Busy(usize),
}

/// Counts a connection as open while it exists.
pub struct Permit {
    id: u64,
    closing: bool,
    shared: Arc<Shared>,
    _guard: StopGuard,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.open -= 1;
        state.closing -= usize::from(self.closing);
    }
}

impl Permit {
    /// Offers the connection for reuse; false when the pool drains or has more connections than allowed.
    pub fn put_idle(&self, class: WorkClass, job_tx: Sender<Job>) -> bool {
        if self.shared.stop.is_requested() {
            return false;
        }
        let id = self.id;
        let mut state = self.shared.lock();
        if state.open > self.shared.max_connections.load(Ordering::Relaxed) {
            return false;
        }
        state.idle(class).push(Idle { id, job_tx });
        true
    }

    /// Takes the connection out of the idle ones; false when it has been taken for a request.
    pub fn withdraw(&mut self, class: WorkClass, to_close: bool) -> bool {
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
    fn idle(&mut self, class: WorkClass) -> &mut Vec<Idle> {
        match class {
            WorkClass::Urgent | WorkClass::Short => &mut self.idle_short,
            WorkClass::Long => &mut self.idle_long,
        }
    }

    fn latency(&mut self, class: WorkClass) -> &mut Latency {
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

    /// Finds a connection: the idle one of this class that was used last, a new one, or an idle one of the other
    /// class when no more connections are allowed.
    pub fn place(self: &Arc<Self>, class: WorkClass) -> Place {
        let mut state = self.lock();
        if let Some(idle) = state.idle(class).pop() {
            return Place::Idle(idle.job_tx);
        }
        if state.open < self.max_connections.load(Ordering::Relaxed) {
            state.open += 1;
            state.next_id += 1;
            let id = state.next_id;
            drop(state);
            return Place::New(Permit {
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
            Some(idle) => Place::Idle(idle.job_tx),
            None if state.closing > 0 => Place::Soon,
            None => Place::Busy(state.open),
        }
    }

    /// Changes the most connections. Idle connections beyond it close; those in use end with their requests.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections
            .store(max_connections, Ordering::Relaxed);
        let mut state = self.lock();
        let excess = state.open.saturating_sub(max_connections);
        let long = excess.min(state.idle_long.len());
        let short = (excess - long).min(state.idle_short.len());
        // The front holds the connections not used for longest. Their tasks keep a sender themselves, so only closing
        // the channel ends them.
        let dropped: Vec<Idle> = state.idle_long.drain(..long).collect();
        for idle in dropped.into_iter().chain(state.idle_short.drain(..short)) {
            idle.job_tx.close();
        }
    }

    pub fn count_opened(&self) {
        self.lock().opened += 1;
    }

    /// Whether an idle connection with this last sign of life may be reused.
    pub fn is_trusted(&self, last_sign: Instant) -> bool {
        let trusted_since = self.lock().trusted_since;
        last_sign.elapsed() < self.limits.idle_timeout
            && trusted_since.is_none_or(|since| last_sign > since)
    }

    /// Has all connections that are idle now replaced before their next request.
    pub fn distrust_idle(&self) {
        self.lock().trusted_since = Some(Instant::now());
    }

    /// Notes that a connection is silent; the idle ones may be as well.
    pub fn found_silent(&self) {
        let mut state = self.lock();
        state.silent += 1;
        state.last_silent = Some(Instant::now());
        state.trusted_since = state.last_silent;
    }

    /// Whether a connection was found silent after this instant.
    pub fn silent_since(&self, start: Instant) -> bool {
        self.lock().last_silent.is_some_and(|at| at >= start)
    }

    pub fn record_answered(&self, class: WorkClass, elapsed: Duration) {
        self.lock().latency(class).record_answered(elapsed);
    }

    pub fn record_silent(&self, class: WorkClass, waited: Duration) {
        self.lock().latency(class).record_silent(waited);
    }

    /// Time without progress that the request's class can explain; `None` when the detection is off.
    pub fn patience(&self, terms: SendOptions) -> Option<Duration> {
        let floor = self.limits.silence_timeout?;
        let left = terms.deadline.saturating_duration_since(Instant::now());
        let state = self.lock();
        let learned = |latency: &Latency, floor, min_samples| {
            if terms.retryable {
                latency.resend_patience(floor, left, min_samples)
            } else {
                latency.patience(floor)
            }
        };
        Some(match terms.class {
            WorkClass::Urgent | WorkClass::Short => {
                let most = self.limits.max_short_silence_timeout.max(floor);
                learned(&state.short_latency, floor, MIN_SHORT_SAMPLES).min(most)
            }
            // No samples are needed, because long work is given up only beside another silent connection.
            WorkClass::Long => {
                let floor = self.limits.long_silence_timeout.max(floor);
                learned(&state.long_latency, floor, 0)
            }
        })
    }
}
