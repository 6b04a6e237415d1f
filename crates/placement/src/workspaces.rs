//! Workspaces with their quotas and shares.

use {
    crate::{WorkspaceShare, arena::Arena},
    ragwortreel_model::{Resources, Workspace},
    std::collections::{BTreeMap, BTreeSet},
};

/// Unit of a weighted share: millionths of the pool at a weight of one million.
const WEIGHT_SCALE: u64 = 1_000_000;

/// A workspace with what it uses.
#[derive(Debug, Clone)]
pub struct WorkspaceEntry {
    /// Its weight and quota.
    pub share: WorkspaceShare,
    /// Sum of its reservations.
    pub used: Resources,
    /// Last start, in ms.
    pub last_start_ms: u64,
    /// Lanes that wait for room.
    pub waiting: BTreeSet<u32>,
    /// Lanes that wait for the quota.
    pub quota_blocked: BTreeSet<u32>,
    /// Lanes that can never start unless sizes or quotas change.
    pub unschedulable: BTreeSet<u32>,
}

impl WorkspaceEntry {
    /// Dominant share of `total` divided by the weight.
    pub fn weighted_share(&self, total: &Resources) -> u64 {
        let ppm = self.used.dominant_share_ppm(total);
        ppm.saturating_mul(WEIGHT_SCALE) / u64::from(self.share.weight.max(1))
    }

    /// Whether the quota leaves room for `need`.
    pub fn has_quota(&self, need: &Resources) -> bool {
        let left = self.share.quota.checked_sub(&self.used);
        left.is_some_and(|left| need.fits_in(&left))
    }
}

/// All workspaces of a pool.
#[derive(Debug, Clone, Default)]
pub struct Workspaces {
    table: Arena<WorkspaceEntry>,
    by_name: BTreeMap<Workspace, u32>,
}

impl Workspaces {
    /// The workspace at an index.
    pub fn get(&self, ix: u32) -> &WorkspaceEntry {
        &self.table[ix]
    }

    /// The workspace at an index, for changes.
    pub fn get_mut(&mut self, ix: u32) -> &mut WorkspaceEntry {
        &mut self.table[ix]
    }

    /// Index of a workspace.
    pub fn find(&self, workspace: &Workspace) -> Option<u32> {
        self.by_name.get(workspace).copied()
    }

    /// Indexes of all workspaces.
    pub fn indexes(&self) -> Vec<u32> {
        self.by_name.values().copied().collect()
    }

    /// Adds or changes a workspace; returns its index.
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
