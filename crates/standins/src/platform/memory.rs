//! The platform's services in memory, with rate limits and faults.
//!
//! [`MemoryPlatform`] implements the client interfaces directly for fast tests. The HTTP stand-in serves the same
//! object through [`MemoryPlatform::call`].

use {
    crate::{
        faults::{FaultDecision, FaultInjector, Outage},
        platform::{
            instance_list::LaggingInstanceList,
            rate_limit::{PlatformCounts, RateLimiter, RateLimits},
            table::MemoryTable,
        },
    },
    async_trait::async_trait,
    ragwortreel_model::{InstanceId, Zone},
    ragwortreel_platform::{
        InstanceList, InstanceState, ListedInstance, MAX_TXN_BYTES, MAX_TXN_ROWS, ObjectStore,
        PlatformError, Row, TableService, Txn, TxnOutcome,
    },
    ragwortreel_runtime::{sleep_ms, spawn},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// A call to the platform.
#[derive(Debug, Clone)]
pub enum PlatformCall {
    /// Runs a transaction.
    Commit(Txn),
    /// Reads a row.
    Get(Arc<str>),
    /// Reads all rows under prefixes.
    Scan(Vec<Arc<str>>),
    /// Writes an object.
    PutObject(Arc<str>, Vec<u8>),
    /// Reads an object.
    GetObject(Arc<str>),
    /// Deletes an object.
    DeleteObject(Arc<str>),
    /// Reads the list of instances.
    List,
}

/// Answer to a call.
#[derive(Debug, Clone)]
pub enum PlatformReply {
    /// Result of a transaction.
    Txn(TxnOutcome),
    /// Row that was read.
    Row(Option<Row>),
    /// Rows that were read.
    Rows(Vec<Row>),
    /// Object that was read.
    Object(Option<Vec<u8>>),
    /// Object written or deleted.
    Done,
    /// Instances.
    Instances(Vec<ListedInstance>),
}

/// Why a call got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// Refused: the service is down.
    Unavailable,
    /// Refused: above the rate limit.
    RateLimited,
    /// Refused: more than one transaction may hold.
    TooLarge,
    /// Not done, and the caller hears nothing.
    RequestLost,
    /// The caller hears nothing; a write took effect or will.
    ReplyLost,
}

/// The platform's services in memory.
#[derive(Debug)]
pub struct MemoryPlatform {
    shared: Arc<Shared>,
    zone: Option<Zone>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    faults: FaultInjector,
}

#[derive(Debug)]
struct State {
    table: MemoryTable,
    objects: BTreeMap<Arc<str>, Vec<u8>>,
    list: LaggingInstanceList,
    meter: RateLimiter,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MemoryPlatform {
    /// Makes empty services without rate limits.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Self::with_limits(RateLimits::NONE, 0)
    }

    /// Makes empty services with rate limits and a seed for random faults.
    #[must_use]
    pub fn with_limits(limits: RateLimits, seed: u64) -> Arc<Self> {
        let state = State {
            table: MemoryTable::default(),
            objects: BTreeMap::new(),
            list: LaggingInstanceList::default(),
            meter: RateLimiter::new(limits),
        };
        let shared = Shared {
            state: Mutex::new(state),
            faults: FaultInjector::new(seed),
        };
        Arc::new(Self {
            shared: Arc::new(shared),
            zone: None,
        })
    }

    /// The same services as seen from a zone, which a partition may cut off.
    #[must_use]
    pub fn in_zone(&self, zone: Zone) -> Arc<Self> {
        Arc::new(Self {
            shared: Arc::clone(&self.shared),
            zone: Some(zone),
        })
    }

    /// The fault switches.
    #[must_use]
    pub fn faults(&self) -> &FaultInjector {
        &self.shared.faults
    }

    /// Calls so far.
    #[must_use]
    pub fn counts(&self) -> PlatformCounts {
        self.shared.lock().meter.counts
    }

    /// Sets the age of what readers of the instance list see.
    pub fn set_list_lag_ms(&self, lag_ms: u64) {
        self.shared.lock().list.set_lag_ms(lag_ms);
    }

    /// Adds an instance to the list or replaces it.
    pub fn put_instance(&self, instance: ListedInstance) {
        self.shared.lock().list.put(instance);
    }

    /// Changes the state of a listed instance.
    pub fn set_instance_state(&self, id: &InstanceId, state: InstanceState) {
        self.shared.lock().list.set_state(id, state);
    }

    /// Removes an instance from the list.
    pub fn remove_instance(&self, id: &InstanceId) {
        self.shared.lock().list.remove(id);
    }

    /// Reads a row past all faults and limits, for checks in tests.
    #[must_use]
    pub fn peek(&self, key: &str) -> Option<Row> {
        self.shared.lock().table.get(key)
    }

    /// Reads rows past all faults and limits, for checks in tests.
    #[must_use]
    pub fn peek_all(&self, prefix: &str) -> Vec<Row> {
        self.shared.lock().table.scan(&[prefix])
    }

    /// Serves a call from this object's zone.
    ///
    /// # Errors
    ///
    /// Returns why the caller gets no answer; the call itself may have taken effect.
    pub async fn call(&self, call: PlatformCall) -> Result<PlatformReply, CallError> {
        self.call_from(self.zone.as_ref(), call).await
    }

    /// Serves a call from a zone.
    ///
    /// # Errors
    ///
    /// Returns why the caller gets no answer; the call itself may have taken effect.
    pub async fn call_from(
        &self,
        zone: Option<&Zone>,
        call: PlatformCall,
    ) -> Result<PlatformReply, CallError> {
        let decision = self.shared.faults.decide(zone);
        if decision.delay_ms > 0 {
            sleep_ms(decision.delay_ms).await;
        }
        self.check_outage(&decision)?;
        let size = Size::of(&call);
        if matches!(&call, PlatformCall::Commit(txn) if !txn.fits()) {
            return Err(CallError::TooLarge);
        }
        let is_write = size.is_write;
        if is_write && !self.shared.lock().meter.take_writes(size.charge()) {
            return Err(CallError::RateLimited);
        }
        if let Some(late_by_ms) = decision.late_by_ms.filter(|_| is_write) {
            self.apply_late(call, late_by_ms);
            return Err(CallError::ReplyLost);
        }
        let answer = self.shared.apply(call);
        let mut state = self.shared.lock();
        if !is_write && !state.meter.take_reads(Size::of_answer(&answer).charge()) {
            return Err(CallError::RateLimited);
        }
        if decision.lose_answer {
            state.meter.counts.lost_answers += 1;
            return Err(CallError::ReplyLost);
        }
        Ok(answer)
    }

    fn check_outage(&self, decision: &FaultDecision) -> Result<(), CallError> {
        let Some(outage) = decision.outage else {
            return Ok(());
        };
        self.shared.lock().meter.counts.refused += 1;
        Err(match outage {
            Outage::Refuse => CallError::Unavailable,
            Outage::Silent => CallError::RequestLost,
        })
    }

    fn apply_late(&self, call: PlatformCall, late_by_ms: u64) {
        let shared = Arc::clone(&self.shared);
        spawn(async move {
            sleep_ms(late_by_ms).await;
            shared.lock().meter.counts.late_writes += 1;
            shared.apply(call);
        })
        .detach();
    }
}

impl Shared {
    fn apply(&self, call: PlatformCall) -> PlatformReply {
        let mut state = self.lock();
        match call {
            PlatformCall::Commit(txn) => {
                let outcome = state.table.commit(&txn);
                if matches!(outcome, TxnOutcome::Conflict { .. }) {
                    state.meter.counts.conflicts += 1;
                }
                PlatformReply::Txn(outcome)
            }
            PlatformCall::Get(key) => PlatformReply::Row(state.table.get(&key)),
            PlatformCall::Scan(prefixes) => PlatformReply::Rows(state.table.scan(&prefixes)),
            PlatformCall::PutObject(key, value) => {
                state.objects.insert(key, value);
                PlatformReply::Done
            }
            PlatformCall::GetObject(key) => PlatformReply::Object(state.objects.get(&key).cloned()),
            PlatformCall::DeleteObject(key) => {
                state.objects.remove(&key);
                PlatformReply::Done
            }
            PlatformCall::List => PlatformReply::Instances(state.list.visible()),
        }
    }
}

/// Size of a call or an answer, which decides its charge.
#[derive(Debug, Default)]
struct Size {
    rows: usize,
    bytes: usize,
    is_write: bool,
}

impl Size {
    fn of(call: &PlatformCall) -> Self {
        match call {
            PlatformCall::Commit(txn) => Self {
                rows: txn.rows(),
                bytes: txn.bytes(),
                is_write: true,
            },
            PlatformCall::PutObject(..) | PlatformCall::DeleteObject(_) => Self {
                rows: 1,
                bytes: 0,
                is_write: true,
            },
            _ => Self::default(),
        }
    }

    fn of_answer(answer: &PlatformReply) -> Self {
        match answer {
            PlatformReply::Rows(rows) => Self {
                rows: rows.len(),
                bytes: rows.iter().map(|row| row.value.len()).sum(),
                is_write: false,
            },
            _ => Self::default(),
        }
    }

    fn charge(&self) -> u32 {
        let units = (self.rows.div_ceil(MAX_TXN_ROWS)).max(self.bytes.div_ceil(MAX_TXN_BYTES));
        u32::try_from(units.max(1)).unwrap_or(u32::MAX)
    }
}

const PEER: &str = "memory";

// A lost answer and silence are the same to a caller: both leave the outcome open. The in-process client answers at
// once, where one over the network waits for its time limit.
fn to_error(step: &'static str, no_answer: CallError) -> PlatformError {
    let peer = Arc::from(PEER);
    let refused = |problem: &str| PlatformError::NotDone {
        step,
        peer: Arc::from(PEER),
        problem: Arc::from(problem),
    };
    match no_answer {
        CallError::Unavailable => refused("the service is down"),
        CallError::RateLimited => refused("above the rate limit"),
        CallError::TooLarge => refused("the transaction is too large"),
        CallError::RequestLost | CallError::ReplyLost => PlatformError::Unknown {
            step,
            peer,
            problem: Arc::from("no answer"),
        },
    }
}

fn unexpected(step: &'static str) -> PlatformError {
    PlatformError::Unknown {
        step,
        peer: Arc::from(PEER),
        problem: Arc::from("answer of another kind"),
    }
}

impl MemoryPlatform {
    async fn ask(
        &self,
        step: &'static str,
        call: PlatformCall,
    ) -> Result<PlatformReply, PlatformError> {
        self.call(call).await.map_err(|err| to_error(step, err))
    }
}

#[async_trait]
impl TableService for MemoryPlatform {
    async fn commit(&self, txn: Txn) -> Result<TxnOutcome, PlatformError> {
        match self.ask("commit", PlatformCall::Commit(txn)).await? {
            PlatformReply::Txn(outcome) => Ok(outcome),
            _ => Err(unexpected("commit")),
        }
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        match self
            .ask("get row", PlatformCall::Get(Arc::from(key)))
            .await?
        {
            PlatformReply::Row(row) => Ok(row),
            _ => Err(unexpected("get row")),
        }
    }

    async fn scan(&self, prefixes: &[&str]) -> Result<Vec<Row>, PlatformError> {
        let prefixes = prefixes.iter().map(|prefix| Arc::from(*prefix)).collect();
        match self.ask("scan", PlatformCall::Scan(prefixes)).await? {
            PlatformReply::Rows(rows) => Ok(rows),
            _ => Err(unexpected("scan")),
        }
    }
}

#[async_trait]
impl ObjectStore for MemoryPlatform {
    async fn put(&self, key: &str, value: Vec<u8>) -> Result<(), PlatformError> {
        let call = PlatformCall::PutObject(Arc::from(key), value);
        self.ask("put object", call).await.map(drop)
    }

    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        match self
            .ask("get object", PlatformCall::GetObject(Arc::from(key)))
            .await?
        {
            PlatformReply::Object(object) => Ok(object),
            _ => Err(unexpected("get object")),
        }
    }

    async fn delete(&self, key: &str) -> Result<(), PlatformError> {
        let call = PlatformCall::DeleteObject(Arc::from(key));
        self.ask("delete object", call).await.map(drop)
    }
}

#[async_trait]
impl InstanceList for MemoryPlatform {
    async fn list(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        match self.ask("list instances", PlatformCall::List).await? {
            PlatformReply::Instances(instances) => Ok(instances),
            _ => Err(unexpected("list instances")),
        }
    }
}
