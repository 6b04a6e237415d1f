//! Grouping of independent transactions into one, and the division of its result.
//!
//! Transactions are independent when they share no key. The service charges a group as one write.

use {
    crate::api::{MAX_TXN_BYTES, MAX_TXN_ROWS, Row, Txn, TxnOutcome},
    std::{collections::BTreeSet, sync::Arc},
};

/// Transactions that are sent as one; `T` identifies each to its sender.
#[derive(Debug)]
pub struct TxnBatch<T> {
    members: Vec<(Txn, T)>,
    keys: BTreeSet<Arc<str>>,
    checks: usize,
    writes: usize,
    bytes: usize,
}

/// What became of a group's members.
#[derive(Debug)]
pub struct BatchOutcome<T> {
    /// Members whose result is known.
    pub completed: Vec<(T, TxnOutcome)>,
    /// Members that must be sent again, grouped anew.
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
    /// Whether a transaction can join: it shares no key and the sum stays within the service's limits.
    #[must_use]
    pub fn accepts(&self, txn: &Txn) -> bool {
        self.checks + txn.checks.len() <= MAX_TXN_ROWS
            && self.writes + txn.writes.len() <= MAX_TXN_ROWS
            && self.bytes + txn.bytes() <= MAX_TXN_BYTES
            && keys(txn).all(|key| !self.keys.contains(key))
    }

    /// Adds a transaction that [`TxnBatch::accepts`] allows, or the first one.
    pub fn push(&mut self, txn: Txn, member: T) {
        self.keys.extend(keys(&txn).cloned());
        self.checks += txn.checks.len();
        self.writes += txn.writes.len();
        self.bytes += txn.bytes();
        self.members.push((txn, member));
    }

    fn of(members: impl IntoIterator<Item = (Txn, T)>) -> Self {
        let mut group = Self::default();
        for (txn, member) in members {
            group.push(txn, member);
        }
        group
    }

    /// Number of members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether it has no member.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Whether no further transaction with a write fits.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.writes >= MAX_TXN_ROWS || self.checks >= MAX_TXN_ROWS || self.bytes >= MAX_TXN_BYTES
    }

    /// Removes members that must not be sent and returns them.
    pub fn remove(&mut self, unwanted: impl Fn(&T) -> bool) -> Vec<T> {
        let members = std::mem::take(&mut self.members);
        let (removed, kept): (Vec<_>, Vec<_>) =
            (members.into_iter()).partition(|(_, member)| unwanted(member));
        *self = Self::of(kept);
        removed.into_iter().map(|(_, member)| member).collect()
    }

    /// All members as one transaction.
    #[must_use]
    pub fn txn(&self) -> Txn {
        let mut all = Txn::default();
        for (txn, _) in &self.members {
            all.checks.extend(txn.checks.iter().cloned());
            all.writes.extend(txn.writes.iter().cloned());
        }
        all
    }

    /// The members.
    #[must_use]
    pub fn into_members(self) -> Vec<T> {
        self.members.into_iter().map(|(_, member)| member).collect()
    }

    /// Divides the result of the whole among the members.
    #[must_use]
    pub fn split_outcome(self, outcome: TxnOutcome) -> BatchOutcome<T> {
        match outcome {
            TxnOutcome::Committed { versions } => self.divide_versions(versions),
            TxnOutcome::Conflict { current } => self.divide_conflict(&current),
        }
    }

    fn divide_versions(self, versions: Vec<u64>) -> BatchOutcome<T> {
        let mut versions = versions.into_iter();
        let completed = self.members.into_iter().map(|(txn, member)| {
            let versions = versions.by_ref().take(txn.writes.len()).collect();
            (member, TxnOutcome::Committed { versions })
        });
        BatchOutcome {
            completed: completed.collect(),
            resend: Vec::new(),
        }
    }

    // The service names the rows of failed checks, but not the absent ones. A member with a named row has failed. Of
    // the others, only a member that expects some row to exist can have failed, by its absence; each of those is sent
    // alone when no member was named, since then at least one of them did fail.
    fn divide_conflict(self, current: &[Row]) -> BatchOutcome<T> {
        if self.members.len() == 1 {
            let completed = (self.members.into_iter())
                .map(|(_, member)| {
                    let current = current.to_vec();
                    (member, TxnOutcome::Conflict { current })
                })
                .collect();
            let resend = Vec::new();
            return BatchOutcome { completed, resend };
        }
        let mut completed = Vec::new();
        let mut rest = Vec::new();
        for (txn, member) in self.members {
            let of_member = |row: &&Row| txn.checks.iter().any(|check| check.key == row.key);
            let own: Vec<_> = current.iter().filter(of_member).cloned().collect();
            if own.is_empty() {
                rest.push((txn, member));
            } else {
                completed.push((member, TxnOutcome::Conflict { current: own }));
            }
        }
        if !completed.is_empty() {
            let resend = if rest.is_empty() {
                Vec::new()
            } else {
                vec![Self::of(rest)]
            };
            return BatchOutcome { completed, resend };
        }
        let expects_row = |txn: &Txn| txn.checks.iter().any(|check| check.version > 0);
        let (suspects, others): (Vec<_>, Vec<_>) =
            rest.into_iter().partition(|(txn, _)| expects_row(txn));
        let mut resend: Vec<_> = (suspects.into_iter()).map(|one| Self::of([one])).collect();
        if !others.is_empty() {
            resend.push(Self::of(others));
        }
        BatchOutcome { completed, resend }
    }
}
