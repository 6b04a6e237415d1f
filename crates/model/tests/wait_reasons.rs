//! Texts that tell a caller why a task does not run.

use ragwortreel_model::{WaitReason, WorkerId};

#[test]
fn wait_reasons_keep_their_texts() {
    let worker = WorkerId::new("w0").expect("a valid name");
    let found = [
        WaitReason::WaitingForRoom { ahead: 3 },
        WaitReason::GatheringRoom { expected_ms: 5 },
        WaitReason::EarlierRunMayBeAlive { worker, wait_ms: 7 },
    ]
    .map(|reason| reason.to_string());
    let expected = [
        "waiting for room, 3 tasks are ahead",
        "room is being gathered, expected in 5 ms",
        "an earlier run on w0 may still be alive, certain in 7 ms",
    ];
    assert_eq!(found, expected);
}
