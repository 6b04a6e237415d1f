//! Opening, back-off and closing of the circuit breaker.

use {
    ragwortreel_platform::{BreakerTransition, CircuitBreaker},
    std::time::Duration,
};

fn fail_five_times(breaker: &CircuitBreaker) {
    let changes: Vec<_> = (0..5).map(|_| breaker.record_failure()).collect();
    assert_eq!(
        changes
            .iter()
            .filter(|change| **change == BreakerTransition::Opened)
            .count(),
        1
    );
}

fn opened() -> CircuitBreaker {
    let breaker = CircuitBreaker::new(1);
    fail_five_times(&breaker);
    breaker
}

// Guards against a breaker that opens on failures that are not in a row.
#[test]
fn it_opens_after_five_failures_in_a_row() {
    let breaker = CircuitBreaker::new(1);
    for _ in 0..3 {
        for _ in 0..4 {
            assert_eq!(breaker.record_failure(), BreakerTransition::None);
        }
        breaker.record_success();
    }
    assert!(!breaker.is_open());
    assert!(opened().is_open());
}

// Guards against several probing tasks for one outage.
#[test]
fn further_failures_do_not_open_it_again() {
    let breaker = opened();
    assert_eq!(breaker.record_failure(), BreakerTransition::None);
    assert_eq!(breaker.open_count(), 1);
}

// Guards against probes in step, too often or too seldom.
#[test]
fn waits_are_jittered_and_bounded() {
    let breaker = opened();
    let waits: Vec<_> = (0..200).map(|_| breaker.next_probe_delay()).collect();
    let (least, most) = (Duration::from_millis(100), Duration::from_secs(5));
    assert!(waits.iter().all(|wait| (least..=most).contains(wait)));
    assert!(waits[0] <= Duration::from_millis(200));
    assert!(waits.iter().any(|wait| *wait > Duration::from_secs(4)));
    assert_ne!(waits[100], waits[101]);
}

// Guards against a service that answers probes alone and is probed ever more often.
#[test]
fn the_back_off_stays_until_a_call_succeeds() {
    let breaker = opened();
    while breaker.next_probe_delay() < Duration::from_secs(1) {}
    breaker.close();
    fail_five_times(&breaker);
    let longest = (0..50).map(|_| breaker.next_probe_delay()).max();
    assert!(longest > Some(Duration::from_secs(1)));
    breaker.close();
    breaker.record_success();
    fail_five_times(&breaker);
    assert!(breaker.next_probe_delay() <= Duration::from_millis(200));
}
