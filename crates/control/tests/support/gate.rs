//! Everything that an instance sends goes through its gate, which can hold it back or swallow it.
//!
//! A paused instance's calls are not cancelled by its own time limits: they are delivered late, when it resumes.

use {
    async_trait::async_trait,
    ragwortreel_model::Epoch,
    ragwortreel_platform::{
        InstanceList, ListedInstance, ObjectStore, PlatformError, Row, TableService, Txn,
        TxnOutcome,
    },
    ragwortreel_runtime::{sleep_ms, spawn},
    ragwortreel_standins::{FakeFleet, MemoryPlatform},
    ragwortreel_worker::{
        HeartbeatReply, HeartbeatRequest, StartReply, StartRequest, TaskCommand, WorkerClient,
        WorkerConnector, WorkerError,
    },
    std::{
        future::{Future, pending},
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
    },
};

#[derive(Default)]
pub struct Gate {
    paused: AtomicBool,
    killed: AtomicBool,
    /// Commits whose answers are lost after they took effect.
    lose_commits: AtomicU32,
    /// Starts whose answers are lost after they took effect.
    lose_starts: AtomicU32,
    /// Holds back readings of the control rows.
    hold_scans: AtomicBool,
    /// Holds back starts on their way to workers.
    hold_starts: AtomicBool,
    held_starts: AtomicU32,
    /// Fails all calls to the table before they are sent.
    table_cut: AtomicBool,
    /// Breaks the fence: workers are told one and the same epoch by all owners.
    pub fence_off: AtomicBool,
    /// Breaks compare-and-set: settings are written without their conditions.
    pub version_check_off: AtomicBool,
}

impl Gate {
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    pub fn pause(&self) {
        self.paused.store(true, Ordering::SeqCst);
    }

    pub fn resume(&self) {
        self.paused.store(false, Ordering::SeqCst);
    }

    pub fn hold_scans(&self, hold: bool) {
        self.hold_scans.store(hold, Ordering::SeqCst);
    }

    pub fn cut_table(&self, cut: bool) {
        self.table_cut.store(cut, Ordering::SeqCst);
    }

    fn reach_table(&self, step: &'static str) -> Result<(), PlatformError> {
        if !self.table_cut.load(Ordering::SeqCst) {
            return Ok(());
        }
        Err(PlatformError::Unknown {
            step,
            peer: "test".into(),
            problem: "the table is cut off".into(),
        })
    }

    pub fn hold_starts(&self, hold: bool) {
        self.hold_starts.store(hold, Ordering::SeqCst);
    }

    /// Starts that were held back so far.
    pub fn held_starts(&self) -> u32 {
        self.held_starts.load(Ordering::SeqCst)
    }

    fn epoch(&self, epoch: Epoch) -> Epoch {
        if self.fence_off.load(Ordering::SeqCst) {
            return Epoch(1);
        }
        epoch
    }

    pub fn kill(&self) {
        self.killed.store(true, Ordering::SeqCst);
    }

    pub fn is_killed(&self) -> bool {
        self.killed.load(Ordering::SeqCst)
    }

    pub fn lose_commits(&self, count: u32) {
        self.lose_commits.store(count, Ordering::SeqCst);
    }

    pub fn lose_starts(&self, count: u32) {
        self.lose_starts.store(count, Ordering::SeqCst);
    }

    fn takes(counter: &AtomicU32) -> bool {
        let less = |count: u32| count.checked_sub(1);
        counter
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, less)
            .is_ok()
    }

    /// Waits while the instance is paused, and forever once it is killed.
    pub async fn pass(&self) {
        while self.paused.load(Ordering::SeqCst) && !self.is_killed() {
            sleep_ms(2).await;
        }
        if self.is_killed() {
            pending::<()>().await;
        }
    }

    /// Delivers a call even when the caller gives up waiting.
    pub async fn carry<T: Send + 'static>(
        self: &Arc<Self>,
        call: impl Future<Output = T> + Send + 'static,
    ) -> T {
        let gate = Arc::clone(self);
        let (tx, rx) = async_channel::bounded(1);
        spawn(async move {
            gate.pass().await;
            let answer = call.await;
            gate.pass().await;
            let _ = tx.send(answer).await;
        })
        .detach();
        match rx.recv().await {
            Ok(answer) => answer,
            Err(_) => pending().await,
        }
    }

    pub fn workers(self: &Arc<Self>, fleet: FakeFleet) -> GatedFleet {
        GatedFleet {
            gate: Arc::clone(self),
            fleet,
        }
    }
}

pub struct Gated {
    gate: Arc<Gate>,
    platform: Arc<MemoryPlatform>,
}

impl Gated {
    pub fn new(gate: &Arc<Gate>, platform: Arc<MemoryPlatform>) -> Arc<Self> {
        Arc::new(Self {
            gate: Arc::clone(gate),
            platform,
        })
    }
}

#[async_trait]
impl TableService for Gated {
    async fn commit(&self, mut txn: Txn) -> Result<TxnOutcome, PlatformError> {
        self.gate.reach_table("commit")?;
        let is_settings = txn
            .writes
            .iter()
            .any(|write| &*write.key == "settings/head");
        if is_settings && self.gate.version_check_off.load(Ordering::SeqCst) {
            txn.checks.clear();
        }
        let platform = Arc::clone(&self.platform);
        let answer = self
            .gate
            .carry(async move { platform.commit(txn).await })
            .await;
        if Gate::takes(&self.gate.lose_commits) {
            return Err(PlatformError::Unknown {
                step: "commit",
                peer: "test".into(),
                problem: "the answer was lost".into(),
            });
        }
        answer
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        self.gate.reach_table("get")?;
        let (platform, key) = (Arc::clone(&self.platform), key.to_owned());
        self.gate
            .carry(async move { TableService::get(&*platform, &key).await })
            .await
    }

    async fn scan(&self, prefixes: &[&str]) -> Result<Vec<Row>, PlatformError> {
        while self.gate.hold_scans.load(Ordering::SeqCst) {
            sleep_ms(2).await;
        }
        self.gate.reach_table("scan")?;
        let platform = Arc::clone(&self.platform);
        let prefixes: Vec<String> = prefixes.iter().map(ToString::to_string).collect();
        self.gate
            .carry(async move {
                let prefixes: Vec<&str> = prefixes.iter().map(String::as_str).collect();
                platform.scan(&prefixes).await
            })
            .await
    }
}

#[async_trait]
impl ObjectStore for Gated {
    async fn put(&self, key: &str, value: Vec<u8>) -> Result<(), PlatformError> {
        let (platform, key) = (Arc::clone(&self.platform), key.to_owned());
        self.gate
            .carry(async move { platform.put(&key, value).await })
            .await
    }

    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let (platform, key) = (Arc::clone(&self.platform), key.to_owned());
        self.gate
            .carry(async move { ObjectStore::get(&*platform, &key).await })
            .await
    }

    async fn delete(&self, key: &str) -> Result<(), PlatformError> {
        let (platform, key) = (Arc::clone(&self.platform), key.to_owned());
        self.gate
            .carry(async move { platform.delete(&key).await })
            .await
    }
}

#[async_trait]
impl InstanceList for Gated {
    async fn list(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        let platform = Arc::clone(&self.platform);
        self.gate.carry(async move { platform.list().await }).await
    }
}

pub struct GatedFleet {
    gate: Arc<Gate>,
    fleet: FakeFleet,
}

impl WorkerConnector for GatedFleet {
    fn connect(&self, address: SocketAddr) -> Arc<dyn WorkerClient> {
        Arc::new(GatedWorker {
            gate: Arc::clone(&self.gate),
            client: self.fleet.connect(address),
            address,
        })
    }
}

struct GatedWorker {
    gate: Arc<Gate>,
    client: Arc<dyn WorkerClient>,
    address: SocketAddr,
}

macro_rules! carried {
    ($self:ident, $req:ident, $call:ident) => {{
        let (client, mut req) = (Arc::clone(&$self.client), $req.clone());
        req.epoch = $self.gate.epoch(req.epoch);
        $self
            .gate
            .carry(async move { client.$call(&req).await })
            .await
    }};
}

#[async_trait]
impl WorkerClient for GatedWorker {
    async fn heartbeat(&self, req: &HeartbeatRequest) -> Result<HeartbeatReply, WorkerError> {
        carried!(self, req, heartbeat)
    }

    async fn start(&self, req: &StartRequest) -> Result<StartReply, WorkerError> {
        let (client, gate, mut req) = (
            Arc::clone(&self.client),
            Arc::clone(&self.gate),
            req.clone(),
        );
        req.epoch = gate.epoch(req.epoch);
        let start = async move {
            if gate.hold_starts.load(Ordering::SeqCst) {
                gate.held_starts.fetch_add(1, Ordering::SeqCst);
            }
            while gate.hold_starts.load(Ordering::SeqCst) {
                sleep_ms(2).await;
            }
            client.start(&req).await
        };
        let answer = self.gate.carry(start).await;
        if Gate::takes(&self.gate.lose_starts) {
            return Err(WorkerError::Unknown {
                step: "start",
                peer: self.address,
                problem: "the answer was lost".into(),
            });
        }
        answer
    }

    async fn stop(&self, req: &TaskCommand) -> Result<(), WorkerError> {
        carried!(self, req, stop)
    }

    async fn checkpoint(&self, req: &TaskCommand) -> Result<(), WorkerError> {
        carried!(self, req, checkpoint)
    }

    async fn throttle(&self, req: &TaskCommand) -> Result<(), WorkerError> {
        carried!(self, req, throttle)
    }
}
