//! The owner of a pool: a sequential task that schedules runs, journals them, sends commands to workers and records
//! the results.

mod jobs;
mod journal;
mod pool;
mod progress;
mod quota;
mod recovery;
mod worker_link;
mod worker_reports;
mod workers;

pub(crate) use jobs::{refused, row_status};

use {
    crate::{
        api::{JobError, PoolMetrics},
        events::RECOVERY_FAILED,
        rows::{PreviousOwner, QuotaRow, RunKey, SnapshotRow},
        shared::Shared,
        store::CommitOutcome,
    },
    async_channel::{Receiver, Sender},
    pool::PoolOwner,
    ragwortreel_entry::generated::PoolSummary,
    ragwortreel_model::{Epoch, JobId, JobSpec, JobState, JobStatus, Pool, WorkerId, Workspace},
    ragwortreel_runtime::{lock, log_event, sleep_ms, spawn},
    ragwortreel_worker::TaskTable,
    std::sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    worker_link::StartOutcome,
};

/// Delay before a failed recovery is repeated, in ms.
const RECOVERY_RETRY_MS: u64 = 100;

/// Channel for the reply to a call about a job.
pub(crate) type ReplySender<T> = Sender<Result<T, JobError>>;

/// Purpose of a write of a job's row.
#[derive(Debug)]
pub(crate) enum JobRowWrite {
    Submit(JobSpec),
    Cancel(JobId, ReplySender<JobStatus>),
    Finish(JobId, JobState),
    /// Removes the row of a job that the scheduler refused.
    Rollback(JobId, Vec<ReplySender<JobStatus>>, JobError),
}

/// A worker's heartbeat report with all its tasks.
pub(crate) struct WorkerReport {
    pub worker: WorkerId,
    pub incarnation: u64,
    /// Time of the worker's clock.
    pub clock_ms: u64,
    pub tasks: Arc<TaskTable>,
    pub received_ms: u64,
}

/// Message to a pool's owner.
pub(crate) enum Message {
    Submit {
        spec: JobSpec,
        reply: ReplySender<JobStatus>,
    },
    Cancel {
        job: JobId,
        workspace: Option<Workspace>,
        reply: ReplySender<JobStatus>,
    },
    Describe {
        workspace: Option<Workspace>,
        job: Option<JobId>,
        reply: ReplySender<Vec<JobStatus>>,
    },
    RowWritten {
        write: JobRowWrite,
        outcome: CommitOutcome,
    },
    WorkerReported(WorkerReport),
    StartFinished {
        worker: WorkerId,
        runs: Vec<RunKey>,
        outcome: StartOutcome,
    },
    JournalFlushed {
        durable: bool,
    },
    SnapshotFinished {
        /// The new snapshot with the version of its row; `None` if it failed.
        at: Option<(SnapshotRow, u64)>,
        /// Keys of the journal rows that are still to be removed.
        rows: Vec<Arc<str>>,
    },
    QuotaGranted {
        workspace: Workspace,
        row: Option<QuotaRow>,
    },
    Release {
        reply: Sender<()>,
    },
}

/// Handle of a pool's owner for the other tasks of the instance.
pub(crate) struct OwnerHandle {
    pub pool: Pool,
    epoch: Epoch,
    row_version: u64,
    unproven: Vec<PreviousOwner>,
    tx: Sender<Message>,
    ended: AtomicBool,
    journal_blocked: AtomicBool,
    metrics: Mutex<Option<PoolMetrics>>,
    summary: Mutex<PoolSummary>,
}

impl OwnerHandle {
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Version of the pool's row as written by the takeover.
    pub fn row_version(&self) -> u64 {
        self.row_version
    }

    /// Previous owners that the takeover wrote into the pool's row.
    pub fn unproven_owners(&self) -> &[PreviousOwner] {
        &self.unproven
    }

    pub fn sender(&self) -> &Sender<Message> {
        &self.tx
    }

    /// Ends the ownership; no commands are sent to workers afterwards.
    pub fn end_ownership(&self) {
        self.ended.store(true, Ordering::SeqCst);
        self.tx.close();
    }

    pub fn is_ownership_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Returns whether commands may be sent to workers now.
    pub fn may_command(&self, shared: &Shared) -> bool {
        !self.is_ownership_ended() && !shared.is_task_renewal_over()
    }

    /// Sets whether the journal is blocked; returns the previous value.
    fn set_journal_blocked(&self, blocked: bool) -> bool {
        self.journal_blocked.swap(blocked, Ordering::SeqCst)
    }

    fn is_journal_blocked(&self) -> bool {
        self.journal_blocked.load(Ordering::SeqCst)
    }

    pub fn metrics(&self) -> Option<PoolMetrics> {
        lock(&self.metrics).clone()
    }

    pub fn summary(&self) -> PoolSummary {
        lock(&self.summary).clone()
    }
}

/// Starts the task that recovers a pool after its takeover and then serves it.
pub(crate) fn start(
    shared: &Arc<Shared>,
    pool: &Pool,
    epoch: Epoch,
    row_version: u64,
    previous_owners: Vec<PreviousOwner>,
) -> Arc<OwnerHandle> {
    let (tx, rx) = async_channel::bounded(shared.cfg.limits.owner_queue_capacity);
    let summary = PoolSummary {
        pool: pool.to_string(),
        epoch: epoch.0,
        ..PoolSummary::default()
    };
    let handle = Arc::new(OwnerHandle {
        pool: pool.clone(),
        epoch,
        row_version,
        unproven: previous_owners.clone(),
        tx,
        ended: AtomicBool::new(false),
        journal_blocked: AtomicBool::new(false),
        metrics: Mutex::new(None),
        summary: Mutex::new(summary),
    });
    let served = serve(
        Arc::clone(shared),
        Arc::clone(&handle),
        rx,
        row_version,
        previous_owners,
        shared.now_ms(),
    );
    spawn(served).detach();
    handle
}

async fn serve(
    shared: Arc<Shared>,
    handle: Arc<OwnerHandle>,
    rx: Receiver<Message>,
    row_version: u64,
    previous_owners: Vec<PreviousOwner>,
    taken_over_ms: u64,
) {
    while !handle.is_ownership_ended() && !shared.stop.is_requested() {
        match recovery::read_pool(&shared, &handle.pool).await {
            Ok(recovered) => {
                let mut owner = PoolOwner::new(
                    &shared,
                    &handle,
                    rx,
                    row_version,
                    previous_owners,
                    taken_over_ms,
                    recovered,
                );
                owner.run().await;
                return;
            }
            Err(problem) => {
                log_event!(shared.log, RECOVERY_FAILED; "pool" => handle.pool.as_str(),
                    "error" => problem);
            }
        }
        sleep_ms(RECOVERY_RETRY_MS).await;
    }
}
