//! Successive deadlines on one timer.

use {
    ragwortreel_http::DeadlineTimer,
    ragwortreel_runtime::{block_on, future},
    std::time::{Duration, Instant},
};

// Guards against a timeout that is late or early because the timer is still registered for another deadline.
#[test]
fn each_deadline_is_kept() {
    block_on(async {
        let mut timer = DeadlineTimer::default();
        for limit_ms in [50, 20, 80, 20, 0, 40] {
            let started = Instant::now();
            let limit = Duration::from_millis(limit_ms);
            let passed = timer
                .timeout_at(started + limit, future::pending::<()>())
                .await;
            assert!(passed.is_err());
            let elapsed = started.elapsed();
            assert!(elapsed >= limit, "{elapsed:?} of {limit:?}");
            assert!(elapsed < limit + Duration::from_millis(500), "{elapsed:?}");
            let later = Instant::now() + Duration::from_secs(5);
            assert_eq!(timer.timeout_at(later, future::yield_now()).await, Ok(()));
        }
    });
}
