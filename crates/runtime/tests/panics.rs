//! Isolation of panics in tasks and functions.

use ragwortreel_runtime::{catch_panic, catch_panic_sync, run_on_current_thread, spawn};

/// Guards against a panic in one task that terminates the executor's only thread and thereby all other tasks.
#[test]
fn panic_in_one_task_does_not_stop_the_others() {
    let sum = run_on_current_thread(async {
        let panicking = spawn(catch_panic(async {
            let values: Vec<u32> = Vec::new();
            values[7]
        }));
        let other = spawn(async { 2 + 2 });
        assert!(panicking.await.is_err());
        other.await
    });
    assert_eq!(sum, 4);
    let result = catch_panic_sync(|| panic!("row {}", 7));
    assert_eq!(result, Err::<(), _>("row 7".to_owned()));
}
