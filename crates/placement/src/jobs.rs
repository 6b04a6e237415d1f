//! Jobs with their queued tasks and their runs.

use {
    ragwortreel_model::{Assignment, Attempt, JobKind, JobSpec, Priority, Rack, Resources, TaskId},
    std::collections::{BTreeMap, BTreeSet},
};

/// An attempt to run a task, from the decision to the reported end.
#[derive(Debug, Clone)]
pub struct Run {
    /// Attempt number of the run.
    pub attempt: Attempt,
    /// Index of the worker.
    pub worker: u32,
    /// Resources allocated to the run.
    pub size: Resources,
    /// Time of the decision, in ms.
    pub decided_ms: u64,
    /// Estimated time of the end, in ms.
    pub end_ms: u64,
    /// Whether the run may be checkpointed to make room for other jobs.
    pub preemptible: bool,
    /// Whether a checkpoint of the run was requested.
    pub checkpoint_requested: bool,
    /// Time by which a backfilled run must leave its reserved worker, in ms.
    pub backfill_deadline_ms: Option<u64>,
}

/// A job with the state of its tasks.
///
/// A task that is neither queued nor running is finished.
#[derive(Debug, Clone)]
pub struct Job {
    /// Specification as submitted.
    pub spec: JobSpec,
    /// Index of the job class.
    pub class: u32,
    /// Time of submission, in ms.
    pub submit_ms: u64,
    /// Submission number, unique in the pool.
    pub sequence: u64,
    /// Current runs by task number.
    pub runs: BTreeMap<u32, Run>,
    /// Whether the job was cancelled; its tasks are not queued again.
    pub cancelled: bool,
    /// Whether the job is in the queue of its class.
    pub in_queue: bool,
    /// Healthy workers on which the job failed. A success removes one of them, not necessarily the worker that
    /// succeeded; the end of a backoff removes all.
    pub failed_on: BTreeSet<u32>,
    /// Number of failed runs.
    pub failures: u32,
    /// Number of backoffs since the last success.
    pub backoffs: u32,
    /// End of the current backoff, in ms.
    pub backoff_until_ms: Option<u64>,
    /// Number of queued tasks whose last run was lost with its worker.
    pub lost_tasks: u32,
    /// Number of running tasks by rack; services only.
    pub tasks_by_rack: BTreeMap<Rack, u32>,
    /// Tasks from this number on are queued, except those in `taken`.
    first_unstarted: u32,
    /// Tasks from `first_unstarted` on that were removed from the queue out of order.
    taken: BTreeSet<u32>,
    /// Queued tasks below `first_unstarted`.
    requeued: BTreeSet<u32>,
    /// Highest used attempt number by task.
    attempts: BTreeMap<u32, u32>,
}

impl Job {
    /// Creates a job with all tasks queued.
    pub const fn new(spec: JobSpec, class: u32, submit_ms: u64, sequence: u64) -> Self {
        Self {
            spec,
            class,
            submit_ms,
            sequence,
            runs: BTreeMap::new(),
            cancelled: false,
            in_queue: false,
            failed_on: BTreeSet::new(),
            failures: 0,
            backoffs: 0,
            backoff_until_ms: None,
            lost_tasks: 0,
            tasks_by_rack: BTreeMap::new(),
            first_unstarted: 0,
            taken: BTreeSet::new(),
            requeued: BTreeSet::new(),
            attempts: BTreeMap::new(),
        }
    }

    /// Returns the number of queued tasks.
    pub fn queued(&self) -> u32 {
        let unstarted =
            self.spec.tasks.saturating_sub(self.first_unstarted) as usize - self.taken.len();
        u32::try_from(unstarted + self.requeued.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether a task is queued.
    pub fn is_queued(&self, index: u32) -> bool {
        let is_unstarted = (self.first_unstarted..self.spec.tasks).contains(&index);
        self.requeued.contains(&index) || (is_unstarted && !self.taken.contains(&index))
    }

    /// Removes the next queued task from the queue and returns its number.
    pub fn take_next(&mut self) -> Option<u32> {
        if let Some(index) = self.requeued.pop_first() {
            return Some(index);
        }
        while self.first_unstarted < self.spec.tasks {
            let index = self.first_unstarted;
            self.first_unstarted += 1;
            if !self.taken.remove(&index) {
                return Some(index);
            }
        }
        None
    }

    /// Removes the given task from the queue; returns whether it was queued.
    pub fn take_task(&mut self, index: u32) -> bool {
        if !self.is_queued(index) {
            return false;
        }
        if !self.requeued.remove(&index) {
            self.taken.insert(index);
        }
        true
    }

    /// Queues a task again.
    pub fn requeue(&mut self, index: u32) {
        if index < self.first_unstarted {
            self.requeued.insert(index);
        } else {
            self.taken.remove(&index);
        }
    }

    /// Removes all tasks from the queue.
    pub fn drop_queued(&mut self) {
        self.lost_tasks = 0;
        self.first_unstarted = self.spec.tasks;
        self.taken.clear();
        self.requeued.clear();
    }

    /// Allocates the attempt number of the next run of a task.
    pub fn next_attempt(&mut self, index: u32) -> Attempt {
        let attempt = self.attempts.entry(index).or_default();
        *attempt += 1;
        Attempt(*attempt)
    }

    /// Raises the highest used attempt number of a task to at least `attempt`.
    pub fn raise_attempt(&mut self, index: u32, attempt: Attempt) {
        let highest = self.attempts.entry(index).or_default();
        *highest = (*highest).max(attempt.0);
    }

    /// Removes the attempt counter of a finished task.
    pub fn remove_attempts(&mut self, index: u32) {
        self.attempts.remove(&index);
    }

    /// Adds a running task to the count of a rack, or subtracts it.
    pub fn count_rack(&mut self, rack: &Rack, add: bool) {
        let count = self.tasks_by_rack.entry(rack.clone()).or_default();
        *count = if add {
            *count + 1
        } else {
            count.saturating_sub(1)
        };
        if *count == 0 {
            self.tasks_by_rack.remove(rack);
        }
    }

    /// Returns whether all tasks must start together.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Returns whether the job is urgent, so that it may preempt other jobs and use reserved workers.
    pub fn is_urgent(&self) -> bool {
        self.spec.priority == Priority::Urgent
    }

    /// Returns whether batch runs may be checkpointed to make room for the job. This holds for urgent jobs and for
    /// services with tasks that were lost with their worker. Batch jobs can therefore use the spare capacity that
    /// services need only after a failure.
    pub fn may_preempt(&self) -> bool {
        self.is_urgent() || (self.spec.kind == JobKind::Service && self.lost_tasks > 0)
    }

    /// Returns the assignment of a run of the job, as reported to the owner of the pool.
    pub fn assignment(&self, index: u32, run: &Run, worker: &crate::WorkerSpec) -> Assignment {
        Assignment {
            task: TaskId {
                job: self.spec.id.clone(),
                index,
            },
            attempt: run.attempt,
            worker: worker.id.clone(),
            resources: run.size,
        }
    }
}
