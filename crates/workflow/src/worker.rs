//! Workers: their capacity, the runs that may be active on them, and the reports that they send.

use {
    crate::{
        Incarnation, TaskKey,
        limit_backfill::Backfill,
        quarantine::{QUARANTINE_MS, WorkerFailures},
        room_forecast::ExpectedEnds,
        run_times::WorkerSpeed,
        stalls::RunProgress,
        workspaces::Workspaces,
    },
    ragwortreel_model::{Resources, WorkerId, Workspace},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Worker as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSpec {
    /// Identifier of the worker; it may stay the same when the worker starts again.
    pub id: WorkerId,
    /// Service whose tasks the worker runs.
    pub service: Arc<str>,
    /// Total resources.
    pub capacity: Resources,
    /// Rack of the worker, where known.
    pub rack: Option<Arc<str>>,
    /// Labels, which include the rack.
    pub labels: BTreeSet<Arc<str>>,
    /// Whether the worker is about to leave; it gets no new tasks.
    pub draining: bool,
    /// Least time until a draining worker leaves, in ms at the time of the report; `None` if unknown or not draining.
    pub leaves_in_ms: Option<u64>,
    /// Incarnation that the other fields are of; `None` if the platform does not tell.
    pub incarnation: Option<Incarnation>,
}

/// Run that a worker reports as active.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunningTask {
    /// Task of the run.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// Latest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Completed part of the work, in percent.
    pub percent: u32,
}

/// Cause of the end of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndCause {
    /// The task completed its work.
    Done,
    /// The run failed by a fault of the task or of the worker; counts as an attempt.
    Failed,
    /// The run was stopped on request, its lease expired, or its gang was incomplete; not counted as an attempt.
    Interrupted,
}

/// Run that a worker reports as ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Task of the run.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// Cause of the end.
    pub cause: EndCause,
    /// Latest checkpoint; empty for none.
    pub checkpoint: Arc<str>,
}

/// Answer of a worker to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HeartbeatReport {
    /// Time at which the heartbeat was sent, in ms of the leader's clock. A run that was confirmed before this time and
    /// is not reported is lost, unless its end may be among those that follow.
    pub sent_ms: u64,
    /// Time after which all leases on the worker have certainly expired unless renewed, in ms of the leader's clock.
    pub lease_until_ms: u64,
    /// Incarnation that answers; `None` if it does not tell.
    pub incarnation: Option<Incarnation>,
    /// Runs that are active on the worker.
    pub running: Vec<RunningTask>,
    /// Ended runs whose ends the leader has not acknowledged; the first ones if there are many.
    pub ended: Vec<EndedRun>,
    /// Whether further ends may follow those in `ended`.
    pub has_more_ends: bool,
}

/// Outcome of a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The task runs.
    Started,
    /// The run does not exist and will never begin.
    NotStarted,
    /// The worker refused the ticket; the task does not run.
    TicketRefused,
    /// There was no answer: the task may run, or begin to run later.
    Unknown,
}

/// Run that may be active on a worker.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) number: u32,
    pub(crate) need: Resources,
    /// Workspace to whose usage the run counts, also after its job was removed.
    pub(crate) workspace: Option<Workspace>,
    pub(crate) phase: RunPhase,
    pub(crate) progress: RunProgress,
    /// Set if the run was started while a step of its workspace that came before was held.
    pub(crate) backfill: Option<Backfill>,
}

impl Run {
    /// Time at which the start was confirmed, in ms; `None` also while the run is being stopped.
    const fn confirmed_ms(&self) -> Option<u64> {
        match self.phase {
            RunPhase::Confirmed(at_ms) => Some(at_ms),
            _ => None,
        }
    }

    /// Whether an endless run was at work, so that a failure says nothing about its worker.
    pub(crate) fn has_worked(&self, now_ms: u64) -> bool {
        let is_long = (self.confirmed_ms()).is_some_and(|at_ms| at_ms + QUARANTINE_MS <= now_ms);
        self.progress.estimate_ms().is_none() && (is_long || self.progress.is_complete())
    }
}

/// Lifecycle of a run as far as the scheduler can tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The start order has no result yet.
    Starting,
    /// The worker confirmed the run at this time.
    Confirmed(u64),
    /// The start order failed without an answer at this time; the run may be active or begin later.
    Unconfirmed(u64),
    /// A stop order was issued and is not confirmed.
    Stopping,
    /// The worker confirmed the stop at this time.
    Stopped(u64),
    /// A run of a job that finished under an earlier leader, known since this time; it is stopped when it is reported.
    Finished(u64),
}

/// Worker with the runs that may be active on it.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) spec: WorkerSpec,
    /// Position in the order of the identifiers of all workers.
    pub(crate) position: usize,
    /// Whether the platform lists the worker.
    pub(crate) listed: bool,
    /// Whether the worker answered the last heartbeat of this leader.
    pub(crate) reachable: bool,
    /// Incarnation that answered last, if it told.
    pub(crate) incarnation: Option<Incarnation>,
    /// Whether the worker ever answered this leader; from then on it rejects orders of earlier leaders.
    pub(crate) has_answered: bool,
    /// Resources of all runs that may be active.
    pub(crate) used: Resources,
    /// Resources reserved for gangs whose tickets are being renewed.
    pub(crate) reserved: Resources,
    /// Number of gangs with a pending request for advice that names this worker.
    pub(crate) pending_gang_requests: u32,
    pub(crate) runs: BTreeMap<TaskKey, Run>,
    /// Run numbers of reported runs that no job needs, for example of unknown jobs. They are ordered to stop, and
    /// nothing is started on the worker until they are no longer reported.
    pub(crate) orphans: BTreeMap<TaskKey, u32>,
    /// Time after which no run on the worker can be active unless its lease is renewed.
    pub(crate) lease_until_ms: u64,
    /// Expected ends of the runs, as last estimated.
    pub(crate) expected_ends: ExpectedEnds,
    pub(crate) speed: WorkerSpeed,
    /// Time at which a run on the worker last advanced or completed, in ms.
    pub(crate) advanced_ms: u64,
    /// Failed runs and times at which the worker stood still since the last run that completed.
    pub(crate) failures: WorkerFailures,
}

impl Worker {
    pub(crate) fn new(spec: WorkerSpec) -> Self {
        Self {
            spec,
            position: 0,
            listed: true,
            reachable: false,
            incarnation: None,
            has_answered: false,
            used: Resources::ZERO,
            reserved: Resources::ZERO,
            pending_gang_requests: 0,
            runs: BTreeMap::new(),
            orphans: BTreeMap::new(),
            lease_until_ms: 0,
            expected_ends: ExpectedEnds::default(),
            speed: WorkerSpeed::default(),
            advanced_ms: 0,
            failures: WorkerFailures::default(),
        }
    }

    /// Whether new tasks may be started on the worker.
    pub(crate) fn is_schedulable(&self, now_ms: u64) -> bool {
        self.listed
            && self.reachable
            && self.has_own_entry()
            && !self.spec.draining
            && self.orphans.is_empty()
            && !self.failures.is_quarantined(now_ms)
    }

    /// Ends the probation after a quarantine if an endless run that was started since has worked: such runs never complete.
    pub(crate) fn end_probation(&mut self, now_ms: u64) {
        let Some(from_ms) = self.failures.probation_ms() else {
            return;
        };
        let passes = |run: &Run| run.confirmed_ms() >= Some(from_ms) && run.has_worked(now_ms);
        if self.runs.values().any(passes) {
            self.failures.clear();
        }
    }

    /// Most runs that may be started now. After a quarantine they start one at a time until one completes, so that little
    /// work is lost if the fault persists. Runs that last longer than a quarantine do not delay the next one, because
    /// endless tasks never complete. The members of a gang may start together, because a gang that is wider than the
    /// number of workers could otherwise never start, and no run would end the probation.
    pub(crate) fn max_new_runs(&self, is_gang: bool, now_ms: u64) -> u32 {
        if self.failures.probation_ms().is_none() {
            return u32::MAX;
        }
        let is_long = |run: &Run| matches!(run.phase, RunPhase::Confirmed(at_ms) if at_ms + QUARANTINE_MS <= now_ms);
        match (self.runs.values().all(is_long), is_gang) {
            (false, _) => 0,
            (true, false) => 1,
            (true, true) => u32::MAX,
        }
    }

    /// Capacity that is neither used nor reserved.
    pub(crate) fn free_capacity(&self) -> Resources {
        self.spec
            .capacity
            .saturating_sub(&(self.used + self.reserved))
    }

    /// Adds a run and counts its resources as used; replaces a former run of the task.
    pub(crate) fn add_run(&mut self, task: TaskKey, run: Run, workspaces: &mut Workspaces) {
        self.remove_run(&task, workspaces);
        self.used += run.need;
        workspaces.add_usage(run.workspace.as_ref(), run.need);
        if run.progress.estimate_ms().is_none() {
            workspaces.add_endless_usage(run.workspace.as_ref(), run.need);
        }
        self.runs.insert(task, run);
    }

    /// Removes a run and frees its resources.
    pub(crate) fn remove_run(
        &mut self,
        task: &TaskKey,
        workspaces: &mut Workspaces,
    ) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.used = self.used.saturating_sub(&run.need);
        workspaces.remove_usage(run.workspace.as_ref(), run.need);
        if run.progress.estimate_ms().is_none() {
            workspaces.remove_endless_usage(run.workspace.as_ref(), run.need);
        }
        Some(run)
    }
}

/// Free capacity of workers.
pub(crate) fn free_of<'a>(workers: impl Iterator<Item = &'a Worker>) -> Resources {
    let mut sum = Resources::ZERO;
    for worker in workers {
        sum += worker.free_capacity();
    }
    sum
}

/// Number of tasks with this need that fit into the free resources, at most `max`.
pub(crate) fn slots_in(need: &Resources, free: &Resources, max: u32) -> u32 {
    let slots = |need: u64, free: u64| free.checked_div(need).unwrap_or(u64::from(max));
    let fits = slots(need.milli_cores, free.milli_cores)
        .min(slots(need.memory_mib, free.memory_mib))
        .min(slots(need.accelerators, free.accelerators));
    u32::try_from(fits).unwrap_or(u32::MAX).min(max)
}
