//! Which instance makes which call to the advice service.
//!
//! The service handles one call at a time for each calling instance, so in a burst the calls are what jobs wait for. The
//! load that this answers is a burst of wide jobs, whose calls take most of a second: served by priority alone they kept
//! all cheaper calls of less important queues waiting for seconds while the workers had room. So cheap calls go first,
//! which costs long ones little, and long calls leave some of the instances to shorter ones.

use {
    crate::AdviceRequest,
    ragwortreel_model::InstanceId,
    std::collections::{BTreeMap, BTreeSet},
};

/// Cost from which a call is not short, in ms: a fifth of the slack of 250 ms that the most urgent queues have.
const MEDIUM_CALL_MS: f64 = 50.0;
/// Cost from which a call is long, in ms: an urgent job that waited for one would be late.
const LONG_CALL_MS: f64 = 250.0;
/// One in so many instances is kept for short calls, and one in so many for short and medium ones.
const SHORT_ONLY_PART: usize = 8;
const NO_LONG_PART: usize = 4;
/// Most calls that wait; further ones are answered as failed at once, and the step asks again later.
const MAX_WAITING: usize = 512;

/// A call and the instance that makes it.
#[derive(Debug, Clone, PartialEq)]
pub struct AssignedCall {
    /// The instance.
    pub instance: InstanceId,
    /// The call.
    pub request: AdviceRequest,
}

/// Length of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Length {
    Short,
    Medium,
    Long,
}

impl Length {
    fn of(request: &AdviceRequest) -> Self {
        match request.cost_ms {
            ms if ms < MEDIUM_CALL_MS => Self::Short,
            ms if ms < LONG_CALL_MS => Self::Medium,
            _ => Self::Long,
        }
    }

    /// Most calls of this length or longer that may be under way at once.
    fn limit(self, instances: usize) -> usize {
        let kept = match self {
            Self::Short => 0,
            Self::Medium => instances.div_ceil(SHORT_ONLY_PART),
            Self::Long => instances.div_ceil(NO_LONG_PART),
        };
        (instances - kept).max(1)
    }
}

/// Order of waiting calls: length, whether no room is kept for the answer, priority, arrival. Room that is kept for a call
/// that waits is of use to nobody.
type Order = (Length, bool, u32, u64);

/// Hands calls for advice to instances, one at a time to each.
#[derive(Debug, Default)]
pub struct AdviceBroker {
    idle: BTreeSet<InstanceId>,
    /// Instances with a call under way, and its length.
    busy: BTreeMap<InstanceId, Length>,
    waiting: BTreeMap<Order, AdviceRequest>,
    arrivals: u64,
}

impl AdviceBroker {
    /// Adds an instance that can make calls.
    pub fn add_instance(&mut self, instance: InstanceId) {
        if !self.busy.contains_key(&instance) {
            self.idle.insert(instance);
        }
    }

    /// Removes an instance that cannot be reached.
    pub fn remove_instance(&mut self, instance: &InstanceId) {
        self.idle.remove(instance);
        self.busy.remove(instance);
    }

    /// Number of instances that can make calls.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.idle.len() + self.busy.len()
    }

    /// Number of instances that no call needs now.
    #[must_use]
    pub fn spare_instances(&self) -> usize {
        self.idle.len().saturating_sub(self.waiting.len())
    }

    /// Queues a call; gives it back when too many wait.
    ///
    /// # Errors
    ///
    /// Returns the call when the queue is full.
    pub fn push(&mut self, request: AdviceRequest) -> Result<(), AdviceRequest> {
        if self.waiting.len() >= MAX_WAITING {
            return Err(request);
        }
        self.arrivals += 1;
        let order = (
            Length::of(&request),
            !request.has_reservation,
            request.priority,
            self.arrivals,
        );
        self.waiting.insert(order, request);
        Ok(())
    }

    /// Records that an instance has finished its call.
    pub fn call_finished(&mut self, instance: &InstanceId) {
        if self.busy.remove(instance).is_some() {
            self.idle.insert(instance.clone());
        }
    }

    /// Takes the next call for which an instance is free.
    pub fn assign_next(&mut self) -> Option<AssignedCall> {
        let instance = self.idle.first()?.clone();
        let lengths = [Length::Short, Length::Medium, Length::Long];
        let mut next = lengths.into_iter().filter_map(|it| self.first_of(it));
        let order = next.find(|(length, ..)| self.may_go(*length))?;
        let request = self.waiting.remove(&order)?;
        self.idle.remove(&instance);
        self.busy.insert(instance.clone(), order.0);
        Some(AssignedCall { instance, request })
    }

    fn first_of(&self, length: Length) -> Option<Order> {
        let mut orders = self
            .waiting
            .range((length, false, 0, 0)..)
            .map(|(order, _)| *order);
        orders.next().filter(|(found, ..)| *found == length)
    }

    fn may_go(&self, length: Length) -> bool {
        let busy = self.busy.values().filter(|it| **it >= length).count();
        busy < length.limit(self.instance_count())
    }
}
