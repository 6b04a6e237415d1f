//! Reports of workers that list only a part of the ends of their runs.

mod support;

use {
    ragwortreel_model::JobState,
    ragwortreel_workflow::{EndCause, HeartbeatReport},
    support::{Cell, LEASE_BOUND_MS, cases, ended, job, queue, step, worker},
};

cases! {
    /// Guards against tasks that run again although they are done: the worker lists only the first of many ends, and the
    /// others follow when these are acknowledged.
    runs_whose_end_may_follow_are_not_lost: || {
        let mut cell = Cell::new(1);
        cell.list_reachable_workers(&[worker("w1", 4_000)]);
        cell.accept(job("a", queue(0), vec![step(4, 1_000)]));
        let starts = cell.starts();
        cell.confirm_starts(&starts);
        for (listed, has_more_ends) in [(&starts[..2], true), (&starts[2..], false)] {
            cell.now_ms += 1_000;
            let ends = listed.iter().map(|start| ended(start, EndCause::Done, ""));
            let report = HeartbeatReport {
                sent_ms: cell.now_ms,
                lease_until_ms: cell.now_ms + LEASE_BOUND_MS,
                running: Vec::new(),
                ended: ends.collect(),
                has_more_ends,
                incarnation: None,
            };
            cell.scheduler.heartbeat(&starts[0].worker, report, cell.now_ms);
            let (restarted, stops) = cell.decide();
            assert!(restarted.is_empty(), "{restarted:?}");
            assert!(stops.is_empty(), "{stops:?}");
        }
        assert_eq!(cell.state("a"), Some(JobState::Succeeded));
    };
}
