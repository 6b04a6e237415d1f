//! Reads of stored rows in a term of leadership.

use {
    super::{STORE_RETRY_MS, Term},
    crate::{
        events::INVALID_ROW,
        rows::{
            JOB_PARTITIONS, JOBS_TABLE, LEADER_TABLE, LEASES_ROW, LeasesRow, MAIN_PARTITION,
            RUN_TIMES_ROW, WORKERS_TABLE, WorkersRow, job_partition_name,
        },
    },
    ragwortreel_model::WorkerId,
    ragwortreel_platform::{PlatformError, TableRows},
    ragwortreel_runtime::{boot_ms, lock, log_event, sleep_ms, spawn},
    ragwortreel_workflow::RunTimesRow,
    std::{
        collections::BTreeMap,
        sync::{Arc, atomic::Ordering},
    },
};

/// Workers that the former leader knew, and their leases.
pub(super) struct StoredWorkers {
    pub(super) addresses: WorkersRow,
    /// Ends of the leases of workers that did not answer, as stored last.
    pub(super) leases: LeasesRow,
    /// Time of the store's clock at the read, in ms; `None` if the store does not tell.
    clock_ms: Option<u64>,
    /// Local time at which the read had ended, in ms.
    read_ms: u64,
}

impl Term {
    /// Reads the workers that may have runs, and the leases of those that did not answer the former leader.
    pub(super) async fn read_workers(&self) -> Result<StoredWorkers, PlatformError> {
        let part = (self.cell.deps.feed.part(WORKERS_TABLE, MAIN_PARTITION)).await?;
        let mut stored = StoredWorkers {
            addresses: WorkersRow::new(),
            leases: LeasesRow::default(),
            clock_ms: part.clock_ms,
            read_ms: boot_ms(),
        };
        for row in part.rows {
            let value = row.value.as_deref().unwrap_or("{}");
            let result = if &*row.key == LEASES_ROW {
                serde_json::from_str(value).map(|leases| stored.leases = leases)
            } else {
                serde_json::from_str(value)
                    .map(|workers: WorkersRow| stored.addresses.extend(workers))
            };
            if let Err(err) = result {
                log_event!(self.cell.deps.log, INVALID_ROW; "row" => row.key.to_string(),
                    "problem" => err.to_string());
            }
        }
        Ok(stored)
    }

    /// Begins the term's record of workers that do not answer, with all known workers. Returns the times by which the
    /// leases of former leaders have certainly expired, in ms.
    pub(super) fn begin_leases(
        &self,
        listed: impl Iterator<Item = WorkerId>,
        stored: &StoredWorkers,
    ) -> BTreeMap<WorkerId, u64> {
        let workers = listed.chain(stored.addresses.keys().cloned());
        let former = stored.clock_ms.map(|clock_ms| (&stored.leases, clock_ms));
        let latest_ms = self.former_leases_end_ms(stored.read_ms);
        lock(&self.unanswered).begin_term(self.number, workers, former, stored.read_ms, latest_ms)
    }

    /// Reads the run times that former leaders have learned; without them this leader learns them again.
    pub(super) async fn read_run_times(&self) -> Option<RunTimesRow> {
        let rows = match self.cell.deps.feed.part(LEADER_TABLE, MAIN_PARTITION).await {
            Ok(part) => part.rows,
            Err(err) => {
                self.cell.health.record_failure("recover", &err);
                return None;
            }
        };
        let row = rows.into_iter().find(|row| &*row.key == RUN_TIMES_ROW)?;
        match serde_json::from_str(row.value.as_deref()?) {
            Ok(row) => Some(row),
            Err(err) => {
                log_event!(self.cell.deps.log, INVALID_ROW; "row" => row.key.to_string(),
                    "problem" => err.to_string());
                None
            }
        }
    }

    /// Reads all partitions of the jobs table concurrently, and those again whose read fails, until the term is over.
    pub(super) async fn read_jobs(self: &Arc<Self>) -> Result<TableRows, PlatformError> {
        let sent_ms = boot_ms();
        let reads: Vec<_> = (0..JOB_PARTITIONS)
            .map(|number| {
                let term = Arc::clone(self);
                spawn(async move { term.read_job_partition(number).await })
            })
            .collect();
        let mut all = TableRows {
            version: u64::MAX,
            ..TableRows::default()
        };
        for read in reads {
            let part = read.await?;
            all.rows.extend(part.rows);
            all.version = all.version.min(part.version);
        }
        self.jobs_read_ms.store(sent_ms, Ordering::Relaxed);
        Ok(all)
    }

    async fn read_job_partition(&self, number: usize) -> Result<TableRows, PlatformError> {
        let partition = job_partition_name(number);
        loop {
            match self.cell.deps.feed.part(JOBS_TABLE, &partition).await {
                Err(err) if !self.is_over() => {
                    self.cell.health.record_failure("read jobs", &err);
                    sleep_ms(STORE_RETRY_MS).await;
                }
                result => return result,
            }
        }
    }
}
