//! Format of stored and sent data: row keys and fields, journal records, snapshots and error replies to peers.

mod support;

use {
    ragwortreel_entry::generated::{JobMessage, JobReference},
    ragwortreel_model::{JobState, Resources, WorkerId},
    ragwortreel_platform::ObjectStore as _,
    ragwortreel_runtime::{block_on, sleep_ms},
    serde_json::{Value, json},
    support::{Cell, job, valid_name},
};

fn stored_row(cell: &Cell, key: &str) -> Value {
    let row = cell.platform.peek(key).expect("the row exists");
    serde_json::from_str(&row.value).expect("a row holds JSON")
}

fn field_names(value: &Value) -> Vec<&str> {
    let object = value.as_object().expect("an object");
    object.keys().map(String::as_str).collect()
}

fn journal_records(cell: &Cell) -> Vec<Value> {
    let rows = cell.platform.peek_all("journal/riga-a/");
    let parse = |value: &str| serde_json::from_str::<Vec<Value>>(value).expect("records");
    rows.iter().flat_map(|row| parse(&row.value)).collect()
}

async fn cell_with_one_zone(snapshot_records: usize) -> Cell {
    let mut cell = Cell::new(&["riga-a"], 1);
    cell.limits.snapshot_records = snapshot_records;
    cell.start("e1", "riga-a");
    cell.wait_until_ready().await;
    cell
}

/// Instances of another version read these rows; a renamed field would make them unreadable.
#[test]
fn control_rows_keep_their_keys_and_fields() {
    block_on(async {
        let cell = cell_with_one_zone(1_000).await;
        cell.until("a slot epoch", |cell| {
            !cell.any_control().slot_members().is_empty()
        })
        .await;
        let instance = stored_row(&cell, "instance/e1");
        let expected = [
            "address",
            "counter",
            "fenced",
            "incarnation",
            "leaving",
            "region",
            "zone",
        ];
        assert_eq!(field_names(&instance), expected);
        let pool = stored_row(&cell, "pool/riga-a");
        let expected = ["epoch", "incarnation", "owner", "released", "unproven"];
        assert_eq!(field_names(&pool), expected);
        assert_eq!(pool["owner"], "e1");
        let slots = stored_row(&cell, "slots/riga-a");
        assert_eq!(slots, json!({"epoch": 1, "members": ["e1"], "recent": []}));
        assert_eq!(
            field_names(&stored_row(&cell, "settings/head")),
            ["sha256", "version"]
        );
        let content = stored_row(&cell, "settings/v/00000000000000000001");
        assert_eq!(field_names(&content), ["json", "sha256"]);
        let author = stored_row(&cell, "settings/by/00000000000000000001");
        assert_eq!(field_names(&author), ["change"]);
    });
}

/// A new owner reads the journal of the previous one, which may run another version.
#[test]
fn journal_records_keep_their_form() {
    block_on(async {
        let cell = cell_with_one_zone(1_000).await;
        cell.submit("e1", job("j1", 1, None)).await;
        cell.until("the task runs", |cell| cell.running() == 1)
            .await;
        let expected = ["failures", "pool", "spec", "state"];
        assert_eq!(field_names(&stored_row(&cell, "job/j1")), expected);
        let resources = Resources::new(1_000, 1_024, 0);
        let start = json!({"start": {"job": "j1", "resources": resources, "runs": [[0, 1, "w0"]]}});
        assert_eq!(journal_records(&cell), [start]);
        let id = job("j1", 1, None).id;
        cell.any_control()
            .cancel_job(&id, None)
            .await
            .expect("cancelled");
        cell.until("the run has ended", |cell| journal_records(cell).len() == 3)
            .await;
        let found = journal_records(&cell);
        assert_eq!(found[1], json!({"job-done": {"job": "j1"}}));
        assert_eq!(
            field_names(&found[2]["ended"]),
            ["attempt", "result", "task", "worker"]
        );
        assert_eq!(found[2]["ended"]["task"], json!({"job": "j1", "index": 0}));
    });
}

/// A new owner restores the snapshot of the previous one, which may run another version.
#[test]
fn snapshots_keep_their_form() {
    block_on(async {
        let cell = cell_with_one_zone(1).await;
        cell.submit("e1", job("j1", 1, None)).await;
        cell.until("a snapshot", |cell| {
            cell.platform.peek("snapshot/riga-a").is_some()
        })
        .await;
        let at = stored_row(&cell, "snapshot/riga-a");
        assert_eq!(field_names(&at), ["epoch", "seq"]);
        let object = format!("snapshot/riga-a/{}-{}", at["epoch"], at["seq"]);
        let content = cell.platform.get(&object).await.expect("readable");
        let content: Value = serde_json::from_slice(&content.expect("exists")).expect("JSON");
        let resources = Resources::new(1_000, 1_024, 0);
        let run = json!({"attempt": 1, "worker": "w0", "resources": resources});
        let job = json!({"runs": {"0": run}, "attempts": {"0": 1}, "succeeded": [], "failures": 0});
        assert_eq!(content, json!({"jobs": {"j1": job}}));
    });
}

/// With another key prefix a drained worker would get tasks again, and with another field a quota would be granted
/// twice.
#[test]
fn drain_and_quota_rows_keep_their_form() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a", "riga-b"], 1);
        cell.start("e1", "riga-a");
        cell.wait_until_ready().await;
        let worker = valid_name(WorkerId::new, "w0");
        let control = cell.any_control();
        control
            .set_worker_drained(&worker, true)
            .await
            .expect("drained");
        assert_eq!(stored_row(&cell, "drain/w0"), true);
        cell.submit("e1", job("j1", 1, None)).await;
        cell.until("a quota grant", |cell| {
            cell.platform.peek("quota/alpha").is_some()
        })
        .await;
        let quota = stored_row(&cell, "quota/alpha");
        assert_eq!(field_names(&quota), ["grants"]);
        let grants = quota["grants"].as_object().expect("an object");
        assert!(grants.keys().all(|pool| pool.starts_with("riga-")));
    });
}

/// Peers of another version distinguish the errors by this JSON.
#[test]
fn error_replies_to_peers_keep_their_form() {
    block_on(async {
        let cell = cell_with_one_zone(1_000).await;
        let service = cell.any_control().entry_service();
        let message = |spec: &ragwortreel_model::JobSpec| JobMessage {
            spec_json: serde_json::to_vec(spec).expect("encodes"),
            pool: "riga-a".to_owned(),
        };
        cell.submit("e1", job("j1", 1, Some(10))).await;
        let conflict = service.submit_job(message(&job("j1", 2, None))).await;
        assert_eq!(conflict.jobs_json, b"\"conflict\"");
        let invalid = service.submit_job(message(&job("j2", 0, None))).await;
        let invalid: Value = serde_json::from_slice(&invalid.jobs_json).expect("JSON");
        assert_eq!(field_names(&invalid), ["invalid"]);
        cell.until_succeeded("j1").await;
        let reference = JobReference {
            job: "j1".to_owned(),
            workspace: String::new(),
        };
        let ended = json!({"ended": JobState::Succeeded});
        loop {
            let reply = service.cancel_job(reference.clone()).await;
            // The owner marks the job as ended shortly after its row is written.
            if reply.jobs_json.is_empty() {
                sleep_ms(5).await;
                continue;
            }
            let found: Value = serde_json::from_slice(&reply.jobs_json).expect("JSON");
            assert_eq!(found, ended);
            break;
        }
    });
}
