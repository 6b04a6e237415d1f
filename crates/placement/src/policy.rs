//! Placement policies, one for each kind of work.

use {
    crate::capacity::SearchOrder,
    ragwortreel_model::{JobKind, Priority, Resources},
    std::fmt::Debug,
};

/// Workers that a batch search compares, each from another cell of the index. With 24 the packing is the same and a
/// decision costs twice as much in a pool of 12,000 workers.
const TIGHT_CANDIDATES: usize = 8;
/// Workers that a service search compares; covers a whole pool of 48 workers.
const SPREAD_CANDIDATES: usize = 64;
/// Cost that outweighs every difference in free capacity, in millionths.
const STEP: u64 = 1 << 24;

/// A worker that has room for a task.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Free capacity after the task was placed.
    pub free_after: Resources,
    /// Everything that the worker has.
    pub capacity: Resources,
    /// Tasks of the same job on the worker's rack.
    pub same_job_in_rack: u32,
}

/// How one kind of work chooses among workers.
pub trait PlacementPolicy: Debug + Send {
    /// Order in which workers are searched.
    fn search_order(&self) -> SearchOrder;
    /// Most workers to compare for one task.
    fn max_candidates(&self) -> usize;
    /// Cost of the placement; the lowest wins.
    fn cost(&self, candidate: &Candidate) -> u64;
    /// Whether a run may be checkpointed for urgent work.
    fn is_preemptible(&self, priority: Priority) -> bool;
}

/// Spreads over racks and leaves free capacity on each worker.
#[derive(Debug)]
pub struct Services {
    /// Share of a worker that stays free where possible, in millionths.
    pub headroom_ppm: u64,
}

impl PlacementPolicy for Services {
    fn search_order(&self) -> SearchOrder {
        SearchOrder::MostFree
    }

    fn max_candidates(&self) -> usize {
        SPREAD_CANDIDATES
    }

    fn cost(&self, candidate: &Candidate) -> u64 {
        let Candidate {
            free_after,
            capacity,
            same_job_in_rack,
        } = candidate;
        let ppm =
            |free: u64, all: u64| free.saturating_mul(1_000_000).checked_div(all).unwrap_or(0);
        let least = ppm(free_after.milli_cores, capacity.milli_cores)
            .min(ppm(free_after.memory_mib, capacity.memory_mib));
        let crowded = if least < self.headroom_ppm { STEP } else { 0 };
        u64::from(*same_job_in_rack) * 2 * STEP + crowded + 1_000_000_u64.saturating_sub(least)
    }

    fn is_preemptible(&self, _priority: Priority) -> bool {
        false
    }
}

/// Fills the workers that have least room left.
#[derive(Debug)]
pub struct Batch;

impl PlacementPolicy for Batch {
    fn search_order(&self) -> SearchOrder {
        SearchOrder::LeastFree
    }

    fn max_candidates(&self) -> usize {
        TIGHT_CANDIDATES
    }

    fn cost(&self, candidate: &Candidate) -> u64 {
        candidate.free_after.dominant_share_ppm(&candidate.capacity)
    }

    fn is_preemptible(&self, priority: Priority) -> bool {
        priority != Priority::Urgent
    }
}

/// Packs the tasks of a gang; the scheduler takes all of them or none.
#[derive(Debug)]
pub struct Gangs;

impl PlacementPolicy for Gangs {
    fn search_order(&self) -> SearchOrder {
        SearchOrder::LeastFree
    }

    fn max_candidates(&self) -> usize {
        usize::MAX
    }

    fn cost(&self, candidate: &Candidate) -> u64 {
        Batch.cost(candidate)
    }

    fn is_preemptible(&self, _priority: Priority) -> bool {
        false
    }
}

/// The policies of a pool.
#[derive(Debug)]
pub struct Policies {
    services: Box<dyn PlacementPolicy>,
    batch: Box<dyn PlacementPolicy>,
    gangs: Box<dyn PlacementPolicy>,
}

impl Policies {
    /// Makes the policies for a share of headroom in millionths.
    pub fn new(headroom_ppm: u64) -> Self {
        Self {
            services: Box::new(Services { headroom_ppm }),
            batch: Box::new(Batch),
            gangs: Box::new(Gangs),
        }
    }

    /// The policy for a kind of work.
    pub fn of(&self, kind: JobKind) -> &dyn PlacementPolicy {
        match kind {
            JobKind::Service => &*self.services,
            JobKind::Batch => &*self.batch,
            JobKind::Gang => &*self.gangs,
        }
    }
}
