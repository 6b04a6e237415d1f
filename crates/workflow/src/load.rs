//! Work that waits for room, as the leader publishes it for admission.

use {
    crate::{Load, Scheduler},
    std::{collections::BTreeMap, sync::Arc},
};

/// Waiting work of a service.
#[derive(Debug, Default)]
pub(crate) struct WorkAhead {
    /// Core-seconds of tasks that wait for room and are not worthless, by priority.
    pub(crate) by_priority: BTreeMap<u32, f64>,
    /// Cores of all open workers.
    pub(crate) total: f64,
}

impl Scheduler {
    /// Waiting work and capacity of each service.
    pub(crate) fn work_ahead(&self) -> BTreeMap<Arc<str>, WorkAhead> {
        let mut all: BTreeMap<Arc<str>, WorkAhead> = BTreeMap::new();
        #[expect(clippy::cast_precision_loss, reason = "capacities are far below 2^52")]
        let cores = |milli_cores: u64| milli_cores as f64 / 1_000.0;
        for worker in self.workers.values() {
            if worker.is_open(self.now_ms) {
                let ahead = all.entry(Arc::clone(&worker.spec.service)).or_default();
                ahead.total += cores(worker.spec.capacity.milli_cores);
            }
        }
        for ((lateness, priority, _), key) in &self.waiting {
            let Some(job) = self.jobs.get(&key.job).filter(|_| *lateness < 2) else {
                continue;
            };
            let Some(step) = job.step(key).filter(|step| !step.has_room) else {
                continue;
            };
            let spec = job.spec(key);
            #[expect(
                clippy::cast_precision_loss,
                reason = "estimates are far below 2^52 ms"
            )]
            let seconds = spec.estimate_ms as f64 / 1_000.0;
            #[expect(clippy::cast_precision_loss, reason = "at most 10,000 tasks")]
            let work = cores(spec.need.milli_cores) * seconds * step.waiting() as f64;
            let ahead = all
                .entry(Arc::clone(&job.request.policy.service))
                .or_default();
            *ahead.by_priority.entry(*priority).or_default() += work;
        }
        all
    }
}

impl Scheduler {
    /// The load to publish.
    #[must_use]
    pub fn load(&self) -> Load {
        let mut load = Load {
            pending: self.pending(),
            ..Load::default()
        };
        for (service, WorkAhead { by_priority, total }) in self.work_ahead() {
            if total <= 0.0 {
                continue;
            }
            let ahead = (by_priority.into_iter()).map(|(priority, work)| (priority, work / total));
            load.ahead_s.insert(service, ahead.collect());
        }
        load
    }
}
