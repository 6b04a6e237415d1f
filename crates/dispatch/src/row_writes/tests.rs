use {
    super::{MAX_ROWS, MAX_VALUE_BYTES, RowWrite, job_writes, split_writes},
    ragwortreel_model::{JobId, JobState},
    ragwortreel_workflow::{JobChange, Progress, Segments, StepProgress},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Segment with progress, or without any.
fn segment(has_progress: bool) -> Progress {
    let step = StepProgress {
        done: vec![1],
        ..StepProgress::default()
    };
    Progress {
        steps: if has_progress { vec![step] } else { Vec::new() },
        ..Progress::default()
    }
}

/// Names of the rows that are written for a change of the job `a`, in their order; those that are removed begin with `-`.
fn rows(segments: Segments, stored: &[u64]) -> Vec<String> {
    let change = JobChange {
        job: JobId::new("a").expect("a valid name"),
        state: JobState::Running,
        workspace: None,
        queue: Arc::from("queue"),
        priority: 0,
        age_ms: 0,
        progress: Progress::default(),
        segments,
    };
    let writes = job_writes(&change, &stored.iter().copied().collect::<BTreeSet<u64>>());
    let last: Vec<bool> = writes.iter().map(|it| it.is_last).collect();
    assert_eq!(last.iter().filter(|is_last| **is_last).count(), 1);
    assert_eq!(last.last(), Some(&true));
    let name = |it: &RowWrite| {
        let name = it.write.key.trim_start_matches("state/main/");
        let sign = if it.write.value.is_some() { "" } else { "-" };
        format!("{sign}{name}")
    };
    writes.iter().map(name).collect()
}

fn numbered(segments: &[(u64, bool)]) -> BTreeMap<u64, Progress> {
    let pairs = segments
        .iter()
        .map(|(number, has)| (*number, segment(*has)));
    pairs.collect()
}

/// Guards against a state row that names segments which are not stored yet, when a transaction in between fails.
#[test]
fn first_segments_are_stored_before_the_state() {
    let all = Segments::All(numbered(&[(0, true), (3, true)]));
    assert_eq!(rows(all, &[3, 7]), ["-a:7", "a:0", "a:3", "a"]);
}

/// Guards against a segment of finished occurrences that is removed before the state lists these as finished.
#[test]
fn state_is_stored_before_changed_segments() {
    let changed = Segments::Changed(numbered(&[(0, true), (1, false), (2, false)]));
    assert_eq!(rows(changed, &[0, 2]), ["a", "a:0", "-a:2"]);
}

/// Guards against segments that remain after the job's end, and against their removal before the final state.
#[test]
fn segments_are_removed_after_the_last_state() {
    assert_eq!(rows(Segments::None, &[4, 5]), ["a", "-a:4", "-a:5"]);
    assert_eq!(rows(Segments::None, &[]), ["a"]);
}

/// Guards against a transaction with more rows or bytes than the store accepts.
#[test]
fn batches_are_within_the_limits_of_a_transaction() {
    for bytes in [1, 10_000, 65_000] {
        let value: Arc<str> = "v".repeat(bytes).into();
        let write = |number| RowWrite::published(format!("k{number}").into(), Arc::clone(&value));
        let writes: Vec<RowWrite> = (0..250).map(write).collect();
        let batches = split_writes(&writes);
        assert_eq!(batches.iter().map(|batch| batch.len()).sum::<usize>(), 250);
        for batch in batches {
            assert!(batch.len() <= MAX_ROWS);
            assert!(batch.iter().map(RowWrite::bytes).sum::<usize>() <= MAX_VALUE_BYTES);
        }
    }
    assert_eq!(
        split_writes(&[]).len(),
        1,
        "the renewal is sent in any case"
    );
}
