//! Circuit breaker: opening, probe delays and closing.

use {
    ragwortreel_platform::{BreakerTransition, CircuitBreaker},
    std::time::Duration,
};

fn record_five_failures(breaker: &CircuitBreaker) {
    let transitions: Vec<_> = (0..5).map(|_| breaker.record_failure()).collect();
    assert_eq!(
        transitions
            .iter()
            .filter(|transition| **transition == BreakerTransition::Opened)
            .count(),
        1
    );
}

fn open_breaker() -> CircuitBreaker {
    let breaker = CircuitBreaker::new(1);
    record_five_failures(&breaker);
    breaker
}

// Guards against a breaker that opens although successes came between the failures.
#[test]
fn opens_after_five_consecutive_failures() {
    let breaker = CircuitBreaker::new(1);
    for _ in 0..3 {
        for _ in 0..4 {
            assert_eq!(breaker.record_failure(), BreakerTransition::None);
        }
        breaker.record_success();
    }
    assert!(!breaker.is_open());
    assert!(open_breaker().is_open());
}

// Guards against several probe tasks in one outage, one for each further failure.
#[test]
fn further_failures_do_not_open_an_open_breaker() {
    let breaker = open_breaker();
    assert_eq!(breaker.record_failure(), BreakerTransition::None);
    assert_eq!(breaker.open_count(), 1);
}

// Guards against probes that instances send in lockstep, or that are too frequent or too rare.
#[test]
fn probe_delays_are_jittered_and_bounded() {
    let breaker = open_breaker();
    let delays: Vec<_> = (0..200).map(|_| breaker.next_probe_delay()).collect();
    let (min, max) = (Duration::from_millis(100), Duration::from_secs(5));
    assert!(delays.iter().all(|delay| (min..=max).contains(delay)));
    assert!(delays[0] <= Duration::from_millis(200));
    assert!(delays.iter().any(|delay| *delay > Duration::from_secs(4)));
    assert_ne!(delays[100], delays[101]);
}

// Guards against a delay that returns to its minimum each time that a service answers a probe but no other call.
#[test]
fn probe_delay_is_kept_until_a_call_succeeds() {
    let breaker = open_breaker();
    while breaker.next_probe_delay() < Duration::from_secs(1) {}
    breaker.close();
    record_five_failures(&breaker);
    let longest = (0..50).map(|_| breaker.next_probe_delay()).max();
    assert!(longest > Some(Duration::from_secs(1)));
    breaker.close();
    breaker.record_success();
    record_five_failures(&breaker);
    assert!(breaker.next_probe_delay() <= Duration::from_millis(200));
}
