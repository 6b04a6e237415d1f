//! Calls about jobs, handed to the owner of the pool.

use {
    crate::{
        api::JobError,
        owner::{Message, OwnerHandle, Reply, refused, row_status},
        rows::{self, JobRow},
        shared::Shared,
        store::limited,
    },
    ragwortreel_entry::{
        EntryError,
        generated::{JobMessage, JobReference, JobReply, PoolSummary, job_reply},
    },
    ragwortreel_model::{InstanceId, JobId, JobSpec, JobStatus, Pool, Resources, Workspace},
    ragwortreel_runtime::{lock, timeout_ms},
    std::{cmp::Reverse, collections::BTreeMap, sync::Arc},
};

/// Pools that are tried for one submission.
const MAX_POOLS_TRIED: usize = 4;

/// Sends a message to an owner in this process and waits for the answer.
async fn ask<T>(
    shared: &Shared,
    handle: &OwnerHandle,
    message: impl FnOnce(Reply<T>) -> Message,
) -> Result<T, JobError> {
    let (tx, rx) = async_channel::bounded(1);
    if handle.sender().try_send(message(tx)).is_err() {
        return Err(refused("the pool's owner is busy or has changed"));
    }
    match timeout_ms(shared.cfg.timings.call_timeout_ms, rx.recv()).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) => Err(unknown("the pool's owner has changed")),
        Err(_) => Err(unknown("timeout")),
    }
}

fn unknown(problem: &str) -> JobError {
    JobError::Unknown {
        problem: problem.into(),
    }
}

pub(crate) async fn submit_here(
    shared: &Shared,
    handle: &OwnerHandle,
    spec: JobSpec,
) -> Result<JobStatus, JobError> {
    ask(shared, handle, |reply| Message::Submit { spec, reply }).await
}

pub(crate) async fn cancel_here(
    shared: &Shared,
    handle: &OwnerHandle,
    job: JobId,
    workspace: Option<Workspace>,
) -> Result<JobStatus, JobError> {
    ask(shared, handle, |reply| Message::Cancel {
        job,
        workspace,
        reply,
    })
    .await
}

pub(crate) async fn describe_here(
    shared: &Shared,
    handle: &OwnerHandle,
    workspace: Option<Workspace>,
    job: Option<JobId>,
) -> Result<Vec<JobStatus>, JobError> {
    ask(shared, handle, |reply| Message::Describe {
        workspace,
        job,
        reply,
    })
    .await
}

/// Submits a job to the pool with the most room.
pub(crate) async fn submit(shared: &Arc<Shared>, spec: JobSpec) -> Result<JobStatus, JobError> {
    spec.check().map_err(JobError::Invalid)?;
    // A repeated submission must find the job where it is; its row also settles it when the owner is silent.
    if let Some(row) = read_row(shared, &spec.id).await? {
        if row.spec != spec {
            return Err(JobError::Conflict { job: spec.id });
        }
        return Ok(row_status(row));
    }
    let mut open = None;
    let mut last = refused("no pool in the job's zone has an owner");
    for pool in pools_by_room(shared, &spec)
        .into_iter()
        .take(MAX_POOLS_TRIED)
    {
        match submit_to(shared, &pool, &spec).await {
            Err(JobError::Refused {
                problem,
                retry_after_ms,
            }) => {
                last = JobError::Refused {
                    problem,
                    retry_after_ms,
                };
            }
            // A job exists at most once whatever pools it was handed to, because each owner writes its row only where
            // there is none. So the next pool may be tried, and the caller hears of the open outcome if all fail.
            Err(JobError::Unknown { problem }) => open = Some(problem),
            answer => return answer,
        }
    }
    match open {
        Some(problem) => read_back(shared, &spec, problem).await,
        None => Err(last),
    }
}

async fn submit_to(shared: &Shared, pool: &Pool, spec: &JobSpec) -> Result<JobStatus, JobError> {
    if let Some(handle) = shared.owner_handle(pool) {
        return submit_here(shared, &handle, spec.clone()).await;
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
    let statuses = from_reply(&spec.id, call.map_err(|_| unknown("timeout"))?)?;
    statuses
        .into_iter()
        .next()
        .ok_or_else(|| unknown("the owner's answer is empty"))
}

/// Settles a submission without an answer by the job's row.
async fn read_back(
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
    let row = limited("read job", shared.table.get(&rows::job_key(job))).await;
    let row = row.map_err(|err| refused(&err.to_string()))?;
    let decode = |row| rows::decode(&row).map_err(|err| refused(&err.to_string()));
    row.map(decode).transpose()
}

/// Pools of the job's zone, those where a task fits now first, then those with the shortest queue.
fn pools_by_room(shared: &Shared, spec: &JobSpec) -> Vec<Pool> {
    let allowed = |zone| spec.zone.as_ref().is_none_or(|wanted| wanted == zone);
    let mut pools: Vec<_> = (shared.cfg.pools.iter())
        .filter(|cfg| allowed(&cfg.zone))
        .map(|cfg| (rank(shared, spec, &cfg.pool), cfg.pool.clone()))
        .collect();
    pools.sort();
    pools.into_iter().map(|(_, pool)| pool).collect()
}

fn summary(shared: &Shared, pool: &Pool) -> Option<PoolSummary> {
    let own = shared.owner_handle(pool).map(|handle| handle.summary());
    own.or_else(|| shared.peers.summary(pool).map(|(_, summary)| summary))
}

/// Order of a pool for a job; lower ones are tried first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    owner_is_silent: bool,
    does_not_fit: bool,
    queued: u64,
    free: Reverse<u64>,
}

fn rank(shared: &Shared, spec: &JobSpec, pool: &Pool) -> Rank {
    let summary = summary(shared, pool).unwrap_or(PoolSummary {
        queued_tasks: u64::MAX,
        ..PoolSummary::default()
    });
    let free = Resources::new(
        summary.free_milli_cores,
        summary.free_memory_mib,
        summary.free_accelerators,
    );
    Rank {
        owner_is_silent: is_owner_silent(shared, pool),
        does_not_fit: !spec.resources.fits_in(&free),
        queued: summary.queued_tasks,
        free: Reverse(summary.free_milli_cores),
    }
}

/// Whether the pool has no owner, or one that did not answer lately.
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
        return cancel_here(shared, &handle, job.clone(), workspace.cloned()).await;
    }
    let owner = shared
        .owner_of(&row.pool)
        .ok_or_else(|| refused("the pool has no owner"))?;
    let client = shared.peers.client(&owner);
    let client = client.ok_or_else(|| refused("the pool's owner is not known"))?;
    let answer = client.cancel_job(reference(Some(job), workspace)).await;
    let statuses = from_reply(job, answer)?;
    statuses
        .into_iter()
        .next()
        .ok_or_else(|| unknown("the owner's answer is empty"))
}

fn reference(job: Option<&JobId>, workspace: Option<&Workspace>) -> JobReference {
    JobReference {
        job: job.map(ToString::to_string).unwrap_or_default(),
        workspace: workspace.map(ToString::to_string).unwrap_or_default(),
    }
}

/// Describes a job, or all recent jobs of a workspace.
pub(crate) async fn describe(
    shared: &Arc<Shared>,
    workspace: Option<&Workspace>,
    job: Option<&JobId>,
) -> Result<Vec<JobStatus>, JobError> {
    let mut found = BTreeMap::new();
    let own: Vec<_> = lock(&shared.owners).values().cloned().collect();
    for handle in own {
        for status in describe_here(shared, &handle, workspace.cloned(), job.cloned()).await? {
            found.insert(status.spec.id.clone(), status);
        }
    }
    let id = job
        .cloned()
        .unwrap_or_else(|| JobId::new("all").unwrap_or_else(|_| unreachable!("a valid name")));
    for owner in other_owners(shared) {
        let Some(client) = shared.peers.client(&owner) else {
            continue;
        };
        let answer = client.describe_job(reference(job, workspace)).await;
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
            unknown(&err.to_string())
        }
    })?;
    match reply.result() {
        job_reply::Result::Ok => {
            serde_json::from_slice(&reply.jobs_json).map_err(|err| unknown(&err.to_string()))
        }
        job_reply::Result::NotFound => Err(JobError::NotFound { job: job.clone() }),
        job_reply::Result::Unspecified | job_reply::Result::Unknown => Err(unknown(&reply.problem)),
        _ => serde_json::from_slice(&reply.jobs_json).map_or_else(
            |_| Err(refused(&reply.problem)),
            |error: WireError| Err(error.into_error(job)),
        ),
    }
}

/// Refusals that a caller must tell apart, as JSON in the reply's content.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
enum WireError {
    Conflict,
    Ended(ragwortreel_model::JobState),
    Invalid(String),
}

impl WireError {
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

/// An answer as a message to another instance.
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
            jobs_json: WireError::of(&err)
                .map(|err| rows::encode(&err).as_bytes().to_vec())
                .unwrap_or_default(),
            problem: err.to_string(),
        },
    }
}
