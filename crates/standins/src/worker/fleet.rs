//! Workers in process, reached through the client interface.

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

/// A command to a worker.
#[derive(Debug, Clone)]
pub enum WorkerCall {
    /// Renews leases.
    Heartbeat(HeartbeatRequest),
    /// Starts runs.
    Start(StartRequest),
    /// Ends or limits a run.
    Task(CommandKind, TaskCommand),
}

/// Answer to a command.
#[derive(Debug, Clone)]
pub enum WorkerReply {
    /// Report.
    Report(HeartbeatReply),
    /// Which runs were taken.
    Started(StartReply),
    /// Done.
    Done,
}

/// Why a command got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerCallError {
    /// The epoch is too low.
    Fenced(Fenced),
    /// Refused, as by a machine that is off.
    Unavailable,
    /// Not done, and the caller hears nothing.
    RequestLost,
    /// The caller hears nothing; the command took effect or will.
    ReplyLost,
}

/// A worker in memory with fault switches.
pub struct FakeWorker {
    state: Mutex<WorkerState>,
    faults: FaultInjector,
}

impl FakeWorker {
    /// Makes a worker without tasks; all workers of a test share the clock and the history.
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

    /// The fault switches.
    #[must_use]
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    /// Takes an incarnation before the first command, in place of 1.
    pub fn set_incarnation(&self, incarnation: u32) {
        self.lock().set_incarnation(incarnation);
    }

    /// Loses all tasks and starts again with the next incarnation.
    pub fn restart(&self) {
        self.lock().restart();
    }

    /// Records the ends of all runs that are due.
    pub fn end_due_runs(&self) {
        self.lock().end_due_runs();
    }

    /// Commands so far.
    #[must_use]
    pub fn counts(&self) -> WorkerCounts {
        self.lock().counts
    }

    /// Capacity that no running task holds.
    #[must_use]
    pub fn free(&self) -> Resources {
        let mut state = self.lock();
        state.end_due_runs();
        state.free()
    }

    /// All runs that were started here, of all incarnations.
    #[must_use]
    pub fn records(&self) -> Vec<RunRecord> {
        let mut state = self.lock();
        state.end_due_runs();
        state.records()
    }

    /// Number of running tasks.
    #[must_use]
    pub fn running(&self) -> usize {
        let mut state = self.lock();
        state.end_due_runs();
        state.running()
    }

    /// Serves a command from a zone.
    ///
    /// # Errors
    ///
    /// Returns why the caller gets no answer; the command itself may have taken effect.
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
        let answer = self.apply(&call).map_err(WorkerCallError::Fenced)?;
        if decision.lose_answer {
            return Err(WorkerCallError::ReplyLost);
        }
        Ok(answer)
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

/// Client of a worker in process, as seen from a zone.
struct FakeClient {
    worker: Option<Arc<FakeWorker>>,
    address: SocketAddr,
    zone: Option<Zone>,
}

impl FakeClient {
    async fn ask(
        &self,
        step: &'static str,
        epoch: Epoch,
        call: WorkerCall,
    ) -> Result<WorkerReply, WorkerError> {
        let peer = self.address;
        let Some(worker) = &self.worker else {
            return Err(not_done(step, peer, "no worker has this address"));
        };
        let answer = worker.call_from(self.zone.as_ref(), call).await;
        answer.map_err(|no_answer| match no_answer {
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
        self.ask(step, req.epoch, call).await.map(drop)
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
        match self.ask("heartbeat", req.epoch, call).await? {
            WorkerReply::Report(report) => Ok(report),
            _ => Err(unknown("heartbeat", self.address, "answer of another kind")),
        }
    }

    async fn start(&self, req: &StartRequest) -> Result<StartReply, WorkerError> {
        let call = WorkerCall::Start(req.clone());
        match self.ask("start", req.epoch, call).await? {
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

/// Workers in process by address, with one clock and one history.
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
    /// Makes an empty fleet.
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

    /// The same fleet as seen from a zone, which a partition may cut off.
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

    /// Makes a worker that shares the fleet's clock and history, without an address yet.
    #[must_use]
    pub fn create(&self, spec: WorkerSpec) -> Arc<FakeWorker> {
        let clock = Arc::clone(&self.shared.clock);
        FakeWorker::new(spec, clock, Arc::clone(&self.shared.history))
    }

    /// Gives a worker an address.
    pub fn insert(&self, address: SocketAddr, worker: Arc<FakeWorker>) {
        self.lock().insert(address, worker);
    }

    /// Adds a worker; the address only names it.
    #[allow(
        clippy::must_use_candidate,
        reason = "the worker can be found by its address"
    )]
    pub fn add(&self, address: SocketAddr, spec: WorkerSpec) -> Arc<FakeWorker> {
        let worker = self.create(spec);
        self.insert(address, Arc::clone(&worker));
        worker
    }

    /// A worker by address.
    #[must_use]
    pub fn worker(&self, address: SocketAddr) -> Option<Arc<FakeWorker>> {
        self.lock().get(&address).cloned()
    }

    /// The record of all runs; ends are complete after [`FakeFleet::end_due_runs`].
    #[must_use]
    pub fn history(&self) -> &RunHistory {
        &self.shared.history
    }

    /// Records the ends of all runs that are due.
    pub fn end_due_runs(&self) {
        for worker in self.lock().values() {
            worker.end_due_runs();
        }
    }

    /// Breaches of "a task never runs in two places at once" up to now.
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
