//! Panics of tasks.

use ragwortreel_runtime::{catch_panic, catch_panic_sync, run_on_current_thread, spawn};

/// Guards against one task whose panic takes all others of the process down.
#[test]
fn panic_of_one_task_leaves_the_others_running() {
    let sum = run_on_current_thread(async {
        let bad = spawn(catch_panic(async {
            let values: Vec<u32> = Vec::new();
            values[7]
        }));
        let good = spawn(async { 2 + 2 });
        assert!(bad.await.is_err());
        good.await
    });
    assert_eq!(sum, 4);
    let problem = catch_panic_sync(|| panic!("row {}", 7));
    assert_eq!(problem, Err::<(), _>("row 7".to_owned()));
}
