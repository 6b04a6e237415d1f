//! Capacity reserved for a gang while its tickets are renewed; it counts to the usage of the gang's workspace.

use {
    crate::{Scheduler, StepKey},
    ragwortreel_model::{Resources, WorkerId},
    std::mem,
};

/// Time beyond the duration of a call for which its reservations are kept, in ms. With many gangs a call queues behind
/// two or three others of about a second. With a margin of 0.5 s, reservations expire before the answer, and a
/// backlog of gangs drains at half the speed.
const RESERVATION_MARGIN_MS: u64 = 3_000;

impl Scheduler {
    /// Reserves resources for a gang while its tickets are renewed.
    pub(crate) fn reserve(
        &mut self,
        key: &StepKey,
        workers: &[WorkerId],
        need: Resources,
        cost_ms: f64,
    ) {
        let workspace = (self.jobs.get(&key.job)).and_then(|job| job.request.workspace.clone());
        for id in workers {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.reserved += need;
            }
            (self.workspaces).add_usage(workspace.as_ref(), need);
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a call takes seconds at most"
        )]
        let until_ms = self.now_ms + cost_ms as u64 + RESERVATION_MARGIN_MS;
        if let Some(step) = self.step_mut(key) {
            step.reservations = workers.iter().map(|id| (id.clone(), need)).collect();
            step.reserved_until_ms = until_ms;
        }
    }

    pub(crate) fn release_reservations(&mut self, key: &StepKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let workspace = job.request.workspace.clone();
        let Some(step) = job.step_mut(key) else {
            return;
        };
        for (id, reserved) in mem::take(&mut step.reservations) {
            (self.workspaces).remove_usage(workspace.as_ref(), reserved);
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.reserved = worker.reserved.saturating_sub(&reserved);
            }
        }
    }
}
