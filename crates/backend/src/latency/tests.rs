use {super::Latency, std::time::Duration};

const FLOOR: Duration = Duration::from_secs(2);

fn seconds(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

// Guards against work that is known to take long being taken for silent.
#[test]
fn patience_exceeds_the_longest_answer() {
    let mut latency = Latency::default();
    assert_eq!(latency.patience(FLOOR), FLOOR);
    for secs in [1, 8, 1] {
        latency.record_answered(seconds(secs));
    }
    assert_eq!(latency.patience(FLOOR), seconds(12));
}

// Guards against one event that silences all connections of a share making the next detection slower.
#[test]
fn a_burst_of_silence_does_not_raise_patience() {
    let mut latency = Latency::default();
    for _ in 0..8 {
        latency.record_silent(FLOOR);
    }
    assert_eq!(latency.patience(FLOOR), FLOOR);
}

// Guards against a class that has become slower being given up on forever.
#[test]
fn patience_doubles_when_most_are_given_up() {
    let mut latency = Latency::default();
    for _ in 0..64 {
        latency.record_answered(Duration::from_millis(10));
    }
    for _ in 0..9 {
        latency.record_silent(FLOOR);
    }
    assert_eq!(latency.patience(FLOOR), seconds(4));
}

// Guards against a request that may be sent again missing its deadline on a silent connection.
#[test]
fn resend_patience_leaves_time_for_another_attempt() {
    let mut latency = Latency::default();
    assert_eq!(latency.resend_patience(FLOOR, seconds(1), 16), FLOOR);
    for _ in 0..16 {
        latency.record_answered(Duration::from_millis(10));
    }
    let patience = |left_ms| latency.resend_patience(FLOOR, Duration::from_millis(left_ms), 16);
    assert_eq!(patience(900), Duration::from_millis(300));
    assert_eq!(patience(30), Duration::from_millis(100));
    assert_eq!(patience(60_000), FLOOR);
}

// Guards against healthy slow work being sent twice because its deadline is near.
#[test]
fn resend_patience_is_far_above_the_longest_answer() {
    let mut latency = Latency::default();
    for _ in 0..16 {
        latency.record_answered(Duration::from_millis(200));
    }
    let patience = latency.resend_patience(FLOOR, Duration::from_millis(300), 16);
    assert_eq!(patience, Duration::from_millis(1600));
}
