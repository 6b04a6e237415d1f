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
