//! What an instance knows of all jobs of the cell, from following their stored states.

use {
    crate::{
        events::BAD_ROW,
        rows::{LEADER, LOAD, LeaderRow, WORKERS, decode_state},
    },
    ragwortreel_model::{JobId, JobState},
    ragwortreel_platform::ChangedRow,
    ragwortreel_runtime::{Logger, lock, log_event},
    ragwortreel_workflow::{Admission, JobRequest, Load, Refusal},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard},
    },
};

/// Age from which the number of waiting jobs is not shown, in ms; callers are promised one that is at most 2 s old.
const MAX_PENDING_AGE_MS: u64 = 2_000;

#[derive(Debug, Default)]
struct State {
    jobs: BTreeMap<JobId, JobState>,
    pending: BTreeMap<Arc<str>, u64>,
    /// Time for which the leader last said how many jobs wait.
    pending_ms: u64,
    leader: Option<(LeaderRow, u64)>,
    admission: Admission,
}

/// Jobs of the cell as one instance knows them.
#[derive(Debug)]
pub struct Board {
    state: Mutex<State>,
    log: Logger,
}

impl Board {
    /// Makes an empty board.
    #[must_use]
    pub fn new(log: Logger) -> Self {
        Self {
            state: Mutex::default(),
            log,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Replaces everything by a reading of the whole table.
    pub fn replace(&self, rows: &[ChangedRow], now_ms: u64) {
        self.lock().jobs.clear();
        self.apply(rows, now_ms);
    }

    /// Applies changed rows.
    pub fn apply(&self, rows: &[ChangedRow], now_ms: u64) {
        for row in rows {
            let result = match (&*row.key, &row.value) {
                (LEADER, Some(value)) => self.apply_leader(value, row.version),
                (LOAD, Some(value)) => self.apply_load(value, now_ms),
                (LEADER | LOAD | WORKERS, _) => Ok(()),
                (name, value) => self.apply_job(name, value.as_deref()),
            };
            if let Err(problem) = result {
                log_event!(self.log, BAD_ROW; "row" => row.key.to_string(), "problem" => problem);
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
        state.pending_ms = as_of_ms;
        state.admission.update(load, as_of_ms);
        Ok(())
    }

    fn apply_job(&self, name: &str, value: Option<&str>) -> Result<(), String> {
        let id = JobId::new(name).map_err(|err| err.to_string())?;
        let Some(value) = value else {
            self.lock().jobs.remove(&id);
            return Ok(());
        };
        let state = decode_state(value).map_err(|err| err.to_string())?;
        self.show(id, state);
        Ok(())
    }

    /// Records a job that this instance has just stored.
    pub fn accepted(&self, id: JobId) {
        let mut state = self.lock();
        state.jobs.entry(id).or_insert(JobState::Queued);
    }

    /// Records a state that is stored. A final one stays, because a push may arrive after a later reading.
    pub fn show(&self, id: JobId, state: JobState) {
        let mut known = self.lock();
        let shown = known.jobs.entry(id).or_insert(state);
        if !shown.is_final() {
            *shown = state;
        }
    }

    /// State of a job, if it is known here.
    #[must_use]
    pub fn job(&self, id: &JobId) -> Option<JobState> {
        self.lock().jobs.get(id).copied()
    }

    /// Number of a queue's jobs of which nothing has started; `None` when the leader has not said so for too long.
    #[must_use]
    pub fn pending(&self, queue: &str, now_ms: u64) -> Option<u64> {
        let state = self.lock();
        let is_fresh = now_ms.saturating_sub(state.pending_ms) <= MAX_PENDING_AGE_MS;
        is_fresh.then(|| state.pending.get(queue).copied().unwrap_or(0))
    }

    /// The leader's row and its version.
    #[must_use]
    pub fn leader(&self) -> Option<(LeaderRow, u64)> {
        self.lock().leader.clone()
    }

    /// Decides whether a job is taken at the present load.
    ///
    /// # Errors
    ///
    /// Returns when to come back if the job would end too late.
    pub fn admit(&self, job: &JobRequest, now_ms: u64) -> Result<(), Refusal> {
        self.lock().admission.admit(job, now_ms)
    }
}
