//! State of the router: queues, backend servers and what is in flight. Plain synchronous code behind the mutex.

use {
    crate::{
        BackendFigures, BackendId, BackendServer, Permit, QueueFigures, Refusal, RefusalReason,
        RequestInfo, RequestResult, RouterConfig, RouterFigures, SlotShares, ZoneLoad,
        budget::{RateLimit, RetryBudget},
        group::{Backend, CLASSES, Group, Need},
        learn::{Learned, RouteKey, classify},
        queue::{ClassQueue, Place, WaitId},
    },
    async_channel::Sender,
    ragwortreel_model::{InstanceId, ServiceName, ServiceSettings, Settings, Team, WorkClass},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Identifier of a granted slot.
pub type GrantId = u64;
/// What a waiting request is told.
pub type Verdict = Result<Permit, Refusal>;
/// A service and the team that offers it.
type GroupKey = (Team, ServiceName);

/// Time until the next tick while requests wait, in ms.
const BUSY_TICK_MS: u64 = 5;
/// Time until the next tick while none waits, in ms.
const IDLE_TICK_MS: u64 = 50;
/// Allowance for errors of the estimated wait: requests are refused a fifth early.
const WAIT_MARGIN: f64 = 1.2;
/// Shortest and longest `retry-after`, in ms.
const MIN_RETRY_MS: u64 = 50;
const MAX_RETRY_MS: u64 = 30_000;
/// Advice when the instance has no lease or is stopping; another instance can serve sooner than this.
const ELSEWHERE_RETRY_MS: u64 = 500;
/// Weight of one sample in the mean time on a slot.
const HOLD_WEIGHT: f64 = 0.05;
/// Multiple of the learned p90 from which a request cut at its deadline counts as a failure.
const OVERDUE_FACTOR: u64 = 2;
/// Wait at which another zone is considered, beyond the round trip to it, in ms.
const SPILL_MARGIN_MS: f64 = 10.0;

/// A slot given to a request.
#[derive(Debug, Clone)]
pub struct Grant {
    pub id: GrantId,
    pub backend: BackendId,
    pub address: SocketAddr,
    pub class: WorkClass,
    pub waited_ms: u64,
    pub revoked: async_channel::Receiver<()>,
}

/// A decision on its way to the waiting task.
pub struct Delivery {
    pub tx: Sender<Verdict>,
    pub verdict: Result<Grant, Refusal>,
}

struct Waiting {
    key: RouteKey,
    caller: Team,
    class: WorkClass,
    need: Need,
    place: Place,
    since_ms: u64,
    tx: Sender<Verdict>,
}

struct InFlight {
    key: RouteKey,
    caller: Team,
    class: WorkClass,
    on_long_slot: bool,
    backend: BackendId,
    since_ms: u64,
    revoke: Sender<()>,
}

/// Limits of one calling team.
#[derive(Default)]
struct TeamLimits {
    rate: Option<RateLimit>,
    retries: RetryBudget,
}

/// All state of a router.
pub struct State {
    config: RouterConfig,
    settings: Settings,
    instances: u32,
    shares: SlotShares,
    groups: BTreeMap<GroupKey, Group>,
    zones: Vec<ZoneLoad>,
    waiting: BTreeMap<WaitId, Waiting>,
    in_flight: BTreeMap<GrantId, InFlight>,
    teams: BTreeMap<Team, TeamLimits>,
    learned: Learned,
    deliveries: Vec<Delivery>,
    figures: RouterFigures,
    rng: ChaCha8Rng,
    next_id: WaitId,
    stopping: bool,
}

impl RouteKey {
    fn group(&self) -> GroupKey {
        (self.team.clone(), self.service.clone())
    }
}

/// A refusal of a request that has not been queued.
struct Refused {
    reason: RefusalReason,
    retry_after_ms: u64,
}

impl State {
    pub fn new(config: RouterConfig) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            config,
            settings: Settings::default(),
            instances: 1,
            shares: SlotShares::default(),
            groups: BTreeMap::new(),
            zones: Vec::new(),
            waiting: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            teams: BTreeMap::new(),
            learned: Learned::default(),
            deliveries: Vec::new(),
            figures: RouterFigures::default(),
            next_id: 1,
            stopping: false,
        }
    }

    pub fn take_deliveries(&mut self) -> Vec<Delivery> {
        std::mem::take(&mut self.deliveries)
    }

    pub fn update_settings(&mut self, _now: u64, settings: &Settings) {
        self.settings = settings.clone();
        // What is kept by team is bounded by the teams of the settings and those with requests in flight.
        let has_team = |team: &Team| settings.teams.contains_key(team);
        self.teams.retain(|team, _| has_team(team));
        self.figures.teams.retain(|team, figures| {
            has_team(team) || figures.classes.values().any(|c| c.in_flight > 0)
        });
    }

    pub fn update_instances(&mut self, instances: u32) {
        self.instances = instances.max(1);
    }

    pub fn update_zones(&mut self, zones: Vec<ZoneLoad>) {
        let known = std::mem::take(&mut self.zones);
        let same = |new: &ZoneLoad| {
            let mut known = known.iter();
            let found = known.find(|old| old.instance == new.instance && old.report == new.report);
            found.cloned()
        };
        self.zones = zones
            .into_iter()
            .map(|new| same(&new).unwrap_or(new))
            .collect();
    }

    pub fn update_backends(&mut self, now: u64, servers: Vec<BackendServer>) {
        let mut gone: BTreeMap<BackendId, GroupKey> = BTreeMap::new();
        for (key, group) in &self.groups {
            gone.extend(group.backends.keys().map(|id| (id.clone(), key.clone())));
        }
        for server in servers {
            if server.zone != self.config.zone {
                continue;
            }
            let key = (server.team.clone(), server.service.clone());
            let share = self.share_of(&server.id);
            let group = self.groups.entry(key.clone()).or_default();
            if gone.get(&server.id) == Some(&key) {
                gone.remove(&server.id);
                let id = server.id.clone();
                group.change(now, &id, |backend| backend.server = server);
            } else {
                group.insert(now, Backend::new(server, share));
            }
        }
        for (id, key) in gone {
            if let Some(group) = self.groups.get_mut(&key) {
                group.change(now, &id, |backend| backend.server.leaving = true);
                forget_unused(group, &id);
            }
        }
        self.serve_all(now);
        self.groups
            .retain(|_, group| !group.backends.is_empty() || group.queued() > 0);
    }

    pub fn update_shares(&mut self, now: u64, shares: SlotShares) {
        self.shares = shares;
        let by_backend = &self.shares.by_backend;
        for group in self.groups.values_mut() {
            // Most calls only extend the lease.
            let shares = group.backends.iter().filter_map(|(id, backend)| {
                let share = by_backend.get(id).copied().unwrap_or_default();
                (share != backend.share).then(|| (id.clone(), share))
            });
            let changed: Vec<_> = shares.collect();
            for (id, share) in changed {
                group.change(now, &id, |backend| backend.share = share);
            }
        }
        self.revoke_excess(now);
        self.serve_all(now);
    }

    pub fn stop(&mut self, _now: u64) {
        self.stopping = true;
        self.refuse_all(RefusalReason::Stopping);
    }

    /// Whether time changes nothing: no request waits or is in flight, and every service is idle.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty()
            && self.in_flight.is_empty()
            && self.groups.values().all(Group::is_idle)
    }

    pub fn tick(&mut self, now: u64) -> u64 {
        self.revoke_excess(now);
        self.count_stragglers(now);
        for key in self.active_groups() {
            self.refuse_late(now, &key);
            if let Some(group) = self.groups.get_mut(&key) {
                group.average(now);
            }
            self.serve(now, &key);
        }
        if self.waiting.is_empty() {
            IDLE_TICK_MS
        } else {
            BUSY_TICK_MS
        }
    }

    pub fn enqueue(
        &mut self,
        now: u64,
        request: RequestInfo,
        avoid: &[BackendId],
        tx: Sender<Verdict>,
    ) -> Result<WaitId, Refusal> {
        let class = request.class.unwrap_or(self.declared(&request).class);
        let key = RouteKey {
            team: request.team,
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
    fn push(&mut self, now: u64, waiting: Waiting, mean_ms: f64) {
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
    fn check(&mut self, now: u64, waiting: &Waiting, late_ms: u64) -> Result<(), Refused> {
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
        let team = self.settings.teams.get(&waiting.caller);
        let max_queued = team.map_or(256, |team| team.max_queued_requests) as usize;
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

    /// The team's limit, divided over the entry instances.
    fn check_rate(&mut self, now: u64, caller: &Team) -> Result<(), Refused> {
        let per_s = self
            .settings
            .teams
            .get(caller)
            .map_or(0, |t| t.requests_per_s);
        if per_s == 0 {
            return Ok(());
        }
        let per_s = u64::from(per_s.div_ceil(self.instances));
        let limits = self.teams.entry(caller.clone()).or_default();
        let rate = limits
            .rate
            .get_or_insert_with(|| RateLimit::new(now, per_s));
        let taken = rate.take(now, per_s);
        taken.map_err(|wait_ms| self.refused(RefusalReason::RateLimit, wait_ms))
    }

    /// A refusal whose advice is spread over half of its length, so that callers do not return together.
    fn refused(&mut self, reason: RefusalReason, wait_ms: u64) -> Refused {
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
    fn is_overdue(&self, key: &RouteKey, ran_ms: u64) -> bool {
        let estimate = self.learned.estimate(key, None);
        let usual_ms = if estimate.is_learned {
            estimate.p90_ms * OVERDUE_FACTOR
        } else {
            self.config.long_run_ms
        };
        ran_ms >= usual_ms
    }

    fn latency_ratio(&self, key: &RouteKey, ran_ms: u64) -> f64 {
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
        let limits = self.teams.entry(request.caller.clone()).or_default();
        let is_allowed = may_run_again && in_time && allowed && limits.retries.spend();
        self.figures.retries += u64::from(is_allowed);
        self.figures.retries_denied += u64::from(!is_allowed);
        is_allowed
    }

    /// Another instance, of this zone or another, that can answer sooner although the way to it is longer.
    pub fn spill(&mut self, now: u64, request: &RequestInfo) -> Option<InstanceId> {
        let key = (request.team.clone(), request.service.clone());
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
        let pays = |load: &&mut ZoneLoad| {
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

    pub fn slots_in_use(&self) -> BTreeMap<BackendId, u32> {
        let mut in_use: BTreeMap<BackendId, u32> = BTreeMap::new();
        // A backend server that changed its service is in two groups until its old requests have ended.
        for (id, backend) in self.groups.values().flat_map(|group| &group.backends) {
            *in_use.entry(id.clone()).or_default() += backend.in_use;
        }
        in_use
    }

    pub fn free_slots(&self) -> BTreeMap<GroupKey, u32> {
        let free = |(key, group): (&GroupKey, &Group)| (key.clone(), group.free_slots());
        self.groups.iter().map(free).collect()
    }

    pub fn figures(&self) -> RouterFigures {
        let mut figures = self.figures.clone();
        figures.queued = self.waiting.len() as u64;
        figures.in_flight = self.in_flight.len() as u64;
        for waiting in self.waiting.values() {
            let team = figures.teams.entry(waiting.caller.clone()).or_default();
            team.classes.entry(waiting.class).or_default().queued += 1;
        }
        for (id, backend) in self.groups.values().flat_map(|group| &group.backends) {
            let of_backend = BackendFigures {
                share: backend.share,
                in_use: backend.in_use,
                long_in_use: backend.long_in_use,
                limit: backend.allowed,
                ejected: backend.health.is_ejected(),
            };
            figures.backends.insert(id.clone(), of_backend);
        }
        figures
    }

    fn declared(&self, request: &RequestInfo) -> ServiceSettings {
        let team = self.settings.teams.get(&request.team);
        let service = team.and_then(|team| team.services.get(&request.service));
        service.cloned().unwrap_or_default()
    }

    fn weight(&self, team: &Team) -> u32 {
        self.settings
            .teams
            .get(team)
            .map_or(100, |team| team.weight)
    }

    fn share_of(&self, id: &BackendId) -> crate::Share {
        self.shares.by_backend.get(id).copied().unwrap_or_default()
    }

    fn counts(&mut self, caller: &Team, class: WorkClass) -> &mut QueueFigures {
        let team = self.figures.teams.entry(caller.clone()).or_default();
        team.classes.entry(class).or_default()
    }

    fn count_refusal(&mut self, caller: &Team, class: WorkClass, reason: RefusalReason) {
        self.counts(caller, class).refused += 1;
        let team = self.figures.teams.entry(caller.clone()).or_default();
        *team.refusals.entry(reason).or_default() += 1;
    }

    fn queue_of(&mut self, waiting: &Waiting) -> Option<&mut ClassQueue> {
        let group = self.groups.get_mut(&waiting.key.group())?;
        group.queues.get_mut(&waiting.class)
    }

    /// Gives a request that is no longer in its queue its final answer.
    fn refuse(&mut self, id: WaitId, reason: RefusalReason, wait_ms: u64) {
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

    fn refuse_all(&mut self, reason: RefusalReason) {
        for group in self.groups.values_mut() {
            group.queues.clear();
        }
        let ids: Vec<WaitId> = self.waiting.keys().copied().collect();
        for id in ids {
            self.refuse(id, reason, ELSEWHERE_RETRY_MS);
        }
    }

    /// Refuses requests that cannot start in time any more.
    fn refuse_late(&mut self, now: u64, key: &GroupKey) {
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
    fn refuse_unserved(&mut self, now: u64, key: &GroupKey) {
        let Some(group) = self.groups.get_mut(key) else {
            return;
        };
        if group.queued() == 0 || group.is_served(&[]) {
            return;
        }
        group.queues.clear();
        let probe_ms = group.next_probe_ms().map(|at| at.saturating_sub(now));
        let probe_ms = probe_ms.unwrap_or(ELSEWHERE_RETRY_MS);
        let of_group = |w: &&Waiting| (&w.key.team, &w.key.service) == (&key.0, &key.1);
        let waiting = self.waiting.values().filter(of_group);
        let ids: Vec<WaitId> = waiting.map(|w| w.place.id).collect();
        for id in ids {
            self.refuse(id, RefusalReason::NoBackend, probe_ms);
        }
    }

    fn serve_all(&mut self, now: u64) {
        for key in self.active_groups() {
            self.serve(now, &key);
        }
    }

    /// Services that time or a free slot may change. At the design size most services are idle at any moment.
    fn active_groups(&self) -> Vec<GroupKey> {
        let active = self.groups.iter().filter(|(_, group)| !group.is_idle());
        active.map(|(key, _)| key.clone()).collect()
    }

    /// Gives free slots to waiting requests of a service.
    fn serve(&mut self, now: u64, key: &GroupKey) {
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
    fn next(&mut self, key: &GroupKey) -> Option<(WaitId, BackendId)> {
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

    fn grant(&mut self, now: u64, id: WaitId, backend_id: &BackendId) {
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
            let limits = self.teams.entry(waiting.caller.clone()).or_default();
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
    fn revoke_excess(&mut self, now: u64) {
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
    fn count_stragglers(&mut self, now: u64) {
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

/// Removes a backend server that is gone from the list once nothing is in flight to it.
fn forget_unused(group: &mut Group, id: &BackendId) {
    let unused = |b: &Backend| b.server.leaving && b.in_use == 0;
    if group.backends.get(id).is_some_and(unused) {
        group.remove(id);
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "waits are positive and below 2^52 ms"
)]
fn to_ms(wait_ms: f64) -> u64 {
    wait_ms as u64
}
