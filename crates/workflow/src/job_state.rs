//! State of jobs, their steps and their tasks, and its conversion to and from stored progress.

use {
    crate::{
        JobRequest, Step, StepKey, StepProgress, TaskKey, UnplaceableReason,
        advice::StepAdvice,
        job::MAX_TASKS,
        order::Rank,
        quarantine::StepFailures,
        run_times::StepTime,
        segments::{FinishedOccurrences, MAX_OPEN_OCCURRENCES, StoredForm},
    },
    ragwortreel_model::{JobId, JobState, Resources, WorkerId},
    std::{collections::BTreeMap, sync::Arc},
};

/// Multiple of its objective after which a job's result has no value.
pub(crate) const NO_VALUE_FACTOR: u64 = 3;

/// Origin of a job, which decides whether runs of an earlier leader may exist.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOrigin {
    /// Accepted in the current term of leadership: no earlier runs exist.
    Accepted,
    /// Read from the store at the start of the term: earlier runs may be active.
    Recovered,
}

/// Placement of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Placement {
    Waiting,
    On(WorkerId),
    Done,
}

#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) placement: Placement,
    /// Number of the latest run; 0 before the first.
    pub(crate) last_run: u32,
    /// Failed runs; not used for members of a gang.
    pub(crate) failures: u32,
    /// Latest checkpoint; empty for none.
    pub(crate) checkpoint: Arc<str>,
    /// Worker of the last failed run, avoided by the next one where possible.
    pub(crate) failed_on: Option<WorkerId>,
}

#[derive(Debug, Default)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<Task>,
    /// Number of tasks that are done.
    pub(crate) done: u32,
    /// Failed runs of a gang; several failed members of one run count once.
    pub(crate) gang_failures: u32,
    /// Number of the last run in `gang_failures`.
    pub(crate) gang_failed_run: u32,
    /// Whether the last placement attempt left no task waiting for worker capacity; tasks may still wait for advice.
    pub(crate) has_capacity: bool,
    /// Time of the next placement attempt after one that found too little capacity.
    pub(crate) blocked_until_ms: u64,
    /// Value of `Scheduler::freed_milli_cores` from which the attempt is made earlier.
    pub(crate) blocked_until_freed_milli_cores: u64,
    /// Rank in the queue of waiting steps; `None` if the step is not in it.
    pub(crate) rank: Option<Rank>,
    /// Time since which tasks of the step wait to be started, in ms; `None` if none waits.
    pub(crate) waiting_since_ms: Option<u64>,
    /// Whether the step ever waited for the limit of its workspace.
    pub(crate) has_waited_for_limit: bool,
    /// Whether the step ever needed more than the limit of its workspace.
    pub(crate) has_exceeded_limit: bool,
    pub(crate) advice: StepAdvice,
    /// Failed runs since the last one that completed, by worker.
    pub(crate) failures: StepFailures,
    /// Learned duration of the tasks; `None` before the first observation.
    pub(crate) time: Option<StepTime>,
    /// Number of the step's tasks that would have fitted at the last count on the workers that accept tasks, without
    /// their runs that end.
    pub(crate) present_slots: u64,
    /// Time at which the step had room by the last forecast, in ms.
    pub(crate) forecast_ms: u64,
    /// Time of the next count, in ms.
    pub(crate) slots_due_ms: u64,
    /// Reason for which no worker could run the step at the last check that found none.
    pub(crate) unplaceable: Option<UnplaceableReason>,
    /// Resources reserved on workers while the tickets of a gang are renewed.
    pub(crate) reservations: Vec<(WorkerId, Resources)>,
    /// Time after which the reservations are released without an answer.
    pub(crate) reserved_until_ms: u64,
}

impl StepState {
    pub(crate) fn is_done(&self) -> bool {
        self.open_tasks() == 0
    }

    /// Number of tasks that are not done.
    fn open_tasks(&self) -> usize {
        self.tasks.len() - self.done as usize
    }

    pub(crate) fn mark_all_done(&mut self) {
        self.done = u32::try_from(self.tasks.len()).unwrap_or(u32::MAX);
        self.tasks
            .iter_mut()
            .for_each(|task| task.placement = Placement::Done);
    }

    /// Whether a task has a checkpoint; one of any member serves all members of a gang.
    pub(crate) fn has_checkpoint(&self, index: u32, is_gang: bool) -> bool {
        let has_checkpoint = |task: &Task| !task.checkpoint.is_empty();
        if is_gang {
            self.tasks.iter().any(has_checkpoint)
        } else {
            self.tasks.get(index as usize).is_some_and(has_checkpoint)
        }
    }

    pub(crate) fn waiting_tasks(&self) -> usize {
        let waits = |task: &&Task| task.placement == Placement::Waiting;
        self.tasks.iter().filter(waits).count()
    }
}

/// Whether all steps of an occurrence are done.
pub(crate) fn is_finished(steps: &[StepState]) -> bool {
    steps.iter().all(StepState::is_done)
}

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) request: Arc<JobRequest>,
    pub(crate) accepted_ms: u64,
    pub(crate) origin: JobOrigin,
    /// End of the job's objective, by the leader's clock.
    pub(crate) deadline_ms: u64,
    /// Time after which the result has no value, by the leader's clock.
    pub(crate) no_value_ms: u64,
    /// Steps of each opened occurrence that is not in `finished`.
    pub(crate) occurrences: BTreeMap<u32, Vec<StepState>>,
    /// Finished occurrences that are removed.
    pub(crate) finished: FinishedOccurrences,
    pub(crate) next_occurrence: u32,
    pub(crate) state: JobState,
    /// Whether the job is beyond the share of its workspace.
    pub(crate) over_share: bool,
    /// Whether a start of one of its tasks is confirmed under this leader.
    pub(crate) has_started: bool,
    /// Expected time from the start of each step to the end of the job, in ms.
    pub(crate) remaining_ms: Vec<u64>,
    /// Position of the first task of each step in an occurrence, and the number of all tasks as the last entry.
    pub(crate) first_positions: Vec<u64>,
    pub(crate) stored_form: StoredForm,
}

impl Job {
    /// Opens the occurrences up to a number that are neither open nor finished.
    pub(crate) fn open_occurrences_to(&mut self, last: u32) {
        while self.next_occurrence <= last {
            if self.finished.contains(self.next_occurrence) {
                self.next_occurrence += 1;
            } else {
                self.open_occurrence(self.next_occurrence);
            }
        }
    }

    /// Creates the tasks of an occurrence.
    pub(crate) fn open_occurrence(&mut self, number: u32) {
        let steps = (self.request.steps.iter()).map(|spec| StepState {
            tasks: (0..spec.tasks)
                .map(|_| Task {
                    placement: Placement::Waiting,
                    last_run: 0,
                    failures: 0,
                    checkpoint: Arc::from(""),
                    failed_on: None,
                })
                .collect(),
            ..StepState::default()
        });
        let steps = steps.collect();
        self.occurrences.insert(number, steps);
        self.next_occurrence = number + 1;
    }

    /// Whether another occurrence can be opened within the limits of open occurrences and of tasks that are not done.
    pub(crate) fn can_open_occurrence(&self) -> bool {
        let open_tasks =
            |steps: &Vec<StepState>| steps.iter().map(StepState::open_tasks).sum::<usize>();
        let open = self.occurrences.values().map(open_tasks);
        let (tasks, occurrences) = open
            .filter(|tasks| *tasks > 0)
            .fold((0, 0), |(sum, count), tasks| (sum + tasks, count + 1));
        tasks as u64 + self.occurrence_tasks() <= MAX_TASKS && occurrences < MAX_OPEN_OCCURRENCES
    }

    /// Declaration of a step.
    pub(crate) fn spec(&self, key: &StepKey) -> &Step {
        &self.request.steps[key.step as usize]
    }

    pub(crate) fn step(&self, key: &StepKey) -> Option<&StepState> {
        self.occurrences
            .get(&key.occurrence)?
            .get(key.step as usize)
    }

    pub(crate) fn step_mut(&mut self, key: &StepKey) -> Option<&mut StepState> {
        self.occurrences
            .get_mut(&key.occurrence)?
            .get_mut(key.step as usize)
    }

    pub(crate) fn task_mut(&mut self, key: &TaskKey) -> Option<&mut Task> {
        self.step_mut(&key.step)?.tasks.get_mut(key.index as usize)
    }

    pub(crate) fn step_keys(&self, id: &JobId) -> impl Iterator<Item = StepKey> {
        self.occurrences
            .iter()
            .flat_map(move |(occurrence, steps)| {
                (0..steps.len()).map(move |step| StepKey {
                    job: id.clone(),
                    occurrence: *occurrence,
                    step: u32::try_from(step).unwrap_or(u32::MAX),
                })
            })
    }

    /// Whether a blocked step could not start if all runs but endless ones had ended: it waits for workers that accept
    /// tasks, or for the end of endless ones.
    pub(crate) fn lacks_workers(&self, key: &StepKey) -> bool {
        self.step(key).is_some_and(|step| {
            step.slots_due_ms > 0 && step.present_slots < self.spec(key).least_slots()
        })
    }

    /// Tasks of a step that are placed on workers.
    pub(crate) fn placed_tasks(&self, key: &StepKey) -> Vec<(WorkerId, TaskKey)> {
        let tasks = self.step(key).map_or(&[][..], |step| &step.tasks);
        let placed = tasks.iter().zip(0..).filter_map(|(task, index)| {
            let Placement::On(worker) = &task.placement else {
                return None;
            };
            let step = key.clone();
            Some((worker.clone(), TaskKey { step, index }))
        });
        placed.collect()
    }

    /// Applies stored progress; unknown occurrences, steps and tasks are ignored.
    pub(crate) fn restore(&mut self, progress: &StepProgress) {
        let key = (progress.occurrence, progress.step as usize);
        let steps = self.occurrences.get_mut(&key.0);
        let Some(step) = steps.and_then(|steps| steps.get_mut(key.1)) else {
            return;
        };
        let gang = self.request.steps[key.1].gang;
        if gang && !progress.done.is_empty() {
            // The members of a gang end together, but the segments of a wide one are not all stored at once.
            step.mark_all_done();
        }
        for &index in &progress.done {
            if let Some(task) = step.tasks.get_mut(index as usize)
                && task.placement != Placement::Done
            {
                task.placement = Placement::Done;
                step.done += 1;
            }
        }
        for failed in &progress.failures {
            if gang {
                step.gang_failures = failed.failures;
                step.gang_failed_run = failed.run;
                step.tasks
                    .iter_mut()
                    .for_each(|task| task.last_run = failed.run);
            } else if let Some(task) = step.tasks.get_mut(failed.index as usize) {
                task.failures = failed.failures;
                task.last_run = failed.run;
            }
        }
        for placed in &progress.placed {
            for &index in &placed.tasks {
                if let Some(task) = step.tasks.get_mut(index as usize)
                    && task.placement == Placement::Waiting
                {
                    task.placement = Placement::On(placed.worker.clone());
                    task.last_run = placed.run;
                }
            }
        }
        for (index, checkpoint) in &progress.checkpoints {
            if let Some(task) = step.tasks.get_mut(*index as usize) {
                task.checkpoint = Arc::clone(checkpoint);
            }
        }
    }
}
