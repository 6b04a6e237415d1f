//! Delivery of starts and stops: one async task per worker sends the starts one after the other. Stops are sent
//! concurrently, so that one without an answer does not delay the others on a worker that is about to leave.

use {
    crate::{
        Timing,
        api::{TaskStart, WorkerEndpoint, WorkerError},
        events::{START_OUTCOME_UNKNOWN, STOP_FAILED, TASK_NOT_STARTED},
        term::Term,
    },
    async_channel::{Receiver, Sender},
    ragwortreel_runtime::{boot_ms, lock, log_event, sleep_ms},
    ragwortreel_workflow::{StartOrder, StartOutcome, StopOrder, TaskKey},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
};

/// Maximum age of a stored start that is sent, in ms. An older one is returned to the scheduler, because its worker is
/// behind and another one may be free.
const MAX_START_AGE_MS: u64 = 1_000;
/// Delay before an unconfirmed stop is sent again, in ms.
const STOP_RETRY_MS: u64 = 300;

/// Order for a worker.
#[derive(Debug)]
pub(crate) enum Order {
    /// Start of a run; it is stored.
    Start(StartOrder, StartTimes),
    /// Stop of a run.
    Stop(StopOrder),
}

/// Times at which a start was decided and stored, in ms.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StartTimes {
    pub(crate) decided_ms: u64,
    pub(crate) stored_ms: u64,
}

/// Time on a worker's clock, and the local time at which it was read, in ms.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClockSample {
    pub(crate) worker_ms: u64,
    pub(crate) local_ms: u64,
}

impl ClockSample {
    /// Lease that an order grants that is sent at a local time; `None` if the worker's clock was read too long ago.
    pub(crate) fn lease(&self, now_ms: u64, timing: &Timing) -> Option<Lease> {
        let age_ms = now_ms.saturating_sub(self.local_ms);
        Some(Lease {
            expires_ms: self.worker_ms + age_ms + timing.lease_ms,
            until_ms: now_ms + timing.granted_lease_bound_ms(age_ms)?,
        })
    }
}

/// Lease that an order grants.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lease {
    /// End on the worker's clock, in ms.
    pub(crate) expires_ms: u64,
    /// Local time by which it has certainly expired, in ms.
    pub(crate) until_ms: u64,
}

/// Data that a worker's monitor shares with other async tasks.
#[derive(Debug, Clone)]
pub(crate) struct WorkerHandle {
    pub(crate) address: SocketAddr,
    pub(crate) orders_tx: Sender<Order>,
    pub(crate) clock: Arc<Mutex<Option<ClockSample>>>,
}

impl WorkerHandle {
    /// Whether both belong to the same monitor.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.clock, &other.clock)
    }

    /// Local time in ms, and the lease that an order grants that is sent then; `None` while the worker's clock is unknown.
    ///
    /// The clock is locked meanwhile, so that no lease counts from a time after the clock was [forgotten](Self::forget_clock).
    pub(crate) fn lease_now(&self, timing: &Timing) -> (u64, Option<Lease>) {
        let clock = lock(&self.clock);
        let now_ms = boot_ms();
        (now_ms, clock.and_then(|clock| clock.lease(now_ms, timing)))
    }

    /// Forgets the worker's clock, so that no lease is granted until it answers. Returns the local time in ms.
    pub(crate) fn forget_clock(&self) -> u64 {
        *lock(&self.clock) = None;
        boot_ms()
    }

    pub(crate) fn new(address: SocketAddr) -> (Self, Receiver<Order>) {
        let (orders_tx, orders_rx) = async_channel::unbounded();
        let handle = Self {
            address,
            orders_tx,
            clock: Arc::default(),
        };
        (handle, orders_rx)
    }
}

/// Sends a worker's orders until the term is over or the worker's monitor has ended.
pub(crate) async fn send_orders(
    term: Arc<Term>,
    to: WorkerEndpoint,
    handle: WorkerHandle,
    orders_rx: Receiver<Order>,
) {
    while let Ok(order) = orders_rx.recv().await {
        if term.is_over() {
            return;
        }
        match order {
            Order::Start(start, times) => {
                send_start(&term, &to, &handle, start, times).await;
            }
            // The worker's runs limit the number of concurrent stops.
            Order::Stop(stop) => {
                let sent = send_stop(Arc::clone(&term), to.clone(), stop);
                term.spawn_task("stop", sent).detach();
            }
        }
    }
}

async fn send_start(
    term: &Arc<Term>,
    to: &WorkerEndpoint,
    handle: &WorkerHandle,
    order: StartOrder,
    times: StartTimes,
) {
    // The lease counts from a time before the checks, so a process that is suspended after them sends an expired order.
    let (now_ms, lease) = handle.lease_now(&term.cell.cfg.timing);
    let (task, run) = (order.task.clone(), order.run);
    let may_send = term.may_start() && now_ms < times.stored_ms + MAX_START_AGE_MS;
    let lease = {
        let mut scheduler = lock(&term.scheduler);
        let lease = lease.filter(|_| may_send && scheduler.is_for_incarnation(&order));
        if !scheduler.has_run(&to.worker, &task, run) {
            // The run was dropped while its start waited to be stored or sent.
            return;
        }
        if let Some(lease) = lease {
            scheduler.extend_lease(&to.worker, lease.until_ms);
        }
        lease
    };
    let result = match lease {
        Some(lease) => {
            let start = TaskStart {
                task: order.task,
                run,
                payload: order.payload,
                checkpoint: order.checkpoint,
                ticket: order.ticket,
                lease_expires_ms: lease.expires_ms,
            };
            term.cell.deps.workers.start(to, &start).await
        }
        None => Err(WorkerError::NotDone {
            step: "start",
            worker: to.worker.clone(),
            problem: Arc::from(
                "not sent: the start is too old, leadership is uncertain, or the worker has started again",
            ),
        }),
    };
    let outcome = start_outcome(&result);
    record_start_result(term, to, &task, run, times.decided_ms, &result);
    if matches!(result, Err(WorkerError::Fenced { .. })) {
        term.step_down("a worker has seen a later leader");
    }
    lock(&term.scheduler).start_result(&to.worker, &task, run, outcome, boot_ms());
    term.wake();
}

/// Counts the result of a start, and logs a failure.
fn record_start_result(
    term: &Term,
    to: &WorkerEndpoint,
    task: &TaskKey,
    run: u32,
    decided_ms: u64,
    result: &Result<(), WorkerError>,
) {
    let took_ms = boot_ms().saturating_sub(decided_ms);
    let label = match start_outcome(result) {
        StartOutcome::Started => "started",
        StartOutcome::NotStarted => "not-started",
        StartOutcome::TicketRefused => "ticket-refused",
        StartOutcome::Unknown => "unknown",
    };
    term.cell.deps.metrics.record_start(label, took_ms);
    lock(&term.stats).record_start(took_ms);
    let log = &term.cell.deps.log;
    match result {
        Ok(()) => {}
        Err(err @ WorkerError::Unknown { .. }) => {
            log_event!(log, START_OUTCOME_UNKNOWN; "task" => task.to_string(), "run" => run,
                "worker" => to.worker.to_string(), "took_ms" => took_ms,
                "problem" => err.to_string());
        }
        Err(err) => {
            log_event!(log, TASK_NOT_STARTED; "task" => task.to_string(), "run" => run,
                "worker" => to.worker.to_string(), "took_ms" => took_ms,
                "problem" => err.to_string());
        }
    }
}

const fn start_outcome(result: &Result<(), WorkerError>) -> StartOutcome {
    match result {
        Ok(()) => StartOutcome::Started,
        Err(WorkerError::TicketRefused { .. }) => StartOutcome::TicketRefused,
        Err(WorkerError::Unknown { .. }) => StartOutcome::Unknown,
        Err(
            WorkerError::Fenced { .. }
            | WorkerError::OtherIncarnation { .. }
            | WorkerError::NotDone { .. },
        ) => StartOutcome::NotStarted,
    }
}

/// Sends a stop until the worker confirms it, the run has ended, or the worker or the term is gone.
async fn send_stop(term: Arc<Term>, to: WorkerEndpoint, order: StopOrder) {
    let StopOrder { worker, task, run } = order;
    if term.is_over() || !lock(&term.scheduler).has_run(&worker, &task, run) {
        return;
    }
    match term.cell.deps.workers.stop(&to, &task, run).await {
        Ok(()) => {
            lock(&term.scheduler).stop_result(&worker, &task, run, boot_ms());
        }
        Err(WorkerError::Fenced { .. }) => term.step_down("a worker has seen a later leader"),
        Err(WorkerError::OtherIncarnation { .. }) => {}
        Err(err) => {
            log_event!(term.cell.deps.log, STOP_FAILED; "task" => task.to_string(),
                "run" => run, "worker" => worker.to_string(), "problem" => err.to_string());
            sleep_ms(STOP_RETRY_MS).await;
            let handle = lock(&term.workers).get(&worker).cloned();
            if let Some(handle) = handle {
                let order = StopOrder { worker, task, run };
                // The channel is closed only when the worker's monitor has ended.
                let _ = handle.orders_tx.try_send(Order::Stop(order));
            }
        }
    }
}
