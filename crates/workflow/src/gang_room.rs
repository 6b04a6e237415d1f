//! Room that steps wait for in a decision, and that later steps leave to them.
//!
//! The load is a wide gang in a full fleet: it needs the room of up to 120 tasks at once on the workers that the advice
//! service allows, and its call takes about a second. Narrow steps of less important queues use what is freed meanwhile,
//! although most of them could wait for seconds and still end in time, so that a wide gang hardly ever finds enough.
//! Therefore:
//!
//! - The need of a *blocked* step, for which there is too little room, is left free by all later steps that would still
//!   run when it is expected to have enough (*backfill*, as in other batch schedulers). What a step that needs a label
//!   waits for is left free on the workers with the label only. A step that will not have enough by the end of what runs
//!   now keeps no room.
//! - A gang whose advice is pending, and that can still end in time, *gathers* room: later steps that lose nothing by
//!   waiting leave free what it needs. A gang that is too late gathers nothing, and all gangs together gather at most a
//!   part of a service, so that narrow steps go on.

use {
    crate::{
        Scheduler, StepKey,
        job_state::Job,
        order::{Rank, RankClass},
        waiting::WorkerGroup,
        worker::{Worker, free_of},
    },
    ragwortreel_model::Resources,
    std::{collections::BTreeMap, sync::Arc},
};

/// Time until its latest start above which a step leaves room to gathering gangs, in ms: a gang waits for its advice and
/// the renewal of its tickets for 2 s, and afterwards the steps that waited need some seconds to start. With 2 s, a flood
/// of homework earned 0.90 instead of 0.96 of its value.
const MIN_SLACK_MS: u64 = 6_000;

/// Room that a blocked step waits for.
#[derive(Debug)]
struct Claim {
    need: Resources,
    /// Expected start of the step, in ms.
    start_ms: u64,
}

/// Sum of the claims of steps that are expected to start before a time.
fn claimed_before(claims: &[Claim], end_ms: u64) -> Resources {
    let mut sum = Resources::ZERO;
    for claim in claims.iter().filter(|claim| claim.start_ms < end_ms) {
        sum += claim.need;
    }
    sum
}

/// Room of the workers with a label in a decision.
#[derive(Debug)]
struct LabelRoom {
    free: Resources,
    /// Claims of blocked steps that need the label.
    blocked: Vec<Claim>,
}

/// Room of one service in a decision.
#[derive(Debug)]
struct ServiceRoom {
    free: Resources,
    /// Claims of blocked steps that need no label.
    blocked: Vec<Claim>,
    /// Room by label that blocked steps need.
    labels: BTreeMap<Arc<str>, LabelRoom>,
    /// Free room of all workers that have one of these labels.
    labels_free: Resources,
    /// Needs of gangs with pending advice.
    gathered: Resources,
    max_gathered: Resources,
}

impl ServiceRoom {
    /// Needs of blocked steps that are expected to start before a time, as far as the room on their workers goes.
    fn awaited_before(&self, end_ms: u64) -> Resources {
        let mut labels = Resources::ZERO;
        for label in self.labels.values() {
            labels += claimed_before(&label.blocked, end_ms);
        }
        claimed_before(&self.blocked, end_ms) + labels.zip_with(&self.labels_free, u64::min)
    }
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

    /// Whether a task that ends at a time in ms fits beside what the steps tried so far wait for.
    pub(crate) fn fits(
        &self,
        group: &WorkerGroup,
        need: &Resources,
        end_ms: u64,
        can_wait: bool,
    ) -> bool {
        let Some(room) = self.services.get(&group.service) else {
            return true;
        };
        let mut awaited = room.awaited_before(end_ms);
        if can_wait {
            awaited += room.gathered;
        }
        let label = group
            .label
            .as_ref()
            .and_then(|label| room.labels.get(label));
        need.fits_in(&room.free.saturating_sub(&awaited))
            && label.is_none_or(|it| {
                let claimed = claimed_before(&it.blocked, end_ms);
                need.fits_in(&it.free.saturating_sub(&claimed))
            })
    }

    /// Subtracts the resources of started tasks.
    pub(crate) fn take(&mut self, group: &WorkerGroup, taken: &Resources) {
        let Some(room) = self.services.get_mut(&group.service) else {
            return;
        };
        room.free = room.free.saturating_sub(taken);
        if let Some(label) = (group.label.as_ref()).and_then(|label| room.labels.get_mut(label)) {
            label.free = label.free.saturating_sub(taken);
            room.labels_free = room.labels_free.saturating_sub(taken);
        }
    }
}

impl Scheduler {
    /// Whether a step of this rank loses nothing by waiting until a gang has gathered its room.
    pub(crate) fn can_wait(&self, rank: &Rank) -> bool {
        rank.class != RankClass::InTime || rank.latest_start_ms > self.now_ms + MIN_SLACK_MS
    }

    /// Records the need of a blocked step, of no more tasks than its workers could run at the same time.
    pub(crate) fn await_blocked(
        &self,
        key: &StepKey,
        group: &WorkerGroup,
        awaited: &mut AwaitedRoom,
    ) {
        let Some(step) = (self.jobs.get(&key.job)).and_then(|job| job.step(key)) else {
            return;
        };
        let Some((_, need)) = self.waiting_need(key, step.present_slots) else {
            return;
        };
        let claim = Claim {
            need,
            start_ms: step.forecast_ms,
        };
        let room = self.service_room(group, awaited);
        let Some(label) = &group.label else {
            room.blocked.push(claim);
            return;
        };
        if let Some(label) = room.labels.get_mut(label) {
            label.blocked.push(claim);
            return;
        }
        let free = free_of(self.group_workers(group));
        let blocked = vec![claim];
        (room.labels).insert(Arc::clone(label), LabelRoom { free, blocked });
        let has_awaited_label = |it: &&Worker| {
            let mut labels = it.spec.labels.iter();
            labels.any(|label| room.labels.contains_key(label))
        };
        let workers = self.schedulable_workers(&group.service);
        room.labels_free = free_of(workers.filter(has_awaited_label));
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
        let Some((job, need)) = self.waiting_need(key, u64::MAX) else {
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

    /// Job of a step and the need of its waiting tasks that its workspace may start, at most `max_tasks`; `None` if there
    /// are none.
    fn waiting_need(&self, key: &StepKey, max_tasks: u64) -> Option<(&Job, Resources)> {
        let job = self.jobs.get(&key.job)?;
        let waiting = (self.startable_tasks(key) as u64).min(max_tasks);
        let need = job.spec(key).need;
        (waiting > 0).then(|| (job, need.checked_mul(waiting).unwrap_or(need)))
    }

    /// Room of a service, with the free capacity at the first call of a decision.
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
                    blocked: Vec::new(),
                    labels: BTreeMap::new(),
                    labels_free: Resources::ZERO,
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
