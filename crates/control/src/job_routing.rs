//! Routes calls about jobs to the owner of the pool.

use {
    crate::{
        api::JobError,
        owner::{Message, OwnerHandle, ReplySender, refused, row_status},
        rows::{self, JobRow},
        shared::Shared,
        store::with_timeout,
    },
    ragwortreel_entry::{
        EntryError,
        generated::{JobMessage, JobReference, JobReply, PoolSummary, job_reply},
    },
    ragwortreel_model::{InstanceId, JobId, JobSpec, JobStatus, Pool, Resources, Workspace},
    ragwortreel_runtime::{lock, timeout_ms},
    std::{cmp::Reverse, collections::BTreeMap, sync::Arc},
};

/// Pools tried for one submission.
const MAX_POOLS_TRIED: usize = 4;

/// Sends a message to a local pool owner and waits for the reply.
async fn call_owner<T>(
    shared: &Shared,
    handle: &OwnerHandle,
    message: impl FnOnce(ReplySender<T>) -> Message,
) -> Result<T, JobError> {
    let (tx, rx) = async_channel::bounded(1);
    if handle.sender().try_send(message(tx)).is_err() {
        return Err(refused("the pool's owner is busy or has changed"));
    }
    match timeout_ms(shared.cfg.timings.call_timeout_ms, rx.recv()).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) => Err(unknown_outcome("the pool's owner has changed")),
        Err(_) => Err(unknown_outcome("timeout")),
    }
}

fn unknown_outcome(problem: &str) -> JobError {
    JobError::Unknown {
        problem: problem.into(),
    }
}

pub(crate) async fn submit_to_local_owner(
    shared: &Shared,
    handle: &OwnerHandle,
    spec: JobSpec,
) -> Result<JobStatus, JobError> {
    call_owner(shared, handle, |reply| Message::Submit { spec, reply }).await
}

pub(crate) async fn cancel_at_local_owner(
    shared: &Shared,
    handle: &OwnerHandle,
    job: JobId,
    workspace: Option<Workspace>,
) -> Result<JobStatus, JobError> {
    call_owner(shared, handle, |reply| Message::Cancel {
        job,
        workspace,
        reply,
    })
    .await
}

pub(crate) async fn describe_at_local_owner(
    shared: &Shared,
    handle: &OwnerHandle,
    workspace: Option<Workspace>,
    job: Option<JobId>,
) -> Result<Vec<JobStatus>, JobError> {
    call_owner(shared, handle, |reply| Message::Describe {
        workspace,
        job,
        reply,
    })
    .await
}

/// Submits a job to the pool with the most free capacity.
pub(crate) async fn submit(shared: &Arc<Shared>, spec: JobSpec) -> Result<JobStatus, JobError> {
    spec.check().map_err(JobError::Invalid)?;
    // Read the job's row first: a repeated submission must find the existing job, and the row answers it even if the
    // pool's owner is silent.
    if let Some(row) = read_row(shared, &spec.id).await? {
        if row.spec != spec {
            return Err(JobError::Conflict { job: spec.id });
        }
        return Ok(row_status(row));
    }
    let mut unresolved = None;
    let mut last_refusal = refused("no pool in the job's zone has an owner");
    for pool in pools_by_free_capacity(shared, &spec)
        .into_iter()
        .take(MAX_POOLS_TRIED)
    {
        match submit_to(shared, &pool, &spec).await {
            Err(JobError::Refused {
                problem,
                retry_after_ms,
            }) => {
                last_refusal = JobError::Refused {
                    problem,
                    retry_after_ms,
                };
            }
            // Trying the next pool is safe: each owner writes the job's row only if none exists, so the job exists at
            // most once. The unknown outcome is returned if all other pools fail.
            Err(JobError::Unknown { problem }) => unresolved = Some(problem),
            answer => return answer,
        }
    }
    match unresolved {
        Some(problem) => resolve_unknown_submission(shared, &spec, problem).await,
        None => Err(last_refusal),
    }
}

async fn submit_to(shared: &Shared, pool: &Pool, spec: &JobSpec) -> Result<JobStatus, JobError> {
    if let Some(handle) = shared.owner_handle(pool) {
        return submit_to_local_owner(shared, &handle, spec.clone()).await;
    }
    let owner = shared
        .owner_of(pool)
        .ok_or_else(|| refused("the pool has no owner"))?;
    let client = shared.peers.client(&owner);
    let client = client.ok_or_else(|| refused("the pool's owner is not known"))?;
    let message = JobMessage {
        spec_json: rows::encode(spec).as_bytes().to_vec(),
        pool: pool.to_string(),
    };
    let limit_ms = shared.cfg.timings.call_timeout_ms / 2;
    let call = timeout_ms(limit_ms, client.submit_job(message)).await;
    let statuses = from_reply(&spec.id, call.map_err(|_| unknown_outcome("timeout"))?)?;
    statuses
        .into_iter()
        .next()
        .ok_or_else(|| unknown_outcome("the owner's answer is empty"))
}

/// Resolves a submission with an unknown outcome by reading the job's row.
async fn resolve_unknown_submission(
    shared: &Shared,
    spec: &JobSpec,
    problem: Arc<str>,
) -> Result<JobStatus, JobError> {
    match read_row(shared, &spec.id).await {
        Ok(Some(row)) if row.spec == *spec => Ok(row_status(row)),
        _ => Err(JobError::Unknown { problem }),
    }
}

async fn read_row(shared: &Shared, job: &JobId) -> Result<Option<JobRow>, JobError> {
    let row = with_timeout("read job", shared.table.get(&rows::job_key(job))).await;
    let row = row.map_err(|err| refused(&err.to_string()))?;
    let decode = |row| rows::decode(&row).map_err(|err| refused(&err.to_string()));
    row.map(decode).transpose()
}

/// Pools of the job's zone in the order in which they are tried: by [`PoolRank`], then by name.
fn pools_by_free_capacity(shared: &Shared, spec: &JobSpec) -> Vec<Pool> {
    let allowed = |zone| spec.zone.as_ref().is_none_or(|wanted| wanted == zone);
    let mut pools: Vec<_> = (shared.cfg.pools.iter())
        .filter(|cfg| allowed(&cfg.zone))
        .map(|cfg| (pool_rank(shared, spec, &cfg.pool), cfg.pool.clone()))
        .collect();
    pools.sort();
    pools.into_iter().map(|(_, pool)| pool).collect()
}

fn summary(shared: &Shared, pool: &Pool) -> Option<PoolSummary> {
    let own = shared.owner_handle(pool).map(|handle| handle.summary());
    own.or_else(|| shared.peers.summary(pool).map(|(_, summary)| summary))
}

/// Sort key of a pool for a job; lower keys are tried first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PoolRank {
    owner_is_silent: bool,
    does_not_fit: bool,
    queued: u64,
    free: Reverse<u64>,
}

fn pool_rank(shared: &Shared, spec: &JobSpec, pool: &Pool) -> PoolRank {
    let summary = summary(shared, pool).unwrap_or(PoolSummary {
        queued_tasks: u64::MAX,
        ..PoolSummary::default()
    });
    let free = Resources::new(
        summary.free_milli_cores,
        summary.free_memory_mib,
        summary.free_accelerators,
    );
    PoolRank {
        owner_is_silent: is_owner_silent(shared, pool),
        does_not_fit: !spec.resources.fits_in(&free),
        queued: summary.queued_tasks,
        free: Reverse(summary.free_milli_cores),
    }
}

/// Returns whether the pool has no owner, or one that did not answer recently.
fn is_owner_silent(shared: &Shared, pool: &Pool) -> bool {
    let Some(owner) = shared.owner_of(pool) else {
        return true;
    };
    let recent_ms = shared.cfg.timings.lease_ms / 2;
    let link = shared.peers.link(&owner, shared.now_ms(), recent_ms);
    owner != shared.cfg.instance && !link.answers_heartbeats
}

/// Cancels a job at the owner of its pool.
pub(crate) async fn cancel(
    shared: &Arc<Shared>,
    job: &JobId,
    workspace: Option<&Workspace>,
) -> Result<JobStatus, JobError> {
    let not_found = || JobError::NotFound { job: job.clone() };
    let row = read_row(shared, job).await?.ok_or_else(not_found)?;
    if workspace.is_some_and(|workspace| row.spec.workspace != *workspace) {
        return Err(not_found());
    }
    if row.state.is_final() {
        return Err(JobError::Ended {
            job: job.clone(),
            state: row.state,
        });
    }
    if let Some(handle) = shared.owner_handle(&row.pool) {
        return cancel_at_local_owner(shared, &handle, job.clone(), workspace.cloned()).await;
    }
    let owner = shared
        .owner_of(&row.pool)
        .ok_or_else(|| refused("the pool has no owner"))?;
    let client = shared.peers.client(&owner);
    let client = client.ok_or_else(|| refused("the pool's owner is not known"))?;
    let answer = client.cancel_job(job_reference(Some(job), workspace)).await;
    let statuses = from_reply(job, answer)?;
    statuses
        .into_iter()
        .next()
        .ok_or_else(|| unknown_outcome("the owner's answer is empty"))
}

fn job_reference(job: Option<&JobId>, workspace: Option<&Workspace>) -> JobReference {
    JobReference {
        job: job.map(ToString::to_string).unwrap_or_default(),
        workspace: workspace.map(ToString::to_string).unwrap_or_default(),
    }
}

/// Describes one job, or all live and recently ended jobs, optionally of one workspace.
pub(crate) async fn describe(
    shared: &Arc<Shared>,
    workspace: Option<&Workspace>,
    job: Option<&JobId>,
) -> Result<Vec<JobStatus>, JobError> {
    let mut found = BTreeMap::new();
    let own: Vec<_> = lock(&shared.owners).values().cloned().collect();
    for handle in own {
        for status in
            describe_at_local_owner(shared, &handle, workspace.cloned(), job.cloned()).await?
        {
            found.insert(status.spec.id.clone(), status);
        }
    }
    // `from_reply` needs an identifier for its errors; "all" is a placeholder in a call about all jobs.
    let id = job.cloned().unwrap_or_else(|| {
        JobId::new("all").unwrap_or_else(|_| unreachable!("all is a valid job identifier"))
    });
    for owner in other_owners(shared) {
        let Some(client) = shared.peers.client(&owner) else {
            continue;
        };
        let answer = client.describe_job(job_reference(job, workspace)).await;
        match from_reply(&id, answer) {
            Ok(statuses) => found.extend(
                statuses
                    .into_iter()
                    .map(|status| (status.spec.id.clone(), status)),
            ),
            Err(JobError::NotFound { .. }) => {}
            Err(err) if job.is_none() => return Err(err),
            Err(_) => {}
        }
    }
    if let Some(job) = job.filter(|_| found.is_empty()) {
        let row = read_row(shared, job).await?;
        let row =
            row.filter(|row| workspace.is_none_or(|workspace| row.spec.workspace == *workspace));
        let row = row.ok_or_else(|| JobError::NotFound { job: job.clone() })?;
        return Ok(vec![row_status(row)]);
    }
    Ok(found.into_values().collect())
}

fn other_owners(shared: &Shared) -> Vec<InstanceId> {
    let mut owners: Vec<_> = (shared.cfg.pools.iter())
        .filter_map(|cfg| shared.owner_of(&cfg.pool))
        .filter(|owner| *owner != shared.cfg.instance)
        .collect();
    owners.sort();
    owners.dedup();
    owners
}

fn from_reply(
    job: &JobId,
    reply: Result<JobReply, EntryError>,
) -> Result<Vec<JobStatus>, JobError> {
    let reply = reply.map_err(|err| {
        if err.is_not_run() {
            refused(&err.to_string())
        } else {
            unknown_outcome(&err.to_string())
        }
    })?;
    match reply.result() {
        job_reply::Result::Ok => serde_json::from_slice(&reply.jobs_json)
            .map_err(|err| unknown_outcome(&err.to_string())),
        job_reply::Result::NotFound => Err(JobError::NotFound { job: job.clone() }),
        job_reply::Result::Unspecified | job_reply::Result::Unknown => {
            Err(unknown_outcome(&reply.problem))
        }
        _ => serde_json::from_slice(&reply.jobs_json).map_or_else(
            |_| Err(refused(&reply.problem)),
            |error: RefusalDetail| Err(error.into_error(job)),
        ),
    }
}

/// Refusals that a peer must distinguish, sent as JSON in the reply's `jobs_json` field.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RefusalDetail {
    Conflict,
    Ended(ragwortreel_model::JobState),
    Invalid(String),
}

impl RefusalDetail {
    fn of(err: &JobError) -> Option<Self> {
        match err {
            JobError::Conflict { .. } => Some(Self::Conflict),
            JobError::Ended { state, .. } => Some(Self::Ended(*state)),
            JobError::Invalid(err) => Some(Self::Invalid(err.to_string())),
            _ => None,
        }
    }

    fn into_error(self, job: &JobId) -> JobError {
        match self {
            Self::Conflict => JobError::Conflict { job: job.clone() },
            Self::Ended(state) => JobError::Ended {
                job: job.clone(),
                state,
            },
            Self::Invalid(problem) => refused(&problem),
        }
    }
}

/// Encodes the result of a call as a reply to another instance.
pub(crate) fn to_reply(answer: Result<Vec<JobStatus>, JobError>) -> JobReply {
    match answer {
        Ok(jobs) => JobReply {
            result: job_reply::Result::Ok.into(),
            problem: String::new(),
            jobs_json: rows::encode(&jobs).as_bytes().to_vec(),
        },
        Err(err) => JobReply {
            result: match &err {
                JobError::NotFound { .. } => job_reply::Result::NotFound,
                JobError::Unknown { .. } => job_reply::Result::Unknown,
                _ => job_reply::Result::Refused,
            }
            .into(),
            jobs_json: RefusalDetail::of(&err)
                .map(|err| rows::encode(&err).as_bytes().to_vec())
                .unwrap_or_default(),
            problem: err.to_string(),
        },
    }
}
