//! Workers with their allocated resources, reservations and health.

use {
    crate::{
        Config, WorkerSpec, WorkerState,
        arena::Arena,
        capacity::{CapacityIndex, SearchOrder, Visit},
    },
    ragwortreel_model::{JobId, Resources, WorkerId},
    std::collections::{BTreeMap, BTreeSet},
    xxhash_rust::xxh3::xxh3_64,
};

/// Job index and task number of a run.
pub type RunKey = (u32, u32);

/// Health of a worker by the results of its starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Accepts tasks.
    Healthy,
    /// Accepts no tasks until this time in ms.
    Quarantined(u64),
    /// Accepts one task, the probe, to test the worker; `true` while the result of the probe's start is pending.
    Probation(bool),
}

/// A worker of the pool.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Identifier, rack and capacity as declared.
    pub spec: WorkerSpec,
    /// State as reported by the owner of the pool.
    pub state: WorkerState,
    /// Resources allocated to runs.
    pub allocated: Resources,
    /// Part of the allocated resources that preemption can free.
    pub preemptible: Resources,
    /// Runs on the worker.
    pub runs: BTreeSet<RunKey>,
    /// Health by the results of its starts.
    pub health: Health,
    /// Number of tasks of the job with the reservation for which the worker is reserved; 0 if it is not.
    pub reserved_tasks: u32,
    /// Different jobs whose starts failed since the last successful start.
    failed_jobs: Vec<JobId>,
    /// Number of quarantines since the last successful probation.
    backoff_level: u32,
    /// Orders workers with equal free capacity.
    tie_breaker: u32,
    /// Entry in the indexes; `None` while the worker accepts no tasks.
    indexed: Option<Indexed>,
}

/// Values under which a worker is stored in the indexes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Indexed {
    is_reserved: bool,
    free: Resources,
    free_with_preemption: Resources,
}

impl Worker {
    /// Returns the capacity that is not allocated.
    pub fn free(&self) -> Resources {
        self.free_with(&self.allocated)
    }

    /// Returns the capacity that is free when `allocated` is in use. All resources are zero if `allocated` exceeds the
    /// capacity in one of them, for example after a loss of accelerators, so that an overcommitted worker gets no
    /// further tasks.
    pub fn free_with(&self, allocated: &Resources) -> Resources {
        let room = self.spec.capacity.checked_sub(allocated);
        room.unwrap_or(Resources::ZERO)
    }

    /// Returns the allocated resources that preemption cannot free.
    pub const fn non_preemptible(&self) -> Resources {
        self.allocated.saturating_sub(&self.preemptible)
    }

    /// Returns whether the worker accepts a task now.
    pub fn accepts_tasks(&self) -> bool {
        let healthy = matches!(self.health, Health::Healthy | Health::Probation(false));
        self.state == WorkerState::Ready && healthy
    }
}

/// All workers of the pool with indexes by free resources and running totals.
#[derive(Debug, Clone, Default)]
pub struct Workers {
    table: Arena<Worker>,
    by_id: BTreeMap<WorkerId, u32>,
    /// Workers that are not reserved, by free resources.
    unreserved: CapacityIndex,
    /// Reserved workers, by free resources.
    reserved: CapacityIndex,
    /// All workers, by the resources that would be free after preemption.
    with_preemption: CapacityIndex,
    /// Number of workers by capacity.
    sizes: BTreeMap<Resources, u64>,
    /// Quarantined workers by the end of the quarantine, in ms.
    quarantined: BTreeSet<(u64, u32)>,
    capacity: Resources,
    free: Resources,
    allocated: Resources,
}

/// Returns how many tasks of size `need` fit into `room`, at most `most`.
pub fn tasks_that_fit(room: &Resources, need: &Resources, most: u32) -> u32 {
    let part = |room: u64, need: u64| room.checked_div(need).unwrap_or(u64::MAX);
    let count = part(room.milli_cores, need.milli_cores)
        .min(part(room.memory_mib, need.memory_mib))
        .min(part(room.accelerators, need.accelerators));
    u32::try_from(count).unwrap_or(u32::MAX).min(most)
}

impl Workers {
    /// Returns the worker at an index; panics if there is none.
    pub fn get(&self, ix: u32) -> &Worker {
        &self.table[ix]
    }

    /// Returns the index of a worker.
    pub fn find(&self, id: &WorkerId) -> Option<u32> {
        self.by_id.get(id).copied()
    }

    /// Returns the number of workers in all states.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns the number of quarantined workers, without those on probation.
    pub fn quarantined(&self) -> usize {
        self.quarantined.len()
    }

    /// Returns the distinct capacities of workers with the number of workers of each.
    pub const fn sizes(&self) -> &BTreeMap<Resources, u64> {
        &self.sizes
    }

    /// Returns the total capacity of all workers that are not silent.
    pub const fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Returns the free capacity of all workers that accept tasks.
    pub const fn free(&self) -> Resources {
        self.free
    }

    /// Returns the resources allocated to runs on all workers.
    pub const fn allocated(&self) -> Resources {
        self.allocated
    }

    /// Returns how many tasks of size `need` fit into the empty pool, at most `tasks`.
    pub fn max_tasks_when_empty(&self, need: &Resources, tasks: u32) -> u32 {
        let mut total = 0_u64;
        for (size, count) in &self.sizes {
            total += u64::from(tasks_that_fit(size, need, tasks)) * count;
            if total >= u64::from(tasks) {
                return tasks;
            }
        }
        u32::try_from(total).unwrap_or(tasks)
    }

    /// Adds a worker or changes its rack and capacity; returns its index and whether worker sizes changed.
    pub fn upsert(&mut self, spec: WorkerSpec) -> (u32, bool) {
        let Some(ix) = self.find(&spec.id) else {
            // Workers with equal free capacity are ordered by a hash, so that a search does not favour racks by name.
            let hash = xxh3_64(spec.id.as_str().as_bytes());
            let tie_breaker = u32::try_from(hash & u64::from(u32::MAX)).unwrap_or(0);
            let id = spec.id.clone();
            let size = spec.capacity;
            let ix = self.table.insert(Worker {
                spec,
                state: WorkerState::Ready,
                allocated: Resources::ZERO,
                preemptible: Resources::ZERO,
                runs: BTreeSet::new(),
                health: Health::Healthy,
                reserved_tasks: 0,
                failed_jobs: Vec::new(),
                backoff_level: 0,
                tie_breaker,
                indexed: None,
            });
            self.by_id.insert(id, ix);
            self.capacity += size;
            *self.sizes.entry(size).or_default() += 1;
            self.reindex(ix);
            return (ix, true);
        };
        let (old, new) = (self.table[ix].spec.capacity, spec.capacity);
        let responds = self.table[ix].state != WorkerState::Silent;
        self.table[ix].spec = spec;
        if old == new {
            return (ix, false);
        }
        self.remove_size(&old);
        *self.sizes.entry(new).or_default() += 1;
        if responds {
            self.capacity = self.capacity.saturating_sub(&old) + new;
        }
        self.reindex(ix);
        (ix, true)
    }

    fn remove_size(&mut self, size: &Resources) {
        if let Some(count) = self.sizes.get_mut(size) {
            *count -= 1;
            if *count == 0 {
                self.sizes.remove(size);
            }
        }
    }

    /// Removes a worker, which must have no runs.
    pub fn remove(&mut self, ix: u32) {
        self.set_state(ix, WorkerState::Silent);
        self.set_health(ix, Health::Healthy);
        let Some(worker) = self.table.remove(ix) else {
            return;
        };
        self.remove_size(&worker.spec.capacity);
        self.by_id.remove(&worker.spec.id);
    }

    /// Changes the state of a worker.
    pub fn set_state(&mut self, ix: u32, state: WorkerState) {
        let worker = &mut self.table[ix];
        let was_silent = worker.state == WorkerState::Silent;
        let is_silent = state == WorkerState::Silent;
        let size = worker.spec.capacity;
        worker.state = state;
        if was_silent && !is_silent {
            self.capacity += size;
        }
        if !was_silent && is_silent {
            self.capacity = self.capacity.saturating_sub(&size);
        }
        self.reindex(ix);
    }

    /// Reserves a worker for a number of tasks of the job with the reservation; 0 releases it.
    pub fn set_reserved_tasks(&mut self, ix: u32, tasks: u32) {
        self.table[ix].reserved_tasks = tasks;
        self.reindex(ix);
    }

    /// Allocates resources to a run.
    pub fn allocate(&mut self, ix: u32, run: RunKey, size: &Resources, preemptible: bool) {
        let worker = &mut self.table[ix];
        worker.allocated += *size;
        worker.runs.insert(run);
        if preemptible {
            worker.preemptible += *size;
        }
        self.allocated += *size;
        self.reindex(ix);
    }

    /// Frees the resources of a run.
    pub fn release(&mut self, ix: u32, run: RunKey, size: &Resources, preemptible: bool) {
        let worker = &mut self.table[ix];
        worker.allocated = worker.allocated.saturating_sub(size);
        worker.runs.remove(&run);
        if preemptible {
            worker.preemptible = worker.preemptible.saturating_sub(size);
        }
        self.allocated = self.allocated.saturating_sub(size);
        self.reindex(ix);
    }

    /// Records that a run is being checkpointed, so that preemption does not count its resources a second time.
    pub fn mark_preempted(&mut self, ix: u32, size: &Resources) {
        let worker = &mut self.table[ix];
        worker.preemptible = worker.preemptible.saturating_sub(size);
        self.reindex(ix);
    }

    /// Records that a task is being started on a worker. If the worker is on probation, the task is its probe, and the
    /// worker accepts no other task until the result of the start is known.
    pub fn start_probe(&mut self, ix: u32) {
        if self.table[ix].health == Health::Probation(false) {
            self.set_health(ix, Health::Probation(true));
        }
    }

    /// Records a successful start, which ends the probation of a worker.
    pub fn start_succeeded(&mut self, ix: u32) {
        self.table[ix].failed_jobs.clear();
        if matches!(self.table[ix].health, Health::Probation(_)) {
            self.table[ix].backoff_level = 0;
            self.set_health(ix, Health::Healthy);
        }
    }

    /// Lets a worker on probation accept another probe, after a result that does not show whether the worker is
    /// healthy.
    pub fn retry_probe(&mut self, ix: u32) {
        if self.table[ix].health == Health::Probation(true) {
            self.set_health(ix, Health::Probation(false));
        }
    }

    /// Records a failed start; returns the jobs whose failures quarantined the worker. A failure on probation
    /// quarantines it at once.
    pub fn start_failed(&mut self, ix: u32, job: &JobId, now_ms: u64, cfg: &Config) -> Vec<JobId> {
        let worker = &mut self.table[ix];
        if !worker.failed_jobs.contains(job) {
            worker.failed_jobs.push(job.clone());
        }
        let on_probation = matches!(worker.health, Health::Probation(_));
        let is_quarantined = matches!(worker.health, Health::Quarantined(_));
        let is_threshold_reached = worker.failed_jobs.len() >= cfg.failure_threshold;
        if is_quarantined || !(on_probation || is_threshold_reached) {
            return Vec::new();
        }
        let jobs = std::mem::take(&mut worker.failed_jobs);
        let until_ms = now_ms.saturating_add(cfg.backoff_ms(worker.backoff_level));
        worker.backoff_level += 1;
        self.set_health(ix, Health::Quarantined(until_ms));
        jobs
    }

    /// Puts workers whose quarantine has ended on probation and returns them.
    pub fn end_quarantines(&mut self, now_ms: u64) -> Vec<u32> {
        let over = self.quarantined.range(..=(now_ms, u32::MAX));
        let over: Vec<u32> = over.map(|&(_, ix)| ix).collect();
        for &ix in &over {
            self.set_health(ix, Health::Probation(false));
        }
        over
    }

    fn set_health(&mut self, ix: u32, health: Health) {
        let worker = &mut self.table[ix];
        if let Health::Quarantined(until_ms) = worker.health {
            self.quarantined.remove(&(until_ms, ix));
        }
        if let Health::Quarantined(until_ms) = health {
            self.quarantined.insert((until_ms, ix));
        }
        worker.health = health;
        self.reindex(ix);
    }

    fn reindex(&mut self, ix: u32) {
        let worker = &mut self.table[ix];
        let free = worker.free();
        let free_with_preemption = worker.free_with(&worker.non_preemptible());
        let wanted = worker.accepts_tasks().then_some(Indexed {
            is_reserved: worker.reserved_tasks > 0,
            free,
            free_with_preemption,
        });
        let old = std::mem::replace(&mut worker.indexed, wanted);
        if old == wanted {
            return;
        }
        let tie_breaker = worker.tie_breaker;
        if let Some(old) = old {
            self.index(old.is_reserved)
                .remove(ix, tie_breaker, old.free);
            self.with_preemption
                .remove(ix, tie_breaker, old.free_with_preemption);
            self.free = self.free.saturating_sub(&old.free);
        }
        if let Some(new) = wanted {
            self.index(new.is_reserved)
                .insert(ix, tie_breaker, new.free);
            self.with_preemption
                .insert(ix, tie_breaker, new.free_with_preemption);
            self.free += new.free;
        }
    }

    const fn index(&mut self, is_reserved: bool) -> &mut CapacityIndex {
        if is_reserved {
            &mut self.reserved
        } else {
            &mut self.unreserved
        }
    }

    /// Visits workers with room for `need` that are not reserved.
    pub fn visit_unreserved(
        &self,
        need: &Resources,
        order: SearchOrder,
        f: &mut dyn FnMut(u32, &Resources) -> Visit,
    ) {
        self.unreserved.visit(need, order, f);
    }

    /// Visits reserved workers with room for `need`.
    pub fn visit_reserved(
        &self,
        need: &Resources,
        order: SearchOrder,
        f: &mut dyn FnMut(u32, &Resources) -> Visit,
    ) {
        self.reserved.visit(need, order, f);
    }

    /// Visits workers that have room for `need` once preemptible batch runs are checkpointed.
    pub fn visit_with_preemption(
        &self,
        need: &Resources,
        f: &mut dyn FnMut(u32, &Resources) -> Visit,
    ) {
        self.with_preemption.visit(need, SearchOrder::LeastFree, f);
    }
}
