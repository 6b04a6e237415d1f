//! Order of calls to the advice service, and the number of instances that make them.

use {
    ragwortreel_model::{InstanceId, JobId},
    ragwortreel_workflow::{AdviceBroker, AdviceRequest, StepKey},
};

fn broker(instances: usize) -> AdviceBroker {
    let mut broker = AdviceBroker::default();
    for number in 0..instances {
        broker.add_instance(InstanceId::new(&format!("i{number}")).expect("a valid name"));
    }
    broker
}

fn request(name: &str, cost_ms: f64, priority: u32) -> AdviceRequest {
    AdviceRequest {
        has_reservation: false,
        step: StepKey {
            job: JobId::new(name).expect("a valid name"),
            occurrence: 0,
            step: 0,
        },
        workers: Vec::new(),
        priority,
        cost_ms,
    }
}

/// Assigns calls until no instance is available; returns the jobs of the calls in order.
fn assigned_jobs(broker: &mut AdviceBroker) -> Vec<String> {
    let next = || {
        broker
            .assign_next()
            .map(|it| it.request.step.job.to_string())
    };
    std::iter::from_fn(next).collect()
}

/// Guards against short calls of a less important queue that wait for seconds behind long ones of an important queue.
#[test]
fn short_calls_are_served_first() {
    let mut broker = broker(1);
    broker
        .push(request("long", 800.0, 0))
        .expect("the queue is not full");
    broker
        .push(request("medium", 120.0, 1))
        .expect("the queue is not full");
    broker
        .push(request("short", 10.0, 2))
        .expect("the queue is not full");
    let instance = InstanceId::new("i0").expect("a valid name");
    for expected in ["short", "medium", "long"] {
        assert_eq!(assigned_jobs(&mut broker), [expected]);
        broker.call_finished(&instance);
    }
}

/// Guards against a burst of long calls that occupies all instances, so that urgent jobs wait until one ends.
#[test]
fn long_calls_leave_instances_to_shorter_ones() {
    let mut broker = broker(8);
    for number in 0..20 {
        broker
            .push(request(&format!("long{number}"), 800.0, 0))
            .expect("the queue is not full");
    }
    assert_eq!(assigned_jobs(&mut broker).len(), 6);
    for number in 0..20 {
        broker
            .push(request(&format!("medium{number}"), 120.0, 1))
            .expect("the queue is not full");
    }
    assert_eq!(assigned_jobs(&mut broker).len(), 1);
    broker
        .push(request("short", 10.0, 2))
        .expect("the queue is not full");
    assert_eq!(assigned_jobs(&mut broker), ["short"]);
}

/// Guards against reserved capacity that stays idle while its call waits behind calls without a reservation.
#[test]
fn calls_with_a_reservation_precede_others_of_their_length() {
    let mut broker = broker(1);
    broker
        .push(request("first", 800.0, 0))
        .expect("the queue is not full");
    let mut renewal = request("renewal", 700.0, 1);
    renewal.has_reservation = true;
    broker.push(renewal).expect("the queue is not full");
    assert_eq!(assigned_jobs(&mut broker), ["renewal"]);
}

/// Guards against a single instance that counts as reserved for short calls and never makes a long one.
#[test]
fn single_instance_makes_long_calls() {
    let mut broker = broker(1);
    broker
        .push(request("long", 800.0, 0))
        .expect("the queue is not full");
    assert_eq!(assigned_jobs(&mut broker), ["long"]);
}
