//! Workers in process, reached through the client interface.

use {
    crate::{
        faults::{FaultSwitch, Outage},
        worker::{
            history::{RunHistory, RunRecord, Violation},
            machine::{CommandKind, Fenced, Machine, WorkerCounts, WorkerSpec},
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
pub enum WorkerAnswer {
    /// Report.
    Report(HeartbeatReply),
    /// Which runs were taken.
    Started(StartReply),
    /// Done.
    Done,
}

/// Why a command got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoWorkerAnswer {
    /// The epoch is too low.
    Fenced(Fenced),
    /// Refused, as by a machine that is off.
    Down,
    /// Not done, and the caller hears nothing.
    Silent,
    /// The caller hears nothing; the command took effect or will.
    Lost,
}

/// A worker in memory with fault switches.
pub struct FakeWorker {
    machine: Mutex<Machine>,
    faults: FaultSwitch,
}

impl FakeWorker {
    /// Makes a worker without tasks; all workers of a test share the clock and the history.
    #[must_use]
    pub fn new(spec: WorkerSpec, clock: Arc<dyn Clock>, history: Arc<RunHistory>) -> Arc<Self> {
        let machine = Machine::new(spec, clock, history);
        Arc::new(Self {
            machine: Mutex::new(machine),
            faults: FaultSwitch::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Machine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The fault switches.
    #[must_use]
    pub fn faults(&self) -> &FaultSwitch {
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
    pub fn settle(&self) {
        self.lock().settle();
    }

    /// Commands so far.
    #[must_use]
    pub fn counts(&self) -> WorkerCounts {
        self.lock().counts
    }

    /// Capacity that no running task holds.
    #[must_use]
    pub fn free(&self) -> Resources {
        let mut machine = self.lock();
        machine.settle();
        machine.free()
    }

    /// All runs that were started here, of all incarnations.
    #[must_use]
    pub fn records(&self) -> Vec<RunRecord> {
        let mut machine = self.lock();
        machine.settle();
        machine.records()
    }

    /// Number of running tasks.
    #[must_use]
    pub fn running(&self) -> usize {
        let mut machine = self.lock();
        machine.settle();
        machine.running()
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
    ) -> Result<WorkerAnswer, NoWorkerAnswer> {
        let verdict = self.faults.decide(zone);
        if verdict.delay_ms > 0 {
            sleep_ms(verdict.delay_ms).await;
        }
        match verdict.outage {
            Some(Outage::Refuse) => return Err(NoWorkerAnswer::Down),
            Some(Outage::Silent) => return Err(NoWorkerAnswer::Silent),
            None => {}
        }
        if let Some(late_by_ms) = verdict.late_by_ms {
            let worker = Arc::clone(self);
            spawn(async move {
                sleep_ms(late_by_ms).await;
                let _ = worker.apply(&call);
            })
            .detach();
            return Err(NoWorkerAnswer::Lost);
        }
        let answer = self.apply(&call).map_err(NoWorkerAnswer::Fenced)?;
        if verdict.lose_answer {
            return Err(NoWorkerAnswer::Lost);
        }
        Ok(answer)
    }

    fn apply(&self, call: &WorkerCall) -> Result<WorkerAnswer, Fenced> {
        let fail_starts = self.faults.current().fail_starts;
        let mut machine = self.lock();
        match call {
            WorkerCall::Heartbeat(req) => machine.heartbeat(req).map(WorkerAnswer::Report),
            WorkerCall::Start(req) => {
                let started = machine.start(req, fail_starts);
                started.map(WorkerAnswer::Started)
            }
            WorkerCall::Task(kind, req) => {
                let done = machine.command(*kind, req);
                done.map(|()| WorkerAnswer::Done)
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
    ) -> Result<WorkerAnswer, WorkerError> {
        let peer = self.address;
        let Some(worker) = &self.worker else {
            return Err(not_done(step, peer, "no worker has this address"));
        };
        let answer = worker.call_from(self.zone.as_ref(), call).await;
        answer.map_err(|no_answer| match no_answer {
            NoWorkerAnswer::Fenced(Fenced { seen }) => WorkerError::Fenced {
                step,
                peer,
                epoch,
                seen,
            },
            NoWorkerAnswer::Down => not_done(step, peer, "connection refused"),
            NoWorkerAnswer::Silent | NoWorkerAnswer::Lost => unknown(step, peer, "no answer"),
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
            WorkerAnswer::Report(report) => Ok(report),
            _ => Err(unknown("heartbeat", self.address, "answer of another kind")),
        }
    }

    async fn start(&self, req: &StartRequest) -> Result<StartReply, WorkerError> {
        let call = WorkerCall::Start(req.clone());
        match self.ask("start", req.epoch, call).await? {
            WorkerAnswer::Started(started) => Ok(started),
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
    pub fn make(&self, spec: WorkerSpec) -> Arc<FakeWorker> {
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
        let worker = self.make(spec);
        self.insert(address, Arc::clone(&worker));
        worker
    }

    /// A worker by address.
    #[must_use]
    pub fn worker(&self, address: SocketAddr) -> Option<Arc<FakeWorker>> {
        self.lock().get(&address).cloned()
    }

    /// The record of all runs; ends are complete after [`FakeFleet::settle`].
    #[must_use]
    pub fn history(&self) -> &RunHistory {
        &self.shared.history
    }

    /// Records the ends of all runs that are due.
    pub fn settle(&self) {
        for worker in self.lock().values() {
            worker.settle();
        }
    }

    /// Breaches of "a task never runs in two places at once" up to now.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        self.settle();
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
