//! Configuration of an instance's control plane.

use {
    ragwortreel_model::{Incarnation, InstanceId, Pool, WorkerId, Zone},
    ragwortreel_placement::PoolScheduler,
    ragwortreel_worker::TASK_LEASE_MS,
    std::{net::SocketAddr, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// Creates the scheduler of a pool.
pub type SchedulerFactory = Arc<dyn Fn(&Pool) -> Box<dyn PoolScheduler> + Send + Sync>;

/// Configuration of an instance's control plane.
#[derive(Debug, Clone)]
pub struct ControlConfig {
    /// Name of the instance; at most one process runs under a name at a time.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Region of the availability zone.
    pub region: Arc<str>,
    /// Address at which other entry instances reach it.
    pub address: SocketAddr,
    /// Identifies the process; must differ from the incarnations of earlier processes with the same name.
    pub incarnation: Incarnation,
    /// All availability zones of the cell with their regions.
    pub zones: Vec<ZoneConfig>,
    /// All pools of the cell.
    pub pools: Vec<PoolConfig>,
    /// Intervals and time limits of the control plane.
    pub timings: Timings,
    /// Bounds of queues and batches.
    pub limits: Limits,
}

/// An availability zone and its region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneConfig {
    /// Name of the availability zone.
    pub zone: Zone,
    /// Region of the availability zone.
    pub region: Arc<str>,
}

/// A pool: all workers of an availability zone, or one partition of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolConfig {
    /// Name of the pool.
    pub pool: Pool,
    /// Availability zone of the pool's workers.
    pub zone: Zone,
    /// Index of the pool's partition, starting at 0.
    pub partition: u32,
    /// Number of partitions of the availability zone's workers.
    pub partition_count: u32,
}

impl PoolConfig {
    /// Returns whether the worker's name hashes to this pool's partition; the worker must be in the pool's zone.
    #[must_use]
    pub fn contains_worker(&self, worker: &WorkerId) -> bool {
        let worker = worker.as_str();
        xxh3_64(worker.as_bytes()) % u64::from(self.partition_count.max(1))
            == u64::from(self.partition)
    }
}

/// Lists the pools of a cell: one per availability zone, or `pools_per_zone` with numbered names.
///
/// # Panics
///
/// Panics if a zone's name is too long for the appended partition number.
#[must_use]
pub fn pools_for_zones(zones: &[ZoneConfig], pools_per_zone: u32) -> Vec<PoolConfig> {
    let name = |zone: &Zone, partition: u32| match pools_per_zone {
        0 | 1 => zone.to_string(),
        _ => format!("{zone}-{partition}"),
    };
    let partition_count = pools_per_zone.max(1);
    let pool = |zone: &Zone, partition| PoolConfig {
        pool: Pool::new(&name(zone, partition))
            .expect("expected a zone name short enough to append the partition number"),
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
    /// Interval between two renewals of the instance's row.
    pub renewal_ms: u64,
    /// Interval between two scans of the control rows.
    pub scan_ms: u64,
    /// Interval between two heartbeats to each peer.
    pub heartbeat_ms: u64,
    /// Time without a change of an instance's row after which the instance counts as dead.
    pub lease_ms: u64,
    /// Additional delay per rank before an instance takes over a pool without an owner. Its rank is 0 in the pool's
    /// zone, 1 elsewhere in the zone's region and 2 in other regions.
    pub takeover_rank_delay_ms: u64,
    /// How long an owner keeps renewing running tasks after the last successful renewal of its own row.
    pub task_renewal_grace_ms: u64,
    /// Interval between two heartbeats to a worker whose state changes.
    pub worker_heartbeat_ms: u64,
    /// Time without a report after which a worker gets no new tasks.
    pub worker_silent_ms: u64,
    /// How long a worker runs tasks without a renewal.
    pub task_lease_ms: u64,
    /// Shortest interval between two writes of a pool's journal.
    pub journal_flush_ms: u64,
    /// Interval between two snapshots of a pool.
    pub snapshot_ms: u64,
    /// Interval between two reads of the platform's list.
    pub list_ms: u64,
    /// Time without demand after which a pool returns its unused part of a quota.
    pub quota_idle_ms: u64,
    /// Time without a renewal after which an instance's row is removed, unless another row refers to the instance.
    pub stale_row_ttl_ms: u64,
    /// Timeout of calls that a caller waits for, such as a job submission.
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
    /// Lease time as counted by the lease holder: 5% shorter than for observers, to allow for clock drift.
    #[must_use]
    pub const fn holder_lease_ms(&self) -> u64 {
        self.lease_ms - self.lease_ms / 20
    }

    /// Longest interval between two heartbeats to a worker that reports no changes, in ms.
    ///
    /// With 2 s, a lost heartbeat (given up after 1 s) is repeated before the worker counts as silent at 3.5 s. A
    /// takeover of 4.8 s that begins just before a heartbeat is due still renews the tasks in time: their lease counts
    /// from the previous report and so ends 8 s after the last heartbeat. With 2.5 s, the lost heartbeat would be
    /// given up only at the 3.5 s limit and the takeover would be in time by only 0.2 s.
    #[must_use]
    pub const fn idle_heartbeat_ms(&self) -> u64 {
        2 * self.worker_heartbeat_ms
    }

    /// Time after which a worker's tasks have certainly stopped without a renewal; includes 5% for drift of the
    /// worker's clock.
    #[must_use]
    pub const fn task_lease_expiry_ms(&self) -> u64 {
        self.task_lease_ms + self.task_lease_ms / 20
    }
}

/// Bounds of queues and batches.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Journal records after which a snapshot is written.
    pub snapshot_records: usize,
    /// Scheduling decisions per iteration of a pool owner's loop.
    pub decisions_per_iteration: usize,
    /// Submissions of a pool whose job rows are being written; further submissions are refused.
    pub pending_submissions: usize,
    /// Ended jobs whose rows a pool retains; older rows are removed.
    pub ended_jobs: usize,
    /// Failed runs after which a job fails.
    pub max_failed_runs: u32,
    /// Capacity of a pool owner's message queue.
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
