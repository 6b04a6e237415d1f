//! One task for each worker: heartbeats, starts and other commands, one call at a time.

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

/// Time for one call to a worker, in ms; above the client's own limits.
const CALL_LIMIT_MS: u64 = 4_000;
/// Most acknowledged runs in one heartbeat; the others follow with the next.
const MAX_ACKNOWLEDGED: usize = 512;

/// Part of the time without a change that the interval may reach; an end is noticed later by no more than that part.
const QUIET_PART: u32 = 4;

/// A command that concerns one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunCommand {
    Stop,
    Checkpoint,
    Throttle,
}

/// What came of a start.
#[derive(Debug)]
pub(crate) enum StartOutcome {
    /// Whether each run was taken.
    Answered(Vec<bool>),
    /// No run was taken.
    NotDone,
    /// The start may take effect until the worker's clock has passed the echo by the lease time.
    Unknown { echo_ms: u64 },
}

/// Work for a worker's task; bounded by the runs that the worker can hold.
#[derive(Default)]
struct Outbox {
    starts: Vec<(Assignment, Arc<str>)>,
    commands: BTreeMap<RunKey, RunCommand>,
    acknowledged: Vec<RunKey>,
}

/// A worker's task as seen by the owner.
pub(crate) struct Link {
    pub worker: WorkerId,
    pub address: SocketAddr,
    client: Arc<dyn WorkerClient>,
    outbox: Mutex<Outbox>,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
    closed: AtomicBool,
}

impl Link {
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

    pub fn start(&self, assignment: Assignment, payload: Arc<str>) {
        lock(&self.outbox).starts.push((assignment, payload));
        self.wake();
    }

    /// Takes back a start that was not handed to the worker yet.
    pub fn take_back(&self, run: &RunKey) -> bool {
        let mut outbox = lock(&self.outbox);
        let before = outbox.starts.len();
        outbox
            .starts
            .retain(|(start, _)| start.task != run.0 || start.attempt != run.1);
        outbox.starts.len() < before
    }

    pub fn command(&self, run: RunKey, command: RunCommand) {
        lock(&self.outbox).commands.insert(run, command);
        self.wake();
    }

    /// Lets the worker forget a run with its next heartbeat.
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

/// Serves a worker until its link is closed or the pool is dropped.
pub(crate) async fn run(
    shared: Arc<Shared>,
    handle: Arc<OwnerHandle>,
    link: Arc<Link>,
    tx: Sender<Message>,
) {
    let mut task = LinkTask {
        shared,
        handle,
        link,
        tx,
        echo_ms: None,
        known: WorkerTaskCache::default(),
        changed: Instant::now(),
    };
    let interval = Duration::from_millis(task.shared.cfg.timings.worker_heartbeat_ms);
    let mut next_beat = Instant::now();
    while !task.link.closed.load(Ordering::SeqCst) && !task.handle.is_dropped() {
        if task.shared.stop.is_requested() {
            return;
        }
        if task.handle.may_command(&task.shared) {
            task.send_commands().await;
            task.send_starts().await;
            if task.changed.elapsed() < interval {
                next_beat = next_beat.min(task.changed + interval);
            }
            if Instant::now() >= next_beat && task.handle.may_command(&task.shared) {
                let begun = Instant::now();
                let is_first = task.echo_ms.is_none();
                next_beat = begun
                    + match task.beat().await {
                        // Only a heartbeat with an echo renews the tasks that an earlier owner started.
                        true if is_first => Duration::ZERO,
                        true => task.interval(interval),
                        false => interval,
                    };
            }
        } else {
            next_beat = Instant::now() + interval;
        }
        let _ = timeout_at(next_beat, task.link.wake_rx.recv()).await;
    }
}

struct LinkTask {
    shared: Arc<Shared>,
    handle: Arc<OwnerHandle>,
    link: Arc<Link>,
    tx: Sender<Message>,
    echo_ms: Option<u64>,
    /// The worker's tasks; a link serves one epoch, so a new owner starts from a complete report.
    known: WorkerTaskCache,
    /// When something was last sent to the worker or reported by it, other than that all is as before.
    changed: Instant,
}

impl LinkTask {
    /// Time from the start of an answered heartbeat to the next one.
    fn interval(&self, shortest: Duration) -> Duration {
        let longest = Duration::from_millis(self.shared.cfg.timings.idle_heartbeat_ms());
        (self.changed.elapsed() / QUIET_PART).clamp(shortest, longest)
    }

    /// Sends a heartbeat; returns whether it was answered.
    async fn beat(&mut self) -> bool {
        let acknowledged: Vec<RunKey> = {
            let mut outbox = lock(&self.link.outbox);
            let count = outbox.acknowledged.len().min(MAX_ACKNOWLEDGED);
            outbox.acknowledged.drain(..count).collect()
        };
        if !acknowledged.is_empty() {
            self.changed = Instant::now();
        }
        let req = HeartbeatRequest {
            pool: self.handle.pool.clone(),
            epoch: self.handle.epoch(),
            echo_ms: self.echo_ms,
            acknowledged,
            base: self.known.base(),
        };
        let result = timeout_ms(CALL_LIMIT_MS, self.link.client.heartbeat(&req)).await;
        match result {
            Ok(Ok(reply)) if reply.worker == self.link.worker => self.report(reply).await,
            Ok(Err(WorkerError::Fenced { .. })) => {
                self.fenced();
                false
            }
            // Acknowledgements need not be repeated: the worker reports the run again, which is acknowledged again.
            _ => false,
        }
    }

    /// Hands a report to the owner; returns whether it could be used.
    async fn report(&mut self, reply: HeartbeatReply) -> bool {
        if reply.since.is_none() || !(reply.tasks.is_empty() && reply.forgotten.is_empty()) {
            self.changed = Instant::now();
        }
        let (incarnation, clock_ms) = (reply.incarnation, reply.clock_ms);
        let received_ms = self.shared.now_ms();
        // A report that does not continue the last one counts as no answer; the next heartbeat asks for a complete one.
        let Ok(tasks) = self.known.apply(reply) else {
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
        let _ = self.tx.send(Message::Report(report)).await;
        true
    }

    fn fenced(&self) {
        self.handle.drop_now();
    }

    async fn send_commands(&mut self) {
        let commands = mem::take(&mut lock(&self.link.outbox).commands);
        if !commands.is_empty() {
            self.changed = Instant::now();
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
            // A failed command is repeated when the next report shows that the run is still alive.
            if let Ok(Err(WorkerError::Fenced { .. })) = timeout_ms(CALL_LIMIT_MS, call).await {
                self.fenced();
                return;
            }
        }
    }

    async fn send_starts(&mut self) {
        // The lease is checked at the moment of use: an instance that was paused past it must not start anything.
        let Some(echo_ms) = self.echo_ms.filter(|_| self.shared.is_lease_valid()) else {
            return;
        };
        let runs = mem::take(&mut lock(&self.link.outbox).starts);
        if runs.is_empty() || self.handle.is_dropped() {
            return;
        }
        self.changed = Instant::now();
        self.shared.counters.starts.add(runs.len());
        let req = StartRequest {
            pool: self.handle.pool.clone(),
            epoch: self.handle.epoch(),
            echo_ms,
            runs,
        };
        let result = timeout_ms(CALL_LIMIT_MS, self.link.client.start(&req)).await;
        let outcome = match result {
            Ok(Ok(reply)) if reply.taken.len() == req.runs.len() => {
                StartOutcome::Answered(reply.taken)
            }
            Ok(Err(WorkerError::Fenced { .. })) => {
                self.fenced();
                return;
            }
            Ok(Err(WorkerError::NotDone { .. })) => StartOutcome::NotDone,
            _ => StartOutcome::Unknown { echo_ms },
        };
        let run = |(assignment, _): (Assignment, Arc<str>)| (assignment.task, assignment.attempt);
        let message = Message::StartDone {
            worker: self.link.worker.clone(),
            runs: req.runs.into_iter().map(run).collect(),
            outcome,
        };
        let _ = self.tx.send(message).await;
    }
}
