//! Which call for advice is made next, and by how many instances.

use {
    ragwortreel_model::{InstanceId, JobId},
    ragwortreel_workflow::{AdviceBroker, AdviceRequest, StepKey},
};

fn broker(instances: usize) -> AdviceBroker {
    let mut broker = AdviceBroker::default();
    for number in 0..instances {
        broker.add_instance(InstanceId::new(&format!("i{number}")).expect("a name"));
    }
    broker
}

fn request(name: &str, cost_ms: f64, priority: u32) -> AdviceRequest {
    AdviceRequest {
        has_reservation: false,
        step: StepKey {
            job: JobId::new(name).expect("a name"),
            occurrence: 0,
            step: 0,
        },
        workers: Vec::new(),
        priority,
        cost_ms,
    }
}

/// Names of the jobs whose calls go out now, in order.
fn assigned(broker: &mut AdviceBroker) -> Vec<String> {
    let next = || {
        broker
            .assign_next()
            .map(|it| it.request.step.job.to_string())
    };
    std::iter::from_fn(next).collect()
}

/// Guards against cheap calls of a less important queue that wait for seconds behind long ones.
#[test]
fn cheap_calls_go_first() {
    let mut broker = broker(1);
    broker.push(request("long", 800.0, 0)).expect("room");
    broker.push(request("medium", 120.0, 1)).expect("room");
    broker.push(request("short", 10.0, 2)).expect("room");
    let instance = InstanceId::new("i0").expect("a name");
    for expected in ["short", "medium", "long"] {
        assert_eq!(assigned(&mut broker), [expected]);
        broker.call_finished(&instance);
    }
}

/// Guards against a burst of long calls that takes all instances, so that urgent jobs wait for the end of one.
#[test]
fn long_calls_leave_instances_to_shorter_ones() {
    let mut broker = broker(8);
    for number in 0..20 {
        broker
            .push(request(&format!("long{number}"), 800.0, 0))
            .expect("room");
    }
    assert_eq!(assigned(&mut broker).len(), 6);
    for number in 0..20 {
        broker
            .push(request(&format!("medium{number}"), 120.0, 1))
            .expect("room");
    }
    assert_eq!(assigned(&mut broker).len(), 1);
    broker.push(request("short", 10.0, 2)).expect("room");
    assert_eq!(assigned(&mut broker), ["short"]);
}

/// Guards against room that is kept for a call which waits behind calls that keep none.
#[test]
fn calls_that_keep_room_go_before_others_of_their_length() {
    let mut broker = broker(1);
    broker.push(request("first", 800.0, 0)).expect("room");
    let mut renewal = request("renewal", 700.0, 1);
    renewal.has_reservation = true;
    broker.push(renewal).expect("room");
    assert_eq!(assigned(&mut broker), ["renewal"]);
}

/// Guards against a lone instance that never makes a long call because it is kept for short ones.
#[test]
fn lone_instance_makes_long_calls() {
    let mut broker = broker(1);
    broker.push(request("long", 800.0, 0)).expect("room");
    assert_eq!(assigned(&mut broker), ["long"]);
}
