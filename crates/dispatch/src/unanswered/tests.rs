//! Leases of workers that do not answer, over changes of the leader and with clocks that drift.

use {
    super::{FIRST_ANSWER_MS, MIN_SILENCE_MS, StoreTime, UnansweredWorkers},
    crate::{Timing, rows::LeasesRow},
    ragwortreel_model::WorkerId,
    std::collections::BTreeMap,
};

/// Difference between the clocks of the store and of the first leader, in ms.
const STORE_OFFSET_MS: u64 = 5_000_000;

fn id(name: &str) -> WorkerId {
    WorkerId::new(name).expect("a valid name")
}

fn timing() -> Timing {
    Timing::new(10_000)
}

/// End of all leases for a leader that read the stored state at this time.
fn latest_ms(read_ms: u64) -> u64 {
    read_ms + timing().unreached_lease_bound_ms()
}

fn store_time(now_ms: u64) -> StoreTime {
    StoreTime {
        store_ms: now_ms + STORE_OFFSET_MS,
        sent_ms: now_ms,
    }
}

/// Workers of a first term, of which one fell silent at this time.
fn silent_since(now_ms: u64) -> UnansweredWorkers {
    let mut workers = UnansweredWorkers::default();
    workers.begin_term(1, [id("w")], None, 0, latest_ms(0));
    workers.remove(&id("w"));
    workers.record_store_time(store_time(now_ms));
    workers.record_silence(&id("w"), now_ms, &timing());
    workers
}

/// Row of a term after a worker fell silent at 1 s.
fn stored_row() -> LeasesRow {
    let mut workers = silent_since(1_000);
    workers.next_row(1, 1_000 + MIN_SILENCE_MS).expect("a row")
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $body:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let run: fn() = $body;
            run();
        }
    )*};
}

cases! {
    /// Guards against writes for short silences, and against a row that is written again without a change.
    row_names_a_worker_once_it_is_silent_for_long: || {
        let mut workers = silent_since(1_000);
        assert_eq!(workers.next_row(1, 999 + MIN_SILENCE_MS), None);
        let row = workers.next_row(1, 1_000 + MIN_SILENCE_MS).expect("a row");
        assert_eq!(row.term, 1);
        let end_ms = row.until_ms[&id("w")] - STORE_OFFSET_MS;
        assert!(end_ms >= 1_000 + timing().lease_bound_ms(), "{end_ms}");
        workers.record_stored();
        workers.record_store_time(store_time(9_000));
        assert_eq!(workers.next_row(1, 9_000), None);
    };

    /// Guards against a task that runs twice because a worker gets a lease again while a row for the next leader says that
    /// its leases end.
    named_workers_get_no_lease_until_the_row_is_stored_without_them: || {
        let mut workers = silent_since(1_000);
        assert!(!workers.remove(&id("w")), "no row names it");
        workers.record_silence(&id("w"), 2_000, &timing());
        workers.next_row(1, 9_000).expect("a row");
        assert!(workers.remove(&id("w")), "the row is being stored");
        workers.record_stored();
        assert!(workers.remove(&id("w")), "the row is stored");
        let row = workers.next_row(1, 9_000).expect("a row without it");
        assert!(row.until_ms.is_empty());
        assert!(workers.remove(&id("w")), "the row without it is not stored yet");
        workers.record_stored();
        assert!(!workers.remove(&id("w")));
    };

    /// Guards against a worker that gets no lease any more because the store refused a row.
    refused_rows_are_replaced: || {
        let mut workers = silent_since(1_000);
        workers.next_row(1, 9_000).expect("a row");
        assert!(workers.remove(&id("w")));
        assert_eq!(workers.next_row(1, 9_000), None, "the stored row is empty");
        assert!(!workers.remove(&id("w")));
    };

    /// Guards against a lease that a term extended without writing a row, for example that of a former version.
    rows_count_for_the_next_term_only: || {
        let row = stored_row();
        let store_ms = STORE_OFFSET_MS + 8_000;
        let until = |term| {
            let mut workers = UnansweredWorkers::default();
            let former = Some((&row, store_ms));
            workers.begin_term(term, [id("w"), id("other")], former, 700, latest_ms(700))
        };
        let latest_ms = latest_ms(700);
        let next = until(2);
        assert!(next[&id("w")] < 700 + 4_500, "{next:?}");
        assert_eq!(next[&id("other")], latest_ms);
        for term in [1, 3, 4] {
            assert_eq!(until(term)[&id("w")], latest_ms, "{term}");
        }
    };

    /// Guards against a lease that seems to end early because the store's clock is 2% faster than that of the leader that
    /// stores the end, or 2% slower than that of the leader that reads it.
    ends_are_rounded_up_for_clocks_that_drift: || {
        const SILENT_MS: u64 = 9_000;
        let mut workers = silent_since(SILENT_MS);
        workers.record_store_time(store_time(0));
        let row = workers.next_row(1, 20_000).expect("a row");
        let until_ms = SILENT_MS + timing().lease_bound_ms();
        assert!(row.until_ms[&id("w")] >= STORE_OFFSET_MS + until_ms * 102 / 100);
        let store_ms = row.until_ms[&id("w")] - 9_800;
        let mut workers = UnansweredWorkers::default();
        let ends = workers.begin_term(2, [id("w")], Some((&row, store_ms)), 700, latest_ms(700));
        assert!(ends[&id("w")] >= 700 + 10_000, "{ends:?}");
    };

    /// Guards against ends of runs that a new leader does not wait for although their worker could list them.
    expired_leases_leave_time_for_a_first_answer: || {
        let row = stored_row();
        let mut workers = UnansweredWorkers::default();
        let former = Some((&row, STORE_OFFSET_MS + 60_000));
        let ends = workers.begin_term(2, [id("w")], former, 700, latest_ms(700));
        assert_eq!(ends[&id("w")], 700 + FIRST_ANSWER_MS);
    };

    /// Guards against tasks of lost workers that wait 19 s anew after each change of the leader (review/3), and against
    /// tasks that start before the lease has expired on a worker whose clock is 2% slow; with a store whose clock is slow,
    /// exact or fast, and which takes 300 ms to answer.
    leases_end_at_their_time_over_three_changes_of_the_leader: || {
        const ANSWER_MS: u64 = 300;
        const SILENT_MS: u64 = 5_000;
        // All times are those of the leaders, whose clocks have different zeros.
        let lease_ends_ms = SILENT_MS + 10_000 * 100 / 98;
        for store_percent in [98, 100, 102] {
            let store_clock = |now_ms: u64| STORE_OFFSET_MS + now_ms * store_percent / 100;
            let (mut workers, mut zero_ms) = (silent_since(SILENT_MS), 0);
            for (term, changed_ms) in [(2, 7_000), (3, 9_000), (4, 11_000)] {
                let asked_ms = changed_ms - 900;
                workers.record_store_time(StoreTime {
                    store_ms: store_clock(asked_ms + ANSWER_MS),
                    sent_ms: asked_ms - zero_ms,
                });
                let row = workers.next_row(term - 1, changed_ms - 500 - zero_ms).expect("a row");
                workers = UnansweredWorkers::default();
                zero_ms = 100 * u64::from(term);
                let former = Some((&row, store_clock(changed_ms)));
                let read_ms = changed_ms + ANSWER_MS - zero_ms;
                let ends: BTreeMap<_, _> =
                    workers.begin_term(term, [id("w")], former, read_ms, latest_ms(read_ms));
                let until_ms = ends[&id("w")] + zero_ms;
                assert!(until_ms >= lease_ends_ms, "{store_percent}, {term}: {until_ms}");
                assert!(until_ms <= lease_ends_ms + 2_000, "{store_percent}, {term}: {until_ms}");
            }
        }
    };
}
