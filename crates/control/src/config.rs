//! What an instance's control part is told at its start.

use {
    ragwortreel_model::{Incarnation, InstanceId, Pool, WorkerId, Zone},
    ragwortreel_placement::PoolScheduler,
    ragwortreel_worker::TASK_LEASE_MS,
    std::{net::SocketAddr, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// Makes the scheduler of a pool.
pub type SchedulerFactory = Arc<dyn Fn(&Pool) -> Box<dyn PoolScheduler> + Send + Sync>;

/// Configuration of an instance's control part.
#[derive(Debug, Clone)]
pub struct ControlConfig {
    /// Name of the instance; no two processes run under one name at a time.
    pub instance: InstanceId,
    /// Zone of the instance.
    pub zone: Zone,
    /// Region of the instance.
    pub region: Arc<str>,
    /// Address at which other entry instances reach it.
    pub address: SocketAddr,
    /// Differs from the incarnation of every earlier process of the same name.
    pub incarnation: Incarnation,
    /// All zones with their regions.
    pub zones: Vec<ZoneConfig>,
    /// All pools.
    pub pools: Vec<PoolConfig>,
    /// Intervals and time limits.
    pub timings: Timings,
    /// Bounds of queues.
    pub limits: Limits,
}

/// A zone and its region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneConfig {
    /// The zone.
    pub zone: Zone,
    /// Its region.
    pub region: Arc<str>,
}

/// A pool: the workers of a zone, or a part of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolConfig {
    /// The pool.
    pub pool: Pool,
    /// Zone of its workers.
    pub zone: Zone,
    /// Number of this part, from 0.
    pub partition: u32,
    /// Number of parts that the zone's workers are divided into.
    pub partition_count: u32,
}

impl PoolConfig {
    /// Whether a worker of the zone belongs to this pool.
    #[must_use]
    pub fn contains_worker(&self, worker: &WorkerId) -> bool {
        let worker = worker.as_str();
        xxh3_64(worker.as_bytes()) % u64::from(self.partition_count.max(1))
            == u64::from(self.partition)
    }
}

/// Makes the pools of a cell: one a zone, or `pools_per_zone` with numbered names.
///
/// # Panics
///
/// Panics when a zone's name is too long to take the number.
#[must_use]
pub fn pools_for_zones(zones: &[ZoneConfig], pools_per_zone: u32) -> Vec<PoolConfig> {
    let name = |zone: &Zone, partition: u32| match pools_per_zone {
        0 | 1 => zone.to_string(),
        _ => format!("{zone}-{partition}"),
    };
    let partition_count = pools_per_zone.max(1);
    let pool = |zone: &Zone, partition| PoolConfig {
        pool: Pool::new(&name(zone, partition))
            .expect("a zone's name is short enough for a number"),
        zone: zone.clone(),
        partition,
        partition_count,
    };
    zones
        .iter()
        .flat_map(|zone| (0..partition_count).map(|partition| pool(&zone.zone, partition)))
        .collect()
}

/// Intervals and time limits, all in ms.
#[derive(Debug, Clone, Copy)]
pub struct Timings {
    /// Between two renewals of the instance's row.
    pub renewal_ms: u64,
    /// Between two scans of the control rows.
    pub scan_ms: u64,
    /// Between two heartbeats to each peer.
    pub heartbeat_ms: u64,
    /// Without a change of its row after which an instance counts as dead.
    pub lease_ms: u64,
    /// That the next rank of candidates waits longer before it takes over a pool.
    pub takeover_rank_delay_ms: u64,
    /// That an owner renews running tasks after its last successful renewal.
    pub task_renewal_grace_ms: u64,
    /// Between two heartbeats to each worker while something changes on it.
    pub worker_heartbeat_ms: u64,
    /// Without an answer after which a worker gets no new tasks.
    pub worker_silent_ms: u64,
    /// That a worker runs tasks without a renewal.
    pub task_lease_ms: u64,
    /// Between two writes of a pool's journal.
    pub journal_flush_ms: u64,
    /// Between two snapshots of a pool.
    pub snapshot_ms: u64,
    /// Between two readings of the platform's list.
    pub list_ms: u64,
    /// Without demand after which a pool returns a part of a quota.
    pub quota_idle_ms: u64,
    /// Without a renewal after which the row of an instance that no other row names is removed.
    pub stale_row_ttl_ms: u64,
    /// For a call whose caller waits, such as a submission.
    pub call_timeout_ms: u64,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            renewal_ms: 1_000,
            scan_ms: 500,
            heartbeat_ms: 500,
            lease_ms: 3_000,
            takeover_rank_delay_ms: 1_500,
            task_renewal_grace_ms: 75 * 60 * 1_000,
            worker_heartbeat_ms: 1_000,
            worker_silent_ms: 3_500,
            task_lease_ms: TASK_LEASE_MS,
            journal_flush_ms: 100,
            snapshot_ms: 60_000,
            list_ms: 1_000,
            quota_idle_ms: 5_000,
            stale_row_ttl_ms: 10 * 60 * 1_000,
            call_timeout_ms: 4_000,
        }
    }
}

impl Timings {
    /// Time that the holder of a lease counts on: 5% less than others wait, for the drift between clocks.
    #[must_use]
    pub const fn holder_lease_ms(&self) -> u64 {
        self.lease_ms - self.lease_ms / 20
    }

    /// Longest time between two heartbeats to a worker on which nothing changes, in ms.
    ///
    /// With 2 s a lost heartbeat, which is given up after 1 s, is repeated before the worker counts as silent (3.5 s).
    /// A takeover of 4.8 s that begins right before a heartbeat is due still renews the tasks in time: their lease
    /// ends 8 s after the last heartbeat, because it counts from the report before. With 2.5 s the lost heartbeat would be
    /// given up only at the silent limit, and the takeover would be in time by 0.2 s only.
    #[must_use]
    pub const fn idle_heartbeat_ms(&self) -> u64 {
        2 * self.worker_heartbeat_ms
    }

    /// Time after which a worker's tasks have certainly ended without a renewal, with 5% for the drift of its clock.
    #[must_use]
    pub const fn task_lease_expiry_ms(&self) -> u64 {
        self.task_lease_ms + self.task_lease_ms / 20
    }
}

/// Bounds of queues and records.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Journal records after which a snapshot is written.
    pub snapshot_records: usize,
    /// Decisions taken in one turn.
    pub decisions_per_iteration: usize,
    /// Submissions and cancellations of a pool whose rows are being written.
    pub pending_submissions: usize,
    /// Ended jobs of a pool whose rows are kept; older ones are removed.
    pub ended_jobs: usize,
    /// Failed runs after which a job fails.
    pub max_failed_runs: u32,
    /// Messages that wait for a pool's owner.
    pub owner_queue_capacity: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            snapshot_records: 1_000,
            decisions_per_iteration: 256,
            pending_submissions: 256,
            ended_jobs: 1_000,
            max_failed_runs: 100,
            owner_queue_capacity: 4_096,
        }
    }
}
