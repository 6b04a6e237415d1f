//! Requests for advice about the workers that may run a step.

use {
    crate::{
        Action, AdviceRequest, Scheduler, StepKey,
        gang_room::Beside,
        placement::{Candidate, TryOutcome, total_slots},
        run_times::SpeedPreference,
    },
    ragwortreel_model::WorkerId,
    std::cmp::Reverse,
};

/// Scale of slot counts before the integer division by the number of pending gang requests, to keep fractions of a
/// slot.
const SLOT_RESOLUTION: u64 = 60;
/// Most workers in one call; a limit of the advice service.
const MAX_WORKERS_PER_CALL: usize = 100;
/// Fewest workers in each of several parallel calls for a gang, so that the fixed part does not dominate a call's
/// duration.
const MIN_WORKERS_PER_CALL: usize = 25;
/// Expected capacity of the workers in a request, as a multiple of the need. Other steps use some of it before the
/// answer arrives, and another call costs far more than some more workers in this one. If gangs request the same
/// workers, wide jobs of the `fleet_simulation` test wait 3.0 s for their start with a factor of 1.4, and 1.8 s with 3.
/// As gangs request different workers, factors from 2 to 4 give equal results.
const REQUEST_FACTOR: f64 = 2.0;

impl Scheduler {
    /// Requests advice about workers with capacity for the rest of a step.
    pub(crate) fn request_advice(
        &mut self,
        key: &StepKey,
        wanted: usize,
        beside: Beside<'_>,
    ) -> TryOutcome {
        let Some(job) = self.jobs.get(&key.job) else {
            return TryOutcome::NotBlocked;
        };
        let (Some(cost), Some(step)) = (job.request.policy.advice.clone(), job.step(key)) else {
            return TryOutcome::NotBlocked;
        };
        let (priority, spec) = (job.request.policy.priority, job.spec(key));
        let (need, gang) = (spec.need, spec.gang);
        let share = self.expected_allowed_share(&job.request.policy.name);
        let (mut allowed, mut undecided) = (Vec::new(), Vec::new());
        for candidate in self.candidates(key, self.workers.values(), beside) {
            match step.advice.is_allowed(&candidate.worker.spec.id) {
                Some(true) => allowed.push(candidate),
                Some(false) => {}
                None => undecided.push(candidate),
            }
        }
        let (allowed_slots, undecided_slots) = (total_slots(&allowed), total_slots(&undecided));
        let is_renewal = allowed_slots >= wanted;
        #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
        let (expected, wanted_slots) = (
            allowed_slots as f64 + share * undecided_slots as f64,
            wanted as f64,
        );
        let may_suffice = allowed_slots + undecided_slots >= wanted;
        let is_likely_sufficient = || expected >= wanted_slots || self.is_mostly_idle(key);
        if expected <= 0.0 || (gang && !(may_suffice && is_likely_sufficient())) {
            return TryOutcome::Blocked;
        }
        let has_reservation = is_renewal && gang;
        let calls = self.max_parallel_calls();
        let workers = if is_renewal {
            let chosen = self.choose_workers(key, allowed, wanted);
            let mut workers: Vec<WorkerId> = chosen.into_iter().map(|(_, it)| it).collect();
            if has_reservation {
                self.reserve(key, &workers, need, cost.call_duration_ms(workers.len()));
            }
            workers.sort();
            workers.dedup();
            workers
        } else {
            let max_workers = if gang {
                calls * MAX_WORKERS_PER_CALL
            } else {
                MAX_WORKERS_PER_CALL
            };
            workers_to_request(
                &allowed,
                undecided,
                (wanted_slots * REQUEST_FACTOR, max_workers),
                share,
                self.speed_preference(job, key),
            )
        };
        let calls = if gang && !is_renewal {
            calls.min(workers.len().div_ceil(MIN_WORKERS_PER_CALL))
        } else {
            1
        };
        let calls: Vec<Vec<WorkerId>> = (workers.chunks(workers.len().div_ceil(calls).max(1)))
            .map(<[WorkerId]>::to_vec)
            .collect();
        if gang {
            for id in &workers {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.pending_gang_requests += 1;
                }
            }
            self.gang_requests.insert(key.clone(), workers);
        }
        if let Some(step) = self.step_mut(key) {
            step.advice.calls_in_flight = calls.len();
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
        TryOutcome::NotBlocked
    }

    /// Whether at least half of the cores of a step's service are free, so that waiting gains little more capacity.
    ///
    /// Without this check no advice is ever requested on an idle fleet for a gang whose need exceeds the expected
    /// capacity.
    fn is_mostly_idle(&self, key: &StepKey) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let workers = self.schedulable_workers(&job.request.policy.service);
        let capacity = workers.map(|it| it.spec.capacity.milli_cores).sum::<u64>();
        2 * self.free_capacity(&job.request.policy.service).milli_cores >= capacity
    }
}

/// Chooses the workers for a request: all allowed ones, and as many others as are expected to give the wanted slots.
fn workers_to_request(
    allowed: &[Candidate<'_>],
    mut undecided: Vec<Candidate<'_>>,
    (wanted_slots, max_workers): (f64, usize),
    share: f64,
    preference: SpeedPreference,
) -> Vec<WorkerId> {
    let gang = preference == SpeedPreference::Fastest;
    // The workers with the most slots come first. So that gangs do not compete for the same workers, the slots of a
    // worker are divided by the number of pending gang requests that name it. They are multiplied by the worker's speed.
    undecided.sort_by_cached_key(|it| {
        let pending_requests = it.worker.pending_gang_requests;
        let slots = u64::from(it.slots);
        let slots = if gang {
            SLOT_RESOLUTION * slots / u64::from(1 + pending_requests)
                * it.worker.speed.milli_speed()
        } else {
            slots
        };
        let is_contended = !gang && pending_requests > 0;
        let penalty = (
            !it.on_preferred_rack,
            it.worker.failures.count(),
            it.is_kept || is_contended,
            preference.sort_key(it.worker.speed.class()).0,
        );
        (penalty, Reverse(slots))
    });
    let mut expected_slots: f64 = allowed.iter().map(|it| f64::from(it.slots)).sum();
    let mut chosen: Vec<WorkerId> = allowed.iter().map(|it| it.worker.spec.id.clone()).collect();
    for it in undecided {
        if expected_slots >= wanted_slots || chosen.len() >= max_workers {
            break;
        }
        expected_slots += share * f64::from(it.slots);
        chosen.push(it.worker.spec.id.clone());
    }
    chosen.truncate(max_workers);
    chosen
}
