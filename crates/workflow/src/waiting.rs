//! Queue of the waiting steps, and the order in which a decision visits them.
//!
//! The load is a backlog of thousands of steps for workers that have no room, beside a few steps for workers that have.
//! A decision cannot visit all of them, and one that always began at the front would never reach the steps behind the
//! backlog. Therefore:
//!
//! - Steps that compete for the same workers, those of one service that need the same label, form a *worker group*. A
//!   queue that needs advice has groups of its own, because its steps also compete for calls. A decision visits the first
//!   steps of all groups in the order of their rank. A group without room ends its own turn only.
//! - A *sweep* visits the steps behind these, from where the last one ended, so that each step is visited once in a
//!   while, whatever waits before it: steps of a group can differ in size, in the workers that they may use, and in
//!   whether these answer.

use {
    crate::{
        Action, JobRequest, Scheduler, StepKey,
        gang_room::AwaitedRoom,
        order::{Rank, RankClass},
        placement::TryOutcome,
        worker::Worker,
    },
    ragwortreel_model::Resources,
    std::{
        collections::{BTreeMap, BTreeSet},
        ops::Bound::{Excluded, Unbounded},
        sync::Arc,
    },
};

/// Most steps of a group that a decision visits before its sweep, most steps that need advice, and most for which it makes an
/// attempt. Each attempt visits all workers.
const MAX_TRIED_STEPS: usize = 96;
/// Number of blocked steps of a group after which a decision visits no further steps of it before its sweep.
const MAX_BLOCKED_STEPS: usize = 12;
/// Most steps that a decision visits before its sweep, unless there are so many groups that each gets the least turn.
const MAX_VISITED_STEPS: usize = 512;
/// Interval between two sweeps, in ms.
const SWEEP_INTERVAL_MS: u64 = 50;
/// Most steps that a sweep visits; a backlog of 10,000 steps is visited within a second.
const MAX_SWEPT_STEPS: usize = 512;
/// Most steps for which a sweep makes an attempt.
const MAX_SWEEP_ATTEMPTS: usize = 32;
/// Most steps without an attempt whose slots a decision counts. Each count visits all workers.
const MAX_COUNTS: usize = 2;
/// Most searches of a sweep for a worker with room beside what steps wait for. Each one visits all workers.
const MAX_SWEPT_SEARCHES: usize = 32;
/// Most task sizes without room that a decision remembers for a group.
const MAX_FULL_SIZES: usize = 8;

/// Entry of a queue of waiting steps.
pub(crate) type WaitingStep = (Rank, StepKey);

/// Workers for which steps compete.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkerGroup {
    pub(crate) service: Arc<str>,
    /// Label that the workers have; `None` for all workers of the service.
    pub(crate) label: Option<Arc<str>>,
    /// Queue of the steps if the advice service chooses among the workers.
    advised_queue: Option<Arc<str>>,
}

impl WorkerGroup {
    /// Group of a step of a job, by the index of the step.
    pub(crate) fn of_step(request: &JobRequest, step: usize) -> Self {
        let policy = &request.policy;
        Self {
            service: Arc::clone(&policy.service),
            label: request.steps[step].needed_label.clone(),
            advised_queue: (policy.advice.as_ref()).map(|_| Arc::clone(&policy.name)),
        }
    }

    /// Service and label of the workers.
    fn workers(&self) -> (Arc<str>, Option<Arc<str>>) {
        (Arc::clone(&self.service), self.label.clone())
    }
}

/// Steps that wait to be started, by group and rank.
#[derive(Debug, Default)]
pub(crate) struct WaitingSteps {
    /// No value is empty.
    groups: BTreeMap<WorkerGroup, BTreeSet<WaitingStep>>,
    /// Where the last sweep ended: a group, and the last step that it visited there, if any; `None` to begin with the first
    /// group.
    swept: Option<(WorkerGroup, Option<WaitingStep>)>,
    /// Time of the next sweep, in ms; `None` if the last decision visited all steps.
    sweep_ms: Option<u64>,
}

impl WaitingSteps {
    pub(crate) fn insert(&mut self, group: WorkerGroup, entry: WaitingStep) {
        self.groups.entry(group).or_default().insert(entry);
    }

    /// Removes a step; returns whether it was in the queue.
    pub(crate) fn remove(&mut self, group: &WorkerGroup, entry: &WaitingStep) -> bool {
        let Some(steps) = self.groups.get_mut(group) else {
            return false;
        };
        let was_queued = steps.remove(entry);
        if steps.is_empty() {
            self.groups.remove(group);
        }
        was_queued
    }

    /// All steps, by group.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &WaitingStep> {
        self.groups.values().flatten()
    }

    /// First steps of a service in the order of their rank, at most `max`.
    pub(crate) fn first_of_service(&self, service: &str, max: usize) -> Vec<&WaitingStep> {
        let groups = self
            .groups
            .iter()
            .filter(|(group, _)| *group.service == *service);
        let mut first: Vec<&WaitingStep> = groups
            .flat_map(|(_, steps)| steps.iter().take(max))
            .collect();
        first.sort_unstable();
        first.truncate(max);
        first
    }

    /// Step of a group that follows another one; the first one for `None`.
    fn after(&self, group: &WorkerGroup, entry: Option<&WaitingStep>) -> Option<WaitingStep> {
        let begin = entry.map_or(Unbounded, Excluded);
        let steps = self.groups.get(group)?;
        steps.range((begin, Unbounded)).next().cloned()
    }
}

/// Turn of a group in a decision.
#[derive(Debug, Default)]
struct Turn {
    visited: usize,
    blocked: usize,
    /// Steps that were not tried because no worker has room, and that keep room all the same.
    full_claims: usize,
    /// Last step that was visited.
    last: Option<WaitingStep>,
    /// Needs of tasks for which none of the workers has room.
    full: Vec<Resources>,
    /// Needs of tasks, and times in ms until which they would run, for which no worker has room beside what steps wait for.
    kept: Vec<(Resources, u64)>,
    /// Steps that a sweep tried and that may have requested advice.
    swept_requests: usize,
}

impl Turn {
    /// Whether it is known that no worker has room for a task with this need.
    fn is_full(&self, need: &Resources) -> bool {
        self.full.iter().any(|full| full.fits_in(need))
    }

    fn add_full(&mut self, need: Resources) {
        self.full.retain(|full| !need.fits_in(full));
        if self.full.len() < MAX_FULL_SIZES {
            self.full.push(need);
        }
    }

    /// Whether it is known that no worker has room for such a task beside what steps wait for.
    fn is_kept(&self, need: &Resources, end_ms: u64) -> bool {
        let mut kept = self.kept.iter();
        kept.any(|(kept, until_ms)| kept.fits_in(need) && *until_ms <= end_ms)
    }

    fn add_kept(&mut self, need: Resources, end_ms: u64) {
        (self.kept).retain(|(kept, until_ms)| !need.fits_in(kept) || *until_ms < end_ms);
        if self.kept.len() < MAX_FULL_SIZES {
            self.kept.push((need, end_ms));
        }
    }
}

/// State of one decision.
#[derive(Debug, Default)]
struct Decision {
    turns: BTreeMap<WorkerGroup, Turn>,
    awaited: AwaitedRoom,
    /// Services and labels of workers for which a blocked step within its share waits, and the earliest expected start of
    /// such a step, in ms.
    contended: BTreeMap<(Arc<str>, Option<Arc<str>>), u64>,
    attempts: usize,
    /// Steps without an attempt whose slots were counted.
    counts: usize,
    /// Searches for a worker with room beside what steps wait for.
    searches: usize,
    /// Steps visited that need advice.
    advised: usize,
    /// Most steps of a group that a sweep tries if they may request advice.
    max_swept_requests: usize,
}

impl Decision {
    /// Whether steps over the share of their workspace that end at a time leave the workers of a group to others.
    fn is_contended(&self, group: &WorkerGroup, end_ms: u64) -> bool {
        let all = (Arc::clone(&group.service), None);
        [group.workers(), all].iter().any(|workers| {
            let start_ms = self.contended.get(workers);
            start_ms.is_some_and(|start_ms| *start_ms < end_ms)
        })
    }
}

/// Part of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Visits of the first steps of each group; blocked ones keep room.
    First,
    /// Visits of the steps behind them.
    Sweep,
}

/// Result of the visit of a step.
enum Visit {
    /// The step does not wait for room, or it was not tried.
    Passed,
    /// The step has become or remains blocked.
    Blocked,
    /// No worker has room for the step, as is known from an earlier one.
    Full,
}

impl Scheduler {
    /// Group of a step; `None` if its job is unknown.
    fn group(&self, key: &StepKey) -> Option<WorkerGroup> {
        let job = self.jobs.get(&key.job)?;
        Some(WorkerGroup::of_step(&job.request, key.step as usize))
    }

    /// Adds a step to the queue of waiting steps.
    pub(crate) fn enqueue(&mut self, entry: WaitingStep) {
        if let Some(group) = self.group(&entry.1) {
            self.waiting_steps.insert(group, entry);
        }
    }

    /// Takes a step out of the queue of waiting steps.
    pub(crate) fn dequeue(&mut self, entry: &WaitingStep) {
        if let Some(group) = self.group(&entry.1) {
            self.waiting_steps.remove(&group, entry);
        }
    }

    /// Tries the waiting steps: the first ones of each group, in order of their rank, and then some of those behind them.
    pub(crate) fn place_waiting(&mut self) {
        self.release_held_steps();
        self.return_placeable_steps();
        let mut decision = Decision::default();
        self.slot_lists.begin_decision(self.now_ms);
        if self.visit_first_steps(&mut decision) {
            self.waiting_steps.swept = None;
            self.waiting_steps.sweep_ms = None;
        } else {
            let next_ms = self.now_ms + SWEEP_INTERVAL_MS;
            let due_ms = *self.waiting_steps.sweep_ms.get_or_insert(next_ms);
            if self.now_ms >= due_ms {
                self.waiting_steps.sweep_ms = Some(next_ms);
                self.sweep(&mut decision);
            }
        }
        self.is_kept_room_complete = self.evacuation.is_active();
        if self.is_kept_room_complete {
            for service in decision.awaited.services() {
                self.place_claims(&service, &mut decision.awaited);
            }
        }
        self.kept_room = decision.awaited.into_kept_room();
    }

    /// Visits the first steps of each group; returns whether these were all waiting steps.
    fn visit_first_steps(&mut self, decision: &mut Decision) -> bool {
        let groups = &self.waiting_steps.groups;
        let max_visited = MAX_VISITED_STEPS / groups.len().max(1);
        let max_visited = max_visited.clamp(MAX_BLOCKED_STEPS, MAX_TRIED_STEPS);
        let mut next: BTreeSet<(WaitingStep, WorkerGroup)> = (groups.iter())
            .filter_map(|(group, steps)| Some((steps.first()?.clone(), group.clone())))
            .collect();
        let mut is_complete = true;
        while let Some((entry, group)) = next.pop_first() {
            if decision.attempts >= MAX_TRIED_STEPS {
                return false;
            }
            if group.advised_queue.is_some() {
                if decision.advised >= MAX_TRIED_STEPS {
                    is_complete = false;
                    continue;
                }
                decision.advised += 1;
            }
            let visit = self.visit(&entry, &group, Phase::First, decision);
            match visit {
                Visit::Passed => {}
                Visit::Blocked => {
                    self.claim_room(&entry, &group, decision);
                }
                Visit::Full => self.claim_room_of_full(&entry.1, &group, decision),
            }
            let following = self.waiting_steps.after(&group, Some(&entry));
            let turn = decision.turns.entry(group.clone()).or_default();
            turn.visited += 1;
            turn.last = Some(entry);
            let is_over = turn.visited >= max_visited || turn.blocked >= MAX_BLOCKED_STEPS;
            if let Some(following) = following {
                if is_over {
                    is_complete = false;
                } else {
                    next.insert((following, group));
                }
            }
        }
        is_complete
    }

    /// Visits steps behind the first ones of their groups, from where the last sweep ended. They keep no room.
    fn sweep(&mut self, decision: &mut Decision) {
        let max_attempts = decision.attempts + MAX_SWEEP_ATTEMPTS;
        let max_searches = decision.searches + MAX_SWEPT_SEARCHES;
        decision.max_swept_requests = self.idle_instances_per_group();
        let mut visited = 0;
        let mut groups: Vec<WorkerGroup> = self.waiting_steps.groups.keys().cloned().collect();
        let mut swept = self.waiting_steps.swept.take();
        if let Some((group, _)) = &swept {
            groups.retain(|it| it >= group);
        }
        for group in groups {
            let from = swept.take().filter(|(it, _)| *it == group);
            let turn = decision.turns.get(&group);
            let first = turn.and_then(|turn| turn.last.clone());
            let mut last = first.max(from.and_then(|(_, entry)| entry));
            while let Some(entry) = self.waiting_steps.after(&group, last.as_ref()) {
                if visited >= MAX_SWEPT_STEPS
                    || decision.attempts >= max_attempts
                    || decision.searches >= max_searches
                {
                    self.waiting_steps.swept = Some((group, last));
                    return;
                }
                self.visit(&entry, &group, Phase::Sweep, decision);
                visited += 1;
                last = Some(entry);
            }
        }
    }

    /// Instances that are idle after the requests of this decision, for each group that needs advice; rounded up.
    fn idle_instances_per_group(&self) -> usize {
        let is_request = |action: &&Action| matches!(action, Action::RequestAdvice(_));
        let requests = self.actions.iter().filter(is_request).count();
        let groups = self.waiting_steps.groups.keys();
        let advised = groups.filter(|group| group.advised_queue.is_some()).count();
        let idle = self.spare_instances.saturating_sub(requests);
        idle.div_ceil(advised.max(1))
    }

    /// Tries a waiting step unless it has to leave the room to others.
    fn visit(
        &mut self,
        (rank, key): &WaitingStep,
        group: &WorkerGroup,
        phase: Phase,
        decision: &mut Decision,
    ) -> Visit {
        let Some(job) = self.jobs.get(&key.job) else {
            return Visit::Passed;
        };
        let current_rank = job.rank(key, self.now_ms);
        if current_rank != *rank {
            self.update_waiting_steps(&key.job.clone());
            if current_rank > *rank {
                // The step is visited at its new place.
                return Visit::Passed;
            }
        }
        if self.hold_at_limit(key) {
            return Visit::Passed;
        }
        let Some(job) = self.jobs.get(&key.job) else {
            return Visit::Passed;
        };
        let (need, is_gang) = (job.spec(key).need, job.spec(key).gang);
        let Some(step) = job.step(key) else {
            return Visit::Passed;
        };
        // Without claims, the end does not matter.
        let has_claims = decision.awaited.has_claims(&group.service);
        let end_ms = if has_claims {
            self.expected_reuse_ms(job, key)
        } else {
            self.now_ms
        };
        let has_reservations = !step.reservations.is_empty();
        let is_advice_pending = step.advice.calls_in_flight > 0;
        // Small steps over the share would fill every gap, so that no worker gets room for a task that waits.
        let gives_way =
            current_rank.class == RankClass::OverShare && decision.is_contended(group, end_ms);
        let turn = decision.turns.entry(group.clone()).or_default();
        if phase == Phase::Sweep && group.advised_queue.is_some() && !is_advice_pending {
            // Requests would delay those of the first steps, unless instances are idle.
            if turn.swept_requests >= decision.max_swept_requests {
                return Visit::Passed;
            }
            turn.swept_requests += 1;
        }
        let is_full = !has_reservations && turn.is_full(&need);
        let can_wait = self.can_wait(&current_rank);
        let may_use_kept =
            !has_claims || (decision.awaited).has_spare_capacity(group, &need, end_ms, can_wait);
        let has_room = may_use_kept
            || is_full
            || self.has_room_beside((&need, end_ms), can_wait, group, decision);
        if gives_way || !has_room || (is_full && phase == Phase::Sweep) {
            self.set_has_capacity(key, false);
            return Visit::Passed;
        }
        if is_full && has_claims {
            self.set_has_capacity(key, false);
            return Visit::Full;
        }
        if self.is_blocked(key) {
            self.set_has_capacity(key, false);
            return Visit::Blocked;
        }
        let is_counted = !is_full && !is_advice_pending;
        decision.attempts += usize::from(is_counted);
        let (outcome, started) = if is_full {
            (TryOutcome::Blocked, 0)
        } else {
            self.place_claims(&group.service, &mut decision.awaited);
            let awaited = &decision.awaited;
            self.try_step(key, awaited.beside(&group.service, end_ms, may_use_kept))
        };
        let taken = need.checked_mul(started as u64).unwrap_or(need);
        decision.awaited.take(&group.service, &taken);
        let is_blocked = matches!(outcome, TryOutcome::Blocked);
        self.set_has_capacity(key, !is_blocked);
        if is_blocked {
            if !is_full && !self.has_free_slot(group, &need) {
                let turn = decision.turns.entry(group.clone()).or_default();
                turn.add_full(need);
            }
            return self.record_blocked(key, started);
        }
        if is_gang {
            self.refresh_slots(key);
            self.await_gathering(key, group, &current_rank, &mut decision.awaited);
        }
        Visit::Passed
    }

    /// Whether a worker has room for a task that runs until a time in ms, beside what the steps tried so far wait for.
    fn has_room_beside(
        &mut self,
        (need, end_ms): (&Resources, u64),
        can_wait: bool,
        group: &WorkerGroup,
        decision: &mut Decision,
    ) -> bool {
        let turn = decision.turns.entry(group.clone()).or_default();
        // Endless tasks may use room that others leave free.
        if end_ms < u64::MAX && turn.is_kept(need, end_ms) {
            return false;
        }
        decision.searches += 1;
        if !self.has_slot_beside(&mut decision.awaited, group, need, end_ms) {
            turn.add_kept(*need, end_ms);
            return false;
        }
        !can_wait || self.leaves_gathered(&decision.awaited, &group.service, need, end_ms)
    }

    /// Delays the next attempt of a blocked step, or takes it out of the queue if no listed worker can run it.
    fn record_blocked(&mut self, key: &StepKey, started: usize) -> Visit {
        if let Some(reason) = self.refresh_slots(key)
            && started == 0
        {
            self.remove_from_queue(key, reason);
            return Visit::Passed;
        }
        self.block(key);
        Visit::Blocked
    }

    /// Whether a worker of the group that accepts tasks has room for a task with this need.
    fn has_free_slot(&self, group: &WorkerGroup, need: &Resources) -> bool {
        self.group_workers(group)
            .any(|worker| need.fits_in(&worker.free_capacity()))
    }

    /// Workers of a group on which new tasks may be started.
    pub(crate) fn group_workers<'a>(
        &'a self,
        group: &'a WorkerGroup,
    ) -> impl Iterator<Item = &'a Worker> {
        let has_label = |it: &&Worker| {
            (group.label.as_ref()).is_none_or(|label| it.spec.labels.contains(label))
        };
        self.schedulable_workers(&group.service).filter(has_label)
    }

    /// Keeps the room that a blocked step waits for, unless the end of what runs does not give it enough.
    fn claim_room(&self, (_, key): &WaitingStep, group: &WorkerGroup, decision: &mut Decision) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        if job.lacks_workers(key) {
            return;
        }
        self.await_blocked(key, group, &mut decision.awaited);
        if job.rank(key, self.now_ms).class < RankClass::OverShare {
            let start_ms = job.step(key).map_or(u64::MAX, |step| step.forecast_ms);
            let earliest_ms = decision.contended.entry(group.workers());
            let earliest_ms = earliest_ms.or_insert(start_ms);
            *earliest_ms = start_ms.min(*earliest_ms);
        }
        decision.turns.entry(group.clone()).or_default().blocked += 1;
    }

    /// Keeps the room that a step waits for which was not tried, because no worker has room for it.
    fn claim_room_of_full(&mut self, key: &StepKey, group: &WorkerGroup, decision: &mut Decision) {
        let turn = decision.turns.entry(group.clone()).or_default();
        if turn.full_claims >= MAX_BLOCKED_STEPS {
            return;
        }
        let due_ms = (self.jobs.get(&key.job)).and_then(|job| Some(job.step(key)?.slots_due_ms));
        if due_ms.is_some_and(|due_ms| due_ms <= self.now_ms) {
            if decision.counts < MAX_COUNTS {
                decision.counts += 1;
                if let Some(reason) = self.refresh_slots(key) {
                    self.remove_from_queue(key, reason);
                    return;
                }
            } else if due_ms == Some(0) {
                return;
            }
        }
        if (self.jobs.get(&key.job)).is_some_and(|job| !job.lacks_workers(key)) {
            turn.full_claims += 1;
            self.await_blocked(key, group, &mut decision.awaited);
        }
    }
}
