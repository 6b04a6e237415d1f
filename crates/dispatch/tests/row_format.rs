//! Format of the keys and values that instances of different versions exchange through the store.

use {
    ragwortreel_dispatch::{
        LeaderCapacity, Timing,
        rows::{
            LeaderRow, LeasesRow, MemberRow, OwnedState, StateRow, WorkersRow, bucket_row_name,
            cancel_key, encode_member, job_key, main_key, parse_cancel_row_name, worker_row_name,
        },
    },
    ragwortreel_model::{InstanceId, JobId, JobState, WorkerId, Workspace},
    ragwortreel_workflow::Progress,
};

const ADDRESS: &str = "10.0.0.1:7000";

/// Guards against a renamed field of the leader's row, which makes an instance of another version ignore the leader.
#[test]
fn leader_row_keeps_its_fields() {
    let row = LeaderRow {
        instance: InstanceId::new("a-1").expect("a valid name"),
        address: ADDRESS.parse().expect("an address"),
        incarnation: 5,
        term: 2,
        renewal: 9,
        released: true,
        extends_no_leases: true,
        leader_capacity: LeaderCapacity::new(0.125, 1_000.0),
        takeover_ms: 700,
    };
    let json = r#"{"instance":"a-1","address":"10.0.0.1:7000","life":5,"term":2,"renewal":9,"released":true,"extends_no_leases":true,"strength":0.5,"takeover_ms":700}"#;
    assert_eq!(serde_json::to_string(&row).expect("a row"), json);
    assert_eq!(serde_json::from_str::<LeaderRow>(json).expect("a row"), row);
}

/// Guards against a leader's row of an earlier version that cannot be decoded because it lacks the fields added later.
#[test]
fn leader_row_without_later_fields_gets_defaults() {
    let json = r#"{"instance":"a-1","address":"10.0.0.1:7000","life":5,"term":2,"renewal":9,"released":false}"#;
    let row: LeaderRow = serde_json::from_str(json).expect("a row");
    assert!(
        !row.extends_no_leases,
        "a former version extends leases until it stops"
    );
    assert_eq!(row.leader_capacity, LeaderCapacity::default());
    assert_eq!(row.takeover_ms, Timing::MAX_TAKEOVER_MS);
}

/// Guards against renamed fields or changed letters in the rows of instances, job states and workers.
#[test]
fn other_rows_keep_their_values() {
    let member = MemberRow {
        address: ADDRESS.parse().expect("an address"),
        can_lead: true,
    };
    assert_eq!(
        &*encode_member(&member),
        r#"{"address":"10.0.0.1:7000","can_lead":true}"#
    );
    for (state, text) in [
        (JobState::Queued, "q"),
        (JobState::Running, "r"),
        (JobState::Succeeded, "s"),
        (JobState::Failed, "f"),
        (JobState::Cancelled, "x"),
    ] {
        let progress = Progress::default();
        let mut row = StateRow {
            state,
            progress,
            workspace: None,
        };
        assert_eq!(&*row.encode(), text);
        row.workspace = Some(Workspace::new("kaje80").expect("a valid name"));
        assert_eq!(&*row.encode(), format!(r#"{text}{{"workspace":"kaje80"}}"#));
    }
    let worker = WorkerId::new("w-1").expect("a valid name");
    let workers = WorkersRow::from([(worker, ADDRESS.parse().expect("an address"))]);
    assert_eq!(
        serde_json::to_string(&workers).expect("a row"),
        r#"{"w-1":"10.0.0.1:7000"}"#
    );
}

/// Guards against a row of leases that another version cannot read, or that a former version takes for a row of addresses.
#[test]
fn leases_keep_their_text_and_name_no_addresses() {
    let worker = WorkerId::new("w-1").expect("a valid name");
    let row = LeasesRow {
        term: 7,
        until_ms: [(worker, 51_230)].into(),
    };
    let json = r#"{"term":7,"until":{"w-1":51230}}"#;
    assert_eq!(serde_json::to_string(&row).expect("a row"), json);
    assert_eq!(serde_json::from_str::<LeasesRow>(json).expect("a row"), row);
    for json in [json, r#"{"term":7,"until":{}}"#] {
        assert!(serde_json::from_str::<WorkersRow>(json).is_err());
    }
}

/// Guards against an answer of the leader whose workspace is lost or of which an earlier version cannot read the state.
#[test]
fn leader_answers_keep_their_text() {
    let owned = OwnedState {
        state: JobState::Running,
        workspace: Some(Workspace::new("kaje80").expect("a valid name")),
    };
    assert_eq!(owned.encode(), "rkaje80");
    assert_eq!(OwnedState::decode("rkaje80"), Ok(owned.clone()));
    assert_eq!(
        OwnedState::decode_row(r#"r{"p":[{"k":0,"s":0}],"workspace":"kaje80"}"#),
        Ok(owned)
    );
    let free = OwnedState {
        state: JobState::Queued,
        workspace: None,
    };
    assert_eq!(free.encode(), "q");
    assert_eq!(OwnedState::decode("q"), Ok(free.clone()));
    assert_eq!(OwnedState::decode_row(r#"q{"p":[]}"#), Ok(free));
    assert!(OwnedState::decode("r a").is_err());
    assert!(OwnedState::decode("").is_err());
}

/// Guards against rows that an instance of another version looks up under another key.
#[test]
fn rows_keep_their_keys() {
    let job = JobId::new("00000000000000a7").expect("a valid name");
    assert_eq!(&*job_key(&job), "jobs/27/00000000000000a7");
    assert_eq!(&*cancel_key(&job), "jobs/27/00000000000000a7.cancel");
    assert_eq!(parse_cancel_row_name("00000000000000a7.cancel"), Some(job));
    assert_eq!(&*main_key("members", "a-1"), "members/main/a-1");
    let worker = WorkerId::new("w-1").expect("a valid name");
    assert_eq!(worker_row_name(&worker), "12");
    assert_eq!(bucket_row_name(3), "03");
}
