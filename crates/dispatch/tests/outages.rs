//! Outages of the store by step, without a store.

use ragwortreel_dispatch::{OutageStart, OutageTracker};

/// Guards against lines that alternate in the outage of one part: there, one step fails ten times a second while others
/// are answered in between.
#[test]
fn steps_that_succeed_do_not_end_the_outage_of_another_one() {
    let mut outages = OutageTracker::default();
    let mut lines = 0;
    for now_ms in (0..4_000).step_by(100) {
        lines += u32::from(outages.record_failure("journal", now_ms).is_some());
        lines += u32::from(outages.record_success("read states", now_ms + 50).is_some());
    }
    assert_eq!(lines, 1, "the journal's beginning");
    assert_eq!(outages.longest_ms(4_000), 4_000);
    assert_eq!(outages.record_success("journal", 4_000), Some(4_000));
    assert_eq!(outages.longest_ms(4_000), 0);
}

/// Guards against a pair of lines for each turn of a step that takes parts in turn, of which one fails; what got no line
/// must be counted.
#[test]
fn short_outages_of_one_step_are_collapsed_into_a_count() {
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

/// Guards against a step that is no longer taken and makes the instance send callers away for the longest time.
#[test]
fn step_that_is_no_longer_taken_stops_counting() {
    let mut outages = OutageTracker::default();
    assert!(outages.record_failure("recover", 0).is_some());
    assert!(outages.record_failure("recover", 300).is_none());
    assert_eq!(outages.longest_ms(1_000), 1_000);
    assert_eq!(outages.longest_ms(10_000), 0);
    assert!(
        outages.record_failure("recover", 10_000).is_some(),
        "another outage"
    );
    assert_eq!(outages.longest_ms(10_500), 500);
}
