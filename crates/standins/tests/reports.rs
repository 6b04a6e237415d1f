//! Heartbeat reports that list only changes: the cache that the owner builds from them must match a complete report.

use {
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    ragwortreel_model::{
        Assignment, Attempt, Clock, Epoch, JobId, ManualClock, Pool, Resources, TaskId, WorkerId,
    },
    ragwortreel_runtime::block_on,
    ragwortreel_standins::{FakeFleet, WorkerSpec},
    ragwortreel_worker::{
        HeartbeatReply, HeartbeatRequest, ReportBase, ReportError, ReportedTask, StartRequest,
        TaskCommand, TaskTable, WorkerClient, WorkerConnector, WorkerTaskCache,
    },
    std::{net::SocketAddr, sync::Arc},
};

/// The reported CPU usage may differ from the actual one by less than the reservation divided by this number.
const USAGE_STEP_DIVISOR: u64 = 16;
const RESERVED: Resources = Resources::new(1_600, 1_600, 0);

struct Setup {
    fleet: FakeFleet,
    clock: Arc<ManualClock>,
    client: Arc<dyn WorkerClient>,
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000))
}

fn setup() -> Setup {
    let clock = Arc::new(ManualClock::default());
    let fleet = FakeFleet::new(Arc::clone(&clock) as _);
    let spec = WorkerSpec {
        id: WorkerId::new("w").expect("valid name"),
        capacity: Resources::new(1_000_000, 1_000_000, 0),
        usage_lag_ms: 300,
    };
    fleet.add(address(), spec);
    let client = fleet.connect(address());
    Setup {
        fleet,
        clock,
        client,
    }
}

fn pool() -> Pool {
    Pool::new("p").expect("valid name")
}

fn task(index: u32) -> TaskId {
    let job = JobId::new("j").expect("valid name");
    TaskId { job, index }
}

impl Setup {
    async fn heartbeat(
        &self,
        epoch: u64,
        acknowledged: Vec<(TaskId, Attempt)>,
        base: Option<ReportBase>,
    ) -> HeartbeatReply {
        let req = HeartbeatRequest {
            pool: pool(),
            epoch: Epoch(epoch),
            echo_ms: None,
            acknowledged,
            base,
        };
        self.client.heartbeat(&req).await.expect("report")
    }

    async fn start(&self, index: u32, attempt: u32, payload: &str) {
        // A start must echo a clock value of the current incarnation, which only a report contains.
        let report = self.heartbeat(0, vec![], None).await;
        let run = Assignment {
            task: task(index),
            attempt: Attempt(attempt),
            worker: WorkerId::new("w").expect("valid name"),
            resources: RESERVED,
        };
        let req = StartRequest {
            pool: pool(),
            epoch: Epoch(0),
            echo_ms: report.clock_ms,
            runs: vec![(run, Arc::from(payload))],
        };
        self.client.start(&req).await.expect("start");
    }

    async fn stop(&self, index: u32, attempt: u32) {
        let req = TaskCommand {
            pool: pool(),
            epoch: Epoch(0),
            task: task(index),
            attempt: Attempt(attempt),
        };
        self.client.stop(&req).await.expect("stop");
    }
}

fn table(reply: HeartbeatReply) -> TaskTable {
    assert_eq!(reply.since, None, "expected a complete report");
    let to_entry = |task: ReportedTask| ((task.task.clone(), task.attempt), task);
    reply.tasks.into_iter().map(to_entry).collect()
}

/// Compares the cached tasks with a complete report; the CPU usage may differ by less than the reporting step.
fn assert_same_tasks(cached: &TaskTable, complete: &TaskTable) {
    let keys = |table: &TaskTable| table.keys().cloned().collect::<Vec<_>>();
    assert_eq!(keys(cached), keys(complete));
    for (key, expected) in complete {
        let found = &cached[key];
        assert_eq!(found.phase, expected.phase, "{key:?}");
        assert_eq!(found.reserved, expected.reserved, "{key:?}");
        assert_eq!(
            found.used.fits_in(&found.reserved),
            expected.used.fits_in(&expected.reserved)
        );
        let difference = found.used.milli_cores.abs_diff(expected.used.milli_cores);
        assert!(
            difference < RESERVED.milli_cores / USAGE_STEP_DIVISOR,
            "{key:?}"
        );
    }
}

#[derive(Debug, Clone)]
enum Step {
    Start {
        index: u32,
        attempt: u32,
        run_ms: Option<u64>,
        milli_cores: u64,
    },
    Stop {
        index: u32,
        attempt: u32,
    },
    Advance {
        ms: u64,
    },
    Restart,
    ChangeOwner,
    /// A heartbeat whose reply may be lost. With `acknowledge`, the next heartbeat acknowledges all reported runs.
    Report {
        arrives: bool,
        acknowledge: bool,
    },
}

fn steps() -> impl Strategy<Value = Step> {
    let run = (0_u32..6, 1_u32..4);
    prop_oneof![
        4 => (run.clone(), prop::option::of(0_u64..1_500), 0_u64..2_400).prop_map(
            |((index, attempt), run_ms, milli_cores)| {
                Step::Start { index, attempt, run_ms, milli_cores }
            }
        ),
        2 => run.prop_map(|(index, attempt)| Step::Stop { index, attempt }),
        3 => (0_u64..900).prop_map(|ms| Step::Advance { ms }),
        1 => (20_000_u64..30_000).prop_map(|ms| Step::Advance { ms }),
        1 => Just(Step::Restart),
        1 => Just(Step::ChangeOwner),
        8 => (any::<bool>(), any::<bool>())
            .prop_map(|(arrives, acknowledge)| Step::Report { arrives, acknowledge }),
    ]
}

async fn run(steps: Vec<Step>) {
    let setup = setup();
    let (mut cache, mut acknowledged) = (WorkerTaskCache::default(), vec![]);
    for step in steps {
        match step {
            Step::Start {
                index,
                attempt,
                run_ms,
                milli_cores,
            } => {
                let run_ms = run_ms.map_or("null".to_owned(), |ms| ms.to_string());
                let used = format!(r#"{{"milli_cores":{milli_cores},"memory_mib":100}}"#);
                let payload = format!(r#"{{"run_ms":{run_ms},"used":{used}}}"#);
                setup.start(index, attempt, &payload).await;
            }
            Step::Stop { index, attempt } => setup.stop(index, attempt).await,
            Step::Advance { ms } => setup.clock.advance_ms(ms),
            Step::Restart => setup.fleet.worker(address()).expect("worker").restart(),
            Step::ChangeOwner => cache = WorkerTaskCache::default(),
            Step::Report {
                arrives,
                acknowledge,
            } => {
                let sent = std::mem::take(&mut acknowledged);
                let reply = setup.heartbeat(0, sent, cache.base()).await;
                if !arrives {
                    continue;
                }
                let cached = cache
                    .apply(reply)
                    .expect("reply applies to the cached report");
                assert_same_tasks(&cached, &table(setup.heartbeat(0, vec![], None).await));
                if acknowledge {
                    acknowledged.extend(cached.keys().cloned());
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..Config::default()
    })]

    // Guards against a cache that differs from a complete report after a sequence of reports of changes, such as one
    // that lacks a run or keeps an ended run in progress.
    #[test]
    fn accumulated_changes_equal_a_complete_report(steps in prop::collection::vec(steps(), 1..60)) {
        block_on(run(steps));
    }
}

// Guards against a report of changes that also lists unchanged tasks.
#[test]
fn an_unchanged_task_is_not_reported_again() {
    block_on(async {
        let setup = setup();
        setup.start(0, 1, "{}").await;
        setup.clock.advance_ms(300);
        let mut cache = WorkerTaskCache::default();
        cache
            .apply(setup.heartbeat(0, vec![], None).await)
            .expect("complete");
        let reply = setup.heartbeat(0, vec![], cache.base()).await;
        assert!(reply.tasks.is_empty() && reply.since.is_some());
        assert_eq!(cache.apply(reply).expect("changes").len(), 1);
    });
}

// Guards against a report of only changes to a new owner, or to one whose base is from another incarnation or has a
// number that the worker never sent.
#[test]
fn a_first_report_under_an_epoch_is_complete() {
    block_on(async {
        let setup = setup();
        let first = setup.heartbeat(1, vec![], None).await;
        let base = |incarnation, number| {
            Some(ReportBase {
                incarnation,
                number,
            })
        };
        let number = first.number.expect("number");
        let next_owner = setup
            .heartbeat(2, vec![], base(first.incarnation, number))
            .await;
        assert_eq!(next_owner.since, None);
        let number = next_owner.number.expect("number");
        let other = setup
            .heartbeat(2, vec![], base(first.incarnation + 1, number))
            .await;
        assert_eq!(other.since, None);
        let later = setup
            .heartbeat(2, vec![], base(first.incarnation, u64::MAX))
            .await;
        assert_eq!(later.since, None);
        let changes = setup
            .heartbeat(2, vec![], base(first.incarnation, number))
            .await;
        assert_eq!(changes.since, Some(number));
    });
}

// Guards against a report of changes since a base that is older than the removals that the worker keeps: the owner
// would never drop the runs whose removal is missing.
#[test]
fn a_base_older_than_the_kept_removals_gets_a_complete_report() {
    block_on(async {
        let setup = setup();
        let base = setup.heartbeat(0, vec![], None).await;
        let base = ReportBase {
            incarnation: base.incarnation,
            number: base.number.expect("number"),
        };
        for index in 0..300 {
            setup.start(index, 1, "{}").await;
            setup.stop(index, 1).await;
            setup
                .heartbeat(0, vec![(task(index), Attempt(1))], None)
                .await;
        }
        assert_eq!(setup.heartbeat(0, vec![], Some(base)).await.since, None);
    });
}

// Guards against a cache that applies changes since one report to a different report.
#[test]
fn changes_since_another_report_are_refused() {
    let reply = |number, since| HeartbeatReply {
        worker: WorkerId::new("w").expect("valid name"),
        incarnation: 1,
        clock_ms: ManualClock::default().now_ms(),
        number,
        since,
        forgotten: vec![],
        tasks: vec![],
    };
    let mut cache = WorkerTaskCache::default();
    assert_eq!(
        cache.apply(reply(Some(3), Some(2))),
        Err(ReportError::BaseMismatch)
    );
    cache.apply(reply(Some(3), None)).expect("complete");
    assert_eq!(
        cache.apply(reply(Some(5), Some(4))),
        Err(ReportError::BaseMismatch)
    );
    assert_eq!(cache.base(), None);
    cache.apply(reply(Some(6), None)).expect("complete");
    assert_eq!(
        cache.apply(reply(Some(5), Some(6))),
        Err(ReportError::InvalidNumber)
    );
    cache.apply(reply(None, None)).expect("complete");
    assert_eq!(cache.base(), None);
}
