//! Batching of transactions: differential test of batched against separate transactions, and the limits of a batch.

use {
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    ragwortreel_platform::{Check, Row, Txn, TxnBatch, TxnOutcome, Write},
    ragwortreel_standins::MemoryTable,
    std::{collections::BTreeMap, sync::Arc},
};

/// Transaction on keys of its own: for each row the expected version and, optionally, a put (`true`) or a delete.
type Plan = Vec<(u64, Option<bool>)>;

fn to_txn(index: usize, plan: &Plan) -> Txn {
    let key = |row: usize| -> Arc<str> { Arc::from(format!("{index}/{row}")) };
    let checks = plan.iter().enumerate().map(|(row, (version, _))| Check {
        key: key(row),
        version: *version,
    });
    let writes = plan.iter().enumerate().filter_map(|(row, (_, write))| {
        let puts = (*write)?;
        Some(Write {
            key: key(row),
            value: puts.then(|| Arc::from("new")),
        })
    });
    Txn {
        checks: checks.collect(),
        writes: writes.collect(),
    }
}

fn table_with_rows(existing: &[(usize, usize, u8)]) -> MemoryTable {
    let mut table = MemoryTable::default();
    for (index, row, times) in existing {
        for _ in 0..*times {
            let write = Write {
                key: Arc::from(format!("{index}/{row}")),
                value: Some(Arc::from("old")),
            };
            table.commit(&Txn {
                checks: vec![],
                writes: vec![write],
            });
        }
    }
    table
}

// Sends the batch and those that have to be sent again; returns the outcome by index and the number of calls.
fn send_batch(
    table: &mut MemoryTable,
    batch: TxnBatch<usize>,
) -> (BTreeMap<usize, TxnOutcome>, usize) {
    let mut outcomes = BTreeMap::new();
    let mut batches = vec![batch];
    let mut calls = 0;
    while let Some(batch) = batches.pop() {
        let outcome = table.commit(&batch.txn());
        calls += 1;
        let split = batch.split_outcome(outcome);
        outcomes.extend(split.completed);
        batches.extend(split.resend);
    }
    (outcomes, calls)
}

// Makes outcomes independent of the order of transactions: the first version of a new row depends on the deletes before
// it, so only whether the row was written is compared.
fn comparable(outcome: TxnOutcome, txn: &Txn, before: &MemoryTable) -> TxnOutcome {
    match outcome {
        TxnOutcome::Conflict { mut current } => {
            current.sort_by(|a, b| a.key.cmp(&b.key));
            TxnOutcome::Conflict { current }
        }
        TxnOutcome::Committed { versions } => {
            let pairs = versions.into_iter().zip(&txn.writes);
            let versions = pairs.map(|(version, write)| match before.get(&write.key) {
                Some(_) => version,
                None => version.min(1),
            });
            TxnOutcome::Committed {
                versions: versions.collect(),
            }
        }
    }
}

fn config() -> Config {
    Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    // Guards against a transaction that gets the result of another one in its batch, or fails because of its conflict.
    #[test]
    fn batched_transactions_get_their_separate_results(
        plans in prop::collection::vec(
            prop::collection::vec((0_u64..3, prop::option::of(any::<bool>())), 1..4), 1..12),
        existing in prop::collection::vec((0_usize..12, 0_usize..4, 1_u8..3), 0..24),
    ) {
        let txns: Vec<_> =
            plans.iter().enumerate().map(|(index, plan)| to_txn(index, plan)).collect();
        let mut batched = table_with_rows(&existing);
        let mut batch = TxnBatch::default();
        for (index, txn) in txns.iter().enumerate() {
            prop_assert!(batch.accepts(txn));
            batch.push(txn.clone(), index);
        }
        let (outcomes, calls) = send_batch(&mut batched, batch);

        let before = table_with_rows(&existing);
        let mut separate = table_with_rows(&existing);
        for (index, txn) in txns.iter().enumerate() {
            let expected = comparable(separate.commit(txn), txn, &before);
            let outcome = outcomes.get(&index).cloned();
            let outcome = outcome.map(|outcome| comparable(outcome, txn, &before));
            prop_assert_eq!(Some(expected), outcome);
        }
        let values = |rows: Vec<Row>| -> Vec<_> {
            rows.into_iter().map(|row| (row.key, row.value)).collect()
        };
        prop_assert_eq!(values(batched.scan(&[""])), values(separate.scan(&[""])));
        prop_assert!(calls <= 2 * txns.len(), "{} calls for {} transactions", calls, txns.len());
    }
}

// Guards against two writes of one row in a batch, of which the first would be lost without an error.
#[test]
fn transactions_that_share_a_key_are_not_batched() {
    let mut batch = TxnBatch::default();
    let first = to_txn(0, &vec![(0, Some(true)), (0, None)]);
    batch.push(first, 0);
    assert!(!batch.accepts(&to_txn(0, &vec![(0, None), (0, Some(true))])));
    assert!(batch.accepts(&to_txn(1, &vec![(0, Some(true))])));
}

// Guards against a batch that the service refuses because it is too large.
#[test]
fn batch_stays_within_the_limits_of_one_transaction() {
    let mut batch = TxnBatch::default();
    for index in 0..200 {
        let txn = to_txn(index, &vec![(0, Some(true))]);
        if batch.accepts(&txn) {
            batch.push(txn, index);
        }
    }
    assert_eq!(batch.len(), 100);
    assert!(batch.txn().fits());
}
