//! Quota grants: the parts of the workspaces' quotas that this pool may use.
//!
//! If the cell has only one pool, the pool uses the whole quota. Otherwise pools acquire and return parts by
//! compare-and-set on the workspace's row, so that the sum of all grants stays within the quota.

use {
    crate::{
        events::QUOTA_FAILED,
        owner::{
            Message,
            pool::{PoolOwner, task_id},
        },
        rows::{self, QuotaRow},
        shared::Shared,
        store::with_timeout,
    },
    ragwortreel_model::{Pool, Resources, WaitReason, Workspace},
    ragwortreel_placement::WorkspaceShare,
    ragwortreel_platform::{PlatformError, Txn, TxnOutcome},
    ragwortreel_runtime::{log_event, spawn},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Initially requested resources for a waiting task, in percent of its declared size; the scheduler may reserve more
/// than the declared size.
const INITIAL_NEED_PERCENT: u64 = 200;
/// Most resources requested for a waiting task, in percent of its declared size.
const MAX_NEED_PERCENT: u64 = 6_400;
/// Delay between requests for more of a quota that is in use by other pools, in ms.
const REQUEST_RETRY_MS: u64 = 1_000;

#[derive(Default)]
pub(crate) struct QuotaGrants {
    settings_version: Option<u64>,
    needs_raised_ms: u64,
    workspaces: BTreeMap<Workspace, QuotaGrant>,
}

struct QuotaGrant {
    /// Resources requested for a waiting task, in percent of its declared size; doubles while the grant is too small
    /// for the scheduler.
    need_percent: u64,
    /// Part of the quota that the workspace's row grants to this pool.
    granted: Resources,
    /// Last share passed to the scheduler.
    applied: Option<WorkspaceShare>,
    request_in_flight: bool,
    requested_ms: Option<u64>,
    idle_since_ms: Option<u64>,
    /// The workspace's row was read since the takeover.
    row_read: bool,
}

impl Default for QuotaGrant {
    fn default() -> Self {
        Self {
            need_percent: INITIAL_NEED_PERCENT,
            granted: Resources::ZERO,
            applied: None,
            request_in_flight: false,
            requested_ms: None,
            idle_since_ms: None,
            row_read: false,
        }
    }
}

impl PoolOwner {
    fn is_single_pool(&self) -> bool {
        self.shared.cfg.pools.len() <= 1
    }

    /// Passes the workspaces' weights and quotas to the scheduler after a change of the settings.
    pub fn refresh_workspaces(&mut self) {
        let settings = self.shared.settings.current();
        if self.quota_grants.settings_version == Some(settings.version) {
            return;
        }
        self.quota_grants.settings_version = Some(settings.version);
        for workspace in settings.settings.workspaces.keys() {
            self.quota_grants
                .workspaces
                .entry(workspace.clone())
                .or_default();
            self.update_scheduler_share(workspace);
        }
    }

    fn update_scheduler_share(&mut self, workspace: &Workspace) {
        let settings = self.shared.settings.current();
        let Some(branch) = settings.settings.workspaces.get(workspace) else {
            return;
        };
        let is_single = self.is_single_pool();
        let Some(grant) = self.quota_grants.workspaces.get_mut(workspace) else {
            return;
        };
        let applied = WorkspaceShare {
            workspace: workspace.clone(),
            weight: branch.weight,
            quota: if is_single {
                branch.quota
            } else {
                grant.granted
            },
        };
        if grant.applied.as_ref() != Some(&applied) {
            grant.applied = Some(applied.clone());
            self.scheduler.upsert_workspace(applied);
        }
    }

    /// Requests more of the quotas that jobs wait for, and returns parts that were unused for the idle time.
    pub fn adjust_quota_grants(&mut self, now_ms: u64) {
        if self.is_single_pool() || self.quota_grants.workspaces.is_empty() {
            return;
        }
        if now_ms >= self.quota_grants.needs_raised_ms + REQUEST_RETRY_MS {
            self.quota_grants.needs_raised_ms = now_ms;
            self.raise_blocked_needs();
        }
        let settings = self.shared.settings.current();
        let mut demand = self.demand();
        for (workspace, branch) in &settings.settings.workspaces {
            let requested =
                component_min(demand.remove(workspace).unwrap_or_default(), branch.quota);
            let idle_ms = self.shared.cfg.timings.quota_idle_ms;
            let Some(grant) = self.quota_grants.workspaces.get_mut(workspace) else {
                continue;
            };
            let needs_more = !requested.fits_in(&grant.granted);
            let can_return = grant.row_read && !needs_more && grant.granted != requested;
            if !can_return {
                grant.idle_since_ms = None;
            }
            let since_ms = *grant.idle_since_ms.get_or_insert(now_ms);
            let due = if needs_more {
                grant
                    .requested_ms
                    .is_none_or(|requested_ms| now_ms >= requested_ms + REQUEST_RETRY_MS)
            } else {
                can_return && now_ms >= since_ms + idle_ms
            };
            if grant.request_in_flight || !due {
                continue;
            }
            grant.request_in_flight = true;
            grant.requested_ms = Some(now_ms);
            if can_return {
                // Lower the scheduler's limit before other pools can acquire the returned part.
                grant.granted = requested;
                self.update_scheduler_share(workspace);
            }
            self.request_grant(workspace.clone(), requested, branch.quota);
        }
    }

    /// Resources held by each workspace's runs and needed by its waiting tasks.
    fn demand(&self) -> BTreeMap<Workspace, Resources> {
        let mut demand: BTreeMap<Workspace, Resources> = BTreeMap::new();
        for job in self.jobs.values() {
            let sum = demand.entry(job.spec.workspace.clone()).or_default();
            let held = job
                .running
                .iter()
                .filter_map(|index| self.runs.get(&task_id(&job.spec.id, *index)));
            held.for_each(|run| *sum += run.resources);
            let started = job.succeeded.len() + job.running.len();
            let waiting = (job.spec.tasks as usize).saturating_sub(started);
            if !job.state.is_final() && waiting > 0 {
                let percent = self
                    .quota_grants
                    .workspaces
                    .get(&job.spec.workspace)
                    .map_or(0, |grant| grant.need_percent);
                let need = job.spec.resources.checked_mul(waiting as u64 * percent);
                *sum += need.map_or(Resources::ZERO, |need| div_ceil_100(&need));
            }
        }
        demand
    }

    /// Raises the requested resources of workspaces whose waiting tasks the scheduler finds too large for the grant.
    fn raise_blocked_needs(&mut self) {
        let now_ms = self.shared.now_ms();
        let mut blocked = BTreeSet::new();
        let mut waiting = BTreeSet::new();
        for job in self.jobs.values().filter(|job| !job.state.is_final()) {
            if job.succeeded.len() + job.running.len() >= job.spec.tasks as usize {
                continue;
            }
            waiting.insert(job.spec.workspace.clone());
            let reason = self.scheduler.explain(&job.spec.id, now_ms);
            if matches!(
                reason,
                Some(WaitReason::QuotaInUse { .. } | WaitReason::LargerThanQuota { .. })
            ) {
                blocked.insert(job.spec.workspace.clone());
            }
        }
        for (workspace, grant) in &mut self.quota_grants.workspaces {
            if !waiting.contains(workspace) {
                grant.need_percent = INITIAL_NEED_PERCENT;
            } else if blocked.contains(workspace) && grant.row_read && !grant.request_in_flight {
                grant.need_percent = (grant.need_percent * 2).min(MAX_NEED_PERCENT);
            }
        }
    }

    fn request_grant(&self, workspace: Workspace, requested: Resources, quota: Resources) {
        let (shared, handle) = (Arc::clone(&self.shared), Arc::clone(&self.handle));
        spawn(async move {
            let row = match change_grant(&shared, &workspace, &handle.pool, requested, quota).await
            {
                Ok(row) => row,
                Err(err) => {
                    log_event!(shared.log, QUOTA_FAILED; "workspace" => workspace.as_str(),
                        "error" => err.to_string());
                    None
                }
            };
            let _ = handle
                .sender()
                .send(Message::QuotaGranted { workspace, row })
                .await;
        })
        .detach();
    }

    pub fn quota_granted(&mut self, workspace: &Workspace, row: Option<QuotaRow>) {
        let pool = self.cfg.pool.clone();
        let Some(grant) = self.quota_grants.workspaces.get_mut(workspace) else {
            return;
        };
        grant.request_in_flight = false;
        grant.idle_since_ms = None;
        if let Some(row) = row {
            grant.row_read = true;
            grant.granted = row.grants.get(&pool).copied().unwrap_or_default();
            self.update_scheduler_share(workspace);
        }
    }
}

/// Sets this pool's grant to `requested`, or as close as the grants of other pools allow.
///
/// Each attempt reads the row first, which also resolves an earlier write with a lost answer. Returns the row after
/// the change, or `None` if another pool changed it concurrently.
async fn change_grant(
    shared: &Shared,
    workspace: &Workspace,
    pool: &Pool,
    requested: Resources,
    quota: Resources,
) -> Result<Option<QuotaRow>, PlatformError> {
    let key = rows::quota_key(workspace);
    let found = with_timeout("read quota", shared.table.get(&key)).await?;
    let version = found.as_ref().map_or(0, |row| row.version);
    let decoded = found
        .as_ref()
        .and_then(|row| rows::decode::<QuotaRow>(row).ok());
    let mut row = decoded.unwrap_or_default();
    let others = (row.grants.iter())
        .filter(|(other, _)| *other != pool)
        .fold(Resources::ZERO, |sum, (_, grant)| sum + *grant);
    let granted = component_min(requested, quota.saturating_sub(&others));
    if row.grants.get(pool).copied().unwrap_or_default() == granted {
        return Ok(Some(row));
    }
    row.grants.insert(pool.clone(), granted);
    let txn = Txn {
        checks: vec![rows::check(&key, version)],
        writes: vec![rows::put(&key, &row)],
    };
    match with_timeout("change quota", shared.table.commit(txn)).await? {
        TxnOutcome::Committed { .. } => Ok(Some(row)),
        TxnOutcome::Conflict { .. } => Ok(None),
    }
}

fn div_ceil_100(amount: &Resources) -> Resources {
    amount.map(|it| it.div_ceil(100))
}

/// Component-wise minimum.
fn component_min(first: Resources, second: Resources) -> Resources {
    first.zip_with(&second, u64::min)
}
