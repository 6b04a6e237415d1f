//! Rows of the table service, in memory.

use {
    ragwortreel_platform::{Row, Txn, TxnOutcome},
    std::{collections::BTreeMap, ops::Bound, sync::Arc},
};

#[derive(Debug)]
struct VersionedValue {
    value: Arc<str>,
    version: u64,
}

/// Table of versioned rows with atomic transactions.
#[derive(Debug, Default)]
pub struct MemoryTable {
    rows: BTreeMap<Arc<str>, VersionedValue>,
    /// Highest version of any deleted row. New rows start above it, so no version of a key is reused although deleted
    /// keys are not kept.
    deleted_version: u64,
}

impl MemoryTable {
    /// Commits a transaction: applies all its writes if all its version checks hold, otherwise none.
    pub fn commit(&mut self, txn: &Txn) -> TxnOutcome {
        let version_of = |table: &Self, key: &str| table.rows.get(key).map_or(0, |row| row.version);
        let failed: Vec<_> = txn
            .checks
            .iter()
            .filter(|check| version_of(self, &check.key) != check.version)
            .collect();
        if !failed.is_empty() {
            let current = failed
                .iter()
                .filter_map(|check| self.get(&check.key))
                .collect();
            return TxnOutcome::Conflict { current };
        }
        let versions = txn
            .writes
            .iter()
            .map(|write| match &write.value {
                Some(value) => self.put(&write.key, value),
                None => self.delete(&write.key),
            })
            .collect();
        TxnOutcome::Committed { versions }
    }

    fn put(&mut self, key: &Arc<str>, value: &Arc<str>) -> u64 {
        let old = self.rows.get(key).map(|row| row.version);
        let version = old.unwrap_or(self.deleted_version) + 1;
        let row = VersionedValue {
            value: Arc::clone(value),
            version,
        };
        self.rows.insert(Arc::clone(key), row);
        version
    }

    // Returns 0, the version of a row that does not exist.
    fn delete(&mut self, key: &str) -> u64 {
        if let Some(row) = self.rows.remove(key) {
            self.deleted_version = self.deleted_version.max(row.version);
        }
        0
    }

    /// Returns the row with a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Row> {
        let (key, row) = self.rows.get_key_value(key)?;
        Some(to_row(key, row))
    }

    /// Returns all rows whose keys start with any of the prefixes, ordered by key.
    #[must_use]
    pub fn scan<P: AsRef<str>>(&self, prefixes: &[P]) -> Vec<Row> {
        let mut found = BTreeMap::new();
        for prefix in prefixes.iter().map(AsRef::as_ref) {
            let from = self
                .rows
                .range::<str, _>((Bound::Included(prefix), Bound::Unbounded));
            let matching = from.take_while(|(key, _)| key.starts_with(prefix));
            found.extend(matching);
        }
        found
            .into_iter()
            .map(|(key, row)| to_row(key, row))
            .collect()
    }
}

fn to_row(key: &Arc<str>, row: &VersionedValue) -> Row {
    Row {
        key: Arc::clone(key),
        value: Arc::clone(&row.value),
        version: row.version,
    }
}
