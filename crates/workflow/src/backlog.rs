//! Backlog of work that waits for worker capacity, published by the leader for admission control.

use {
    crate::{Load, Scheduler, admission::FreeWorkers, order::RankClass},
    ragwortreel_model::Resources,
    std::{collections::BTreeMap, sync::Arc},
};

/// Most groups of workers with equal free resources in the published load; bounds its size to about 1.5 KB. The groups with
/// the most free cores are published.
const MAX_FREE_GROUPS: usize = 48;

/// Waiting work and capacity of a service.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    /// Core-seconds of tasks that wait for capacity, by priority; excludes jobs whose results no longer have value, and
    /// jobs over the share of their workspace, which come after all others.
    pub(crate) by_priority: BTreeMap<u32, f64>,
    /// Cores of all schedulable workers.
    pub(crate) capacity_cores: f64,
    /// Number of schedulable workers by their free resources, which are rounded down.
    pub(crate) free_workers: BTreeMap<Resources, u64>,
}

/// Amount without all but its three leading bits, so that few different amounts remain; at most a fifth is lost.
fn round_down(amount: u64) -> u64 {
    let bits = u64::BITS - amount.leading_zeros();
    let dropped = bits.saturating_sub(3);
    amount >> dropped << dropped
}

impl Scheduler {
    /// Backlog by service.
    pub(crate) fn backlogs(&self) -> BTreeMap<Arc<str>, Backlog> {
        let mut all: BTreeMap<Arc<str>, Backlog> = BTreeMap::new();
        #[expect(clippy::cast_precision_loss, reason = "capacities are far below 2^52")]
        let cores = |milli_cores: u64| milli_cores as f64 / 1_000.0;
        for worker in self.workers.values() {
            if worker.is_schedulable(self.now_ms) {
                let backlog = all.entry(Arc::clone(&worker.spec.service)).or_default();
                // Room that a gang gathers or has reserved counts as free, because no task uses it.
                let free = worker.spec.capacity.saturating_sub(&worker.used);
                let rounded = Resources::new(
                    round_down(free.milli_cores),
                    round_down(free.memory_mib),
                    free.accelerators,
                );
                *backlog.free_workers.entry(rounded).or_default() += 1;
                backlog.capacity_cores += cores(worker.spec.capacity.milli_cores);
            }
        }
        for (rank, key) in self.waiting_steps.iter() {
            let is_behind_all = matches!(rank.class, RankClass::OverShare | RankClass::NoValue);
            let Some(job) = self.jobs.get(&key.job).filter(|_| !is_behind_all) else {
                continue;
            };
            if job.step(key).is_none_or(|step| step.has_capacity) || job.lacks_workers(key) {
                continue;
            }
            let spec = job.spec(key);
            #[expect(
                clippy::cast_precision_loss,
                reason = "estimates are far below 2^52 ms"
            )]
            let seconds = spec.estimate_ms as f64 / 1_000.0;
            #[expect(clippy::cast_precision_loss, reason = "at most 10,000 tasks")]
            let work = cores(spec.need.milli_cores) * seconds * self.startable_tasks(key) as f64;
            let backlog = all
                .entry(Arc::clone(&job.request.policy.service))
                .or_default();
            *backlog.by_priority.entry(rank.priority).or_default() += work;
        }
        all
    }
}

impl Scheduler {
    /// Load to publish; services without schedulable workers are left out.
    #[must_use]
    pub fn load(&mut self) -> Load {
        let mut load = Load {
            pending: self.pending_jobs(),
            workspaces: self.workspace_loads(),
            ..Load::default()
        };
        let backlogs = self.backlogs();
        let max_groups = MAX_FREE_GROUPS / backlogs.len().max(1);
        for (service, backlog) in backlogs {
            let free = (backlog.free_workers.iter().rev())
                .filter(|(free, _)| free.milli_cores > 0)
                .map(|(free, workers)| FreeWorkers {
                    free: *free,
                    workers: *workers,
                });
            let free: Vec<FreeWorkers> = free.take(max_groups).collect();
            if !free.is_empty() {
                load.free.insert(Arc::clone(&service), free);
            }
            let cores = backlog.capacity_cores;
            if cores <= 0.0 {
                continue;
            }
            let ahead =
                (backlog.by_priority.into_iter()).map(|(priority, work)| (priority, work / cores));
            load.ahead_s.insert(service, ahead.collect());
        }
        load
    }

    /// Number of jobs without a confirmed start, by queue; jobs with a schedule are not counted. A decided start
    /// does not suffice: it is sent only after the progress is stored, which takes long when the store is slow.
    fn pending_jobs(&self) -> BTreeMap<Arc<str>, u64> {
        let mut pending: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for job in self.jobs.values() {
            if !job.has_started && !job.state.is_final() && job.request.schedule.is_none() {
                *pending
                    .entry(Arc::clone(&job.request.policy.name))
                    .or_default() += 1;
            }
        }
        pending
    }
}
