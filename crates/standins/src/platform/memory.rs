//! Table service, object store and instance list in memory, with rate limits and fault injection.
//!
//! [`MemoryPlatform`] implements the platform's client traits, so tests use it without a network. The HTTP server
//! serves the same object through [`MemoryPlatform::call_from`].

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

/// Call to the platform.
#[derive(Debug, Clone)]
pub enum PlatformCall {
    /// Runs a transaction.
    Commit(Txn),
    /// Reads the row with a key.
    Get(Arc<str>),
    /// Reads all rows whose keys start with any of the prefixes.
    Scan(Vec<Arc<str>>),
    /// Writes an object.
    PutObject(Arc<str>, Vec<u8>),
    /// Reads an object.
    GetObject(Arc<str>),
    /// Deletes an object.
    DeleteObject(Arc<str>),
    /// Reads the instance list.
    List,
}

/// Reply to a call.
#[derive(Debug, Clone)]
pub enum PlatformReply {
    /// Outcome of a transaction.
    Txn(TxnOutcome),
    /// Row, if the key exists.
    Row(Option<Row>),
    /// Rows of a scan, ordered by key.
    Rows(Vec<Row>),
    /// Object, if the key exists.
    Object(Option<Vec<u8>>),
    /// The object was written or deleted.
    Done,
    /// Content of the instance list.
    Instances(Vec<ListedInstance>),
}

/// Failure of a call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// Not executed: the service is down.
    Unavailable,
    /// Refused because of the rate limit.
    RateLimited,
    /// Not executed: the transaction exceeds the limit of rows or bytes.
    TooLarge,
    /// Not executed, and the caller gets no reply.
    RequestLost,
    /// The caller gets no reply, but the call was executed or, for a late write, will be.
    ReplyLost,
}

/// Platform in memory, for callers in one availability zone.
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
    limiter: RateLimiter,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MemoryPlatform {
    /// Creates an empty platform without rate limits.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Self::with_limits(RateLimits::NONE, 0)
    }

    /// Creates an empty platform with rate limits; `seed` determines the random faults.
    #[must_use]
    pub fn with_limits(limits: RateLimits, seed: u64) -> Arc<Self> {
        let state = State {
            table: MemoryTable::default(),
            objects: BTreeMap::new(),
            list: LaggingInstanceList::default(),
            limiter: RateLimiter::new(limits),
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

    /// Returns the same platform for callers in an availability zone, which [`Faults::cut_zones`] can partition.
    ///
    /// [`Faults::cut_zones`]: crate::Faults::cut_zones
    #[must_use]
    pub fn in_zone(&self, zone: Zone) -> Arc<Self> {
        Arc::new(Self {
            shared: Arc::clone(&self.shared),
            zone: Some(zone),
        })
    }

    /// Returns the fault injector.
    #[must_use]
    pub fn faults(&self) -> &FaultInjector {
        &self.shared.faults
    }

    /// Returns the call counters.
    #[must_use]
    pub fn counts(&self) -> PlatformCounts {
        self.shared.lock().limiter.counts
    }

    /// Sets the delay until readers see a change of the instance list, in ms.
    pub fn set_list_lag_ms(&self, lag_ms: u64) {
        self.shared.lock().list.set_lag_ms(lag_ms);
    }

    /// Adds an instance to the list, or replaces the one with the same name.
    pub fn put_instance(&self, instance: ListedInstance) {
        self.shared.lock().list.put(instance);
    }

    /// Changes the state of an instance; has no effect on an unknown instance.
    pub fn set_instance_state(&self, id: &InstanceId, state: InstanceState) {
        self.shared.lock().list.set_state(id, state);
    }

    /// Removes an instance from the list; has no effect on an unknown instance.
    pub fn remove_instance(&self, id: &InstanceId) {
        self.shared.lock().list.remove(id);
    }

    /// Reads a row without faults and rate limits, for assertions in tests.
    #[must_use]
    pub fn peek(&self, key: &str) -> Option<Row> {
        self.shared.lock().table.get(key)
    }

    /// Reads the rows under a prefix without faults and rate limits, for assertions in tests.
    #[must_use]
    pub fn peek_all(&self, prefix: &str) -> Vec<Row> {
        self.shared.lock().table.scan(&[prefix])
    }

    /// Executes a call from the availability zone of this object, with faults and rate limits applied.
    ///
    /// # Errors
    ///
    /// Returns an error if the call was refused or the caller gets no reply. On [`CallError::ReplyLost`] the call is
    /// executed nevertheless.
    pub async fn call(&self, call: PlatformCall) -> Result<PlatformReply, CallError> {
        self.call_from(self.zone.as_ref(), call).await
    }

    /// Executes a call from an availability zone, with faults and rate limits applied.
    ///
    /// # Errors
    ///
    /// Returns an error if the call was refused or the caller gets no reply. On [`CallError::ReplyLost`] the call is
    /// executed nevertheless.
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
        let size = CallSize::of(&call);
        if matches!(&call, PlatformCall::Commit(txn) if !txn.fits()) {
            return Err(CallError::TooLarge);
        }
        let is_write = size.is_write;
        if is_write && !self.shared.lock().limiter.try_take_writes(size.charge()) {
            return Err(CallError::RateLimited);
        }
        if let Some(late_by_ms) = decision.late_by_ms.filter(|_| is_write) {
            self.apply_late(call, late_by_ms);
            return Err(CallError::ReplyLost);
        }
        let reply = self.shared.apply(call);
        let mut state = self.shared.lock();
        if !is_write
            && !state
                .limiter
                .try_take_reads(CallSize::of_reply(&reply).charge())
        {
            return Err(CallError::RateLimited);
        }
        if decision.lose_reply {
            state.limiter.counts.lost_answers += 1;
            return Err(CallError::ReplyLost);
        }
        Ok(reply)
    }

    fn check_outage(&self, decision: &FaultDecision) -> Result<(), CallError> {
        let Some(outage) = decision.outage else {
            return Ok(());
        };
        self.shared.lock().limiter.counts.refused += 1;
        Err(match outage {
            Outage::Refuse => CallError::Unavailable,
            Outage::Silent => CallError::RequestLost,
        })
    }

    fn apply_late(&self, call: PlatformCall, late_by_ms: u64) {
        let shared = Arc::clone(&self.shared);
        spawn(async move {
            sleep_ms(late_by_ms).await;
            shared.lock().limiter.counts.late_writes += 1;
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
                    state.limiter.counts.conflicts += 1;
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

/// Size of a call or a reply, which determines how many units of the rate limit it uses.
#[derive(Debug, Default)]
struct CallSize {
    rows: usize,
    bytes: usize,
    is_write: bool,
}

impl CallSize {
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

    fn of_reply(reply: &PlatformReply) -> Self {
        match reply {
            PlatformReply::Rows(rows) => Self {
                rows: rows.len(),
                bytes: rows.iter().map(|row| row.value.len()).sum(),
                is_write: false,
            },
            _ => Self::default(),
        }
    }

    // Units charged against the rate limit: the number of transactions of maximum size that the rows and bytes would
    // fill, rounded up; at least one.
    fn charge(&self) -> u32 {
        let units = (self.rows.div_ceil(MAX_TXN_ROWS)).max(self.bytes.div_ceil(MAX_TXN_BYTES));
        u32::try_from(units.max(1)).unwrap_or(u32::MAX)
    }
}

/// Peer address in errors of the in-process client.
const PEER: &str = "memory";

// A caller cannot distinguish a lost request from a lost reply, so the outcome is unknown for both. The in-process
// client returns the error at once, whereas an HTTP client waits for its deadline.
fn to_error(step: &'static str, err: CallError) -> PlatformError {
    let peer = Arc::from(PEER);
    let refused = |problem: &str| PlatformError::NotDone {
        step,
        peer: Arc::from(PEER),
        problem: Arc::from(problem),
    };
    match err {
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
    async fn call_step(
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
        match self.call_step("commit", PlatformCall::Commit(txn)).await? {
            PlatformReply::Txn(outcome) => Ok(outcome),
            _ => Err(unexpected("commit")),
        }
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        match self
            .call_step("get row", PlatformCall::Get(Arc::from(key)))
            .await?
        {
            PlatformReply::Row(row) => Ok(row),
            _ => Err(unexpected("get row")),
        }
    }

    async fn scan(&self, prefixes: &[&str]) -> Result<Vec<Row>, PlatformError> {
        let prefixes = prefixes.iter().map(|prefix| Arc::from(*prefix)).collect();
        match self.call_step("scan", PlatformCall::Scan(prefixes)).await? {
            PlatformReply::Rows(rows) => Ok(rows),
            _ => Err(unexpected("scan")),
        }
    }
}

#[async_trait]
impl ObjectStore for MemoryPlatform {
    async fn put(&self, key: &str, value: Vec<u8>) -> Result<(), PlatformError> {
        let call = PlatformCall::PutObject(Arc::from(key), value);
        self.call_step("put object", call).await.map(drop)
    }

    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        match self
            .call_step("get object", PlatformCall::GetObject(Arc::from(key)))
            .await?
        {
            PlatformReply::Object(object) => Ok(object),
            _ => Err(unexpected("get object")),
        }
    }

    async fn delete(&self, key: &str) -> Result<(), PlatformError> {
        let call = PlatformCall::DeleteObject(Arc::from(key));
        self.call_step("delete object", call).await.map(drop)
    }
}

#[async_trait]
impl InstanceList for MemoryPlatform {
    async fn list(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        match self.call_step("list instances", PlatformCall::List).await? {
            PlatformReply::Instances(instances) => Ok(instances),
            _ => Err(unexpected("list instances")),
        }
    }
}
