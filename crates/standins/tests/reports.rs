//! Reports of changes, put together by the owner's copy, against complete reports.

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

/// Part of the reservation by which a reported usage may be off.
const USAGE_STEP_PART: u64 = 16;
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
        // The first incarnation's clock starts at one range; a report tells the current one.
        let clock = self.heartbeat(0, vec![], None).await;
        let run = Assignment {
            task: task(index),
            attempt: Attempt(attempt),
            worker: WorkerId::new("w").expect("valid name"),
            resources: RESERVED,
        };
        let req = StartRequest {
            pool: pool(),
            epoch: Epoch(0),
            echo_ms: clock.clock_ms,
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
    assert_eq!(reply.since, None, "a complete report was asked for");
    let key = |task: ReportedTask| ((task.task.clone(), task.attempt), task);
    reply.tasks.into_iter().map(key).collect()
}

/// Compares everything but the usage, which may be off by less than the step.
fn assert_same(copy: &TaskTable, complete: &TaskTable) {
    let keys = |table: &TaskTable| table.keys().cloned().collect::<Vec<_>>();
    assert_eq!(keys(copy), keys(complete));
    for (key, expected) in complete {
        let found = &copy[key];
        assert_eq!(found.phase, expected.phase, "{key:?}");
        assert_eq!(found.reserved, expected.reserved, "{key:?}");
        assert_eq!(
            found.used.fits_in(&found.reserved),
            expected.used.fits_in(&expected.reserved)
        );
        let off = found.used.milli_cores.abs_diff(expected.used.milli_cores);
        assert!(off < RESERVED.milli_cores / USAGE_STEP_PART, "{key:?}");
    }
}

#[derive(Debug, Clone)]
enum Step {
    Start {
        index: u32,
        attempt: u32,
        run_ms: Option<u64>,
        cores: u64,
    },
    Stop {
        index: u32,
        attempt: u32,
    },
    Advance {
        ms: u64,
    },
    Restart,
    NextOwner,
    /// A heartbeat whose reply arrives, is lost, or arrives and makes the owner acknowledge all ended runs.
    Report {
        arrives: bool,
        acknowledge: bool,
    },
}

fn steps() -> impl Strategy<Value = Step> {
    let run = (0_u32..6, 1_u32..4);
    prop_oneof![
        4 => (run.clone(), prop::option::of(0_u64..1_500), 0_u64..2_400).prop_map(
            |((index, attempt), run_ms, cores)| Step::Start { index, attempt, run_ms, cores }
        ),
        2 => run.prop_map(|(index, attempt)| Step::Stop { index, attempt }),
        3 => (0_u64..900).prop_map(|ms| Step::Advance { ms }),
        1 => (20_000_u64..30_000).prop_map(|ms| Step::Advance { ms }),
        1 => Just(Step::Restart),
        1 => Just(Step::NextOwner),
        8 => (any::<bool>(), any::<bool>())
            .prop_map(|(arrives, acknowledge)| Step::Report { arrives, acknowledge }),
    ]
}

async fn run(steps: Vec<Step>) {
    let setup = setup();
    let (mut known, mut acknowledged) = (WorkerTaskCache::default(), vec![]);
    for step in steps {
        match step {
            Step::Start {
                index,
                attempt,
                run_ms,
                cores,
            } => {
                let run_ms = run_ms.map_or("null".to_owned(), |ms| ms.to_string());
                let used = format!(r#"{{"milli_cores":{cores},"memory_mib":100}}"#);
                let payload = format!(r#"{{"run_ms":{run_ms},"used":{used}}}"#);
                setup.start(index, attempt, &payload).await;
            }
            Step::Stop { index, attempt } => setup.stop(index, attempt).await,
            Step::Advance { ms } => setup.clock.advance_ms(ms),
            Step::Restart => setup.fleet.worker(address()).expect("worker").restart(),
            Step::NextOwner => known = WorkerTaskCache::default(),
            Step::Report {
                arrives,
                acknowledge,
            } => {
                let sent = std::mem::take(&mut acknowledged);
                let reply = setup.heartbeat(0, sent, known.base()).await;
                if !arrives {
                    continue;
                }
                let copy = known.apply(reply).expect("the reply continues the copy");
                assert_same(&copy, &table(setup.heartbeat(0, vec![], None).await));
                if acknowledge {
                    acknowledged.extend(copy.keys().cloned());
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

    // Guards against a run that the owner takes for ended or for alive although a complete report says otherwise.
    #[test]
    fn changes_add_up_to_a_complete_report(steps in prop::collection::vec(steps(), 1..60)) {
        block_on(run(steps));
    }
}

// Guards against a report of changes that still lists every task.
#[test]
fn an_unchanged_task_is_not_reported_again() {
    block_on(async {
        let setup = setup();
        setup.start(0, 1, "{}").await;
        setup.clock.advance_ms(300);
        let mut known = WorkerTaskCache::default();
        known
            .apply(setup.heartbeat(0, vec![], None).await)
            .expect("complete");
        let reply = setup.heartbeat(0, vec![], known.base()).await;
        assert!(reply.tasks.is_empty() && reply.since.is_some());
        assert_eq!(known.apply(reply).expect("changes").len(), 1);
    });
}

// Guards against a new owner, or one that names a report of another incarnation, that gets only changes.
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
        let known = setup
            .heartbeat(2, vec![], base(first.incarnation, number))
            .await;
        assert_eq!(known.since, Some(number));
    });
}

// Guards against a base older than the removals that the worker remembers, after which a removed run would stay.
#[test]
fn a_base_before_the_remembered_removals_gets_a_complete_report() {
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

// Guards against changes that are applied to another report than the one they count from.
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
    let mut known = WorkerTaskCache::default();
    assert_eq!(
        known.apply(reply(Some(3), Some(2))),
        Err(ReportError::BaseMismatch)
    );
    known.apply(reply(Some(3), None)).expect("complete");
    assert_eq!(
        known.apply(reply(Some(5), Some(4))),
        Err(ReportError::BaseMismatch)
    );
    assert_eq!(known.base(), None);
    known.apply(reply(Some(6), None)).expect("complete");
    assert_eq!(
        known.apply(reply(Some(5), Some(6))),
        Err(ReportError::InvalidNumber)
    );
    known.apply(reply(None, None)).expect("complete");
    assert_eq!(known.base(), None);
}
