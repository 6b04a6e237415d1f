//! Outages by step, without a store.

use ragwortreel_dispatch::{OutageStart, OutageTracker};

/// Guards against repeated log lines during the outage of one partition: one step fails ten times a second while others
/// succeed in between.
#[test]
fn success_of_other_steps_does_not_end_an_outage() {
    let mut outages = OutageTracker::default();
    let mut lines = 0;
    for now_ms in (0..4_000).step_by(100) {
        lines += u32::from(outages.record_failure("journal", now_ms).is_some());
        lines += u32::from(outages.record_success("read states", now_ms + 50).is_some());
    }
    assert_eq!(lines, 1, "only the start of the journal's outage is logged");
    assert_eq!(outages.longest_ms(4_000), 4_000);
    assert_eq!(outages.record_success("journal", 4_000), Some(4_000));
    assert_eq!(outages.longest_ms(4_000), 0);
}

/// Guards against two log lines for each failure of a step that uses partitions in turn, one of which fails; outages
/// that are not logged must be counted.
#[test]
fn repeated_short_outages_are_counted_instead_of_logged() {
    let mut outages = OutageTracker::default();
    assert_eq!(
        outages.record_failure("clear", 0),
        Some(OutageStart { suppressed: 0 })
    );
    assert_eq!(outages.record_success("clear", 100), Some(100));
    for now_ms in (200..5_000).step_by(200) {
        assert_eq!(outages.record_failure("clear", now_ms), None);
        assert_eq!(outages.record_success("clear", now_ms + 100), None);
    }
    assert_eq!(
        outages.record_failure("clear", 5_000),
        Some(OutageStart { suppressed: 24 })
    );
}

/// Guards against a step that is no longer executed but still counts as failing, so that callers get the longest retry
/// delay.
#[test]
fn step_that_is_no_longer_executed_stops_counting() {
    let mut outages = OutageTracker::default();
    assert!(outages.record_failure("recover", 0).is_some());
    assert!(outages.record_failure("recover", 300).is_none());
    assert_eq!(outages.longest_ms(1_000), 1_000);
    assert_eq!(outages.longest_ms(10_000), 0);
    assert!(
        outages.record_failure("recover", 10_000).is_some(),
        "a failure after a long gap starts another outage"
    );
    assert_eq!(outages.longest_ms(10_500), 500);
}
