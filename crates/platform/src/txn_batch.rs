//! Batching of independent transactions into one, and the split of its result.
//!
//! Transactions are independent if they share no key. The service charges a batch as one write.

use {
    crate::api::{MAX_TXN_BYTES, MAX_TXN_ROWS, Row, Txn, TxnOutcome},
    std::{collections::BTreeSet, sync::Arc},
};

/// Independent transactions that are sent as one; each has a tag of type `T` by which its result is assigned.
#[derive(Debug)]
pub struct TxnBatch<T> {
    members: Vec<(Txn, T)>,
    keys: BTreeSet<Arc<str>>,
    checks: usize,
    writes: usize,
    bytes: usize,
}

/// Result of a batch, split by transaction.
#[derive(Debug)]
pub struct BatchOutcome<T> {
    /// Transactions whose result is known.
    pub completed: Vec<(T, TxnOutcome)>,
    /// Transactions that must be sent again, in new batches.
    pub resend: Vec<TxnBatch<T>>,
}

impl<T> Default for TxnBatch<T> {
    fn default() -> Self {
        Self {
            members: Vec::new(),
            keys: BTreeSet::new(),
            checks: 0,
            writes: 0,
            bytes: 0,
        }
    }
}

fn keys(txn: &Txn) -> impl Iterator<Item = &Arc<str>> {
    let checked = txn.checks.iter().map(|check| &check.key);
    checked.chain(txn.writes.iter().map(|write| &write.key))
}

impl<T> TxnBatch<T> {
    /// Whether a transaction can be added: it shares no key and the batch stays within the limits of one transaction.
    #[must_use]
    pub fn accepts(&self, txn: &Txn) -> bool {
        self.checks + txn.checks.len() <= MAX_TXN_ROWS
            && self.writes + txn.writes.len() <= MAX_TXN_ROWS
            && self.bytes + txn.bytes() <= MAX_TXN_BYTES
            && keys(txn).all(|key| !self.keys.contains(key))
    }

    /// Adds a transaction. Unless it is the first, [`TxnBatch::accepts`] must allow it.
    pub fn push(&mut self, txn: Txn, tag: T) {
        self.keys.extend(keys(&txn).cloned());
        self.checks += txn.checks.len();
        self.writes += txn.writes.len();
        self.bytes += txn.bytes();
        self.members.push((txn, tag));
    }

    fn from_members(members: impl IntoIterator<Item = (Txn, T)>) -> Self {
        let mut batch = Self::default();
        for (txn, tag) in members {
            batch.push(txn, tag);
        }
        batch
    }

    /// Splits the batch into two with half of its transactions each.
    #[must_use]
    pub fn split_in_half(mut self) -> [Self; 2] {
        let second = self.members.split_off(self.members.len() / 2);
        [Self::from_members(self.members), Self::from_members(second)]
    }

    /// Number of transactions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the batch has no transaction.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether the batch has reached one of the limits of a transaction: its checks, writes or bytes.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.writes >= MAX_TXN_ROWS || self.checks >= MAX_TXN_ROWS || self.bytes >= MAX_TXN_BYTES
    }

    /// Removes the transactions whose tag matches and returns their tags.
    pub fn remove_if(&mut self, matches_tag: impl Fn(&T) -> bool) -> Vec<T> {
        let members = std::mem::take(&mut self.members);
        let (removed, kept): (Vec<_>, Vec<_>) =
            (members.into_iter()).partition(|(_, tag)| matches_tag(tag));
        *self = Self::from_members(kept);
        removed.into_iter().map(|(_, tag)| tag).collect()
    }

    /// Combines all transactions into one.
    #[must_use]
    pub fn txn(&self) -> Txn {
        let mut all = Txn::default();
        for (txn, _) in &self.members {
            all.checks.extend(txn.checks.iter().cloned());
            all.writes.extend(txn.writes.iter().cloned());
        }
        all
    }

    /// Tags of all transactions, in the order in which they were added.
    pub fn tags(&self) -> impl Iterator<Item = &T> {
        self.members.iter().map(|(_, tag)| tag)
    }

    /// Tags of all transactions, in the order in which they were added.
    #[must_use]
    pub fn into_tags(self) -> Vec<T> {
        self.members.into_iter().map(|(_, tag)| tag).collect()
    }

    /// Splits the result of the combined transaction into those of its parts.
    #[must_use]
    pub fn split_outcome(self, outcome: TxnOutcome) -> BatchOutcome<T> {
        match outcome {
            TxnOutcome::Committed { versions } => self.split_versions(versions),
            TxnOutcome::Conflict { current } => self.split_conflict(&current),
        }
    }

    fn split_versions(self, versions: Vec<u64>) -> BatchOutcome<T> {
        let mut versions = versions.into_iter();
        let completed = self.members.into_iter().map(|(txn, tag)| {
            let versions = versions.by_ref().take(txn.writes.len()).collect();
            (tag, TxnOutcome::Committed { versions })
        });
        BatchOutcome {
            completed: completed.collect(),
            resend: Vec::new(),
        }
    }

    // The service returns the current rows of the failed checks, but not those that are absent. A transaction with a
    // check on a returned row has failed. Of the others, only one that expects an existing row can have failed, because
    // that row is absent. If no row was returned, at least one of these has failed, so each of them is sent alone.
    fn split_conflict(self, current: &[Row]) -> BatchOutcome<T> {
        if self.members.len() == 1 {
            let completed = (self.members.into_iter())
                .map(|(_, tag)| {
                    let current = current.to_vec();
                    (tag, TxnOutcome::Conflict { current })
                })
                .collect();
            let resend = Vec::new();
            return BatchOutcome { completed, resend };
        }
        let mut completed = Vec::new();
        let mut rest = Vec::new();
        for (txn, tag) in self.members {
            let checks_row = |row: &&Row| txn.checks.iter().any(|check| check.key == row.key);
            let member_rows: Vec<_> = current.iter().filter(checks_row).cloned().collect();
            if member_rows.is_empty() {
                rest.push((txn, tag));
            } else {
                completed.push((
                    tag,
                    TxnOutcome::Conflict {
                        current: member_rows,
                    },
                ));
            }
        }
        if !completed.is_empty() {
            let resend = if rest.is_empty() {
                Vec::new()
            } else {
                vec![Self::from_members(rest)]
            };
            return BatchOutcome { completed, resend };
        }
        let expects_row = |txn: &Txn| txn.checks.iter().any(|check| check.version > 0);
        let (possible_failures, others): (Vec<_>, Vec<_>) =
            rest.into_iter().partition(|(txn, _)| expects_row(txn));
        let mut resend: Vec<_> = (possible_failures.into_iter())
            .map(|member| Self::from_members([member]))
            .collect();
        if !others.is_empty() {
            resend.push(Self::from_members(others));
        }
        BatchOutcome { completed, resend }
    }
}
