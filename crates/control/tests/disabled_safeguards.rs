//! Scenarios with one safeguard enabled and disabled: with the safeguard disabled the violation check must report
//! violations, which shows that the check works.

mod support;

use {
    ragwortreel_runtime::block_on,
    support::disabled_safeguards::{delayed_start, silent_worker},
};

/// A worker must refuse a start command that arrives with the epoch of an earlier owner.
#[test]
fn start_with_older_epoch_is_refused() {
    assert_eq!(block_on(delayed_start(false)), Vec::<String>::new());
}

/// Without epoch fencing the delayed start runs, and the check must report it.
#[test]
fn check_detects_missing_epoch_fencing() {
    assert!(!block_on(delayed_start(true)).is_empty());
}

/// Tasks of a silent worker must start elsewhere only after their lease has expired.
#[test]
fn tasks_of_silent_worker_restart_after_lease_expiry() {
    let (violations, restarted) = block_on(silent_worker(false));
    assert_eq!(violations, Vec::<String>::new());
    assert!(restarted > 0);
}

/// Without the wait for the lease a task runs on two workers, and the check must report it.
#[test]
fn check_detects_restart_before_lease_expiry() {
    let (violations, _) = block_on(silent_worker(true));
    assert!(!violations.is_empty());
}
