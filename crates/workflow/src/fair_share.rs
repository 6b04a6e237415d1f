//! Shares of workspaces.
//!
//! Handles a workspace that sends several times its usual number of jobs to a cell that has no room for them, also while
//! hundreds of workspaces do so.
//!
//! The *weight* of a workspace is the rate of jobs that it may claim service for. Each job takes a token of its
//! workspace's bucket, which fills at the weight and holds the tokens of two seconds at most; a job without a token is
//! *over the share*. Its steps come after those of all other jobs whose results still have value, but start at once
//! where there is room and no other step waits for it. Their waiting work is not ahead of jobs of other workspaces in the
//! published backlog.
//!
//! Jobs are classified at the next decision, in the order in which they were accepted, because a new leader reads the
//! stored jobs in the order of their identifiers, and may read them before the weights.
//!
//! While work of a workspace waits for room and it sends more than its weight, the leader publishes which share of its
//! jobs the instances are to admit, see [`WorkspaceLoad`]. The leader sees admitted jobs only, so it estimates the rate
//! at which the workspace sends from their rate and the shares that were in force.

use {
    crate::{JobOrigin, JobRequest, Scheduler, WorkspaceNotice, order::RankClass},
    ragwortreel_model::{JobId, Resources, Workspace},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, mem},
    xxhash_rust::xxh3::xxh3_64,
};

/// Time after which the bucket of an idle workspace is full, in s. A workspace that was idle claims no more than this.
const BURST_S: f64 = 2.0;
/// Weight of the time since the last publication in the averages of rates and shares. A published share takes effect
/// during the next interval, so that each interval has jobs that were admitted under two of them.
const RATE_WEIGHT: f64 = 0.5;
/// Least time over which a rate is measured, in ms.
const MIN_INTERVAL_MS: u64 = 100;
/// Most workspaces in a published load; those with the longest backlogs. Each takes some 40 bytes and its name.
const MAX_PUBLISHED: usize = 300;

/// Waiting work of a workspace and the share of its jobs to be admitted, published by the leader.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceLoad {
    /// Share of the workspace's jobs to be admitted, from 0 to 1.
    #[serde(rename = "a")]
    pub admitted: f64,
    /// Jobs that wait for room, in seconds that they take at the workspace's weight.
    #[serde(rename = "b")]
    pub backlog_s: f64,
    /// Work that waits for the workspace's limit, by priority, in seconds that it takes when all of the limit is used.
    #[serde(rename = "h", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub held_s: BTreeMap<u32, f64>,
}

impl WorkspaceLoad {
    /// Whether the instances are to refuse the job because its workspace exceeds its share. The job's identifier
    /// decides, so that a retry is refused as well.
    pub(crate) fn refuses(&self, job: &JobRequest) -> bool {
        position_of(&job.id) >= self.admitted
    }
}

/// Position of a job among all jobs, evenly distributed from 0 to 1: a hash of its identifier.
fn position_of(job: &JobId) -> f64 {
    let hash = xxh3_64(job.as_str().as_bytes());
    f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX)) / (f64::from(u32::MAX) + 1.0)
}

/// Tokens of a workspace, and the rate of its jobs.
#[derive(Debug)]
struct Account {
    tokens: f64,
    /// Time of the last refill, by the leader's clock in ms.
    refilled_ms: u64,
    /// Jobs accepted since the last publication.
    accepted: u32,
    /// Average rate of accepted jobs, in jobs per second.
    accepted_rate: f64,
    /// Average of the shares in force.
    average_share: f64,
    /// Share that was published last.
    share: f64,
}

impl Account {
    fn new(weight: f64, now_ms: u64) -> Self {
        Self {
            tokens: capacity(weight),
            refilled_ms: now_ms,
            accepted: 0,
            accepted_rate: 0.0,
            average_share: 1.0,
            share: 1.0,
        }
    }

    /// Takes a token for a job that was accepted at `accepted_ms`; false if there is none.
    fn take(&mut self, weight: f64, accepted_ms: u64) -> bool {
        let elapsed_ms = accepted_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = self.refilled_ms.max(accepted_ms);
        let refill = weight * seconds(elapsed_ms);
        self.tokens = (self.tokens + refill).min(capacity(weight));
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Updates the averages by the time since the last publication, and returns the share to be admitted from now on.
    fn next_share(&mut self, weight: f64, interval_s: f64, has_backlog: bool) -> f64 {
        let average = |old: f64, new: f64| old + RATE_WEIGHT * (new - old);
        let rate = f64::from(mem::take(&mut self.accepted)) / interval_s;
        self.accepted_rate = average(self.accepted_rate, rate);
        self.average_share = average(self.average_share, self.share);
        let sent_rate = self.accepted_rate / self.average_share;
        self.share = if has_backlog && sent_rate > weight {
            weight / sent_rate
        } else {
            1.0
        };
        self.share
    }
}

/// Most tokens of a workspace; at least one, so that a workspace with a small weight has a share, too.
fn capacity(weight: f64) -> f64 {
    if weight > 0.0 {
        (weight * BURST_S).max(1.0)
    } else {
        0.0
    }
}

#[expect(clippy::cast_precision_loss, reason = "times are far below 2^52 ms")]
fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}

/// Waiting work of a workspace.
#[derive(Debug, Default)]
struct Waiting {
    /// Steps that wait for room; a job rarely has more than one.
    steps: u32,
    /// Core-seconds, memory-seconds and accelerator-seconds of held steps, by priority.
    held: BTreeMap<u32, [f64; 3]>,
}

/// Shares of all workspaces.
#[derive(Debug, Default)]
pub(crate) struct FairShare {
    /// Accounts of the configured workspaces that sent jobs.
    accounts: BTreeMap<Workspace, Account>,
    /// Jobs of workspaces that are not classified yet, with their times of acceptance in ms.
    unclassified: Vec<(u64, JobId)>,
    /// Time of the last publication, by the leader's clock in ms.
    published_ms: u64,
    published: BTreeMap<Workspace, WorkspaceLoad>,
}

impl FairShare {
    /// Adds a job of a workspace, to be classified at the next decision.
    pub(crate) fn add_job(&mut self, job: &JobId, accepted_ms: u64) {
        self.unclassified.push((accepted_ms, job.clone()));
    }

    /// Removes the workspaces that are not configured any more.
    pub(crate) fn retain(&mut self, is_configured: impl Fn(&Workspace) -> bool) {
        self.accounts
            .retain(|workspace, _| is_configured(workspace));
    }
}

impl Scheduler {
    /// Finds the new jobs that are over the share of their workspace. Jobs of a workspace that is not configured are.
    pub(crate) fn classify_jobs(&mut self) {
        if !self.workspaces.is_known() {
            return;
        }
        let mut jobs = mem::take(&mut self.fair_share.unclassified);
        jobs.sort_unstable();
        for (accepted_ms, id) in jobs {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let Some(workspace) = &job.request.workspace else {
                continue;
            };
            job.over_share = match self.workspaces.policy(workspace) {
                Some(policy) => {
                    let accounts = &mut self.fair_share.accounts;
                    let account = (accounts.entry(workspace.clone()))
                        .or_insert_with(|| Account::new(policy.weight, accepted_ms));
                    account.accepted += u32::from(job.origin == JobOrigin::Accepted);
                    !account.take(policy.weight, accepted_ms)
                }
                None => self.workspaces.is_enabled(),
            };
            if job.over_share {
                let notice = WorkspaceNotice::OverShare(id.clone(), workspace.clone());
                self.workspaces.notify(notice);
                self.update_waiting_steps(&id);
            }
        }
    }

    /// Waiting work and admitted shares of the workspaces with a backlog, to be published now.
    pub(crate) fn workspace_loads(&mut self) -> BTreeMap<Workspace, WorkspaceLoad> {
        let elapsed_ms = self.now_ms.saturating_sub(self.fair_share.published_ms);
        if elapsed_ms < MIN_INTERVAL_MS || !self.workspaces.is_enabled() {
            return self.fair_share.published.clone();
        }
        let waiting = self.waiting_of_workspaces();
        let mut loads = Vec::new();
        for (workspace, account) in &mut self.fair_share.accounts {
            let Some(policy) = self.workspaces.policy(workspace) else {
                continue;
            };
            let waiting = waiting.get(workspace);
            let admitted =
                account.next_share(policy.weight, seconds(elapsed_ms), waiting.is_some());
            let Some(waiting) = waiting else {
                continue;
            };
            let load = WorkspaceLoad {
                admitted: rounded(admitted),
                backlog_s: rounded(f64::from(waiting.steps) / policy.weight.max(0.01)),
                held_s: (waiting.held.iter())
                    .map(|(priority, work)| (*priority, rounded(limit_s(work, &policy.limit))))
                    .collect(),
            };
            if load.admitted < 1.0 || !load.held_s.is_empty() {
                loads.push((workspace.clone(), load));
            }
        }
        loads.sort_by(|(_, a), (_, b)| b.backlog_s.total_cmp(&a.backlog_s));
        loads.truncate(MAX_PUBLISHED);
        self.fair_share.published_ms = self.now_ms;
        self.fair_share.published = loads.into_iter().collect();
        self.fair_share.published.clone()
    }

    /// Work that waits for capacity of the workers or for the limit of its workspace. Steps that are set aside are left out,
    /// because new jobs start before them.
    fn waiting_of_workspaces(&self) -> BTreeMap<Workspace, Waiting> {
        let mut all: BTreeMap<Workspace, Waiting> = BTreeMap::new();
        let queued = self.waiting_steps.iter().map(|it| (it, false));
        let held = self.workspaces.held_steps().map(|it| (it, true));
        for ((rank, key), is_held) in queued.chain(held) {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let (Some(workspace), Some(step)) = (&job.request.workspace, job.step(key)) else {
                continue;
            };
            if step.has_capacity && !is_held {
                continue;
            }
            let waiting = all.entry(workspace.clone()).or_default();
            waiting.steps += 1;
            // The stored rank of a held step may be outdated. New jobs of the workspace precede these classes.
            let class = job.rank(key, self.now_ms).class;
            if is_held && class < RankClass::OverShare {
                let spec = job.spec(key);
                let work = waiting.held.entry(rank.priority).or_default();
                #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
                for (work, need) in work.iter_mut().zip(amounts(&spec.need)) {
                    *work += need as f64 * seconds(spec.estimate_ms) * step.waiting_tasks() as f64;
                }
            }
        }
        all
    }
}

const fn amounts(resources: &Resources) -> [u64; 3] {
    [
        resources.milli_cores,
        resources.memory_mib,
        resources.accelerators,
    ]
}

/// Time that held work takes when all of the limit is used, in s.
#[expect(clippy::cast_precision_loss, reason = "limits are far below 2^52")]
fn limit_s(work: &[f64; 3], limit: &Resources) -> f64 {
    let limited = work
        .iter()
        .zip(amounts(limit))
        .filter(|(_, limit)| *limit > 0);
    (limited.map(|(work, limit)| work / limit as f64)).fold(0.0, f64::max)
}

/// Rounds to three decimals, to keep the published row short.
fn rounded(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
