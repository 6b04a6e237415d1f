//! Simulated workers in process and their implementation of the worker client traits.

use {
    crate::{
        faults::{FaultInjector, Outage},
        worker::{
            history::{RunHistory, RunRecord, Violation},
            state::{CommandKind, Fenced, WorkerCounts, WorkerSpec, WorkerState},
        },
    },
    async_trait::async_trait,
    ragwortreel_model::{Clock, Epoch, Resources, SystemClock, Zone},
    ragwortreel_runtime::{sleep_ms, spawn},
    ragwortreel_worker::{
        HeartbeatReply, HeartbeatRequest, StartReply, StartRequest, TaskCommand, WorkerClient,
        WorkerConnector, WorkerError,
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// Command to a worker.
#[derive(Debug, Clone)]
pub enum WorkerCall {
    /// Renews the lease and requests a report.
    Heartbeat(HeartbeatRequest),
    /// Starts runs.
    Start(StartRequest),
    /// Stops, checkpoints or throttles a run.
    Task(CommandKind, TaskCommand),
}

/// Reply to a command.
#[derive(Debug, Clone)]
pub enum WorkerReply {
    /// Report of the runs, in reply to a heartbeat.
    Report(HeartbeatReply),
    /// Acceptance of each run, in reply to a start.
    Started(StartReply),
    /// The command was executed; in reply to a stop, checkpoint or throttle.
    Done,
}

/// Failure of a command to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerCallError {
    /// Not executed: the worker has seen a higher epoch.
    Fenced(Fenced),
    /// Not executed: the worker refuses connections.
    Unavailable,
    /// Not executed, and the caller gets no reply.
    RequestLost,
    /// The caller gets no reply, but the command was executed or, if it is late, will be.
    ReplyLost,
}

/// Simulated worker with fault injection.
pub struct FakeWorker {
    state: Mutex<WorkerState>,
    faults: FaultInjector,
}

impl FakeWorker {
    /// Creates a worker without runs; all workers of a test must share the clock and the history.
    #[must_use]
    pub fn new(spec: WorkerSpec, clock: Arc<dyn Clock>, history: Arc<RunHistory>) -> Arc<Self> {
        let state = WorkerState::new(spec, clock, history);
        Arc::new(Self {
            state: Mutex::new(state),
            faults: FaultInjector::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the fault injector.
    #[must_use]
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    /// Sets the incarnation, 1 by default; must be called before the first command.
    pub fn set_incarnation(&self, incarnation: u32) {
        self.lock().set_incarnation(incarnation);
    }

    /// Simulates a restart of the machine: loses all runs and starts the next incarnation.
    pub fn restart(&self) {
        self.lock().restart();
    }

    /// Ends all runs that have finished or whose lease has expired.
    pub fn end_due_runs(&self) {
        self.lock().end_due_runs();
    }

    /// Returns the counters; runs that have ended since the last command are not counted yet.
    #[must_use]
    pub fn counts(&self) -> WorkerCounts {
        self.lock().counts
    }

    /// Returns the capacity that no run in progress has reserved.
    #[must_use]
    pub fn free(&self) -> Resources {
        let mut state = self.lock();
        state.end_due_runs();
        state.free()
    }

    /// Returns all runs of this worker, including those of earlier incarnations.
    #[must_use]
    pub fn records(&self) -> Vec<RunRecord> {
        let mut state = self.lock();
        state.end_due_runs();
        state.records()
    }

    /// Returns the number of runs in progress.
    #[must_use]
    pub fn running(&self) -> usize {
        let mut state = self.lock();
        state.end_due_runs();
        state.running()
    }

    /// Executes a command with the faults injected; `zone` is the availability zone of the caller.
    ///
    /// # Errors
    ///
    /// Returns an error if the command was refused or the caller gets no reply. On [`WorkerCallError::ReplyLost`] the
    /// command is executed nevertheless.
    pub async fn call_from(
        self: &Arc<Self>,
        zone: Option<&Zone>,
        call: WorkerCall,
    ) -> Result<WorkerReply, WorkerCallError> {
        let decision = self.faults.decide(zone);
        if decision.delay_ms > 0 {
            sleep_ms(decision.delay_ms).await;
        }
        match decision.outage {
            Some(Outage::Refuse) => return Err(WorkerCallError::Unavailable),
            Some(Outage::Silent) => return Err(WorkerCallError::RequestLost),
            None => {}
        }
        if let Some(late_by_ms) = decision.late_by_ms {
            let worker = Arc::clone(self);
            spawn(async move {
                sleep_ms(late_by_ms).await;
                let _ = worker.apply(&call);
            })
            .detach();
            return Err(WorkerCallError::ReplyLost);
        }
        let reply = self.apply(&call).map_err(WorkerCallError::Fenced)?;
        if decision.lose_reply {
            return Err(WorkerCallError::ReplyLost);
        }
        Ok(reply)
    }

    fn apply(&self, call: &WorkerCall) -> Result<WorkerReply, Fenced> {
        let fail_starts = self.faults.current().fail_starts;
        let mut state = self.lock();
        match call {
            WorkerCall::Heartbeat(req) => state.heartbeat(req).map(WorkerReply::Report),
            WorkerCall::Start(req) => {
                let started = state.start(req, fail_starts);
                started.map(WorkerReply::Started)
            }
            WorkerCall::Task(kind, req) => {
                let done = state.command(*kind, req);
                done.map(|()| WorkerReply::Done)
            }
        }
    }
}

/// Client of a worker in process, for a caller in an availability zone.
struct FakeClient {
    /// Absent if no worker has the address.
    worker: Option<Arc<FakeWorker>>,
    address: SocketAddr,
    zone: Option<Zone>,
}

impl FakeClient {
    async fn call(
        &self,
        step: &'static str,
        epoch: Epoch,
        call: WorkerCall,
    ) -> Result<WorkerReply, WorkerError> {
        let peer = self.address;
        let Some(worker) = &self.worker else {
            return Err(not_done(step, peer, "no worker has this address"));
        };
        let reply = worker.call_from(self.zone.as_ref(), call).await;
        reply.map_err(|err| match err {
            WorkerCallError::Fenced(Fenced { seen }) => WorkerError::Fenced {
                step,
                peer,
                epoch,
                seen,
            },
            WorkerCallError::Unavailable => not_done(step, peer, "connection refused"),
            WorkerCallError::RequestLost | WorkerCallError::ReplyLost => {
                unknown(step, peer, "no answer")
            }
        })
    }

    async fn command(
        &self,
        step: &'static str,
        kind: CommandKind,
        req: &TaskCommand,
    ) -> Result<(), WorkerError> {
        let call = WorkerCall::Task(kind, req.clone());
        self.call(step, req.epoch, call).await.map(drop)
    }
}

fn not_done(step: &'static str, peer: SocketAddr, problem: &str) -> WorkerError {
    WorkerError::NotDone {
        step,
        peer,
        problem: Arc::from(problem),
    }
}

fn unknown(step: &'static str, peer: SocketAddr, problem: &str) -> WorkerError {
    WorkerError::Unknown {
        step,
        peer,
        problem: Arc::from(problem),
    }
}

#[async_trait]
impl WorkerClient for FakeClient {
    async fn heartbeat(&self, req: &HeartbeatRequest) -> Result<HeartbeatReply, WorkerError> {
        let call = WorkerCall::Heartbeat(req.clone());
        match self.call("heartbeat", req.epoch, call).await? {
            WorkerReply::Report(report) => Ok(report),
            _ => Err(unknown("heartbeat", self.address, "answer of another kind")),
        }
    }

    async fn start(&self, req: &StartRequest) -> Result<StartReply, WorkerError> {
        let call = WorkerCall::Start(req.clone());
        match self.call("start", req.epoch, call).await? {
            WorkerReply::Started(started) => Ok(started),
            _ => Err(unknown("start", self.address, "answer of another kind")),
        }
    }

    async fn stop(&self, req: &TaskCommand) -> Result<(), WorkerError> {
        self.command("stop", CommandKind::Stop, req).await
    }

    async fn checkpoint(&self, req: &TaskCommand) -> Result<(), WorkerError> {
        self.command("checkpoint", CommandKind::Checkpoint, req)
            .await
    }

    async fn throttle(&self, req: &TaskCommand) -> Result<(), WorkerError> {
        self.command("throttle", CommandKind::Throttle, req).await
    }
}

/// Simulated workers by address, which share one clock and one run history.
///
/// Implements [`WorkerConnector`], so tests use it in place of connections over HTTP.
pub struct FakeFleet {
    shared: Arc<Shared>,
    zone: Option<Zone>,
}

struct Shared {
    clock: Arc<dyn Clock>,
    history: Arc<RunHistory>,
    workers: Mutex<BTreeMap<SocketAddr, Arc<FakeWorker>>>,
}

impl Default for FakeFleet {
    fn default() -> Self {
        Self::new(Arc::new(SystemClock::new()))
    }
}

impl FakeFleet {
    /// Creates a fleet without workers.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let shared = Shared {
            clock,
            history: Arc::new(RunHistory::default()),
            workers: Mutex::new(BTreeMap::new()),
        };
        Self {
            shared: Arc::new(shared),
            zone: None,
        }
    }

    /// Returns the same fleet for callers in an availability zone, which [`Faults::cut_zones`] can partition.
    ///
    /// [`Faults::cut_zones`]: crate::Faults::cut_zones
    #[must_use]
    pub fn in_zone(&self, zone: Zone) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            zone: Some(zone),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Arc<FakeWorker>>> {
        (self.shared.workers.lock()).unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates a worker with the fleet's clock and history but without an address; see [`FakeFleet::insert`].
    #[must_use]
    pub fn create(&self, spec: WorkerSpec) -> Arc<FakeWorker> {
        let clock = Arc::clone(&self.shared.clock);
        FakeWorker::new(spec, clock, Arc::clone(&self.shared.history))
    }

    /// Makes a worker reachable at an address.
    pub fn insert(&self, address: SocketAddr, worker: Arc<FakeWorker>) {
        self.lock().insert(address, worker);
    }

    /// Creates a worker and makes it reachable at an address in process; no socket is opened.
    #[allow(
        clippy::must_use_candidate,
        reason = "the worker can be found by its address"
    )]
    pub fn add(&self, address: SocketAddr, spec: WorkerSpec) -> Arc<FakeWorker> {
        let worker = self.create(spec);
        self.insert(address, Arc::clone(&worker));
        worker
    }

    /// Returns the worker at an address.
    #[must_use]
    pub fn worker(&self, address: SocketAddr) -> Option<Arc<FakeWorker>> {
        self.lock().get(&address).cloned()
    }

    /// Returns the history of all runs; call [`FakeFleet::end_due_runs`] first to include all ends.
    #[must_use]
    pub fn history(&self) -> &RunHistory {
        &self.shared.history
    }

    /// Ends all runs on all workers that have finished or whose lease has expired.
    pub fn end_due_runs(&self) {
        for worker in self.lock().values() {
            worker.end_due_runs();
        }
    }

    /// Returns the overlapping runs of a task and the runs that were started twice, on all workers.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        self.end_due_runs();
        self.shared.history.violations()
    }
}

impl WorkerConnector for FakeFleet {
    fn connect(&self, address: SocketAddr) -> Arc<dyn WorkerClient> {
        Arc::new(FakeClient {
            worker: self.worker(address),
            address,
            zone: self.zone.clone(),
        })
    }
}
