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
pub enum Trust {
    /// It starts what it is given.
    Good,
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
    pub reserved: Resources,
    /// Part of the reservations that can be checkpointed for urgent work.
    pub reclaimable: Resources,
    /// Its runs.
    pub runs: BTreeSet<RunKey>,
    /// Whether it is trusted.
    pub trust: Trust,
    /// Tasks of the gathering job that it is held for.
    pub hold: u32,
    streak: Vec<JobId>,
    level: u32,
    tie: u32,
    indexed: Option<Indexed>,
}

/// Where a worker stands in the indexes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Indexed {
    held: bool,
    free: Resources,
    reclaim: Resources,
}

impl Worker {
    /// Capacity that is not reserved.
    pub fn free(&self) -> Resources {
        self.room_beside(&self.reserved)
    }

    /// Capacity beside `reserved`. It is nothing at all when any part is exceeded, as after a loss of accelerators: a
    /// worker that holds more than it can gets no further work.
    pub fn room_beside(&self, reserved: &Resources) -> Resources {
        let room = self.spec.capacity.checked_sub(reserved);
        room.unwrap_or(Resources::ZERO)
    }

    /// Reservations that cannot be checkpointed.
    pub const fn kept(&self) -> Resources {
        self.reserved.saturating_sub(&self.reclaimable)
    }

    /// Whether it may be given a task now.
    pub fn takes_tasks(&self) -> bool {
        let trusted = matches!(self.trust, Trust::Good | Trust::Probation(false));
        self.state == WorkerState::Ready && trusted
    }
}

/// All workers of the pool with their indexes.
#[derive(Debug, Clone, Default)]
pub struct Workers {
    table: Arena<Worker>,
    by_id: BTreeMap<WorkerId, u32>,
    open: CapacityIndex,
    held: CapacityIndex,
    reclaim: CapacityIndex,
    sizes: BTreeMap<Resources, u64>,
    quarantined: BTreeSet<(u64, u32)>,
    capacity: Resources,
    free: Resources,
    reserved: Resources,
}

/// Tasks of size `need` that fit into `room`, at most `most`.
pub fn slots(room: &Resources, need: &Resources, most: u32) -> u32 {
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
    pub const fn reserved(&self) -> Resources {
        self.reserved
    }

    /// Whether the pool, when empty, holds `tasks` tasks of size `need`; else the number that it holds.
    pub fn empty_slots(&self, need: &Resources, tasks: u32) -> u32 {
        let mut total = 0_u64;
        for (size, count) in &self.sizes {
            total += u64::from(slots(size, need, tasks)) * count;
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
            let tie = u32::try_from(hash & u64::from(u32::MAX)).unwrap_or(0);
            let id = spec.id.clone();
            let size = spec.capacity;
            let ix = self.table.insert(Worker {
                spec,
                state: WorkerState::Ready,
                reserved: Resources::ZERO,
                reclaimable: Resources::ZERO,
                runs: BTreeSet::new(),
                trust: Trust::Good,
                hold: 0,
                streak: Vec::new(),
                level: 0,
                tie,
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
        self.forget_size(&old);
        *self.sizes.entry(new).or_default() += 1;
        if answers {
            self.capacity = self.capacity.saturating_sub(&old) + new;
        }
        self.reindex(ix);
        (ix, true)
    }

    fn forget_size(&mut self, size: &Resources) {
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
        self.set_trust(ix, Trust::Good);
        let Some(worker) = self.table.remove(ix) else {
            return;
        };
        self.forget_size(&worker.spec.capacity);
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
    pub fn set_hold(&mut self, ix: u32, tasks: u32) {
        self.table[ix].hold = tasks;
        self.reindex(ix);
    }

    /// Reserves room for a run.
    pub fn reserve(&mut self, ix: u32, run: RunKey, size: &Resources, reclaimable: bool) {
        let worker = &mut self.table[ix];
        worker.reserved += *size;
        worker.runs.insert(run);
        if reclaimable {
            worker.reclaimable += *size;
        }
        self.reserved += *size;
        self.reindex(ix);
    }

    /// Frees the room of a run.
    pub fn release(&mut self, ix: u32, run: RunKey, size: &Resources, reclaimable: bool) {
        let worker = &mut self.table[ix];
        worker.reserved = worker.reserved.saturating_sub(size);
        worker.runs.remove(&run);
        if reclaimable {
            worker.reclaimable = worker.reclaimable.saturating_sub(size);
        }
        self.reserved = self.reserved.saturating_sub(size);
        self.reindex(ix);
    }

    /// Records that a run is being checkpointed and cannot be reclaimed a second time.
    pub fn reclaimed(&mut self, ix: u32, size: &Resources) {
        let worker = &mut self.table[ix];
        worker.reclaimable = worker.reclaimable.saturating_sub(size);
        self.reindex(ix);
    }

    /// Records that a task is being started on a worker on probation.
    pub fn probe(&mut self, ix: u32) {
        if self.table[ix].trust == Trust::Probation(false) {
            self.set_trust(ix, Trust::Probation(true));
        }
    }

    /// Records that a worker started a task.
    pub fn start_succeeded(&mut self, ix: u32) {
        self.table[ix].streak.clear();
        if matches!(self.table[ix].trust, Trust::Probation(_)) {
            self.table[ix].level = 0;
            self.set_trust(ix, Trust::Good);
        }
    }

    /// Records that the result of a probation start says nothing about the worker.
    pub fn probe_again(&mut self, ix: u32) {
        if self.table[ix].trust == Trust::Probation(true) {
            self.set_trust(ix, Trust::Probation(false));
        }
    }

    /// Records a failed start; returns the jobs whose failures quarantined the worker.
    pub fn start_failed(&mut self, ix: u32, job: &JobId, now_ms: u64, cfg: &Config) -> Vec<JobId> {
        let worker = &mut self.table[ix];
        if !worker.streak.contains(job) {
            worker.streak.push(job.clone());
        }
        let on_probation = matches!(worker.trust, Trust::Probation(_));
        let is_quarantined = matches!(worker.trust, Trust::Quarantined(_));
        let is_streak = worker.streak.len() >= cfg.failure_threshold;
        if is_quarantined || !(on_probation || is_streak) {
            return Vec::new();
        }
        let jobs = std::mem::take(&mut worker.streak);
        let until = now_ms.saturating_add(cfg.backoff_ms(worker.level));
        worker.level += 1;
        self.set_trust(ix, Trust::Quarantined(until));
        jobs
    }

    /// Puts workers whose quarantine is over on probation and returns them.
    pub fn end_quarantines(&mut self, now_ms: u64) -> Vec<u32> {
        let over = self.quarantined.range(..=(now_ms, u32::MAX));
        let over: Vec<u32> = over.map(|&(_, ix)| ix).collect();
        for &ix in &over {
            self.set_trust(ix, Trust::Probation(false));
        }
        over
    }

    fn set_trust(&mut self, ix: u32, trust: Trust) {
        let worker = &mut self.table[ix];
        if let Trust::Quarantined(until) = worker.trust {
            self.quarantined.remove(&(until, ix));
        }
        if let Trust::Quarantined(until) = trust {
            self.quarantined.insert((until, ix));
        }
        worker.trust = trust;
        self.reindex(ix);
    }

    fn reindex(&mut self, ix: u32) {
        let worker = &mut self.table[ix];
        let free = worker.free();
        let reclaim = worker.room_beside(&worker.kept());
        let wanted = worker.takes_tasks().then_some(Indexed {
            held: worker.hold > 0,
            free,
            reclaim,
        });
        let old = std::mem::replace(&mut worker.indexed, wanted);
        if old == wanted {
            return;
        }
        let tie = worker.tie;
        if let Some(old) = old {
            self.index(old.held).remove(ix, tie, old.free);
            self.reclaim.remove(ix, tie, old.reclaim);
            self.free = self.free.saturating_sub(&old.free);
        }
        if let Some(new) = wanted {
            self.index(new.held).insert(ix, tie, new.free);
            self.reclaim.insert(ix, tie, new.reclaim);
            self.free += new.free;
        }
    }

    const fn index(&mut self, held: bool) -> &mut CapacityIndex {
        if held { &mut self.held } else { &mut self.open }
    }

    /// Visits workers with room that are not held.
    pub fn visit_open(
        &self,
        need: &Resources,
        order: SearchOrder,
        f: &mut dyn FnMut(u32, &Resources) -> Visit,
    ) {
        self.open.visit(need, order, f);
    }

    /// Visits workers with room that are held for the gathering job.
    pub fn visit_held(
        &self,
        need: &Resources,
        order: SearchOrder,
        f: &mut dyn FnMut(u32, &Resources) -> Visit,
    ) {
        self.held.visit(need, order, f);
    }

    /// Visits workers that have room when best-effort batch runs are checkpointed.
    pub fn visit_reclaimable(&self, need: &Resources, f: &mut dyn FnMut(u32, &Resources) -> Visit) {
        self.reclaim.visit(need, SearchOrder::LeastFree, f);
    }
}
