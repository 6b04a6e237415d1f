//! What the journal of a pool says: which runs may be alive, and how far each job has come.

use {
    ragwortreel_model::{Assignment, Attempt, JobId, Resources, TaskId, TaskResult, WorkerId},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Index of a task in its job, number of its run, and its worker.
pub(crate) type StartedTask = (u32, Attempt, WorkerId);

/// A journal record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Record {
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
    /// The job's row says that it is final.
    JobDone { job: JobId },
}

impl Record {
    /// Records of starts that belong together; one for each job and reservation.
    pub fn starts(assignments: &[Assignment]) -> Vec<Self> {
        let mut groups: BTreeMap<(JobId, Resources), Vec<StartedTask>> = BTreeMap::new();
        for run in assignments {
            let group = groups.entry((run.task.job.clone(), run.resources));
            let entry = (run.task.index, run.attempt, run.worker.clone());
            group.or_default().push(entry);
        }
        let record = |((job, resources), runs)| Self::Start {
            job,
            resources,
            runs,
        };
        groups.into_iter().map(record).collect()
    }
}

/// A run that may be alive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LedgerRun {
    pub attempt: Attempt,
    pub worker: WorkerId,
    pub resources: Resources,
}

/// Progress of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobLedger {
    pub runs: BTreeMap<u32, LedgerRun>,
    /// Highest attempt of each task that has not succeeded.
    pub attempts: BTreeMap<u32, Attempt>,
    pub succeeded: BTreeSet<u32>,
    pub failures: u32,
}

/// Progress of all jobs of a pool.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ledger {
    pub jobs: BTreeMap<JobId, JobLedger>,
}

impl Ledger {
    /// Applies a record; records must come in the order of the journal.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::Start {
                job,
                resources,
                runs,
            } => {
                let entry = self.jobs.entry(job.clone()).or_default();
                for (index, attempt, worker) in runs {
                    let run = LedgerRun {
                        attempt: *attempt,
                        worker: worker.clone(),
                        resources: *resources,
                    };
                    entry.runs.insert(*index, run);
                    entry.attempts.insert(*index, *attempt);
                }
            }
            Record::Ended {
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
            Record::JobDone { job } => {
                self.jobs.remove(job);
            }
        }
    }
}
