//! Why a job waits.

use {
    crate::{Scheduler, queue::Place},
    ragwortreel_model::WaitReason,
};

impl Scheduler {
    /// Why tasks of a job wait; `None` when none does.
    pub(crate) fn wait_reason(&self, ix: u32, now_ms: u64) -> Option<WaitReason> {
        let job = &self.jobs[ix];
        if job.queued() == 0 {
            return None;
        }
        if let Some(until) = job.back_off_until {
            return Some(WaitReason::BackingOff {
                failures: job.failures,
                wait_ms: until.saturating_sub(now_ms),
            });
        }
        let lane = self.queue.lane(job.lane);
        match &lane.place {
            Place::Parked(reason) => return Some(reason.clone()),
            Place::QuotaBlocked => {
                let quota = self.workspaces.get(lane.key.workspace).share.quota;
                return Some(WaitReason::QuotaInUse { quota });
            }
            Place::Listed { .. } | Place::Idle => {}
        }
        if let Some(reservation) = &self.reservation
            && self.is_gathering(ix)
        {
            let expected_ms = reservation.at_ms.saturating_sub(now_ms);
            return Some(WaitReason::GatheringRoom { expected_ms });
        }
        let ahead = self.tasks_ahead(ix);
        Some(WaitReason::WaitingForRoom { ahead })
    }

    /// Queued tasks that are served before a job, by the present ranks.
    fn tasks_ahead(&self, ix: u32) -> u64 {
        let job = &self.jobs[ix];
        let lane = self.queue.lane(job.lane);
        let Place::Listed { rank, .. } = lane.place else {
            return 0;
        };
        let other_lanes = self.queue.lanes().filter_map(|(_, other)| {
            let Place::Listed { rank: theirs, .. } = other.place else {
                return None;
            };
            (theirs < rank).then_some(other.queued)
        });
        let position = (job.submit_ms, job.sequence, ix);
        let before = lane.jobs.range(..position);
        let own_lane = before.map(|&(_, _, job)| u64::from(self.jobs[job].queued()));
        other_lanes.sum::<u64>() + own_lane.sum::<u64>()
    }
}
