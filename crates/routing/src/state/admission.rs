//! Admission control: queue limits, rate limits, deadlines and refusals.

use {
    crate::{
        BackendId, Refusal, RefusalReason, RequestInfo,
        queue::{ClassQueue, QueuePosition, WaitId},
        run_times::{RouteKey, classify},
        service::{CLASSES_BY_PRIORITY, ServiceState, SlotRequirements},
        state::{
            AdmissionResult, Decision, MAX_RETRY_MS, MIN_RETRY_MS, OTHER_INSTANCE_RETRY_MS,
            RefusalDetails, RouterState, ServiceKey, WAIT_SAFETY_FACTOR, WaitingRequest, to_ms,
        },
        token_bucket::RateLimit,
    },
    async_channel::Sender,
    ragwortreel_model::{WorkClass, Workspace},
    rand::Rng,
};

impl RouterState {
    pub fn enqueue(
        &mut self,
        now: u64,
        request: RequestInfo,
        avoid: &[BackendId],
        tx: Sender<AdmissionResult>,
    ) -> Result<WaitId, Refusal> {
        let class = request
            .class
            .unwrap_or(self.service_settings(&request).class);
        let key = RouteKey {
            workspace: request.workspace,
            service: request.service,
            route: request.route,
        };
        let estimate = self.run_times.estimate(&key, request.cost_hint_ms);
        let (class, counts_as_long) = classify(class, estimate, self.config.long_run_ms);
        let id = self.next_id;
        self.next_id += 1;
        let latest_start_ms = request.deadline_ms.saturating_sub(estimate.p90_ms);
        let waiting = WaitingRequest {
            key,
            caller: request.caller,
            class,
            requirements: SlotRequirements {
                counts_as_long,
                idempotent: request.idempotent,
                avoid: avoid.to_vec(),
            },
            position: QueuePosition {
                start_by_ms: latest_start_ms.max(now),
                id,
            },
            queued_at_ms: now,
            tx,
        };
        let late_ms = now.saturating_sub(latest_start_ms);
        let check = if now >= request.deadline_ms {
            Err(self.refusal(RefusalReason::Deadline, 0))
        } else {
            self.check(now, &waiting, late_ms)
        };
        if let Err(refused) = check {
            self.count_refusal(&waiting.caller, class, refused.reason);
            return Err(Refusal {
                reason: refused.reason,
                retry_after_ms: refused.retry_after_ms,
            });
        }
        self.push(now, waiting, estimate.mean_ms);
        Ok(id)
    }

    /// Queues a request that has passed all checks, then assigns free slots of its service.
    pub(super) fn push(&mut self, now: u64, waiting: WaitingRequest, mean_ms: f64) {
        let weight = self.weight(&waiting.caller);
        let key = waiting.key.service_key();
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "mean run times are positive and below 2^52 ms"
        )]
        let cost_ms = (mean_ms as u64).max(1);
        let service = self.services.entry(key.clone()).or_default();
        let queue = service.queues.entry(waiting.class).or_default();
        queue.push(&waiting.caller, weight, waiting.position, cost_ms);
        self.waiting.insert(waiting.position.id, waiting);
        self.assign_slots(now, &key);
    }

    /// Checks a new request against every reason for a refusal. `late_ms` is the time since its latest start, 0 if it
    /// can still start in time.
    pub(super) fn check(
        &mut self,
        now: u64,
        waiting: &WaitingRequest,
        late_ms: u64,
    ) -> Result<(), RefusalDetails> {
        if self.stopping {
            return Err(self.refusal(RefusalReason::Stopping, OTHER_INSTANCE_RETRY_MS));
        }
        if now >= self.shares.valid_until_ms {
            return Err(self.refusal(RefusalReason::NoLease, OTHER_INSTANCE_RETRY_MS));
        }
        let weight = self.weight(&waiting.caller);
        let (has_backend, can_start_now, wait, probe_at_ms, queued) =
            match self.services.get(&waiting.key.service_key()) {
                None => (false, false, None, None, 0),
                Some(service) => (
                    service.has_usable_backend(&waiting.requirements.avoid),
                    service.choose_backend(&waiting.requirements).is_some()
                        && service
                            .queues
                            .get(&waiting.class)
                            .is_none_or(ClassQueue::is_empty),
                    service.estimated_wait_ms(waiting.class, &waiting.caller, weight),
                    service.next_probe_at_ms(),
                    CLASSES_BY_PRIORITY
                        .iter()
                        .filter_map(|class| service.queues.get(class))
                        .map(|queue| queue.workspace_len(&waiting.caller))
                        .sum(),
                ),
            };
        if !has_backend {
            let probe_ms = probe_at_ms.map_or(OTHER_INSTANCE_RETRY_MS, |at| at.saturating_sub(now));
            return Err(self.refusal(RefusalReason::NoBackend, probe_ms));
        }
        let workspace = self.settings.workspaces.get(&waiting.caller);
        let max_queued = workspace.map_or(256, |workspace| workspace.max_queued_requests) as usize;
        let is_full = queued >= max_queued || self.waiting.len() >= self.config.max_queued;
        let wait_ms = to_ms(wait.unwrap_or(0.0) * WAIT_SAFETY_FACTOR);
        if is_full && !can_start_now {
            return Err(self.refusal(RefusalReason::QueueFull, wait_ms));
        }
        // A free slot is never denied because of the estimated run time, so that changed run times are measured.
        let slack_ms = waiting.position.start_by_ms - now;
        if !can_start_now && (late_ms > 0 || wait_ms > slack_ms) {
            let excess_ms = wait_ms.saturating_sub(slack_ms);
            return Err(self.refusal(RefusalReason::Deadline, excess_ms));
        }
        if waiting.requirements.avoid.is_empty() {
            self.check_rate(now, &waiting.caller)?;
        }
        Ok(())
    }

    /// Checks the workspace's rate limit, divided over the entry instances.
    pub(super) fn check_rate(
        &mut self,
        now: u64,
        caller: &Workspace,
    ) -> Result<(), RefusalDetails> {
        let per_s = self
            .settings
            .workspaces
            .get(caller)
            .map_or(0, |workspace| workspace.requests_per_s);
        if per_s == 0 {
            return Ok(());
        }
        let per_s = u64::from(per_s.div_ceil(self.instance_count));
        let limits = self.workspace_limits.entry(caller.clone()).or_default();
        let rate = limits
            .rate
            .get_or_insert_with(|| RateLimit::new(now, per_s));
        let taken = rate.try_take(now, per_s);
        taken.map_err(|wait_ms| self.refusal(RefusalReason::RateLimit, wait_ms))
    }

    /// A refusal whose retry delay has up to 50% of jitter, so that callers do not retry simultaneously.
    pub(super) fn refusal(&mut self, reason: RefusalReason, wait_ms: u64) -> RefusalDetails {
        let base_ms = wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        RefusalDetails {
            reason,
            retry_after_ms: base_ms + self.rng.random_range(0..=base_ms / 2),
        }
    }

    pub fn cancel(&mut self, now: u64, id: WaitId) {
        if let Some(waiting) = self.waiting.remove(&id) {
            let key = waiting.key.service_key();
            if let Some(queue) = self.queue_of(&waiting) {
                queue.remove(&waiting.caller, waiting.position);
            }
            self.assign_slots(now, &key);
        }
    }

    pub(super) fn count_refusal(
        &mut self,
        caller: &Workspace,
        class: WorkClass,
        reason: RefusalReason,
    ) {
        self.class_metrics(caller, class).refused += 1;
        let workspace = self.metrics.workspaces.entry(caller.clone()).or_default();
        *workspace.refusals.entry(reason).or_default() += 1;
    }

    pub(super) fn queue_of(&mut self, waiting: &WaitingRequest) -> Option<&mut ClassQueue> {
        let service = self.services.get_mut(&waiting.key.service_key())?;
        service.queues.get_mut(&waiting.class)
    }

    /// Refuses a waiting request that has already been removed from its queue.
    pub(super) fn refuse(&mut self, id: WaitId, reason: RefusalReason, wait_ms: u64) {
        let Some(waiting) = self.waiting.remove(&id) else {
            return;
        };
        self.count_refusal(&waiting.caller, waiting.class, reason);
        let refused = self.refusal(reason, wait_ms);
        self.decisions.push(Decision {
            tx: waiting.tx,
            result: Err(Refusal {
                reason: refused.reason,
                retry_after_ms: refused.retry_after_ms,
            }),
        });
    }

    pub(super) fn refuse_all(&mut self, reason: RefusalReason) {
        for service in self.services.values_mut() {
            service.queues.clear();
        }
        let ids: Vec<WaitId> = self.waiting.keys().copied().collect();
        for id in ids {
            self.refuse(id, reason, OTHER_INSTANCE_RETRY_MS);
        }
    }

    /// Refuses requests of a service that can no longer start in time.
    pub(super) fn refuse_late(&mut self, now: u64, key: &ServiceKey) {
        for class in CLASSES_BY_PRIORITY {
            let pop = |service: &mut ServiceState| service.queues.get_mut(&class)?.pop_expired(now);
            while let Some(id) = self.services.get_mut(key).and_then(pop) {
                let service = self.services.get(key);
                let wait_ms = service.map_or(0.0, |service| service.mean_hold_ms);
                self.refuse(id, RefusalReason::Deadline, to_ms(wait_ms));
            }
        }
    }

    /// Refuses all waiting requests of a service without a usable backend server.
    pub(super) fn refuse_without_backends(&mut self, now: u64, key: &ServiceKey) {
        let Some(service) = self.services.get_mut(key) else {
            return;
        };
        if service.queued() == 0 || service.has_usable_backend(&[]) {
            return;
        }
        service.queues.clear();
        let probe_ms = service.next_probe_at_ms().map(|at| at.saturating_sub(now));
        let probe_ms = probe_ms.unwrap_or(OTHER_INSTANCE_RETRY_MS);
        let of_service =
            |w: &&WaitingRequest| (&w.key.workspace, &w.key.service) == (&key.0, &key.1);
        let waiting = self.waiting.values().filter(of_service);
        let ids: Vec<WaitId> = waiting.map(|w| w.position.id).collect();
        for id in ids {
            self.refuse(id, RefusalReason::NoBackend, probe_ms);
        }
    }
}
