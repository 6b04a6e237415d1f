//! Slots: their assignment to waiting requests, their release with a result, retries, forwarding and revocation.

use {
    crate::{
        BackendId, InstanceLoad, RefusalReason, RequestInfo, RequestResult,
        queue::WaitId,
        run_times::RouteKey,
        service::{BackendState, CLASSES_BY_PRIORITY},
        state::{
            Decision, FORWARD_MARGIN_MS, Grant, GrantId, HOLD_TIME_WEIGHT, InFlightRequest,
            OVERDUE_FACTOR, RouterState, ServiceKey, remove_if_drained,
        },
    },
    ragwortreel_model::InstanceId,
    std::collections::BTreeMap,
};

impl RouterState {
    pub fn finish(&mut self, now: u64, id: GrantId, result: RequestResult) {
        let Some(done) = self.in_flight.remove(&id) else {
            return;
        };
        self.class_metrics(&done.caller, done.class).in_flight -= 1;
        let ran_ms = now - done.granted_at_ms;
        let is_overdue = result == RequestResult::TimedOut && self.is_overdue(&done.key, ran_ms);
        if result == RequestResult::Answered || is_overdue {
            // A request cut off at its deadline ran at least this long.
            self.run_times.record(&done.key, ran_ms);
        }
        let is_failure = is_overdue
            || matches!(
                result,
                RequestResult::ServerError | RequestResult::ConnectionFailed
            );
        let ratio = self.latency_ratio(&done.key, ran_ms);
        let key = done.key.service_key();
        if let Some(service) = self.services.get_mut(&key) {
            let held = if done.counts_as_long {
                &mut service.long_in_use
            } else {
                &mut service.short_in_use
            };
            *held -= 1;
            #[allow(clippy::cast_precision_loss, reason = "run times are below 2^52 ms")]
            let sample_ms = ran_ms as f64;
            service.mean_hold_ms += (sample_ms - service.mean_hold_ms) * HOLD_TIME_WEIGHT;
            let (rng, mut ejected, mut recovered) = (&mut self.rng, false, false);
            service.update_backend(now, &done.backend, |backend| {
                backend.in_use -= 1;
                backend.long_in_use -= u32::from(done.counts_as_long);
                if result == RequestResult::Answered {
                    recovered = backend.health.record_success(now, ratio);
                } else if is_failure {
                    ejected = backend.health.record_failure(now, rng);
                }
            });
            self.metrics.ejections += u64::from(ejected);
            if recovered || service.all_ejected() {
                let ids: Vec<BackendId> = service.backends.keys().cloned().collect();
                for id in ids {
                    service.update_backend(now, &id, |backend| {
                        if recovered {
                            backend.health.probe_soon(now, rng);
                        } else {
                            backend.health.probe_in_outage(now, rng);
                        }
                    });
                }
            }
            remove_if_drained(service, &done.backend);
        }
        self.assign_slots(now, &key);
    }

    /// Whether a request that was cut off had run longer than is usual for its route. Otherwise its deadline was short,
    /// which says nothing about the backend server: a caller with short deadlines must not eject it for other callers.
    pub(super) fn is_overdue(&self, key: &RouteKey, ran_ms: u64) -> bool {
        let estimate = self.run_times.estimate(key, None);
        let usual_ms = if estimate.is_measured {
            estimate.p90_ms * OVERDUE_FACTOR
        } else {
            self.config.long_run_ms
        };
        ran_ms >= usual_ms
    }

    /// Run time relative to the route's mean; 1.0 until that has been measured.
    pub(super) fn latency_ratio(&self, key: &RouteKey, ran_ms: u64) -> f64 {
        let estimate = self.run_times.estimate(key, None);
        if !estimate.is_measured {
            return 1.0;
        }
        #[allow(clippy::cast_precision_loss, reason = "run times are below 2^52 ms")]
        let ran_ms = ran_ms as f64;
        // One ms is the clock's resolution.
        (ran_ms / estimate.mean_ms.max(1.0)).max(0.0)
    }

    pub fn retry_allowed(
        &mut self,
        now: u64,
        request: &RequestInfo,
        attempts: u32,
        proven_not_run: bool,
    ) -> bool {
        let may_run_again = request.idempotent || proven_not_run;
        let in_time = now < request.deadline_ms && !self.stopping;
        let allowed = attempts < self.service_settings(request).max_attempts;
        let limits = self
            .workspace_limits
            .entry(request.caller.clone())
            .or_default();
        let is_allowed = may_run_again && in_time && allowed && limits.retries.try_withdraw();
        self.metrics.retries += u64::from(is_allowed);
        self.metrics.retries_denied += u64::from(!is_allowed);
        is_allowed
    }

    /// Another instance, of this zone or another, that can respond sooner despite the additional round trip.
    pub fn forward_target(&mut self, now: u64, request: &RequestInfo) -> Option<InstanceId> {
        let key = (request.workspace.clone(), request.service.clone());
        let weight = self.weight(&request.caller);
        let class = request
            .class
            .unwrap_or(self.service_settings(request).class);
        let has_lease = now < self.shares.valid_until_ms;
        let service = self
            .services
            .get(&key)
            .filter(|service| has_lease && service.has_usable_backend(&[]));
        let wait_ms = service
            .and_then(|service| service.estimated_wait_ms(class, &request.caller, weight))
            .unwrap_or(f64::INFINITY);
        let own = &self.config.instance;
        let is_faster = |load: &&mut InstanceLoad| {
            let detour_ms = load.round_trip_ms + FORWARD_MARGIN_MS;
            let free = load.free_slots.get(&key).copied().unwrap_or(0);
            load.instance != *own && free > 0 && wait_ms > detour_ms
        };
        let best = self
            .instance_loads
            .iter_mut()
            .filter(is_faster)
            .max_by_key(|load| load.free_slots.get(&key).copied())?;
        // The slot counts as taken until the instance reports again, so that not all requests are forwarded to it at
        // once.
        if let Some(free) = best.free_slots.get_mut(&key) {
            *free -= 1;
        }
        Some(best.instance.clone())
    }

    pub(super) fn assign_all_slots(&mut self, now: u64) {
        for key in self.active_services() {
            self.assign_slots(now, &key);
        }
    }

    /// Services whose state may change with time or that have waiting requests. Idle ones are skipped, because in a
    /// large cell most services are idle at any moment.
    pub(super) fn active_services(&self) -> Vec<ServiceKey> {
        let active = self
            .services
            .iter()
            .filter(|(_, service)| !service.is_idle());
        active.map(|(key, _)| key.clone()).collect()
    }

    /// Assigns the free slots of a service to its waiting requests.
    pub(super) fn assign_slots(&mut self, now: u64, key: &ServiceKey) {
        if now >= self.shares.valid_until_ms {
            self.refuse_all(RefusalReason::NoLease);
            return;
        }
        self.refuse_late(now, key);
        while let Some((id, backend)) = self.next_assignment(key) {
            self.grant(now, id, &backend);
        }
        self.refuse_without_backends(now, key);
    }

    /// Next request to get a slot, removed from its queue, and the backend server for it.
    pub(super) fn next_assignment(&mut self, key: &ServiceKey) -> Option<(WaitId, BackendId)> {
        let (services, waiting) = (&mut self.services, &self.waiting);
        let service = services.get_mut(key)?;
        for class in CLASSES_BY_PRIORITY {
            let Some(mut queue) = service.queues.remove(&class) else {
                continue;
            };
            let choose = |id: WaitId| {
                let waiting = waiting.get(&id)?;
                service.choose_backend(&waiting.requirements)
            };
            let popped = queue.pop(|id| choose(id).is_some());
            let chosen = popped.and_then(|id| Some((id, choose(id)?.clone())));
            service.queues.insert(class, queue);
            if chosen.is_some() {
                return chosen;
            }
        }
        None
    }

    pub(super) fn grant(&mut self, now: u64, id: WaitId, backend_id: &BackendId) {
        let Some(waiting) = self.waiting.remove(&id) else {
            return;
        };
        let Some(service) = self.services.get_mut(&waiting.key.service_key()) else {
            return;
        };
        if waiting.requirements.counts_as_long {
            service.long_in_use += 1;
        } else {
            service.short_in_use += 1;
        }
        service.update_backend(now, backend_id, |backend| {
            backend.in_use += 1;
            backend.long_in_use += u32::from(waiting.requirements.counts_as_long);
            backend.last_request = id;
        });
        let backend = &service.backends[backend_id];
        let (revoke, revoked) = async_channel::bounded(1);
        let grant = Grant {
            id,
            backend: backend_id.clone(),
            address: backend.server.address,
            class: waiting.class,
            waited_ms: now - waiting.queued_at_ms,
            revoked,
        };
        if waiting.requirements.avoid.is_empty() {
            let percent = self.settings.cell.retry_budget_percent;
            let limits = self
                .workspace_limits
                .entry(waiting.caller.clone())
                .or_default();
            limits.retries.deposit(percent);
        }
        let counts = self.class_metrics(&waiting.caller, waiting.class);
        counts.admitted += 1;
        counts.in_flight += 1;
        counts.waited_ms += grant.waited_ms;
        let in_flight = InFlightRequest {
            key: waiting.key,
            caller: waiting.caller,
            class: waiting.class,
            counts_as_long: waiting.requirements.counts_as_long,
            backend: backend_id.clone(),
            granted_at_ms: now,
            revoke,
        };
        self.in_flight.insert(id, in_flight);
        self.decisions.push(Decision {
            tx: waiting.tx,
            result: Ok(grant),
        });
    }

    /// Whether a granted slot may still be used.
    pub fn is_valid(&self, now: u64, id: GrantId) -> bool {
        let in_flight = self.in_flight.get(&id);
        now < self.shares.valid_until_ms && in_flight.is_some_and(|f| !f.revoke.is_closed())
    }

    /// Revokes slots that this instance no longer holds, those of the newest requests first.
    pub(super) fn revoke_excess(&mut self, now: u64) {
        let is_expired = now >= self.shares.valid_until_ms;
        let is_excess = self
            .shares
            .excess_until_ms
            .is_some_and(|until| now >= until);
        if !is_expired && !is_excess {
            return;
        }
        let mut kept: BTreeMap<&BackendId, u32> = BTreeMap::new();
        for in_flight in self.in_flight.values() {
            let share = self.shares.by_backend.get(&in_flight.backend);
            let slots = share.map_or(0, |share| share.slots);
            let kept = kept.entry(&in_flight.backend).or_default();
            if is_expired || *kept >= slots {
                in_flight.revoke.close();
            } else {
                *kept += 1;
            }
        }
    }

    /// Counts short requests that have run long as long work, so that no further long work is started beside them.
    pub(super) fn reclassify_stragglers(&mut self, now: u64) {
        for in_flight in self.in_flight.values_mut() {
            let runs_long = now >= in_flight.granted_at_ms + self.config.long_run_ms;
            if in_flight.counts_as_long || !runs_long {
                continue;
            }
            in_flight.counts_as_long = true;
            if let Some(service) = self.services.get_mut(&in_flight.key.service_key()) {
                service.short_in_use -= 1;
                service.long_in_use += 1;
                let count = |backend: &mut BackendState| backend.long_in_use += 1;
                service.update_backend(now, &in_flight.backend, count);
            }
        }
    }
}
