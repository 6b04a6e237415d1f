//! An instance's view of the control rows.
//!
//! All times are on the observer's monotonic clock. An instance counts as dead when its row has not changed for the
//! lease time while the observer could read the rows. After a gap between reads the time starts anew, because an
//! outage of the table service stops the renewals of all instances.

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

/// An instance's row and the time of its last observed change.
#[derive(Debug, Clone)]
pub(crate) struct ObservedInstance {
    pub row: InstanceRow,
    pub version: u64,
    pub changed_ms: u64,
}

/// A row and its version in the table.
#[derive(Debug, Clone)]
pub(crate) struct Versioned<T> {
    pub row: T,
    pub version: u64,
}

/// The control rows from the last scan.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    pub instances: BTreeMap<InstanceId, ObservedInstance>,
    pub pools: BTreeMap<Pool, Versioned<PoolRow>>,
    /// For each pool, an epoch before which all owners have certainly stopped renewing tasks.
    pub settled: BTreeMap<Pool, Epoch>,
    pub slots: BTreeMap<Zone, Versioned<SlotsRow>>,
    pub head: Option<HeadRow>,
    pub drained: BTreeSet<WorkerId>,
    /// When the last successful scan began.
    pub read_started_ms: Option<u64>,
    /// Keys of rows that failed to decode.
    pub unreadable: Vec<String>,
}

impl View {
    /// Replaces the view with the rows of a scan that began at `begun_ms` and was answered at `now_ms`.
    pub fn observe(&mut self, rows: &[Row], begun_ms: u64, now_ms: u64, max_gap_ms: u64) {
        let after_gap = self
            .read_started_ms
            .is_none_or(|read_started_ms| begun_ms.saturating_sub(read_started_ms) > max_gap_ms);
        let earlier = std::mem::take(self);
        self.read_started_ms = Some(begun_ms);
        for row in rows {
            if !self.insert_row(row, &earlier, after_gap, now_ms) {
                self.unreadable.push(row.key.to_string());
            }
        }
    }

    fn insert_row(&mut self, row: &Row, earlier: &Self, after_gap: bool, now_ms: u64) -> bool {
        let version = row.version;
        if *row.key == *SETTINGS_HEAD {
            self.head = rows::decode(row).ok();
            return self.head.is_some();
        }
        let name_after = |prefix| row.key.strip_prefix(prefix);
        if let Some(id) = name_after(INSTANCES).and_then(|name| InstanceId::new(name).ok()) {
            let Ok(row) = rows::decode::<InstanceRow>(row) else {
                return false;
            };
            let before = earlier.instances.get(&id).filter(|_| !after_gap);
            let same = before.filter(|before| before.row == row);
            let changed_ms = same.map_or(now_ms, |before| before.changed_ms);
            self.instances.insert(
                id,
                ObservedInstance {
                    row,
                    version,
                    changed_ms,
                },
            );
        } else if let Some(pool) = name_after(POOLS).and_then(|name| Pool::new(name).ok()) {
            let Ok(row) = rows::decode(row) else {
                return false;
            };
            self.pools.insert(pool, Versioned { row, version });
        } else if let Some(pool) = name_after(SETTLED).and_then(|name| Pool::new(name).ok()) {
            let Ok(epoch) = rows::decode(row) else {
                return false;
            };
            self.settled.insert(pool, epoch);
        } else if let Some(zone) = name_after(SLOTS).and_then(|name| Zone::new(name).ok()) {
            let Ok(row) = rows::decode(row) else {
                return false;
            };
            self.slots.insert(zone, Versioned { row, version });
        } else if let Some(worker) =
            name_after(rows::DRAINS).and_then(|name| WorkerId::new(name).ok())
        {
            self.drained.insert(worker);
        } else {
            return false;
        }
        true
    }

    /// Returns whether the instance's row was renewed within the lease time and is not fenced.
    pub fn is_live(&self, id: &InstanceId, now_ms: u64, lease_ms: u64) -> bool {
        self.instances.get(id).is_some_and(|observed| {
            !observed.row.fenced && now_ms.saturating_sub(observed.changed_ms) < lease_ms
        })
    }

    /// Previous owners of a pool that may still renew its tasks, judged by the rows without the platform's list.
    pub fn unproven_owners(&self, pool: &Pool) -> &[PreviousOwner] {
        let Some(found) = self.pools.get(pool) else {
            return &[];
        };
        let is_settled = self
            .settled
            .get(pool)
            .is_some_and(|epoch| *epoch >= found.row.epoch);
        if is_settled { &[] } else { &found.row.unproven }
    }

    /// Key and version of an instance row that is stale and that no other row refers to.
    pub fn removable_instance_row(
        &self,
        now_ms: u64,
        stale_row_ttl_ms: u64,
    ) -> Option<(Arc<str>, u64)> {
        let mut referenced = BTreeSet::new();
        for (pool, found) in &self.pools {
            referenced.extend(
                self.unproven_owners(pool)
                    .iter()
                    .map(|previous| &previous.owner),
            );
            referenced.insert(&found.row.owner);
        }
        referenced.extend(self.slots.values().flat_map(|found| &found.row.members));
        let is_old = |observed: &ObservedInstance| {
            now_ms.saturating_sub(observed.changed_ms) >= stale_row_ttl_ms
        };
        let mut rows = self.instances.iter();
        let (id, observed) =
            rows.find(|(id, observed)| is_old(observed) && !referenced.contains(id))?;
        Some((rows::instance_key(id), observed.version))
    }

    /// Returns whether the process with this name and incarnation has certainly ended or relinquished everything: its
    /// row was removed or has another incarnation.
    pub fn has_ended(&self, id: &InstanceId, incarnation: Incarnation) -> bool {
        self.read_started_ms.is_some()
            && self
                .instances
                .get(id)
                .is_none_or(|observed| observed.row.incarnation != incarnation)
    }
}
