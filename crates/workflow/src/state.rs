//! State of jobs, their steps and their tasks, and its stored form.

use {
    crate::{
        JobRequest, PlacedTasks, Progress, Step, StepKey, StepProgress, TaskFailures, TaskKey,
        advice::StepAdvice, job::MAX_TASKS,
    },
    ragwortreel_model::{JobId, JobState, Resources, WorkerId},
    std::{collections::BTreeMap, sync::Arc},
};

/// Multiple of its objective after which a job earns its caller nothing more; it then yields to all others.
pub(crate) const WORTHLESS_FACTOR: u64 = 3;

/// Whether earlier runs of a job's tasks may exist.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOrigin {
    /// The job was accepted in this term of leadership.
    Accepted,
    /// The job was found in the store when this term began.
    Recovered,
}

/// Order of waiting steps: lateness, priority, deadline.
pub(crate) type Rank = (u8, u32, u64);

/// Where a task is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Place {
    Waiting,
    On(WorkerId),
    Done,
}

#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) place: Place,
    pub(crate) last_run: u32,
    pub(crate) failures: u32,
    pub(crate) checkpoint: Arc<str>,
    pub(crate) failed_on: Option<WorkerId>,
}

#[derive(Debug, Default)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<Task>,
    pub(crate) done: u32,
    /// Failed runs of a gang, and the last run that counted.
    pub(crate) gang_failures: u32,
    pub(crate) gang_failed_run: u32,
    /// Whether it waits for an answer about workers and not for room, as of the last try.
    pub(crate) has_room: bool,
    /// Time until which it is not tried again after it found no room, and the freed cores from which it is tried earlier.
    pub(crate) blocked_until_ms: u64,
    pub(crate) blocked_until_freed: u64,
    /// Rank under which it waits, if it does.
    pub(crate) rank: Option<Rank>,
    pub(crate) advice: StepAdvice,
    /// Room kept on workers while tickets are renewed, and until when.
    pub(crate) holds: Vec<(WorkerId, Resources)>,
    pub(crate) hold_until_ms: u64,
}

impl StepState {
    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    pub(crate) fn waiting(&self) -> usize {
        let waits = |task: &&Task| task.place == Place::Waiting;
        self.tasks.iter().filter(waits).count()
    }
}

#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) request: Arc<JobRequest>,
    pub(crate) accepted_ms: u64,
    pub(crate) origin: JobOrigin,
    /// Time until which the job is within its objective.
    pub(crate) deadline_ms: u64,
    /// Time from which its completion is worth nothing more.
    pub(crate) worthless_ms: u64,
    pub(crate) occurrences: BTreeMap<u32, Vec<StepState>>,
    pub(crate) next_occurrence: u32,
    pub(crate) state: JobState,
    /// Whether a task of it is known to have begun under this leader.
    pub(crate) begun: bool,
}

impl Job {
    pub(crate) fn open_occurrence(&mut self, number: u32) {
        let steps = (self.request.steps.iter()).map(|spec| StepState {
            tasks: (0..spec.tasks)
                .map(|_| Task {
                    place: Place::Waiting,
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

    /// Whether another occurrence may be open beside those that are not done.
    pub(crate) fn has_room_for_occurrence(&self) -> bool {
        let steps = self.occurrences.values().flatten();
        let open: usize = steps
            .map(|step| step.tasks.len() - step.done as usize)
            .sum();
        let tasks = self.request.steps.iter().map(|step| u64::from(step.tasks));
        open as u64 + tasks.sum::<u64>() <= MAX_TASKS
    }

    pub(crate) fn rank(&self, now_ms: u64) -> Rank {
        let lateness = if now_ms > self.worthless_ms {
            2
        } else {
            u8::from(now_ms > self.deadline_ms)
        };
        (lateness, self.request.policy.priority, self.deadline_ms)
    }

    /// Whether the job's rank has changed by the passing of time.
    pub(crate) fn is_rank_old(&self, rank: &Rank, now_ms: u64) -> bool {
        self.rank(now_ms) != *rank
    }

    /// A step as the caller declared it.
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

    /// Tasks of a step that are on workers.
    pub(crate) fn placed(&self, key: &StepKey) -> Vec<(WorkerId, TaskKey)> {
        let tasks = self.step(key).map_or(&[][..], |step| &step.tasks);
        let placed = tasks.iter().zip(0..).filter_map(|(task, index)| {
            let Place::On(worker) = &task.place else {
                return None;
            };
            let step = key.clone();
            Some((worker.clone(), TaskKey { step, index }))
        });
        placed.collect()
    }

    pub(crate) fn restore(&mut self, progress: &StepProgress) {
        let key = (progress.occurrence, progress.step as usize);
        let steps = self.occurrences.get_mut(&key.0);
        let Some(step) = steps.and_then(|steps| steps.get_mut(key.1)) else {
            return;
        };
        let gang = self.request.steps[key.1].gang;
        for &index in &progress.done {
            if let Some(task) = step.tasks.get_mut(index as usize)
                && task.place != Place::Done
            {
                task.place = Place::Done;
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
                    && task.place == Place::Waiting
                {
                    task.place = Place::On(placed.worker.clone());
                    task.last_run = placed.run;
                }
            }
        }
        for (index, saved) in &progress.checkpoints {
            if let Some(task) = step.tasks.get_mut(*index as usize) {
                task.checkpoint = Arc::clone(saved);
            }
        }
    }

    pub(crate) fn progress(&self) -> Progress {
        let mut all = Progress::default();
        for (occurrence, steps) in &self.occurrences {
            for (number, step) in steps.iter().enumerate() {
                let mut placed: BTreeMap<(&WorkerId, u32), Vec<u32>> = BTreeMap::new();
                let mut progress = StepProgress {
                    occurrence: *occurrence,
                    step: u32::try_from(number).unwrap_or(u32::MAX),
                    ..StepProgress::default()
                };
                if step.gang_failures > 0 {
                    progress.failures.push(TaskFailures {
                        index: 0,
                        failures: step.gang_failures,
                        run: step.gang_failed_run,
                    });
                }
                for (task, index) in step.tasks.iter().zip(0..) {
                    if task.place == Place::Done {
                        progress.done.push(index);
                        continue;
                    }
                    if let Place::On(worker) = &task.place {
                        let tasks = placed.entry((worker, task.last_run)).or_default();
                        tasks.push(index);
                    }
                    if task.failures > 0 {
                        progress.failures.push(TaskFailures {
                            index,
                            failures: task.failures,
                            run: task.last_run,
                        });
                    }
                    if !task.checkpoint.is_empty() {
                        progress
                            .checkpoints
                            .push((index, Arc::clone(&task.checkpoint)));
                    }
                }
                let placed = placed
                    .into_iter()
                    .map(|((worker, run), tasks)| PlacedTasks {
                        worker: worker.clone(),
                        run,
                        tasks,
                    });
                progress.placed = placed.collect();
                if !(progress.done.is_empty()
                    && progress.failures.is_empty()
                    && progress.placed.is_empty()
                    && progress.checkpoints.is_empty())
                {
                    all.steps.push(progress);
                }
            }
        }
        all
    }
}
