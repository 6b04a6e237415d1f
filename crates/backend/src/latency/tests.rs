use {super::LatencyWindow, std::time::Duration};

/// Configured silence timeout.
const BASE: Duration = Duration::from_secs(2);

fn seconds(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

// Guards against aborting work as silent although earlier exchanges took as long.
#[test]
fn silence_timeout_exceeds_the_longest_answer() {
    let mut latency = LatencyWindow::default();
    assert_eq!(latency.silence_timeout(BASE), BASE);
    for secs in [1, 8, 1] {
        latency.record_answered(seconds(secs));
    }
    assert_eq!(latency.silence_timeout(BASE), seconds(12));
}

// Guards against a longer timeout after a single event that makes all connections of a pool silent.
#[test]
fn burst_of_silent_exchanges_keeps_the_timeout() {
    let mut latency = LatencyWindow::default();
    for _ in 0..8 {
        latency.record_silent(BASE);
    }
    assert_eq!(latency.silence_timeout(BASE), BASE);
}

// Guards against aborting every exchange of a class that has become slower.
#[test]
fn silence_timeout_doubles_if_most_exchanges_are_silent() {
    let mut latency = LatencyWindow::default();
    for _ in 0..64 {
        latency.record_answered(Duration::from_millis(10));
    }
    for _ in 0..9 {
        latency.record_silent(BASE);
    }
    assert_eq!(latency.silence_timeout(BASE), seconds(4));
}

// Guards against a retryable request that misses its deadline on a silent connection.
#[test]
fn retryable_timeout_leaves_time_for_another_attempt() {
    let mut latency = LatencyWindow::default();
    assert_eq!(
        latency.retryable_silence_timeout(BASE, seconds(1), 16),
        BASE
    );
    for _ in 0..16 {
        latency.record_answered(Duration::from_millis(10));
    }
    let timeout =
        |left_ms| latency.retryable_silence_timeout(BASE, Duration::from_millis(left_ms), 16);
    assert_eq!(timeout(900), Duration::from_millis(300));
    assert_eq!(timeout(30), Duration::from_millis(100));
    assert_eq!(timeout(60_000), BASE);
}

// Guards against sending slow but healthy work again because its deadline is near.
#[test]
fn retryable_timeout_is_far_above_the_longest_answer() {
    let mut latency = LatencyWindow::default();
    for _ in 0..16 {
        latency.record_answered(Duration::from_millis(200));
    }
    let timeout = latency.retryable_silence_timeout(BASE, Duration::from_millis(300), 16);
    assert_eq!(timeout, Duration::from_millis(1600));
}
