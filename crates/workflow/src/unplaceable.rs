//! Steps that no worker can run.
//!
//! The load is jobs that can never start, or not for long: they need a label that no worker has, tasks larger than any
//! worker, or a gang wider than all workers together. Such steps come early in the order as their time runs out. If they
//! stayed in the queue, a few of them would use up the attempts of a decision, and the room kept free for them would idle.
//!
//! Therefore a step that could not start on the listed workers even if these were empty is *unplaceable*: it is taken out
//! of the queue of waiting steps, keeps no room and counts in no figure of the backlog. It returns to its place once a
//! worker that it lacks is listed. A step that only lacks workers that answer and are not in quarantine, or room beside
//! endless tasks, stays in the queue, but keeps no room and uses up no attempt.

use {
    crate::{
        Scheduler, StepKey,
        order::Rank,
        room_forecast::{Allowance, RoomForecast},
        worker::{Worker, slots_in},
    },
    derive_more::Display,
    std::{
        collections::BTreeSet,
        mem,
        ops::Bound::{Excluded, Unbounded},
    },
};

/// Interval between two checks of the unplaceable steps, in ms: that of the reads of the list of workers.
const CHECK_INTERVAL_MS: u64 = 800;
/// Interval between two counts of a blocked step's slots, in ms. Each count visits all workers, as an attempt does, but
/// attempts follow each other within some milliseconds.
const SLOTS_INTERVAL_MS: u64 = 250;
/// Most steps that one decision checks. Each check visits all workers.
const MAX_CHECKED_STEPS: usize = 32;

/// Reason for which no worker can run a step. The requirements of a step are checked in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum UnplaceableReason {
    /// No worker of the service is listed.
    #[display("the service has no worker")]
    NoWorker,
    /// No worker has the label.
    #[display("no worker has the label that it needs")]
    Label,
    /// A task needs more than any worker has.
    #[display("a task needs more than any worker has")]
    TaskSize,
    /// The advice service allows no worker that could run a task.
    #[display("the advice service allows no worker that it fits on")]
    Advice,
    /// The tasks of a gang do not fit on all workers together.
    #[display("the gang is wider than all workers that it may use")]
    GangWidth,
    /// The step fits on the workers, but not beside endless tasks.
    #[display("endless tasks leave too little room for it")]
    EndlessTasks,
}

impl UnplaceableReason {
    /// Name in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoWorker => "no-worker",
            Self::Label => "label",
            Self::TaskSize => "task-size",
            Self::Advice => "advice",
            Self::GangWidth => "gang-width",
            Self::EndlessTasks => "endless-tasks",
        }
    }
}

/// Step that no worker can run, or none at present, for the log; reported once for each step and reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnplaceableStep {
    /// Step that waits for a worker.
    pub step: StepKey,
    /// Requirement that no worker meets.
    pub reason: UnplaceableReason,
}

/// Tasks of a step that the workers could run at the same time.
#[derive(Debug, Default)]
struct StepSlots {
    /// Room on the workers that accept tasks now.
    present: RoomForecast,
    /// First requirement that no listed worker meets; `None` if the step could start on the listed workers.
    unplaceable: Option<UnplaceableReason>,
    /// Whether it could do so only if endless tasks ended.
    waits_for_endless: bool,
}

/// Steps that no worker can run.
#[derive(Debug, Default)]
pub(crate) struct Unplaceable {
    steps: BTreeSet<(Rank, StepKey)>,
    /// Time of the next check, in ms.
    check_ms: u64,
    /// Step after which the next check goes on; `None` to begin with the first one.
    checked: Option<(Rank, StepKey)>,
    notices: Vec<UnplaceableStep>,
}

impl Unplaceable {
    /// Removes a step whose rank has changed.
    pub(crate) fn remove(&mut self, entry: &(Rank, StepKey)) {
        self.steps.remove(entry);
    }

    /// Has all steps checked by the next decisions, because a worker is new or has changed.
    pub(crate) fn check_all(&mut self) {
        self.check_ms = 0;
        self.checked = None;
    }

    pub(crate) fn steps(&self) -> impl Iterator<Item = &(Rank, StepKey)> {
        self.steps.iter()
    }
}

/// Whether a worker is listed and stays.
fn stays(worker: &Worker) -> bool {
    worker.listed && !worker.spec.draining
}

impl Scheduler {
    /// Counts the tasks of a step that the workers could run at the same time if they were empty, and beside endless tasks,
    /// as far as it is known which workers the advice service allows.
    fn step_slots(&self, key: &StepKey) -> StepSlots {
        let job = self.jobs.get(&key.job);
        let Some((job, step)) = job.and_then(|job| Some((job, job.step(key)?))) else {
            return StepSlots::default();
        };
        let spec = job.spec(key);
        let max_slots = spec.tasks.min(spec.max_per_worker.unwrap_or(u32::MAX));
        let allowance = Allowance::new(job, key, self.now_ms);
        let (mut listed, mut beside_endless) = (0, 0);
        let mut present = Vec::new();
        let mut lacking = UnplaceableReason::NoWorker;
        for worker in self.workers.values() {
            if worker.spec.service != job.request.policy.service || !stays(worker) {
                continue;
            }
            let label = spec.needed_label.as_ref();
            let on_worker = slots_in(&spec.need, &worker.spec.capacity, max_slots);
            let reached = if label.is_some_and(|it| !worker.spec.labels.contains(it)) {
                UnplaceableReason::Label
            } else if on_worker == 0 {
                UnplaceableReason::TaskSize
            } else if step.advice.is_allowed(&worker.spec.id) == Some(false) {
                UnplaceableReason::Advice
            } else {
                let max = allowance.of(&worker.spec.id);
                let room = worker.capacity_beside_endless();
                listed += u64::from(on_worker);
                beside_endless += u64::from(slots_in(&spec.need, &room, max));
                if worker.is_schedulable(self.now_ms) {
                    present.push((worker, allowance.new_runs(worker)));
                }
                UnplaceableReason::GangWidth
            };
            lacking = lacking.max(reached);
        }
        let least = spec.least_slots();
        StepSlots {
            present: self.room_forecast(&spec.need, least, present.into_iter()),
            unplaceable: (listed < least).then_some(lacking),
            waits_for_endless: listed >= least && beside_endless < least,
        }
    }

    /// Counts the slots of a blocked step again if that is due; returns the reason if no listed worker can run it.
    pub(crate) fn refresh_slots(&mut self, key: &StepKey) -> Option<UnplaceableReason> {
        let now_ms = self.now_ms;
        if self.step_mut(key)?.slots_due_ms > now_ms {
            return None;
        }
        self.estimate_ends();
        let slots = self.step_slots(key);
        let step = self.step_mut(key)?;
        step.present_slots = slots.present.slots;
        step.forecast_ms = slots.present.start_ms.unwrap_or(u64::MAX);
        step.slots_due_ms = now_ms + SLOTS_INTERVAL_MS;
        if slots.waits_for_endless {
            self.note_unplaceable(key, UnplaceableReason::EndlessTasks);
        }
        slots.unplaceable
    }

    /// Takes a step that no listed worker can run out of the queue of waiting steps.
    pub(crate) fn remove_from_queue(&mut self, key: &StepKey, reason: UnplaceableReason) {
        let Some(step) = self.step_mut(key) else {
            return;
        };
        let Some(rank) = step.rank else {
            return;
        };
        step.has_capacity = false;
        step.slots_due_ms = 0;
        let entry = (rank, key.clone());
        self.dequeue(&entry);
        self.unplaceable.steps.insert(entry);
        self.note_unplaceable(key, reason);
    }

    /// Reports what a step lacks, unless that was reported last.
    fn note_unplaceable(&mut self, key: &StepKey, reason: UnplaceableReason) {
        let step = self.step_mut(key);
        if step.is_some_and(|step| step.unplaceable.replace(reason) != Some(reason)) {
            let step = key.clone();
            (self.unplaceable.notices).push(UnplaceableStep { step, reason });
        }
    }

    /// Checks some of the unplaceable steps, and puts those that a worker can run now back into the queue of waiting steps.
    /// All are checked in turn.
    pub(crate) fn return_placeable_steps(&mut self) {
        if self.now_ms < self.unplaceable.check_ms {
            return;
        }
        let begin = self.unplaceable.checked.take().map_or(Unbounded, Excluded);
        let steps = self.unplaceable.steps.range((begin, Unbounded));
        let steps: Vec<(Rank, StepKey)> = steps.take(MAX_CHECKED_STEPS).cloned().collect();
        if steps.len() < MAX_CHECKED_STEPS {
            self.unplaceable.check_ms = self.now_ms + CHECK_INTERVAL_MS;
        } else {
            self.unplaceable.checked = steps.last().cloned();
        }
        for entry in steps {
            if self.step_slots(&entry.1).unplaceable.is_none() {
                self.unplaceable.steps.remove(&entry);
                self.enqueue(entry);
            }
        }
    }

    /// Returns and clears the steps that no worker can run, for the log.
    pub fn take_unplaceable_steps(&mut self) -> Vec<UnplaceableStep> {
        mem::take(&mut self.unplaceable.notices)
    }
}
