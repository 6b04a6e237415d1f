//! Rows in which the progress of a job is stored.
//!
//! The load is a job with thousands of tasks or occurrences: in one row, its progress exceeds the size that the store
//! accepts, and each end of a task writes the progress of all others again. The progress of most jobs fits into the row
//! of their state. That of others is divided into *segments* of [`SEGMENT_TASKS`] tasks, each a row of its own, and only
//! the segments of changed tasks are written.
//!
//! The tasks of all occurrences are numbered through, so a segment may hold parts of several steps and occurrences. Once
//! a job is segmented it stays so. Finished occurrences of a long job are removed, and only their ranges are stored. What
//! fits into the one row in which former versions store the progress stays there, so that these can still read it.

use {
    crate::{
        PlacedTasks, Progress, StepKey, StepProgress, TaskFailures, TaskKey,
        job_state::{Job, Placement, StepState, is_finished},
    },
    ragwortreel_model::WorkerId,
    std::{
        collections::{BTreeMap, BTreeSet},
        mem,
        ops::Range,
        sync::Arc,
    },
};

/// Number of tasks in a segment. The progress of a task takes at most 500 bytes, so a segment takes less than 64 KB.
pub const SEGMENT_TASKS: u64 = 128;
/// Size up to which the progress of a job with more tasks stays in the row of its state, in bytes. The store accepts 64 KB,
/// with the letter of the state and the workspace. Former versions read the progress only there.
const MAX_SINGLE_ROW_BYTES: usize = 65_000;
/// Longest checkpoint that is stored, in bytes of JSON; with the fields of its task it stays below 500 bytes.
const MAX_CHECKPOINT_BYTES: usize = 240;
/// Size up to which finished occurrences are stored step by step, in bytes; former versions store all of them so and read
/// no ranges.
const MAX_LISTED_BYTES: u64 = 32_000;
/// Largest size of a finished step without its tasks, and of the index of a task, in bytes of JSON.
const LISTED_STEP_BYTES: u64 = 32;
const LISTED_TASK_BYTES: u64 = 6;
/// Most open occurrences of a job. Their number bounds that of the ranges between them, which share a row.
pub(crate) const MAX_OPEN_OCCURRENCES: usize = 2_000;

/// Whether a checkpoint is short enough to be stored.
pub(crate) fn is_storable(checkpoint: &str) -> bool {
    let json_bytes = |b: u8| match b {
        b'"' | b'\\' => 2,
        0..0x20 => 6,
        _ => 1,
    };
    checkpoint.bytes().map(json_bytes).sum::<usize>() <= MAX_CHECKPOINT_BYTES
}

/// Segments of a job to store beside the row of its state. One without progress is to be removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Segments {
    /// The job has no segments.
    None,
    /// All segments of a job that had none before, to be stored before the row of its state.
    All(BTreeMap<u64, Progress>),
    /// Changed segments, to be stored after the row of the job's state.
    Changed(BTreeMap<u64, Progress>),
}

/// How the progress of a job is stored.
#[derive(Debug)]
pub(crate) struct StoredForm {
    /// Whether the progress is stored in segments.
    is_segmented: bool,
    /// Segments whose progress is not stored yet.
    changed: BTreeSet<u64>,
    /// Whether a checkpoint was too long to be stored.
    pub(crate) has_long_checkpoint: bool,
}

impl StoredForm {
    pub(crate) const fn new(is_segmented: bool) -> Self {
        Self {
            is_segmented,
            changed: BTreeSet::new(),
            has_long_checkpoint: false,
        }
    }
}

/// Occurrences that have finished and are removed, as ranges.
#[derive(Debug, Default)]
pub(crate) struct FinishedOccurrences {
    /// Length of each range by its first occurrence.
    ranges: BTreeMap<u32, u32>,
}

impl FinishedOccurrences {
    pub(crate) fn from_ranges(ranges: &[(u32, u32)]) -> Self {
        Self {
            ranges: ranges.iter().copied().filter(|range| range.1 > 0).collect(),
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    pub(crate) fn contains(&self, occurrence: u32) -> bool {
        let before = self.ranges.range(..=occurrence).next_back();
        before.is_some_and(|(first, count)| occurrence - first < *count)
    }

    /// First occurrence after all ranges.
    pub(crate) fn end(&self) -> u32 {
        let last = self.ranges.last_key_value();
        last.map_or(0, |(first, count)| first.saturating_add(*count))
    }

    fn insert(&mut self, occurrence: u32) {
        if self.contains(occurrence) {
            return;
        }
        let after = self.ranges.remove(&(occurrence + 1)).unwrap_or(0);
        if let Some((first, count)) = self.ranges.range_mut(..occurrence).next_back()
            && first + *count == occurrence
        {
            *count += 1 + after;
        } else {
            self.ranges.insert(occurrence, 1 + after);
        }
    }

    fn ranges(&self) -> Vec<(u32, u32)> {
        self.ranges
            .iter()
            .map(|(first, count)| (*first, *count))
            .collect()
    }
}

impl Job {
    /// Position of a task among the tasks of all occurrences.
    fn position(&self, key: &StepKey, index: u32) -> u64 {
        let in_occurrence = self.first_positions[key.step as usize] + u64::from(index);
        u64::from(key.occurrence) * self.occurrence_tasks() + in_occurrence
    }

    /// Number of tasks that each occurrence has.
    pub(crate) fn occurrence_tasks(&self) -> u64 {
        self.first_positions.last().copied().unwrap_or(0)
    }

    /// Marks the progress of a task for storing.
    pub(crate) fn mark_changed(&mut self, task: &TaskKey) {
        let segment = self.position(&task.step, task.index) / SEGMENT_TASKS;
        self.stored_form.changed.insert(segment);
    }

    /// Marks the progress of all tasks of a step for storing.
    pub(crate) fn mark_step_changed(&mut self, key: &StepKey) {
        let tasks = self.spec(key).tasks;
        let (first, end) = (self.position(key, 0), self.position(key, tasks));
        self.stored_form.changed.extend(segments_of(&(first..end)));
    }

    /// Removes finished occurrences of a job with many, and keeps their ranges.
    pub(crate) fn remove_finished_occurrences(&mut self) {
        let occurrences = self.occurrences.iter();
        let finished = occurrences.filter(|(_, steps)| is_finished(steps));
        let finished: Vec<u32> = finished.map(|(number, _)| *number).collect();
        let (tasks, steps) = (self.occurrence_tasks(), self.request.steps.len() as u64);
        let listed_bytes = steps * LISTED_STEP_BYTES + tasks * LISTED_TASK_BYTES;
        if finished.len() as u64 * listed_bytes <= MAX_LISTED_BYTES {
            return;
        }
        for number in finished {
            self.occurrences.remove(&number);
            self.finished.insert(number);
            let first = u64::from(number) * tasks;
            self.stored_form
                .changed
                .extend(segments_of(&(first..first + tasks)));
        }
    }

    /// Progress to store in the row of the state, and the segments to store beside it. Once the state is final, it lists
    /// only the runs of a workspace's job that may still be active, which a new leader must count against the workspace's
    /// limit.
    pub(crate) fn take_stored_progress(&mut self) -> (Progress, Segments) {
        let changed = mem::take(&mut self.stored_form.changed);
        if self.state.is_final() && self.request.workspace.is_none() {
            return (Progress::default(), Segments::None);
        }
        let is_segmented = mem::replace(&mut self.stored_form.is_segmented, true);
        if !is_segmented {
            let progress = self.whole_progress();
            let open_tasks = self.occurrences.len() as u64 * self.occurrence_tasks();
            if open_tasks <= SEGMENT_TASKS || progress.stored_bytes() <= MAX_SINGLE_ROW_BYTES {
                self.stored_form.is_segmented = false;
                return (progress, Segments::None);
            }
        }
        let progress = Progress {
            steps: Vec::new(),
            finished: self.finished_ranges(),
            is_segmented: true,
        };
        let segments = if is_segmented {
            let changed = changed
                .into_iter()
                .map(|number| (number, self.segment(number)));
            Segments::Changed(changed.collect())
        } else {
            let all = self.all_segments().into_iter();
            let all = all.map(|number| (number, self.segment(number)));
            Segments::All(
                all.filter(|(_, progress)| !progress.steps.is_empty())
                    .collect(),
            )
        };
        (progress, segments)
    }

    /// Ranges to store; the final state of a job needs none.
    fn finished_ranges(&self) -> Vec<(u32, u32)> {
        if self.state.is_final() {
            return Vec::new();
        }
        self.finished.ranges()
    }

    fn whole_progress(&self) -> Progress {
        let mut progress = Progress {
            finished: self.finished_ranges(),
            ..Progress::default()
        };
        for (occurrence, steps) in &self.occurrences {
            for (number, step) in steps.iter().enumerate() {
                let tasks = 0..step.tasks.len();
                progress
                    .steps
                    .extend(step_progress(*occurrence, number, step, tasks));
            }
        }
        self.without_ends_if_final(progress)
    }

    fn all_segments(&self) -> BTreeSet<u64> {
        let tasks = self.occurrence_tasks();
        let positions = self
            .occurrences
            .keys()
            .map(|number| u64::from(*number) * tasks);
        let segments = positions.flat_map(|first| segments_of(&(first..first + tasks)));
        segments.collect()
    }

    /// Progress of the tasks of a segment.
    fn segment(&self, number: u64) -> Progress {
        let tasks = self.occurrence_tasks();
        let (begin, end) = (number * SEGMENT_TASKS, (number + 1) * SEGMENT_TASKS);
        let occurrence = |position: u64| u32::try_from(position / tasks).unwrap_or(u32::MAX);
        let occurrences = occurrence(begin)..=occurrence(end - 1);
        let mut progress = Progress::default();
        for (occurrence, steps) in self.occurrences.range(occurrences) {
            let first = u64::from(*occurrence) * tasks;
            let begin = begin.saturating_sub(first);
            let end = (end - first).min(tasks);
            let begin_step = self.first_positions.partition_point(|it| *it <= begin) - 1;
            for (number, step) in steps.iter().enumerate().skip(begin_step) {
                let step_first = self.first_positions[number];
                if step_first >= end {
                    break;
                }
                let in_step = |position: u64| {
                    let index = usize::try_from(position.saturating_sub(step_first));
                    index.unwrap_or(usize::MAX).min(step.tasks.len())
                };
                let indices = in_step(begin)..in_step(end);
                progress
                    .steps
                    .extend(step_progress(*occurrence, number, step, indices));
            }
        }
        self.without_ends_if_final(progress)
    }

    fn without_ends_if_final(&self, progress: Progress) -> Progress {
        if self.state.is_final() {
            progress.into_placed()
        } else {
            progress
        }
    }
}

/// Numbers of the segments with any of these positions.
fn segments_of(positions: &Range<u64>) -> Range<u64> {
    positions.start / SEGMENT_TASKS..positions.end.div_ceil(SEGMENT_TASKS)
}

/// Progress of the tasks of a step with these indices; `None` if there is none. The failures of a gang are stored with
/// its first member.
fn step_progress(
    occurrence: u32,
    number: usize,
    step: &StepState,
    indices: Range<usize>,
) -> Option<StepProgress> {
    let mut placed: BTreeMap<(&WorkerId, u32), Vec<u32>> = BTreeMap::new();
    let mut progress = StepProgress {
        occurrence,
        step: u32::try_from(number).unwrap_or(u32::MAX),
        ..StepProgress::default()
    };
    if step.gang_failures > 0 && indices.start == 0 {
        progress.failures.push(TaskFailures {
            index: 0,
            failures: step.gang_failures,
            run: step.gang_failed_run,
        });
    }
    let first = u32::try_from(indices.start).unwrap_or(u32::MAX);
    for (task, index) in step.tasks[indices].iter().zip(first..) {
        if task.placement == Placement::Done {
            progress.done.push(index);
            continue;
        }
        if let Placement::On(worker) = &task.placement {
            let tasks = placed.entry((worker, task.last_run)).or_default();
            tasks.push(index);
        }
        if task.failures > 0 {
            progress.failures.push(TaskFailures {
                index,
                failures: task.failures,
                run: task.last_run,
            });
        }
        if !task.checkpoint.is_empty() {
            progress
                .checkpoints
                .push((index, Arc::clone(&task.checkpoint)));
        }
    }
    let placed = placed
        .into_iter()
        .map(|((worker, run), tasks)| PlacedTasks {
            worker: worker.clone(),
            run,
            tasks,
        });
    progress.placed = placed.collect();
    let is_empty = progress.done.is_empty()
        && progress.failures.is_empty()
        && progress.placed.is_empty()
        && progress.checkpoints.is_empty();
    (!is_empty).then_some(progress)
}
