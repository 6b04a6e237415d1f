//! Fair-share weights, quotas and usage of workspaces.

use {
    crate::{WorkspaceShare, arena::Arena},
    ragwortreel_model::{Resources, Workspace},
    std::collections::{BTreeMap, BTreeSet},
};

/// Factor by which a share is multiplied before the division by the weight, to keep precision. At a weight of one
/// million, a weighted share is the share of the pool in millionths.
const WEIGHT_SCALE: u64 = 1_000_000;

/// A workspace with its usage and its non-empty job classes by state.
#[derive(Debug, Clone)]
pub struct WorkspaceEntry {
    /// Weight and quota of the workspace.
    pub share: WorkspaceShare,
    /// Resources allocated to its runs.
    pub used: Resources,
    /// Time of the last start of one of its tasks, in ms.
    pub last_start_ms: u64,
    /// Job classes that wait for room on workers.
    pub waiting: BTreeSet<u32>,
    /// Job classes whose next start would exceed the quota.
    pub quota_blocked: BTreeSet<u32>,
    /// Job classes that cannot start unless worker sizes or quotas change.
    pub unschedulable: BTreeSet<u32>,
}

impl WorkspaceEntry {
    /// Dominant share of `total` in millionths, multiplied by `WEIGHT_SCALE` and divided by the weight.
    pub fn weighted_share(&self, total: &Resources) -> u64 {
        let ppm = self.used.dominant_share_ppm(total);
        ppm.saturating_mul(WEIGHT_SCALE) / u64::from(self.share.weight.max(1))
    }

    /// Returns whether the unused quota suffices for `need`.
    pub fn has_quota(&self, need: &Resources) -> bool {
        let unused = self.share.quota.checked_sub(&self.used);
        unused.is_some_and(|unused| need.fits_in(&unused))
    }
}

/// All workspaces of a pool.
#[derive(Debug, Clone, Default)]
pub struct Workspaces {
    table: Arena<WorkspaceEntry>,
    by_name: BTreeMap<Workspace, u32>,
}

impl Workspaces {
    /// Returns the workspace at an index; panics if there is none.
    pub fn get(&self, ix: u32) -> &WorkspaceEntry {
        &self.table[ix]
    }

    /// Returns the workspace at an index for changes; panics if there is none.
    pub fn get_mut(&mut self, ix: u32) -> &mut WorkspaceEntry {
        &mut self.table[ix]
    }

    /// Returns the index of a workspace.
    pub fn find(&self, workspace: &Workspace) -> Option<u32> {
        self.by_name.get(workspace).copied()
    }

    /// Returns the indexes of all workspaces, ordered by name.
    pub fn indexes(&self) -> Vec<u32> {
        self.by_name.values().copied().collect()
    }

    /// Adds a workspace, or changes its weight and quota; returns its index.
    pub fn upsert(&mut self, share: WorkspaceShare) -> u32 {
        if let Some(ix) = self.find(&share.workspace) {
            self.table[ix].share = share;
            return ix;
        }
        let name = share.workspace.clone();
        let ix = self.table.insert(WorkspaceEntry {
            share,
            used: Resources::ZERO,
            last_start_ms: 0,
            waiting: BTreeSet::new(),
            quota_blocked: BTreeSet::new(),
            unschedulable: BTreeSet::new(),
        });
        self.by_name.insert(name, ix);
        ix
    }
}
