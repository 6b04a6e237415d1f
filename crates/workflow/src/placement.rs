//! Placement of waiting tasks on workers.
//!
//! Waiting steps are tried in order of lateness, priority and latest start (see `waiting`). A step for which there is too
//! little capacity is *blocked*: its next attempt is delayed, and its need is subtracted from the free capacity of its
//! workers for the rest of the decision, so that less important steps do not use the capacity that a large gang waits for
//! (see `gang_room`). A *slot* is free capacity of a worker for one task of a step.

use {
    crate::{
        Action, Scheduler, StartOrder, StepKey, TaskKey,
        gang_room::Beside,
        job_state::Placement,
        limit_backfill::Backfill,
        room_forecast::Allowance,
        stalls::RunProgress,
        worker::{Run, RunPhase, Worker, slots_in},
    },
    ragwortreel_model::WorkerId,
    std::{collections::BTreeMap, sync::Arc},
};

/// Time after which a blocked step is tried again, in ms. Each attempt visits all workers of the service, and on a full
/// fleet decisions follow each other within some milliseconds.
const BLOCKED_RETRY_MS: u64 = 20;
/// Time after which a blocked gang is tried again, in ms. It exceeds that of other steps because it takes longer until
/// enough capacity for a gang is freed.
const BLOCKED_GANG_RETRY_MS: u64 = 50;
/// A blocked step is tried earlier once capacity for one in this many of its waiting tasks was freed.
const BLOCKED_RETRY_DIVISOR: u64 = 4;

/// Worker with free capacity for tasks of a step.
#[derive(Clone, Copy)]
pub(crate) struct Candidate<'a> {
    pub(crate) worker: &'a Worker,
    /// Number of further tasks of the step that fit on the worker.
    pub(crate) slots: u32,
    pub(crate) free_milli_cores: u64,
    pub(crate) on_preferred_rack: bool,
    /// Whether a task would use room that is kept for others.
    pub(crate) is_kept: bool,
}

/// Outcome of a placement attempt of a step.
pub(crate) enum TryOutcome {
    /// No task waits for capacity: all are started, or the rest waits for advice.
    NotBlocked,
    /// Some tasks wait for capacity.
    Blocked,
}

impl Scheduler {
    /// Whether a blocked step is to be skipped: its retry time has not come and too little capacity was freed.
    pub(crate) fn is_blocked(&self, key: &StepKey) -> bool {
        let step = self.jobs.get(&key.job).and_then(|job| job.step(key));
        step.is_some_and(|step| {
            self.now_ms < step.blocked_until_ms
                && self.freed_milli_cores < step.blocked_until_freed_milli_cores
        })
    }

    /// Delays the next attempt of a step until its retry time, or until a part of the needed capacity was freed.
    pub(crate) fn block(&mut self, key: &StepKey) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let spec = job.spec(key);
        let wait_ms = if spec.gang {
            BLOCKED_GANG_RETRY_MS
        } else {
            BLOCKED_RETRY_MS
        };
        let tasks = self.startable_tasks(key) as u64;
        let needed_milli_cores = spec.need.milli_cores * (tasks / BLOCKED_RETRY_DIVISOR).max(1);
        let (until_ms, until_freed) = (
            self.now_ms + wait_ms,
            self.freed_milli_cores + needed_milli_cores,
        );
        if let Some(step) = self.step_mut(key) {
            step.blocked_until_ms = until_ms;
            step.blocked_until_freed_milli_cores = until_freed;
        }
    }

    pub(crate) fn set_has_capacity(&mut self, key: &StepKey, has_capacity: bool) {
        if let Some(step) = self.step_mut(key) {
            step.has_capacity = has_capacity;
        }
    }

    /// Starts the tasks of a step that fit beside kept room, and requests advice for the rest; also returns the number of
    /// starts.
    pub(crate) fn try_step(&mut self, key: &StepKey, beside: Beside<'_>) -> (TryOutcome, usize) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get(&key.job) else {
            return (TryOutcome::NotBlocked, 0);
        };
        let needs_advice = job.request.policy.advice.is_some();
        let Some(step) = job.step(key) else {
            return (TryOutcome::NotBlocked, 0);
        };
        if !step.reservations.is_empty() {
            // The answer is pending: the reservations stay until it arrives or is overdue.
            if step.reserved_until_ms >= now_ms {
                return (TryOutcome::NotBlocked, 0);
            }
            self.release_reservations(key);
        }
        let Some(step) = self.jobs.get(&key.job).and_then(|job| job.step(key)) else {
            return (TryOutcome::NotBlocked, 0);
        };
        let is_advice_pending = step.advice.calls_in_flight > 0;
        let waiting = self.startable_tasks(key);
        let started = self.start_possible_tasks(key, beside);
        if started == waiting {
            return (TryOutcome::NotBlocked, started);
        }
        if !needs_advice {
            return (TryOutcome::Blocked, started);
        }
        if is_advice_pending {
            return (TryOutcome::NotBlocked, started);
        }
        (self.request_advice(key, waiting - started, beside), started)
    }

    /// Starts the tasks of a step that fit on workers that may run it now; returns the number of starts.
    pub(crate) fn start_possible_tasks(&mut self, key: &StepKey, beside: Beside<'_>) -> usize {
        let Some(job) = self.jobs.get(&key.job) else {
            return 0;
        };
        let Some(step) = job.step(key) else {
            return 0;
        };
        let candidates = if job.request.policy.advice.is_some() {
            let ticketed = step.advice.workers_with_ticket(self.now_ms);
            let ticketed = ticketed.filter_map(|id| self.workers.get(id));
            self.candidates(key, ticketed, beside)
        } else {
            self.candidates(key, self.workers.values(), beside)
        };
        let chosen = self.choose_workers(key, candidates, step.waiting_tasks());
        let started = chosen.len();
        if started > 0 {
            self.start_tasks(key, chosen);
        }
        started
    }

    /// Workers of the iterator that can start at least one task of the step beside kept room.
    pub(crate) fn candidates<'a>(
        &'a self,
        key: &StepKey,
        workers: impl Iterator<Item = &'a Worker>,
        beside: Beside<'_>,
    ) -> Vec<Candidate<'a>> {
        let Some(job) = self.jobs.get(&key.job) else {
            return Vec::new();
        };
        let spec = job.spec(key);
        let allowance = Allowance::new(job, key, self.now_ms);
        let service = &job.request.policy.service;
        let fits = |worker: &&Worker| {
            worker.is_schedulable(self.now_ms)
                && worker.spec.service == *service
                && (spec.needed_label.as_ref()).is_none_or(|it| worker.spec.labels.contains(it))
        };
        let preferred_rack = spec.preferred_rack.as_ref();
        let candidate = |worker: &'a Worker| {
            let (free, is_kept) = beside.free_capacity(worker, &spec.need);
            Candidate {
                worker,
                slots: slots_in(&spec.need, &free, allowance.new_runs(worker)),
                free_milli_cores: free.milli_cores,
                on_preferred_rack: preferred_rack.is_some_and(|it| worker.spec.labels.contains(it)),
                is_kept,
            }
        };
        workers
            .filter(fits)
            .map(candidate)
            .filter(|it| it.slots > 0)
            .collect()
    }

    /// Chooses workers for waiting tasks: for all tasks of a gang or none, otherwise for as many tasks as fit.
    pub(crate) fn choose_workers(
        &self,
        key: &StepKey,
        mut candidates: Vec<Candidate<'_>>,
        waiting: usize,
    ) -> Vec<(u32, WorkerId)> {
        let Some(job) = self.jobs.get(&key.job) else {
            return Vec::new();
        };
        let Some(step) = job.step(key) else {
            return Vec::new();
        };
        let gang = job.spec(key).gang;
        let waiting = waiting.min(self.startable_tasks(key));
        let total = total_slots(&candidates);
        if waiting == 0 || total == 0 || (gang && total < waiting) {
            return Vec::new();
        }
        let preference = self.speed_preference(job, key);
        // Best fit: using the fullest workers first leaves whole workers free for large tasks.
        candidates.sort_by_key(|it| {
            (
                !it.on_preferred_rack,
                it.worker.failures.count(),
                it.is_kept,
                // Other steps avoid the workers of a pending gang request where possible.
                !gang && it.worker.pending_gang_requests > 0,
                preference.sort_key(it.worker.speed.class()),
                it.free_milli_cores,
            )
        });
        if job.spec(key).one_rack {
            prefer_one_rack(&mut candidates, waiting);
        }
        let mut chosen = Vec::new();
        for (task, index) in step.tasks.iter().zip(0..) {
            if chosen.len() == waiting {
                break;
            }
            if task.placement != Placement::Waiting {
                continue;
            }
            let did_not_fail_here = |it: &&mut Candidate<'_>| {
                it.slots > 0 && task.failed_on.as_ref() != Some(&it.worker.spec.id)
            };
            let found = match candidates.iter_mut().find(did_not_fail_here) {
                Some(found) => Some(found),
                None => candidates.iter_mut().find(|it| it.slots > 0),
            };
            let Some(found) = found else {
                break;
            };
            found.slots -= 1;
            chosen.push((index, found.worker.spec.id.clone()));
        }
        chosen
    }

    fn start_tasks(&mut self, key: &StepKey, chosen: Vec<(u32, WorkerId)>) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let spec = job.spec(key);
        let (spec, need, gang) = (spec.clone(), spec.need, spec.gang);
        let workspace = job.request.workspace.clone();
        let payload = Arc::clone(&job.request.payload);
        let Some(step) = job.step(key) else {
            return;
        };
        let gang_run = step.tasks.iter().map(|task| task.last_run).max();
        let gang_run = self.next_run(job, gang_run.unwrap_or(0));
        // A checkpoint of any member is valid for the whole gang, and all members must resume from the same one.
        let gang_checkpoint = step.tasks.iter().map(|task| &task.checkpoint);
        let gang_checkpoint = gang_checkpoint
            .max()
            .cloned()
            .unwrap_or_else(|| Arc::from(""));
        let mut orders = Vec::with_capacity(chosen.len());
        for (index, worker) in chosen {
            let task = &step.tasks[index as usize];
            let (run, checkpoint) = if gang {
                (gang_run, Arc::clone(&gang_checkpoint))
            } else {
                (
                    self.next_run(job, task.last_run),
                    Arc::clone(&task.checkpoint),
                )
            };
            orders.push(StartOrder {
                ticket: step.advice.valid_ticket(&worker, now_ms).cloned(),
                incarnation: self.workers.get(&worker).and_then(|it| it.incarnation),
                task: TaskKey {
                    step: key.clone(),
                    index,
                },
                worker,
                run,
                payload: Arc::clone(&payload),
                checkpoint,
            });
        }
        let backfill = self.backfill_of(key);
        if backfill == Some(Backfill::Beside)
            && let Some(workspace) = &workspace
        {
            let taken = need.checked_mul(orders.len() as u64).unwrap_or(need);
            self.workspaces.backfill.take_beside(workspace, &taken);
        }
        for order in orders {
            if let Some(worker) = self.workers.get_mut(&order.worker) {
                let run = Run {
                    number: order.run,
                    need,
                    workspace: workspace.clone(),
                    phase: RunPhase::Starting,
                    progress: RunProgress::new(&spec, order.checkpoint.is_empty(), now_ms),
                    backfill,
                };
                worker.add_run(order.task.clone(), run, &mut self.workspaces);
            }
            if let Some(step) = self.step_mut(key) {
                let task = &mut step.tasks[order.task.index as usize];
                task.placement = Placement::On(order.worker.clone());
                task.last_run = order.run;
            }
            self.mark_changed(&order.task);
            self.actions.push(Action::Start(order));
        }
        self.set_running(&key.job);
        self.update_waiting_steps(&key.job);
    }
}

/// Number of tasks that fit on all candidates together.
pub(crate) fn total_slots(workers: &[Candidate<'_>]) -> usize {
    workers.iter().map(|it| it.slots as usize).sum()
}

/// Moves the workers of the smallest rack that fits all waiting tasks to the front.
fn prefer_one_rack(candidates: &mut [Candidate<'_>], waiting: usize) {
    let mut slots: BTreeMap<Option<&Arc<str>>, usize> = BTreeMap::new();
    for it in candidates.iter() {
        *slots.entry(it.worker.spec.rack.as_ref()).or_default() += it.slots as usize;
    }
    let best = slots.into_iter().filter(|(_, slots)| *slots >= waiting);
    let Some((rack, _)) = best.min_by_key(|(_, slots)| *slots) else {
        return;
    };
    candidates.sort_by_key(|it| it.worker.spec.rack.as_ref() != rack);
}
