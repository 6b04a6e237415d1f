//! An instance's view of the cell: the leader, the load, and the states of recent jobs.

use {
    crate::{
        events::INVALID_ROW,
        rows::{LEADER_ROW, LOAD_ROW, LeaderRow, OwnedState},
    },
    ragwortreel_model::{JobId, JobState, Workspace},
    ragwortreel_platform::ChangedRow,
    ragwortreel_runtime::{Logger, lock, log_event},
    ragwortreel_workflow::{Admission, JobRequest, Load, Refusal},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::{Arc, Mutex, MutexGuard},
    },
};

/// Maximum age of the count of waiting jobs, in ms; callers are promised a count that is at most 2 s old.
const MAX_PENDING_AGE_MS: u64 = 2_000;
/// Maximum number of recent jobs; each takes about 200 bytes.
const MAX_RECENT_JOBS: usize = 4_096;

/// Most recent jobs, evicted in insertion order.
#[derive(Debug, Default)]
struct RecentJobs {
    states: BTreeMap<JobId, OwnedState>,
    order: VecDeque<JobId>,
}

impl RecentJobs {
    fn insert(&mut self, id: JobId, state: OwnedState) {
        if self.states.insert(id.clone(), state).is_none() {
            self.order.push_back(id);
        }
        if self.order.len() > MAX_RECENT_JOBS
            && let Some(oldest) = self.order.pop_front()
        {
            self.states.remove(&oldest);
        }
    }
}

#[derive(Debug, Default)]
struct ViewState {
    jobs: RecentJobs,
    pending: BTreeMap<Arc<str>, u64>,
    /// Time at which the counts in `pending` were valid, in ms.
    pending_as_of_ms: u64,
    leader: Option<(LeaderRow, u64)>,
    admission: Admission,
}

/// One instance's view of the cell.
#[derive(Debug)]
pub struct CellView {
    state: Mutex<ViewState>,
    log: Logger,
}

impl CellView {
    /// Creates a view without leader, load and jobs.
    #[must_use]
    pub fn new(log: Logger) -> Self {
        Self {
            state: Mutex::default(),
            log,
        }
    }

    fn lock(&self) -> MutexGuard<'_, ViewState> {
        lock(&self.state)
    }

    /// Applies changed rows of the leader's table; logs and skips invalid ones. `now_ms` counts from boot, as in all
    /// methods.
    pub fn apply(&self, rows: &[ChangedRow], now_ms: u64) {
        for row in rows {
            let result = match (&*row.key, &row.value) {
                (LEADER_ROW, Some(value)) => self.apply_leader(value, row.version),
                (LOAD_ROW, Some(value)) => self.apply_load(value, now_ms),
                _ => Ok(()),
            };
            if let Err(problem) = result {
                log_event!(self.log, INVALID_ROW; "row" => row.key.to_string(), "problem" => problem);
            }
        }
    }

    fn apply_leader(&self, value: &str, version: u64) -> Result<(), String> {
        let leader = serde_json::from_str(value).map_err(|err| err.to_string())?;
        self.lock().leader = Some((leader, version));
        Ok(())
    }

    fn apply_load(&self, value: &str, now_ms: u64) -> Result<(), String> {
        let load: Load = serde_json::from_str(value).map_err(|err| err.to_string())?;
        let as_of_ms = now_ms.saturating_sub(load.age_ms);
        let mut state = self.lock();
        state.pending.clone_from(&load.pending);
        state.pending_as_of_ms = as_of_ms;
        state.admission.update(load, as_of_ms);
        Ok(())
    }

    /// Records a job that this instance has just stored.
    pub fn record_accepted(&self, id: JobId, workspace: Option<Workspace>) {
        let state = OwnedState {
            state: JobState::Queued,
            workspace,
        };
        self.lock().jobs.insert(id, state);
    }

    /// Records the stored final state of a job.
    pub fn record_final_state(&self, id: JobId, state: OwnedState) {
        self.lock().jobs.insert(id, state);
    }

    /// Last recorded state of a job, if it is one of the recent jobs.
    #[must_use]
    pub fn recent_state(&self, id: &JobId) -> Option<OwnedState> {
        self.lock().jobs.states.get(id).cloned()
    }

    /// Number of a queue's jobs without a started task; `None` when the last count is too old.
    #[must_use]
    pub fn pending(&self, queue: &str, now_ms: u64) -> Option<u64> {
        let state = self.lock();
        let is_fresh = now_ms.saturating_sub(state.pending_as_of_ms) <= MAX_PENDING_AGE_MS;
        is_fresh.then(|| state.pending.get(queue).copied().unwrap_or(0))
    }

    /// Row of the leader and its version; `None` until one is read.
    #[must_use]
    pub fn leader(&self) -> Option<(LeaderRow, u64)> {
        self.lock().leader.clone()
    }

    /// Decides whether a job is admitted at the current load.
    ///
    /// # Errors
    ///
    /// Returns a refusal with a retry delay if the job would end too late.
    pub fn admit(&self, job: &JobRequest, now_ms: u64) -> Result<(), Refusal> {
        self.lock().admission.admit(job, now_ms)
    }
}
