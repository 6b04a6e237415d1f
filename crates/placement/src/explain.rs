//! Reasons why jobs wait, for users.

use {
    crate::{Scheduler, queue::ClassState},
    ragwortreel_model::WaitReason,
};

impl Scheduler {
    /// Returns why tasks of a job wait, or `None` if none is queued.
    pub(crate) fn wait_reason(&self, ix: u32, now_ms: u64) -> Option<WaitReason> {
        let job = &self.jobs[ix];
        if job.queued() == 0 {
            return None;
        }
        if let Some(until_ms) = job.backoff_until_ms {
            return Some(WaitReason::BackingOff {
                failures: job.failures,
                wait_ms: until_ms.saturating_sub(now_ms),
            });
        }
        let class = self.queue.class(job.class);
        match &class.state {
            ClassState::Unschedulable(reason) => return Some(reason.clone()),
            ClassState::QuotaBlocked => {
                let quota = self.workspaces.get(class.key.workspace).share.quota;
                return Some(WaitReason::QuotaInUse { quota });
            }
            ClassState::Waiting { .. } | ClassState::Empty => {}
        }
        if let Some(reservation) = &self.reservation
            && self.holds_reservation(ix)
        {
            let expected_ms = reservation.start_ms.saturating_sub(now_ms);
            return Some(WaitReason::GatheringRoom { expected_ms });
        }
        let ahead = self.tasks_ahead(ix);
        Some(WaitReason::WaitingForRoom { ahead })
    }

    /// Number of queued tasks that come before a job by the current ranks.
    fn tasks_ahead(&self, ix: u32) -> u64 {
        let job = &self.jobs[ix];
        let class = self.queue.class(job.class);
        let ClassState::Waiting { rank, .. } = class.state else {
            return 0;
        };
        let other_classes = self.queue.classes().filter_map(|(_, other)| {
            let ClassState::Waiting {
                rank: other_rank, ..
            } = other.state
            else {
                return None;
            };
            (other_rank < rank).then_some(other.queued)
        });
        let position = (job.submit_ms, job.sequence, ix);
        let before = class.jobs.range(..position);
        let own_class = before.map(|&(_, _, job)| u64::from(self.jobs[job].queued()));
        other_classes.sum::<u64>() + own_class.sum::<u64>()
    }
}
