//! Jobs of the pool: submission, cancellation, completion and description.

use {
    crate::{
        api::JobError,
        owner::{
            JobRowWrite, Message, ReplySender,
            pool::{Job, PoolOwner, task_id},
            progress::JournalRecord,
        },
        rows::{self, JobRow},
        store::{CommitOutcome, commit_until_known, with_timeout},
    },
    ragwortreel_model::{
        JobId, JobKind, JobSpec, JobState, JobStatus, SpecError, WaitReason, Workspace,
    },
    ragwortreel_platform::{Row, Txn},
    ragwortreel_runtime::{sleep_ms, spawn},
    std::{collections::BTreeSet, sync::Arc},
};

/// Retry delay for callers when the owner is busy or the table service does not answer, in ms.
const RETRY_AFTER_MS: u64 = 1_000;
/// Ended jobs whose rows are removed in one transaction.
const ENDED_JOBS_PER_REMOVAL: usize = 90;
/// Delay before a refused write of a final row or a removal is repeated, in ms.
const FINISH_RETRY_MS: u64 = 500;

pub(crate) fn refused(problem: &str) -> JobError {
    JobError::Refused {
        problem: problem.into(),
        retry_after_ms: RETRY_AFTER_MS,
    }
}

impl PoolOwner {
    pub fn submit(&mut self, spec: JobSpec, reply: ReplySender<JobStatus>) {
        // The scheduler must have the workspaces of the settings in force before it gets their jobs.
        self.refresh_workspaces();
        if let Some(answer) = self.check_submission(&spec) {
            let _ = reply.try_send(answer);
            return;
        }
        if let Some((earlier, replies)) = self.pending_submissions.get_mut(&spec.id) {
            if *earlier == spec {
                replies.push(reply);
            } else {
                let _ = reply.try_send(Err(JobError::Conflict { job: spec.id }));
            }
            return;
        }
        self.pending_submissions
            .insert(spec.id.clone(), (spec.clone(), vec![reply]));
        let row = self.job_row(&spec, JobState::Queued, 0);
        let id = spec.id.clone();
        self.write_row(JobRowWrite::Submit(spec), Some(&row), &id, 0);
    }

    /// The reply to a submission that needs no write, or `None` if the job's row must be written.
    fn check_submission(&self, spec: &JobSpec) -> Option<Result<JobStatus, JobError>> {
        if let Err(err) = spec.check() {
            return Some(Err(JobError::Invalid(err)));
        }
        let conflict = || {
            Some(Err(JobError::Conflict {
                job: spec.id.clone(),
            }))
        };
        if let Some(job) = self.jobs.get(&spec.id) {
            return if job.spec == *spec {
                Some(Ok(self.status(job)))
            } else {
                conflict()
            };
        }
        if let Some(ended) = self
            .ended_jobs
            .iter()
            .find(|ended| ended.spec.id == spec.id)
        {
            return if ended.spec == *spec {
                Some(Ok(ended.clone()))
            } else {
                conflict()
            };
        }
        let settings = self.shared.settings.current();
        let Some(workspace) = settings.settings.workspaces.get(&spec.workspace) else {
            let field = "workspace";
            let problem = "the workspace is not known";
            return Some(Err(JobError::Invalid(SpecError { field, problem })));
        };
        let live = self
            .jobs
            .values()
            .filter(|job| job.spec.workspace == spec.workspace)
            .count();
        if live >= workspace.max_jobs as usize {
            return Some(Err(refused(
                "the workspace has as many jobs as it may have",
            )));
        }
        if self.pending_submissions.len() >= self.shared.cfg.limits.pending_submissions {
            return Some(Err(refused("too many submissions are being written")));
        }
        None
    }

    fn job_row(&self, spec: &JobSpec, state: JobState, failures: u32) -> JobRow {
        JobRow {
            spec: spec.clone(),
            pool: self.cfg.pool.clone(),
            state,
            failures,
        }
    }

    /// Writes or removes a job's row while this ownership lasts, and sends the outcome to the owner.
    fn write_row(&self, write: JobRowWrite, row: Option<&JobRow>, id: &JobId, version: u64) {
        let (key, pool_key) = (rows::job_key(id), rows::pool_key(&self.cfg.pool));
        let txn = Txn {
            checks: vec![
                rows::check(&key, version),
                rows::check(&pool_key, self.row_version),
            ],
            writes: vec![row.map_or_else(|| rows::delete(&key), |row| rows::put(&key, row))],
        };
        let (shared, handle) = (Arc::clone(&self.shared), Arc::clone(&self.handle));
        spawn(async move {
            let should_retry = || !handle.is_ownership_ended() && !shared.stop.is_requested();
            loop {
                let outcome = commit_until_known(&*shared.table, &txn, should_retry).await;
                let must_succeed =
                    matches!(write, JobRowWrite::Finish(..) | JobRowWrite::Rollback(..));
                if must_succeed
                    && matches!(outcome, CommitOutcome::NotDone { .. })
                    && should_retry()
                {
                    sleep_ms(FINISH_RETRY_MS).await;
                    continue;
                }
                let message = Message::RowWritten { write, outcome };
                let _ = handle.sender().send(message).await;
                return;
            }
        })
        .detach();
    }

    pub fn handle_row_written(&mut self, write: JobRowWrite, outcome: CommitOutcome) {
        if let CommitOutcome::Conflict { current } = &outcome
            && self.is_pool_row_changed(current)
        {
            self.handle.end_ownership();
        }
        match write {
            JobRowWrite::Submit(spec) => self.handle_submit_written(&spec, outcome),
            JobRowWrite::Cancel(id, reply) => self.handle_cancel_written(&id, &reply, outcome),
            JobRowWrite::Finish(id, state) => self.handle_finish_written(&id, state, &outcome),
            JobRowWrite::Rollback(id, replies, err) => {
                let answer = if self.is_row_gone(&id, &outcome) {
                    err
                } else {
                    JobError::Unknown {
                        problem: "the job was written and could not be removed".into(),
                    }
                };
                send_to_all(&replies, &Err(answer));
            }
        }
    }

    /// Returns whether the removal of a job's row took effect, including removals whose first answer was lost.
    fn is_row_gone(&self, id: &JobId, outcome: &CommitOutcome) -> bool {
        let key = rows::job_key(id);
        match outcome {
            CommitOutcome::Committed { .. } => true,
            CommitOutcome::Conflict { current } => {
                !self.is_pool_row_changed(current) && !current.iter().any(|row| row.key == key)
            }
            _ => false,
        }
    }

    fn is_pool_row_changed(&self, current: &[Row]) -> bool {
        let key = rows::pool_key(&self.cfg.pool);
        current.iter().any(|row| row.key == key)
    }

    fn handle_submit_written(&mut self, spec: &JobSpec, outcome: CommitOutcome) {
        let Some((_, replies)) = self.pending_submissions.remove(&spec.id) else {
            return;
        };
        let answer = match outcome {
            CommitOutcome::Committed { versions } => {
                let row_version = versions.and_then(|versions| versions.first().copied());
                let row_version = row_version.unwrap_or(1);
                match self.accept(spec, row_version) {
                    Ok(status) => Ok(status),
                    Err(err) => {
                        let rollback = JobRowWrite::Rollback(spec.id.clone(), replies, err);
                        self.write_row(rollback, None, &spec.id, row_version);
                        return;
                    }
                }
            }
            CommitOutcome::Conflict { current } => answer_from_existing_row(spec, &current),
            CommitOutcome::NotDone { problem } => Err(refused(&problem)),
            CommitOutcome::Unknown { problem } => Err(JobError::Unknown { problem }),
        };
        send_to_all(&replies, &answer);
    }

    fn accept(&mut self, spec: &JobSpec, row_version: u64) -> Result<JobStatus, JobError> {
        let now_ms = self.shared.now_ms();
        self.scheduler
            .submit(spec.clone(), now_ms)
            .map_err(|err| refused(&err.to_string()))?;
        let job = Job {
            spec: spec.clone(),
            row_version,
            state: JobState::Queued,
            succeeded: BTreeSet::new(),
            failures: 0,
            running: BTreeSet::new(),
            accepted_ms: now_ms,
            row_write_in_flight: false,
            final_row_written: false,
        };
        let status = self.status(&job);
        self.jobs.insert(spec.id.clone(), job);
        self.adjust_quota_grants(now_ms);
        Ok(status)
    }

    pub fn cancel(
        &mut self,
        id: &JobId,
        workspace: Option<&Workspace>,
        reply: ReplySender<JobStatus>,
    ) {
        let not_found = || JobError::NotFound { job: id.clone() };
        let is_visible =
            |spec: &JobSpec| workspace.is_none_or(|workspace| spec.workspace == *workspace);
        let ended = self
            .ended_jobs
            .iter()
            .find(|ended| ended.spec.id == *id && is_visible(&ended.spec));
        let answer = match self.jobs.get(id).filter(|job| is_visible(&job.spec)) {
            None => match ended {
                Some(ended) if ended.state == JobState::Cancelled => Ok(ended.clone()),
                Some(ended) => Err(JobError::Ended {
                    job: id.clone(),
                    state: ended.state,
                }),
                None => Err(not_found()),
            },
            Some(job) if job.state == JobState::Cancelled => Ok(self.status(job)),
            Some(job) if job.state.is_final() => Err(JobError::Ended {
                job: id.clone(),
                state: job.state,
            }),
            Some(job) if job.row_write_in_flight => Err(refused("the job's row is being written")),
            Some(job) => {
                let row = self.job_row(&job.spec, JobState::Cancelled, job.failures);
                self.write_row(
                    JobRowWrite::Cancel(id.clone(), reply),
                    Some(&row),
                    id,
                    job.row_version,
                );
                if let Some(job) = self.jobs.get_mut(id) {
                    job.row_write_in_flight = true;
                }
                return;
            }
        };
        let _ = reply.try_send(answer);
    }

    fn handle_cancel_written(
        &mut self,
        id: &JobId,
        reply: &ReplySender<JobStatus>,
        outcome: CommitOutcome,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.row_write_in_flight = false;
        let answer = match outcome {
            CommitOutcome::Committed { .. } => {
                self.end_job(id, JobState::Cancelled);
                self.record_final_state(id);
                self.status_of(id)
            }
            CommitOutcome::Conflict { .. } => Err(refused("the job's owner has changed")),
            CommitOutcome::NotDone { problem } => Err(refused(&problem)),
            CommitOutcome::Unknown { problem } => Err(JobError::Unknown { problem }),
        };
        let _ = reply.try_send(answer);
        self.finish_job_if_complete(id);
    }

    fn status_of(&self, id: &JobId) -> Result<JobStatus, JobError> {
        let live = self.jobs.get(id).map(|job| self.status(job));
        let status = live.or_else(|| {
            self.ended_jobs
                .iter()
                .find(|ended| ended.spec.id == *id)
                .cloned()
        });
        status.ok_or_else(|| JobError::NotFound { job: id.clone() })
    }

    /// Ends a job in memory: removes its queued tasks and stops its runs.
    fn end_job(&mut self, id: &JobId, state: JobState) {
        let now_ms = self.shared.now_ms();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.state = state;
        let running: Vec<_> = job
            .running
            .iter()
            .map(|index| task_id(id, *index))
            .collect();
        self.scheduler.cancel(id, now_ms);
        for id in &running {
            self.stop_run(id);
        }
    }

    /// Writes the final row once the job has succeeded or failed, and removes the job once nothing runs.
    pub fn finish_job_if_complete(&mut self, id: &JobId) {
        let limit = self.shared.cfg.limits.max_failed_runs;
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.final_row_written {
            if job.running.is_empty() {
                self.remove_job(id);
            }
            return;
        }
        if job.row_write_in_flight {
            return;
        }
        let state = if job.succeeded.len() == job.spec.tasks as usize {
            JobState::Succeeded
        } else if job.failures >= limit && job.spec.kind != JobKind::Service {
            JobState::Failed
        } else {
            return;
        };
        let row = self.job_row(&job.spec, state, job.failures);
        self.write_row(
            JobRowWrite::Finish(id.clone(), state),
            Some(&row),
            id,
            job.row_version,
        );
        if let Some(job) = self.jobs.get_mut(id) {
            job.row_write_in_flight = true;
        }
        if state == JobState::Failed {
            self.end_job(id, state);
        }
    }

    fn handle_finish_written(&mut self, id: &JobId, state: JobState, outcome: &CommitOutcome) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.row_write_in_flight = false;
        if matches!(outcome, CommitOutcome::Committed { .. }) {
            job.state = state;
            self.record_final_state(id);
            self.finish_job_if_complete(id);
        }
    }

    /// Marks the job's row as final; the journal no longer needs the job's progress.
    fn record_final_state(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.final_row_written = true;
            self.journal
                .push(vec![JournalRecord::JobDone { job: id.clone() }]);
        }
    }

    fn remove_job(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get(id) {
            let status = self.status(job);
            self.retain_ended_job(status);
        }
        self.jobs.remove(id);
        self.scheduler.remove_job(id);
    }

    /// Retains an ended job for descriptions and removes the rows of the oldest ones beyond the limit.
    pub fn retain_ended_job(&mut self, status: JobStatus) {
        self.ended_jobs.push_back(status);
        if self.ended_jobs.len() <= self.shared.cfg.limits.ended_jobs + ENDED_JOBS_PER_REMOVAL {
            return;
        }
        let removed = self.ended_jobs.drain(..ENDED_JOBS_PER_REMOVAL);
        let keys: Vec<_> = removed.map(|ended| rows::job_key(&ended.spec.id)).collect();
        let txn = Txn {
            checks: vec![rows::check(
                &rows::pool_key(&self.cfg.pool),
                self.row_version,
            )],
            writes: keys.iter().map(rows::delete).collect(),
        };
        let shared = Arc::clone(&self.shared);
        spawn(async move {
            // Rows left behind by a failed removal are found and removed by the pool's next owner.
            let _ = with_timeout("remove ended jobs", shared.table.commit(txn)).await;
        })
        .detach();
    }

    pub fn describe(&self, workspace: Option<&Workspace>, id: Option<&JobId>) -> Vec<JobStatus> {
        let wanted = |spec: &JobSpec| {
            workspace.is_none_or(|workspace| spec.workspace == *workspace)
                && id.is_none_or(|id| spec.id == *id)
        };
        let live = self
            .jobs
            .values()
            .filter(|job| wanted(&job.spec))
            .map(|job| self.status(job));
        let ended = self
            .ended_jobs
            .iter()
            .filter(|ended| wanted(&ended.spec))
            .cloned();
        live.chain(ended).collect()
    }

    fn status(&self, job: &Job) -> JobStatus {
        let running = u32::try_from(job.running.len()).unwrap_or(u32::MAX);
        let is_open = !job.state.is_final();
        JobStatus {
            spec: job.spec.clone(),
            pool: self.cfg.pool.clone(),
            state: if is_open && running > 0 {
                JobState::Running
            } else {
                job.state
            },
            running,
            succeeded: u32::try_from(job.succeeded.len()).unwrap_or(u32::MAX),
            failures: job.failures,
            waiting: if is_open { self.wait_reason(job) } else { None },
        }
    }

    fn wait_reason(&self, job: &Job) -> Option<WaitReason> {
        let now_ms = self.shared.now_ms();
        let uncertain = job.running.iter().find_map(|index| {
            let run = self.runs.get(&task_id(&job.spec.id, *index))?;
            let wait_ms = self.runs_expired_at_ms(&run.worker)?.saturating_sub(now_ms);
            let worker = run.worker.clone();
            Some(WaitReason::EarlierRunMayBeAlive { worker, wait_ms })
        });
        if uncertain.is_some() {
            return uncertain;
        }
        let reason = self.scheduler.explain(&job.spec.id, now_ms)?;
        Some(if self.handle.is_journal_blocked() {
            WaitReason::StoreUnavailable
        } else {
            reason
        })
    }
}

fn send_to_all(replies: &[ReplySender<JobStatus>], answer: &Result<JobStatus, JobError>) {
    for reply in replies {
        let _ = reply.try_send(answer.clone());
    }
}

/// The reply to a submission whose write found an existing row of the job.
fn answer_from_existing_row(spec: &JobSpec, current: &[Row]) -> Result<JobStatus, JobError> {
    let key = rows::job_key(&spec.id);
    let Some(row) = current.iter().find(|row| row.key == key) else {
        return Err(refused("the pool's owner has changed"));
    };
    let row: JobRow = rows::decode(row).map_err(|err| refused(&err.to_string()))?;
    if row.spec != *spec {
        return Err(JobError::Conflict {
            job: spec.id.clone(),
        });
    }
    Ok(row_status(row))
}

/// Status of a job according to its row.
pub(crate) fn row_status(row: JobRow) -> JobStatus {
    JobStatus {
        spec: row.spec,
        pool: row.pool,
        state: row.state,
        running: 0,
        succeeded: 0,
        failures: row.failures,
        waiting: None,
    }
}
