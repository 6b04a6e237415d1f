//! The HTTP client against the fake worker over a TCP socket.

use {
    ragwortreel_http::{Client, ClientLimits, Request, parse_json},
    ragwortreel_model::{
        Assignment, Attempt, Epoch, JobId, Pool, Resources, TaskId, TaskResult, WorkerId, Zone,
    },
    ragwortreel_runtime::{block_on, discard_logger, future},
    ragwortreel_standins::{
        FakeFleet, FakeWorker, Faults, Outage, ServerHandle, WorkerSpec,
        worker::{RunRecord, serve_worker},
    },
    ragwortreel_worker::{
        HeartbeatRequest, HttpWorkerConnector, StartRequest, TaskCommand, WorkerClient,
        WorkerConnector, WorkerError, WorkerTimeouts,
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

struct Setup {
    worker: Arc<FakeWorker>,
    fleet: FakeFleet,
    client: Arc<dyn WorkerClient>,
    server: ServerHandle,
}

fn setup() -> Setup {
    let fleet = FakeFleet::default();
    let worker = fleet.create(WorkerSpec {
        id: WorkerId::new("w").expect("valid name"),
        capacity: Resources::new(4_000, 4_096, 0),
        usage_lag_ms: 0,
    });
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server =
        serve_worker(any, Arc::clone(&worker)).expect("the fake worker should start listening");
    fleet.insert(server.addr(), Arc::clone(&worker));
    let timeouts = WorkerTimeouts {
        heartbeat: Duration::from_millis(200),
        command: Duration::from_millis(200),
    };
    let zone = Zone::new("riga-a").expect("valid name");
    let connector = HttpWorkerConnector::new(zone, timeouts, discard_logger());
    let client = connector.connect(server.addr());
    Setup {
        worker,
        fleet,
        client,
        server,
    }
}

fn heartbeat(epoch: u64) -> HeartbeatRequest {
    HeartbeatRequest {
        pool: Pool::new("p").expect("valid name"),
        epoch: Epoch(epoch),
        echo_ms: None,
        acknowledged: vec![],
        base: None,
    }
}

fn command() -> TaskCommand {
    let HeartbeatRequest { pool, epoch, .. } = heartbeat(1);
    TaskCommand {
        pool,
        epoch,
        task: TaskId {
            job: JobId::new("j").expect("valid name"),
            index: 0,
        },
        attempt: Attempt(1),
    }
}

fn start(echo_ms: u64) -> StartRequest {
    let TaskCommand {
        pool,
        epoch,
        task,
        attempt,
    } = command();
    let run = Assignment {
        task,
        attempt,
        worker: WorkerId::new("w").expect("valid name"),
        resources: Resources::new(1_000, 1_024, 0),
    };
    StartRequest {
        pool,
        epoch,
        echo_ms,
        runs: vec![(run, Arc::from("{}"))],
    }
}

// Guards against messages that client and worker serialize differently.
#[test]
fn commands_and_reports_are_exchanged_over_http() {
    block_on(async {
        let Setup {
            client,
            worker,
            server: _server,
            ..
        } = setup();
        let report = client
            .heartbeat(&heartbeat(1))
            .await
            .expect("the heartbeat should succeed");
        let started = client
            .start(&start(report.clock_ms))
            .await
            .expect("the start should succeed");
        assert_eq!(started.taken, [true]);
        let report = client
            .heartbeat(&heartbeat(1))
            .await
            .expect("the heartbeat should succeed");
        assert_eq!((report.tasks.len(), worker.running()), (1, 1));
        client
            .throttle(&command())
            .await
            .expect("the throttle should succeed");
        client
            .checkpoint(&command())
            .await
            .expect("the checkpoint should succeed");
        client
            .stop(&command())
            .await
            .expect("the stop should succeed");
        assert_eq!(worker.running(), 0);
    });
}

// Guards against a command that is reported as not done although it took effect, and the reverse.
#[test]
fn failures_are_classified_as_not_done_unknown_or_fenced() {
    block_on(async {
        let Setup {
            client,
            worker,
            fleet,
            server,
        } = setup();
        let report = client
            .heartbeat(&heartbeat(1))
            .await
            .expect("the heartbeat should succeed");

        worker.faults().update(|f| f.outage = Some(Outage::Refuse));
        let refused = client.start(&start(report.clock_ms)).await;
        assert!(
            matches!(refused, Err(WorkerError::NotDone { .. })),
            "{refused:?}"
        );

        worker.faults().set(Faults {
            lost_answers_ppm: 1_000_000,
            ..Faults::default()
        });
        let lost = client.start(&start(report.clock_ms)).await;
        assert!(matches!(lost, Err(WorkerError::Unknown { .. })), "{lost:?}");
        assert_eq!(fleet.history().runs().len(), 1);

        worker.faults().set(Faults {
            truncated_ppm: 1_000_000,
            ..Faults::default()
        });
        let cut = client.heartbeat(&heartbeat(1)).await;
        assert!(matches!(cut, Err(WorkerError::Unknown { .. })), "{cut:?}");

        worker.faults().clear();
        client
            .heartbeat(&heartbeat(5))
            .await
            .expect("the heartbeat should succeed");
        let fenced = client.stop(&command()).await;
        let seen = Epoch(5);
        assert!(
            matches!(fenced, Err(WorkerError::Fenced { seen: s, epoch: Epoch(1), .. }) if s == seen)
        );

        server.stop();
        loop {
            // `stop` returns before the listening socket is closed.
            let after_stop = client.heartbeat(&heartbeat(5)).await;
            if matches!(after_stop, Err(WorkerError::NotDone { .. })) {
                break;
            }
        }
    });
}

// Guards against a lease that expires because heartbeats time out on several hung connections, one after the other.
#[test]
fn hung_connections_are_replaced_after_one_timeout() {
    block_on(async {
        let Setup {
            client,
            worker,
            server: _server,
            ..
        } = setup();
        // Two concurrent calls leave two idle connections.
        worker.faults().update(|f| f.latency_ms = 30);
        let (first, second) = (heartbeat(1), heartbeat(1));
        let both = future::zip(client.heartbeat(&first), client.heartbeat(&second)).await;
        assert!(both.0.is_ok() && both.1.is_ok());
        worker.faults().set(Faults {
            silence_open_connections: true,
            ..Faults::default()
        });
        let timed_out = client.heartbeat(&heartbeat(1)).await;
        assert!(matches!(timed_out, Err(WorkerError::Unknown { .. })));
        client
            .heartbeat(&heartbeat(1))
            .await
            .expect("the heartbeat should succeed");
    });
}

// Guards against control endpoints that omit runs or do not restart the worker: checks of a fake worker in another
// process read its runs over HTTP.
#[test]
fn control_endpoints_list_runs_and_restart_the_worker() {
    block_on(async {
        let Setup {
            client,
            worker,
            server,
            ..
        } = setup();
        let report = client
            .heartbeat(&heartbeat(1))
            .await
            .expect("the heartbeat should succeed");
        client
            .start(&start(report.clock_ms))
            .await
            .expect("the start should succeed");
        let control = Client::new(ClientLimits::default());
        let deadline = Instant::now() + Duration::from_secs(1);
        let restart = Request::post("/standin/restart", "");
        let done = control.send(server.addr(), restart, deadline).await;
        assert_eq!(
            done.expect("the control request should succeed").status,
            204
        );
        let runs = Request::get("/standin/runs");
        let runs = control.send(server.addr(), runs, deadline).await;
        let runs = runs.expect("the control request should succeed").body;
        let runs: Vec<RunRecord> =
            parse_json(&runs, 10_000).expect("the runs should be valid JSON");
        assert_eq!(
            runs[0].ended.expect("the run should have ended").1,
            TaskResult::Lost
        );
        assert_eq!(worker.running(), 0);
        let again = client
            .heartbeat(&heartbeat(1))
            .await
            .expect("the heartbeat should succeed");
        assert_ne!(again.incarnation, report.incarnation);
    });
}
