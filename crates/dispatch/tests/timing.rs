//! Times of leadership.

use ragwortreel_dispatch::{LeaderCapacity, Timing};

/// Guards against a leader that was paused and still starts tasks when another instance may lead.
#[test]
fn permission_ends_before_a_takeover_begins() {
    for transaction_ms in 0..5_000 {
        let takeover_ms = Timing::takeover_ms(transaction_ms);
        assert!(Timing::start_window_ms(takeover_ms) + 200 <= takeover_ms);
        assert!(takeover_ms <= Timing::MAX_TAKEOVER_MS);
        let timing = Timing::new(10_000);
        assert!(
            timing.renewal_interval_ms < Timing::start_window_ms(takeover_ms),
            "a renewal comes before the permission ends"
        );
    }
}

/// Guards against a leader that is replaced because the store is slow: at the longest time a store that answers a
/// transaction in 350 ms takes a renewal in half of it.
#[test]
fn slow_store_gets_the_longest_time() {
    assert_eq!(Timing::takeover_ms(350), Timing::MAX_TAKEOVER_MS);
    assert_eq!(Timing::takeover_ms(0), Timing::MIN_TAKEOVER_MS);
}

/// Guards against a cell of weak instances whose strengths differ by nothing that counts.
#[test]
fn equal_instances_have_equal_strengths() {
    assert!(LeaderCapacity::new(0.12, 2.0) >= LeaderCapacity::new(0.12, 2.0));
    assert!(LeaderCapacity::new(0.12, 2.0) < LeaderCapacity::new(0.5, 200.0));
}

/// Guards against a list of workers that is so old on a large fleet that a worker which leaves still gets tasks: no new ones
/// within 2 s on a small fleet, within 4 s on thousands of workers.
#[test]
fn list_of_workers_is_read_in_time() {
    let timing = Timing::new(10_000);
    assert!(timing.list_interval_ms(48) <= 1_000);
    assert!(timing.list_interval_ms(1_100) <= 1_000);
    assert!(timing.list_interval_ms(4_000) <= 2_000);
}
