//! Workers as the scheduler sees them: what they can hold, and what may run on them.

use {
    crate::TaskKey,
    ragwortreel_model::{Resources, WorkerId},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// A worker and what it can hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSpec {
    /// Name of this life of the worker.
    pub id: WorkerId,
    /// Service whose tasks it runs.
    pub service: Arc<str>,
    /// Everything that it has.
    pub capacity: Resources,
    /// Rack that it stands in, where known.
    pub rack: Option<Arc<str>>,
    /// Its labels, the rack among them.
    pub labels: BTreeSet<Arc<str>>,
    /// Whether it is about to leave and takes no new tasks.
    pub draining: bool,
}

/// A run that a worker lists as alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Latest saved progress; empty for none.
    pub checkpoint: Arc<str>,
    /// Share of the work done, in percent.
    pub percent: u32,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndCause {
    /// It did its work.
    Done,
    /// It failed through its own fault or the worker's.
    Failed,
    /// It was stopped on request, its lease lapsed, or its gang was not complete.
    Interrupted,
}

/// A run that a worker lists as ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub cause: EndCause,
    /// Latest saved progress; empty for none.
    pub checkpoint: Arc<str>,
}

/// What a worker says about itself.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HeartbeatReport {
    /// Time at which the question was sent; what was started before and is not listed does not run.
    pub sent_ms: u64,
    /// Time from which everything on the worker has certainly lapsed unless it is reserved again.
    pub lease_until_ms: u64,
    /// Runs that are alive.
    pub running: Vec<RunningTask>,
    /// Runs that ended and are not yet acknowledged.
    pub ended: Vec<EndedRun>,
}

/// Answer of a worker to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// It runs.
    Started,
    /// It certainly does not run, and never will.
    NotStarted,
    /// The ticket was refused; it does not run.
    TicketRefused,
    /// It may run, or begin to run later.
    Unknown,
}

/// A run that may be alive on a worker.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) number: u32,
    pub(crate) need: Resources,
    pub(crate) phase: RunPhase,
    /// Share of the work done when it last changed, in percent, and the time of that change.
    pub(crate) percent: u32,
    pub(crate) progressed_ms: u64,
    /// Lists in a row that showed no progress while the worker answered without a gap.
    pub(crate) unchanged_reports: u32,
}

/// How much is known about a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The start is under way.
    Starting,
    /// The worker confirmed it at this time.
    Confirmed(u64),
    /// The start got no answer by this time; it may run or begin to run later.
    Unconfirmed(u64),
    /// A stop is under way.
    Stopping,
    /// The worker confirmed the stop at this time.
    Stopped(u64),
}

/// A worker with what may run on it.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) spec: WorkerSpec,
    /// Whether it is in the platform's list.
    pub(crate) listed: bool,
    /// Whether it answered its last heartbeat under this leader.
    pub(crate) reachable: bool,
    /// Whether it ever did; from then on it refuses orders of earlier leaders.
    pub(crate) has_answered: bool,
    /// Room of all runs that may be alive.
    pub(crate) used: Resources,
    /// Room kept for gangs whose tickets are being renewed.
    pub(crate) reserved: Resources,
    /// Gangs that have asked whether they may run here and wait for the answer.
    pub(crate) pending_gang_requests: u32,
    pub(crate) runs: BTreeMap<TaskKey, Run>,
    /// Runs of unknown jobs; nothing starts here until they are gone.
    pub(crate) orphans: BTreeMap<TaskKey, u32>,
    pub(crate) lease_until_ms: u64,
    /// Failed runs in a row, and the time until which it is set aside for that.
    pub(crate) consecutive_failures: u32,
    pub(crate) quarantined_until_ms: u64,
}

impl Worker {
    pub(crate) fn new(spec: WorkerSpec) -> Self {
        Self {
            spec,
            listed: true,
            reachable: false,
            has_answered: false,
            used: Resources::ZERO,
            reserved: Resources::ZERO,
            pending_gang_requests: 0,
            runs: BTreeMap::new(),
            orphans: BTreeMap::new(),
            lease_until_ms: 0,
            consecutive_failures: 0,
            quarantined_until_ms: 0,
        }
    }

    /// Whether it may be given tasks now.
    pub(crate) fn is_schedulable(&self, now_ms: u64) -> bool {
        self.listed
            && self.reachable
            && !self.spec.draining
            && self.orphans.is_empty()
            && self.quarantined_until_ms <= now_ms
    }

    /// Room that is neither used nor kept for others.
    pub(crate) fn free_capacity(&self) -> Resources {
        self.spec
            .capacity
            .saturating_sub(&(self.used + self.reserved))
    }

    /// Records a run that takes room.
    pub(crate) fn add_run(&mut self, task: TaskKey, run: Run) {
        self.used += run.need;
        if let Some(old) = self.runs.insert(task, run) {
            self.used = self.used.saturating_sub(&old.need);
        }
    }

    /// Removes a run that is gone.
    pub(crate) fn remove_run(&mut self, task: &TaskKey) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.used = self.used.saturating_sub(&run.need);
        Some(run)
    }
}

/// How often a need fits into some room; bounded by `most`.
pub(crate) fn slots_in(need: &Resources, free: &Resources, max: u32) -> u32 {
    let slots = |need: u64, free: u64| free.checked_div(need).unwrap_or(u64::from(max));
    let fits = slots(need.milli_cores, free.milli_cores)
        .min(slots(need.memory_mib, free.memory_mib))
        .min(slots(need.accelerators, free.accelerators));
    u32::try_from(fits).unwrap_or(u32::MAX).min(max)
}
