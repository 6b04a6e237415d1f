//! Which waiting task starts where.
//!
//! Waiting steps are tried in order of lateness, priority and deadline. A step that finds no room reserves what it needs
//! from the free room of its service, so that less important work does not take what a large gang waits for.

use {
    crate::{
        Action, AdviceRequest, Scheduler, StartOrder, StepKey, TaskKey,
        state::{Place, Rank, StepState},
        worker::{Phase, Run, Worker, times_in},
    },
    ragwortreel_model::{Resources, WorkerId},
    std::{cmp::Reverse, collections::BTreeMap, sync::Arc},
};

/// Most steps that one decision tries; bounds its duration when a long queue finds no room.
const MAX_TRIES: usize = 96;
/// Most steps without room that one decision meets before it gives up on the rest.
const MAX_BLOCKED: usize = 12;
/// Time after which a step that found no room is tried again, in ms. Each try looks at all workers of the service, and on
/// a full fleet decisions follow each other within some milliseconds. A gang needs more room than comes free in a moment.
const BLOCKED_MS: u64 = 20;
const BLOCKED_GANG_MS: u64 = 50;
/// It is tried earlier once room for one in so many of its waiting tasks came free.
const BLOCKED_PART: u64 = 4;
/// Share of workers that a queue's steps may use, assumed before any was learned.
const FIRST_ALLOWED_SHARE: f64 = 0.4;
/// Weight of a new answer in the learned share.
const SHARE_WEIGHT: f64 = 0.1;
/// Parts of a slot that the order of workers by room tells apart.
const FINE: u32 = 60;
/// Most workers that one call for advice names; a limit of the service.
const MAX_NAMED: usize = 100;
/// Fewest workers that each of several calls for one gang names, so that the fixed part of a call's cost is not most of it.
const MIN_NAMED: usize = 25;
/// Room asked about in relation to the room needed. Some of it is taken by others before the answer comes, and another
/// call costs far more than some more names in this one. From 1.4 to 3, wide jobs of the `fleet` test waited 1.8 instead
/// of 3.0 s for their start; since gangs spread their questions, 2, 3 and 4 are equal.
const ASK_FACTOR: f64 = 2.0;
/// Time beyond the cost of a call for which room is kept for the answer, in ms. When many gangs ask, a call waits for two
/// or three others of about a second; with 0.5 s the room was gone before the answer, and a backlog of gangs drained half
/// as fast.
const HOLD_EXTRA_MS: u64 = 3_000;

/// A worker on which tasks of a step could start.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    worker: &'a Worker,
    slots: u32,
    free_milli_cores: u64,
    on_preferred_rack: bool,
}

/// What came of trying a step.
enum Tried {
    /// Nothing of it waits for room any more.
    Settled,
    /// It waits for room.
    Blocked,
}

impl Scheduler {
    pub(crate) fn place_waiting(&mut self) {
        let mut reserved: BTreeMap<Arc<str>, Resources> = BTreeMap::new();
        let mut free: BTreeMap<Arc<str>, Resources> = BTreeMap::new();
        let mut blocked = 0;
        let keys: Vec<(Rank, StepKey)> = self.waiting.iter().take(MAX_TRIES).cloned().collect();
        for (rank, key) in keys {
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            if job.is_rank_old(&rank, self.now_ms) {
                self.refresh(&key.job.clone());
            }
            let Some(job) = self.jobs.get(&key.job) else {
                continue;
            };
            let need = job.spec(&key).need;
            let service = Arc::clone(&job.request.policy.service);
            if let Some(kept) = reserved.get(&service) {
                let room = free.get(&service).copied().unwrap_or_default();
                if !need.fits_in(&room.saturating_sub(kept)) {
                    self.note_room(&key, false);
                    continue;
                }
            }
            let was_blocked = self.is_blocked(&key);
            let (tried, started) = if was_blocked {
                (Tried::Blocked, 0)
            } else {
                self.try_step(&key)
            };
            self.note_room(&key, matches!(tried, Tried::Settled));
            if matches!(tried, Tried::Blocked) && !was_blocked {
                self.block(&key);
            }
            if let Some(room) = free.get_mut(&service) {
                let taken = need.checked_mul(started as u64).unwrap_or(need);
                *room = room.saturating_sub(&taken);
            }
            if matches!(tried, Tried::Blocked) {
                blocked += 1;
                if blocked >= MAX_BLOCKED {
                    return;
                }
                let waiting = self.step_mut(&key).map_or(0, |step| step.waiting());
                let room = need.checked_mul(waiting as u64).unwrap_or(need);
                if !free.contains_key(&service) {
                    free.insert(Arc::clone(&service), self.free_room(&service));
                }
                *reserved.entry(service).or_default() += room;
            }
        }
    }

    /// Whether a step found no room a short time ago.
    fn is_blocked(&self, key: &StepKey) -> bool {
        let step = self.jobs.get(&key.job).and_then(|job| job.step(key));
        step.is_some_and(|step| {
            self.now_ms < step.blocked_until_ms && self.freed_milli_cores < step.blocked_until_freed
        })
    }

    /// Leaves a step alone for a while, or until a part of the room that it waits for came free.
    fn block(&mut self, key: &StepKey) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let spec = job.spec(key);
        let wait_ms = if spec.gang {
            BLOCKED_GANG_MS
        } else {
            BLOCKED_MS
        };
        let tasks = job.step(key).map_or(0, StepState::waiting) as u64;
        let wanted = spec.need.milli_cores * (tasks / BLOCKED_PART).max(1);
        let (until_ms, until_freed) = (self.now_ms + wait_ms, self.freed_milli_cores + wanted);
        if let Some(step) = self.step_mut(key) {
            step.blocked_until_ms = until_ms;
            step.blocked_until_freed = until_freed;
        }
    }

    fn note_room(&mut self, key: &StepKey, has_room: bool) {
        if let Some(step) = self.step_mut(key) {
            step.has_room = has_room;
        }
    }

    /// Starts what can be started of a step, and asks for advice about the rest; also returns the number of starts.
    fn try_step(&mut self, key: &StepKey) -> (Tried, usize) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get(&key.job) else {
            return (Tried::Settled, 0);
        };
        let needs_advice = job.request.policy.advice.is_some();
        let Some(step) = job.step(key) else {
            return (Tried::Settled, 0);
        };
        if !step.holds.is_empty() {
            // The room is taken again below, or freed for others once the answer is overdue.
            if step.hold_until_ms >= now_ms {
                return (Tried::Settled, 0);
            }
            self.release_hold(key);
        }
        let Some(step) = self.jobs.get(&key.job).and_then(|job| job.step(key)) else {
            return (Tried::Settled, 0);
        };
        let (waiting, is_asking) = (step.waiting(), step.advice.calls > 0);
        let started = self.start_what_may(key);
        if started == waiting {
            return (Tried::Settled, started);
        }
        if !needs_advice {
            return (Tried::Blocked, started);
        }
        if is_asking {
            return (Tried::Settled, started);
        }
        (self.ask(key, waiting - started), started)
    }

    /// Starts what has room on the workers that may run a step now; returns the number of starts.
    pub(crate) fn start_what_may(&mut self, key: &StepKey) -> usize {
        let Some(job) = self.jobs.get(&key.job) else {
            return 0;
        };
        let Some(step) = job.step(key) else {
            return 0;
        };
        let usable = if job.request.policy.advice.is_some() {
            let ticketed = step.advice.ticketed(self.now_ms);
            self.candidates(key, ticketed.filter_map(|id| self.workers.get(id)))
        } else {
            self.candidates(key, self.workers.values())
        };
        let chosen = self.assign(key, usable, step.waiting());
        let started = chosen.len();
        if started > 0 {
            self.start(key, chosen);
        }
        started
    }

    /// Workers among some that have room for at least one task of the step.
    fn candidates<'a>(
        &'a self,
        key: &StepKey,
        workers: impl Iterator<Item = &'a Worker>,
    ) -> Vec<Candidate<'a>> {
        let Some(job) = self.jobs.get(&key.job) else {
            return Vec::new();
        };
        let spec = job.spec(key);
        let most = spec.tasks.min(spec.max_per_worker.unwrap_or(u32::MAX));
        let mut here: BTreeMap<&WorkerId, u32> = BTreeMap::new();
        if spec.max_per_worker.is_some()
            && let Some(step) = job.step(key)
        {
            for task in &step.tasks {
                if let Place::On(worker) = &task.place {
                    *here.entry(worker).or_default() += 1;
                }
            }
        }
        let service = &job.request.policy.service;
        let fits = |worker: &&Worker| {
            worker.is_open(self.now_ms)
                && worker.spec.service == *service
                && (spec.needed_label.as_ref()).is_none_or(|it| worker.spec.labels.contains(it))
        };
        let preferred_rack = spec.preferred_rack.as_ref();
        let candidate = |worker: &'a Worker| {
            let free = worker.free();
            let used = if here.is_empty() {
                0
            } else {
                here.get(&worker.spec.id).copied().unwrap_or(0)
            };
            Candidate {
                worker,
                slots: times_in(&spec.need, &free, most.saturating_sub(used)),
                free_milli_cores: free.milli_cores,
                on_preferred_rack: preferred_rack.is_some_and(|it| worker.spec.labels.contains(it)),
            }
        };
        workers
            .filter(fits)
            .map(candidate)
            .filter(|it| it.slots > 0)
            .collect()
    }

    /// Chooses workers for waiting tasks: all of a gang or none, any number of others.
    fn assign(
        &self,
        key: &StepKey,
        mut usable: Vec<Candidate<'_>>,
        waiting: usize,
    ) -> Vec<(u32, WorkerId)> {
        let Some(job) = self.jobs.get(&key.job) else {
            return Vec::new();
        };
        let Some(step) = job.step(key) else {
            return Vec::new();
        };
        let gang = job.spec(key).gang;
        let total = room_of(&usable);
        if waiting == 0 || total == 0 || (gang && total < waiting) {
            return Vec::new();
        }
        // Tight packing leaves whole workers free for wide tasks.
        usable.sort_by_key(|it| {
            (
                !it.on_preferred_rack,
                it.worker.failures,
                // Others leave alone what a gang asks about, where they have a choice.
                !gang && it.worker.asking_gangs > 0,
                it.free_milli_cores,
            )
        });
        if job.spec(key).one_rack {
            prefer_one_rack(&mut usable, waiting);
        }
        let mut chosen = Vec::new();
        for (task, index) in step.tasks.iter().zip(0..) {
            if task.place != Place::Waiting {
                continue;
            }
            let elsewhere = |it: &&mut Candidate<'_>| {
                it.slots > 0 && task.failed_on.as_ref() != Some(&it.worker.spec.id)
            };
            let found = match usable.iter_mut().find(elsewhere) {
                Some(found) => Some(found),
                None => usable.iter_mut().find(|it| it.slots > 0),
            };
            let Some(found) = found else {
                break;
            };
            found.slots -= 1;
            chosen.push((index, found.worker.spec.id.clone()));
        }
        chosen
    }

    fn start(&mut self, key: &StepKey, chosen: Vec<(u32, WorkerId)>) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let spec = job.spec(key);
        let (need, gang) = (spec.need, spec.gang);
        let payload = Arc::clone(&job.request.payload);
        let Some(step) = job.step(key) else {
            return;
        };
        let gang_run = step.tasks.iter().map(|task| task.last_run).max();
        let gang_run = self.next_run(job, gang_run.unwrap_or(0));
        // Progress that any member of a gang has saved is good for all, and all must resume from the same.
        let gang_saved = step.tasks.iter().map(|task| &task.checkpoint);
        let gang_saved = gang_saved.max().cloned().unwrap_or_else(|| Arc::from(""));
        let mut orders = Vec::with_capacity(chosen.len());
        for (index, worker) in chosen {
            let task = &step.tasks[index as usize];
            let (run, checkpoint) = if gang {
                (gang_run, Arc::clone(&gang_saved))
            } else {
                (
                    self.next_run(job, task.last_run),
                    Arc::clone(&task.checkpoint),
                )
            };
            orders.push(StartOrder {
                ticket: step.advice.ticket(&worker, now_ms).cloned(),
                task: TaskKey {
                    step: key.clone(),
                    index,
                },
                worker,
                run,
                payload: Arc::clone(&payload),
                checkpoint,
            });
        }
        for order in orders {
            if let Some(worker) = self.workers.get_mut(&order.worker) {
                let run = Run {
                    number: order.run,
                    need,
                    phase: Phase::Starting,
                    percent: 0,
                    moved_ms: now_ms,
                    still_lists: 0,
                };
                worker.add(order.task.clone(), run);
                worker.lease_until_ms = worker.lease_until_ms.max(now_ms + self.lease_bound_ms);
            }
            if let Some(step) = self.step_mut(key) {
                let task = &mut step.tasks[order.task.index as usize];
                task.place = Place::On(order.worker.clone());
                task.last_run = order.run;
            }
            self.actions.push(Action::Start(order));
        }
        self.placed(&key.job);
        self.refresh(&key.job);
    }

    /// Asks which workers with room may run the rest of a step.
    fn ask(&mut self, key: &StepKey, wanted: usize) -> Tried {
        let Some(job) = self.jobs.get(&key.job) else {
            return Tried::Settled;
        };
        let (Some(cost), Some(step)) = (job.request.policy.advice.clone(), job.step(key)) else {
            return Tried::Settled;
        };
        let (priority, spec) = (job.request.policy.priority, job.spec(key));
        let (need, gang) = (spec.need, spec.gang);
        let share = (self.allowed_share.get(&job.request.policy.name))
            .copied()
            .unwrap_or(FIRST_ALLOWED_SHARE);
        let (mut allowed, mut unknown) = (Vec::new(), Vec::new());
        for candidate in self.candidates(key, self.workers.values()) {
            match step.advice.known(&candidate.worker.spec.id) {
                Some(true) => allowed.push(candidate),
                Some(false) => {}
                None => unknown.push(candidate),
            }
        }
        let (allowed_room, unknown_room) = (room_of(&allowed), room_of(&unknown));
        let is_renewal = allowed_room >= wanted;
        #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
        let (expected, wanted_room) = (
            allowed_room as f64 + share * unknown_room as f64,
            wanted as f64,
        );
        let may_suffice = allowed_room + unknown_room >= wanted;
        let is_promising = || expected >= wanted_room || self.is_mostly_idle(key);
        if expected <= 0.0 || (gang && !(may_suffice && is_promising())) {
            return Tried::Blocked;
        }
        let has_reservation = is_renewal && gang;
        let calls = self.parallel_calls();
        let workers = if is_renewal {
            let chosen = self.assign(key, allowed, wanted);
            let mut workers: Vec<WorkerId> = chosen.into_iter().map(|(_, it)| it).collect();
            if has_reservation {
                self.hold(key, &workers, need, cost.call_duration_ms(workers.len()));
            }
            workers.sort();
            workers.dedup();
            workers
        } else {
            let most = if gang { calls * MAX_NAMED } else { MAX_NAMED };
            name_workers(
                &allowed,
                unknown,
                (wanted_room * ASK_FACTOR, most),
                share,
                gang,
            )
        };
        let calls = if gang && !is_renewal {
            calls.min(workers.len().div_ceil(MIN_NAMED))
        } else {
            1
        };
        let calls: Vec<Vec<WorkerId>> = (workers.chunks(workers.len().div_ceil(calls).max(1)))
            .map(<[WorkerId]>::to_vec)
            .collect();
        if gang {
            for id in &workers {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.asking_gangs += 1;
                }
            }
            self.asking_gangs.insert(key.clone(), workers);
        }
        if let Some(step) = self.step_mut(key) {
            step.advice.calls = calls.len();
        }
        for workers in calls {
            let cost_ms = cost.call_duration_ms(workers.len());
            self.actions.push(Action::RequestAdvice(AdviceRequest {
                has_reservation,
                step: key.clone(),
                workers,
                priority,
                cost_ms,
            }));
        }
        Tried::Settled
    }

    /// Whether at least half of the cores of a step's service are free, so that waiting promises little more room. A gang
    /// for which the expected room is too small would otherwise never be asked about on an idle fleet.
    fn is_mostly_idle(&self, key: &StepKey) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let open = self.open_workers(&job.request.policy.service);
        let capacity = open.map(|it| it.spec.capacity.milli_cores).sum::<u64>();
        2 * self.free_room(&job.request.policy.service).milli_cores >= capacity
    }

    /// Keeps room for a gang while its tickets are renewed.
    fn hold(&mut self, key: &StepKey, workers: &[WorkerId], need: Resources, cost_ms: f64) {
        for id in workers {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.held += need;
            }
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a call takes seconds at most"
        )]
        let until_ms = self.now_ms + cost_ms as u64 + HOLD_EXTRA_MS;
        if let Some(step) = self.step_mut(key) {
            step.holds = workers.iter().map(|id| (id.clone(), need)).collect();
            step.hold_until_ms = until_ms;
        }
    }

    /// Learns which share of the workers asked about a queue's steps may use.
    pub(crate) fn learn_share(&mut self, queue: Arc<str>, (good, asked): (usize, usize)) {
        if asked == 0 {
            return;
        }
        let share = self.allowed_share.entry(queue);
        let share = share.or_insert(FIRST_ALLOWED_SHARE);
        #[expect(clippy::cast_precision_loss, reason = "at most a hundred workers")]
        let seen = good as f64 / asked as f64;
        *share = (*share + SHARE_WEIGHT * (seen - *share)).max(0.02);
    }
}

/// Number of tasks for which some workers have room.
fn room_of(workers: &[Candidate<'_>]) -> usize {
    workers.iter().map(|it| it.slots as usize).sum()
}

/// Moves the workers of a rack that can hold everything to the front.
fn prefer_one_rack(usable: &mut [Candidate<'_>], waiting: usize) {
    let mut slots: BTreeMap<Option<&Arc<str>>, usize> = BTreeMap::new();
    for it in usable.iter() {
        *slots.entry(it.worker.spec.rack.as_ref()).or_default() += it.slots as usize;
    }
    let best = slots.into_iter().filter(|(_, slots)| *slots >= waiting);
    let Some((rack, _)) = best.min_by_key(|(_, slots)| *slots) else {
        return;
    };
    usable.sort_by_key(|it| it.worker.spec.rack.as_ref() != rack);
}

/// Names all allowed workers and as many unknown ones as are likely to give the wanted room.
fn name_workers(
    allowed: &[Candidate<'_>],
    mut unknown: Vec<Candidate<'_>>,
    (wanted, most): (f64, usize),
    share: f64,
    gang: bool,
) -> Vec<WorkerId> {
    // The emptiest workers are named first. Gangs that all asked about the same ones would take them from each other, so
    // each counts as having less room for every gang that waits for an answer about it.
    unknown.sort_by_key(|it| {
        let asking = it.worker.asking_gangs;
        let room = if gang {
            FINE * it.slots / (1 + asking)
        } else {
            it.slots
        };
        let avoided = !gang && asking > 0;
        let worst = (!it.on_preferred_rack, it.worker.failures, avoided);
        (worst, Reverse(room))
    });
    let mut room: f64 = allowed.iter().map(|it| f64::from(it.slots)).sum();
    let mut named: Vec<WorkerId> = allowed.iter().map(|it| it.worker.spec.id.clone()).collect();
    for it in unknown {
        if room >= wanted || named.len() >= most {
            break;
        }
        room += share * f64::from(it.slots);
        named.push(it.worker.spec.id.clone());
    }
    named.truncate(most);
    named
}
