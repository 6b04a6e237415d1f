//! Timing of leadership and reads of the worker list.

use ragwortreel_dispatch::{LeaderCapacity, Timing};

/// Guards against a leader that resumes after a pause and still starts tasks when another instance may lead.
#[test]
fn start_window_ends_before_a_takeover() {
    for transaction_ms in 0..5_000 {
        let takeover_ms = Timing::takeover_ms(transaction_ms);
        assert!(Timing::start_window_ms(takeover_ms) + 200 <= takeover_ms);
        assert!(takeover_ms <= Timing::MAX_TAKEOVER_MS);
        let timing = Timing::new(10_000);
        assert!(
            timing.renewal_interval_ms < Timing::start_window_ms(takeover_ms),
            "a renewal is due before the start window ends"
        );
    }
}

/// Guards against a leader that is replaced because the store is slow: at the longest takeover time, a store that takes
/// 350 ms per transaction commits a renewal in half of it.
#[test]
fn slow_store_gets_the_longest_takeover_time() {
    assert_eq!(Timing::takeover_ms(350), Timing::MAX_TAKEOVER_MS);
    assert_eq!(Timing::takeover_ms(0), Timing::MIN_TAKEOVER_MS);
}

/// Guards against takeover delays among instances with low capacity whose resources are equal.
#[test]
fn equal_machines_have_equal_capacity() {
    assert!(LeaderCapacity::new(0.12, 2.0) >= LeaderCapacity::new(0.12, 2.0));
    assert!(LeaderCapacity::new(0.12, 2.0) < LeaderCapacity::new(0.5, 200.0));
}

/// Guards against a worker list that is too old, so that a leaving worker still gets tasks: none may be placed on it
/// after 2 s on a small fleet, and after 4 s on thousands of workers.
#[test]
fn worker_list_is_read_often_enough() {
    let timing = Timing::new(10_000);
    assert!(timing.list_interval_ms(48) <= 1_000);
    assert!(timing.list_interval_ms(1_100) <= 1_000);
    assert!(timing.list_interval_ms(4_000) <= 2_000);
}
