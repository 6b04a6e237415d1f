//! The parts of the workspaces' quotas that this pool may use.
//!
//! With one pool in the cell the whole quota is the pool's. Otherwise pools take and return parts by compare-and-set
//! on the workspace's row, so the sum of all parts stays within the quota.

use {
    crate::{
        events::QUOTA_FAILED,
        owner::{
            Message,
            pool::{PoolOwner, task},
        },
        rows::{self, QuotaRow},
        shared::Shared,
        store::limited,
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

/// What is asked for a waiting task, in percent of its declared size; the scheduler may reserve more than is declared.
const NEED_PERCENT: u64 = 200;
/// Most that is asked for a waiting task, in percent of its declared size.
const MAX_NEED_PERCENT: u64 = 6_400;
/// Wait between two attempts to get more of a quota that is in use elsewhere, in ms.
const RETRY_MS: u64 = 1_000;

#[derive(Default)]
pub(crate) struct Shares {
    version: Option<u64>,
    raised_ms: u64,
    workspaces: BTreeMap<Workspace, Share>,
}

struct Share {
    /// What is asked for a waiting task; doubles while the scheduler finds the granted part too small.
    need_percent: u64,
    /// Part that the workspace's row grants to this pool.
    granted: Resources,
    /// What the scheduler was told last.
    told: Option<WorkspaceShare>,
    asking: bool,
    asked_ms: Option<u64>,
    idle_since_ms: Option<u64>,
    /// The row was read since the takeover.
    known: bool,
}

impl Default for Share {
    fn default() -> Self {
        Self {
            need_percent: NEED_PERCENT,
            granted: Resources::ZERO,
            told: None,
            asking: false,
            asked_ms: None,
            idle_since_ms: None,
            known: false,
        }
    }
}

impl PoolOwner {
    fn is_only_pool(&self) -> bool {
        self.shared.cfg.pools.len() <= 1
    }

    /// Tells the scheduler the workspaces' weights and quotas when the settings have changed.
    pub fn refresh_workspaces(&mut self) {
        let settings = self.shared.settings.current();
        if self.shares.version == Some(settings.version) {
            return;
        }
        self.shares.version = Some(settings.version);
        for workspace in settings.settings.workspaces.keys() {
            self.shares.workspaces.entry(workspace.clone()).or_default();
            self.tell_share(workspace);
        }
    }

    fn tell_share(&mut self, workspace: &Workspace) {
        let settings = self.shared.settings.current();
        let Some(branch) = settings.settings.workspaces.get(workspace) else {
            return;
        };
        let only = self.is_only_pool();
        let Some(share) = self.shares.workspaces.get_mut(workspace) else {
            return;
        };
        let told = WorkspaceShare {
            workspace: workspace.clone(),
            weight: branch.weight,
            quota: if only { branch.quota } else { share.granted },
        };
        if share.told.as_ref() != Some(&told) {
            share.told = Some(told.clone());
            self.scheduler.upsert_workspace(told);
        }
    }

    /// Asks for more of the quotas that jobs wait for, and returns what has had no use for a time.
    pub fn ask_for_shares(&mut self, now_ms: u64) {
        if self.is_only_pool() || self.shares.workspaces.is_empty() {
            return;
        }
        if now_ms >= self.shares.raised_ms + RETRY_MS {
            self.shares.raised_ms = now_ms;
            self.raise_needs();
        }
        let settings = self.shared.settings.current();
        let mut demand = self.demand();
        for (workspace, branch) in &settings.settings.workspaces {
            let wanted = least(demand.remove(workspace).unwrap_or_default(), branch.quota);
            let idle_ms = self.shared.cfg.timings.quota_idle_ms;
            let Some(share) = self.shares.workspaces.get_mut(workspace) else {
                continue;
            };
            let rises = !wanted.fits_in(&share.granted);
            let falls = share.known && !rises && share.granted != wanted;
            if !falls {
                share.idle_since_ms = None;
            }
            let since_ms = *share.idle_since_ms.get_or_insert(now_ms);
            let due = if rises {
                share
                    .asked_ms
                    .is_none_or(|asked_ms| now_ms >= asked_ms + RETRY_MS)
            } else {
                falls && now_ms >= since_ms + idle_ms
            };
            if share.asking || !due {
                continue;
            }
            share.asking = true;
            share.asked_ms = Some(now_ms);
            if falls {
                // The scheduler uses no more than is kept before the rest is offered to others.
                share.granted = wanted;
                self.tell_share(workspace);
            }
            self.ask(workspace.clone(), wanted, branch.quota);
        }
    }

    /// What the workspaces' runs hold and their waiting tasks need.
    fn demand(&self) -> BTreeMap<Workspace, Resources> {
        let mut demand: BTreeMap<Workspace, Resources> = BTreeMap::new();
        for job in self.jobs.values() {
            let sum = demand.entry(job.spec.workspace.clone()).or_default();
            let held = job
                .running
                .iter()
                .filter_map(|index| self.runs.get(&task(&job.spec.id, *index)));
            held.for_each(|run| *sum += run.resources);
            let ended = job.succeeded.len() + job.running.len();
            let waiting = (job.spec.tasks as usize).saturating_sub(ended);
            if !job.state.is_final() && waiting > 0 {
                let percent = self
                    .shares
                    .workspaces
                    .get(&job.spec.workspace)
                    .map_or(0, |share| share.need_percent);
                let need = job.spec.resources.checked_mul(waiting as u64 * percent);
                *sum += need.map_or(Resources::ZERO, |need| hundredth(&need));
            }
        }
        demand
    }

    /// Asks for more for the waiting tasks of workspaces whose granted part the scheduler finds too small.
    fn raise_needs(&mut self) {
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
        for (workspace, share) in &mut self.shares.workspaces {
            if !waiting.contains(workspace) {
                share.need_percent = NEED_PERCENT;
            } else if blocked.contains(workspace) && share.known && !share.asking {
                share.need_percent = (share.need_percent * 2).min(MAX_NEED_PERCENT);
            }
        }
    }

    fn ask(&self, workspace: Workspace, wanted: Resources, quota: Resources) {
        let (shared, handle) = (Arc::clone(&self.shared), Arc::clone(&self.handle));
        spawn(async move {
            let row = match change_grant(&shared, &workspace, &handle.pool, wanted, quota).await {
                Ok(row) => row,
                Err(err) => {
                    log_event!(shared.log, QUOTA_FAILED; "workspace" => workspace.as_str(),
                        "error" => err.to_string());
                    None
                }
            };
            let _ = handle
                .sender()
                .send(Message::Granted { workspace, row })
                .await;
        })
        .detach();
    }

    pub fn granted(&mut self, workspace: &Workspace, row: Option<QuotaRow>) {
        let pool = self.cfg.pool.clone();
        let Some(share) = self.shares.workspaces.get_mut(workspace) else {
            return;
        };
        share.asking = false;
        share.idle_since_ms = None;
        if let Some(row) = row {
            share.known = true;
            share.granted = row.grants.get(&pool).copied().unwrap_or_default();
            self.tell_share(workspace);
        }
    }
}

/// Sets this pool's part to `wanted`, or as near as the other pools' parts allow.
///
/// Each attempt begins with a reading, so a lost answer shows in the next one. Returns the row as it is now.
async fn change_grant(
    shared: &Shared,
    workspace: &Workspace,
    pool: &Pool,
    wanted: Resources,
    quota: Resources,
) -> Result<Option<QuotaRow>, PlatformError> {
    let key = rows::quota_key(workspace);
    let found = limited("read quota", shared.table.get(&key)).await?;
    let version = found.as_ref().map_or(0, |row| row.version);
    let decoded = found
        .as_ref()
        .and_then(|row| rows::decode::<QuotaRow>(row).ok());
    let mut row = decoded.unwrap_or_default();
    let others = (row.grants.iter())
        .filter(|(other, _)| *other != pool)
        .fold(Resources::ZERO, |sum, (_, grant)| sum + *grant);
    let granted = least(wanted, quota.saturating_sub(&others));
    if row.grants.get(pool).copied().unwrap_or_default() == granted {
        return Ok(Some(row));
    }
    row.grants.insert(pool.clone(), granted);
    let txn = Txn {
        checks: vec![rows::check(&key, version)],
        writes: vec![rows::put(&key, &row)],
    };
    match limited("change quota", shared.table.commit(txn)).await? {
        TxnOutcome::Committed { .. } => Ok(Some(row)),
        TxnOutcome::Conflict { .. } => Ok(None),
    }
}

fn hundredth(amount: &Resources) -> Resources {
    Resources::new(
        amount.milli_cores.div_ceil(100),
        amount.memory_mib.div_ceil(100),
        amount.accelerators.div_ceil(100),
    )
}

/// The smaller of each part.
fn least(first: Resources, second: Resources) -> Resources {
    Resources::new(
        first.milli_cores.min(second.milli_cores),
        first.memory_mib.min(second.memory_mib),
        first.accelerators.min(second.accelerators),
    )
}
