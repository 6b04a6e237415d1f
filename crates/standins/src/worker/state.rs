//! State of one simulated worker: its runs, its lease and the epoch fence.
//!
//! Runs have no timers. [`WorkerState::end_due_runs`] is called before each command and each query of the runs. It
//! ends the runs that have finished or whose lease has expired, as of the time at which that was due, so the history
//! is exact.
//!
//! Terms:
//! - owner: the instance that manages the pool of the worker and sends the commands;
//! - epoch: fencing token of the owner; commands with an epoch lower than the highest one seen are rejected;
//! - incarnation: number that changes with each restart of the worker;
//! - echo: clock value from an earlier report of the worker, which the owner sends back and from which the lease
//!   counts;
//! - base: an earlier report that the owner has processed; the next report lists only the changes since then.

use {
    crate::worker::history::{RunHistory, RunRecord},
    ragwortreel_model::{
        Assignment, Attempt, Clock, Epoch, Resources, TaskId, TaskResult, WorkerId,
    },
    ragwortreel_worker::{
        HeartbeatReply, HeartbeatRequest, ReportBase, ReportedTask, StartReply, StartRequest,
        TASK_LEASE_MS, TaskCommand, TaskPhase,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
    },
};

/// Offset between the clocks that consecutive incarnations report, in ms (49 days).
///
/// The ranges let a restarted worker recognize and reject an echo from another incarnation, which could extend the
/// lease beyond the end that the owner assumes.
const INCARNATION_RANGE_MS: u64 = 1 << 32;
/// Incarnation of a worker that was neither restarted nor given another incarnation.
const FIRST_INCARNATION: u64 = 1;
/// Time for which a run that was acknowledged, refused or stopped before its start is kept for deduplication.
///
/// No longer time is needed: a start request that arrives later is refused because its echo is older than a lease.
const DEDUP_RETENTION_MS: u64 = 2 * TASK_LEASE_MS;

/// Maximum number of removed runs kept for reports of changes; a heartbeat with an older base gets a complete report.
const MAX_REMOVALS: usize = 256;
/// Changes of CPU and memory usage below the reservation divided by this number are not reported.
const USAGE_STEP_DIVISOR: u64 = 16;

/// Simulated behaviour of a run, given as JSON in the payload of its task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct SimulatedRun {
    /// Run time in ms; absent to run until stopped.
    pub run_ms: Option<u64>,
    /// Whether the run fails at the end of its run time.
    pub fail: bool,
    /// Time in ms from a checkpoint command to the end of the run.
    pub checkpoint_ms: u64,
    /// Resource usage of the run; absent if it equals the reservation.
    pub used: Option<Resources>,
}

/// Name, capacity and reporting delay of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// Name of the worker.
    pub id: WorkerId,
    /// Resources available to runs.
    pub capacity: Resources,
    /// Time in ms after its start for which a run is reported with zero usage.
    #[serde(default)]
    pub usage_lag_ms: u64,
}

/// Counters of a worker since its creation; a restart does not reset them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCounts {
    /// Commands rejected because a higher epoch was seen before.
    pub fenced: u64,
    /// Runs refused because they did not fit in the free capacity.
    pub over_capacity: u64,
    /// Start requests whose echoed clock value was too old or from another incarnation.
    pub stale_starts: u64,
    /// Runs that ended because the lease expired.
    pub expired_runs: u64,
    /// Heartbeats accepted.
    pub heartbeats: u64,
}

/// Rejection of a command whose epoch is lower than one seen before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced {
    /// Highest epoch that the worker has seen.
    pub seen: Epoch,
}

/// Kind of a command to one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandKind {
    /// Ends the run with the result [`TaskResult::Stopped`].
    Stop,
    /// Ends the run with the result [`TaskResult::Checkpointed`] after its checkpoint time.
    Checkpoint,
    /// Limits the usage of the run to its reservation.
    Throttle,
}

#[derive(Debug)]
struct Run {
    reserved: Resources,
    simulated: SimulatedRun,
    started_ms: u64,
    /// Time and result of the end, if neither a command nor the lease ends the run earlier.
    scheduled_end: Option<(u64, TaskResult)>,
    ended: Option<TaskResult>,
    throttled: bool,
    /// Index of the run in the history.
    history_index: usize,
    /// Usage and result as last reported.
    reported: Option<Reported>,
}

#[derive(Debug, Clone, Copy)]
struct Reported {
    /// Number of the first report that contained these values.
    number: u64,
    used: Resources,
    ended: Option<TaskResult>,
}

/// Newest run of a task that is no longer kept, so that a delayed or repeated start request does not run it again.
#[derive(Debug)]
struct DedupEntry {
    attempt: Attempt,
    /// Whether the run had been accepted; repeated start requests get the same reply.
    accepted: bool,
    expires_ms: u64,
}

/// State of one simulated worker.
pub struct WorkerState {
    spec: WorkerSpec,
    clock: Arc<dyn Clock>,
    history: Arc<RunHistory>,
    incarnation: u64,
    /// Highest epoch of any command.
    highest_epoch: Epoch,
    /// Time from which the lease counts, on the shared clock.
    lease_start_ms: u64,
    runs: BTreeMap<(TaskId, Attempt), Run>,
    dedup: BTreeMap<TaskId, DedupEntry>,
    /// Number of the last report of this incarnation.
    report_number: u64,
    /// Epoch of the last report; the first report under an epoch is always complete.
    last_report_epoch: Option<Epoch>,
    /// Removed runs with the number of the first report without them, in the order of these numbers.
    removals: VecDeque<(u64, (TaskId, Attempt))>,
    /// Report number of the newest entry discarded from `removals`; an older base needs a complete report.
    discarded_removal_number: u64,
    /// Counters since creation.
    pub counts: WorkerCounts,
}

impl WorkerState {
    /// Creates a worker without runs, with the incarnation 1.
    pub fn new(spec: WorkerSpec, clock: Arc<dyn Clock>, history: Arc<RunHistory>) -> Self {
        Self {
            spec,
            clock,
            history,
            incarnation: FIRST_INCARNATION,
            highest_epoch: Epoch::default(),
            lease_start_ms: 0,
            runs: BTreeMap::new(),
            dedup: BTreeMap::new(),
            report_number: 0,
            last_report_epoch: None,
            removals: VecDeque::new(),
            discarded_removal_number: 0,
            counts: WorkerCounts::default(),
        }
    }

    // Clock value that this incarnation reports.
    fn clock_ms(&self, now_ms: u64) -> u64 {
        self.incarnation * INCARNATION_RANGE_MS + now_ms
    }

    /// Sets the incarnation; must be called before the first command.
    ///
    /// Needed where each process creates its workers anew: without it, they would reuse the incarnation 1.
    pub fn set_incarnation(&mut self, incarnation: u32) {
        self.incarnation = incarnation.into();
    }

    /// Simulates a restart of the machine: loses all runs and starts the next incarnation.
    pub fn restart(&mut self) {
        let now_ms = self.end_due_runs();
        let running = self.runs.values().filter(|run| run.ended.is_none());
        for run in running {
            self.history
                .end(run.history_index, now_ms, TaskResult::Lost);
        }
        self.runs.clear();
        self.incarnation += 1;
        self.report_number = 0;
        self.last_report_epoch = None;
        self.removals.clear();
        self.discarded_removal_number = 0;
    }

    /// Ends all runs that have finished or whose lease has expired; returns the current time in ms.
    pub fn end_due_runs(&mut self) -> u64 {
        let now_ms = self.clock.now_ms();
        let lease_end_ms = self.lease_start_ms + TASK_LEASE_MS;
        for run in self.runs.values_mut().filter(|run| run.ended.is_none()) {
            let finished = run.scheduled_end.filter(|(at_ms, _)| *at_ms < lease_end_ms);
            let (at_ms, result) = finished.unwrap_or((lease_end_ms, TaskResult::Lost));
            if at_ms > now_ms {
                continue;
            }
            if finished.is_none() {
                self.counts.expired_runs += 1;
            }
            run.ended = Some(result);
            self.history.end(run.history_index, at_ms, result);
        }
        self.dedup.retain(|_, entry| entry.expires_ms > now_ms);
        now_ms
    }

    fn check_epoch(&mut self, epoch: Epoch) -> Result<(), Fenced> {
        if epoch < self.highest_epoch {
            self.counts.fenced += 1;
            return Err(Fenced {
                seen: self.highest_epoch,
            });
        }
        self.highest_epoch = epoch;
        Ok(())
    }

    // Extends the lease to count from an echoed clock value. Returns `false` if the echo is from another incarnation or
    // at least as old as the duration of a lease.
    fn renew_lease(&mut self, echo_ms: u64, now_ms: u64) -> bool {
        let Some(echo_ms) = echo_ms.checked_sub(self.incarnation * INCARNATION_RANGE_MS) else {
            return false;
        };
        if echo_ms > now_ms || echo_ms + TASK_LEASE_MS <= now_ms {
            return false;
        }
        self.lease_start_ms = self.lease_start_ms.max(echo_ms);
        true
    }

    /// Renews the lease, removes acknowledged runs and reports the others.
    ///
    /// # Errors
    ///
    /// Returns [`Fenced`] if the epoch of the request is lower than the highest one seen.
    pub fn heartbeat(&mut self, req: &HeartbeatRequest) -> Result<HeartbeatReply, Fenced> {
        let now_ms = self.end_due_runs();
        self.check_epoch(req.epoch)?;
        self.counts.heartbeats += 1;
        if let Some(echo_ms) = req.echo_ms {
            self.renew_lease(echo_ms, now_ms);
        }
        self.report_number += 1;
        for run in &req.acknowledged {
            self.remove_acknowledged(run, now_ms);
        }
        self.update_reported(now_ms);
        let since = self.change_base(req);
        self.last_report_epoch = Some(req.epoch);
        let changed = |number: u64| since.is_none_or(|since| number > since);
        let tasks = self.runs.iter().filter_map(|(id, run)| {
            let reported = run.reported.filter(|reported| changed(reported.number))?;
            Some(report(id, run, &reported))
        });
        let removals = self.removals.iter().filter(|_| since.is_some());
        let removals = removals.filter(|(number, _)| changed(*number));
        Ok(HeartbeatReply {
            worker: self.spec.id.clone(),
            incarnation: self.incarnation,
            clock_ms: self.clock_ms(now_ms),
            number: Some(self.report_number),
            since,
            forgotten: removals.map(|(_, run)| run.clone()).collect(),
            tasks: tasks.collect(),
        })
    }

    // Number of the report since which the reply lists the changes; `None` if the reply must be a complete report.
    fn change_base(&self, req: &HeartbeatRequest) -> Option<u64> {
        let ReportBase {
            incarnation,
            number,
        } = req.base?;
        let is_usable = incarnation == self.incarnation
            && self.last_report_epoch == Some(req.epoch)
            && number < self.report_number
            && number >= self.discarded_removal_number;
        is_usable.then_some(number)
    }

    // Assigns the current report number to the runs whose result or usage differs from what was last reported.
    fn update_reported(&mut self, now_ms: u64) {
        let lag_ms = self.spec.usage_lag_ms;
        for run in self.runs.values_mut() {
            let used = reported_usage(run, lag_ms, now_ms);
            let is_unchanged = run.reported.is_some_and(|reported| {
                reported.ended == run.ended
                    && is_within_usage_step(&reported.used, &used, &run.reserved)
            });
            if !is_unchanged {
                run.reported = Some(Reported {
                    number: self.report_number,
                    used,
                    ended: run.ended,
                });
            }
        }
    }

    // Removes an ended run that the owner has recorded.
    fn remove_acknowledged(&mut self, run: &(TaskId, Attempt), now_ms: u64) {
        if self.runs.get(run).is_some_and(|run| run.ended.is_some()) {
            self.runs.remove(run);
            self.record_dedup(run, true, now_ms);
            self.removals.push_back((self.report_number, run.clone()));
            if self.removals.len() > MAX_REMOVALS {
                let oldest = self.removals.pop_front();
                self.discarded_removal_number =
                    oldest.map_or(self.report_number, |(number, _)| number);
            }
        }
    }

    fn record_dedup(&mut self, (task, attempt): &(TaskId, Attempt), accepted: bool, now_ms: u64) {
        let newer = |entry: &DedupEntry| entry.attempt > *attempt;
        if self.dedup.get(task).is_some_and(newer) {
            return;
        }
        let entry = DedupEntry {
            attempt: *attempt,
            accepted,
            expires_ms: now_ms + DEDUP_RETENTION_MS,
        };
        self.dedup.insert(task.clone(), entry);
    }

    /// Starts runs that fit; the reply tells for each run whether it was accepted.
    ///
    /// With `fail`, accepted runs end at once with the result [`TaskResult::NotStarted`].
    ///
    /// # Errors
    ///
    /// Returns [`Fenced`] if the epoch of the request is lower than the highest one seen.
    pub fn start(&mut self, req: &StartRequest, fail: bool) -> Result<StartReply, Fenced> {
        let now_ms = self.end_due_runs();
        self.check_epoch(req.epoch)?;
        let is_fresh = self.renew_lease(req.echo_ms, now_ms);
        if !is_fresh {
            self.counts.stale_starts += 1;
        }
        let accepted = req.runs.iter().map(|(run, payload)| {
            let id = (run.task.clone(), run.attempt);
            if let Some(accepted) = self.known_start(&id) {
                return accepted;
            }
            let accepted = is_fresh && self.start_run(run, payload, now_ms, fail);
            if !accepted {
                // A refusal is final: a delayed copy of the same start request must not start the run either.
                self.record_dedup(&id, false, now_ms);
            }
            accepted
        });
        Ok(StartReply {
            taken: accepted.collect(),
        })
    }

    // Whether a run was accepted, if that is already decided. A run older than the deduplication entry of its
    // task counts as refused.
    fn known_start(&self, id: &(TaskId, Attempt)) -> Option<bool> {
        if self.runs.contains_key(id) {
            return Some(true);
        }
        let entry = self.dedup.get(&id.0)?;
        (id.1 <= entry.attempt).then_some(id.1 == entry.attempt && entry.accepted)
    }

    // Starts one run; returns `false` if it is for another worker, its task already runs here or it does not fit.
    fn start_run(&mut self, run: &Assignment, payload: &str, now_ms: u64, fail: bool) -> bool {
        let mut running = self.runs.iter().filter(|(_, run)| run.ended.is_none());
        if run.worker != self.spec.id || running.any(|((task, _), _)| *task == run.task) {
            return false;
        }
        let fits = (self.free().checked_sub(&run.resources)).is_some();
        if !fits {
            self.counts.over_capacity += 1;
            return false;
        }
        // A payload that is not valid here, such as one for a real worker, is simulated as a run that never finishes.
        let simulated: SimulatedRun = serde_json::from_str(payload).unwrap_or_default();
        let result = if simulated.fail {
            TaskResult::Failed
        } else {
            TaskResult::Succeeded
        };
        let scheduled_end = if fail {
            Some((now_ms, TaskResult::NotStarted))
        } else {
            (simulated.run_ms).map(|run_ms| (now_ms.saturating_add(run_ms), result))
        };
        let history_index = self.history.start(RunRecord {
            worker: self.spec.id.clone(),
            task: run.task.clone(),
            attempt: run.attempt,
            started_ms: now_ms,
            ended: None,
        });
        let started = Run {
            reserved: run.resources,
            simulated,
            started_ms: now_ms,
            scheduled_end,
            ended: None,
            throttled: false,
            history_index,
            reported: None,
        };
        self.runs.insert((run.task.clone(), run.attempt), started);
        true
    }

    /// Returns the capacity that no run in progress has reserved.
    #[must_use]
    pub fn free(&self) -> Resources {
        let running = self.runs.values().filter(|run| run.ended.is_none());
        running.fold(self.spec.capacity, |free, run| {
            free.saturating_sub(&run.reserved)
        })
    }

    /// Returns all runs of this worker, including those of earlier incarnations.
    #[must_use]
    pub fn records(&self) -> Vec<RunRecord> {
        let mut runs = self.history.runs();
        runs.retain(|run| run.worker == self.spec.id);
        runs
    }

    /// Returns the number of runs in progress.
    #[must_use]
    pub fn running(&self) -> usize {
        (self.runs.values())
            .filter(|run| run.ended.is_none())
            .count()
    }

    /// Stops, checkpoints or throttles a run; has no effect on a run that has ended.
    ///
    /// A stop or checkpoint of a run that was never started prevents its later start.
    ///
    /// # Errors
    ///
    /// Returns [`Fenced`] if the epoch of the request is lower than the highest one seen.
    pub fn command(&mut self, kind: CommandKind, req: &TaskCommand) -> Result<(), Fenced> {
        let now_ms = self.end_due_runs();
        self.check_epoch(req.epoch)?;
        let id = (req.task.clone(), req.attempt);
        let Some(run) = self.runs.get_mut(&id) else {
            // The owner treats the reply as proof that the run has ended, so a delayed start must be refused.
            if kind != CommandKind::Throttle && self.known_start(&id).is_none() {
                self.record_dedup(&id, false, now_ms);
            }
            return Ok(());
        };
        match kind {
            CommandKind::Throttle => run.throttled = true,
            CommandKind::Stop => schedule_end(run, now_ms, TaskResult::Stopped),
            CommandKind::Checkpoint => {
                let at_ms = now_ms + run.simulated.checkpoint_ms;
                schedule_end(run, at_ms, TaskResult::Checkpointed);
            }
        }
        self.end_due_runs();
        Ok(())
    }
}

fn report(id: &(TaskId, Attempt), run: &Run, reported: &Reported) -> ReportedTask {
    let phase = match reported.ended {
        Some(result) => TaskPhase::Ended { result },
        None => TaskPhase::Running,
    };
    ReportedTask {
        task: id.0.clone(),
        attempt: id.1,
        reserved: run.reserved,
        used: reported.used,
        phase,
    }
}

fn reported_usage(run: &Run, lag_ms: u64, now_ms: u64) -> Resources {
    if run.ended.is_some() || run.started_ms + lag_ms > now_ms {
        return Resources::ZERO;
    }
    let used = run.simulated.used.unwrap_or(run.reserved);
    if !run.throttled {
        return used;
    }
    Resources {
        milli_cores: used.milli_cores.min(run.reserved.milli_cores),
        memory_mib: used.memory_mib.min(run.reserved.memory_mib),
        accelerators: used.accelerators.min(run.reserved.accelerators),
    }
}

// Whether a usage is close enough to the reported one that it need not be reported again. Crossing the reservation in
// either direction is always reported, because the owner throttles and checkpoints runs based on it.
fn is_within_usage_step(reported: &Resources, used: &Resources, reserved: &Resources) -> bool {
    let is_near = |reported: u64, used: u64, reserved: u64| {
        reported == used || reported.abs_diff(used) < reserved / USAGE_STEP_DIVISOR
    };
    reported.fits_in(reserved) == used.fits_in(reserved)
        && (*reported == Resources::ZERO) == (*used == Resources::ZERO)
        && is_near(reported.milli_cores, used.milli_cores, reserved.milli_cores)
        && is_near(reported.memory_mib, used.memory_mib, reserved.memory_mib)
        && reported.accelerators == used.accelerators
}

// Schedules the end of a run unless it ends earlier anyway.
fn schedule_end(run: &mut Run, at_ms: u64, result: TaskResult) {
    if run.scheduled_end.is_none_or(|(end_ms, _)| at_ms < end_ms) {
        run.scheduled_end = Some((at_ms, result));
    }
}
