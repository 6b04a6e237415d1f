//! Admission of requests: bounds, rate limits, deadlines and refusals.

use {
    crate::{
        BackendId, Refusal, RefusalReason, RequestInfo,
        budget::RateLimit,
        group::{CLASSES, Group, Need},
        learn::{RouteKey, classify},
        queue::{ClassQueue, Place, WaitId},
        state::{
            Delivery, ELSEWHERE_RETRY_MS, GroupKey, MAX_RETRY_MS, MIN_RETRY_MS, Refused, State,
            Verdict, WAIT_MARGIN, Waiting, to_ms,
        },
    },
    async_channel::Sender,
    ragwortreel_model::{WorkClass, Workspace},
    rand::Rng,
};

impl State {
    pub fn enqueue(
        &mut self,
        now: u64,
        request: RequestInfo,
        avoid: &[BackendId],
        tx: Sender<Verdict>,
    ) -> Result<WaitId, Refusal> {
        let class = request.class.unwrap_or(self.declared(&request).class);
        let key = RouteKey {
            workspace: request.workspace,
            service: request.service,
            route: request.route,
        };
        let estimate = self.learned.estimate(&key, request.cost_hint_ms);
        let (class, on_long_slot) = classify(class, estimate, self.config.long_run_ms);
        let id = self.next_id;
        self.next_id += 1;
        let latest_ms = request.deadline_ms.saturating_sub(estimate.p90_ms);
        let waiting = Waiting {
            key,
            caller: request.caller,
            class,
            need: Need {
                on_long_slot,
                idempotent: request.idempotent,
                avoid: avoid.to_vec(),
            },
            place: Place {
                start_by_ms: latest_ms.max(now),
                id,
            },
            since_ms: now,
            tx,
        };
        let late_ms = now.saturating_sub(latest_ms);
        let check = if now >= request.deadline_ms {
            Err(self.refused(RefusalReason::Deadline, 0))
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

    /// Queues a request that has passed all checks, and serves its group.
    pub(super) fn push(&mut self, now: u64, waiting: Waiting, mean_ms: f64) {
        let weight = self.weight(&waiting.caller);
        let key = waiting.key.group();
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "mean run times are positive and below 2^52 ms"
        )]
        let cost_ms = (mean_ms as u64).max(1);
        let group = self.groups.entry(key.clone()).or_default();
        let queue = group.queues.entry(waiting.class).or_default();
        queue.push(&waiting.caller, weight, waiting.place, cost_ms);
        self.waiting.insert(waiting.place.id, waiting);
        self.serve(now, &key);
    }

    /// Checks a new request against every reason for a refusal. `late_ms` is the time by which it is late already.
    pub(super) fn check(
        &mut self,
        now: u64,
        waiting: &Waiting,
        late_ms: u64,
    ) -> Result<(), Refused> {
        if self.stopping {
            return Err(self.refused(RefusalReason::Stopping, ELSEWHERE_RETRY_MS));
        }
        if now >= self.shares.valid_until_ms {
            return Err(self.refused(RefusalReason::NoLease, ELSEWHERE_RETRY_MS));
        }
        let weight = self.weight(&waiting.caller);
        let (is_served, is_free, wait, probe, queued) = match self.groups.get(&waiting.key.group())
        {
            None => (false, false, None, None, 0),
            Some(group) => (
                group.is_served(&waiting.need.avoid),
                group.choose(&waiting.need).is_some()
                    && group
                        .queues
                        .get(&waiting.class)
                        .is_none_or(ClassQueue::is_empty),
                group.wait_ms(waiting.class, &waiting.caller, weight),
                group.next_probe_ms(),
                CLASSES
                    .iter()
                    .filter_map(|class| group.queues.get(class))
                    .map(|queue| queue.len_of(&waiting.caller))
                    .sum(),
            ),
        };
        if !is_served {
            let probe_ms = probe.map_or(ELSEWHERE_RETRY_MS, |at| at.saturating_sub(now));
            return Err(self.refused(RefusalReason::NoBackend, probe_ms));
        }
        let workspace = self.settings.workspaces.get(&waiting.caller);
        let max_queued = workspace.map_or(256, |workspace| workspace.max_queued_requests) as usize;
        let is_full = queued >= max_queued || self.waiting.len() >= self.config.max_queued;
        let wait_ms = to_ms(wait.unwrap_or(0.0) * WAIT_MARGIN);
        if is_full && !is_free {
            return Err(self.refused(RefusalReason::QueueFull, wait_ms));
        }
        // A free slot is never denied because of run times, so that changed ones can be learned.
        let slack_ms = waiting.place.start_by_ms - now;
        if !is_free && (late_ms > 0 || wait_ms > slack_ms) {
            let excess_ms = wait_ms.saturating_sub(slack_ms);
            return Err(self.refused(RefusalReason::Deadline, excess_ms));
        }
        if waiting.need.avoid.is_empty() {
            self.check_rate(now, &waiting.caller)?;
        }
        Ok(())
    }

    /// The workspace's limit, divided over the entry instances.
    pub(super) fn check_rate(&mut self, now: u64, caller: &Workspace) -> Result<(), Refused> {
        let per_s = self
            .settings
            .workspaces
            .get(caller)
            .map_or(0, |t| t.requests_per_s);
        if per_s == 0 {
            return Ok(());
        }
        let per_s = u64::from(per_s.div_ceil(self.instances));
        let limits = self.workspaces.entry(caller.clone()).or_default();
        let rate = limits
            .rate
            .get_or_insert_with(|| RateLimit::new(now, per_s));
        let taken = rate.take(now, per_s);
        taken.map_err(|wait_ms| self.refused(RefusalReason::RateLimit, wait_ms))
    }

    /// A refusal whose advice is spread over half of its length, so that callers do not return together.
    pub(super) fn refused(&mut self, reason: RefusalReason, wait_ms: u64) -> Refused {
        let base_ms = wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        Refused {
            reason,
            retry_after_ms: base_ms + self.rng.random_range(0..=base_ms / 2),
        }
    }

    pub fn cancel(&mut self, now: u64, id: WaitId) {
        if let Some(waiting) = self.waiting.remove(&id) {
            let key = waiting.key.group();
            if let Some(queue) = self.queue_of(&waiting) {
                queue.remove(&waiting.caller, waiting.place);
            }
            self.serve(now, &key);
        }
    }

    pub(super) fn count_refusal(
        &mut self,
        caller: &Workspace,
        class: WorkClass,
        reason: RefusalReason,
    ) {
        self.counts(caller, class).refused += 1;
        let workspace = self.figures.workspaces.entry(caller.clone()).or_default();
        *workspace.refusals.entry(reason).or_default() += 1;
    }

    pub(super) fn queue_of(&mut self, waiting: &Waiting) -> Option<&mut ClassQueue> {
        let group = self.groups.get_mut(&waiting.key.group())?;
        group.queues.get_mut(&waiting.class)
    }

    /// Gives a request that is no longer in its queue its final answer.
    pub(super) fn refuse(&mut self, id: WaitId, reason: RefusalReason, wait_ms: u64) {
        let Some(waiting) = self.waiting.remove(&id) else {
            return;
        };
        self.count_refusal(&waiting.caller, waiting.class, reason);
        let refused = self.refused(reason, wait_ms);
        self.deliveries.push(Delivery {
            tx: waiting.tx,
            verdict: Err(Refusal {
                reason: refused.reason,
                retry_after_ms: refused.retry_after_ms,
            }),
        });
    }

    pub(super) fn refuse_all(&mut self, reason: RefusalReason) {
        for group in self.groups.values_mut() {
            group.queues.clear();
        }
        let ids: Vec<WaitId> = self.waiting.keys().copied().collect();
        for id in ids {
            self.refuse(id, reason, ELSEWHERE_RETRY_MS);
        }
    }

    /// Refuses requests that cannot start in time any more.
    pub(super) fn refuse_late(&mut self, now: u64, key: &GroupKey) {
        for class in CLASSES {
            let pop = |group: &mut Group| group.queues.get_mut(&class)?.pop_late(now);
            while let Some(id) = self.groups.get_mut(key).and_then(pop) {
                let group = self.groups.get(key);
                let wait_ms = group.map_or(0.0, |group| group.hold_ms);
                self.refuse(id, RefusalReason::Deadline, to_ms(wait_ms));
            }
        }
    }

    /// Refuses what waits for a service none of whose backend servers takes requests.
    pub(super) fn refuse_unserved(&mut self, now: u64, key: &GroupKey) {
        let Some(group) = self.groups.get_mut(key) else {
            return;
        };
        if group.queued() == 0 || group.is_served(&[]) {
            return;
        }
        group.queues.clear();
        let probe_ms = group.next_probe_ms().map(|at| at.saturating_sub(now));
        let probe_ms = probe_ms.unwrap_or(ELSEWHERE_RETRY_MS);
        let of_group = |w: &&Waiting| (&w.key.workspace, &w.key.service) == (&key.0, &key.1);
        let waiting = self.waiting.values().filter(of_group);
        let ids: Vec<WaitId> = waiting.map(|w| w.place.id).collect();
        for id in ids {
            self.refuse(id, RefusalReason::NoBackend, probe_ms);
        }
    }
}
