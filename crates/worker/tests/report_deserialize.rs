//! Compares the hand-written deserialization of reports with the derived one.

use {
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    ragwortreel_model::{Attempt, JobId, Resources, TaskId, TaskResult, WorkerId},
    ragwortreel_worker::{HeartbeatReply, ReportedTask, TaskPhase},
    serde::Deserialize,
};

#[derive(Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "phase")]
enum DerivedPhase {
    Running,
    Ended { result: TaskResult },
}

#[derive(Debug, PartialEq, Deserialize)]
struct DerivedTask {
    task: TaskId,
    attempt: Attempt,
    reserved: Resources,
    used: Resources,
    phase: DerivedPhase,
}

#[derive(Debug, PartialEq, Deserialize)]
struct DerivedReply {
    worker: WorkerId,
    incarnation: u64,
    clock_ms: u64,
    number: Option<u64>,
    since: Option<u64>,
    #[serde(default)]
    forgotten: Vec<(TaskId, Attempt)>,
    tasks: Vec<DerivedTask>,
}

impl From<HeartbeatReply> for DerivedReply {
    fn from(reply: HeartbeatReply) -> Self {
        let phase = |phase| match phase {
            TaskPhase::Running => DerivedPhase::Running,
            TaskPhase::Ended { result } => DerivedPhase::Ended { result },
        };
        let tasks = reply.tasks.into_iter().map(|task| DerivedTask {
            task: task.task,
            attempt: task.attempt,
            reserved: task.reserved,
            used: task.used,
            phase: phase(task.phase),
        });
        Self {
            worker: reply.worker,
            incarnation: reply.incarnation,
            clock_ms: reply.clock_ms,
            number: reply.number,
            since: reply.since,
            forgotten: reply.forgotten,
            tasks: tasks.collect(),
        }
    }
}

fn phases() -> impl Strategy<Value = TaskPhase> {
    prop_oneof![
        Just(TaskPhase::Running),
        Just(TaskPhase::Ended {
            result: TaskResult::Failed
        }),
        Just(TaskPhase::Ended {
            result: TaskResult::NotStarted
        }),
    ]
}

fn replies() -> impl Strategy<Value = HeartbeatReply> {
    let task = (
        "[a-z0-9.-]{1,8}",
        any::<u32>(),
        any::<u32>(),
        any::<u64>(),
        phases(),
    );
    let task = task.prop_map(|(job, index, attempt, cores, phase)| ReportedTask {
        task: TaskId {
            job: JobId::new(&job).expect("valid name"),
            index,
        },
        attempt: Attempt(attempt),
        reserved: Resources::new(cores, 1, 2),
        used: Resources::ZERO,
        phase,
    });
    let parts = (
        "[a-z]{1,8}",
        any::<u64>(),
        any::<u64>(),
        any::<(Option<u64>, Option<u64>)>(),
        prop::collection::vec(any::<u32>(), 0..3),
        prop::collection::vec(task, 0..4),
    );
    parts.prop_map(
        |(worker, incarnation, clock_ms, (number, since), forgotten, tasks)| HeartbeatReply {
            worker: WorkerId::new(&worker).expect("valid name"),
            incarnation,
            clock_ms,
            number,
            since,
            forgotten: forgotten.into_iter().map(run).collect(),
            tasks,
        },
    )
}

fn run(index: u32) -> (TaskId, Attempt) {
    let job = JobId::new("j").expect("valid name");
    (TaskId { job, index }, Attempt(1))
}

fn config() -> Config {
    Config {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..Config::default()
    }
}

fn check_same_result(json: &str) -> Result<(), TestCaseError> {
    let hand_written = serde_json::from_str::<HeartbeatReply>(json).ok();
    let derived = serde_json::from_str::<DerivedReply>(json).ok();
    prop_assert_eq!(hand_written.map(DerivedReply::from), derived, "{}", json);
    Ok(())
}

proptest! {
    #![proptest_config(config())]

    // Guards against a report that changes when it is serialized and parsed.
    #[test]
    fn reports_round_trip_through_json(reply in replies()) {
        let json = serde_json::to_string(&reply).expect("json");
        prop_assert_eq!(serde_json::from_str::<HeartbeatReply>(&json).ok(), Some(reply));
        check_same_result(&json)?;
    }

    // Guards against corrupted reports that only one of the two parsers accepts.
    #[test]
    fn corrupted_reports_get_the_same_result_from_both_parsers(
        reply in replies(), at in any::<prop::sample::Index>(), removed in 0_usize..12, inserted in "[a-z\",:{}0-9]{0,3}",
    ) {
        let json = serde_json::to_string(&reply).expect("json");
        let from = at.index(json.len());
        let to = (from + removed).min(json.len());
        check_same_result(&format!("{}{inserted}{}", &json[..from], &json[to..]))?;
    }
}

/// Declares tests of JSON texts for which both parsers must return the same result.
macro_rules! same_result_tests {
    ($($name:ident: $json:expr;)*) => {$(
        #[test]
        fn $name() {
            check_same_result($json).expect("both parsers should return the same result");
        }
    )*};
}

// Guards against different handling of unknown, repeated and missing fields.
same_result_tests! {
    complete_report: r#"{"worker":"w","incarnation":1,"clock_ms":2,"number":3,"tasks":[]}"#;
    report_of_changes: r#"{"worker":"w","incarnation":1,"clock_ms":2,"number":3,"since":1,"forgotten":[[{"job":"j","index":0},1]],"tasks":[]}"#;
    null_numbers: r#"{"worker":"w","incarnation":1,"clock_ms":2,"number":null,"since":null,"tasks":[]}"#;
    null_forgotten: r#"{"worker":"w","incarnation":1,"clock_ms":2,"forgotten":null,"tasks":[]}"#;
    repeated_number: r#"{"worker":"w","incarnation":1,"clock_ms":2,"number":3,"number":3,"tasks":[]}"#;
    unknown_fields: r#"{"worker":"w","incarnation":1,"clock_ms":2,"tasks":[],"new":{"a":[1]}}"#;
    repeated_field: r#"{"worker":"w","incarnation":1,"incarnation":1,"clock_ms":2,"tasks":[]}"#;
    missing_field: r#"{"worker":"w","incarnation":1,"tasks":[]}"#;
    escaped_field: r#"{"w\u006frker":"w","incarnation":1,"clock_ms":2,"tasks":[]}"#;
    ended_without_result: r#"{"worker":"w","incarnation":1,"clock_ms":2,"tasks":[{"task":{"job":"j","index":0},"attempt":1,"reserved":{"milli_cores":1,"memory_mib":1},"used":{"milli_cores":1,"memory_mib":1},"phase":{"phase":"ended"}}]}"#;
    result_before_phase: r#"{"worker":"w","incarnation":1,"clock_ms":2,"tasks":[{"task":{"job":"j","index":0},"attempt":1,"reserved":{"milli_cores":1,"memory_mib":1},"used":{"milli_cores":1,"memory_mib":1},"phase":{"result":"lost","phase":"ended"}}]}"#;
    running_with_result: r#"{"worker":"w","incarnation":1,"clock_ms":2,"tasks":[{"task":{"job":"j","index":0},"attempt":1,"reserved":{"milli_cores":1,"memory_mib":1},"used":{"milli_cores":1,"memory_mib":1},"phase":{"result":"lost","phase":"running"}}]}"#;
}

// Guards against a JSON array being accepted as a report; the derived parser reads its elements by position.
#[test]
fn an_array_is_rejected() {
    let json = r#"["w",1,2,null,null,[],[]]"#;
    assert!(serde_json::from_str::<DerivedReply>(json).is_ok());
    assert!(serde_json::from_str::<HeartbeatReply>(json).is_err());
}
