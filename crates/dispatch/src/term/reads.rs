//! Reads of stored rows in a term of leadership.

use {
    super::{STORE_RETRY_MS, Term},
    crate::{
        events::INVALID_ROW,
        rows::{
            JOB_PARTITIONS, JOBS_TABLE, LEADER_TABLE, MAIN_PARTITION, RUN_TIMES_ROW,
            job_partition_name,
        },
    },
    ragwortreel_platform::{PlatformError, TableRows},
    ragwortreel_runtime::{boot_ms, log_event, sleep_ms, spawn},
    ragwortreel_workflow::RunTimesRow,
    std::sync::{Arc, atomic::Ordering},
};

impl Term {
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
