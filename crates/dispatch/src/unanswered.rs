//! Leases of workers that do not answer the leader, stored for the next leader.
//!
//! A leader extends no lease on a worker that does not answer, so it knows when all runs there have certainly ended. A new
//! leader would have to assume that the former one reached each worker until it lost leadership. It knows better from a row
//! that names the workers that do not answer, with the ends of their leases on the store's clock, which all instances can
//! read.
//!
//! - A worker in the row gets no lease until the row is stored without it. So whatever the row says still holds when the
//!   leader is replaced.
//! - The row counts for the next term only. If a term did not write it, for example because a former version led, nothing
//!   is known about the leases of that term.
//! - The end of a lease is rounded up and the time that has passed is rounded down, by the drift of clocks and by the time
//!   that the store took to answer.

use {
    crate::{Timing, rows::LeasesRow, timing::drift_ms},
    ragwortreel_model::WorkerId,
    std::collections::{BTreeMap, BTreeSet},
};

#[cfg(test)]
mod tests;

/// Time since the last answer of a worker from which it is named in the row, in ms. Shorter silences are frequent, and a
/// worker that is named waits for a transaction when it answers again.
const MIN_SILENCE_MS: u64 = 1_000;
/// Most bytes of names in the row; workers beyond are left out.
const MAX_NAME_BYTES: usize = 32_000;
/// Time for which a new leader waits for a first answer of a worker whose lease has expired, in ms. The worker may list ends
/// of runs that would otherwise run again.
const FIRST_ANSWER_MS: u64 = 500;

/// Time of the store's clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StoreTime {
    /// Time of the store's clock when it answered, in ms.
    pub(crate) store_ms: u64,
    /// Local time at which the request was sent, in ms.
    pub(crate) sent_ms: u64,
}

impl StoreTime {
    /// Time that the store's clock certainly does not exceed at a local time after the request, in ms.
    fn at_most(&self, local_ms: u64) -> u64 {
        let elapsed_ms = local_ms.saturating_sub(self.sent_ms);
        self.store_ms + elapsed_ms + drift_ms(elapsed_ms)
    }
}

/// Worker that does not answer.
#[expect(clippy::struct_field_names, reason = "all fields are times")]
#[derive(Debug)]
struct Unanswered {
    /// Local time by which all leases have certainly expired, in ms.
    until_ms: u64,
    /// Local time from which the worker is named in the row, in ms; `None` until a call has failed.
    named_from_ms: Option<u64>,
    /// `until_ms` on the store's clock, once it is computed.
    until_store_ms: Option<u64>,
}

/// Workers that do not answer the leader, and those that the stored row names.
#[derive(Debug, Default)]
pub(crate) struct UnansweredWorkers {
    workers: BTreeMap<WorkerId, Unanswered>,
    /// Workers that the stored row of this term names.
    named: BTreeSet<WorkerId>,
    /// Row that is being stored.
    pending: Option<LeasesRow>,
    /// Last time of the store's clock.
    store_time: Option<StoreTime>,
}

impl UnansweredWorkers {
    /// Begins a term in which none of the workers has answered yet. `former` is the stored row, read by `read_ms` with this
    /// time of the store's clock. All leases have expired by `latest_ms`. Returns the local times by which the leases of each
    /// worker have certainly expired.
    pub(crate) fn begin_term(
        &mut self,
        term: u32,
        workers: impl IntoIterator<Item = WorkerId>,
        former: Option<(&LeasesRow, u64)>,
        read_ms: u64,
        latest_ms: u64,
    ) -> BTreeMap<WorkerId, u64> {
        let former = former.filter(|(row, _)| row.term.checked_add(1) == Some(term));
        let mut ends = BTreeMap::new();
        for worker in workers {
            let mut entry = Unanswered {
                until_ms: latest_ms,
                named_from_ms: None,
                until_store_ms: None,
            };
            if let Some((row, store_ms)) = former
                && let Some(&until_store_ms) = row.until_ms.get(&worker)
            {
                let left_ms = until_store_ms.saturating_sub(store_ms);
                let left_ms = (left_ms + drift_ms(left_ms)).max(FIRST_ANSWER_MS);
                entry = Unanswered {
                    until_ms: latest_ms.min(read_ms + left_ms),
                    named_from_ms: Some(read_ms),
                    until_store_ms: Some(until_store_ms),
                };
            }
            ends.insert(worker.clone(), entry.until_ms);
            self.workers.insert(worker, entry);
        }
        ends
    }

    /// Records a time of the store's clock.
    pub(crate) fn record_store_time(&mut self, time: StoreTime) {
        self.store_time = Some(time);
    }

    /// Records that a worker does not answer. All leases count from `now_ms` or an earlier time.
    pub(crate) fn record_silence(&mut self, worker: &WorkerId, now_ms: u64, timing: &Timing) {
        let until_ms = now_ms + timing.lease_bound_ms();
        let entry = (self.workers.entry(worker.clone())).or_insert(Unanswered {
            until_ms,
            named_from_ms: None,
            until_store_ms: None,
        });
        (entry.named_from_ms).get_or_insert(now_ms + MIN_SILENCE_MS);
    }

    /// Records an answer of a worker, or that it is gone. Returns whether it must not get a lease yet, because a row that
    /// names it is stored or being stored.
    pub(crate) fn remove(&mut self, worker: &WorkerId) -> bool {
        self.workers.remove(worker);
        let is_pending =
            (self.pending.as_ref()).is_some_and(|row| row.until_ms.contains_key(worker));
        self.named.contains(worker) || is_pending
    }

    /// Row to be stored in place of that of this term; `None` if it has not changed. The one returned before is stored, or
    /// the store has refused it.
    pub(crate) fn next_row(&mut self, term: u32, now_ms: u64) -> Option<LeasesRow> {
        self.pending = None;
        let store_time = self.store_time?;
        let mut until_ms = BTreeMap::new();
        let mut bytes = 0;
        for (worker, it) in &mut self.workers {
            if it.named_from_ms.is_none_or(|from_ms| from_ms > now_ms) {
                continue;
            }
            bytes += worker.as_str().len();
            if bytes > MAX_NAME_BYTES {
                break;
            }
            let end = store_time.at_most(it.until_ms);
            until_ms.insert(worker.clone(), *it.until_store_ms.get_or_insert(end));
        }
        if until_ms.keys().eq(&self.named) {
            return None;
        }
        let row = LeasesRow { term, until_ms };
        self.pending = Some(row.clone());
        Some(row)
    }

    /// Records that the last row of [`next_row`](Self::next_row) is stored.
    pub(crate) fn record_stored(&mut self) {
        if let Some(row) = self.pending.take() {
            self.named = row.until_ms.into_keys().collect();
        }
    }
}
