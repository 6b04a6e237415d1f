//! The owner of a pool: one sequential task that decides, journals, commands workers and records results.

mod jobs;
mod journal;
mod ledger;
mod link;
mod pool;
mod recovery;
mod report;
mod shares;
mod workers;

pub(crate) use jobs::{refused, row_status};

use {
    crate::{
        api::{JobError, PoolMetrics},
        events::RECOVERY_FAILED,
        rows::{PreviousOwner, QuotaRow, RunKey, SnapshotRow},
        shared::Shared,
        store::Definite,
    },
    async_channel::{Receiver, Sender},
    link::StartOutcome,
    pool::PoolOwner,
    ragwortreel_entry::generated::PoolSummary,
    ragwortreel_model::{Epoch, JobId, JobSpec, JobState, JobStatus, Pool, WorkerId, Workspace},
    ragwortreel_runtime::{lock, log_event, sleep_ms, spawn},
    ragwortreel_worker::TaskTable,
    std::sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

/// Wait before a failed recovery is repeated, in ms.
const RECOVERY_RETRY_MS: u64 = 100;

/// Where the answer to a call about a job goes.
pub(crate) type Reply<T> = Sender<Result<T, JobError>>;

/// What a write of a job's row was for.
#[derive(Debug)]
pub(crate) enum RowWrite {
    Submit(JobSpec),
    Cancel(JobId, Reply<JobStatus>),
    Finish(JobId, JobState),
    /// Removes the row of a job that the scheduler did not take after all.
    Undo(JobId, Vec<Reply<JobStatus>>, JobError),
}

/// What a worker holds, with all its tasks.
pub(crate) struct WorkerReport {
    pub worker: WorkerId,
    pub incarnation: u64,
    /// The worker's own clock.
    pub clock_ms: u64,
    pub tasks: Arc<TaskTable>,
    pub received_ms: u64,
}

/// Message to a pool's owner.
pub(crate) enum Message {
    Submit {
        spec: JobSpec,
        reply: Reply<JobStatus>,
    },
    Cancel {
        job: JobId,
        workspace: Option<Workspace>,
        reply: Reply<JobStatus>,
    },
    Describe {
        workspace: Option<Workspace>,
        job: Option<JobId>,
        reply: Reply<Vec<JobStatus>>,
    },
    RowWritten {
        write: RowWrite,
        definite: Definite,
    },
    Report(WorkerReport),
    StartDone {
        worker: WorkerId,
        runs: Vec<RunKey>,
        outcome: StartOutcome,
    },
    Flushed {
        durable: bool,
    },
    Snapshotted {
        at: Option<(SnapshotRow, u64)>,
        rows: Vec<Arc<str>>,
    },
    Granted {
        workspace: Workspace,
        row: Option<QuotaRow>,
    },
    Release {
        reply: Sender<()>,
    },
}

/// A pool's owner as seen by the rest of the instance.
pub(crate) struct OwnerHandle {
    pub pool: Pool,
    epoch: Epoch,
    row_version: u64,
    unproven: Vec<PreviousOwner>,
    tx: Sender<Message>,
    dropped: AtomicBool,
    blocked: AtomicBool,
    figures: Mutex<Option<PoolMetrics>>,
    summary: Mutex<PoolSummary>,
}

impl OwnerHandle {
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Version of the pool's row as this ownership wrote it.
    pub fn row_version(&self) -> u64 {
        self.row_version
    }

    /// Earlier owners as this ownership wrote them into the pool's row.
    pub fn unproven(&self) -> &[PreviousOwner] {
        &self.unproven
    }

    pub fn sender(&self) -> &Sender<Message> {
        &self.tx
    }

    /// Ends the ownership; no command is sent afterwards.
    pub fn drop_now(&self) {
        self.dropped.store(true, Ordering::SeqCst);
        self.tx.close();
    }

    pub fn is_dropped(&self) -> bool {
        self.dropped.load(Ordering::SeqCst)
    }

    /// Whether commands may be sent to workers now.
    pub fn may_command(&self, shared: &Shared) -> bool {
        !self.is_dropped() && !shared.is_autonomy_over()
    }

    /// Sets whether the journal cannot be written; returns the earlier value.
    fn set_blocked(&self, blocked: bool) -> bool {
        self.blocked.swap(blocked, Ordering::SeqCst)
    }

    fn is_blocked(&self) -> bool {
        self.blocked.load(Ordering::SeqCst)
    }

    pub fn metrics(&self) -> Option<PoolMetrics> {
        lock(&self.figures).clone()
    }

    pub fn summary(&self) -> PoolSummary {
        lock(&self.summary).clone()
    }
}

/// Starts to recover and then to serve a pool that was taken.
pub(crate) fn start(
    shared: &Arc<Shared>,
    pool: &Pool,
    epoch: Epoch,
    row_version: u64,
    previous: Vec<PreviousOwner>,
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
        unproven: previous.clone(),
        tx,
        dropped: AtomicBool::new(false),
        blocked: AtomicBool::new(false),
        figures: Mutex::new(None),
        summary: Mutex::new(summary),
    });
    let served = serve(
        Arc::clone(shared),
        Arc::clone(&handle),
        rx,
        row_version,
        previous,
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
    previous: Vec<PreviousOwner>,
    taken_ms: u64,
) {
    while !handle.is_dropped() && !shared.stop.is_requested() {
        match recovery::read(&shared, &handle.pool).await {
            Ok(read) => {
                let mut owner =
                    PoolOwner::new(&shared, &handle, rx, row_version, previous, taken_ms, read);
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
