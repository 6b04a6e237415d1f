//! Progress of jobs with many tasks or occurrences in rows of bounded size.

mod support;

use {
    ragwortreel_model::{JobId, JobState},
    ragwortreel_workflow::{
        EndCause, JobRequest, Progress, RunningTask, SEGMENT_TASKS, Schedule, Segments, StartOrder,
    },
    std::{collections::BTreeMap, sync::Arc},
    support::{ATTEMPTS, Cell, cases, ended, gang, job, job_id, queue, step, worker},
};

/// Largest row of the store, in bytes.
const MAX_ROW_BYTES: usize = 65_536;
/// Tasks of a wide job; the most that a job may have.
const WIDE_TASKS: u32 = 10_000;

/// Rows of one job.
#[derive(Default)]
struct Rows {
    state: Option<JobState>,
    progress: Progress,
    segments: BTreeMap<u64, Progress>,
    written: usize,
}

fn json(progress: &Progress) -> String {
    serde_json::to_string(progress).expect("the progress is serializable")
}

impl Rows {
    /// Stores the changes of a scheduler with one job; `skipped` leaves out changed segments by their number.
    fn store(&mut self, cell: &mut Cell, skipped: impl Fn(u64) -> bool) {
        for change in cell.changes() {
            let segments = match change.segments {
                Segments::None => {
                    self.segments.clear();
                    BTreeMap::new()
                }
                Segments::All(segments) => {
                    self.segments.clear();
                    segments
                }
                Segments::Changed(segments) => {
                    assert!(
                        self.progress.is_segmented,
                        "the first segments are not all stored"
                    );
                    segments
                }
            };
            for progress in segments.values().chain([&change.progress]) {
                let bytes = json(progress).len();
                assert!(bytes < MAX_ROW_BYTES, "a row has {bytes} bytes");
            }
            self.written = 1 + segments.len();
            self.segments
                .extend(segments.into_iter().filter(|(number, _)| !skipped(*number)));
            (self.state, self.progress) = (Some(change.state), change.progress);
        }
    }

    /// Progress as the next leader reads it.
    fn read(&self) -> Progress {
        let mut progress = self.progress.clone();
        if progress.is_segmented {
            let steps = self.segments.values().flat_map(|it| it.steps.clone());
            progress.steps.extend(steps);
        }
        progress
    }
}

/// Reports the ends of runs of one worker, with a checkpoint.
fn end(cell: &mut Cell, starts: &[StartOrder], cause: EndCause, checkpoint: &str) {
    let ends = starts.iter().map(|start| ended(start, cause, checkpoint));
    cell.report(&starts[0].worker, Vec::new(), ends.collect());
}

/// Reports that runs of one worker have written a checkpoint.
fn save(cell: &mut Cell, starts: &[StartOrder], checkpoint: &str) {
    let running = starts.iter().map(|start| RunningTask {
        task: start.task.clone(),
        run: start.run,
        checkpoint: Arc::from(checkpoint),
        percent: 50,
    });
    cell.report(&starts[0].worker, running.collect(), Vec::new());
}

/// Cell in a term, with one worker that has room for all tasks.
fn cell(term: u32) -> Cell {
    let mut cell = Cell::new(term);
    cell.list_reachable_workers(&[worker("w1", 10_000_000)]);
    cell
}

fn periodic(times: u32) -> JobRequest {
    let mut job = job("a", queue(0), vec![step(1, 10)]);
    job.schedule = Some(Schedule {
        first_ms: 0,
        period_ms: 10,
        times,
    });
    job
}

fn attempts_left(progress: &Progress) -> BTreeMap<u32, u32> {
    let failures = progress.steps.iter().flat_map(|step| &step.failures);
    failures
        .map(|it| (it.index, ATTEMPTS - it.failures))
        .collect()
}

cases! {
    /// Guards against a state row larger than the store accepts: all tasks of the widest job fail and have checkpoints.
    rows_of_the_widest_job_are_bounded: || {
        let (mut cell, mut rows) = (cell(1), Rows::default());
        cell.accept(job("a", queue(0), vec![step(WIDE_TASKS, 10)]));
        let starts = cell.starts();
        assert_eq!(starts.len(), WIDE_TASKS as usize);
        rows.store(&mut cell, |_| false);
        end(&mut cell, &starts, EndCause::Failed, &"c".repeat(240));
        rows.store(&mut cell, |_| false);
        assert_eq!(attempts_left(&rows.read()).len(), WIDE_TASKS as usize);
        assert!(cell.scheduler.take_jobs_with_long_checkpoints().is_empty());
    };

    /// Guards against a checkpoint without a bound in the store: one that is too long is left out and reported once.
    long_checkpoints_are_not_stored: || {
        let (mut cell, mut rows) = (cell(1), Rows::default());
        cell.accept(job("a", queue(0), vec![step(300, 10)]));
        let starts = cell.starts();
        end(&mut cell, &starts, EndCause::Failed, &"c".repeat(100_000));
        rows.store(&mut cell, |_| false);
        assert!(rows.read().steps.iter().all(|step| step.checkpoints.is_empty()));
        assert_eq!(cell.scheduler.take_jobs_with_long_checkpoints(), [job_id("a")]);
    };

    /// Guards against writes that grow with the width of a job: the start and the end of one task write the segment of that
    /// task only.
    end_of_a_task_writes_one_segment: || {
        let (mut cell, mut rows) = (cell(1), Rows::default());
        cell.accept(job("a", queue(0), vec![step(WIDE_TASKS, 10)]));
        let starts = cell.starts();
        end(&mut cell, &starts, EndCause::Failed, "00000bb87a21d94b");
        rows.store(&mut cell, |_| false);
        assert_eq!(rows.written as u64, 1 + u64::from(WIDE_TASKS).div_ceil(SEGMENT_TASKS));
        // After its quarantine the worker gets one run.
        cell.now_ms += 6_000;
        let starts = cell.starts();
        assert_eq!(starts.len(), 1);
        rows.store(&mut cell, |_| false);
        assert_eq!(rows.written, 2);
        end(&mut cell, &starts, EndCause::Done, "");
        rows.store(&mut cell, |_| false);
        assert_eq!(rows.written, 2);
    };

    /// Guards against progress that a former version does not find: while it fits into one row, it is stored there, for a wide
    /// job as well as for one with many finished occurrences.
    progress_of_one_row_is_stored_as_before: || {
        let (mut cell, mut rows) = (cell(1), Rows::default());
        cell.accept(job("a", queue(0), vec![step(2_000, 10)]));
        let starts = cell.starts();
        end(&mut cell, &starts[..1_000], EndCause::Failed, "00000bb87a21d94b");
        rows.store(&mut cell, |_| false);
        assert_eq!(attempts_left(&rows.progress).len(), 1_000);
        assert!(json(&rows.progress).len() > 40_000 && rows.segments.is_empty());
        let (mut cell, mut rows) = (self::cell(1), Rows::default());
        cell.accept(periodic(900));
        cell.now_ms = 8_000;
        // A decision tries 96 steps.
        for _ in 0..9 {
            let starts = cell.starts();
            end(&mut cell, &starts, EndCause::Done, "");
            cell.now_ms += 1;
        }
        rows.store(&mut cell, |_| false);
        assert_eq!(rows.progress.steps.len(), 801);
        assert!(rows.progress.finished.is_empty());
    };

    /// Guards against a changed form of the rows of ordinary jobs, which instances of the former version read.
    ordinary_jobs_have_one_row: || {
        let (mut cell, mut rows) = (cell(1), Rows::default());
        cell.accept(job("a", queue(0), vec![step(100, 10), step(60, 10)]));
        let starts = cell.starts();
        end(&mut cell, &starts[..50], EndCause::Done, "");
        end(&mut cell, &starts[50..], EndCause::Failed, "0000000000000001");
        rows.store(&mut cell, |_| false);
        assert!(rows.segments.is_empty());
        let keys = ["\"p\"", "\"k\"", "\"s\"", "\"d\"", "\"f\"", "\"c\""];
        let text = json(&rows.progress);
        assert!(keys.iter().all(|key| text.contains(key)), "{text}");
        assert!(!(text.contains("\"o\"") || text.contains("\"g\"")), "{text}");
    };

    /// Guards against tasks that run again, are lost or lose attempts when a new leader reads the segments of a job.
    new_leader_continues_a_segmented_job: || {
        let (mut cell, mut rows) = (cell(1), Rows::default());
        let saved = "s".repeat(200);
        let wide = || job("a", queue(0), vec![step(700, 10), step(500, 10)]);
        cell.accept(wide());
        let starts = cell.starts();
        assert_eq!(starts.len(), 1_200);
        end(&mut cell, &starts[..400], EndCause::Done, "");
        end(&mut cell, &starts[400..800], EndCause::Failed, &saved);
        rows.store(&mut cell, |_| false);
        let progress = rows.read();
        assert!(progress.is_segmented);
        let mut next = self::cell(2);
        next.recover(wide(), &progress);
        let again = next.starts();
        assert_eq!(again.len(), 400);
        assert!(again.iter().all(|start| *start.checkpoint == *saved));
        next.heartbeat_without_runs("w1");
        let lost = next.starts();
        assert_eq!(lost.len(), 400, "the runs that nobody reports are lost");
    };

    /// Guards against the loss of ends that a leader did not store before it was replaced: only a part of the segments is
    /// stored, and the worker reports the others again.
    partly_stored_ends_are_applied_again: || {
        let (mut cell, mut rows) = (cell(1), Rows::default());
        let wide = || job("a", queue(0), vec![step(1_000, 10)]);
        cell.accept(wide());
        let starts = cell.starts();
        save(&mut cell, &starts, &"c".repeat(200));
        end(&mut cell, &starts[..1], EndCause::Done, "");
        rows.store(&mut cell, |_| false);
        assert!(rows.progress.is_segmented);
        end(&mut cell, &starts[1..900], EndCause::Done, "");
        rows.store(&mut cell, |number| number.is_multiple_of(2));
        let stored = rows.read();
        let done = stored.steps.iter().map(|step| step.done.len()).sum::<usize>();
        assert!((100..800).contains(&done), "{done} of 900 ends are stored");
        let mut next = self::cell(2);
        next.recover(wide(), &stored);
        end(&mut next, &starts[..900], EndCause::Done, "");
        assert!(next.starts().is_empty());
        end(&mut next, &starts[900..], EndCause::Done, "");
        assert_eq!(next.state("a"), Some(JobState::Succeeded));
    };

    /// Guards against a wide gang that neither ends nor starts again because the end of some members was stored only.
    partly_stored_end_of_a_gang_counts_for_all: || {
        let (mut cell, mut rows) = (cell(1), Rows::default());
        let wide = || job("a", queue(0), vec![gang(1_000, 10)]);
        cell.accept(wide());
        assert_eq!(cell.starts().len(), 1_000);
        rows.store(&mut cell, |_| false);
        let mut progress = rows.read();
        progress.steps[0].done = vec![3];
        let mut next = self::cell(2);
        next.recover(wide(), &progress);
        assert_eq!(next.state("a"), Some(JobState::Succeeded));
    };

    /// Guards against a state row that grows with each occurrence of a scheduled job, and against occurrences that run again
    /// or are left out under a new leader.
    finished_occurrences_are_stored_as_ranges: || {
        let (mut cell, mut rows) = (cell(1), Rows::default());
        let times = 4_000;
        cell.accept(periodic(times));
        let mut stuck: Option<StartOrder> = None;
        while cell.now_ms < 10 * u64::from(times) - 2_000 {
            cell.now_ms += 100;
            let mut starts = cell.starts();
            if stuck.is_none() {
                stuck = starts.pop();
            }
            end(&mut cell, &starts, EndCause::Done, "");
            rows.store(&mut cell, |_| false);
            assert!(json(&rows.progress).len() < 32_000);
        }
        let stuck = stuck.expect("a run that goes on");
        let mut next = self::cell(2);
        next.now_ms = cell.now_ms;
        next.recover(periodic(times), &rows.read());
        assert!(next.starts().is_empty(), "no finished occurrence runs again");
        end(&mut next, &[stuck], EndCause::Done, "");
        let mut count = 0;
        while next.now_ms < 10 * u64::from(times) {
            next.now_ms += 100;
            let starts = next.starts();
            count += starts.len();
            end(&mut next, &starts, EndCause::Done, "");
        }
        assert!((1..=300).contains(&count), "{count} occurrences were left");
        assert_eq!(next.state("a"), Some(JobState::Succeeded));
    };

    /// Guards against a new leader that runs the occurrences of a job again whose row a former version has written: it
    /// lists each of them.
    listed_occurrences_of_a_former_version_are_read: || {
        let listed: Vec<String> =
            (0..500).map(|number| format!(r#"{{"k":{number},"s":0,"d":[0]}}"#)).collect();
        let text = format!(r#"{{"p":[{}]}}"#, listed.join(","));
        let progress: Progress = serde_json::from_str(&text).expect("progress");
        let mut next = cell(2);
        next.now_ms = 4_995;
        next.recover(periodic(600), &progress);
        assert!(next.starts().is_empty());
        next.now_ms = 5_005;
        let starts = next.starts();
        assert_eq!(starts.len(), 1);
        assert_eq!(starts[0].task.to_string(), "a.500.0.0");
    };

    /// Guards against an unbounded list of ranges: occurrences that never end keep later ones from opening.
    open_occurrences_are_bounded: || {
        let (mut cell, mut rows) = (cell(1), Rows::default());
        cell.accept(periodic(9_000));
        cell.now_ms = 90_000;
        let mut starts = Vec::new();
        for _ in 0..4 {
            starts.extend(cell.starts());
            let (running, waiting) = cell.scheduler.task_counts();
            assert!(running + waiting <= 2_000, "{running} and {waiting} tasks are open");
            rows.store(&mut cell, |_| false);
            // Every other occurrence ends.
            let (ended, kept): (Vec<_>, Vec<_>) =
                starts.drain(..).partition(|it: &StartOrder| it.task.step.occurrence.is_multiple_of(2));
            if !ended.is_empty() {
                end(&mut cell, &ended, EndCause::Done, "");
            }
            starts = kept;
            rows.store(&mut cell, |_| false);
        }
        assert!(starts.len() <= 2_000, "{} are open", starts.len());
    };

    /// Guards against a job that goes on after the store refused its progress for good.
    unstorable_job_fails: || {
        let mut cell = cell(1);
        cell.accept(job("a", queue(0), vec![step(2, 10)]));
        let starts = cell.starts();
        cell.confirm_starts(&starts);
        let id: JobId = job_id("a");
        cell.scheduler.fail_unstorable(&id, cell.now_ms);
        assert_eq!(cell.state("a"), Some(JobState::Failed));
        assert_eq!(cell.decide().1.len(), 2, "its runs are stopped");
    };
}
