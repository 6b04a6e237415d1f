//! Which instance makes which call to the advice service.
//!
//! The service handles one call at a time for each calling instance. Short calls must not wait behind long ones, so long
//! calls never use the last quarter of the instances.

use {
    crate::AdviceRequest,
    ragwortreel_model::InstanceId,
    std::collections::{BTreeMap, BTreeSet, VecDeque},
};

/// Cost from which a call counts as long, in ms; a short call that waits for one of these is late.
const LONG_CALL_MS: f64 = 100.0;
/// One in so many instances is kept for short calls.
const SHORT_ONLY_PART: usize = 4;
/// Most calls that wait; further ones are answered as failed at once, and the step asks again later.
const MAX_WAITING: usize = 512;

/// A call and the instance that makes it.
#[derive(Debug, Clone, PartialEq)]
pub struct Assigned {
    /// The instance.
    pub instance: InstanceId,
    /// The call.
    pub request: AdviceRequest,
}

/// Hands calls for advice to instances, one at a time to each.
#[derive(Debug, Default)]
pub struct AdviceBroker {
    idle: BTreeSet<InstanceId>,
    /// Instances with a call under way, and whether it is a long one.
    busy: BTreeMap<InstanceId, bool>,
    waiting: BTreeMap<u32, VecDeque<AdviceRequest>>,
    count: usize,
}

impl AdviceBroker {
    /// Adds an instance that can make calls.
    pub fn join(&mut self, instance: InstanceId) {
        if !self.busy.contains_key(&instance) {
            self.idle.insert(instance);
        }
    }

    /// Removes an instance that cannot be reached.
    pub fn leave(&mut self, instance: &InstanceId) {
        self.idle.remove(instance);
        self.busy.remove(instance);
    }

    /// Number of instances that can make calls.
    #[must_use]
    pub fn instances(&self) -> usize {
        self.idle.len() + self.busy.len()
    }

    /// Queues a call; gives it back when too many wait.
    ///
    /// # Errors
    ///
    /// Returns the call when the queue is full.
    pub fn push(&mut self, request: AdviceRequest) -> Result<(), AdviceRequest> {
        if self.count >= MAX_WAITING {
            return Err(request);
        }
        self.count += 1;
        let lane = self.waiting.entry(request.priority).or_default();
        lane.push_back(request);
        Ok(())
    }

    /// Records that an instance has finished its call.
    pub fn finished(&mut self, instance: &InstanceId) {
        if self.busy.remove(instance).is_some() {
            self.idle.insert(instance.clone());
        }
    }

    /// Takes the next call for which an instance is free.
    pub fn assign(&mut self) -> Option<Assigned> {
        let long_limit = self.long_limit();
        let long_now = self.busy.values().filter(|long| **long).count();
        let instance = self.idle.first()?.clone();
        for lane in self.waiting.values_mut() {
            let may_go =
                |request: &AdviceRequest| request.cost_ms < LONG_CALL_MS || long_now < long_limit;
            if !lane.front().is_some_and(may_go) {
                continue;
            }
            let request = lane.pop_front()?;
            self.count -= 1;
            self.idle.remove(&instance);
            let long = request.cost_ms >= LONG_CALL_MS;
            self.busy.insert(instance.clone(), long);
            return Some(Assigned { instance, request });
        }
        None
    }

    fn long_limit(&self) -> usize {
        let all = self.instances();
        (all - all / SHORT_ONLY_PART).max(1)
    }
}
