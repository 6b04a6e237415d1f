//! Runs of versions of the system that are broken on purpose.

use {
    super::{Cell, job, name},
    ragwortreel_model::InstanceId,
    ragwortreel_platform::InstanceState,
    ragwortreel_runtime::sleep_ms,
    ragwortreel_standins::Outage,
    std::sync::atomic::Ordering,
};

/// A start that is held back while its owner is replaced; the worker's fence decides what happens when it arrives.
pub async fn late_start(fence_off: bool) -> Vec<String> {
    let mut cell = Cell::new(&["riga-a"], 4);
    for id in ["e1", "e2"] {
        cell.start(id, "riga-a");
        cell.instances[id]
            .gate
            .fence_off
            .store(fence_off, Ordering::SeqCst);
    }
    cell.ready().await;
    let owner = cell.owner("riga-a").expect("an owner");
    let gate = std::sync::Arc::clone(&cell.instances[&owner].gate);
    // Workers must have reported, or the start waits in the owner and not on its way.
    sleep_ms(400).await;
    gate.hold_starts(true);
    cell.submit(&owner, job("j", 4, None)).await;
    cell.until("the starts are on their way", |_| gate.held_starts() > 0)
        .await;
    gate.pause();
    // The next owner uses other workers, so that a late start would run the task in a second place.
    for row in cell.platform.peek_all("journal/riga-a/") {
        for id in ["w0", "w1", "w2", "w3"] {
            if row.value.contains(&format!("\"{id}\"")) {
                let id = name(InstanceId::new, id);
                cell.platform
                    .set_instance_state(&id, InstanceState::Leaving);
            }
        }
    }
    cell.until("the next owner starts the tasks", |cell| {
        cell.running() == 4
    })
    .await;
    gate.hold_starts(false);
    gate.resume();
    if fence_off {
        // However long the late starts are on their way, the checker must find them.
        cell.until("the late starts are found", |cell| {
            !cell.violations().is_empty()
        })
        .await;
    } else {
        sleep_ms(300).await;
    }
    cell.violations()
}

/// A worker that is cut off from its owner and goes on running its tasks until their lease expires.
pub async fn silent_worker(without_proof: bool) -> (Vec<String>, usize) {
    let mut cell = Cell::new(&["riga-a"], 3);
    if without_proof {
        cell.timings.task_lease_ms = 0;
    }
    cell.start("e1", "riga-a");
    cell.ready().await;
    cell.submit("e1", job("j", 4, None)).await;
    cell.until("four run", |cell| cell.running() == 4).await;
    let busy = cell
        .workers
        .iter()
        .find(|worker| worker.running() > 0)
        .expect("a busy worker");
    busy.faults()
        .update(|faults| faults.outage = Some(Outage::Silent));
    let before = cell.fleet.history().runs().len();
    cell.until("started elsewhere", |cell| {
        cell.fleet.history().runs().len() > before
    })
    .await;
    sleep_ms(100).await;
    (
        cell.violations(),
        cell.fleet.history().runs().len() - before,
    )
}
