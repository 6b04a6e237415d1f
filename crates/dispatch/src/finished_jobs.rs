//! Removal of the rows of finished jobs.
//!
//! The row of a finished job is soon emptied, so that a new leader need not read it. The empty row stays for a while as
//! a tombstone, so that a repeated submission still finds it. Then the row is removed, and the state only after it: a
//! job without a state would run again.

use {
    crate::{
        rows::{cancel_key, job_key, job_partition, segment_key, state_key},
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

/// Interval between two cleanups, in ms; each sends one transaction for each partition with rows to empty.
const CLEANUP_INTERVAL_MS: u64 = 3_000;
/// Retention of a finished job's rows, in ms; callers may query the job for 120 s.
const RETENTION_MS: u64 = 150_000;
/// Maximum rows per transaction; the store allows 100.
const MAX_ROWS_PER_TXN: usize = 90;
/// Maximum jobs per transaction; each takes up to two rows.
const MAX_JOBS_PER_TXN: usize = MAX_ROWS_PER_TXN / 2;

/// Finished jobs whose rows are not removed yet.
#[derive(Debug, Default)]
pub(crate) struct FinishedJobs {
    /// Jobs whose rows are to be emptied.
    to_empty: Mutex<Vec<JobId>>,
    /// Jobs whose rows are empty, with the times in ms from which these are removed.
    tombstones: Mutex<VecDeque<(u64, JobId)>>,
    /// Keys of segments whose job has no rows any more.
    lost_segments: Mutex<Vec<Arc<str>>>,
    /// All jobs of both lists, so that a read of the whole table does not take them for new jobs.
    all: Mutex<BTreeSet<JobId>>,
}

impl FinishedJobs {
    /// Adds a job whose final state is stored.
    pub(crate) fn add(&self, job: JobId) {
        lock(&self.all).insert(job.clone());
        lock(&self.to_empty).push(job);
    }

    /// Whether a job has finished, in this term or an earlier one, and still has rows.
    pub(crate) fn contains(&self, job: &JobId) -> bool {
        lock(&self.all).contains(job)
    }

    /// Adds a job whose row is empty.
    pub(crate) fn add_tombstone(&self, job: JobId) {
        lock(&self.all).insert(job.clone());
        lock(&self.tombstones).push_back((boot_ms() + RETENTION_MS, job));
    }

    /// Sets the segments that were left over when an earlier leader removed the rows of their job.
    pub(crate) fn set_lost_segments(&self, keys: Vec<Arc<str>>) {
        *lock(&self.lost_segments) = keys;
    }

    /// Takes the jobs whose rows are to be emptied, except those with runs that may still be active.
    fn take_to_empty(&self, with_runs: &BTreeSet<JobId>) -> Vec<JobId> {
        let mut to_empty = lock(&self.to_empty);
        let (kept, taken) =
            (mem::take(&mut *to_empty).into_iter()).partition(|job| with_runs.contains(job));
        *to_empty = kept;
        taken
    }

    fn take_expired(&self) -> Vec<JobId> {
        let now_ms = boot_ms();
        let mut tombstones = lock(&self.tombstones);
        let expired = tombstones
            .iter()
            .take_while(|(until_ms, _)| *until_ms <= now_ms);
        let count = expired.count();
        tombstones.drain(..count).map(|(_, job)| job).collect()
    }
}

impl Term {
    /// Empties the rows of finished jobs, and removes them after their retention.
    pub(crate) async fn run_finished_cleanup(self: Arc<Self>) {
        while !self.is_over() {
            sleep_ms(CLEANUP_INTERVAL_MS).await;
            // A new leader counts the remaining runs of a finished job by means of the job's row.
            let with_runs = lock(&self.scheduler).removed_jobs_with_runs();
            let to_empty = self.finished.take_to_empty(&with_runs);
            for jobs in batch_by_partition(to_empty) {
                let rows = jobs.iter().map(|job| (job_key(job), Some(Arc::from(""))));
                if self.commit_cleanup(rows.collect()).await {
                    for job in jobs {
                        self.finished.add_tombstone(job);
                    }
                } else {
                    lock(&self.finished.to_empty).extend(jobs);
                }
            }
            for jobs in batch_by_partition(self.finished.take_expired()) {
                self.remove(jobs).await;
            }
            let lost = mem::take(&mut *lock(&self.finished.lost_segments));
            if !self.remove_segments(&lost).await {
                *lock(&self.finished.lost_segments) = lost;
            }
        }
    }

    async fn remove(&self, jobs: Vec<JobId>) {
        let rows = jobs
            .iter()
            .flat_map(|job| [(job_key(job), None), (cancel_key(job), None)]);
        let states = jobs.iter().map(|job| (state_key(job), None)).collect();
        let segments = self.segment_keys(&jobs);
        if self.commit_cleanup(rows.collect()).await
            && self.remove_segments(&segments).await
            && self.commit_cleanup(states).await
        {
            let mut all = lock(&self.finished.all);
            let mut stored_states = lock(&self.stored_states);
            let mut stored_segments = lock(&self.stored_segments);
            for job in &jobs {
                all.remove(job);
                stored_states.remove(job);
                stored_segments.remove(job);
            }
        } else {
            lock(&self.finished.tombstones).extend(jobs.into_iter().map(|job| (0, job)));
        }
    }

    /// Keys of the stored segments of jobs.
    fn segment_keys(&self, jobs: &[JobId]) -> Vec<Arc<str>> {
        let stored = lock(&self.stored_segments);
        let numbers = |job| stored.get(job).into_iter().flatten();
        let keys = jobs
            .iter()
            .flat_map(|job| numbers(job).map(|it| segment_key(job, *it)));
        keys.collect()
    }

    /// Removes segments; returns false if some may remain.
    async fn remove_segments(&self, keys: &[Arc<str>]) -> bool {
        for keys in keys.chunks(MAX_ROWS_PER_TXN) {
            let rows = keys.iter().map(|key| (Arc::clone(key), None)).collect();
            if !self.commit_cleanup(rows).await {
                return false;
            }
        }
        true
    }

    /// Commits changes of rows of one partition; returns false if they may not be stored.
    async fn commit_cleanup(&self, rows: Vec<(Arc<str>, Option<Arc<str>>)>) -> bool {
        let writes = rows.into_iter().map(|(key, value)| Write { key, value });
        let txn = Txn {
            checks: Vec::<Check>::new(),
            writes: writes.collect(),
        };
        match self.cell.deps.table.commit(txn).await {
            Ok(outcome) => {
                self.cell.health.record_success("clear finished jobs");
                matches!(outcome, TxnOutcome::Committed { .. })
            }
            Err(err) => {
                self.cell.health.record_failure("clear finished jobs", &err);
                false
            }
        }
    }
}

/// Splits jobs into batches of one partition and limited size.
fn batch_by_partition(jobs: Vec<JobId>) -> Vec<Vec<JobId>> {
    let mut partitions: BTreeMap<usize, Vec<JobId>> = BTreeMap::new();
    for job in jobs {
        partitions.entry(job_partition(&job)).or_default().push(job);
    }
    let lists = partitions.into_values().flat_map(|jobs| {
        let chunks = jobs.chunks(MAX_JOBS_PER_TXN).map(<[JobId]>::to_vec);
        chunks.collect::<Vec<_>>()
    });
    lists.collect()
}
