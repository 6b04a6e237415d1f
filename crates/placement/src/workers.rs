//! Workers, what is reserved on them, and their health.

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

/// Whether a worker is trusted to start tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It starts what it is given.
    Healthy,
    /// It takes nothing until the time in ms.
    Quarantined(u64),
    /// It takes one task; `true` while that task's start is awaited.
    Probation(bool),
}

/// A worker of the pool.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Its declaration.
    pub spec: WorkerSpec,
    /// Whether it takes tasks.
    pub state: WorkerState,
    /// Sum of all reservations.
    pub allocated: Resources,
    /// Part of the reservations that can be checkpointed for urgent work.
    pub preemptible: Resources,
    /// Its runs.
    pub runs: BTreeSet<RunKey>,
    /// Whether it is trusted.
    pub health: Health,
    /// Tasks of the gathering job that it is held for.
    pub reserved_tasks: u32,
    failed_jobs: Vec<JobId>,
    backoff_level: u32,
    tie_breaker: u32,
    indexed: Option<Indexed>,
}

/// Where a worker stands in the indexes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Indexed {
    is_reserved: bool,
    free: Resources,
    free_with_preemption: Resources,
}

impl Worker {
    /// Capacity that is not reserved.
    pub fn free(&self) -> Resources {
        self.free_beside(&self.allocated)
    }

    /// Capacity beside `reserved`. It is nothing at all when any part is exceeded, as after a loss of accelerators: a
    /// worker that holds more than it can gets no further work.
    pub fn free_beside(&self, allocated: &Resources) -> Resources {
        let room = self.spec.capacity.checked_sub(allocated);
        room.unwrap_or(Resources::ZERO)
    }

    /// Reservations that cannot be checkpointed.
    pub const fn non_preemptible(&self) -> Resources {
        self.allocated.saturating_sub(&self.preemptible)
    }

    /// Whether it may be given a task now.
    pub fn takes_tasks(&self) -> bool {
        let healthy = matches!(self.health, Health::Healthy | Health::Probation(false));
        self.state == WorkerState::Ready && healthy
    }
}

/// All workers of the pool with their indexes.
#[derive(Debug, Clone, Default)]
pub struct Workers {
    table: Arena<Worker>,
    by_id: BTreeMap<WorkerId, u32>,
    unreserved: CapacityIndex,
    reserved: CapacityIndex,
    with_preemption: CapacityIndex,
    sizes: BTreeMap<Resources, u64>,
    quarantined: BTreeSet<(u64, u32)>,
    capacity: Resources,
    free: Resources,
    allocated: Resources,
}

/// Tasks of size `need` that fit into `room`, at most `most`.
pub fn tasks_that_fit(room: &Resources, need: &Resources, most: u32) -> u32 {
    let part = |room: u64, need: u64| room.checked_div(need).unwrap_or(u64::MAX);
    let count = part(room.milli_cores, need.milli_cores)
        .min(part(room.memory_mib, need.memory_mib))
        .min(part(room.accelerators, need.accelerators));
    u32::try_from(count).unwrap_or(u32::MAX).min(most)
}

impl Workers {
    /// The worker at an index.
    pub fn get(&self, ix: u32) -> &Worker {
        &self.table[ix]
    }

    /// Index of a worker.
    pub fn find(&self, id: &WorkerId) -> Option<u32> {
        self.by_id.get(id).copied()
    }

    /// Number of workers.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Number of quarantined workers, including those on probation.
    pub fn quarantined(&self) -> usize {
        self.quarantined.len()
    }

    /// Distinct worker sizes with the number of workers of each.
    pub const fn sizes(&self) -> &BTreeMap<Resources, u64> {
        &self.sizes
    }

    /// Sum of the capacity of all workers that answer.
    pub const fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Free capacity of all workers that take tasks.
    pub const fn free(&self) -> Resources {
        self.free
    }

    /// Sum of all reservations.
    pub const fn allocated(&self) -> Resources {
        self.allocated
    }

    /// Whether the pool, when empty, holds `tasks` tasks of size `need`; else the number that it holds.
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

    /// Adds a worker or changes its capacity; returns its index and whether sizes changed.
    pub fn upsert(&mut self, spec: WorkerSpec) -> (u32, bool) {
        let Some(ix) = self.find(&spec.id) else {
            // The low half of the hash orders equal workers, so that a search meets racks in no fixed order.
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
        let answers = self.table[ix].state != WorkerState::Silent;
        self.table[ix].spec = spec;
        if old == new {
            return (ix, false);
        }
        self.remove_size(&old);
        *self.sizes.entry(new).or_default() += 1;
        if answers {
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

    /// Removes a worker that has no runs left.
    pub fn remove(&mut self, ix: u32) {
        self.set_state(ix, WorkerState::Silent);
        self.set_health(ix, Health::Healthy);
        let Some(worker) = self.table.remove(ix) else {
            return;
        };
        self.remove_size(&worker.spec.capacity);
        self.by_id.remove(&worker.spec.id);
    }

    /// Changes whether a worker takes tasks.
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

    /// Holds a worker for tasks of the gathering job; 0 releases it.
    pub fn set_reserved_tasks(&mut self, ix: u32, tasks: u32) {
        self.table[ix].reserved_tasks = tasks;
        self.reindex(ix);
    }

    /// Reserves room for a run.
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

    /// Frees the room of a run.
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

    /// Records that a run is being checkpointed and cannot be reclaimed a second time.
    pub fn mark_preempted(&mut self, ix: u32, size: &Resources) {
        let worker = &mut self.table[ix];
        worker.preemptible = worker.preemptible.saturating_sub(size);
        self.reindex(ix);
    }

    /// Records that a task is being started on a worker on probation.
    pub fn start_probe(&mut self, ix: u32) {
        if self.table[ix].health == Health::Probation(false) {
            self.set_health(ix, Health::Probation(true));
        }
    }

    /// Records that a worker started a task.
    pub fn start_succeeded(&mut self, ix: u32) {
        self.table[ix].failed_jobs.clear();
        if matches!(self.table[ix].health, Health::Probation(_)) {
            self.table[ix].backoff_level = 0;
            self.set_health(ix, Health::Healthy);
        }
    }

    /// Records that the result of a probation start says nothing about the worker.
    pub fn retry_probe(&mut self, ix: u32) {
        if self.table[ix].health == Health::Probation(true) {
            self.set_health(ix, Health::Probation(false));
        }
    }

    /// Records a failed start; returns the jobs whose failures quarantined the worker.
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

    /// Puts workers whose quarantine is over on probation and returns them.
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
        let free_with_preemption = worker.free_beside(&worker.non_preemptible());
        let wanted = worker.takes_tasks().then_some(Indexed {
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

    /// Visits workers with room that are not held.
    pub fn visit_unreserved(
        &self,
        need: &Resources,
        order: SearchOrder,
        f: &mut dyn FnMut(u32, &Resources) -> Visit,
    ) {
        self.unreserved.visit(need, order, f);
    }

    /// Visits workers with room that are held for the gathering job.
    pub fn visit_reserved(
        &self,
        need: &Resources,
        order: SearchOrder,
        f: &mut dyn FnMut(u32, &Resources) -> Visit,
    ) {
        self.reserved.visit(need, order, f);
    }

    /// Visits workers that have room when best-effort batch runs are checkpointed.
    pub fn visit_with_preemption(
        &self,
        need: &Resources,
        f: &mut dyn FnMut(u32, &Resources) -> Visit,
    ) {
        self.with_preemption.visit(need, SearchOrder::LeastFree, f);
    }
}
