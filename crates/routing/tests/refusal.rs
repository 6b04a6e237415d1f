//! Texts of refusals that reach callers, metrics and logs.

use ragwortreel_routing::{Refusal, RefusalReason};

/// Guards against a renamed reason: callers and dashboards match these texts.
#[test]
fn refusal_texts_are_stable() {
    let reasons = [
        (RefusalReason::QueueFull, "queue-full"),
        (RefusalReason::Deadline, "deadline"),
        (RefusalReason::RateLimit, "rate-limit"),
        (RefusalReason::NoBackend, "no-backend"),
        (RefusalReason::NoLease, "no-lease"),
        (RefusalReason::Stopping, "stopping"),
    ];
    for (reason, text) in reasons {
        assert_eq!(reason.to_string(), text);
    }
    let refusal = Refusal {
        reason: RefusalReason::QueueFull,
        retry_after_ms: 70,
    };
    assert_eq!(
        refusal.to_string(),
        "request refused (queue-full), retry after 70 ms"
    );
}
