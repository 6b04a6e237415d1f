//! JSON documents and texts that other processes and scripts read: configuration, faults, counters and records.

use {
    ragwortreel_http::Request,
    ragwortreel_model::{
        Assignment, Attempt, Epoch, InstanceId, JobId, ManualClock, Pool, Resources, ServiceName,
        TaskId, TaskResult, WorkerId, Workspace, Zone,
    },
    ragwortreel_platform::{ObjectStore, TableService, Txn},
    ragwortreel_runtime::block_on,
    ragwortreel_standins::{
        Backend, BackendCounts, BackendSpec, FakeFleet, Faults, MemoryPlatform, Outage, Reply,
        RequestHandler, StandinConfig, Violation, WorkerSpec,
        worker::{Fenced, RunRecord, SimulatedRun, WorkerCounts},
    },
    ragwortreel_worker::{StartRequest, WorkerConnector},
    serde::Serialize,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("value has a JSON form")
}

// Guards against a renamed field that makes a configuration or a fault request of a script invalid.
#[test]
fn configuration_and_faults_keep_their_field_names() {
    let text = concat!(
        r#"{"platform":{"listen":"127.0.0.1:0","limits":{"writes_per_s":500,"reads_per_s":2000},"#,
        r#""list_lag_ms":0,"instances":[]},"#,
        r#""workers":[{"listen":"127.0.0.1:0","zone":"riga-a","rack":"r1","#,
        r#""worker":{"id":"w1","capacity":{"milli_cores":1000,"memory_mib":10,"accelerators":1},"#,
        r#""usage_lag_ms":0}}],"#,
        r#""backends":[{"listen":"127.0.0.1:0","backend":{"id":"b1","zone":"riga-a","#,
        r#""workspace":"alpha","service":"quotes","slots":8,"connections":64,"#,
        r#""classes":{"short":{"ms":5,"jitter_ms":1}}}}],"seed":7}"#,
    );
    let cfg: StandinConfig = serde_json::from_str(text).expect("configuration");
    assert_eq!(json(&cfg), text);

    let faults = Faults {
        outage: Some(Outage::Refuse),
        cut_zones: [Zone::new("riga-a").expect("valid name")].into(),
        ..Faults::default()
    };
    let expected = concat!(
        r#"{"latency_ms":0,"jitter_ms":0,"outage":"refuse","cut_zones":["riga-a"],"#,
        r#""lost_answers_ppm":0,"late_writes_ppm":0,"late_write_ms":0,"truncated_ppm":0,"#,
        r#""silence_open_connections":false,"fail_starts":false,"failed_requests_ppm":0,"#,
        r#""slow_ms":0}"#,
    );
    assert_eq!(json(&faults), expected);
    assert_eq!(json(&Outage::Silent), r#""silent""#);

    let run = r#"{"run_ms":5,"fail":true,"checkpoint_ms":2,"used":null}"#;
    let simulated: SimulatedRun = serde_json::from_str(run).expect("payload");
    assert_eq!(json(&simulated), run);
}

// Guards against a renamed counter or record field in the replies of the control endpoints.
#[test]
fn counters_and_records_keep_their_field_names() {
    let expected = concat!(
        r#"{"writes":0,"reads":0,"writes_over_limit":0,"reads_over_limit":0,"refused":0,"#,
        r#""lost_answers":0,"late_writes":0,"conflicts":0}"#,
    );
    assert_eq!(json(&MemoryPlatform::new().counts()), expected);
    let expected = concat!(
        r#"{"requests":0,"slots":0,"max_slots":0,"slots_over_limit":0,"connections":0,"#,
        r#""max_connections":0,"connections_over_limit":0,"requests_after_drain":0,"#,
        r#""last_request_after_drain_ms":null}"#,
    );
    assert_eq!(json(&BackendCounts::default()), expected);
    let expected =
        r#"{"fenced":0,"over_capacity":0,"stale_starts":0,"expired_runs":0,"heartbeats":0}"#;
    assert_eq!(json(&WorkerCounts::default()), expected);
    assert_eq!(json(&Fenced { seen: Epoch(3) }), r#"{"seen":3}"#);
    let record = RunRecord {
        worker: WorkerId::new("w").expect("valid name"),
        task: task(),
        attempt: Attempt(2),
        started_ms: 10,
        ended: Some((20, TaskResult::NotStarted)),
    };
    let expected = concat!(
        r#"{"worker":"w","task":{"job":"j","index":0},"attempt":2,"started_ms":10,"#,
        r#""ended":[20,"not-started"]}"#,
    );
    assert_eq!(json(&record), expected);
}

// Guards against a changed response body, and against a changed request record.
#[test]
fn a_backend_server_keeps_the_format_of_responses_and_records() {
    let spec = BackendSpec {
        id: InstanceId::new("b1").expect("valid name"),
        zone: Zone::new("riga-a").expect("valid name"),
        workspace: Workspace::new("alpha").expect("valid name"),
        service: ServiceName::new("quotes").expect("valid name"),
        slots: 2,
        connections: 3,
        classes: BTreeMap::new(),
    };
    let backend = Backend::new(spec, 1);
    let req = Request::get("/short/x?nonce=n1&bytes=2").with_header("idempotency-key", "k1");
    let reply = block_on(RequestHandler::handle(&*backend, req));
    let Reply::Respond(response) = reply else {
        panic!("expected a response, found {reply:?}");
    };
    let body = String::from_utf8(response.body.clone()).expect("UTF-8 body");
    let expected = r#"{"backend":"b1","number":0,"nonce":"n1","padding":"xx"}"#;
    assert_eq!(body, expected);
    let mut record = backend.records().remove(0);
    record.started_ms = 4;
    record.ended_ms = Some(5);
    let expected = concat!(
        r#"{"number":0,"backend":"b1","method":"GET","path":"/short/x?nonce=n1&bytes=2","#,
        r#""idempotency_key":"k1","nonce":"n1","class":"short","started_ms":4,"ended_ms":5}"#,
    );
    assert_eq!(json(&record), expected);
}

fn task() -> TaskId {
    let job = JobId::new("j").expect("valid name");
    TaskId { job, index: 0 }
}

fn outage(outage: Outage) -> Faults {
    Faults {
        outage: Some(outage),
        ..Faults::default()
    }
}

// Guards against changed error texts, which the callers of the clients pass on.
#[test]
fn errors_and_violations_keep_their_texts() {
    block_on(async {
        let platform = MemoryPlatform::new();
        platform.faults().set(outage(Outage::Refuse));
        let txn = Txn {
            checks: vec![],
            writes: vec![],
        };
        let refused = platform.commit(txn).await.expect_err("refused");
        assert_eq!(
            refused.to_string(),
            "commit at memory: not done: the service is down"
        );
        platform.faults().set(outage(Outage::Silent));
        let lost = ObjectStore::get(&*platform, "o").await.expect_err("lost");
        assert_eq!(
            lost.to_string(),
            "get object at memory: outcome unknown: no answer"
        );

        let fleet = FakeFleet::new(Arc::new(ManualClock::default()));
        let address = SocketAddr::from(([127, 0, 0, 1], 9_000));
        let req = StartRequest {
            pool: Pool::new("p").expect("valid name"),
            epoch: Epoch(1),
            echo_ms: 0,
            runs: vec![(assignment(), Arc::from("{}"))],
        };
        let start = async || {
            let started = fleet.connect(address).start(&req).await;
            started.expect_err("no reply").to_string()
        };
        assert_eq!(
            start().await,
            "start at worker 127.0.0.1:9000: not done: no worker has this address"
        );
        let spec = WorkerSpec {
            id: WorkerId::new("w").expect("valid name"),
            capacity: Resources::new(1, 1, 0),
            usage_lag_ms: 0,
        };
        let worker = fleet.add(address, spec);
        worker.faults().set(outage(Outage::Refuse));
        assert_eq!(
            start().await,
            "start at worker 127.0.0.1:9000: not done: connection refused"
        );
        worker.faults().set(outage(Outage::Silent));
        assert_eq!(
            start().await,
            "start at worker 127.0.0.1:9000: outcome unknown: no answer"
        );
    });
    let overlap = Violation::Overlap {
        task: task(),
        first: Attempt(1),
        second: Attempt(2),
    };
    assert_eq!(
        overlap.to_string(),
        "task j/0 ran twice at once: attempts 1 and 2"
    );
    let repeated = Violation::StartedTwice {
        task: task(),
        attempt: Attempt(1),
    };
    assert_eq!(
        repeated.to_string(),
        "attempt 1 of task j/0 was started twice"
    );
}

fn assignment() -> Assignment {
    Assignment {
        task: task(),
        attempt: Attempt(1),
        worker: WorkerId::new("w").expect("valid name"),
        resources: Resources::new(1, 1, 0),
    }
}
