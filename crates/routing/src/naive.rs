//! A naive router: first come, first served, on random backend servers, without classes, deadlines or a retry budget.
//!
//! It is the baseline of the benchmarks and the reference of the differential tests.

use {
    crate::{BackendId, RequestInfo, Share},
    async_channel::Sender,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, VecDeque},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: u32 = 3;

struct State {
    free: BTreeMap<BackendId, u32>,
    waiting: VecDeque<Sender<NaivePermit>>,
    rng: ChaCha8Rng,
}

/// Grants slots in order of arrival; clones share the same state.
#[derive(Clone)]
pub struct NaiveRouter {
    state: Arc<Mutex<State>>,
}

/// One slot of a backend server, held until the permit is dropped.
pub struct NaivePermit {
    state: Arc<Mutex<State>>,
    backend: BackendId,
}

impl NaiveRouter {
    /// A router for backend servers with the given shares; `seed` determines the random choice.
    #[must_use]
    pub fn new(shares: &BTreeMap<BackendId, Share>, seed: u64) -> Self {
        let slots = |(id, share): (&BackendId, &Share)| (id.clone(), share.slots);
        let state = State {
            free: shares.iter().map(slots).collect(),
            waiting: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Waits for a slot without a time limit.
    pub async fn admit(&self) -> Option<NaivePermit> {
        let (tx, rx) = async_channel::bounded(1);
        lock(&self.state).waiting.push_back(tx);
        assign_slots(&self.state);
        rx.recv().await.ok()
    }

    /// Whether an idempotent request may be sent again; only the number of attempts is limited.
    #[must_use]
    pub fn retry_allowed(&self, request: &RequestInfo, attempts: u32) -> bool {
        request.idempotent && attempts < MAX_ATTEMPTS
    }
}

impl NaivePermit {
    /// The chosen backend server.
    #[must_use]
    pub fn backend(&self) -> &BackendId {
        &self.backend
    }
}

impl Drop for NaivePermit {
    fn drop(&mut self) {
        if let Some(free) = lock(&self.state).free.get_mut(&self.backend) {
            *free += 1;
        }
        assign_slots(&self.state);
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Grants free slots to waiting requests until either runs out.
fn assign_slots(state: &Arc<Mutex<State>>) {
    loop {
        // The lock is released before a permit can be dropped, which takes it again.
        let assignment = next_assignment(&mut lock(state));
        let Some((tx, backend)) = assignment else {
            return;
        };
        let permit = NaivePermit {
            state: Arc::clone(state),
            backend,
        };
        // If the receiver is gone, the permit is dropped here, which frees its slot.
        let _ = tx.try_send(permit);
    }
}

fn next_assignment(state: &mut State) -> Option<(Sender<NaivePermit>, BackendId)> {
    state.waiting.retain(|tx| !tx.is_closed());
    let free = state.free.iter().filter(|(_, free)| **free > 0);
    let ids: Vec<BackendId> = free.map(|(id, _)| id.clone()).collect();
    if ids.is_empty() {
        return None;
    }
    let tx = state.waiting.pop_front()?;
    let backend = ids[state.rng.random_range(0..ids.len())].clone();
    *state.free.get_mut(&backend)? -= 1;
    Some((tx, backend))
}
