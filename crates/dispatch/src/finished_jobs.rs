//! Removal of the rows of finished jobs.
//!
//! A finished job's row is emptied soon, so that a new leader need not read it, and kept for a while, so that a repeat of
//! the submission still finds it. Then the row is removed, and only after it the state: a job without a state would run
//! again.

use {
    crate::{
        rows::{STATES_TABLE, cancel_key, job_key, job_partition, main_key},
        term::Term,
    },
    ragwortreel_model::JobId,
    ragwortreel_platform::{Check, Txn, TxnOutcome, Write},
    ragwortreel_runtime::{boot_ms, lock, sleep_ms},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        mem,
        sync::{Arc, Mutex},
    },
};

/// Time between two rounds of emptying rows, in ms; one transaction for each part that has any.
const ROUND_MS: u64 = 3_000;
/// Time for which a finished job is shown, in ms. Callers may ask for 120 s.
const SHOWN_MS: u64 = 150_000;
/// Jobs in one transaction; each takes up to two rows of the 100 that the store allows.
const MAX_JOBS: usize = 45;

/// Finished jobs whose rows are still there.
#[derive(Debug, Default)]
pub(crate) struct FinishedJobs {
    /// Jobs whose rows are to be emptied.
    full: Mutex<Vec<JobId>>,
    /// Jobs whose rows are empty, with the time from which they are removed.
    empty: Mutex<VecDeque<(u64, JobId)>>,
    /// All of these, which a reading of the whole table must not take for new jobs.
    all: Mutex<BTreeSet<JobId>>,
}

impl FinishedJobs {
    /// Records that a job's final state is stored.
    pub(crate) fn ended(&self, job: JobId) {
        lock(&self.all).insert(job.clone());
        lock(&self.full).push(job);
    }

    /// Whether a job has ended, in this term or before.
    pub(crate) fn contains(&self, job: &JobId) -> bool {
        lock(&self.all).contains(job)
    }

    /// Records a job whose row was found empty.
    pub(crate) fn ended_before(&self, job: JobId) {
        lock(&self.all).insert(job.clone());
        lock(&self.empty).push_back((boot_ms() + SHOWN_MS, job));
    }

    fn take_expired(&self) -> Vec<JobId> {
        let now_ms = boot_ms();
        let mut empty = lock(&self.empty);
        let expired = empty.iter().take_while(|(until_ms, _)| *until_ms <= now_ms);
        let count = expired.count();
        empty.drain(..count).map(|(_, job)| job).collect()
    }
}

impl Term {
    /// Empties and removes rows of finished jobs.
    pub(crate) async fn clear_finished(self: Arc<Self>) {
        while !self.is_over() {
            sleep_ms(ROUND_MS).await;
            let full = mem::take(&mut *lock(&self.finished.full));
            for jobs in by_part(full) {
                let rows = jobs.iter().map(|job| (job_key(job), Some(Arc::from(""))));
                if self.write(rows.collect()).await {
                    for job in jobs {
                        self.finished.ended_before(job);
                    }
                } else {
                    lock(&self.finished.full).extend(jobs);
                }
            }
            for jobs in by_part(self.finished.take_expired()) {
                self.remove(jobs).await;
            }
        }
    }

    async fn remove(&self, jobs: Vec<JobId>) {
        let rows = jobs
            .iter()
            .flat_map(|job| [(job_key(job), None), (cancel_key(job), None)]);
        let states = jobs
            .iter()
            .map(|job| (main_key(STATES_TABLE, job.as_str()), None))
            .collect();
        if self.write(rows.collect()).await && self.write(states).await {
            let mut all = lock(&self.finished.all);
            let mut shown = lock(&self.shown);
            for job in &jobs {
                all.remove(job);
                shown.remove(job);
            }
        } else {
            lock(&self.finished.empty).extend(jobs.into_iter().map(|job| (0, job)));
        }
    }

    /// Writes rows of one part; false when they may not be written.
    async fn write(&self, rows: Vec<(Arc<str>, Option<Arc<str>>)>) -> bool {
        let writes = rows.into_iter().map(|(key, value)| Write { key, value });
        let txn = Txn {
            checks: Vec::<Check>::new(),
            writes: writes.collect(),
        };
        match self.cell.deps.table.commit(txn).await {
            Ok(outcome) => {
                self.cell.health.answered("clear finished jobs");
                matches!(outcome, TxnOutcome::Committed { .. })
            }
            Err(err) => {
                self.cell.health.failed("clear finished jobs", &err);
                false
            }
        }
    }
}

/// Divides jobs into lists of one part and limited length.
fn by_part(jobs: Vec<JobId>) -> Vec<Vec<JobId>> {
    let mut parts: BTreeMap<usize, Vec<JobId>> = BTreeMap::new();
    for job in jobs {
        parts.entry(job_partition(&job)).or_default().push(job);
    }
    let lists = parts.into_values().flat_map(|list| {
        let chunks = list.chunks(MAX_JOBS).map(<[JobId]>::to_vec);
        chunks.collect::<Vec<_>>()
    });
    lists.collect()
}
