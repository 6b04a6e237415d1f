//! Preemption: checkpoints of batch runs that make room for urgent jobs and for services that lost a worker.

use {
    crate::{Decision, Scheduler, arena::Arena, capacity::Visit, jobs::Job, workers::RunKey},
    ragwortreel_model::{Priority, Resources},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
    },
};

/// Maximum number of workers that are compared to find the cheapest preemption.
const MAX_WORKERS_COMPARED: usize = 8;
/// Time after which a checkpoint is requested again if the run has not ended, in ms. The command or its reply may be
/// lost.
const CHECKPOINT_RETRY_MS: u64 = 10_000;
/// Maximum number of tasks of a job class for which runs are preempted at a time.
const MAX_PREEMPTIONS_PER_CLASS: u32 = 256;

/// Preemption of runs on one worker to make room for one task of a job class.
#[derive(Debug, Clone)]
struct Preemption {
    class: u32,
    remaining_runs: u32,
}

/// Unfinished preemptions, and the checkpoint requests that are due.
#[derive(Debug, Clone, Default)]
pub struct Preemptions {
    /// Index in `table` of the preemption that each run belongs to.
    by_run: BTreeMap<RunKey, u32>,
    table: Arena<Preemption>,
    /// Requested checkpoints by the time at which the next decision for them is due, in ms.
    checkpoints: BTreeSet<(u64, RunKey)>,
}

impl Scheduler {
    /// Requests a checkpoint of a run, which the next call of [`Self::emit_checkpoints`] turns into a decision.
    pub(crate) fn request_checkpoint(&mut self, run: RunKey) {
        self.mark_checkpoint_requested(run);
        self.preemptions.checkpoints.insert((self.now_ms, run));
    }

    /// Adds decisions for the due checkpoints up to the limit, and schedules each for a retry.
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

    /// Requests checkpoints of the remaining runs of partial gangs, so that all tasks can start together again.
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

    /// Preempts batch runs for the next task of a job class, if its first job may preempt; returns whether it did.
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
        // The preemption refers to the class, so it counts as a member until it is resolved.
        entry.members += 1;
        for run in victims {
            self.preemptions.by_run.insert(run, preemption);
            self.request_checkpoint(run);
        }
        true
    }

    /// Requests checkpoints of as many batch runs on a worker as `tasks` tasks of a gang need.
    pub(crate) fn preempt_for_gang(&mut self, worker: u32, need: &Resources, tasks: u32) {
        let Some(total_need) = need.checked_mul(u64::from(tasks)) else {
            return;
        };
        for run in self.victims(worker, &total_need).unwrap_or_default() {
            self.request_checkpoint(run);
        }
    }

    fn cheapest_victims(&self, need: &Resources) -> Option<Vec<RunKey>> {
        let mut remaining_workers = MAX_WORKERS_COMPARED;
        let mut best: Option<((usize, u64), Vec<RunKey>)> = None;
        self.workers.visit_with_preemption(need, &mut |worker, _| {
            remaining_workers -= 1;
            if let Some(victims) = self.victims(worker, need)
                && !victims.is_empty()
            {
                let cost = self.preemption_cost(&victims);
                if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                    best = Some((cost, victims));
                }
            }
            if remaining_workers == 0 {
                Visit::Stop
            } else {
                Visit::Next
            }
        });
        best.map(|(_, victims)| victims)
    }

    /// Returns the cost of a preemption: the number of runs of normal priority, then the sum of all run times so far in
    /// ms.
    fn preemption_cost(&self, victims: &[RunKey]) -> (usize, u64) {
        let is_normal = |&&(job, _): &&RunKey| self.jobs[job].spec.priority == Priority::Normal;
        let run_time_ms = |&(job, index): &RunKey| {
            let decided_ms = self.jobs[job].runs[&index].decided_ms;
            self.now_ms.saturating_sub(decided_ms)
        };
        let normal = victims.iter().filter(is_normal).count();
        (normal, victims.iter().map(run_time_ms).sum())
    }

    /// Returns the preemptible runs on a worker whose end makes room for `need`: best-effort runs before normal ones,
    /// the latest started first. Returns `None` if the end of all of them does not suffice.
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
        let mut still_allocated = entry.allocated;
        let fits =
            |still_allocated: &Resources| (*still_allocated + *need).fits_in(&entry.spec.capacity);
        let mut victims = Vec::new();
        for (job, index) in runs {
            if fits(&still_allocated) {
                break;
            }
            let size = self.jobs[job].runs[&index].size;
            let missing = (still_allocated + *need).saturating_sub(&entry.spec.capacity);
            let helps = (missing.milli_cores > 0 && size.milli_cores > 0)
                || (missing.memory_mib > 0 && size.memory_mib > 0)
                || (missing.accelerators > 0 && size.accelerators > 0);
            if helps {
                still_allocated = still_allocated.saturating_sub(&size);
                victims.push((job, index));
            }
        }
        fits(&still_allocated).then_some(victims)
    }

    /// Records the end of a run. If it was the last run of a preemption, the shape of the preempting job class is
    /// unblocked.
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
