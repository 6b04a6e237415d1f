//! The pool's workers: who they are, whether they answer, and when their tasks have certainly ended.

use {
    crate::{
        events::{WORKER_LOST, WORKER_SILENT},
        owner::{
            link::{self, Link},
            pool::PoolOwner,
        },
        ownership, rows,
        store::limited,
    },
    ragwortreel_model::{Rack, Resources, TaskResult, WorkerId},
    ragwortreel_placement::{WorkerSpec, WorkerState},
    ragwortreel_platform::{InstanceState, ListedInstance, ListedRole, Txn},
    ragwortreel_runtime::{lock, log_event, spawn},
    std::sync::Arc,
};

/// A worker of the pool.
pub(crate) struct Worker {
    spec: WorkerSpec,
    link: Option<Arc<Link>>,
    /// What the scheduler was told; absent while it does not know the worker.
    state: Option<WorkerState>,
    /// When its last report under this epoch arrived.
    pub reported_ms: Option<u64>,
    pub incarnation: u64,
    /// It runs something that is not in the journal; it gets no tasks until that has ended.
    pub has_orphans: bool,
    listed: bool,
    /// It is leaving or was drained by an operator.
    draining: bool,
    /// When the platform's list first said that it was stopped for good.
    terminated_ms: Option<u64>,
}

impl Worker {
    fn new(spec: WorkerSpec) -> Self {
        Self {
            spec,
            link: None,
            state: None,
            reported_ms: None,
            incarnation: 0,
            has_orphans: false,
            listed: false,
            draining: false,
            terminated_ms: None,
        }
    }

    pub fn link(&self) -> Option<&Arc<Link>> {
        self.link.as_ref()
    }

    pub fn close(&self) {
        if let Some(link) = &self.link {
            link.close();
        }
    }

    pub fn is_silent(&self) -> bool {
        matches!(self.state, None | Some(WorkerState::Silent))
    }

    pub fn has_reported(&self) -> bool {
        self.reported_ms.is_some()
    }
}

impl PoolOwner {
    /// Takes over the workers of the platform's list.
    pub fn refresh_workers(&mut self) {
        let listed = Arc::clone(&lock(&self.shared.listed));
        let drained = lock(&self.shared.view).drained.clone();
        let now_ms = self.shared.now_ms();
        let zone = self.cfg.zone.clone();
        self.workers
            .values_mut()
            .for_each(|worker| worker.listed = false);
        for entry in listed.iter().filter(|entry| entry.zone == zone) {
            let ListedRole::Worker { rack, capacity } = &entry.role else {
                continue;
            };
            let Ok(id) = WorkerId::new(entry.id.as_str()) else {
                continue;
            };
            if self.cfg.contains_worker(&id) {
                let is_drained = drained.contains(&id);
                let spec = WorkerSpec {
                    id,
                    rack: rack.clone(),
                    capacity: *capacity,
                };
                self.refresh_worker(spec, entry, is_drained, now_ms);
            }
        }
        self.drop_unlisted();
    }

    fn refresh_worker(
        &mut self,
        spec: WorkerSpec,
        entry: &ListedInstance,
        drained: bool,
        now_ms: u64,
    ) {
        let id = spec.id.clone();
        let worker = self
            .workers
            .entry(id.clone())
            .or_insert_with(|| Worker::new(spec.clone()));
        let resized = worker.spec != spec;
        worker.spec = spec;
        worker.listed = true;
        worker.draining = drained || entry.state == InstanceState::Leaving;
        if entry.state == InstanceState::Terminated {
            worker.terminated_ms.get_or_insert(now_ms);
            return;
        }
        if worker
            .link
            .as_ref()
            .is_none_or(|link| link.address != entry.address)
        {
            worker.close();
            let client = self.shared.workers.connect(entry.address);
            let link = Link::new(id.clone(), entry.address, client);
            worker.link = Some(Arc::clone(&link));
            let (shared, handle) = (Arc::clone(&self.shared), Arc::clone(&self.handle));
            let tx = self.handle.sender().clone();
            spawn(link::run(shared, handle, link, tx)).detach();
        }
        if resized && worker.state.is_some() {
            self.scheduler.upsert_worker(worker.spec.clone(), now_ms);
        }
        self.tell_state(&id);
    }

    /// Forgets workers that the list does not name and that hold nothing.
    fn drop_unlisted(&mut self) {
        let holds = |id: &WorkerId| self.runs.values().any(|run| run.worker == *id);
        let gone: Vec<WorkerId> = (self.workers.iter())
            .filter(|(id, worker)| !worker.listed && !holds(id))
            .map(|(id, _)| id.clone())
            .collect();
        let now_ms = self.shared.now_ms();
        for id in gone {
            let worker = self.workers.remove(&id);
            if let Some(worker) = worker {
                worker.close();
                if worker.state.is_some() {
                    self.scheduler.remove_worker(&id, now_ms);
                }
            }
        }
    }

    /// Makes a worker that the list does not name known to the scheduler, because it may hold a run.
    pub fn ensure_holder(&mut self, id: &WorkerId, resources: Resources) {
        let now_ms = self.shared.now_ms();
        let worker = self.workers.entry(id.clone()).or_insert_with(|| {
            // Names allow the same characters, so the worker's own name can stand in for the unknown rack.
            let rack = Rack::new(id.as_str())
                .unwrap_or_else(|_| unreachable!("a worker's name is a name"));
            let capacity = Resources::ZERO;
            Worker::new(WorkerSpec {
                id: id.clone(),
                rack,
                capacity,
            })
        });
        if !worker.listed {
            worker.spec.capacity += resources;
            worker.state = Some(WorkerState::Silent);
            self.scheduler.upsert_worker(worker.spec.clone(), now_ms);
            self.scheduler.set_worker_state(id, WorkerState::Silent);
        }
    }

    /// Tells the scheduler a worker's state when it has changed.
    pub fn tell_state(&mut self, id: &WorkerId) {
        let now_ms = self.shared.now_ms();
        let silent_ms = self.shared.cfg.timings.worker_silent_ms;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let answers = worker
            .reported_ms
            .is_some_and(|reported_ms| now_ms < reported_ms + silent_ms);
        let state = if !answers || worker.terminated_ms.is_some() {
            WorkerState::Silent
        } else if worker.draining || worker.has_orphans {
            WorkerState::Draining
        } else {
            WorkerState::Ready
        };
        if worker.state == Some(state) {
            return;
        }
        if worker.state.is_none() {
            self.scheduler.upsert_worker(worker.spec.clone(), now_ms);
        }
        if state == WorkerState::Silent && worker.reported_ms.is_some() {
            log_event!(self.shared.log, WORKER_SILENT; "worker" => id.as_str());
        }
        worker.state = Some(state);
        self.scheduler.set_worker_state(id, state);
    }

    /// Marks silent workers and gives up the runs of those whose leases have certainly expired.
    pub fn check_workers(&mut self, now_ms: u64) {
        if !self.previous.is_empty() {
            let (shared, taken_ms) = (Arc::clone(&self.shared), self.taken_ms);
            self.previous
                .retain(|previous| !ownership::is_proven_gone(&shared, previous, taken_ms));
            let timings = &self.shared.cfg.timings;
            let autonomy_over_ms =
                self.taken_ms + timings.task_renewal_grace_ms + timings.task_lease_expiry_ms();
            if self.previous.is_empty() {
                self.proven_ms = Some(now_ms);
                self.write_settled();
            } else if now_ms >= autonomy_over_ms {
                // Nothing that they renewed can run any more.
                self.previous.clear();
                self.proven_ms =
                    Some(self.taken_ms + self.shared.cfg.timings.task_renewal_grace_ms);
                self.write_settled();
            }
        }
        let ids: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for id in ids {
            self.tell_state(&id);
            if self
                .ended_by_ms(&id)
                .is_some_and(|ended_ms| now_ms >= ended_ms)
            {
                self.lose_worker(&id, now_ms);
            }
        }
    }

    /// Tells later owners that the owners before this one need not be reckoned with any more.
    fn write_settled(&self) {
        let (key, pool_key) = (
            rows::settled_key(&self.cfg.pool),
            rows::pool_key(&self.cfg.pool),
        );
        let txn = Txn {
            checks: vec![rows::check(&pool_key, self.row_version)],
            writes: vec![rows::put(&key, &self.handle.epoch())],
        };
        let shared = Arc::clone(&self.shared);
        spawn(async move {
            // Without the row, later owners wait longer than they need to.
            let _ = limited("settle earlier owners", shared.table.commit(txn)).await;
        })
        .detach();
    }

    /// When everything that a silent worker held has certainly ended; absent while it answers.
    ///
    /// A worker that has reported under this epoch refuses earlier owners, and its lease counts from a report that
    /// was received no later than the last one. For one that has not, an earlier owner may have renewed its tasks
    /// until it was proven gone, or until its autonomy ended.
    pub fn ended_by_ms(&self, id: &WorkerId) -> Option<u64> {
        let worker = self.workers.get(id).filter(|worker| worker.is_silent())?;
        let timings = &self.shared.cfg.timings;
        let renewed_ms = worker.reported_ms.or(self.proven_ms);
        let renewed_ms = renewed_ms.unwrap_or(self.taken_ms + timings.task_renewal_grace_ms);
        let last_ms = worker
            .terminated_ms
            .map_or(renewed_ms, |ms| ms.min(renewed_ms));
        Some(last_ms + timings.task_lease_expiry_ms())
    }

    fn lose_worker(&mut self, id: &WorkerId, now_ms: u64) {
        if !self.runs.values().any(|run| run.worker == *id) {
            return;
        }
        log_event!(self.shared.log, WORKER_LOST; "worker" => id.as_str());
        let lost: Vec<_> = (self.runs.iter())
            .filter(|(_, run)| run.worker == *id)
            .map(|(task, _)| task.clone())
            .collect();
        self.scheduler.remove_worker(id, now_ms);
        if let Some(worker) = self.workers.get_mut(id) {
            // The scheduler learns of it again when it reports.
            worker.state = None;
            if let Some(link) = &worker.link {
                for task in &lost {
                    if let Some(run) = self.runs.get(task) {
                        link.take_back(&(task.clone(), run.attempt));
                    }
                }
            }
        }
        for task in lost {
            if let Some(run) = self.runs.remove(&task) {
                self.record_end(&task, &run, TaskResult::Lost);
                self.after_end(&task, TaskResult::Lost);
            }
        }
    }
}
