//! Moves work off workers that are about to leave.
//!
//! Handles planned shutdowns and the withdrawal of up to a tenth of 1,200 workers at 2 to 5.5 s notice, with some 700
//! runs on them, also while the rest of the fleet is full. Everything that runs on a worker ends when it leaves, and
//! the loss of a run that was not stopped is proven only when its lease has expired.
//!
//! - A run that ends before its worker leaves is left alone.
//! - A run that writes checkpoints is stopped late, because it loses nothing by working until then. Stops are spread,
//!   the costliest runs first, so that the moved work finds room.
//! - A run without checkpoints loses all work that it does until its worker leaves, so it is stopped as soon as it has
//!   room elsewhere, if that is better for its job than to hope that the worker stays longer than announced.
//! - A gang is one unit: all its members are stopped together if one must move.
//!
//! Nothing is stored: a new leader reads the same entries of the workers and decides in the same way.

use {
    crate::{
        Scheduler, StepKey, TaskKey, WorkerSpec,
        gang_room::Beside,
        job_state::Job,
        order::Rank,
        restart_slots::RestartSlots,
        worker::{Run, RunPhase, Worker},
    },
    ragwortreel_model::{Resources, WorkerId},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
        mem,
        sync::Arc,
    },
};

/// Time before a worker leaves by which its runs are ordered to stop, in ms: 200 for the stop, and the rest for the
/// order, a commit of the journal that delays the next report, and one repeated heartbeat.
const STOP_LEAD_MS: u64 = 500;
/// Time between the expected end of a run and its worker's leaving that suffices to report the end, in ms.
const REPORT_MARGIN_MS: u64 = 100;
/// Interval between two checks while workers are leaving, in ms.
const CHECK_INTERVAL_MS: u64 = 50;
/// Time between two stops of runs with checkpoints, in ms. At 500 stops a second, the runs of 120 workers are moved
/// within 1.5 s, and a tenth of them fits into each transaction of the journal.
const STOP_SPACING_MS: u64 = 2;
/// Longest time between two checkpoints of a run, in ms; tasks write them each 500 to 1,000 ms.
const CHECKPOINT_INTERVAL_MS: u64 = 1_000;
/// Longest age of a worker's entry that the leader reads for the first time, in ms: workers write theirs every 1.5 s.
const MAX_ENTRY_AGE_MS: u64 = 1_500;
/// Interval between two estimates of the capacity that ending runs free, in ms. An estimate visits all runs.
const TURNOVER_INTERVAL_MS: u64 = 1_000;
/// Longest time for which a leaving worker may delay its answer to a heartbeat, in ms. It bounds the age of the
/// checkpoint from which a run resumes that could not be stopped in time, at 240 calls a second for 120 workers.
pub(crate) const MAX_HEARTBEAT_WAIT_MS: u64 = 500;
/// End of endless runs, in ms; times can be added to it.
const ENDLESS_MS: u64 = u64::MAX / 2;
/// Most waiting steps that are counted as ahead of a moved run; more need far more room than there is.
const MAX_STEPS_AHEAD: usize = 1_000;

/// Reason for moving a run off a leaving worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveReason {
    /// The run writes checkpoints and would not end in time; it continues from the latest one.
    Resume,
    /// The run writes no checkpoints and would not end in time; it starts again from zero.
    Restart,
}

impl MoveReason {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Resume => "resume",
            Self::Restart => "restart",
        }
    }
}

/// Runs of a step that were ordered to stop because a worker is leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MovedRuns {
    /// Step of the runs.
    pub step: StepKey,
    /// Number of runs: 1, or all members of a gang.
    pub runs: usize,
    /// The worker that leaves first.
    pub worker: WorkerId,
    /// Reason for the move.
    pub reason: MoveReason,
    /// Time until the worker leaves, in ms.
    pub leaves_in_ms: u64,
    /// Time after which the runs would have ended, in ms.
    pub ends_in_ms: u64,
}

/// Leaving workers and the state of their evacuation.
#[derive(Debug, Default)]
pub(crate) struct Evacuation {
    /// Earliest time at which each leaving worker may leave, in ms.
    leaving: BTreeMap<WorkerId, u64>,
    /// Time of the last list of workers.
    listed_ms: Option<u64>,
    next_check_ms: u64,
    /// Capacity that ending runs free in a second, by service.
    turnover: BTreeMap<Arc<str>, Resources>,
    next_turnover_ms: u64,
    /// Runs moved by the last decision.
    moved: Vec<MovedRuns>,
}

impl Evacuation {
    /// Records how long a listed worker stays.
    ///
    /// The age of an entry is unknown, but one that has changed is younger than the former list, so its time counts from
    /// then. An entry that is read again unchanged gives a later time, which is ignored.
    pub(crate) fn record(&mut self, spec: &WorkerSpec, now_ms: u64) {
        if !spec.draining {
            self.leaving.remove(&spec.id);
            return;
        }
        let Some(leaves_in_ms) = spec.leaves_in_ms else {
            return;
        };
        let written_ms = (self.listed_ms).unwrap_or(now_ms.saturating_sub(MAX_ENTRY_AGE_MS));
        let leaves_at_ms = written_ms.saturating_add(leaves_in_ms).max(now_ms);
        let known_ms = (self.leaving.entry(spec.id.clone())).or_insert(leaves_at_ms);
        *known_ms = leaves_at_ms.min(*known_ms);
    }

    /// Records that a list of workers is complete.
    pub(crate) fn record_list(&mut self, listed: &BTreeSet<WorkerId>, now_ms: u64) {
        self.listed_ms = Some(now_ms);
        self.leaving.retain(|id, _| listed.contains(id));
    }

    /// Whether a worker has announced when it leaves.
    pub(crate) fn is_active(&self) -> bool {
        !self.leaving.is_empty()
    }

    /// Whether this worker has announced when it leaves.
    pub(crate) fn is_leaving(&self, id: &WorkerId) -> bool {
        self.leaving.contains_key(id)
    }
}

/// Runs that are stopped together or not at all: a single run, or all members of a gang.
struct Unit {
    step: StepKey,
    runs: Vec<(WorkerId, TaskKey)>,
    /// Member's worker that leaves first.
    worker: WorkerId,
    leaves_at_ms: u64,
    /// Expected end of the last run.
    end_ms: u64,
    /// Number of runs on leaving workers.
    leaving_runs: usize,
    /// Resources that the runs on leaving workers need elsewhere.
    need: Resources,
    service: Arc<str>,
    rank: Rank,
    /// Whether the workers of all runs have answered this leader; otherwise the progress of a restored run is unknown.
    has_answers: bool,
    has_checkpoints: bool,
    /// Whether the runs resume from checkpoints, or have no end that could be in time.
    resumes: bool,
    /// Work that a stop or the loss of the runs costs, in thousandths of core-milliseconds.
    stake: u64,
}

/// Room for moved runs of one service. It compares totals, so a task that fits into no single worker may count as
/// having room; runs without checkpoints therefore also need slots (see `restart_slots`).
#[derive(Default)]
struct Room {
    free: Resources,
    /// Capacity that ending runs free in a second.
    per_second: Resources,
    /// Needs of all waiting steps up to each rank, in order of the ranks.
    ahead: Vec<(Rank, Resources)>,
    /// Needs of moved runs whose end is not known yet; afterwards their steps wait.
    taken: Resources,
}

impl Room {
    /// Takes room that is free now or within `wait_ms` for runs of this rank; returns false if there is too little.
    fn take(&mut self, need: &Resources, rank: Rank, wait_ms: u64) -> bool {
        let before = self.ahead.partition_point(|(other, _)| *other <= rank);
        let ahead = before.checked_sub(1).map(|last| self.ahead[last].1);
        let available = (self.free + scale(&self.per_second, wait_ms, 1_000))
            .saturating_sub(&ahead.unwrap_or_default())
            .saturating_sub(&self.taken);
        let has_room = need.fits_in(&available);
        if has_room {
            self.add_taken(need);
        }
        has_room
    }

    fn add_taken(&mut self, need: &Resources) {
        self.taken += *need;
    }

    /// Returns room that was taken for runs that are not moved.
    fn give_back(&mut self, need: &Resources) {
        self.taken = self.taken.saturating_sub(need);
    }
}

/// `amount * times / per`, saturating.
fn scale(amount: &Resources, times: u64, per: u64) -> Resources {
    amount.map(|it| it.saturating_mul(times) / per.max(1))
}

/// Expected end of a run, by the speed that it has shown, or else by its estimate.
fn expected_end_ms(run: &Run, estimate_ms: u64, now_ms: u64) -> u64 {
    let end_ms = run.progress.expected_end_ms(estimate_ms);
    // A run that is overdue without a report of its end is slower than expected, by at least as much again.
    end_ms.max(now_ms + now_ms.saturating_sub(end_ms))
}

/// Value of a job's result by its time, from the lowest to the highest.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Value {
    None,
    Late,
    InTime,
}

fn value_at(job: &Job, end_ms: u64) -> Value {
    if end_ms <= job.deadline_ms {
        Value::InTime
    } else if end_ms <= job.no_value_ms {
        Value::Late
    } else {
        Value::None
    }
}

impl Scheduler {
    /// Runs that the last decision moved off leaving workers; returns and clears them.
    pub fn take_moved_runs(&mut self) -> Vec<MovedRuns> {
        mem::take(&mut self.evacuation.moved)
    }

    /// Orders the stop of runs that have to leave their workers now.
    pub(crate) fn evacuate(&mut self) {
        let now_ms = self.now_ms;
        if self.evacuation.leaving.is_empty() || now_ms < self.evacuation.next_check_ms {
            return;
        }
        self.evacuation.next_check_ms = now_ms + CHECK_INTERVAL_MS;
        self.evacuation.moved.clear();
        let mut units = self.units_at_risk();
        if units.is_empty() {
            return;
        }
        self.update_turnover();
        units.sort_by_key(|it| (Reverse(it.stake), it.rank));
        // Runs that are stopped shortly before their workers leave and come later in the order.
        let late_runs = |it: &Unit| if it.resumes { it.runs.len() as u64 } else { 0 };
        let mut later: u64 = units.iter().map(late_runs).sum();
        let mut rooms: BTreeMap<Arc<str>, Room> = BTreeMap::new();
        let mut slots: Option<RestartSlots> = None;
        for unit in units {
            later -= late_runs(&unit);
            let last_ms = unit.leaves_at_ms.saturating_sub(STOP_LEAD_MS);
            // Without an answer, a run that would end in time is judged as if it had just begun.
            if !unit.has_answers && now_ms < last_ms {
                continue;
            }
            if unit.resumes && now_ms + later * STOP_SPACING_MS < last_ms {
                continue;
            }
            if !unit.resumes && !self.is_restart_better(&unit) {
                continue;
            }
            let room = rooms
                .entry(Arc::clone(&unit.service))
                .or_insert_with_key(|service| self.room(service));
            // A run that starts again from zero is judged as if it began at once, so it needs room that is free now.
            let wait_ms = if unit.resumes {
                last_ms.saturating_sub(now_ms)
            } else {
                0
            };
            let has_room = room.take(&unit.need, unit.rank, wait_ms);
            if unit.has_checkpoints {
                // A stop saves the work since the last checkpoint.
                if !has_room && now_ms < last_ms {
                    continue;
                }
            } else {
                // An endless run would only end earlier, so it needs a slot. It has one also where the steps ahead wait for
                // other workers, or for more room than is left on this one.
                let kept = self.kept_room.get(&unit.service);
                let may_be_beside = self.is_kept_room_complete && unit.end_ms >= ENDLESS_MS;
                if !has_room && !may_be_beside {
                    continue;
                }
                let beside = Beside {
                    kept,
                    end_ms: u64::MAX,
                    may_use: has_room,
                };
                let slots = slots.get_or_insert_with(|| self.slots_of_stopping_runs());
                if !self.take_restart_slots(slots, &unit.step, unit.leaving_runs, beside) {
                    if has_room {
                        room.give_back(&unit.need);
                    }
                    continue;
                }
                if !has_room {
                    room.add_taken(&unit.need);
                }
            }
            self.move_unit(unit);
        }
    }

    /// Runs that will not end before their workers leave, and are not stopping yet.
    fn units_at_risk(&self) -> Vec<Unit> {
        let mut units = Vec::new();
        let mut gangs = BTreeSet::new();
        for id in self.evacuation.leaving.keys() {
            let Some(worker) = self.workers.get(id) else {
                continue;
            };
            for task in worker.runs.keys() {
                let Some(job) = self.jobs.get(&task.step.job) else {
                    continue;
                };
                let runs = if job.spec(&task.step).gang {
                    if !gangs.insert(&task.step) {
                        continue;
                    }
                    job.placed_tasks(&task.step)
                } else {
                    vec![(id.clone(), task.clone())]
                };
                let unit = self.unit(job, &task.step, runs);
                units.extend(unit.filter(|it| it.end_ms + REPORT_MARGIN_MS > it.leaves_at_ms));
            }
        }
        units
    }

    /// Unit of the runs of a step; `None` if one of them is stopping or gone, because its gang then stops anyway.
    fn unit(&self, job: &Job, step: &StepKey, runs: Vec<(WorkerId, TaskKey)>) -> Option<Unit> {
        let spec = job.spec(step);
        let mut unit = Unit {
            step: step.clone(),
            worker: runs.first()?.0.clone(),
            leaves_at_ms: u64::MAX,
            end_ms: if spec.endless { ENDLESS_MS } else { 0 },
            leaving_runs: 0,
            need: Resources::ZERO,
            service: Arc::clone(&job.request.policy.service),
            rank: job.rank(step, self.now_ms),
            has_answers: true,
            has_checkpoints: spec.checkpoints,
            resumes: spec.checkpoints || spec.endless,
            stake: 0,
            runs: Vec::new(),
        };
        for (id, task) in &runs {
            let worker = self.workers.get(id)?;
            unit.has_answers &= worker.has_answered;
            let run = worker.runs.get(task)?;
            let started_ms = match run.phase {
                RunPhase::Stopping | RunPhase::Stopped(_) | RunPhase::Finished(_) => return None,
                RunPhase::Confirmed(at_ms) => at_ms,
                RunPhase::Starting | RunPhase::Unconfirmed(_) => self.now_ms,
            };
            let end_ms = expected_end_ms(run, spec.estimate_ms, self.now_ms);
            unit.end_ms = unit.end_ms.max(end_ms);
            let worked_ms = self.now_ms.saturating_sub(started_ms);
            let at_stake_ms = if unit.resumes {
                worked_ms.min(CHECKPOINT_INTERVAL_MS)
            } else {
                worked_ms
            };
            unit.stake += run.need.milli_cores * at_stake_ms;
            if let Some(&leaves_at_ms) = self.evacuation.leaving.get(id) {
                unit.leaving_runs += 1;
                unit.need += run.need;
                if leaves_at_ms < unit.leaves_at_ms {
                    (unit.leaves_at_ms, unit.worker) = (leaves_at_ms, id.clone());
                }
            }
        }
        unit.runs = runs;
        Some(unit)
    }

    /// Whether a restart from zero now gives the job's result a higher value than a restart after the worker has left.
    /// If both are in time, the restart now loses less work. If both are late, the worker may yet stay long enough.
    fn is_restart_better(&self, unit: &Unit) -> bool {
        let Some(job) = self.jobs.get(&unit.step.job) else {
            return false;
        };
        let estimate_ms = job.spec(&unit.step).estimate_ms;
        let rest_ms = (job.request)
            .critical_path_after_ms(unit.step.step as usize)
            .saturating_add(estimate_ms);
        let restarted_ms = self.now_ms + STOP_LEAD_MS;
        let moved = value_at(job, restarted_ms.saturating_add(rest_ms));
        // That a run on a worker that has left is gone is known when its lease has expired.
        let left_ms = unit.leaves_at_ms + self.lease_bound_ms;
        moved == Value::InTime || moved > value_at(job, left_ms.saturating_add(rest_ms))
    }

    fn move_unit(&mut self, unit: Unit) {
        for (worker, task) in &unit.runs {
            self.stop_run(worker, task);
        }
        self.evacuation.moved.push(MovedRuns {
            step: unit.step,
            runs: unit.runs.len(),
            worker: unit.worker,
            reason: if unit.resumes {
                MoveReason::Resume
            } else {
                MoveReason::Restart
            },
            leaves_in_ms: unit.leaves_at_ms.saturating_sub(self.now_ms),
            ends_in_ms: unit.end_ms.saturating_sub(self.now_ms),
        });
    }

    fn room(&self, service: &str) -> Room {
        let waiting = (self.waiting_steps).first_of_service(service, MAX_STEPS_AHEAD);
        let waiting = waiting.into_iter().filter_map(|(rank, key)| {
            let job = self
                .jobs
                .get(&key.job)
                .filter(|job| !job.lacks_workers(key))?;
            let step = job.step(key).filter(|step| !step.has_capacity)?;
            let need = (job.spec(key).need).checked_mul(step.waiting_tasks() as u64)?;
            Some((*rank, need))
        });
        let sums = waiting.scan(Resources::ZERO, |sum, (rank, need)| {
            *sum = sum.zip_with(&need, u64::saturating_add);
            Some((rank, *sum))
        });
        Room {
            free: self.free_capacity(service),
            per_second: (self.evacuation.turnover.get(service))
                .copied()
                .unwrap_or_default(),
            ahead: sums.collect(),
            taken: self.stopping_need(service),
        }
    }

    /// Runs on leaving workers that are stopping, with their jobs, which are not final.
    fn stopping_runs(&self) -> impl Iterator<Item = (&Job, &TaskKey, &Run)> {
        let leaving = self.evacuation.leaving.keys();
        let workers = leaving.filter_map(|id| self.workers.get(id));
        let runs = workers.flat_map(|worker| &worker.runs);
        let stopping =
            runs.filter(|(_, run)| matches!(run.phase, RunPhase::Stopping | RunPhase::Stopped(_)));
        stopping.filter_map(|(task, run)| {
            let job = self.jobs.get(&task.step.job)?;
            (!job.state.is_final()).then_some((job, task, run))
        })
    }

    /// Slots of the runs without checkpoints that are stopping on leaving workers and will start elsewhere.
    fn slots_of_stopping_runs(&self) -> RestartSlots {
        let mut slots = RestartSlots::default();
        for (job, task, _) in self.stopping_runs() {
            if !job.spec(&task.step).checkpoints {
                self.take_restart_slots(&mut slots, &task.step, 1, Beside::NOTHING);
            }
        }
        slots
    }

    /// Resources of the runs on leaving workers that are stopping and will need room elsewhere.
    fn stopping_need(&self, service: &str) -> Resources {
        let mut sum = Resources::ZERO;
        for (job, _, run) in self.stopping_runs() {
            if *job.request.policy.service == *service {
                sum += run.need;
            }
        }
        sum
    }

    /// Estimates the capacity that ending runs free in a second, on workers that accept new tasks.
    fn update_turnover(&mut self) {
        if self.now_ms < self.evacuation.next_turnover_ms {
            return;
        }
        self.evacuation.next_turnover_ms = self.now_ms + TURNOVER_INTERVAL_MS;
        let mut turnover: BTreeMap<Arc<str>, Resources> = BTreeMap::new();
        let accepting = |it: &&Worker| it.is_schedulable(self.now_ms);
        for worker in self.workers.values().filter(accepting) {
            let sum = turnover
                .entry(Arc::clone(&worker.spec.service))
                .or_default();
            for (task, run) in &worker.runs {
                let job = self.jobs.get(&task.step.job);
                if let Some(spec) = job.map(|job| job.spec(&task.step))
                    && !spec.endless
                {
                    *sum += scale(&run.need, 1_000, spec.estimate_ms);
                }
            }
        }
        self.evacuation.turnover = turnover;
    }
}
