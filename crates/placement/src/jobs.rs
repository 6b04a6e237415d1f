//! Jobs, their queued tasks and their runs.

use {
    ragwortreel_model::{Assignment, Attempt, JobKind, JobSpec, Priority, Rack, Resources, TaskId},
    std::collections::{BTreeMap, BTreeSet},
};

/// A run of a task.
#[derive(Debug, Clone)]
pub struct Run {
    /// Number of the run.
    pub attempt: Attempt,
    /// Index of its worker.
    pub worker: u32,
    /// What is reserved for it.
    pub size: Resources,
    /// When the decision was taken, in ms.
    pub decided_ms: u64,
    /// Estimated end, in ms.
    pub end_ms: u64,
    /// Whether it counts as reclaimable at its worker.
    pub preemptible: bool,
    /// Whether a checkpoint was asked for.
    pub checkpoint_requested: bool,
    /// Time by which it must have left a worker that is held for a gathering job, in ms.
    pub backfill_deadline_ms: Option<u64>,
}

/// A job with its tasks.
///
/// A task that is neither queued nor running is done.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its declaration.
    pub spec: JobSpec,
    /// Index of its lane.
    pub class: u32,
    /// Submission, in ms.
    pub submit_ms: u64,
    /// Order of submission.
    pub sequence: u64,
    /// Runs by task number.
    pub runs: BTreeMap<u32, Run>,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Whether it stands in its lane.
    pub in_queue: bool,
    /// Healthy workers on which it failed since its last success.
    pub failed_on: BTreeSet<u32>,
    /// Failed runs so far.
    pub failures: u32,
    /// Back-offs in a row.
    pub backoffs: u32,
    /// End of the current back-off, in ms.
    pub backoff_until_ms: Option<u64>,
    /// Queued tasks whose last run was lost with its worker.
    pub lost_tasks: u32,
    /// Running tasks by rack name; kept for services only.
    pub tasks_by_rack: BTreeMap<Rack, u32>,
    /// First task number that was never queued again; those from here on are queued unless `skipped`.
    first_unstarted: u32,
    taken: BTreeSet<u32>,
    requeued: BTreeSet<u32>,
    attempts: BTreeMap<u32, u32>,
}

impl Job {
    /// Makes a job with all tasks queued.
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

    /// Number of queued tasks.
    pub fn queued(&self) -> u32 {
        let unstarted =
            self.spec.tasks.saturating_sub(self.first_unstarted) as usize - self.taken.len();
        u32::try_from(unstarted + self.requeued.len()).unwrap_or(u32::MAX)
    }

    /// Whether a task is queued.
    pub fn is_queued(&self, index: u32) -> bool {
        let is_unstarted = (self.first_unstarted..self.spec.tasks).contains(&index);
        self.requeued.contains(&index) || (is_unstarted && !self.taken.contains(&index))
    }

    /// Takes the next queued task.
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

    /// Takes a certain task out of the queue; returns whether it was queued.
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

    /// Drops all queued tasks.
    pub fn drop_queued(&mut self) {
        self.lost_tasks = 0;
        self.first_unstarted = self.spec.tasks;
        self.taken.clear();
        self.requeued.clear();
    }

    /// Number for the next run of a task.
    pub fn next_attempt(&mut self, index: u32) -> Attempt {
        let attempt = self.attempts.entry(index).or_default();
        *attempt += 1;
        Attempt(*attempt)
    }

    /// Raises the highest attempt number that a task has used.
    pub fn raise_attempt(&mut self, index: u32, attempt: Attempt) {
        let known = self.attempts.entry(index).or_default();
        *known = (*known).max(attempt.0);
    }

    /// Forgets the attempt numbers of a task that is done.
    pub fn remove_attempts(&mut self, index: u32) {
        self.attempts.remove(&index);
    }

    /// Counts a running task on a rack, or takes it off.
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

    /// Whether tasks must start together.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Whether its work may displace other work.
    pub fn is_urgent(&self) -> bool {
        self.spec.priority == Priority::Urgent
    }

    /// Whether batch runs may be checkpointed to make room for it: urgent work, and services that lost a worker. Batch
    /// may thus use the room that services need only after a failure.
    pub fn may_preempt(&self) -> bool {
        self.is_urgent() || (self.spec.kind == JobKind::Service && self.lost_tasks > 0)
    }

    /// A run as the owner of the pool knows it.
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
