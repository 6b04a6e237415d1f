//! HTTP servers of the stand-ins: backend server, control endpoints and configuration.

use {
    ragwortreel_http::{Client, ClientError, ClientLimits, Request, Response, parse_json},
    ragwortreel_model::{Epoch, InstanceId, Pool, ServiceName, Workspace, Zone},
    ragwortreel_platform::{InstanceList, ListedRole},
    ragwortreel_runtime::{block_on, sleep_ms, spawn},
    ragwortreel_standins::{
        Backend, BackendCounts, BackendSpec, FAULTS_PATH, Faults, ServerHandle, StandinConfig,
        Standins, backend::serve_backend,
    },
    ragwortreel_worker::{HeartbeatRequest, WorkerConnector},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

struct Setup {
    backend: Arc<Backend>,
    server: ServerHandle,
    client: Arc<Client>,
}

fn setup() -> Setup {
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
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = serve_backend(any_port, Arc::clone(&backend)).expect("listen");
    Setup {
        backend,
        server,
        client: Arc::new(Client::new(ClientLimits::default())),
    }
}

impl Setup {
    async fn send(&self, req: Request) -> Result<Response, ClientError> {
        let deadline = Instant::now() + Duration::from_millis(500);
        self.client.send(self.server.addr(), req, deadline).await
    }
}

// Guards against a response that cannot be matched to its request, and a request without a complete record.
#[test]
fn a_backend_server_echoes_the_nonce_and_records_the_request() {
    block_on(async {
        let setup = setup();
        let req = Request::post("/long/x?work_ms=30&bytes=100", "body")
            .with_header("idempotency-key", "k1")
            .with_header("x-nonce", "n1");
        let response = setup.send(req).await.expect("response");
        assert_eq!(response.headers.get("x-nonce"), Some("n1"));
        assert!(response.body.len() > 100);
        let records = setup.backend.records();
        let record = &records[0];
        assert_eq!(record.idempotency_key.as_deref(), Some("k1"));
        assert_eq!(&*record.class, "long");
        assert!(record.ended_ms.expect("ended") >= record.started_ms + 30);
    });
}

// Guards against load beyond the limits of slots and connections that is not counted.
#[test]
fn slots_and_connections_beyond_the_limits_are_counted() {
    block_on(async {
        let setup = setup();
        let addr = setup.server.addr();
        let tasks: Vec<_> = (0..4)
            .map(|_| {
                let client = Arc::clone(&setup.client);
                let deadline = Instant::now() + Duration::from_secs(2);
                let req = Request::get("/short?work_ms=100");
                spawn(async move { client.send(addr, req, deadline).await })
            })
            .collect();
        for task in tasks {
            task.await.expect("response");
        }
        let counts = setup.backend.counts();
        assert_eq!((counts.max_slots, counts.slots_over_limit), (4, 2));
        assert_eq!(
            (counts.max_connections, counts.connections_over_limit),
            (4, 1)
        );
        assert_eq!(counts.slots, 0);
    });
}

// Guards against requests after the start of a drain that are not counted.
#[test]
fn requests_after_the_drain_are_counted() {
    block_on(async {
        let setup = setup();
        setup.send(Request::get("/short")).await.expect("response");
        let drained = setup.send(Request::post("/standin/drain", "")).await;
        assert_eq!(drained.expect("response").status, 200);
        sleep_ms(20).await;
        setup.send(Request::get("/short")).await.expect("response");
        let counts = setup.send(Request::get("/standin/counts")).await;
        let counts = counts.expect("response").body;
        let counts: BackendCounts = parse_json(&counts, 10_000).expect("json");
        assert_eq!(counts.requests_after_drain, 1);
        assert!(counts.last_request_after_drain_ms >= Some(20));
    });
}

// Guards against faults that the control endpoint fails to set, and faults that persist after they are cleared.
#[test]
fn the_control_endpoint_sets_the_faults() {
    block_on(async {
        let setup = setup();
        let set = |json: &'static str| setup.send(Request::post(FAULTS_PATH, json));
        assert_eq!(set(r#"{"unknown":1}"#).await.expect("response").status, 400);
        set(r#"{"failed_requests_ppm":1000000}"#)
            .await
            .expect("response");
        let failed = setup.send(Request::get("/short")).await;
        assert_eq!(failed.expect("response").status, 500);
        set(r#"{"truncated_ppm":1000000}"#).await.expect("response");
        assert!(setup.send(Request::get("/short")).await.is_err());
        set(r#"{"outage":"refuse"}"#).await.expect("response");
        assert!(setup.send(Request::get("/short")).await.is_err());
        set(r#"{"lost_answers_ppm":1000000}"#)
            .await
            .expect("response");
        let before = setup.backend.counts().requests;
        assert!(setup.send(Request::get("/short")).await.is_err());
        assert_eq!(setup.backend.counts().requests, before + 1);
        set("{}").await.expect("response");
        assert_eq!(setup.backend.faults().current(), Faults::default());
        assert!(setup.send(Request::get("/short")).await.is_ok());
    });
}

// Guards against a silenced connection that still responds, and a new connection that is silenced too.
#[test]
fn open_connections_are_silenced_and_new_ones_work() {
    block_on(async {
        let setup = setup();
        setup.send(Request::get("/short")).await.expect("response");
        let silence = r#"{"silence_open_connections":true}"#;
        // This response still arrives; the connection is silenced for later requests.
        setup
            .send(Request::post(FAULTS_PATH, silence))
            .await
            .expect("response");
        assert!(setup.send(Request::get("/short")).await.is_err());
        assert!(setup.send(Request::get("/short")).await.is_ok());
    });
}

// Guards against configured instances that are missing from the instance list of the platform.
#[test]
fn the_instance_list_contains_the_configured_workers_and_backend_servers() {
    let json = r#"{
        "platform": {"listen": "127.0.0.1:0"},
        "workers": [{"listen": "127.0.0.1:0", "zone": "riga-a", "rack": "r1",
            "worker": {"id": "w1", "capacity": {"milli_cores": 32000, "memory_mib": 131072}}}],
        "backends": [{"listen": "127.0.0.1:0", "backend": {"id": "b1", "zone": "riga-a",
            "workspace": "alpha", "service": "quotes", "classes": {"short": {"ms": 5}}}}]
    }"#;
    let cfg: StandinConfig = serde_json::from_str(json).expect("configuration");
    block_on(async {
        let standins = Standins::start(&cfg).expect("start");
        let platform = standins.platform.as_ref().expect("platform");
        let list = platform.state.list().await.expect("list");
        assert_eq!(list.len(), 2);
        let worker = list.iter().find(|listed| listed.id.as_str() == "w1");
        let worker = worker.expect("listed worker");
        assert!(matches!(worker.role, ListedRole::Worker { .. }));
        assert_eq!(worker.address, standins.workers[0].server.addr());
    });
}

// Guards against a worker that accepts a clock value echoed from a worker of an earlier process: its lease would end
// later than the owner assumes.
#[test]
fn workers_of_two_processes_have_different_incarnations() {
    let json = r#"{"workers": [{"listen": "127.0.0.1:0", "zone": "riga-a", "rack": "r1",
        "worker": {"id": "w1", "capacity": {"milli_cores": 32000, "memory_mib": 131072}}}]}"#;
    let cfg: StandinConfig = serde_json::from_str(json).expect("configuration");
    let incarnation = || {
        let standins = Standins::start(&cfg).expect("start");
        let client = standins.fleet.connect(standins.workers[0].server.addr());
        let heartbeat = HeartbeatRequest {
            pool: Pool::new("p").expect("valid name"),
            epoch: Epoch(1),
            echo_ms: None,
            acknowledged: vec![],
            base: None,
        };
        let report = block_on(client.heartbeat(&heartbeat)).expect("report");
        (report.incarnation, report.clock_ms)
    };
    let ((first, clock), (second, other_clock)) = (incarnation(), incarnation());
    assert_ne!(first, second);
    assert!(clock.abs_diff(other_clock) > 1 << 31);
}
