//! Callers' requests: submit a job, query its state, cancel it, and count a queue's waiting jobs.
//!
//! A job is accepted only once it is stored. When it is unknown whether the store committed a transaction, the same
//! transaction is sent again until the outcome is known or the caller's deadline passes; such a job is never refused,
//! because it may run.

use {
    crate::{
        AccessControl, AccessError, Caller, CellMetrics,
        cell_view::CellView,
        configuration::Configuration,
        events::{
            INVALID_ROW, JOB_ACCEPTED, JOB_CANCELLED, JOB_OUTCOME_UNKNOWN, JOB_REFUSED,
            READ_FAILED, ROW_REFUSED,
        },
        health::StoreHealth,
        leader_client::LeaderTx,
        rows::{
            CANCEL_VALUE, MAX_ROW_BYTES, OwnedState, STATES_TABLE, StateRowError, cancel_key,
            cancel_row_name, decode_owner, decode_state, job_key, job_partition, main_key,
        },
    },
    ragwortreel_model::{JobId, JobState, Resources, Workspace},
    ragwortreel_platform::{Check, PlatformError, ResilientTable, Txn, TxnOutcome, Write},
    ragwortreel_runtime::{Logger, boot_ms, log_event, sleep_ms, unix_ms},
    ragwortreel_workflow::{JobRequest, QueuePolicy, Refusal, Schedule, Step},
    std::{sync::Arc, time::Instant},
};

#[cfg(test)]
mod tests;

/// Delay before a transaction with an unknown outcome is sent again, in ms.
const COMMIT_RETRY_MS: u64 = 100;

/// Job as submitted by a caller.
#[derive(Debug, Clone)]
pub struct NewJob {
    /// Identifier of the job; a repeated submission has the same one.
    pub id: JobId,
    /// Payload for the workers.
    pub payload: Arc<str>,
    /// Steps of the job.
    pub steps: Vec<Step>,
    /// Schedule of the job, if its steps run at given times.
    pub schedule: Option<Schedule>,
}

/// Outcome of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored and will run.
    Accepted,
    /// The job is invalid and never runs; the text is the reason.
    Invalid(Arc<str>),
    /// The job is not stored and never runs.
    Refused {
        /// Delay after which the caller may retry, in ms.
        retry_after_ms: u64,
        /// Reason for the caller.
        reason: Arc<str>,
    },
    /// The job may be stored, and then runs.
    Unknown,
    /// A job with this identifier belongs to another workspace.
    OwnedByOther,
    /// The caller may not submit jobs; the job is not stored.
    Denied(AccessError),
}

/// Outcome of a query for a job's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateOutcome {
    /// State of the job, as stored.
    Known(JobState),
    /// There is no such job.
    NotFound,
    /// The state is unknown to this instance and the leader, and the store did not answer or its row is invalid.
    Unavailable,
    /// The caller may not query jobs.
    Denied(AccessError),
}

/// Outcome of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The cancellation is stored, or the job had ended before.
    Stored,
    /// There is no such job.
    NotFound,
    /// The cancellation is not stored.
    Refused,
    /// The cancellation may be stored.
    Unknown,
    /// The caller may not cancel jobs; the cancellation is not stored.
    Denied(AccessError),
}

/// Error of a transaction that stores a caller's request.
enum CommitError {
    /// The key of the caller is not accepted, and the transaction was not sent.
    Denied(AccessError),
    Store(PlatformError),
}

/// The state of a job could not be read, and the reason is logged.
struct ReadFailed;

/// Handles callers' requests.
pub struct JobFrontend {
    pub(crate) access: Arc<AccessControl>,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) view: Arc<CellView>,
    /// Queues of requests to the leader.
    pub(crate) leader: LeaderTx,
    /// Store clients by job partition, so that a slow or unavailable partition delays only its own jobs.
    pub(crate) job_tables: Vec<Arc<ResilientTable>>,
    pub(crate) health: Arc<StoreHealth>,
    pub(crate) metrics: Arc<CellMetrics>,
    pub(crate) log: Logger,
}

impl JobFrontend {
    /// Submits a job to a queue; accepts a job again that is stored already.
    pub async fn submit(
        &self,
        caller: &Caller,
        policy: &QueuePolicy,
        job: NewJob,
        deadline: Instant,
    ) -> SubmitOutcome {
        let started = Instant::now();
        let outcome = self.admit_and_store(caller, policy, job, deadline).await;
        let result = match &outcome {
            SubmitOutcome::Accepted => "accepted",
            SubmitOutcome::Invalid(_) => "invalid",
            SubmitOutcome::Refused { .. } => "refused",
            SubmitOutcome::Unknown => "unknown",
            SubmitOutcome::OwnedByOther => "owned-by-other",
            SubmitOutcome::Denied(_) => "denied",
        };
        self.metrics
            .record_submission(&policy.name, result, started.elapsed());
        outcome
    }

    async fn admit_and_store(
        &self,
        caller: &Caller,
        policy: &QueuePolicy,
        job: NewJob,
        deadline: Instant,
    ) -> SubmitOutcome {
        if let Some(known) = self.view.recent_state(&job.id) {
            return self.repeat_outcome(caller, known.workspace.as_ref());
        }
        if Instant::now() >= deadline {
            // A caller whose deadline has passed may have submitted the job before with an unknown outcome.
            log_event!(self.log, JOB_OUTCOME_UNKNOWN; "job" => job.id.to_string(),
                "reason" => "the caller's deadline has passed");
            return SubmitOutcome::Unknown;
        }
        let request = JobRequest {
            id: job.id,
            policy: policy.clone(),
            workspace: caller.workspace().cloned(),
            payload: job.payload,
            steps: job.steps,
            schedule: job.schedule,
            accepted_ms: unix_ms(),
        };
        if let Err(err) = request.validate() {
            return SubmitOutcome::Invalid(err.to_string().into());
        }
        let is_oversized = |step: &Step| !step.need.is_worker_capacity();
        if let Some(step) = request.steps.iter().position(is_oversized) {
            let problem = format!(
                "step {step}: a task may need at most {} of each resource",
                Resources::MAX_PER_WORKER
            );
            return SubmitOutcome::Invalid(problem.into());
        }
        let json: Arc<str> = match serde_json::to_string(&request) {
            Ok(json) => json.into(),
            Err(err) => return SubmitOutcome::Invalid(err.to_string().into()),
        };
        if json.len() > MAX_ROW_BYTES {
            let problem = format!(
                "the job takes {} bytes in the store, more than {MAX_ROW_BYTES}; use fewer steps",
                json.len()
            );
            return SubmitOutcome::Invalid(problem.into());
        }
        if let Err((refusal, reason)) = self.admit(&request) {
            // A repeated submission of a stored job must not be refused, because the job runs.
            let table = &self.job_tables[job_partition(&request.id)];
            return match table.get_before(&job_key(&request.id), deadline).await {
                Ok(None) => self.refuse(&request, refusal, reason),
                Ok(Some(row)) => {
                    match self.owner(caller, &request.id, &row.value, deadline).await {
                        Ok(owner) => self.repeat_outcome(caller, owner.as_ref()),
                        Err(err) => self.unknown_outcome(&request.id, &err),
                    }
                }
                Err(err) => self.unknown_outcome(&request.id, &err),
            };
        }
        self.store(caller, &request, json, deadline).await
    }

    /// Decides whether the job is admitted under the present limits and load; the error has the reason for the caller.
    fn admit(&self, request: &JobRequest) -> Result<(), (Refusal, Arc<str>)> {
        let now_ms = boot_ms();
        if let Err(err) = self.configuration.check_limit(request) {
            let refusal = Refusal::beyond_limit(request, now_ms);
            return Err((refusal, err.to_string().into()));
        }
        let admitted = self.view.admit(request, now_ms);
        admitted.map_err(|refusal| (refusal, refusal.reason.to_string().into()))
    }

    fn refuse(&self, request: &JobRequest, refusal: Refusal, reason: Arc<str>) -> SubmitOutcome {
        let queue = &request.policy.name;
        if let Some(workspace) = &request.workspace {
            (self.metrics).record_workspace_refusal(workspace, refusal.reason);
        }
        self.metrics.record_refusal(queue, refusal.reason.name());
        log_event!(self.log, JOB_REFUSED; "job" => request.id.to_string(),
            "queue" => queue.to_string(), "reason" => reason.to_string(),
            "wait_ms" => refusal.wait_ms, "objective_ms" => request.objective_ms(),
            "retry_after_ms" => refusal.retry_after_ms);
        SubmitOutcome::Refused {
            retry_after_ms: refusal.retry_after_ms,
            reason,
        }
    }

    async fn store(
        &self,
        caller: &Caller,
        request: &JobRequest,
        json: Arc<str>,
        deadline: Instant,
    ) -> SubmitOutcome {
        let id = request.id.as_str();
        let key = job_key(&request.id);
        let txn = Txn {
            checks: vec![Check {
                key: Arc::clone(&key),
                version: 0,
            }],
            writes: vec![Write {
                key: Arc::clone(&key),
                value: Some(Arc::clone(&json)),
            }],
        };
        let outcome = self
            .commit_until_known(caller, &request.id, txn, deadline)
            .await;
        let owner = match &outcome {
            // An earlier attempt of the caller or of this instance, or another workspace, has stored the job.
            Ok(TxnOutcome::Conflict { current }) => {
                let row = current.iter().find(|row| row.key == key);
                let row = row.map_or("", |row| &row.value);
                let owner = match self.owner(caller, &request.id, row, deadline).await {
                    Ok(owner) => owner,
                    Err(err) => return self.unknown_outcome(&request.id, &err),
                };
                if let Err(err) = self.access.recheck(caller) {
                    // An attempt or a copy of this transaction may have stored a job of the caller.
                    return if caller.may_access(owner.as_ref()) {
                        SubmitOutcome::Unknown
                    } else {
                        SubmitOutcome::Denied(err)
                    };
                }
                owner
            }
            _ => request.workspace.clone(),
        };
        match outcome {
            Ok(_) if !caller.may_access(owner.as_ref()) => SubmitOutcome::OwnedByOther,
            Ok(_) => {
                self.view.record_accepted(request.id.clone(), owner);
                self.leader.forward_row(id, &json);
                log_event!(self.log, JOB_ACCEPTED; "job" => id.to_owned(),
                    "queue" => request.policy.name.to_string());
                SubmitOutcome::Accepted
            }
            Err(CommitError::Denied(err)) => SubmitOutcome::Denied(err),
            Err(CommitError::Store(PlatformError::NotDone { problem, .. })) => {
                let retry_after_ms = self.health.retry_after_ms();
                log_event!(self.log, JOB_REFUSED; "job" => id.to_owned(),
                    "queue" => request.policy.name.to_string(), "reason" => problem.to_string(),
                    "retry_after_ms" => retry_after_ms);
                self.metrics.record_refusal(&request.policy.name, "store");
                SubmitOutcome::Refused {
                    retry_after_ms,
                    reason: Arc::from("the store does not take the job"),
                }
            }
            Err(CommitError::Store(PlatformError::Refused { problem, .. })) => {
                log_event!(self.log, ROW_REFUSED; "row" => key.to_string(), "bytes" => json.len(),
                    "problem" => problem.to_string());
                self.metrics.record_refused_row("submit");
                SubmitOutcome::Invalid(format!("the store refuses the job: {problem}").into())
            }
            Err(CommitError::Store(err)) => self.unknown_outcome(&request.id, &err),
        }
    }

    /// Outcome of a submission whose identifier is that of a stored job.
    fn repeat_outcome(&self, caller: &Caller, owner: Option<&Workspace>) -> SubmitOutcome {
        if let Err(err) = self.access.recheck(caller) {
            return SubmitOutcome::Denied(err);
        }
        if caller.may_access(owner) {
            SubmitOutcome::Accepted
        } else {
            SubmitOutcome::OwnedByOther
        }
    }

    fn unknown_outcome(&self, id: &JobId, err: &PlatformError) -> SubmitOutcome {
        log_event!(self.log, JOB_OUTCOME_UNKNOWN; "job" => id.to_string(),
            "reason" => err.to_string());
        SubmitOutcome::Unknown
    }

    /// Workspace that a stored job belongs to, by the value of the job's row; that of a finished job is empty, so its
    /// state is read. Callers in a cell without workspaces may access all jobs, so the workspace is not looked up.
    async fn owner(
        &self,
        caller: &Caller,
        id: &JobId,
        job_row: &str,
        deadline: Instant,
    ) -> Result<Option<Workspace>, PlatformError> {
        if *caller == Caller::Unrestricted {
            return Ok(None);
        }
        let owner = if job_row.is_empty() {
            let table = &self.job_tables[job_partition(id)];
            let key = main_key(STATES_TABLE, id.as_str());
            let state = table.get_before(&key, deadline).await?;
            state.map_or(Ok(None), |row| {
                Ok(OwnedState::decode_row(&row.value)?.workspace)
            })
        } else {
            decode_owner(job_row)
        };
        owner.map_err(|err| {
            log_event!(self.log, INVALID_ROW; "row" => id.to_string(), "problem" => err.to_string());
            PlatformError::Unknown {
                step: "read owner",
                peer: Arc::from("table"),
                problem: err.to_string().into(),
            }
        })
    }

    /// Sends a transaction until its outcome is known, or until the deadline, an outage of the store or the end of the
    /// caller's access, which is checked before each attempt and again whenever the transaction leaves the queue. The
    /// error is `Denied` or `NotDone` only if no attempt can take effect.
    async fn commit_until_known(
        &self,
        caller: &Caller,
        job: &JobId,
        txn: Txn,
        deadline: Instant,
    ) -> Result<TxnOutcome, CommitError> {
        let not_sent = |problem: &str| {
            CommitError::Store(PlatformError::NotDone {
                step: "commit",
                peer: Arc::from("table"),
                problem: Arc::from(problem),
            })
        };
        if self.health.is_unresponsive() {
            return Err(not_sent("the store does not answer this instance"));
        }
        let table = &self.job_tables[job_partition(job)];
        let mut unknown = None;
        loop {
            if let Err(err) = self.access.recheck(caller) {
                // After an attempt with an unknown outcome, it cannot be said that nothing is stored.
                return Err(unknown.map_or(CommitError::Denied(err), CommitError::Store));
            }
            let condition = self.access.send_condition(caller);
            match table.commit_if(txn.clone(), deadline, condition).await {
                Ok(outcome) => return Ok(outcome),
                Err(err @ (PlatformError::NotDone { .. } | PlatformError::Refused { .. }))
                    if unknown.is_none() =>
                {
                    // The transaction may not have been sent because the access ended in the queue.
                    let denied = self.access.recheck(caller).err();
                    return Err(denied.map_or(CommitError::Store(err), CommitError::Denied));
                }
                Err(PlatformError::NotDone { .. } | PlatformError::Refused { .. }) => {}
                Err(err @ PlatformError::Unknown { .. }) => unknown = Some(err),
            }
            // Another instance may still reach the store, so the caller does not wait out the outage here.
            if Instant::now() >= deadline || self.health.is_unresponsive() {
                break;
            }
            sleep_ms(COMMIT_RETRY_MS).await;
        }
        Err(unknown.map_or_else(|| not_sent("the deadline passed"), CommitError::Store))
    }

    /// Returns the state of a job: from the recent jobs, from the leader, or from the store. Jobs of other workspaces are
    /// unknown to the caller.
    pub async fn state(&self, caller: &Caller, id: &JobId, deadline: Instant) -> StateOutcome {
        let known = match self.view.recent_state(id) {
            Some(known) if known.state.is_final() => Some(known),
            _ => self.leader.state(id).await,
        };
        let known = match known {
            Some(known) => Ok(Some(known)),
            None => self.stored_state(caller, id, deadline).await,
        };
        if let Err(err) = self.access.recheck(caller) {
            return StateOutcome::Denied(err);
        }
        match known {
            Ok(Some(known)) => {
                if known.state.is_final() {
                    self.view.record_final_state(id.clone(), known.clone());
                }
                if caller.may_access(known.workspace.as_ref()) {
                    StateOutcome::Known(known.state)
                } else {
                    StateOutcome::NotFound
                }
            }
            Ok(None) => StateOutcome::NotFound,
            Err(ReadFailed) => StateOutcome::Unavailable,
        }
    }

    /// Reads the state of a job from the store; `None` if there is no such job.
    async fn stored_state(
        &self,
        caller: &Caller,
        id: &JobId,
        deadline: Instant,
    ) -> Result<Option<OwnedState>, ReadFailed> {
        let table = &self.job_tables[job_partition(id)];
        let log_failure = |err: PlatformError| {
            log_event!(self.log, READ_FAILED; "job" => id.to_string(), "problem" => err.to_string());
            ReadFailed
        };
        let log_invalid = |err: StateRowError| {
            log_event!(self.log, INVALID_ROW; "row" => id.to_string(), "problem" => err.to_string());
            ReadFailed
        };
        let state_key = main_key(STATES_TABLE, id.as_str());
        let row = table.get_before(&state_key, deadline).await;
        if let Some(row) = row.map_err(log_failure)? {
            let known = OwnedState::decode_row(&row.value).or_else(|err| match caller {
                // Only the letter of the state counts where jobs have no owner.
                Caller::Unrestricted => Ok(OwnedState {
                    state: decode_state(&row.value)?,
                    workspace: None,
                }),
                Caller::Public | Caller::Workspace { .. } => Err(err),
            });
            return Ok(Some(known.map_err(log_invalid)?));
        }
        let row = table.get_before(&job_key(id), deadline).await;
        let Some(row) = row.map_err(log_failure)? else {
            return Ok(None);
        };
        // The leader skips an invalid row, which is then a queued job; its owner counts only in a cell with workspaces.
        let workspace = match decode_owner(&row.value) {
            Err(err) if *caller != Caller::Unrestricted => return Err(log_invalid(err)),
            owner => owner.unwrap_or_default(),
        };
        Ok(Some(OwnedState {
            state: JobState::Queued,
            workspace,
        }))
    }

    /// Cancels a job that has not ended.
    pub async fn cancel(&self, caller: &Caller, id: &JobId, deadline: Instant) -> CancelOutcome {
        match self.state(caller, id, deadline).await {
            StateOutcome::NotFound => return CancelOutcome::NotFound,
            StateOutcome::Known(state) if state.is_final() => return CancelOutcome::Stored,
            StateOutcome::Known(_) => {}
            StateOutcome::Unavailable => return CancelOutcome::Refused,
            StateOutcome::Denied(err) => return CancelOutcome::Denied(err),
        }
        let txn = Txn {
            checks: Vec::new(),
            writes: vec![Write {
                key: cancel_key(id),
                value: Some(Arc::from(CANCEL_VALUE)),
            }],
        };
        match self.commit_until_known(caller, id, txn, deadline).await {
            Ok(_) => {
                log_event!(self.log, JOB_CANCELLED; "job" => id.to_string());
                self.leader
                    .forward_row(&cancel_row_name(id), &Arc::from(CANCEL_VALUE));
                CancelOutcome::Stored
            }
            Err(CommitError::Denied(err)) => CancelOutcome::Denied(err),
            Err(CommitError::Store(
                PlatformError::NotDone { .. } | PlatformError::Refused { .. },
            )) => CancelOutcome::Refused,
            Err(CommitError::Store(PlatformError::Unknown { .. })) => CancelOutcome::Unknown,
        }
    }

    /// Number of a queue's jobs without a started task; `None` while it is unknown.
    #[must_use]
    pub fn pending(&self, queue: &str) -> Option<u64> {
        self.view.pending(queue, boot_ms())
    }
}
