//! Checkpoints that make room for urgent work.

use {
    crate::{Decision, Scheduler, arena::Arena, capacity::Visit, jobs::Job, workers::RunKey},
    ragwortreel_model::{Priority, Resources},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
    },
};

/// Workers that are compared to find the cheapest room.
const MAX_WORKERS_COMPARED: usize = 8;
/// Time after which a checkpoint without effect is asked for again, in ms; the command or its answer may be lost.
const CHECKPOINT_RETRY_MS: u64 = 10_000;
/// Tasks of a lane for which room is being made at once.
const MAX_PREEMPTIONS_PER_CLASS: u32 = 256;

/// Room that is being made for a task of a lane.
#[derive(Debug, Clone)]
struct Preemption {
    class: u32,
    remaining_runs: u32,
}

/// All room that is being made, and the checkpoints that are still to be handed out.
#[derive(Debug, Clone, Default)]
pub struct Preemptions {
    by_run: BTreeMap<RunKey, u32>,
    table: Arena<Preemption>,
    /// Checkpoints by the time at which they are to be handed out, in ms.
    checkpoints: BTreeSet<(u64, RunKey)>,
}

impl Scheduler {
    /// Has a run checkpointed.
    pub(crate) fn request_checkpoint(&mut self, run: RunKey) {
        self.mark_checkpoint_requested(run);
        self.preemptions.checkpoints.insert((self.now_ms, run));
    }

    /// Hands out checkpoints up to the limit, and again those that had no effect.
    pub(crate) fn emit_checkpoints(&mut self, out: &mut Vec<Decision>, limit: usize) {
        while out.len() < limit
            && let Some(&(due_ms, run)) = self.preemptions.checkpoints.first()
            && due_ms <= self.now_ms
        {
            self.preemptions.checkpoints.pop_first();
            let entry = self.jobs.get(run.0).and_then(|job| job.runs.get(&run.1));
            if entry.is_some_and(|entry| entry.checkpoint_requested) {
                out.push(Decision::Checkpoint(self.assignment(run)));
                let again_ms = self.now_ms.saturating_add(CHECKPOINT_RETRY_MS);
                self.preemptions.checkpoints.insert((again_ms, run));
            }
        }
    }

    /// Has the running tasks of gangs stopped that are no longer complete, so that they can start together again.
    pub(crate) fn checkpoint_partial_gangs(&mut self) {
        for job in std::mem::take(&mut self.partial_gangs) {
            let runs = self.jobs[job].runs.iter();
            let runs = runs.filter(|(_, run)| !run.checkpoint_requested);
            let runs: Vec<RunKey> = runs.map(|(&index, _)| (job, index)).collect();
            for run in runs {
                self.request_checkpoint(run);
            }
        }
    }

    /// Has best-effort batch runs checkpointed for the first task of a lane, if it may; returns whether it did.
    pub(crate) fn preempt_for_class(&mut self, class: u32) -> bool {
        let entry = self.queue.class(class);
        let is_single = entry.key.gang_tasks == 0;
        let first = entry.jobs.first().map(|&(_, _, job)| &self.jobs[job]);
        let may_preempt = first.is_some_and(Job::may_preempt);
        let most = match first {
            Some(job) if !job.is_urgent() => u64::from(job.lost_tasks),
            _ => entry.queued,
        };
        let most = most.min(u64::from(MAX_PREEMPTIONS_PER_CLASS));
        if !may_preempt || !is_single || u64::from(entry.preemptions) >= most {
            return false;
        }
        let need = entry.shape.need;
        let Some(victims) = self.cheapest_victims(&need) else {
            return false;
        };
        let remaining_runs = u32::try_from(victims.len()).unwrap_or(u32::MAX);
        let preemption = self.preemptions.table.insert(Preemption {
            class,
            remaining_runs,
        });
        let entry = self.queue.class_mut(class);
        entry.preemptions += 1;
        // The claim keeps the lane in existence until it is resolved.
        entry.members += 1;
        for run in victims {
            self.preemptions.by_run.insert(run, preemption);
            self.request_checkpoint(run);
        }
        true
    }

    /// Has best-effort batch runs on a worker checkpointed until `tasks` tasks fit.
    pub(crate) fn preempt_for_gang(&mut self, worker: u32, need: &Resources, tasks: u32) {
        let Some(total_need) = need.checked_mul(u64::from(tasks)) else {
            return;
        };
        for run in self.victims(worker, &total_need).unwrap_or_default() {
            self.request_checkpoint(run);
        }
    }

    fn cheapest_victims(&self, need: &Resources) -> Option<Vec<RunKey>> {
        let mut left = MAX_WORKERS_COMPARED;
        let mut best: Option<((usize, u64), Vec<RunKey>)> = None;
        self.workers.visit_with_preemption(need, &mut |worker, _| {
            left -= 1;
            if let Some(victims) = self.victims(worker, need)
                && !victims.is_empty()
            {
                let cost = self.preemption_cost(&victims);
                if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                    best = Some((cost, victims));
                }
            }
            if left == 0 { Visit::Stop } else { Visit::Next }
        });
        best.map(|(_, victims)| victims)
    }

    /// Number of runs of normal priority, and sum of all run times so far in ms.
    fn preemption_cost(&self, victims: &[RunKey]) -> (usize, u64) {
        let is_normal = |&&(job, _): &&RunKey| self.jobs[job].spec.priority == Priority::Normal;
        let run_time_ms = |&(job, index): &RunKey| {
            let decided_ms = self.jobs[job].runs[&index].decided_ms;
            self.now_ms.saturating_sub(decided_ms)
        };
        let normal = victims.iter().filter(is_normal).count();
        (normal, victims.iter().map(run_time_ms).sum())
    }

    /// Runs on a worker whose end makes room for `need`: best-effort ones first, then the youngest.
    fn victims(&self, worker: u32, need: &Resources) -> Option<Vec<RunKey>> {
        let entry = self.workers.get(worker);
        let runs = entry.runs.iter().copied();
        let mut runs: Vec<RunKey> = runs
            .filter(|&(job, index)| {
                let run = &self.jobs[job].runs[&index];
                run.preemptible && !run.checkpoint_requested
            })
            .collect();
        runs.sort_by_key(|&(job, index)| {
            let job = &self.jobs[job];
            (job.spec.priority, Reverse(job.runs[&index].decided_ms))
        });
        let mut left = entry.allocated;
        let fits = |left: &Resources| (*left + *need).fits_in(&entry.spec.capacity);
        let mut victims = Vec::new();
        for (job, index) in runs {
            if fits(&left) {
                break;
            }
            let size = self.jobs[job].runs[&index].size;
            let missing = (left + *need).saturating_sub(&entry.spec.capacity);
            let helps = (missing.milli_cores > 0 && size.milli_cores > 0)
                || (missing.memory_mib > 0 && size.memory_mib > 0)
                || (missing.accelerators > 0 && size.accelerators > 0);
            if helps {
                left = left.saturating_sub(&size);
                victims.push((job, index));
            }
        }
        fits(&left).then_some(victims)
    }

    /// Records the end of a run; the lane for which its room was made is tried again.
    pub(crate) fn resolve_preemption(&mut self, run: RunKey) {
        let Some(preemption) = self.preemptions.by_run.remove(&run) else {
            return;
        };
        let entry = &mut self.preemptions.table[preemption];
        entry.remaining_runs -= 1;
        if entry.remaining_runs > 0 {
            return;
        }
        let Some(preemption) = self.preemptions.table.remove(preemption) else {
            return;
        };
        self.queue.class_mut(preemption.class).preemptions -= 1;
        self.queue.unblock_class(preemption.class);
        self.leave_class(preemption.class);
    }
}
