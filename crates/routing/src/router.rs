//! The handle of the router and the permits that it gives.

use {
    crate::{
        BackendId, BackendServer, InstanceLoad, Refusal, RequestInfo, RequestResult, RouterConfig,
        RouterMetrics, SlotShares,
        queue::WaitId,
        state::{Delivery, Grant, GrantId, State, Verdict},
    },
    async_channel::{Receiver, Sender},
    ragwortreel_model::{Clock, InstanceId, ServiceName, Settings, WorkClass, Workspace},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
    },
};

/// Decides about requests of one entry instance; clones share the same state.
#[derive(Clone)]
pub struct Router {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    /// Whether [`Router::wait_until_busy`] waits for a change after which time matters again.
    sleeping: AtomicBool,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
}

impl Router {
    /// A router without backend servers and slots.
    #[must_use]
    pub fn new(config: RouterConfig, clock: Arc<dyn Clock>) -> Self {
        let state = Mutex::new(State::new(config));
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        Self {
            shared: Arc::new(Shared {
                clock,
                state,
                sleeping: AtomicBool::new(false),
                wake_tx,
                wake_rx,
            }),
        }
    }

    /// Takes over a settings tree.
    pub fn update_settings(&self, settings: &Settings) {
        self.shared
            .change(|state, now| state.update_settings(now, settings));
    }

    /// Takes over the list of backend servers; those of other zones are left out.
    pub fn update_backends(&self, backends: Vec<BackendServer>) {
        self.shared
            .change(|state, now| state.update_backends(now, backends));
    }

    /// Takes over what this instance may use of each backend server.
    pub fn update_shares(&self, shares: SlotShares) {
        self.shared
            .change(|state, now| state.update_shares(now, shares));
    }

    /// Takes over the number of live entry instances, over which the workspaces' rate limits are divided.
    pub fn update_instance_count(&self, instances: u32) {
        self.shared
            .change(|state, _| state.update_instance_count(instances));
    }

    /// Takes over the load of other entry instances.
    pub fn update_instance_loads(&self, zones: Vec<InstanceLoad>) {
        self.shared
            .change(|state, _| state.update_instance_loads(zones));
    }

    /// Suggests another instance, of this zone or another, when it answers sooner than a slot here would be free.
    ///
    /// A forwarded request is not forwarded again.
    #[must_use]
    pub fn forward_target(&self, request: &RequestInfo) -> Option<InstanceId> {
        let now = self.shared.clock.now_ms();
        self.shared.lock().forward_target(now, request)
    }

    /// Refuses all waiting requests and every later one; requests in flight go on.
    pub fn stop(&self) {
        self.shared.change(State::stop);
    }

    /// Gives their final answer to waiting requests that can no longer be in time, and slots to those that can.
    ///
    /// Returns the time until the next call is due, in ms. The daemon calls it in a loop with [`Router::wait_until_busy`].
    #[must_use]
    pub fn tick(&self) -> u64 {
        let mut wait_ms = 0;
        self.shared.change(|state, now| wait_ms = state.tick(now));
        wait_ms
    }

    /// Waits while the router is idle, so that [`Router::tick`] would change nothing. One task may wait at a time.
    pub async fn wait_until_busy(&self) {
        let is_idle = {
            let state = self.shared.lock();
            let is_idle = state.is_idle();
            // Set under the lock, so that no change between the check and the wait goes unnoticed.
            self.shared.sleeping.store(is_idle, Ordering::SeqCst);
            is_idle
        };
        if is_idle {
            let _ = self.shared.wake_rx.recv().await;
        }
    }

    /// Waits for a slot of a backend server.
    ///
    /// # Errors
    ///
    /// A refusal proves that the request did not run.
    pub async fn admit(&self, request: RequestInfo) -> Result<Permit, Refusal> {
        self.enter(request, &[]).await
    }

    /// Waits for a slot of a backend server other than those in `avoid`.
    ///
    /// The caller has asked [`Router::retry_allowed`] before.
    ///
    /// # Errors
    ///
    /// A refusal proves that this attempt did not run.
    pub async fn admit_retry(
        &self,
        request: RequestInfo,
        avoid: &[BackendId],
    ) -> Result<Permit, Refusal> {
        self.enter(request, avoid).await
    }

    /// Whether a request may be sent once more, after `attempts` attempts; a permitted retry is charged to the budget.
    ///
    /// `proven_not_run` tells that no byte of the last attempt was taken by a backend server.
    #[must_use]
    pub fn retry_allowed(
        &self,
        request: &RequestInfo,
        attempts: u32,
        proven_not_run: bool,
    ) -> bool {
        let now = self.shared.clock.now_ms();
        self.shared
            .lock()
            .retry_allowed(now, request, attempts, proven_not_run)
    }

    /// Slots in use of each backend server, for the release of slots to other members.
    #[must_use]
    pub fn slots_in_use(&self) -> BTreeMap<BackendId, u32> {
        self.shared.lock().slots_in_use()
    }

    /// Free slots by workspace and service, for the heartbeat to other instances.
    #[must_use]
    pub fn free_slots(&self) -> BTreeMap<(Workspace, ServiceName), u32> {
        self.shared.lock().free_slots()
    }

    /// Figures for metrics.
    #[must_use]
    pub fn metrics(&self) -> RouterMetrics {
        self.shared.lock().metrics()
    }

    async fn enter(&self, request: RequestInfo, avoid: &[BackendId]) -> Result<Permit, Refusal> {
        let (tx, rx) = async_channel::bounded(1);
        let mut entered = Ok(0);
        self.shared
            .change(|state, now| entered = state.enqueue(now, request, avoid, tx));
        let guard = WaitGuard {
            shared: &self.shared,
            id: entered?,
        };
        let verdict = receive(rx).await;
        std::mem::forget(guard);
        verdict
    }
}

/// Waits for the verdict. The state answers each waiting request before it forgets it.
async fn receive(rx: Receiver<Verdict>) -> Verdict {
    match rx.recv().await {
        Ok(verdict) => verdict,
        Err(_) => Err(Refusal {
            reason: crate::RefusalReason::Stopping,
            retry_after_ms: 1_000,
        }),
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_valid(&self, id: GrantId) -> bool {
        let now = self.clock.now_ms();
        self.lock().is_valid(now, id)
    }

    /// Changes the state, then hands out what the change decided, outside of the lock.
    fn change(self: &Arc<Self>, change: impl FnOnce(&mut State, u64)) {
        let now = self.clock.now_ms();
        let deliveries = {
            let mut state = self.lock();
            change(&mut state, now);
            if self.sleeping.load(Ordering::SeqCst) && !state.is_idle() {
                self.sleeping.store(false, Ordering::SeqCst);
                let _ = self.wake_tx.try_send(());
            }
            state.take_deliveries()
        };
        for delivery in deliveries {
            self.deliver(delivery);
        }
    }

    /// Sends a verdict. When the request went away meanwhile, the permit is dropped here and frees its slot.
    fn deliver(self: &Arc<Self>, delivery: Delivery) {
        let verdict = delivery.verdict.map(|grant| Permit {
            shared: Arc::clone(self),
            grant,
            result: RequestResult::Abandoned,
        });
        let _ = delivery.tx.try_send(verdict);
    }
}

/// Removes a request from the queue when its task stops waiting.
struct WaitGuard<'a> {
    shared: &'a Arc<Shared>,
    id: WaitId,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.shared.change(|state, now| state.cancel(now, self.id));
    }
}

/// One slot of a backend server, held until the permit is dropped.
pub struct Permit {
    shared: Arc<Shared>,
    grant: Grant,
    result: RequestResult,
}

impl Permit {
    /// The chosen backend server.
    #[must_use]
    pub fn backend(&self) -> &BackendId {
        &self.grant.backend
    }

    /// Where it accepts connections.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.grant.address
    }

    /// Class that the request was given.
    #[must_use]
    pub fn class(&self) -> WorkClass {
        self.grant.class
    }

    /// Time that the request waited, in ms.
    #[must_use]
    pub fn waited_ms(&self) -> u64 {
        self.grant.waited_ms
    }

    /// Whether the slot may still be used. Checked right before the first byte is sent, because the process may have
    /// been paused since the permit was given.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.shared.is_valid(self.grant.id)
    }

    /// Waits until this instance has lost the slot: its lease has expired or its share has shrunk for good.
    ///
    /// The request must then be cut off, because another instance will use the slot.
    pub async fn revoked(&self) {
        let _ = self.grant.revoked.recv().await;
    }

    /// A view of the slot for the task that sends the request.
    #[must_use]
    pub fn watch(&self) -> SlotWatch {
        SlotWatch {
            shared: Arc::clone(&self.shared),
            id: self.grant.id,
            revoked: self.grant.revoked.clone(),
        }
    }

    /// Frees the slot and records how the request ended.
    pub fn finish(mut self, result: RequestResult) {
        self.result = result;
    }

    /// Identifier within the router, for tests and logs.
    #[must_use]
    pub fn id(&self) -> GrantId {
        self.grant.id
    }
}

/// Tells whether a permit's slot may still be used.
#[derive(Clone)]
pub struct SlotWatch {
    shared: Arc<Shared>,
    id: GrantId,
    revoked: Receiver<()>,
}

impl SlotWatch {
    /// Like [`Permit::is_valid`].
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.shared.is_valid(self.id)
    }

    /// Like [`Permit::revoked`]; also ends when the permit is given back.
    pub async fn revoked(&self) {
        let _ = self.revoked.recv().await;
    }
}

impl std::fmt::Debug for Permit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Permit")
            .field("grant", &self.grant)
            .finish_non_exhaustive()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (id, result) = (self.grant.id, self.result);
        self.shared
            .change(|state, now| state.finish(now, id, result));
    }
}
