//! Progress of a pool's jobs according to the journal: runs that may still be executing, and completed tasks.

use {
    ragwortreel_model::{Assignment, Attempt, JobId, Resources, TaskId, TaskResult, WorkerId},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Index of a task in its job, attempt number and worker of the run.
pub(crate) type StartedTask = (u32, Attempt, WorkerId);

/// A journal record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum JournalRecord {
    /// Runs of one job that may be started once the record is durable.
    Start {
        job: JobId,
        resources: Resources,
        runs: Vec<StartedTask>,
    },
    /// A run that has ended or was never started.
    Ended {
        task: TaskId,
        attempt: Attempt,
        worker: WorkerId,
        result: TaskResult,
    },
    /// The job's row has a final state.
    JobDone { job: JobId },
}

impl JournalRecord {
    /// Start records of a decision, one for each job and amount of reserved resources.
    pub fn starts(assignments: &[Assignment]) -> Vec<Self> {
        let mut by_job: BTreeMap<(JobId, Resources), Vec<StartedTask>> = BTreeMap::new();
        for run in assignments {
            let starts = by_job.entry((run.task.job.clone(), run.resources));
            let entry = (run.task.index, run.attempt, run.worker.clone());
            starts.or_default().push(entry);
        }
        let record = |((job, resources), runs)| Self::Start {
            job,
            resources,
            runs,
        };
        by_job.into_iter().map(record).collect()
    }
}

/// A run that may still be executing: its start is journaled and its end is not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ActiveRun {
    pub attempt: Attempt,
    pub worker: WorkerId,
    pub resources: Resources,
}

/// Progress of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobProgress {
    pub runs: BTreeMap<u32, ActiveRun>,
    /// Highest attempt of each task that has not succeeded.
    pub attempts: BTreeMap<u32, Attempt>,
    pub succeeded: BTreeSet<u32>,
    pub failures: u32,
}

/// Progress of all jobs of a pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PoolProgress {
    pub jobs: BTreeMap<JobId, JobProgress>,
}

impl PoolProgress {
    /// Applies a record; records must be applied in journal order.
    pub fn apply(&mut self, record: &JournalRecord) {
        match record {
            JournalRecord::Start {
                job,
                resources,
                runs,
            } => {
                let entry = self.jobs.entry(job.clone()).or_default();
                for (index, attempt, worker) in runs {
                    let run = ActiveRun {
                        attempt: *attempt,
                        worker: worker.clone(),
                        resources: *resources,
                    };
                    entry.runs.insert(*index, run);
                    entry.attempts.insert(*index, *attempt);
                }
            }
            JournalRecord::Ended {
                task,
                attempt,
                result,
                ..
            } => {
                let Some(entry) = self.jobs.get_mut(&task.job) else {
                    return;
                };
                if entry
                    .runs
                    .get(&task.index)
                    .is_some_and(|run| run.attempt == *attempt)
                {
                    entry.runs.remove(&task.index);
                }
                match result {
                    TaskResult::Succeeded => {
                        entry.succeeded.insert(task.index);
                        entry.attempts.remove(&task.index);
                    }
                    TaskResult::Failed => entry.failures += 1,
                    _ => {}
                }
            }
            JournalRecord::JobDone { job } => {
                self.jobs.remove(job);
            }
        }
    }
}
