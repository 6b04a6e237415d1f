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

/// Guards against tasks that start elsewhere while they still run on a worker whose clock is 2% slow, and against a wait that
/// is longer than that takes.
#[test]
fn leases_on_slow_clocks_end_within_their_bound() {
    const MAX_EXCESS_MS: u64 = 300;
    let timing = Timing::new(10_000);
    for clock_age_ms in 0..10_000 {
        let Some(bound_ms) = timing.granted_lease_bound_ms(clock_age_ms) else {
            assert!(
                clock_age_ms > 3_200 + 1_500,
                "the age at a heartbeat after one without an answer"
            );
            continue;
        };
        // The order names the time `lease_ms` after its sending, as if the worker's clock kept pace since it was read.
        let ends_ms = (clock_age_ms + timing.lease_ms) * 100 / 98 + 1;
        let until_ms = clock_age_ms + bound_ms;
        assert!(
            until_ms >= ends_ms,
            "the lease ends after {ends_ms} ms, not {until_ms}"
        );
        assert!(until_ms <= ends_ms + MAX_EXCESS_MS);
        assert!(
            bound_ms <= timing.lease_bound_ms(),
            "the bound for any order covers this one"
        );
    }
}
