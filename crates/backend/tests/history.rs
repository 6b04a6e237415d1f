//! Compares the results of concurrent requests with the requests that a failing backend server received.

mod common;

use {
    common::{Backend, send_options},
    ragwortreel_backend::{PoolLimits, SendResult},
    ragwortreel_http::Request,
    ragwortreel_model::{Outcome, WorkClass},
    ragwortreel_runtime::{block_on, spawn},
    std::{sync::Arc, time::Duration},
};

/// Kinds of requests; see [`Backend`].
const KINDS: &[&str] = &[
    "ok", "ok", "ok", "delay", "close", "cut", "last", "silent", "late",
];
const TASKS: usize = 12;
const REQUESTS_PER_TASK: usize = 60;
const MAX_CONNECTIONS: usize = 8;

// Guards against a response to another request, a request that ran although it is reported as not run, a request that
// ran twice, and more connections than allowed.
#[test]
fn outcomes_agree_with_the_received_requests() {
    check_history(Some(Duration::from_millis(60)));
}

// Guards against the same faults without silence detection, where responses arrive after the deadline.
#[test]
fn outcomes_agree_without_silence_detection() {
    check_history(None);
}

fn check_history(silence_timeout: Option<Duration>) {
    let backend = Backend::start();
    let limits = PoolLimits {
        max_connections: MAX_CONNECTIONS,
        silence_timeout,
        ..PoolLimits::default()
    };
    let pool = Arc::new(backend.pool(limits));
    let tasks: Vec<_> = (0..TASKS)
        .map(|task| {
            let pool = Arc::clone(&pool);
            spawn(async move {
                let mut history = Vec::new();
                for number in 0..REQUESTS_PER_TASK {
                    // A fixed permutation instead of random numbers; each task sends the kinds in a different order.
                    let kind = KINDS[(number * 5 + task * 3 + number / 8) % KINDS.len()];
                    let target = format!("/{kind}/{}/{task}/{number}", number % 20);
                    let request = Request::get(target.as_str());
                    let result = pool.send(request, send_options(WorkClass::Short, 70)).await;
                    history.push((target, result));
                    let open = pool.stats().open;
                    assert!(open <= MAX_CONNECTIONS, "{open} connections");
                }
                history
            })
        })
        .collect();
    let mut outcome_counts = [0; 3];
    for (target, result) in tasks.into_iter().flat_map(block_on) {
        let runs = backend.request_count(&target);
        assert!(runs <= 1, "{target} ran {runs} times");
        match result.outcome() {
            Outcome::Answered => outcome_counts[0] += 1,
            Outcome::NotRun => outcome_counts[1] += 1,
            Outcome::Unknown => outcome_counts[2] += 1,
        }
        match result {
            SendResult::Answered(res) => {
                assert_eq!((res.body.as_slice(), runs), (target.as_bytes(), 1));
            }
            SendResult::NotRun(reason) => assert_eq!(runs, 0, "{target}: {reason}"),
            SendResult::Unknown(_) => {}
        }
    }
    assert!(
        outcome_counts.iter().all(|count| *count > 0),
        "{outcome_counts:?}"
    );
    block_on(pool.drain());
    assert_eq!(pool.stats().open, 0);
}
