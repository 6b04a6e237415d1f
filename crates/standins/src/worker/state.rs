//! State of one worker: its tasks, its lease and the epoch fence.
//!
//! Ends of runs and of the lease are settled when the state is next touched, with the time at which they fell due, so
//! the record is exact without a timer for each run.

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

/// Distance between the clock ranges of two incarnations, in ms (49 days).
///
/// A restarted worker must not take an echo of its previous incarnation for its own, because the owner counts the lease
/// of that echo from an earlier moment.
const INCARNATION_RANGE_MS: u64 = 1 << 32;
/// Incarnation of a worker that was not restarted.
const FIRST_INCARNATION: u64 = 1;
/// Time for which an ended or stopped run is remembered after its record is gone.
///
/// A start that was delayed for longer carries an echo older than the lease and is refused for that reason.
const REMEMBER_MS: u64 = 2 * TASK_LEASE_MS;

/// Most forgotten runs whose removal can be reported; a base before the oldest of them gets a complete report.
const MAX_FORGOTTEN: usize = 256;
/// Part of the reservation by which a usage must differ from the reported one to be reported again.
const USAGE_STEP_PART: u64 = 16;

/// What a task's payload tells the stand-in to simulate.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct SimulatedRun {
    /// Run time; absent to run until stopped.
    pub run_ms: Option<u64>,
    /// Whether the run fails at its end.
    pub fail: bool,
    /// Time that a checkpoint takes.
    pub checkpoint_ms: u64,
    /// What the run uses; absent for exactly its reservation.
    pub used: Option<Resources>,
}

/// Description of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// Name.
    pub id: WorkerId,
    /// Everything that it has.
    pub capacity: Resources,
    /// Age of reported usage, in ms.
    #[serde(default)]
    pub usage_lag_ms: u64,
}

/// Commands so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCounts {
    /// Commands of a lower epoch than seen before.
    pub fenced: u64,
    /// Starts that did not fit.
    pub over_capacity: u64,
    /// Starts with an echo that is too old or of another incarnation.
    pub stale_starts: u64,
    /// Runs that ended because the lease expired.
    pub expired_runs: u64,
    /// Heartbeats.
    pub heartbeats: u64,
}

/// A command refused because of its epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced {
    /// Highest epoch that the worker has seen.
    pub seen: Epoch,
}

/// A command that ends or limits a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandKind {
    /// Ends it as stopped.
    Stop,
    /// Ends it as checkpointed.
    Checkpoint,
    /// Holds it to its reservation.
    Throttle,
}

#[derive(Debug)]
struct Run {
    reserved: Resources,
    simulated: SimulatedRun,
    started_ms: u64,
    /// When and how it will end, if nothing happens before.
    due: Option<(u64, TaskResult)>,
    ended: Option<TaskResult>,
    throttled: bool,
    record: usize,
    /// Usage and end as last reported, with the number of the report that first named them.
    reported: Option<Reported>,
}

#[derive(Debug, Clone, Copy)]
struct Reported {
    number: u64,
    used: Resources,
    ended: Option<TaskResult>,
}

/// Run that is remembered so that a delayed start cannot repeat it.
#[derive(Debug)]
struct Remembered {
    attempt: Attempt,
    taken: bool,
    until_ms: u64,
}

/// State of one worker.
pub struct WorkerState {
    spec: WorkerSpec,
    clock: Arc<dyn Clock>,
    history: Arc<RunHistory>,
    incarnation: u64,
    seen: Epoch,
    /// Own time from which the lease counts.
    lease_from_ms: u64,
    runs: BTreeMap<(TaskId, Attempt), Run>,
    remembered: BTreeMap<TaskId, Remembered>,
    /// Number of the last report.
    number: u64,
    /// Epoch under which a complete report was given; an owner's first report is always complete.
    complete_for: Option<Epoch>,
    /// Forgotten runs with the number of the report that first left them out, in the order of these numbers.
    forgotten: VecDeque<(u64, (TaskId, Attempt))>,
    /// Number of the newest removal that is no longer in `forgotten`.
    forgotten_before: u64,
    /// Commands so far.
    pub counts: WorkerCounts,
}

impl WorkerState {
    /// Makes a worker without tasks.
    pub fn new(spec: WorkerSpec, clock: Arc<dyn Clock>, history: Arc<RunHistory>) -> Self {
        Self {
            spec,
            clock,
            history,
            incarnation: FIRST_INCARNATION,
            seen: Epoch::default(),
            lease_from_ms: 0,
            runs: BTreeMap::new(),
            remembered: BTreeMap::new(),
            number: 0,
            complete_for: None,
            forgotten: VecDeque::new(),
            forgotten_before: 0,
            counts: WorkerCounts::default(),
        }
    }

    fn clock_ms(&self, now_ms: u64) -> u64 {
        self.incarnation * INCARNATION_RANGE_MS + now_ms
    }

    /// Takes an incarnation before the first command.
    ///
    /// A worker that runs in a process of its own must differ from the one in the process before.
    pub fn set_incarnation(&mut self, incarnation: u32) {
        self.incarnation = incarnation.into();
    }

    /// Loses all tasks and starts again, as after a restart of the state.
    pub fn restart(&mut self) {
        let now_ms = self.end_due_runs();
        let running = self.runs.values().filter(|run| run.ended.is_none());
        for run in running {
            self.history.end(run.record, now_ms, TaskResult::Lost);
        }
        self.runs.clear();
        self.incarnation += 1;
        self.number = 0;
        self.complete_for = None;
        self.forgotten.clear();
        self.forgotten_before = 0;
    }

    /// Ends all runs that are due and returns the time.
    pub fn end_due_runs(&mut self) -> u64 {
        let now_ms = self.clock.now_ms();
        let lease_end_ms = self.lease_from_ms + TASK_LEASE_MS;
        for run in self.runs.values_mut().filter(|run| run.ended.is_none()) {
            let due = run.due.filter(|(at_ms, _)| *at_ms < lease_end_ms);
            let (at_ms, result) = due.unwrap_or((lease_end_ms, TaskResult::Lost));
            if at_ms > now_ms {
                continue;
            }
            if due.is_none() {
                self.counts.expired_runs += 1;
            }
            run.ended = Some(result);
            self.history.end(run.record, at_ms, result);
        }
        self.remembered.retain(|_, run| run.until_ms > now_ms);
        now_ms
    }

    fn check_epoch(&mut self, epoch: Epoch) -> Result<(), Fenced> {
        if epoch < self.seen {
            self.counts.fenced += 1;
            return Err(Fenced { seen: self.seen });
        }
        self.seen = epoch;
        Ok(())
    }

    // Renews the lease from an echoed time; `false` when the echo is of another incarnation or too old.
    fn renew(&mut self, echo_ms: u64, now_ms: u64) -> bool {
        let Some(echo_ms) = echo_ms.checked_sub(self.incarnation * INCARNATION_RANGE_MS) else {
            return false;
        };
        if echo_ms > now_ms || echo_ms + TASK_LEASE_MS <= now_ms {
            return false;
        }
        self.lease_from_ms = self.lease_from_ms.max(echo_ms);
        true
    }

    /// Renews the lease and reports.
    ///
    /// # Errors
    ///
    /// Returns the highest seen epoch when it is above that of the request.
    pub fn heartbeat(&mut self, req: &HeartbeatRequest) -> Result<HeartbeatReply, Fenced> {
        let now_ms = self.end_due_runs();
        self.check_epoch(req.epoch)?;
        self.counts.heartbeats += 1;
        if let Some(echo_ms) = req.echo_ms {
            self.renew(echo_ms, now_ms);
        }
        self.number += 1;
        for run in &req.acknowledged {
            self.forget(run, now_ms);
        }
        self.note_changes(now_ms);
        let since = self.usable_base(req);
        self.complete_for = Some(req.epoch);
        let changed = |number: u64| since.is_none_or(|since| number > since);
        let tasks = self.runs.iter().filter_map(|(id, run)| {
            let reported = run.reported.filter(|reported| changed(reported.number))?;
            Some(report(id, run, &reported))
        });
        let forgotten = self.forgotten.iter().filter(|_| since.is_some());
        let forgotten = forgotten.filter(|(number, _)| changed(*number));
        Ok(HeartbeatReply {
            worker: self.spec.id.clone(),
            incarnation: self.incarnation,
            clock_ms: self.clock_ms(now_ms),
            number: Some(self.number),
            since,
            forgotten: forgotten.map(|(_, run)| run.clone()).collect(),
            tasks: tasks.collect(),
        })
    }

    // Number of the report that the reply may name the changes since.
    fn usable_base(&self, req: &HeartbeatRequest) -> Option<u64> {
        let ReportBase {
            incarnation,
            number,
        } = req.base?;
        let is_usable = incarnation == self.incarnation
            && self.complete_for == Some(req.epoch)
            && number < self.number
            && number >= self.forgotten_before;
        is_usable.then_some(number)
    }

    // Marks the runs whose end or usage differs from what was last reported.
    fn note_changes(&mut self, now_ms: u64) {
        let lag_ms = self.spec.usage_lag_ms;
        for run in self.runs.values_mut() {
            let used = reported_usage(run, lag_ms, now_ms);
            let is_known = run.reported.is_some_and(|reported| {
                reported.ended == run.ended && is_near(&reported.used, &used, &run.reserved)
            });
            if !is_known {
                run.reported = Some(Reported {
                    number: self.number,
                    used,
                    ended: run.ended,
                });
            }
        }
    }

    fn forget(&mut self, run: &(TaskId, Attempt), now_ms: u64) {
        if self.runs.get(run).is_some_and(|run| run.ended.is_some()) {
            self.runs.remove(run);
            self.remember(run, true, now_ms);
            self.forgotten.push_back((self.number, run.clone()));
            if self.forgotten.len() > MAX_FORGOTTEN {
                let oldest = self.forgotten.pop_front();
                self.forgotten_before = oldest.map_or(self.number, |(number, _)| number);
            }
        }
    }

    fn remember(&mut self, (task, attempt): &(TaskId, Attempt), taken: bool, now_ms: u64) {
        let newer = |known: &Remembered| known.attempt > *attempt;
        if self.remembered.get(task).is_some_and(newer) {
            return;
        }
        let run = Remembered {
            attempt: *attempt,
            taken,
            until_ms: now_ms + REMEMBER_MS,
        };
        self.remembered.insert(task.clone(), run);
    }

    /// Starts runs.
    ///
    /// # Errors
    ///
    /// Returns the highest seen epoch when it is above that of the request.
    pub fn start(&mut self, req: &StartRequest, fail: bool) -> Result<StartReply, Fenced> {
        let now_ms = self.end_due_runs();
        self.check_epoch(req.epoch)?;
        let is_fresh = self.renew(req.echo_ms, now_ms);
        if !is_fresh {
            self.counts.stale_starts += 1;
        }
        let taken = req.runs.iter().map(|(run, payload)| {
            let id = (run.task.clone(), run.attempt);
            if let Some(taken) = self.answer_to_repeat(&id) {
                return taken;
            }
            let taken = is_fresh && self.start_run(run, payload, now_ms, fail);
            if !taken {
                // A refusal is final, so that a delayed copy of the same start does not run after all.
                self.remember(&id, false, now_ms);
            }
            taken
        });
        Ok(StartReply {
            taken: taken.collect(),
        })
    }

    fn answer_to_repeat(&self, id: &(TaskId, Attempt)) -> Option<bool> {
        if self.runs.contains_key(id) {
            return Some(true);
        }
        let known = self.remembered.get(&id.0)?;
        (id.1 <= known.attempt).then_some(id.1 == known.attempt && known.taken)
    }

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
        // A payload that is meant for a real worker is simulated as a run without end.
        let simulated: SimulatedRun = serde_json::from_str(payload).unwrap_or_default();
        let result = if simulated.fail {
            TaskResult::Failed
        } else {
            TaskResult::Succeeded
        };
        let due = if fail {
            Some((now_ms, TaskResult::NotStarted))
        } else {
            (simulated.run_ms).map(|run_ms| (now_ms.saturating_add(run_ms), result))
        };
        let record = self.history.start(RunRecord {
            worker: self.spec.id.clone(),
            task: run.task.clone(),
            attempt: run.attempt,
            started_ms: now_ms,
            ended: None,
        });
        let state = Run {
            reserved: run.resources,
            simulated,
            started_ms: now_ms,
            due,
            ended: None,
            throttled: false,
            record,
            reported: None,
        };
        self.runs.insert((run.task.clone(), run.attempt), state);
        true
    }

    /// Capacity that no running task holds.
    #[must_use]
    pub fn free(&self) -> Resources {
        let running = self.runs.values().filter(|run| run.ended.is_none());
        running.fold(self.spec.capacity, |free, run| {
            free.saturating_sub(&run.reserved)
        })
    }

    /// All runs that were started here, of all incarnations.
    #[must_use]
    pub fn records(&self) -> Vec<RunRecord> {
        let mut runs = self.history.runs();
        runs.retain(|run| run.worker == self.spec.id);
        runs
    }

    /// Number of running tasks.
    #[must_use]
    pub fn running(&self) -> usize {
        (self.runs.values())
            .filter(|run| run.ended.is_none())
            .count()
    }

    /// Ends or limits a run; a run that is not known or has ended needs nothing more.
    ///
    /// # Errors
    ///
    /// Returns the highest seen epoch when it is above that of the request.
    pub fn command(&mut self, kind: CommandKind, req: &TaskCommand) -> Result<(), Fenced> {
        let now_ms = self.end_due_runs();
        self.check_epoch(req.epoch)?;
        let id = (req.task.clone(), req.attempt);
        let Some(run) = self.runs.get_mut(&id) else {
            // The answer to a stop is proof that the run is over, so its start must not take effect later.
            if kind != CommandKind::Throttle && self.answer_to_repeat(&id).is_none() {
                self.remember(&id, false, now_ms);
            }
            return Ok(());
        };
        match kind {
            CommandKind::Throttle => run.throttled = true,
            CommandKind::Stop => end_by(run, now_ms, TaskResult::Stopped),
            CommandKind::Checkpoint => {
                let at_ms = now_ms + run.simulated.checkpoint_ms;
                end_by(run, at_ms, TaskResult::Checkpointed);
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

// Whether a usage need not be reported again. A usage that comes to exceed the reservation, or no longer does, always
// is, because the owner throttles and checkpoints by it.
fn is_near(reported: &Resources, used: &Resources, reserved: &Resources) -> bool {
    let near = |reported: u64, used: u64, reserved: u64| {
        reported == used || reported.abs_diff(used) < reserved / USAGE_STEP_PART
    };
    reported.fits_in(reserved) == used.fits_in(reserved)
        && (*reported == Resources::ZERO) == (*used == Resources::ZERO)
        && near(reported.milli_cores, used.milli_cores, reserved.milli_cores)
        && near(reported.memory_mib, used.memory_mib, reserved.memory_mib)
        && reported.accelerators == used.accelerators
}

// Brings the end of a run forward.
fn end_by(run: &mut Run, at_ms: u64, result: TaskResult) {
    if run.due.is_none_or(|(due_ms, _)| at_ms < due_ms) {
        run.due = Some((at_ms, result));
    }
}
