//! States of jobs as a new leader reads them: the rows of the states, and of the segments that belong to them.

use {
    crate::rows::{OwnedState, StateRow, StateRowError, parse_segment_row_name, segment_key},
    ragwortreel_model::JobId,
    ragwortreel_platform::ChangedRow,
    ragwortreel_workflow::Progress,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Rows of the table of states.
#[derive(Debug, Default)]
pub struct StoredStates {
    /// Values by the name of the job.
    states: BTreeMap<Arc<str>, Arc<str>>,
    segments: BTreeMap<JobId, BTreeMap<u64, Arc<str>>>,
}

impl StoredStates {
    /// Sorts the rows of the table of states.
    #[must_use]
    pub fn new(rows: Vec<ChangedRow>) -> Self {
        let mut all = Self::default();
        for row in rows {
            let Some(value) = row.value else {
                continue;
            };
            if let Some((job, number)) = parse_segment_row_name(&row.key) {
                all.segments.entry(job).or_default().insert(number, value);
            } else {
                all.states.insert(row.key, value);
            }
        }
        all
    }

    /// States and workspaces of all jobs; invalid rows are left out.
    pub fn owned_states(&self) -> impl Iterator<Item = (JobId, OwnedState)> {
        self.states.iter().filter_map(|(name, value)| {
            let state = OwnedState::decode_row(value).ok()?;
            Some((JobId::new(name).ok()?, state))
        })
    }

    /// Numbers of the segments of each job that has any.
    #[must_use]
    pub fn segment_numbers(&self) -> BTreeMap<JobId, BTreeSet<u64>> {
        let numbers = |(job, rows): (&JobId, &BTreeMap<u64, Arc<str>>)| {
            (job.clone(), rows.keys().copied().collect())
        };
        self.segments.iter().map(numbers).collect()
    }

    /// Keys of segments whose job has no state any more.
    #[must_use]
    pub fn segments_without_state(&self) -> Vec<Arc<str>> {
        let lost =
            (self.segments.iter()).filter(|(job, _)| !self.states.contains_key(job.as_str()));
        let keys = lost.flat_map(|(job, rows)| rows.keys().map(|number| segment_key(job, *number)));
        keys.collect()
    }

    /// Decodes the state of a job with the progress of all its segments; `None` if it has no row.
    ///
    /// # Errors
    ///
    /// Returns an error when a row is invalid.
    #[must_use]
    pub fn decode(&self, job: &str) -> Option<Result<StateRow, StateRowError>> {
        let row = StateRow::decode(self.states.get(job)?);
        Some(row.and_then(|row| self.with_segments(job, row)))
    }

    fn with_segments(&self, job: &str, mut row: StateRow) -> Result<StateRow, StateRowError> {
        // Segments beside a row that does not name them are left over, or not all of them are stored yet.
        let rows = (row.progress.is_segmented)
            .then(|| self.segments.get(&JobId::new(job).ok()?))
            .flatten();
        for (number, value) in rows.into_iter().flatten() {
            let segment: Progress = serde_json::from_str(value).map_err(|err| StateRowError {
                problem: format!("segment {number}: {err}"),
            })?;
            row.progress.steps.extend(segment.steps);
        }
        Ok(row)
    }
}
