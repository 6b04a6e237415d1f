//! Differential test of grouping: the members' results are those of each transaction run alone.

use {
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    ragwortreel_platform::{Check, Row, Txn, TxnBatch, TxnOutcome, Write},
    ragwortreel_standins::MemoryTable,
    std::{collections::BTreeMap, sync::Arc},
};

/// Transaction on keys of its own; each check expects a version, each write puts or deletes.
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

fn filled(existing: &[(usize, usize, u8)]) -> MemoryTable {
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

// Sends the group and whatever its division asks to be sent again; returns the number of calls.
fn run_grouped(
    table: &mut MemoryTable,
    group: TxnBatch<usize>,
) -> (BTreeMap<usize, TxnOutcome>, usize) {
    let mut outcomes = BTreeMap::new();
    let mut groups = vec![group];
    let mut calls = 0;
    while let Some(group) = groups.pop() {
        let outcome = table.commit(&group.txn());
        calls += 1;
        let division = group.split_outcome(outcome);
        outcomes.extend(division.completed);
        groups.extend(division.resend);
    }
    (outcomes, calls)
}

// The first version of a new row depends on the deletes before it, and thus on the order of independent transactions.
// Only whether it was written is compared.
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

    // Guards against a member that gets another's result, or is refused because another member conflicts.
    #[test]
    fn members_get_the_results_of_running_alone(
        plans in prop::collection::vec(
            prop::collection::vec((0_u64..3, prop::option::of(any::<bool>())), 1..4), 1..12),
        existing in prop::collection::vec((0_usize..12, 0_usize..4, 1_u8..3), 0..24),
    ) {
        let txns: Vec<_> =
            plans.iter().enumerate().map(|(index, plan)| to_txn(index, plan)).collect();
        let mut grouped = filled(&existing);
        let mut group = TxnBatch::default();
        for (index, txn) in txns.iter().enumerate() {
            prop_assert!(group.accepts(txn));
            group.push(txn.clone(), index);
        }
        let (outcomes, calls) = run_grouped(&mut grouped, group);

        let before = filled(&existing);
        let mut alone = filled(&existing);
        for (index, txn) in txns.iter().enumerate() {
            let expected = comparable(alone.commit(txn), txn, &before);
            let outcome = outcomes.get(&index).cloned();
            let outcome = outcome.map(|outcome| comparable(outcome, txn, &before));
            prop_assert_eq!(Some(expected), outcome);
        }
        let values = |rows: Vec<Row>| -> Vec<_> {
            rows.into_iter().map(|row| (row.key, row.value)).collect()
        };
        prop_assert_eq!(values(grouped.scan(&[""])), values(alone.scan(&[""])));
        prop_assert!(calls <= 2 * txns.len(), "{} calls for {} members", calls, txns.len());
    }
}

// Guards against two writes of one row in a group, of which the first would be lost without notice.
#[test]
fn transactions_that_share_a_key_are_not_grouped() {
    let mut group = TxnBatch::default();
    let first = to_txn(0, &vec![(0, Some(true)), (0, None)]);
    group.push(first, 0);
    assert!(!group.accepts(&to_txn(0, &vec![(0, None), (0, Some(true))])));
    assert!(group.accepts(&to_txn(1, &vec![(0, Some(true))])));
}

// Guards against a group that the service refuses as too large.
#[test]
fn a_group_stays_within_the_limits_of_one_transaction() {
    let mut group = TxnBatch::default();
    for index in 0..200 {
        let txn = to_txn(index, &vec![(0, Some(true))]);
        if group.accepts(&txn) {
            group.push(txn, index);
        }
    }
    assert_eq!(group.len(), 100);
    assert!(group.txn().fits());
}
