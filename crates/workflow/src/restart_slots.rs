//! Slots for runs without checkpoints that are moved off leaving workers.
//!
//! Such a run loses all its work with its stop, so it is stopped only if a worker can take it now: one with the needed
//! label, with free capacity for a whole task, below the step's limit for each worker, and not refused by the advice
//! service.

use {
    crate::{Scheduler, StepKey, gang_room::Beside, worker::slots_in},
    ragwortreel_model::{Resources, WorkerId},
    std::{
        collections::{BTreeMap, BTreeSet},
        iter::repeat_n,
    },
};

/// Slots that moved runs will use, which are still free or not.
#[derive(Default)]
pub(crate) struct RestartSlots {
    taken: BTreeMap<WorkerId, Vec<(StepKey, Resources)>>,
    /// Steps without a slot for another run. Without this set, each of their runs would visit all workers.
    without_slots: BTreeSet<StepKey>,
}

impl Scheduler {
    /// Takes slots for runs of a step beside kept room; returns false and takes none if there are too few.
    pub(crate) fn take_restart_slots(
        &self,
        slots: &mut RestartSlots,
        key: &StepKey,
        runs: usize,
        beside: Beside<'_>,
    ) -> bool {
        if slots.without_slots.contains(key) {
            return false;
        }
        let Some((job, step)) =
            (self.jobs.get(&key.job)).and_then(|job| Some((job, job.step(key)?)))
        else {
            return false;
        };
        let need = job.spec(key).need;
        let workers = self.schedulable_workers(&job.request.policy.service);
        let not_refused = workers.filter(|it| step.advice.is_allowed(&it.spec.id) != Some(false));
        let mut candidates = self.candidates(key, not_refused, beside);
        // Best fit, as at the start of a task.
        candidates.sort_by_key(|it| it.free_milli_cores);
        let mut chosen: Vec<&WorkerId> = Vec::new();
        for it in candidates {
            let id = &it.worker.spec.id;
            let taken = slots.taken.get(id).map_or(&[][..], Vec::as_slice);
            let same_step = taken.iter().filter(|(step, _)| step == key).count();
            let max = it
                .slots
                .saturating_sub(u32::try_from(same_step).unwrap_or(u32::MAX));
            let mut free = beside.free_capacity(it.worker, &need).0;
            for (_, need) in taken {
                free = free.saturating_sub(need);
            }
            let count = slots_in(&need, &free, max) as usize;
            chosen.extend(repeat_n(id, count.min(runs - chosen.len())));
            if chosen.len() == runs {
                break;
            }
        }
        if chosen.len() < runs {
            slots.without_slots.insert(key.clone());
            return false;
        }
        for id in chosen {
            let of_worker = slots.taken.entry(id.clone()).or_default();
            of_worker.push((key.clone(), need));
        }
        true
    }
}
