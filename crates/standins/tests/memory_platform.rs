//! Platform in memory: row versions, transactions, injected faults and rate limits.

use {
    ragwortreel_model::Zone,
    ragwortreel_platform::{
        Check, PlatformError, Row, TableService, Txn, TxnOutcome, Write as RowWrite,
    },
    ragwortreel_runtime::{block_on, sleep_ms},
    ragwortreel_standins::{Faults, MemoryPlatform, MemoryTable, Outage, RateLimits},
    std::sync::Arc,
};

fn txn(checks: &[(&str, u64)], writes: &[(&str, Option<&str>)]) -> Txn {
    let checks = checks.iter().map(|(key, version)| Check {
        key: Arc::from(*key),
        version: *version,
    });
    let writes = writes.iter().map(|(key, value)| RowWrite {
        key: Arc::from(*key),
        value: value.map(Arc::from),
    });
    Txn {
        checks: checks.collect(),
        writes: writes.collect(),
    }
}

fn versions(outcome: TxnOutcome) -> Vec<u64> {
    match outcome {
        TxnOutcome::Committed { versions } => versions,
        TxnOutcome::Conflict { current } => panic!("conflict with {current:?}"),
    }
}

// Guards against a row version that is reused after a delete: a check of an outdated version would then succeed.
#[test]
fn versions_are_not_reused_after_a_delete() {
    let mut table = MemoryTable::default();
    assert_eq!(versions(table.commit(&txn(&[], &[("a", Some("1"))]))), [1]);
    assert_eq!(
        versions(table.commit(&txn(&[("a", 1)], &[("a", Some("2"))]))),
        [2]
    );
    assert_eq!(versions(table.commit(&txn(&[], &[("a", None)]))), [0]);
    assert!(versions(table.commit(&txn(&[("a", 0)], &[("a", Some("3"))])))[0] > 2);
}

// Guards against a transaction with a failed check that applies some of its writes.
#[test]
fn a_failed_check_writes_nothing() {
    let mut table = MemoryTable::default();
    versions(table.commit(&txn(&[], &[("a", Some("1"))])));
    let outcome = table.commit(&txn(
        &[("a", 1), ("b", 1)],
        &[("a", Some("2")), ("c", Some("3"))],
    ));
    assert_eq!(outcome, TxnOutcome::Conflict { current: vec![] });
    let rows: Vec<Row> = table.scan(&[""]);
    assert_eq!(rows.len(), 1);
    assert_eq!(&*rows[0].value, "1");
}

// Guards against a scan that returns a row twice if its prefixes overlap.
#[test]
fn a_scan_is_ordered_and_lists_each_row_once() {
    let mut table = MemoryTable::default();
    for key in ["b/2", "a/1", "b/1", "c"] {
        versions(table.commit(&txn(&[], &[(key, Some("x"))])));
    }
    let keys: Vec<_> = (table.scan(&["b/", "b", "a/"]).into_iter())
        .map(|row| row.key.to_string())
        .collect();
    assert_eq!(keys, ["a/1", "b/1", "b/2"]);
}

// Guards against an injected fault that fails with the wrong kind of error: `NotDone` for a call that took effect, or
// `Unknown` for a refused one.
#[test]
fn the_error_tells_whether_a_faulty_call_took_effect() {
    block_on(async {
        let platform = MemoryPlatform::new();
        let zone = Zone::new("riga-a").expect("valid name");
        let cut_off = platform.in_zone(zone.clone());

        platform
            .faults()
            .update(|f| f.outage = Some(Outage::Refuse));
        let refused = platform.commit(txn(&[], &[("a", Some("1"))])).await;
        assert!(matches!(refused, Err(PlatformError::NotDone { .. })));
        assert!(platform.peek("a").is_none());

        platform.faults().set(Faults {
            lost_answers_ppm: 1_000_000,
            ..Faults::default()
        });
        let lost = platform.commit(txn(&[], &[("a", Some("1"))])).await;
        assert!(matches!(lost, Err(PlatformError::Unknown { .. })));
        assert!(platform.peek("a").is_some());

        platform.faults().set(Faults {
            cut_zones: [zone].into(),
            ..Faults::default()
        });
        assert!(TableService::get(&*cut_off, "a").await.is_err());
        assert!(TableService::get(&*platform, "a").await.is_ok());
    });
}

// Guards against a late write that never takes effect or that reports success to its caller.
#[test]
fn a_late_write_takes_effect_after_its_call_has_failed() {
    block_on(async {
        let platform = MemoryPlatform::with_limits(RateLimits::NONE, 1);
        platform.faults().set(Faults {
            late_writes_ppm: 1_000_000,
            late_write_ms: 20,
            ..Faults::default()
        });
        let late = platform.commit(txn(&[], &[("a", Some("1"))])).await;
        assert!(matches!(late, Err(PlatformError::Unknown { .. })));
        sleep_ms(60).await;
        assert!(platform.peek("a").is_some());
    });
}

// Guards against a platform that accepts writes above its rate limit, or does not count the refused ones.
#[test]
fn writes_above_the_rate_are_refused_and_counted() {
    block_on(async {
        let limits = RateLimits {
            writes_per_s: 10,
            reads_per_s: 0,
        };
        let platform = MemoryPlatform::with_limits(limits, 1);
        let mut refused = 0;
        for _ in 0..30 {
            let outcome = platform.commit(txn(&[], &[("a", Some("1"))])).await;
            refused += u32::from(outcome.is_err());
        }
        assert!(refused >= 15, "{refused} of 30 writes were refused");
        assert_eq!(platform.counts().writes_over_limit, u64::from(refused));
    });
}
