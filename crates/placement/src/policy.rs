//! Placement policies, one for each kind of job.

use {
    crate::capacity::SearchOrder,
    ragwortreel_model::{JobKind, Priority, Resources},
    std::fmt::Debug,
};

/// Maximum workers that a batch search compares, each from another bucket of the index. With 24 the packing is the same
/// and a decision costs twice as much in a pool of 12,000 workers.
const BATCH_CANDIDATES: usize = 8;
/// Maximum workers that a service search compares; covers a whole pool of 48 workers.
const SERVICE_CANDIDATES: usize = 64;
/// Cost of missing headroom, in millionths; each task of the same job in the rack costs twice as much. It exceeds every
/// difference in free capacity.
const COST_STEP: u64 = 1 << 24;

/// A worker with room for a task, as seen by a policy.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Free resources that remain once the task is placed.
    pub free_after: Resources,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Running tasks of the same job on the worker's rack; counted for services only.
    pub same_job_in_rack: u32,
}

/// Rules by which workers are chosen for one kind of job.
pub trait PlacementPolicy: Debug + Send {
    /// Order in which workers are searched.
    fn search_order(&self) -> SearchOrder;
    /// Maximum number of workers to compare for one task.
    fn max_candidates(&self) -> usize;
    /// Cost of a placement; the candidate with the lowest cost is chosen.
    fn cost(&self, candidate: &Candidate) -> u64;
    /// Returns whether a run of the given priority may be checkpointed to make room for other work.
    fn is_preemptible(&self, priority: Priority) -> bool;
}

/// Spreads the tasks of a service over racks and leaves free capacity on each worker.
#[derive(Debug)]
pub struct ServicePolicy {
    /// Share of a worker that stays free where possible, in millionths.
    pub headroom_ppm: u64,
}

impl PlacementPolicy for ServicePolicy {
    fn search_order(&self) -> SearchOrder {
        SearchOrder::MostFree
    }

    fn max_candidates(&self) -> usize {
        SERVICE_CANDIDATES
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
        let headroom_cost = if least < self.headroom_ppm {
            COST_STEP
        } else {
            0
        };
        u64::from(*same_job_in_rack) * 2 * COST_STEP
            + headroom_cost
            + 1_000_000_u64.saturating_sub(least)
    }

    fn is_preemptible(&self, _priority: Priority) -> bool {
        false
    }
}

/// Best fit: fills the workers with the least free capacity.
#[derive(Debug)]
pub struct BatchPolicy;

impl PlacementPolicy for BatchPolicy {
    fn search_order(&self) -> SearchOrder {
        SearchOrder::LeastFree
    }

    fn max_candidates(&self) -> usize {
        BATCH_CANDIDATES
    }

    fn cost(&self, candidate: &Candidate) -> u64 {
        candidate.free_after.dominant_share_ppm(&candidate.capacity)
    }

    fn is_preemptible(&self, priority: Priority) -> bool {
        priority != Priority::Urgent
    }
}

/// Packs the tasks of a gang. The scheduler places all of them or none.
#[derive(Debug)]
pub struct GangPolicy;

impl PlacementPolicy for GangPolicy {
    fn search_order(&self) -> SearchOrder {
        SearchOrder::LeastFree
    }

    fn max_candidates(&self) -> usize {
        usize::MAX
    }

    fn cost(&self, candidate: &Candidate) -> u64 {
        BatchPolicy.cost(candidate)
    }

    fn is_preemptible(&self, _priority: Priority) -> bool {
        false
    }
}

/// The policies of a pool by kind of job.
#[derive(Debug)]
pub struct Policies {
    services: Box<dyn PlacementPolicy>,
    batch: Box<dyn PlacementPolicy>,
    gangs: Box<dyn PlacementPolicy>,
}

impl Policies {
    /// Creates the policies; services leave `headroom_ppm` millionths of each worker free where possible.
    pub fn new(headroom_ppm: u64) -> Self {
        Self {
            services: Box::new(ServicePolicy { headroom_ppm }),
            batch: Box::new(BatchPolicy),
            gangs: Box::new(GangPolicy),
        }
    }

    /// Returns the policy for a kind of job.
    pub fn for_kind(&self, kind: JobKind) -> &dyn PlacementPolicy {
        match kind {
            JobKind::Service => &*self.services,
            JobKind::Batch => &*self.batch,
            JobKind::Gang => &*self.gangs,
        }
    }
}
