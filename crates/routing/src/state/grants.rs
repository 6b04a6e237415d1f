//! Slots: which waiting request gets which backend server, and what its result teaches.

use {
    crate::{
        BackendId, InstanceLoad, RefusalReason, RequestInfo, RequestResult,
        group::{Backend, CLASSES},
        learn::RouteKey,
        queue::WaitId,
        state::{
            Delivery, Grant, GrantId, GroupKey, HOLD_WEIGHT, InFlight, OVERDUE_FACTOR,
            SPILL_MARGIN_MS, State, forget_unused,
        },
    },
    ragwortreel_model::InstanceId,
    std::collections::BTreeMap,
};

impl State {
    pub fn finish(&mut self, now: u64, id: GrantId, result: RequestResult) {
        let Some(done) = self.in_flight.remove(&id) else {
            return;
        };
        self.counts(&done.caller, done.class).in_flight -= 1;
        let ran_ms = now - done.since_ms;
        let is_overdue = result == RequestResult::TimedOut && self.is_overdue(&done.key, ran_ms);
        if result == RequestResult::Answered || is_overdue {
            // A request cut at its deadline ran at least this long.
            self.learned.record(&done.key, ran_ms);
        }
        let is_failure = is_overdue
            || matches!(
                result,
                RequestResult::ServerError | RequestResult::ConnectionFailed
            );
        let ratio = self.latency_ratio(&done.key, ran_ms);
        let key = done.key.group();
        if let Some(group) = self.groups.get_mut(&key) {
            let held = if done.on_long_slot {
                &mut group.long_in_use
            } else {
                &mut group.short_in_use
            };
            *held -= 1;
            #[allow(clippy::cast_precision_loss, reason = "run times are below 2^52 ms")]
            let sample_ms = ran_ms as f64;
            group.hold_ms += (sample_ms - group.hold_ms) * HOLD_WEIGHT;
            let (rng, mut ejected, mut recovered) = (&mut self.rng, false, false);
            group.change(now, &done.backend, |backend| {
                backend.in_use -= 1;
                backend.long_in_use -= u32::from(done.on_long_slot);
                if result == RequestResult::Answered {
                    recovered = backend.health.answered(now, ratio);
                } else if is_failure {
                    ejected = backend.health.failed(now, rng);
                }
            });
            self.figures.ejections += u64::from(ejected);
            if recovered || group.is_out() {
                let ids: Vec<BackendId> = group.backends.keys().cloned().collect();
                for id in ids {
                    group.change(now, &id, |backend| {
                        if recovered {
                            backend.health.probe_soon(now, rng);
                        } else {
                            backend.health.probe_in_outage(now, rng);
                        }
                    });
                }
            }
            forget_unused(group, &done.backend);
        }
        self.serve(now, &key);
    }

    /// Whether a request that was cut off had run longer than its route does. Otherwise its own deadline was short, which
    /// says nothing about the backend server: a caller with short deadlines must not eject it for the others.
    pub(super) fn is_overdue(&self, key: &RouteKey, ran_ms: u64) -> bool {
        let estimate = self.learned.estimate(key, None);
        let usual_ms = if estimate.is_learned {
            estimate.p90_ms * OVERDUE_FACTOR
        } else {
            self.config.long_run_ms
        };
        ran_ms >= usual_ms
    }

    pub(super) fn latency_ratio(&self, key: &RouteKey, ran_ms: u64) -> f64 {
        let estimate = self.learned.estimate(key, None);
        if !estimate.is_learned {
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
        let allowed = attempts < self.declared(request).max_attempts;
        let limits = self.workspaces.entry(request.caller.clone()).or_default();
        let is_allowed = may_run_again && in_time && allowed && limits.retries.spend();
        self.figures.retries += u64::from(is_allowed);
        self.figures.retries_denied += u64::from(!is_allowed);
        is_allowed
    }

    /// Another instance, of this zone or another, that can answer sooner although the way to it is longer.
    pub fn forward_target(&mut self, now: u64, request: &RequestInfo) -> Option<InstanceId> {
        let key = (request.workspace.clone(), request.service.clone());
        let weight = self.weight(&request.caller);
        let class = request.class.unwrap_or(self.declared(request).class);
        let has_lease = now < self.shares.valid_until_ms;
        let group = self
            .groups
            .get(&key)
            .filter(|g| has_lease && g.is_served(&[]));
        let wait_ms = group
            .and_then(|group| group.wait_ms(class, &request.caller, weight))
            .unwrap_or(f64::INFINITY);
        let own = &self.config.instance;
        let pays = |load: &&mut InstanceLoad| {
            let detour_ms = load.round_trip_ms + SPILL_MARGIN_MS;
            let free = load.free_slots.get(&key).copied().unwrap_or(0);
            load.instance != *own && free > 0 && wait_ms > detour_ms
        };
        let best = self
            .zones
            .iter_mut()
            .filter(pays)
            .max_by_key(|load| load.free_slots.get(&key).copied())?;
        // Counts the suggestion until the instance reports again, so that not all requests go to it at once.
        if let Some(free) = best.free_slots.get_mut(&key) {
            *free -= 1;
        }
        Some(best.instance.clone())
    }

    pub(super) fn serve_all(&mut self, now: u64) {
        for key in self.active_groups() {
            self.serve(now, &key);
        }
    }

    /// Services that time or a free slot may change. At the design size most services are idle at any moment.
    pub(super) fn active_groups(&self) -> Vec<GroupKey> {
        let active = self.groups.iter().filter(|(_, group)| !group.is_idle());
        active.map(|(key, _)| key.clone()).collect()
    }

    /// Gives free slots to waiting requests of a service.
    pub(super) fn serve(&mut self, now: u64, key: &GroupKey) {
        if now >= self.shares.valid_until_ms {
            self.refuse_all(RefusalReason::NoLease);
            return;
        }
        self.refuse_late(now, key);
        while let Some((id, backend)) = self.next(key) {
            self.grant(now, id, &backend);
        }
        self.refuse_unserved(now, key);
    }

    /// The next request to get a slot, taken from its queue, and the backend server for it.
    pub(super) fn next(&mut self, key: &GroupKey) -> Option<(WaitId, BackendId)> {
        let (groups, waiting) = (&mut self.groups, &self.waiting);
        let group = groups.get_mut(key)?;
        for class in CLASSES {
            let Some(mut queue) = group.queues.remove(&class) else {
                continue;
            };
            let choose = |id: WaitId| {
                let waiting = waiting.get(&id)?;
                group.choose(&waiting.need)
            };
            let popped = queue.pop(|id| choose(id).is_some());
            let chosen = popped.and_then(|id| Some((id, choose(id)?.clone())));
            group.queues.insert(class, queue);
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
        let Some(group) = self.groups.get_mut(&waiting.key.group()) else {
            return;
        };
        if waiting.need.on_long_slot {
            group.long_in_use += 1;
        } else {
            group.short_in_use += 1;
        }
        group.change(now, backend_id, |backend| {
            backend.in_use += 1;
            backend.long_in_use += u32::from(waiting.need.on_long_slot);
            backend.last_used = id;
        });
        let backend = &group.backends[backend_id];
        let (revoke, revoked) = async_channel::bounded(1);
        let grant = Grant {
            id,
            backend: backend_id.clone(),
            address: backend.server.address,
            class: waiting.class,
            waited_ms: now - waiting.since_ms,
            revoked,
        };
        if waiting.need.avoid.is_empty() {
            let percent = self.settings.cell.retry_budget_percent;
            let limits = self.workspaces.entry(waiting.caller.clone()).or_default();
            limits.retries.earn(percent);
        }
        let counts = self.counts(&waiting.caller, waiting.class);
        counts.admitted += 1;
        counts.in_flight += 1;
        counts.waited_ms += grant.waited_ms;
        let in_flight = InFlight {
            key: waiting.key,
            caller: waiting.caller,
            class: waiting.class,
            on_long_slot: waiting.need.on_long_slot,
            backend: backend_id.clone(),
            since_ms: now,
            revoke,
        };
        self.in_flight.insert(id, in_flight);
        self.deliveries.push(Delivery {
            tx: waiting.tx,
            verdict: Ok(grant),
        });
    }

    /// Whether a granted slot may still be used.
    pub fn is_valid(&self, now: u64, id: GrantId) -> bool {
        let in_flight = self.in_flight.get(&id);
        now < self.shares.valid_until_ms && in_flight.is_some_and(|f| !f.revoke.is_closed())
    }

    /// Tells requests to leave slots that this instance no longer has, newest first.
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

    /// Counts short work that runs long as long work, so that no further long work joins it.
    pub(super) fn count_stragglers(&mut self, now: u64) {
        for in_flight in self.in_flight.values_mut() {
            let runs_long = now >= in_flight.since_ms + self.config.long_run_ms;
            if in_flight.on_long_slot || !runs_long {
                continue;
            }
            in_flight.on_long_slot = true;
            if let Some(group) = self.groups.get_mut(&in_flight.key.group()) {
                group.short_in_use -= 1;
                group.long_in_use += 1;
                let count = |backend: &mut Backend| backend.long_in_use += 1;
                group.change(now, &in_flight.backend, count);
            }
        }
    }
}
