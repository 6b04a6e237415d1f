//! What an instance knows from the control rows.
//!
//! All times are of the observer's own monotonic clock. An instance counts as dead when its row has not changed for
//! the lease time while the observer could read the rows. After a gap in the observer's readings the time starts
//! anew, because a table outage stops everyone's renewals.

use {
    crate::rows::{
        self, HeadRow, INSTANCES, InstanceRow, POOLS, PoolRow, PreviousOwner, SETTINGS_HEAD,
        SETTLED, SLOTS, SlotsRow,
    },
    ragwortreel_model::{Epoch, Incarnation, InstanceId, Pool, WorkerId, Zone},
    ragwortreel_platform::Row,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// An instance's row and when it last changed.
#[derive(Debug, Clone)]
pub(crate) struct Observed {
    pub row: InstanceRow,
    pub version: u64,
    pub changed_ms: u64,
}

/// A row with its version.
#[derive(Debug, Clone)]
pub(crate) struct Versioned<T> {
    pub row: T,
    pub version: u64,
}

/// The control rows as last read.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    pub instances: BTreeMap<InstanceId, Observed>,
    pub pools: BTreeMap<Pool, Versioned<PoolRow>>,
    /// Epochs whose unproven earlier owners have certainly stopped since.
    pub settled: BTreeMap<Pool, Epoch>,
    pub slots: BTreeMap<Zone, Versioned<SlotsRow>>,
    pub head: Option<HeadRow>,
    pub drained: BTreeSet<WorkerId>,
    /// When the last successful reading was begun.
    pub read_ms: Option<u64>,
    /// Keys of rows that could not be understood.
    pub unreadable: Vec<String>,
}

impl View {
    /// Takes over the rows of a reading that was begun at `begun_ms` and answered at `now_ms`.
    pub fn observe(&mut self, rows: &[Row], begun_ms: u64, now_ms: u64, longest_gap_ms: u64) {
        let gap = self
            .read_ms
            .is_none_or(|read_ms| begun_ms.saturating_sub(read_ms) > longest_gap_ms);
        let earlier = std::mem::take(self);
        self.read_ms = Some(begun_ms);
        for row in rows {
            if !self.take_row(row, &earlier, gap, now_ms) {
                self.unreadable.push(row.key.to_string());
            }
        }
    }

    fn take_row(&mut self, row: &Row, earlier: &Self, gap: bool, now_ms: u64) -> bool {
        let version = row.version;
        if *row.key == *SETTINGS_HEAD {
            self.head = rows::decode(row).ok();
            return self.head.is_some();
        }
        let named = |prefix| row.key.strip_prefix(prefix);
        if let Some(id) = named(INSTANCES).and_then(|name| InstanceId::new(name).ok()) {
            let Ok(row) = rows::decode::<InstanceRow>(row) else {
                return false;
            };
            let before = earlier.instances.get(&id).filter(|_| !gap);
            let same = before.filter(|before| before.row == row);
            let changed_ms = same.map_or(now_ms, |before| before.changed_ms);
            self.instances.insert(
                id,
                Observed {
                    row,
                    version,
                    changed_ms,
                },
            );
        } else if let Some(pool) = named(POOLS).and_then(|name| Pool::new(name).ok()) {
            let Ok(row) = rows::decode(row) else {
                return false;
            };
            self.pools.insert(pool, Versioned { row, version });
        } else if let Some(pool) = named(SETTLED).and_then(|name| Pool::new(name).ok()) {
            let Ok(epoch) = rows::decode(row) else {
                return false;
            };
            self.settled.insert(pool, epoch);
        } else if let Some(zone) = named(SLOTS).and_then(|name| Zone::new(name).ok()) {
            let Ok(row) = rows::decode(row) else {
                return false;
            };
            self.slots.insert(zone, Versioned { row, version });
        } else if let Some(worker) = named(rows::DRAINS).and_then(|name| WorkerId::new(name).ok()) {
            self.drained.insert(worker);
        } else {
            return false;
        }
        true
    }

    /// Whether the instance's row was renewed within the lease time and is not fenced.
    pub fn is_live(&self, id: &InstanceId, now_ms: u64, lease_ms: u64) -> bool {
        self.instances.get(id).is_some_and(|seen| {
            !seen.row.fenced && now_ms.saturating_sub(seen.changed_ms) < lease_ms
        })
    }

    /// Earlier owners of a pool that may still renew its tasks, by the rows alone.
    pub fn unproven(&self, pool: &Pool) -> &[PreviousOwner] {
        let Some(found) = self.pools.get(pool) else {
            return &[];
        };
        let is_settled = self
            .settled
            .get(pool)
            .is_some_and(|epoch| *epoch >= found.row.epoch);
        if is_settled { &[] } else { &found.row.unproven }
    }

    /// Key and version of the row of an instance that has not renewed it for a long time and that no row names.
    pub fn old_instance(&self, now_ms: u64, stale_row_ttl_ms: u64) -> Option<(Arc<str>, u64)> {
        let mut named = BTreeSet::new();
        for (pool, found) in &self.pools {
            named.extend(self.unproven(pool).iter().map(|previous| &previous.owner));
            named.insert(&found.row.owner);
        }
        named.extend(self.slots.values().flat_map(|found| &found.row.members));
        let is_old = |seen: &Observed| now_ms.saturating_sub(seen.changed_ms) >= stale_row_ttl_ms;
        let mut rows = self.instances.iter();
        let (id, seen) = rows.find(|(id, seen)| is_old(seen) && !named.contains(id))?;
        Some((rows::instance_key(id), seen.version))
    }

    /// Whether the process of that name and incarnation has certainly ended or given up everything.
    pub fn is_gone(&self, id: &InstanceId, incarnation: Incarnation) -> bool {
        self.read_ms.is_some()
            && self
                .instances
                .get(id)
                .is_none_or(|seen| seen.row.incarnation != incarnation)
    }
}
