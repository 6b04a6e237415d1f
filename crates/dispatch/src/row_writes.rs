//! Writes of the rows of changed jobs, and their division into transactions.

use {
    crate::{
        rows::{LEASES_ROW, StateRow, WORKERS_TABLE, main_key, segment_key, state_key, to_json},
        term::Term,
    },
    ragwortreel_model::JobId,
    ragwortreel_platform::Write,
    ragwortreel_runtime::lock,
    ragwortreel_workflow::{JobChange, Progress, Segments},
    std::{collections::BTreeSet, sync::Arc},
};

#[cfg(test)]
mod tests;

/// Maximum number of rows per transaction, beside the condition on the leader's row and its renewal; the store allows 100
/// entries.
const MAX_ROWS: usize = 98;
/// Maximum size of the values of these rows, in bytes; the store allows 1 MB per transaction, where base64 makes
/// a value a third larger.
const MAX_VALUE_BYTES: usize = 500_000;

/// Write of a row, and the job that it belongs to.
#[derive(Debug)]
pub(crate) struct RowWrite {
    /// `None` for a row that the leader publishes.
    pub(crate) job: Option<JobId>,
    /// Number of the segment of the job's progress; `None` for another row.
    segment: Option<u64>,
    pub(crate) write: Write,
    /// Whether the changes of the job are stored once this write is.
    pub(crate) is_last: bool,
}

impl RowWrite {
    /// Write of a row that the leader publishes.
    pub(crate) fn published(key: Arc<str>, value: Arc<str>) -> Self {
        Self {
            job: None,
            segment: None,
            write: Write {
                key,
                value: Some(value),
            },
            is_last: true,
        }
    }

    /// Whether this is the row of the leases of workers that do not answer.
    pub(crate) fn is_of_leases(&self) -> bool {
        self.job.is_none() && *self.write.key == *main_key(WORKERS_TABLE, LEASES_ROW)
    }

    /// Size of the value, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.write.value.as_ref().map_or(0, |value| value.len())
    }
}

/// Writes of a changed job, in the order in which they are to be stored, because they may be stored by several
/// transactions. A new leader reads the segments only if the row of the state names them, so that row comes last when
/// the job gets its first segments. Otherwise it comes first, because segments of finished occurrences are removed
/// only after the row of the state lists these as finished.
///
/// `stored` has the numbers of the job's stored segments.
pub(crate) fn job_writes(change: &JobChange, stored: &BTreeSet<u64>) -> Vec<RowWrite> {
    let write = |segment: Option<u64>, value: Option<Arc<str>>| RowWrite {
        job: Some(change.job.clone()),
        segment,
        write: Write {
            key: segment.map_or_else(
                || state_key(&change.job),
                |number| segment_key(&change.job, number),
            ),
            value,
        },
        is_last: false,
    };
    let put = |(number, progress): (&u64, &Progress)| {
        let is_empty = progress.steps.is_empty();
        let value = (!is_empty).then(|| Arc::from(to_json(progress)));
        (!is_empty || stored.contains(number)).then(|| write(Some(*number), value))
    };
    let state = StateRow {
        state: change.state,
        progress: change.progress.clone(),
        workspace: change.workspace.clone(),
    };
    let state = write(None, Some(state.encode()));
    let mut writes = Vec::new();
    match &change.segments {
        Segments::None => {
            writes.push(state);
            writes.extend(stored.iter().map(|number| write(Some(*number), None)));
        }
        Segments::All(segments) => {
            let outdated = stored
                .iter()
                .filter(|number| !segments.contains_key(number));
            writes.extend(outdated.map(|number| write(Some(*number), None)));
            writes.extend(segments.iter().filter_map(put));
            writes.push(state);
        }
        Segments::Changed(segments) => {
            writes.push(state);
            writes.extend(segments.iter().filter_map(put));
        }
    }
    if let Some(last) = writes.last_mut() {
        last.is_last = true;
    }
    writes
}

impl Term {
    /// Records which segments are stored.
    pub(crate) fn record_segments<'a>(&self, writes: impl Iterator<Item = &'a RowWrite>) {
        let mut stored = lock(&self.stored_segments);
        for it in writes {
            let (Some(job), Some(number)) = (&it.job, it.segment) else {
                continue;
            };
            let segments = stored.entry(job.clone()).or_default();
            if it.write.value.is_some() {
                segments.insert(number);
            } else {
                segments.remove(&number);
            }
            if segments.is_empty() {
                stored.remove(job);
            }
        }
    }
}

/// Splits writes into batches of one transaction each; there is at least one batch, for the renewal.
pub(crate) fn split_writes(writes: &[RowWrite]) -> Vec<&[RowWrite]> {
    let mut batches = Vec::new();
    let (mut begin, mut bytes) = (0, 0);
    for (index, it) in writes.iter().enumerate() {
        let size = it.bytes();
        if index - begin >= MAX_ROWS || (index > begin && bytes + size > MAX_VALUE_BYTES) {
            batches.push(&writes[begin..index]);
            (begin, bytes) = (index, 0);
        }
        bytes += size;
    }
    batches.push(&writes[begin..]);
    batches
}
