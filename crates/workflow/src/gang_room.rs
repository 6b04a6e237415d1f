//! Room that steps wait for in a decision, and that later steps leave to them.
//!
//! The load is a wide gang in a full fleet: it needs the room of up to 120 tasks at once on the workers that the advice
//! service allows, and its call takes about a second. Narrow steps of less important queues use what is freed meanwhile,
//! although most of them could wait for seconds and still end in time, so that a wide gang hardly ever finds enough.
//! Therefore:
//!
//! - The need of a *blocked* step, for which there is too little room, is left free by all later steps that would still
//!   run when it is expected to have enough (*backfill*, as in other batch schedulers). It is left free on the workers
//!   that the step will use: those that it may run on and that have room first. What earlier blocked steps keep there is
//!   not kept twice, so steps that wait for the same few workers keep these and no others. A later step may use kept room
//!   only as long as the service has more free capacity than all blocked steps need, and takes other workers first. A
//!   step that will not have enough by the end of what runs now keeps no room.
//! - A gang whose advice is pending, and that can still end in time, *gathers* room: later steps that lose nothing by
//!   waiting leave free what it needs. A gang that is too late gathers nothing, and all gangs together gather at most a
//!   part of a service, so that narrow steps go on.

use {
    crate::{
        Scheduler, StepKey,
        job_state::Job,
        order::{Rank, RankClass},
        room_forecast::Allowance,
        waiting::WorkerGroup,
        worker::{Worker, slots_in},
    },
    ragwortreel_model::{Resources, WorkerId},
    std::{collections::BTreeMap, iter, sync::Arc},
};

/// Time until its latest start above which a step leaves room to gathering gangs, in ms: a gang waits for its advice and
/// the renewal of its tickets for 2 s, and afterwards the steps that waited need some seconds to start. With 2 s, a flood
/// of homework earned 0.90 instead of 0.96 of its value.
const MIN_SLACK_MS: u64 = 6_000;
/// Time for which the slots that a step is expected to use are remembered, in ms. They are counted on all its workers.
const SLOTS_INTERVAL_MS: u64 = 250;
/// Most steps of which a decision counts these slots again, and most for which it counts them first, so that its duration
/// stays bounded. Further ones keep no room until the next decision.
const MAX_RECOUNTS: usize = 2;
const MAX_FIRST_COUNTS: usize = 12;
/// Most steps of which these slots are remembered, and time after which those of steps that keep no room are forgotten, in ms.
const MAX_SLOT_LISTS: usize = 512;
const FORGET_SLOTS_MS: u64 = 5_000;
/// Most entries of a list of slots, and most for each task of a wide step: some are kept for earlier steps, and some are on
/// workers that the advice service will refuse.
const MAX_LISTED_SLOTS: usize = 256;
const SLOTS_PER_TASK: usize = 8;

/// Room that a blocked step waits for.
#[derive(Debug)]
struct Claim {
    step: StepKey,
    group: WorkerGroup,
    /// Number of tasks, of no more than its workers could run at the same time.
    tasks: u32,
    /// Need of one task.
    need: Resources,
    /// Expected start of the step, in ms.
    start_ms: u64,
}

/// Slots for tasks of a step that become free on a worker at the same time.
#[derive(Debug)]
struct WorkerSlots {
    /// Position of the worker in the order of the identifiers.
    worker: usize,
    /// Capacity of the worker beside endless tasks.
    room: Resources,
    /// Time at which the slots become free, in ms.
    free_ms: u64,
    slots: u32,
    /// Probability that the step may use the worker: below 1 before the advice service has answered.
    share: f64,
}

/// Slots that a step may use, in the order in which they become free.
type SlotList = Arc<[WorkerSlots]>;

/// Slot lists of the steps that keep room, with the times at which they are counted again, in ms.
#[derive(Debug, Default)]
pub(crate) struct SlotLists {
    steps: BTreeMap<StepKey, (u64, SlotList)>,
    /// Number of lists that the present decision has counted again.
    recounts: usize,
    /// Number of lists that the present decision has counted first.
    first_counts: usize,
}

impl SlotLists {
    pub(crate) fn begin_decision(&mut self, now_ms: u64) {
        (self.recounts, self.first_counts) = (0, 0);
        if self.steps.len() >= MAX_SLOT_LISTS {
            (self.steps).retain(|_, (due_ms, _)| *due_ms + FORGET_SLOTS_MS > now_ms);
        }
    }
}

/// Room on a worker that is kept for a step.
#[derive(Debug)]
struct KeptPart {
    /// Expected start of the step, in ms.
    start_ms: u64,
    /// Time from which the step uses this part, in ms.
    from_ms: u64,
    need: Resources,
}

/// Room that is kept on workers for blocked steps. It is built in most decisions, so it has few allocations.
#[derive(Debug, Default)]
pub(crate) struct KeptRoom {
    /// Position in `parts` of the last part on each worker, by the position of the worker.
    last: Vec<Option<usize>>,
    /// Parts, each with the position of the one before it on the same worker.
    parts: Vec<(KeptPart, Option<usize>)>,
}

impl KeptRoom {
    fn push(&mut self, worker: usize, part: KeptPart) {
        if self.last.len() <= worker {
            self.last.resize(worker + 1, None);
        }
        let before = self.last[worker].replace(self.parts.len());
        self.parts.push((part, before));
    }

    /// Parts on a worker, the last one first.
    fn on_worker(&self, worker: usize) -> impl Iterator<Item = &KeptPart> {
        let last = self.last.get(worker).copied().flatten();
        let before = |(_, before): &&(KeptPart, Option<usize>)| before.map(|it| &self.parts[it]);
        iter::successors(last.map(|it| &self.parts[it]), before).map(|(part, _)| part)
    }
}

fn sum_of<'a>(parts: impl Iterator<Item = &'a KeptPart>) -> Resources {
    let mut sum = Resources::ZERO;
    for part in parts {
        sum += part.need;
    }
    sum
}

/// Kept room, and how a step that would run until a time regards it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Beside<'a> {
    /// `None` if no step keeps room.
    pub(crate) kept: Option<&'a KeptRoom>,
    /// Time from which the room of the tasks can be used again, in ms; the largest one for endless tasks.
    pub(crate) end_ms: u64,
    /// Whether the step may use kept room where it has no other. Workers without kept room come first then.
    pub(crate) may_use: bool,
}

impl Beside<'_> {
    /// For steps that may use all room alike.
    pub(crate) const NOTHING: Self = Self {
        kept: None,
        end_ms: 0,
        may_use: true,
    };

    /// Free capacity of a worker that no step needs which is expected to start before the end.
    ///
    /// A step also uses the room of runs that end before its start. Only endless tasks, which are few, use what it leaves of
    /// the room that is free now: a stream of tasks that did so would put off the start by the error of each estimate.
    fn unkept_capacity(&self, worker: &Worker) -> Resources {
        let mut unkept = worker.free_capacity();
        let Some(kept) = self.kept else {
            return unkept;
        };
        let parts = || (kept.on_worker(worker.position)).filter(|it| it.start_ms < self.end_ms);
        if self.end_ms < u64::MAX {
            return unkept.saturating_sub(&sum_of(parts()));
        }
        for part in parts() {
            let needed = sum_of(parts().filter(|it| it.from_ms <= part.from_ms));
            let rest = (worker.free_capacity_at(part.from_ms)).saturating_sub(&needed);
            unkept = unkept.zip_with(&rest, u64::min);
        }
        unkept
    }

    /// Capacity of a worker for tasks with a need, and whether such a task would use kept room.
    pub(crate) fn free_capacity(&self, worker: &Worker, need: &Resources) -> (Resources, bool) {
        let unkept = self.unkept_capacity(worker);
        if self.may_use {
            (worker.free_capacity(), !need.fits_in(&unkept))
        } else {
            (unkept, false)
        }
    }
}

/// Room of one service in a decision.
#[derive(Debug)]
struct ServiceRoom {
    free: Resources,
    /// Claims of blocked steps, in the order of the visits.
    claims: Vec<Claim>,
    /// Room of the first claims, by worker.
    kept: KeptRoom,
    /// Number of claims that `kept` contains.
    placed_claims: usize,
    /// Needs of gangs with pending advice.
    gathered: Resources,
    max_gathered: Resources,
}

/// Room that the steps tried so far in a decision wait for, by service.
#[derive(Debug, Default)]
pub(crate) struct AwaitedRoom {
    services: BTreeMap<Arc<str>, ServiceRoom>,
}

impl AwaitedRoom {
    /// Whether steps that were tried wait for room of a service.
    pub(crate) fn has_claims(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Whether a service has more free capacity than all claims together, so that a task that ends at a time in ms may use
    /// kept room: the steps that wait for it find as much elsewhere. Those that wait for a label do not.
    pub(crate) fn has_spare_capacity(
        &self,
        group: &WorkerGroup,
        need: &Resources,
        end_ms: u64,
        can_wait: bool,
    ) -> bool {
        let Some(room) = self.services.get(&group.service) else {
            return true;
        };
        let mut claimed = Resources::ZERO;
        if can_wait {
            claimed += room.gathered;
        }
        for claim in room.claims.iter().filter(|it| it.start_ms < end_ms) {
            if group.label.is_some() && claim.group.label == group.label {
                return false;
            }
            let tasks = u64::from(claim.tasks);
            claimed += claim.need.checked_mul(tasks).unwrap_or(claim.need);
        }
        need.fits_in(&room.free.saturating_sub(&claimed))
    }

    /// Subtracts the resources of started tasks.
    pub(crate) fn take(&mut self, service: &str, taken: &Resources) {
        if let Some(room) = self.services.get_mut(service) {
            room.free = room.free.saturating_sub(taken);
        }
    }

    /// Room that is kept on the workers of a service, for tasks that run until a time in ms.
    pub(crate) fn beside(&self, service: &str, end_ms: u64, may_use: bool) -> Beside<'_> {
        Beside {
            kept: self.services.get(service).map(|room| &room.kept),
            end_ms,
            may_use,
        }
    }

    /// Services for which steps wait.
    pub(crate) fn services(&self) -> Vec<Arc<str>> {
        self.services.keys().cloned().collect()
    }

    /// Room that is kept on the workers of each service.
    pub(crate) fn into_kept_room(self) -> BTreeMap<Arc<str>, KeptRoom> {
        let services = self.services.into_iter();
        services
            .map(|(service, room)| (service, room.kept))
            .collect()
    }
}

impl Scheduler {
    /// Whether a step of this rank loses nothing by waiting until a gang has gathered its room.
    pub(crate) fn can_wait(&self, rank: &Rank) -> bool {
        rank.class != RankClass::InTime || rank.latest_start_ms > self.now_ms + MIN_SLACK_MS
    }

    /// Whether a worker has room for a task that ends at a time in ms, beside what blocked steps wait for.
    pub(crate) fn has_slot_beside(
        &mut self,
        awaited: &mut AwaitedRoom,
        group: &WorkerGroup,
        need: &Resources,
        end_ms: u64,
    ) -> bool {
        self.place_claims(&group.service, awaited);
        let beside = awaited.beside(&group.service, end_ms, false);
        let has_slot = |worker: &Worker| {
            need.fits_in(&worker.free_capacity()) && need.fits_in(&beside.unkept_capacity(worker))
        };
        self.group_workers(group).any(has_slot)
    }

    /// Whether a task that ends at a time in ms leaves free what gangs gather, beside what blocked steps wait for.
    pub(crate) fn leaves_gathered(
        &self,
        awaited: &AwaitedRoom,
        service: &str,
        need: &Resources,
        end_ms: u64,
    ) -> bool {
        let gathered = awaited.services.get(service).map(|room| room.gathered);
        let Some(gathered) = gathered.filter(|sum| *sum != Resources::ZERO) else {
            return true;
        };
        let beside = awaited.beside(service, end_ms, false);
        let mut free = Resources::ZERO;
        for worker in self.schedulable_workers(service) {
            free += beside.unkept_capacity(worker);
        }
        need.fits_in(&free.saturating_sub(&gathered))
    }

    /// Records the need of a blocked step, of no more tasks than its workers could run at the same time.
    pub(crate) fn await_blocked(
        &self,
        key: &StepKey,
        group: &WorkerGroup,
        awaited: &mut AwaitedRoom,
    ) {
        let Some((job, step)) =
            (self.jobs.get(&key.job)).and_then(|job| Some((job, job.step(key)?)))
        else {
            return;
        };
        let tasks = (self.startable_tasks(key) as u64).min(step.present_slots);
        let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
        if tasks == 0 {
            return;
        }
        let claim = Claim {
            step: key.clone(),
            group: group.clone(),
            tasks,
            need: job.spec(key).need,
            start_ms: step.forecast_ms,
        };
        self.service_room(group, awaited).claims.push(claim);
    }

    /// Adds a worker, or replaces one with the same identifier.
    pub(crate) fn insert_worker(&mut self, worker: Worker) {
        self.workers.insert(worker.spec.id.clone(), worker);
        self.forget_positions();
    }

    /// Removes a worker that has no runs.
    pub(crate) fn forget_worker(&mut self, id: &WorkerId) {
        self.workers.remove(id);
        self.forget_positions();
    }

    fn forget_positions(&mut self) {
        self.are_workers_numbered = false;
        self.slot_lists.steps.clear();
        self.kept_room.clear();
    }

    /// Numbers the workers if some were added or removed.
    pub(crate) fn number_workers(&mut self) {
        if self.are_workers_numbered {
            return;
        }
        for (position, worker) in self.workers.values_mut().enumerate() {
            worker.position = position;
        }
        self.are_workers_numbered = true;
    }

    /// Places the claims on workers that are not placed yet.
    pub(crate) fn place_claims(&mut self, service: &str, awaited: &mut AwaitedRoom) {
        let Some(room) = awaited.services.get_mut(service) else {
            return;
        };
        while let Some(claim) = room.claims.get(room.placed_claims) {
            room.placed_claims += 1;
            let mut left = f64::from(claim.tasks);
            let slots = self.slot_list(&claim.step, &claim.group);
            for it in slots.iter().flat_map(|slots| slots.iter()) {
                let kept = sum_of(room.kept.on_worker(it.worker));
                #[expect(
                    clippy::cast_possible_truncation,
                    clippy::cast_sign_loss,
                    reason = "a positive number of tasks"
                )]
                let wanted = (left / it.share).ceil() as u32;
                let rest = it.room.saturating_sub(&kept);
                let tasks = slots_in(&claim.need, &rest, wanted.min(it.slots));
                if tasks > 0 {
                    let need = claim.need.checked_mul(u64::from(tasks));
                    let part = KeptPart {
                        start_ms: claim.start_ms,
                        from_ms: claim.start_ms.max(it.free_ms),
                        need: need.unwrap_or(claim.need),
                    };
                    room.kept.push(it.worker, part);
                    left -= it.share * f64::from(tasks);
                }
                if left <= 0.0 {
                    break;
                }
            }
        }
    }

    /// Slots that a step may use, in the order in which they become free; counted again after some time. `None` if they are not
    /// counted yet.
    fn slot_list(&mut self, key: &StepKey, group: &WorkerGroup) -> Option<SlotList> {
        let now_ms = self.now_ms;
        if let Some((due_ms, slots)) = self.slot_lists.steps.get(key) {
            let is_due = now_ms >= *due_ms && self.slot_lists.recounts < MAX_RECOUNTS;
            if !is_due {
                return Some(Arc::clone(slots));
            }
            self.slot_lists.recounts += 1;
        } else {
            let lists = &mut self.slot_lists;
            let is_full = lists.steps.len() >= MAX_SLOT_LISTS;
            if is_full || lists.first_counts >= MAX_FIRST_COUNTS {
                return None;
            }
            lists.first_counts += 1;
        }
        let slots = self.count_slots(key, group);
        let entry = (now_ms + SLOTS_INTERVAL_MS, Arc::clone(&slots));
        self.slot_lists.steps.insert(key.clone(), entry);
        Some(slots)
    }

    fn count_slots(&self, key: &StepKey, group: &WorkerGroup) -> SlotList {
        let Some((job, step)) =
            (self.jobs.get(&key.job)).and_then(|job| Some((job, job.step(key)?)))
        else {
            return Arc::from([]);
        };
        let need = job.spec(key).need;
        let allowance = Allowance::new(job, key, self.now_ms);
        let policy = &job.request.policy;
        let undecided_share = match &policy.advice {
            Some(_) => self.expected_allowed_share(&policy.name),
            None => 1.0,
        };
        let mut slots: Vec<WorkerSlots> = Vec::new();
        for worker in self.group_workers(group) {
            let share = match step.advice.is_allowed(&worker.spec.id) {
                Some(false) => continue,
                Some(true) => 1.0,
                None => undecided_share,
            };
            let times = worker.slot_times(&need, allowance.new_runs(worker), self.now_ms);
            let times = times.filter(|(_, count)| *count > 0);
            slots.extend(times.map(|(free_ms, slots)| WorkerSlots {
                worker: worker.position,
                room: worker.capacity_beside_endless(),
                free_ms,
                slots,
                share,
            }));
        }
        let max = MAX_LISTED_SLOTS.max(job.spec(key).tasks as usize * SLOTS_PER_TASK);
        if slots.len() > max {
            slots.select_nth_unstable_by_key(max, |it| it.free_ms);
            slots.truncate(max);
        }
        slots.sort_by_key(|it| it.free_ms);
        slots.into()
    }

    /// Records the need of a step that is not blocked if it is a gang that gathers room. Of its room only a share is on
    /// workers that the advice service allows.
    pub(crate) fn await_gathering(
        &self,
        key: &StepKey,
        group: &WorkerGroup,
        rank: &Rank,
        awaited: &mut AwaitedRoom,
    ) {
        let Some((job, need)) = self.waiting_need(key) else {
            return;
        };
        let has_room = (job.step(key)).is_none_or(|step| !step.reservations.is_empty());
        let is_gathering = rank.class == RankClass::InTime && job.spec(key).gang && !has_room;
        if !is_gathering || job.lacks_workers(key) {
            return;
        }
        let share = self.expected_allowed_share(&job.request.policy.name);
        let room = self.service_room(group, awaited);
        let sum = room.gathered + scale(&need, 1.0 / share);
        room.gathered = sum.zip_with(&room.max_gathered, u64::min);
    }

    /// Job of a step and the need of its waiting tasks that its workspace may start; `None` if there are none.
    fn waiting_need(&self, key: &StepKey) -> Option<(&Job, Resources)> {
        let job = self.jobs.get(&key.job)?;
        let waiting = self.startable_tasks(key) as u64;
        let need = job.spec(key).need;
        (waiting > 0).then(|| (job, need.checked_mul(waiting).unwrap_or(need)))
    }

    /// Room of a service, without claims at the first call of a decision.
    fn service_room<'a>(
        &self,
        group: &WorkerGroup,
        awaited: &'a mut AwaitedRoom,
    ) -> &'a mut ServiceRoom {
        let service = &group.service;
        awaited
            .services
            .entry(Arc::clone(service))
            .or_insert_with(|| {
                let mut capacity = Resources::ZERO;
                for worker in self.schedulable_workers(service) {
                    capacity += worker.spec.capacity;
                }
                let percent = self.order_rules.max_gathered_percent;
                ServiceRoom {
                    free: self.free_capacity(service),
                    claims: Vec::new(),
                    kept: KeptRoom::default(),
                    placed_claims: 0,
                    gathered: Resources::ZERO,
                    max_gathered: capacity.map(|amount| amount * percent / 100),
                }
            })
    }
}

/// Multiple of resources, rounded down.
fn scale(resources: &Resources, factor: f64) -> Resources {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "capacities are far below 2^52 and the factor is positive"
    )]
    let multiple = |amount: u64| (amount as f64 * factor) as u64;
    resources.map(multiple)
}
