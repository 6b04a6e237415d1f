//! What callers ask of an instance: submit, show, cancel, count.
//!
//! A job is accepted only once it is stored. When the store does not say whether it took a job, the same transaction is
//! sent again until it does or the caller's time is over; such a job is never refused, because it may run.

use {
    crate::{
        CellMetrics,
        cell_view::CellView,
        events::{BAD_ROW, JOB_ACCEPTED, JOB_CANCELLED, JOB_REFUSED, JOB_UNKNOWN, READ_FAILED},
        health::StoreHealth,
        leader_client::LeaderTx,
        rows::{
            CANCEL_VALUE, STATES_TABLE, cancel_key, cancel_row_name, decode_state, job_key,
            job_partition, main_key,
        },
    },
    ragwortreel_model::{JobId, JobState},
    ragwortreel_platform::{Check, PlatformError, ResilientTable, Txn, TxnOutcome, Write},
    ragwortreel_runtime::{Logger, boot_ms, log_event, sleep_ms, unix_ms},
    ragwortreel_workflow::{JobRequest, QueuePolicy, Schedule, Step},
    std::{sync::Arc, time::Instant},
};

/// Pause before a transaction with an unknown outcome is sent again, in ms.
const RETRY_MS: u64 = 100;

/// A job as a caller submits it.
#[derive(Debug, Clone)]
pub struct NewJob {
    /// Identifier.
    pub id: JobId,
    /// Text for the workers.
    pub payload: Arc<str>,
    /// Steps.
    pub steps: Vec<Step>,
    /// Set when the steps run at given times.
    pub schedule: Option<Schedule>,
}

/// What became of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored.
    Accepted,
    /// The job cannot be one; it never runs.
    Invalid(Arc<str>),
    /// The job is not stored and never runs.
    Refused {
        /// Time after which the caller may try again, in ms.
        retry_after_ms: u64,
    },
    /// The job may be stored.
    Unknown,
}

/// What is known about a job's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateOutcome {
    /// The state.
    Known(JobState),
    /// There is no such job.
    NotFound,
    /// This instance does not know it, and the store does not answer.
    Unavailable,
}

/// What became of a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// It is stored, or the job has ended.
    Stored,
    /// There is no such job.
    NotFound,
    /// Nothing was stored.
    Refused,
    /// It may be stored.
    Unknown,
}

/// Answers callers.
pub struct JobFrontend {
    pub(crate) view: Arc<CellView>,
    /// Way to the leader.
    pub(crate) leader: LeaderTx,
    /// The store by parts of the jobs, so that a slow or missing part delays only its own jobs.
    pub(crate) job_tables: Vec<Arc<ResilientTable>>,
    pub(crate) health: Arc<StoreHealth>,
    pub(crate) metrics: Arc<CellMetrics>,
    pub(crate) log: Logger,
}

impl JobFrontend {
    /// Submits a job to a queue.
    pub async fn submit(
        &self,
        policy: &QueuePolicy,
        job: NewJob,
        deadline: Instant,
    ) -> SubmitOutcome {
        let begun = Instant::now();
        let outcome = self.admit_and_store(policy, job, deadline).await;
        let result = match &outcome {
            SubmitOutcome::Accepted => "accepted",
            SubmitOutcome::Invalid(_) => "invalid",
            SubmitOutcome::Refused { .. } => "refused",
            SubmitOutcome::Unknown => "unknown",
        };
        self.metrics
            .submission(&policy.name, result, begun.elapsed());
        outcome
    }

    async fn admit_and_store(
        &self,
        policy: &QueuePolicy,
        job: NewJob,
        deadline: Instant,
    ) -> SubmitOutcome {
        if self.view.contains(&job.id) {
            return SubmitOutcome::Accepted;
        }
        if Instant::now() >= deadline {
            // Whoever has so little time left has asked before, perhaps with an unknown outcome.
            log_event!(self.log, JOB_UNKNOWN; "job" => job.id.to_string(),
                "reason" => "the caller's deadline has passed");
            return SubmitOutcome::Unknown;
        }
        let request = JobRequest {
            id: job.id,
            policy: policy.clone(),
            payload: job.payload,
            steps: job.steps,
            schedule: job.schedule,
            accepted_ms: unix_ms(),
        };
        if let Err(err) = request.validate() {
            return SubmitOutcome::Invalid(err.to_string().into());
        }
        if let Err(refusal) = self.view.admit(&request, boot_ms()) {
            // A repeat of a job that is stored already must not be told that it does not run.
            let table = &self.job_tables[job_partition(&request.id)];
            match table.get_by(&job_key(&request.id), deadline).await {
                Ok(None) => {}
                Ok(Some(_)) => return SubmitOutcome::Accepted,
                Err(err) => {
                    log_event!(self.log, JOB_UNKNOWN; "job" => request.id.to_string(),
                        "reason" => err.to_string());
                    return SubmitOutcome::Unknown;
                }
            }
            log_event!(self.log, JOB_REFUSED; "job" => request.id.to_string(),
                "queue" => policy.name.to_string(), "reason" => "too much work is ahead",
                "objective_ms" => request.objective_ms(), "retry_after_ms" => refusal.retry_after_ms);
            return SubmitOutcome::Refused {
                retry_after_ms: refusal.retry_after_ms,
            };
        }
        self.store(&request, deadline).await
    }

    async fn store(&self, request: &JobRequest, deadline: Instant) -> SubmitOutcome {
        let id = request.id.as_str();
        let json: Arc<str> = match serde_json::to_string(request) {
            Ok(json) => json.into(),
            Err(err) => return SubmitOutcome::Invalid(err.to_string().into()),
        };
        let key = job_key(&request.id);
        let txn = Txn {
            checks: vec![Check {
                key: Arc::clone(&key),
                version: 0,
            }],
            writes: vec![Write {
                key,
                value: Some(Arc::clone(&json)),
            }],
        };
        match self.commit(&request.id, txn, deadline).await {
            // A conflict means that the job is stored already, by an earlier attempt of the caller or of ours.
            Ok(TxnOutcome::Committed { .. } | TxnOutcome::Conflict { .. }) => {
                self.view.record_accepted(request.id.clone());
                self.leader.hand_over(id, &json);
                log_event!(self.log, JOB_ACCEPTED; "job" => id.to_owned(),
                    "queue" => request.policy.name.to_string());
                SubmitOutcome::Accepted
            }
            Err(PlatformError::NotDone { problem, .. }) => {
                let retry_after_ms = self.health.retry_after_ms();
                log_event!(self.log, JOB_REFUSED; "job" => id.to_owned(),
                    "queue" => request.policy.name.to_string(), "reason" => problem.to_string(),
                    "retry_after_ms" => retry_after_ms);
                SubmitOutcome::Refused { retry_after_ms }
            }
            Err(PlatformError::Unknown { problem, .. }) => {
                log_event!(self.log, JOB_UNKNOWN; "job" => id.to_owned(),
                    "reason" => problem.to_string());
                SubmitOutcome::Unknown
            }
        }
    }

    /// Sends a transaction until its outcome is known. An error says `NotDone` only when no attempt can take effect.
    async fn commit(
        &self,
        job: &JobId,
        txn: Txn,
        deadline: Instant,
    ) -> Result<TxnOutcome, PlatformError> {
        let not_sent = |problem: &str| PlatformError::NotDone {
            step: "commit",
            peer: Arc::from("table"),
            problem: Arc::from(problem),
        };
        if self.health.is_silent() {
            return Err(not_sent("the store does not answer this instance"));
        }
        let table = &self.job_tables[job_partition(job)];
        let mut unknown = None;
        loop {
            match table.commit_by(txn.clone(), deadline).await {
                Ok(outcome) => return Ok(outcome),
                Err(err @ PlatformError::NotDone { .. }) if unknown.is_none() => return Err(err),
                Err(PlatformError::NotDone { .. }) => {}
                Err(err @ PlatformError::Unknown { .. }) => unknown = Some(err),
            }
            // While the store is silent to this instance, another one may reach it; the caller need not wait here.
            if Instant::now() >= deadline || self.health.is_silent() {
                break;
            }
            sleep_ms(RETRY_MS).await;
        }
        Err(unknown.unwrap_or_else(|| not_sent("the deadline passed")))
    }

    /// State of a job.
    pub async fn state(&self, id: &JobId, deadline: Instant) -> StateOutcome {
        if let Some(state) = self.view.final_state(id) {
            return StateOutcome::Known(state);
        }
        let answer = match self.leader.state(id).await {
            Some(state) => StateOutcome::Known(state),
            None => self.stored_state(id, deadline).await,
        };
        if let StateOutcome::Known(state) = answer
            && state.is_final()
        {
            self.view.record_final_state(id.clone(), state);
        }
        answer
    }

    /// State of a job as the store has it.
    async fn stored_state(&self, id: &JobId, deadline: Instant) -> StateOutcome {
        let table = &self.job_tables[job_partition(id)];
        match table
            .get_by(&main_key(STATES_TABLE, id.as_str()), deadline)
            .await
        {
            Ok(None) => {}
            Ok(Some(row)) => {
                return match decode_state(&row.value) {
                    Ok(state) => StateOutcome::Known(state),
                    Err(err) => {
                        log_event!(self.log, BAD_ROW; "row" => id.to_string(),
                            "problem" => err.to_string());
                        StateOutcome::Unavailable
                    }
                };
            }
            Err(err) => return self.read_failed(id, &err),
        }
        match table.get_by(&job_key(id), deadline).await {
            Ok(None) => StateOutcome::NotFound,
            Ok(Some(_)) => StateOutcome::Known(JobState::Queued),
            Err(err) => self.read_failed(id, &err),
        }
    }

    fn read_failed(&self, id: &JobId, err: &PlatformError) -> StateOutcome {
        log_event!(self.log, READ_FAILED; "job" => id.to_string(), "problem" => err.to_string());
        StateOutcome::Unavailable
    }

    /// Cancels a job.
    pub async fn cancel(&self, id: &JobId, deadline: Instant) -> CancelOutcome {
        match self.state(id, deadline).await {
            StateOutcome::NotFound => return CancelOutcome::NotFound,
            StateOutcome::Known(state) if state.is_final() => return CancelOutcome::Stored,
            StateOutcome::Known(_) => {}
            StateOutcome::Unavailable => return CancelOutcome::Refused,
        }
        let txn = Txn {
            checks: Vec::new(),
            writes: vec![Write {
                key: cancel_key(id),
                value: Some(Arc::from(CANCEL_VALUE)),
            }],
        };
        match self.commit(id, txn, deadline).await {
            Ok(_) => {
                log_event!(self.log, JOB_CANCELLED; "job" => id.to_string());
                self.leader
                    .hand_over(&cancel_row_name(id), &Arc::from(CANCEL_VALUE));
                CancelOutcome::Stored
            }
            Err(PlatformError::NotDone { .. }) => CancelOutcome::Refused,
            Err(PlatformError::Unknown { .. }) => CancelOutcome::Unknown,
        }
    }

    /// Number of a queue's jobs of which nothing has started; `None` while it is not known.
    #[must_use]
    pub fn pending(&self, queue: &str) -> Option<u64> {
        self.view.pending(queue, boot_ms())
    }
}
