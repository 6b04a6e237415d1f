//! Link to a worker: a task that sends heartbeats, starts and other commands, one call at a time.

use {
    crate::{
        owner::{Message, OwnerHandle, WorkerReport},
        rows::RunKey,
        shared::Shared,
    },
    async_channel::{Receiver, Sender},
    ragwortreel_model::{Assignment, WorkerId},
    ragwortreel_runtime::{lock, timeout_at, timeout_ms},
    ragwortreel_worker::{
        HeartbeatReply, HeartbeatRequest, StartRequest, TaskCommand, WorkerClient, WorkerError,
        WorkerTaskCache,
    },
    std::{
        collections::BTreeMap,
        mem,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Timeout of one call to a worker, in ms; longer than the timeouts of the client.
const CALL_TIMEOUT_MS: u64 = 4_000;
/// Acknowledged runs in one heartbeat; the others follow with the next heartbeat.
const MAX_ACKNOWLEDGED_RUNS: usize = 512;

/// The heartbeat interval grows up to this fraction of the time since the last change. A later change, such as the end
/// of a run, is noticed with a delay of at most that fraction.
const IDLE_INTERVAL_DIVISOR: u32 = 4;

/// A command for a run on the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunCommand {
    Stop,
    Checkpoint,
    Throttle,
}

/// Outcome of a start call.
#[derive(Debug)]
pub(crate) enum StartOutcome {
    /// For each run, whether the worker accepted it.
    Answered(Vec<bool>),
    /// No run was accepted.
    NotDone,
    /// The start may take effect until the worker's clock is more than the lease time past `echo_ms`, the reading of
    /// that clock that was sent with the start.
    Unknown { echo_ms: u64 },
}

/// Work queued for the link's task; bounded by the runs that the worker can hold.
#[derive(Default)]
struct Outbox {
    starts: Vec<(Assignment, Arc<str>)>,
    commands: BTreeMap<RunKey, RunCommand>,
    acknowledged: Vec<RunKey>,
}

/// Owner's side of the link to a worker.
pub(crate) struct WorkerLink {
    pub worker: WorkerId,
    pub address: SocketAddr,
    client: Arc<dyn WorkerClient>,
    outbox: Mutex<Outbox>,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
    closed: AtomicBool,
}

impl WorkerLink {
    pub fn new(worker: WorkerId, address: SocketAddr, client: Arc<dyn WorkerClient>) -> Arc<Self> {
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        Arc::new(Self {
            worker,
            address,
            client,
            outbox: Mutex::default(),
            wake_tx,
            wake_rx,
            closed: AtomicBool::new(false),
        })
    }

    pub fn queue_start(&self, assignment: Assignment, payload: Arc<str>) {
        lock(&self.outbox).starts.push((assignment, payload));
        self.wake();
    }

    /// Withdraws a start that was not sent yet; returns whether one was queued.
    pub fn withdraw_start(&self, run: &RunKey) -> bool {
        let mut outbox = lock(&self.outbox);
        let before = outbox.starts.len();
        outbox
            .starts
            .retain(|(start, _)| start.task != run.0 || start.attempt != run.1);
        outbox.starts.len() < before
    }

    pub fn queue_command(&self, run: RunKey, command: RunCommand) {
        lock(&self.outbox).commands.insert(run, command);
        self.wake();
    }

    /// Acknowledges the end of a run with the next heartbeat, so that the worker stops reporting it.
    pub fn acknowledge(&self, run: RunKey) {
        lock(&self.outbox).acknowledged.push(run);
    }

    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        self.wake();
    }

    fn wake(&self) {
        let _ = self.wake_tx.try_send(());
    }
}

/// Serves a worker until its link is closed or the pool's ownership ends.
pub(crate) async fn run(
    shared: Arc<Shared>,
    handle: Arc<OwnerHandle>,
    link: Arc<WorkerLink>,
    tx: Sender<Message>,
) {
    let mut task = WorkerLinkTask {
        shared,
        handle,
        link,
        tx,
        echo_ms: None,
        known_tasks: WorkerTaskCache::default(),
        changed_at: Instant::now(),
    };
    let interval = Duration::from_millis(task.shared.cfg.timings.worker_heartbeat_ms);
    let mut next_heartbeat = Instant::now();
    while !task.link.closed.load(Ordering::SeqCst) && !task.handle.is_ownership_ended() {
        if task.shared.stop.is_requested() {
            return;
        }
        if task.handle.may_command(&task.shared) {
            task.send_commands().await;
            task.send_starts().await;
            if task.changed_at.elapsed() < interval {
                next_heartbeat = next_heartbeat.min(task.changed_at + interval);
            }
            if Instant::now() >= next_heartbeat && task.handle.may_command(&task.shared) {
                let begun = Instant::now();
                let is_first = task.echo_ms.is_none();
                next_heartbeat = begun
                    + match task.send_heartbeat().await {
                        // Only a heartbeat with `echo_ms` renews the tasks that an earlier owner started, so send one
                        // immediately.
                        true if is_first => Duration::ZERO,
                        true => task.heartbeat_interval(interval),
                        false => interval,
                    };
            }
        } else {
            next_heartbeat = Instant::now() + interval;
        }
        let _ = timeout_at(next_heartbeat, task.link.wake_rx.recv()).await;
    }
}

struct WorkerLinkTask {
    shared: Arc<Shared>,
    handle: Arc<OwnerHandle>,
    link: Arc<WorkerLink>,
    tx: Sender<Message>,
    /// Reading of the worker's clock in its last usable report. It is sent back with heartbeats and starts, so that the
    /// worker counts leases on its own clock; `None` before the first report.
    echo_ms: Option<u64>,
    /// Tasks last reported by the worker. A link serves a single epoch, so a new owner starts with a complete report.
    known_tasks: WorkerTaskCache,
    /// When the worker last reported a change, or was last sent anything but an idle heartbeat.
    changed_at: Instant,
}

impl WorkerLinkTask {
    /// Interval from the start of an answered heartbeat to the next one.
    fn heartbeat_interval(&self, shortest: Duration) -> Duration {
        let longest = Duration::from_millis(self.shared.cfg.timings.idle_heartbeat_ms());
        (self.changed_at.elapsed() / IDLE_INTERVAL_DIVISOR).clamp(shortest, longest)
    }

    /// Sends a heartbeat; returns whether it got a usable reply.
    async fn send_heartbeat(&mut self) -> bool {
        let acknowledged: Vec<RunKey> = {
            let mut outbox = lock(&self.link.outbox);
            let count = outbox.acknowledged.len().min(MAX_ACKNOWLEDGED_RUNS);
            outbox.acknowledged.drain(..count).collect()
        };
        if !acknowledged.is_empty() {
            self.changed_at = Instant::now();
        }
        let req = HeartbeatRequest {
            pool: self.handle.pool.clone(),
            epoch: self.handle.epoch(),
            echo_ms: self.echo_ms,
            acknowledged,
            base: self.known_tasks.base(),
        };
        let result = timeout_ms(CALL_TIMEOUT_MS, self.link.client.heartbeat(&req)).await;
        match result {
            Ok(Ok(reply)) if reply.worker == self.link.worker => self.deliver_report(reply).await,
            Ok(Err(WorkerError::Fenced { .. })) => {
                self.handle_fenced();
                false
            }
            // Acknowledgements need no retry: the worker reports the runs again, and they are acknowledged again.
            _ => false,
        }
    }

    /// Passes a report to the owner; returns whether it was usable.
    async fn deliver_report(&mut self, reply: HeartbeatReply) -> bool {
        if reply.since.is_none() || !(reply.tasks.is_empty() && reply.forgotten.is_empty()) {
            self.changed_at = Instant::now();
        }
        let (incarnation, clock_ms) = (reply.incarnation, reply.clock_ms);
        let received_ms = self.shared.now_ms();
        // A report that does not continue the last one counts as no reply; the next heartbeat requests a complete
        // report.
        let Ok(tasks) = self.known_tasks.apply(reply) else {
            return false;
        };
        self.echo_ms = Some(clock_ms);
        let report = WorkerReport {
            worker: self.link.worker.clone(),
            incarnation,
            clock_ms,
            tasks,
            received_ms,
        };
        let _ = self.tx.send(Message::WorkerReported(report)).await;
        true
    }

    fn handle_fenced(&self) {
        self.handle.end_ownership();
    }

    async fn send_commands(&mut self) {
        let commands = mem::take(&mut lock(&self.link.outbox).commands);
        if !commands.is_empty() {
            self.changed_at = Instant::now();
        }
        for ((task, attempt), command) in commands {
            let req = TaskCommand {
                pool: self.handle.pool.clone(),
                epoch: self.handle.epoch(),
                task,
                attempt,
            };
            let client = &self.link.client;
            let call = async {
                match command {
                    RunCommand::Stop => client.stop(&req).await,
                    RunCommand::Checkpoint => client.checkpoint(&req).await,
                    RunCommand::Throttle => client.throttle(&req).await,
                }
            };
            // A failed command is repeated when the next report still shows the run.
            if let Ok(Err(WorkerError::Fenced { .. })) = timeout_ms(CALL_TIMEOUT_MS, call).await {
                self.handle_fenced();
                return;
            }
        }
    }

    async fn send_starts(&mut self) {
        // Check the lease immediately before the call: an instance that was paused beyond its lease must not start
        // tasks.
        let Some(echo_ms) = self.echo_ms.filter(|_| self.shared.is_lease_valid()) else {
            return;
        };
        let runs = mem::take(&mut lock(&self.link.outbox).starts);
        if runs.is_empty() || self.handle.is_ownership_ended() {
            return;
        }
        self.changed_at = Instant::now();
        self.shared.counters.starts.add(runs.len());
        let req = StartRequest {
            pool: self.handle.pool.clone(),
            epoch: self.handle.epoch(),
            echo_ms,
            runs,
        };
        let result = timeout_ms(CALL_TIMEOUT_MS, self.link.client.start(&req)).await;
        let outcome = match result {
            Ok(Ok(reply)) if reply.taken.len() == req.runs.len() => {
                StartOutcome::Answered(reply.taken)
            }
            Ok(Err(WorkerError::Fenced { .. })) => {
                self.handle_fenced();
                return;
            }
            Ok(Err(WorkerError::NotDone { .. })) => StartOutcome::NotDone,
            _ => StartOutcome::Unknown { echo_ms },
        };
        let run = |(assignment, _): (Assignment, Arc<str>)| (assignment.task, assignment.attempt);
        let message = Message::StartFinished {
            worker: self.link.worker.clone(),
            runs: req.runs.into_iter().map(run).collect(),
            outcome,
        };
        let _ = self.tx.send(message).await;
    }
}
