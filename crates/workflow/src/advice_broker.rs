//! Assigns calls to the advice service to the instances that make them.
//!
//! The service handles one call at a time for each calling instance, so calls are the bottleneck in a burst of jobs.
//! Calls for wide jobs take most of a second. In strict priority order, a burst of them delays the short calls of less
//! important queues by seconds while workers are idle. Short calls are therefore served first, which delays long ones
//! only a little, and a part of the instances is not available to long calls.

use {
    crate::AdviceRequest,
    ragwortreel_model::InstanceId,
    std::collections::{BTreeMap, BTreeSet},
};

/// Duration from which a call counts as medium, in ms: a fifth of the 250 ms of slack of the most urgent queues.
const MEDIUM_CALL_MS: f64 = 50.0;
/// Duration from which a call counts as long, in ms: the slack of an urgent job, which is late if it waits for such a
/// call.
const LONG_CALL_MS: f64 = 250.0;
/// One in this many instances makes only short calls.
const SHORT_ONLY_DIVISOR: usize = 8;
/// One in this many instances makes only short or medium calls.
const SHORT_OR_MEDIUM_DIVISOR: usize = 4;
/// Most calls that wait; further ones are rejected, and their steps request advice again later.
const MAX_WAITING_CALLS: usize = 512;

/// Call assigned to an instance.
#[derive(Debug, Clone, PartialEq)]
pub struct AssignedCall {
    /// Instance that makes the call.
    pub instance: InstanceId,
    /// Arguments of the call.
    pub request: AdviceRequest,
}

/// Class of a call by its expected duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CallLength {
    Short,
    Medium,
    Long,
}

impl CallLength {
    fn of(request: &AdviceRequest) -> Self {
        match request.cost_ms {
            ms if ms < MEDIUM_CALL_MS => Self::Short,
            ms if ms < LONG_CALL_MS => Self::Medium,
            _ => Self::Long,
        }
    }

    /// Most calls of this length or longer that may be in flight at once.
    fn limit(self, instances: usize) -> usize {
        let unavailable = match self {
            Self::Short => 0,
            Self::Medium => instances.div_ceil(SHORT_ONLY_DIVISOR),
            Self::Long => instances.div_ceil(SHORT_OR_MEDIUM_DIVISOR),
        };
        (instances - unavailable).max(1)
    }
}

/// Order of waiting calls: length, calls without a reservation last, priority, arrival. Calls with a reservation go
/// first because reserved capacity is idle while the call waits.
type QueueKey = (CallLength, bool, u32, u64);

/// Queue of calls to the advice service, with at most one call in flight for each instance.
#[derive(Debug, Default)]
pub struct AdviceBroker {
    idle: BTreeSet<InstanceId>,
    /// Instances with a call in flight, and the length of the call.
    busy: BTreeMap<InstanceId, CallLength>,
    waiting: BTreeMap<QueueKey, AdviceRequest>,
    /// Number of calls queued so far; orders calls that are otherwise equal by their arrival.
    arrivals: u64,
}

impl AdviceBroker {
    /// Adds an idle instance; an instance with a call in flight is left as it is.
    pub fn add_instance(&mut self, instance: InstanceId) {
        if !self.busy.contains_key(&instance) {
            self.idle.insert(instance);
        }
    }

    /// Removes an instance that cannot be reached; the caller must queue its call again.
    pub fn remove_instance(&mut self, instance: &InstanceId) {
        self.idle.remove(instance);
        self.busy.remove(instance);
    }

    /// Number of instances that can make calls, idle and busy.
    #[must_use]
    pub fn instance_count(&self) -> usize {
        self.idle.len() + self.busy.len()
    }

    /// Number of idle instances beyond those that the waiting calls need.
    #[must_use]
    pub fn spare_instances(&self) -> usize {
        self.idle.len().saturating_sub(self.waiting.len())
    }

    /// Queues a call.
    ///
    /// # Errors
    ///
    /// Returns the call when the queue is full.
    pub fn push(&mut self, request: AdviceRequest) -> Result<(), AdviceRequest> {
        if self.waiting.len() >= MAX_WAITING_CALLS {
            return Err(request);
        }
        self.arrivals += 1;
        let order = (
            CallLength::of(&request),
            !request.has_reservation,
            request.priority,
            self.arrivals,
        );
        self.waiting.insert(order, request);
        Ok(())
    }

    /// Marks an instance as idle after its call.
    pub fn call_finished(&mut self, instance: &InstanceId) {
        if self.busy.remove(instance).is_some() {
            self.idle.insert(instance.clone());
        }
    }

    /// Removes the next call from the queue and assigns it to an idle instance.
    pub fn assign_next(&mut self) -> Option<AssignedCall> {
        let instance = self.idle.first()?.clone();
        let lengths = [CallLength::Short, CallLength::Medium, CallLength::Long];
        let mut next = lengths.into_iter().filter_map(|it| self.first_waiting(it));
        let order = next.find(|(length, ..)| self.can_start(*length))?;
        let request = self.waiting.remove(&order)?;
        self.idle.remove(&instance);
        self.busy.insert(instance.clone(), order.0);
        Some(AssignedCall { instance, request })
    }

    fn first_waiting(&self, length: CallLength) -> Option<QueueKey> {
        let mut orders = self
            .waiting
            .range((length, false, 0, 0)..)
            .map(|(order, _)| *order);
        orders.next().filter(|(found, ..)| *found == length)
    }

    fn can_start(&self, length: CallLength) -> bool {
        let busy = self.busy.values().filter(|it| **it >= length).count();
        busy < length.limit(self.instance_count())
    }
}
