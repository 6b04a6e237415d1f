//! Workers that start again under their ids, as another kind or not.

mod support;

use {
    ragwortreel_model::Resources,
    ragwortreel_workflow::{HeartbeatReport, Incarnation, StartOrder, Step, WorkerSpec},
    std::{collections::BTreeSet, sync::Arc},
    support::{Cell, LEASE_BOUND_MS, cases, job, queue, step, worker, worker_id},
};

/// Time after which a step that found no room is tried again, in ms.
const RETRY_MS: u64 = 100;

/// Entry of an incarnation with the label `b`.
fn entry(incarnation: u64) -> WorkerSpec {
    WorkerSpec {
        labels: BTreeSet::from([Arc::from("b")]),
        incarnation: Some(Incarnation(incarnation)),
        ..worker("w1", 4_000)
    }
}

/// Answer of an incarnation to a heartbeat that was sent after all starts were confirmed; it runs nothing.
fn answer(cell: &mut Cell, incarnation: Option<u64>) {
    cell.now_ms += 10;
    let report = HeartbeatReport {
        sent_ms: cell.now_ms,
        lease_until_ms: cell.now_ms + LEASE_BOUND_MS,
        incarnation: incarnation.map(Incarnation),
        ..HeartbeatReport::default()
    };
    (cell.scheduler).heartbeat(&worker_id("w1"), report, cell.now_ms);
}

fn needs_label(tasks: u32) -> Step {
    Step {
        needed_label: Some(Arc::from("b")),
        ..step(tasks, 1_000)
    }
}

/// Cell of one worker whose first incarnation answers, and a job of ten tasks that need its label, four of which run.
fn busy_cell() -> (Cell, Vec<StartOrder>) {
    let mut cell = Cell::new(1);
    cell.list_workers(&[entry(1)]);
    answer(&mut cell, Some(1));
    cell.accept(job("j", queue(0), vec![needs_label(10)]));
    let starts = cell.starts();
    assert_eq!(starts.len(), 4);
    cell.confirm_starts(&starts);
    (cell, starts)
}

/// Guards against starts by the entry of a former incarnation: the second one has this entry, which is listed after its first
/// answer, and allows this many starts.
macro_rules! starts_after_a_restart {
    ($($name:ident: $change:expr => $starts:expr;)*) => {$(
        #[test]
        fn $name() {
            let (mut cell, _) = busy_cell();
            answer(&mut cell, Some(2));
            assert!(cell.scheduler.lacks_entry(&worker_id("w1")));
            assert!(cell.starts().is_empty(), "the listed entry is of the first incarnation");
            let change: fn(&mut WorkerSpec) = $change;
            let mut second = entry(2);
            change(&mut second);
            cell.list_workers(&[second]);
            cell.now_ms += RETRY_MS;
            assert!(!cell.scheduler.lacks_entry(&worker_id("w1")));
            assert_eq!(cell.starts().len(), $starts);
        }
    )*};
}

starts_after_a_restart! {
    same_kind_gets_its_tasks_again: |_| {} => 4;
    another_kind_gets_no_task: |it| it.labels = BTreeSet::from([Arc::from("a")]) => 0;
    smaller_worker_gets_fewer_tasks: |it| it.capacity = Resources::new(2_000, 1_000_000, 0) => 2;
    worker_of_another_service_gets_no_task: |it| it.service = Arc::from("other") => 0;
    draining_worker_gets_no_task: |it| it.draining = true => 0;
}

cases! {
    /// Guards against starts on an incarnation that is listed before it answers, and against those on the next one by the entry
    /// of that one when a worker starts again twice within one interval of the list.
    entries_count_for_their_own_incarnation_only: || {
        let (mut cell, _) = busy_cell();
        cell.list_workers(&[entry(2)]);
        answer(&mut cell, Some(1));
        assert!(cell.starts().is_empty(), "the first incarnation still answers");
        answer(&mut cell, Some(3));
        assert!(cell.starts().is_empty(), "the second one has ended");
        cell.list_workers(&[entry(2)]);
        assert!(cell.starts().is_empty(), "a slow list");
        cell.list_workers(&[entry(3)]);
        cell.now_ms += RETRY_MS;
        assert_eq!(cell.starts().len(), 4);
    };

    /// Guards against a start for a former incarnation that is sent late to the next one.
    starts_name_the_incarnation_for_which_they_were_decided: || {
        let (mut cell, starts) = busy_cell();
        assert!(cell.scheduler.is_for_incarnation(&starts[0]));
        answer(&mut cell, Some(2));
        assert!(!cell.scheduler.is_for_incarnation(&starts[0]));
    };

    /// Guards against workers that get no task because the platform does not tell incarnations.
    untold_incarnations_do_not_matter: || {
        for (listed, answering) in [(None, Some(2)), (Some(1), None), (None, None)] {
            let mut cell = Cell::new(1);
            cell.list_workers(&[WorkerSpec { incarnation: listed.map(Incarnation), ..entry(1) }]);
            answer(&mut cell, answering);
            cell.accept(job("j", queue(0), vec![needs_label(4)]));
            assert_eq!(cell.starts().len(), 4, "{listed:?}, {answering:?}");
        }
    };
}
