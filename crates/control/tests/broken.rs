//! The history check must find the breach in versions of the system that are broken on purpose.

mod support;

use {
    ragwortreel_runtime::block_on,
    support::broken::{late_start, silent_worker},
};

#[test]
fn late_start_is_refused_by_its_epoch() {
    assert_eq!(block_on(late_start(false)), Vec::<String>::new());
}

#[test]
fn checker_finds_missing_epoch_fence() {
    assert!(!block_on(late_start(true)).is_empty());
}

#[test]
fn silent_worker_is_waited_for() {
    let (violations, restarted) = block_on(silent_worker(false));
    assert_eq!(violations, Vec::<String>::new());
    assert!(restarted > 0);
}

#[test]
fn checker_finds_restart_without_proof() {
    let (violations, _) = block_on(silent_worker(true));
    assert!(!violations.is_empty());
}
