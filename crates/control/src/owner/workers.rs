//! The pool's workers: membership from the platform's list, liveness, and the expiry of runs on silent workers.

use {
    crate::{
        events::{WORKER_LOST, WORKER_SILENT},
        owner::{
            pool::PoolOwner,
            worker_link::{self, WorkerLink},
        },
        ownership, rows,
        store::with_timeout,
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
    link: Option<Arc<WorkerLink>>,
    /// State last passed to the scheduler; `None` while the worker is not registered there.
    state: Option<WorkerState>,
    /// When the worker's last report under this epoch arrived.
    pub reported_ms: Option<u64>,
    pub incarnation: u64,
    /// The worker executes runs that are not in the journal (orphans); it gets no tasks until they have ended.
    pub has_orphans: bool,
    listed: bool,
    /// The worker is shutting down or was drained by an operator.
    draining: bool,
    /// When the platform first listed the worker as terminated.
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

    pub fn link(&self) -> Option<&Arc<WorkerLink>> {
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
    /// Updates the workers from the platform's list.
    pub fn refresh_workers(&mut self) {
        let listed = Arc::clone(&lock(&self.shared.platform_list));
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
        self.remove_unlisted_workers();
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
            let client = self.shared.worker_connector.connect(entry.address);
            let link = WorkerLink::new(id.clone(), entry.address, client);
            worker.link = Some(Arc::clone(&link));
            let (shared, handle) = (Arc::clone(&self.shared), Arc::clone(&self.handle));
            let tx = self.handle.sender().clone();
            spawn(worker_link::run(shared, handle, link, tx)).detach();
        }
        if resized && worker.state.is_some() {
            self.scheduler.upsert_worker(worker.spec.clone(), now_ms);
        }
        self.update_worker_state(&id);
    }

    /// Removes workers that are not listed and hold no runs.
    fn remove_unlisted_workers(&mut self) {
        let has_runs = |id: &WorkerId| self.runs.values().any(|run| run.worker == *id);
        let gone: Vec<WorkerId> = (self.workers.iter())
            .filter(|(id, worker)| !worker.listed && !has_runs(id))
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

    /// Registers an unlisted worker with the scheduler, because it may still execute a run.
    pub fn register_unlisted_worker(&mut self, id: &WorkerId, resources: Resources) {
        let now_ms = self.shared.now_ms();
        let worker = self.workers.entry(id.clone()).or_insert_with(|| {
            // Racks and workers have the same name rules, so the worker's name replaces the unknown rack.
            let rack = Rack::new(id.as_str())
                .unwrap_or_else(|_| unreachable!("a worker name is a valid rack name"));
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

    /// Passes a worker's state to the scheduler if it has changed.
    pub fn update_worker_state(&mut self, id: &WorkerId) {
        let now_ms = self.shared.now_ms();
        let silent_ms = self.shared.cfg.timings.worker_silent_ms;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let has_reported_lately = worker
            .reported_ms
            .is_some_and(|reported_ms| now_ms < reported_ms + silent_ms);
        let state = if !has_reported_lately || worker.terminated_ms.is_some() {
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

    /// Updates worker states, checks whether previous owners have stopped, and requeues the tasks of runs whose leases
    /// have certainly expired.
    pub fn check_workers(&mut self, now_ms: u64) {
        if !self.previous_owners.is_empty() {
            let (shared, taken_over_ms) = (Arc::clone(&self.shared), self.taken_over_ms);
            self.previous_owners.retain(|previous| {
                !ownership::has_certainly_stopped(&shared, previous, taken_over_ms)
            });
            let timings = &self.shared.cfg.timings;
            let renewed_tasks_expired_ms =
                self.taken_over_ms + timings.task_renewal_grace_ms + timings.task_lease_expiry_ms();
            if self.previous_owners.is_empty() {
                self.previous_stopped_ms = Some(now_ms);
                self.write_settled();
            } else if now_ms >= renewed_tasks_expired_ms {
                // No task that they renewed can still run.
                self.previous_owners.clear();
                self.previous_stopped_ms =
                    Some(self.taken_over_ms + self.shared.cfg.timings.task_renewal_grace_ms);
                self.write_settled();
            }
        }
        let ids: Vec<WorkerId> = self.workers.keys().cloned().collect();
        for id in ids {
            self.update_worker_state(&id);
            if self
                .runs_expired_at_ms(&id)
                .is_some_and(|ended_ms| now_ms >= ended_ms)
            {
                self.requeue_lost_runs(&id, now_ms);
            }
        }
    }

    /// Records for later owners that all owners before this one have certainly stopped.
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
            // If the write fails, later owners only wait longer than necessary.
            let _ = with_timeout("settle earlier owners", shared.table.commit(txn)).await;
        })
        .detach();
    }

    /// When all runs of a silent worker have certainly expired; `None` while the worker answers.
    ///
    /// A worker that has reported under this epoch refuses earlier owners, and its lease counts from a report that
    /// arrived no later than the last one. For any other worker, an earlier owner may have renewed the tasks until it
    /// was proven to have stopped or until its task renewal grace period ended.
    pub fn runs_expired_at_ms(&self, id: &WorkerId) -> Option<u64> {
        let worker = self.workers.get(id).filter(|worker| worker.is_silent())?;
        let timings = &self.shared.cfg.timings;
        let renewed_ms = worker.reported_ms.or(self.previous_stopped_ms);
        let renewed_ms = renewed_ms.unwrap_or(self.taken_over_ms + timings.task_renewal_grace_ms);
        let last_ms = worker
            .terminated_ms
            .map_or(renewed_ms, |ms| ms.min(renewed_ms));
        Some(last_ms + timings.task_lease_expiry_ms())
    }

    fn requeue_lost_runs(&mut self, id: &WorkerId, now_ms: u64) {
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
            // The worker's next report registers it with the scheduler again.
            worker.state = None;
            if let Some(link) = &worker.link {
                for task in &lost {
                    if let Some(run) = self.runs.get(task) {
                        link.withdraw_start(&(task.clone(), run.attempt));
                    }
                }
            }
        }
        for task in lost {
            if let Some(run) = self.runs.remove(&task) {
                self.journal_end(&task, &run, TaskResult::Lost);
                self.update_job_after_end(&task, TaskResult::Lost);
            }
        }
    }
}
