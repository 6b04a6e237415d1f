//! Worker stand-in: lease, epoch fence, capacity, repeated start requests and the check of the run history.

use {
    ragwortreel_model::{
        Assignment, Attempt, Epoch, JobId, ManualClock, Pool, Resources, TaskId, TaskResult,
        WorkerId,
    },
    ragwortreel_runtime::block_on,
    ragwortreel_standins::{FakeFleet, Violation, WorkerSpec},
    ragwortreel_worker::{
        HeartbeatRequest, StartRequest, TASK_LEASE_MS, TaskCommand, TaskPhase, WorkerClient,
        WorkerConnector, WorkerError,
    },
    std::{net::SocketAddr, sync::Arc},
};

struct Setup {
    fleet: FakeFleet,
    clock: Arc<ManualClock>,
}

fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + index))
}

fn worker_id(index: u16) -> WorkerId {
    WorkerId::new(&format!("w{index}")).expect("valid name")
}

fn setup() -> Setup {
    let clock = Arc::new(ManualClock::default());
    let fleet = FakeFleet::new(Arc::clone(&clock) as _);
    for index in 0..2 {
        let spec = WorkerSpec {
            id: worker_id(index),
            capacity: Resources::new(2_000, 2_048, 0),
            usage_lag_ms: 500,
        };
        fleet.add(address(index), spec);
    }
    Setup { fleet, clock }
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: JobId::new("j").expect("valid name"),
        index,
    }
}

fn heartbeat(epoch: u64, echo_ms: Option<u64>) -> HeartbeatRequest {
    HeartbeatRequest {
        pool: Pool::new("p").expect("valid name"),
        epoch: Epoch(epoch),
        echo_ms,
        acknowledged: vec![],
        base: None,
    }
}

fn start(worker: u16, tasks: &[(u32, u32)], echo_ms: u64, payload: &str) -> StartRequest {
    let runs = tasks.iter().map(|(index, attempt)| {
        let run = Assignment {
            task: task(*index),
            attempt: Attempt(*attempt),
            worker: worker_id(worker),
            resources: Resources::new(1_000, 1_024, 0),
        };
        (run, Arc::from(payload))
    });
    StartRequest {
        pool: Pool::new("p").expect("valid name"),
        epoch: Epoch(1),
        echo_ms,
        runs: runs.collect(),
    }
}

fn command(index: u32, attempt: u32) -> TaskCommand {
    TaskCommand {
        pool: Pool::new("p").expect("valid name"),
        epoch: Epoch(1),
        task: task(index),
        attempt: Attempt(attempt),
    }
}

async fn clock_of(client: &Arc<dyn WorkerClient>) -> u64 {
    let report = client.heartbeat(&heartbeat(1, None)).await;
    report.expect("report").clock_ms
}

// Guards against a delayed heartbeat that extends the lease beyond the end that the owner assumes. The lease must count
// from the echoed clock value, not from the arrival of the heartbeat.
#[test]
fn the_lease_counts_from_the_echoed_clock() {
    block_on(async {
        let Setup { fleet, clock } = setup();
        let client = fleet.connect(address(0));
        let echo_ms = clock_of(&client).await;
        let started = client.start(&start(0, &[(0, 1)], echo_ms, "{}")).await;
        assert_eq!(started.expect("start").taken, [true]);

        clock.advance_ms(9_000);
        let late = client.heartbeat(&heartbeat(1, Some(echo_ms))).await;
        assert_eq!(late.expect("report").tasks[0].phase, TaskPhase::Running);
        clock.advance_ms(1_000);
        let report = client.heartbeat(&heartbeat(1, None)).await.expect("report");
        let result = TaskResult::Lost;
        assert_eq!(report.tasks[0].phase, TaskPhase::Ended { result });
        let ended = fleet.history().runs()[0].ended;
        assert_eq!(ended, Some((TASK_LEASE_MS, TaskResult::Lost)));
    });
}

// Guards against a restarted worker that accepts a clock value echoed from its previous incarnation: its lease would
// end later than the owner assumes.
#[test]
fn a_start_with_an_echo_of_an_earlier_incarnation_is_refused() {
    block_on(async {
        let Setup { fleet, .. } = setup();
        let client = fleet.connect(address(0));
        let echo_ms = clock_of(&client).await;
        fleet.worker(address(0)).expect("worker").restart();
        let started = client.start(&start(0, &[(0, 1)], echo_ms, "{}")).await;
        assert_eq!(started.expect("start").taken, [false]);
    });
}

// Guards against a worker that executes commands of a replaced owner.
#[test]
fn a_lower_epoch_is_fenced() {
    block_on(async {
        let Setup { fleet, .. } = setup();
        let client = fleet.connect(address(0));
        client.heartbeat(&heartbeat(3, None)).await.expect("report");
        let old = client.heartbeat(&heartbeat(2, None)).await;
        assert!(matches!(
            old,
            Err(WorkerError::Fenced { seen: Epoch(3), .. })
        ));
    });
}

// Guards against a worker that accepts runs beyond its capacity, and a repeated start request that runs a task twice.
#[test]
fn capacity_is_never_exceeded_and_repeated_starts_run_once() {
    block_on(async {
        let Setup { fleet, .. } = setup();
        let client = fleet.connect(address(0));
        let echo_ms = clock_of(&client).await;
        let req = start(0, &[(0, 1), (1, 1), (2, 1)], echo_ms, "{}");
        let started = client.start(&req).await.expect("start");
        assert_eq!(started.taken, [true, true, false]);
        let again = client.start(&req).await.expect("start");
        assert_eq!(again.taken, [true, true, false]);
        assert_eq!(fleet.history().runs().len(), 2);
        assert_eq!(
            fleet.worker(address(0)).expect("worker").free(),
            Resources::ZERO
        );
    });
}

// Guards against a run that starts after it was stopped, because its start request was delayed: the owner treats the
// reply to the stop as proof that the run has ended.
#[test]
fn a_start_after_its_stop_is_refused() {
    block_on(async {
        let Setup { fleet, .. } = setup();
        let client = fleet.connect(address(0));
        let echo_ms = clock_of(&client).await;
        client.stop(&command(0, 1)).await.expect("stop");
        let late = client.start(&start(0, &[(0, 1)], echo_ms, "{}")).await;
        assert_eq!(late.expect("start").taken, [false]);
        let next = client.start(&start(0, &[(0, 2)], echo_ms, "{}")).await;
        assert_eq!(next.expect("start").taken, [true]);
    });
}

// Guards against a worker that discards an ended run before the owner has recorded it, and a repeated start request
// that runs an acknowledged run again.
#[test]
fn ended_runs_are_reported_until_acknowledged() {
    block_on(async {
        let Setup { fleet, clock } = setup();
        let client = fleet.connect(address(0));
        let echo_ms = clock_of(&client).await;
        let payload = r#"{"run_ms":200,"fail":true}"#;
        let req = start(0, &[(0, 1)], echo_ms, payload);
        client.start(&req).await.expect("start");
        clock.advance_ms(250);
        let report = client.heartbeat(&heartbeat(1, None)).await.expect("report");
        let result = TaskResult::Failed;
        assert_eq!(report.tasks[0].phase, TaskPhase::Ended { result });
        let mut acknowledge = heartbeat(1, None);
        acknowledge.acknowledged = vec![(task(0), Attempt(1))];
        let report = client.heartbeat(&acknowledge).await.expect("report");
        assert!(report.tasks.is_empty());
        let repeat = client.start(&req).await.expect("start");
        assert_eq!(repeat.taken, [true]);
        assert_eq!(fleet.history().runs().len(), 1);
    });
}

// Guards against usage that is reported before the configured lag, and a throttled run that exceeds its reservation.
#[test]
fn usage_is_reported_after_the_lag_and_throttled_to_the_reservation() {
    block_on(async {
        let Setup { fleet, clock } = setup();
        let client = fleet.connect(address(0));
        let echo_ms = clock_of(&client).await;
        let payload = r#"{"used":{"milli_cores":1500,"memory_mib":100}}"#;
        let started = client.start(&start(0, &[(0, 1)], echo_ms, payload)).await;
        started.expect("start");
        let report = client.heartbeat(&heartbeat(1, None)).await.expect("report");
        assert_eq!(report.tasks[0].used, Resources::ZERO);
        clock.advance_ms(500);
        let report = client.heartbeat(&heartbeat(1, None)).await.expect("report");
        assert_eq!(report.tasks[0].used.milli_cores, 1_500);
        client.throttle(&command(0, 1)).await.expect("throttle");
        let report = client.heartbeat(&heartbeat(1, None)).await.expect("report");
        assert_eq!(report.tasks[0].used.milli_cores, 1_000);
    });
}

// Guards against a history check that misses a task that runs on two workers at once.
#[test]
fn the_history_check_finds_an_overlap() {
    block_on(async {
        let Setup { fleet, clock } = setup();
        for (worker, attempt) in [(0, 1), (1, 2)] {
            let client = fleet.connect(address(worker));
            let echo_ms = clock_of(&client).await;
            let req = start(worker, &[(0, attempt)], echo_ms, "{}");
            client.start(&req).await.expect("start");
            clock.advance_ms(100);
        }
        let overlap = Violation::Overlap {
            task: task(0),
            first: Attempt(1),
            second: Attempt(2),
        };
        assert_eq!(fleet.violations(), [overlap]);
    });
}
