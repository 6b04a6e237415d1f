//! Thread-safe handle of the router, and the permits that it grants.

use {
    crate::{
        BackendId, BackendServer, InstanceLoad, Refusal, RequestInfo, RequestResult, RouterConfig,
        RouterMetrics, SlotShares,
        queue::WaitId,
        state::{AdmissionResult, Decision, Grant, GrantId, RouterState},
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

/// Admits the requests of one entry instance; clones share the same state.
#[derive(Clone)]
pub struct Router {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Arc<dyn Clock>,
    state: Mutex<RouterState>,
    /// Whether a task waits in [`Router::wait_until_busy`].
    is_waiting: AtomicBool,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
}

impl Router {
    /// A router without backend servers or slots.
    #[must_use]
    pub fn new(config: RouterConfig, clock: Arc<dyn Clock>) -> Self {
        let state = Mutex::new(RouterState::new(config));
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        Self {
            shared: Arc::new(Shared {
                clock,
                state,
                is_waiting: AtomicBool::new(false),
                wake_tx,
                wake_rx,
            }),
        }
    }

    /// Replaces the settings.
    pub fn update_settings(&self, settings: &Settings) {
        self.shared
            .update(|state, now| state.update_settings(now, settings));
    }

    /// Replaces the list of backend servers. Those of other zones are ignored; those no longer listed get no new
    /// requests.
    pub fn update_backends(&self, backends: Vec<BackendServer>) {
        self.shared
            .update(|state, now| state.update_backends(now, backends));
    }

    /// Replaces the shares of the backend servers that this instance may use.
    pub fn update_shares(&self, shares: SlotShares) {
        self.shared
            .update(|state, now| state.update_shares(now, shares));
    }

    /// Sets the number of live entry instances, over which the rate limits of the workspaces are divided.
    pub fn update_instance_count(&self, instances: u32) {
        self.shared
            .update(|state, _| state.update_instance_count(instances));
    }

    /// Replaces the loads of the other entry instances.
    pub fn update_instance_loads(&self, loads: Vec<InstanceLoad>) {
        self.shared
            .update(|state, _| state.update_instance_loads(loads));
    }

    /// Another instance, of this zone or another, that can respond sooner than a slot here becomes free.
    ///
    /// The caller must not forward a request again that was forwarded to this instance.
    #[must_use]
    pub fn forward_target(&self, request: &RequestInfo) -> Option<InstanceId> {
        let now = self.shared.clock.now_ms();
        self.shared.lock().forward_target(now, request)
    }

    /// Refuses all waiting and all later requests; requests in flight continue.
    pub fn stop(&self) {
        self.shared.update(RouterState::stop);
    }

    /// Refuses waiting requests that can no longer start in time, and assigns free slots to the others.
    ///
    /// Returns the time until the next call is due, in ms. The daemon calls it in a loop with
    /// [`Router::wait_until_busy`].
    #[must_use]
    pub fn tick(&self) -> u64 {
        let mut wait_ms = 0;
        self.shared.update(|state, now| wait_ms = state.tick(now));
        wait_ms
    }

    /// Waits while the router is idle, that is, while [`Router::tick`] would change nothing. Only one task may wait at
    /// a time.
    pub async fn wait_until_busy(&self) {
        let is_idle = {
            let state = self.shared.lock();
            let is_idle = state.is_idle();
            // Set under the lock, so that no change between the check and the wait is missed.
            self.shared.is_waiting.store(is_idle, Ordering::SeqCst);
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
    /// Returns a refusal if no slot can be granted; the request did not run.
    pub async fn admit(&self, request: RequestInfo) -> Result<Permit, Refusal> {
        self.wait_for_slot(request, &[]).await
    }

    /// Waits for a slot of a backend server other than those in `avoid`.
    ///
    /// The caller must have checked [`Router::retry_allowed`] before.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no slot can be granted; this attempt did not run.
    pub async fn admit_retry(
        &self,
        request: RequestInfo,
        avoid: &[BackendId],
    ) -> Result<Permit, Refusal> {
        self.wait_for_slot(request, avoid).await
    }

    /// Whether a request may be sent again after `attempts` attempts; a permitted retry is charged to the retry budget.
    ///
    /// `proven_not_run` means that no backend server accepted a byte of the last attempt.
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

    /// Number of slots in use for each backend server, from which the instance reports the shares that it has released.
    #[must_use]
    pub fn slots_in_use(&self) -> BTreeMap<BackendId, u32> {
        self.shared.lock().slots_in_use()
    }

    /// Free slots by workspace and service, for the heartbeat to other instances.
    #[must_use]
    pub fn free_slots(&self) -> BTreeMap<(Workspace, ServiceName), u32> {
        self.shared.lock().free_slots()
    }

    /// A snapshot for metrics.
    #[must_use]
    pub fn metrics(&self) -> RouterMetrics {
        self.shared.lock().metrics()
    }

    async fn wait_for_slot(
        &self,
        request: RequestInfo,
        avoid: &[BackendId],
    ) -> Result<Permit, Refusal> {
        let (tx, rx) = async_channel::bounded(1);
        let mut queued = Ok(0);
        self.shared
            .update(|state, now| queued = state.enqueue(now, request, avoid, tx));
        let guard = WaitGuard {
            shared: &self.shared,
            id: queued?,
        };
        let result = receive(rx).await;
        std::mem::forget(guard);
        result
    }
}

/// Waits for the decision. The router sends one to each waiting request before it drops the sender, so a closed channel
/// is not expected and is reported as a stop.
async fn receive(rx: Receiver<AdmissionResult>) -> AdmissionResult {
    match rx.recv().await {
        Ok(result) => result,
        Err(_) => Err(Refusal {
            reason: crate::RefusalReason::Stopping,
            retry_after_ms: 1_000,
        }),
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, RouterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_valid(&self, id: GrantId) -> bool {
        let now = self.clock.now_ms();
        self.lock().is_valid(now, id)
    }

    /// Changes the state, then sends the resulting decisions outside of the lock.
    fn update(self: &Arc<Self>, change: impl FnOnce(&mut RouterState, u64)) {
        let now = self.clock.now_ms();
        let decisions = {
            let mut state = self.lock();
            change(&mut state, now);
            if self.is_waiting.load(Ordering::SeqCst) && !state.is_idle() {
                self.is_waiting.store(false, Ordering::SeqCst);
                let _ = self.wake_tx.try_send(());
            }
            state.take_decisions()
        };
        for decision in decisions {
            self.send_decision(decision);
        }
    }

    /// Sends a decision. If the request is no longer waiting, the permit is dropped here, which frees its slot.
    fn send_decision(self: &Arc<Self>, decision: Decision) {
        let result = decision.result.map(|grant| Permit {
            shared: Arc::clone(self),
            grant,
            result: RequestResult::Abandoned,
        });
        let _ = decision.tx.try_send(result);
    }
}

/// Removes a request from the queue when the future that waits for its slot is dropped.
struct WaitGuard<'a> {
    shared: &'a Arc<Shared>,
    id: WaitId,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.shared.update(|state, now| state.cancel(now, self.id));
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

    /// Address of the chosen backend server.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.grant.address
    }

    /// Class under which the request was admitted.
    #[must_use]
    pub fn class(&self) -> WorkClass {
        self.grant.class
    }

    /// Time that the request waited for the slot, in ms.
    #[must_use]
    pub fn waited_ms(&self) -> u64 {
        self.grant.waited_ms
    }

    /// Whether the slot may still be used. The caller checks it right before it sends the first byte, because the
    /// process may have been paused since the permit was granted.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.shared.is_valid(self.grant.id)
    }

    /// Waits until this instance has lost the slot: its lease has expired, or the request is in excess of a reduced
    /// share and [`SlotShares::excess_until_ms`] has passed.
    ///
    /// The request must then be aborted, because another instance will use the slot.
    pub async fn revoked(&self) {
        let _ = self.grant.revoked.recv().await;
    }

    /// A handle to check the validity of the slot, for the task that sends the request.
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

/// Handle to check whether the slot of a permit may still be used.
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

    /// Like [`Permit::revoked`]; also returns when the permit is dropped.
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
            .update(|state, now| state.finish(now, id, result));
    }
}
