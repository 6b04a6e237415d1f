//! At-most-once claims: histories of concurrent instances on a faulty table, and single cases.

use {
    async_trait::async_trait,
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed, TestRunner},
    },
    ragwortreel_model::{Workspace, Zone},
    ragwortreel_platform::{
        HttpPlatform, PlatformError, ResilientConfig, ResilientTable, Row, TableService, Txn,
        TxnOutcome,
        idempotency::{
            Claim, ClaimOutcome, FinalizeOutcome, IdempotencyClaims, MAX_STORED_BODY_BYTES,
            StoredResponse, request_digest, sweep,
        },
    },
    ragwortreel_runtime::{block_on, discard_logger, sleep_ms, spawn, timeout_ms},
    ragwortreel_standins::{Faults, Limits, MemoryPlatform, Outage, platform::serve_platform},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

const DIGEST: &str = "d";

fn workspace() -> Workspace {
    Workspace::new("alpha").expect("valid name")
}

fn soon(limit_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(limit_ms)
}

fn answer(body: &str) -> StoredResponse {
    StoredResponse {
        status: 200,
        headers: vec![],
        body: body.as_bytes().to_vec(),
    }
}

fn claims(table: &Arc<MemoryPlatform>, holder: &str) -> IdempotencyClaims {
    IdempotencyClaims::new(Arc::clone(table) as _, holder, discard_logger())
}

async fn must_run(claims: &IdempotencyClaims, key: &str) -> Claim {
    match claims.claim(&workspace(), key, DIGEST, soon(1_000)).await {
        ClaimOutcome::Run(claim) => claim,
        other => panic!("expected to run, got {other:?}"),
    }
}

/// What a caller saw and what the backend server did; a token names one call of one caller.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Event {
    Executed { key: usize, token: u64 },
    ToldNotRun { key: usize, token: u64 },
    Replayed { key: usize, body: String },
}

/// Breaches that a history shows.
fn check(history: &[Event]) -> Vec<String> {
    let mut executions: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
    for event in history {
        if let Event::Executed { key, token } = event {
            executions.entry(*key).or_default().push(*token);
        }
    }
    let mut found = Vec::new();
    for (key, tokens) in &executions {
        if tokens.len() > 1 {
            found.push(format!("key {key} ran {} times", tokens.len()));
        }
    }
    for event in history {
        let tokens = |key: &usize| executions.get(key).cloned().unwrap_or_default();
        match event {
            Event::ToldNotRun { key, token } if tokens(key).contains(token) => {
                found.push(format!("key {key}, call {token} was told not run and ran"));
            }
            Event::Replayed { key, body }
                if !tokens(key).iter().any(|t| t.to_string() == *body) =>
            {
                found.push(format!(
                    "key {key} got the answer of another request: {body}"
                ));
            }
            _ => {}
        }
    }
    found
}

#[derive(Debug, Clone)]
struct Plan {
    lost_answers_ppm: u32,
    late_writes_ppm: u32,
    late_write_ms: u64,
    jitter_ms: u64,
    outage: Option<Outage>,
    seed: u64,
}

fn plans() -> impl Strategy<Value = Plan> {
    let outages = prop::option::of(prop_oneof![Just(Outage::Refuse), Just(Outage::Silent)]);
    let parts = (
        0..400_000_u32,
        0..300_000_u32,
        1..120_u64,
        0..8_u64,
        outages,
        any::<u64>(),
    );
    parts.prop_map(
        |(lost, late, late_write_ms, jitter_ms, outage, seed)| Plan {
            lost_answers_ppm: lost,
            late_writes_ppm: late,
            late_write_ms,
            jitter_ms,
            outage,
            seed,
        },
    )
}

/// A table without conditional writes, as a client with deduplication switched off would use it.
struct Unconditional(Arc<MemoryPlatform>);

#[async_trait]
impl TableService for Unconditional {
    async fn commit(&self, mut txn: Txn) -> Result<TxnOutcome, PlatformError> {
        txn.checks.clear();
        self.0.commit(txn).await
    }
    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        TableService::get(&*self.0, key).await
    }
    async fn scan(&self, prefixes: &[&str]) -> Result<Vec<Row>, PlatformError> {
        self.0.scan(prefixes).await
    }
}

/// Table client that the instances use.
#[derive(Debug, Clone, Copy)]
enum Stack {
    Plain,
    Resilient,
    /// The resilient client over HTTP, where responses are also cut and open connections fall silent.
    Http,
    Unconditional,
}

impl Stack {
    fn table(self, platform: &Arc<MemoryPlatform>, addr: SocketAddr) -> Arc<dyn TableService> {
        let inner = Arc::clone(platform);
        match self {
            Self::Plain => inner,
            Self::Unconditional => Arc::new(Unconditional(inner)),
            Self::Resilient => resilient(inner),
            Self::Http => {
                let zone = Zone::new("riga-a").expect("valid name");
                let limit = Duration::from_millis(40);
                resilient(Arc::new(HttpPlatform::new(addr, zone, limit)))
            }
        }
    }
}

fn resilient(inner: Arc<dyn TableService>) -> Arc<dyn TableService> {
    let cfg = ResilientConfig {
        instances: 3,
        call_timeout_ms: 40,
        ..ResilientConfig::default()
    };
    Arc::new(ResilientTable::new(inner, cfg, discard_logger()))
}

const INSTANCES: usize = 3;
const CALLERS: usize = 12;
const KEYS: usize = 6;
const ROUNDS: usize = 12;

/// One caller: repeats of a few keys at one instance. It holds its claims to the rules and sometimes crashes.
async fn call(
    claims: IdempotencyClaims,
    history: Arc<Mutex<Vec<Event>>>,
    tokens: Arc<AtomicU64>,
    seed: u64,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    for _ in 0..ROUNDS {
        let key = rng.usize(0..KEYS);
        let token = tokens.fetch_add(1, Ordering::Relaxed);
        let record = |event| history.lock().expect("history").push(event);
        let begin = claims
            .claim(&workspace(), &key.to_string(), DIGEST, soon(120))
            .await;
        match begin {
            ClaimOutcome::Run(claim) => match rng.u32(0..10) {
                0..4 => {
                    record(Event::ToldNotRun { key, token });
                    claim.release().await;
                }
                4 => drop(claim),
                choice => {
                    record(Event::Executed { key, token });
                    if choice > 5 {
                        claim.complete(answer(&token.to_string())).await;
                    }
                }
            },
            ClaimOutcome::Unavailable { .. } => record(Event::ToldNotRun { key, token }),
            ClaimOutcome::Replay(stored) => {
                let body = String::from_utf8(stored.body).expect("text");
                record(Event::Replayed { key, body });
            }
            ClaimOutcome::Unknown => {}
            ClaimOutcome::Mismatch => panic!("all callers send the same request"),
        }
    }
}

fn run(plan: &Plan, stack: Stack) -> Vec<Event> {
    block_on(async {
        let platform = MemoryPlatform::with_limits(Limits::NONE, plan.seed);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = serve_platform(any, Arc::clone(&platform)).expect("listen");
        let addr = server.addr();
        let faults = Faults {
            lost_answers_ppm: plan.lost_answers_ppm,
            late_writes_ppm: plan.late_writes_ppm,
            late_write_ms: plan.late_write_ms,
            jitter_ms: plan.jitter_ms,
            truncated_ppm: plan.lost_answers_ppm / 4,
            ..Faults::default()
        };
        platform.faults().set(faults);
        let history = Arc::new(Mutex::new(Vec::new()));
        let tokens = Arc::new(AtomicU64::new(0));
        let instances: Vec<_> = (0..INSTANCES)
            .map(|n| {
                IdempotencyClaims::new(
                    stack.table(&platform, addr),
                    &format!("i{n}"),
                    discard_logger(),
                )
            })
            .collect();
        let mut callers = Vec::new();
        for caller in 0..CALLERS {
            let claims = instances[caller % INSTANCES].clone();
            let seed = plan.seed ^ caller as u64;
            let (history, tokens) = (Arc::clone(&history), Arc::clone(&tokens));
            callers.push(spawn(call(claims, history, tokens, seed)));
        }
        for _ in 0..4 {
            sleep_ms(60).await;
            platform.faults().update(|f| {
                f.outage = plan.outage;
                f.silence_open_connections = true;
            });
            sleep_ms(30).await;
            platform.faults().update(|f| f.outage = None);
        }
        for caller in callers {
            caller.await;
        }
        let history = history.lock().expect("history");
        history.clone()
    })
}

fn config() -> Config {
    Config {
        cases: 16,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..Config::default()
    }
}

// Checks the histories of all generated plans. With the worst of them the breaker may stay open to the end, so that
// nothing runs; that must be so in less than half of them.
fn check_histories(stack: Stack) {
    let ran = AtomicU64::new(0);
    let result = TestRunner::new(config()).run(&plans(), |plan| {
        let history = run(&plan, stack);
        prop_assert_eq!(check(&history), Vec::<String>::new());
        let is_execution = |event: &Event| matches!(event, Event::Executed { .. });
        ran.fetch_add(history.iter().any(is_execution).into(), Ordering::Relaxed);
        Ok(())
    });
    result.expect("no breach");
    let ran = ran.into_inner();
    assert!(
        ran * 2 > u64::from(config().cases),
        "something ran in {ran} histories only"
    );
}

// Guards against a key that runs twice, and against "not run" for a call that ran, when answers of the table are lost,
// writes take effect late, the table has outages, and several instances get the same key.
#[test]
fn a_key_runs_at_most_once() {
    check_histories(Stack::Plain);
}

// Guards against the same faults when claims are grouped into shared writes.
#[test]
fn a_key_runs_at_most_once_with_grouped_claims() {
    check_histories(Stack::Resilient);
}

// Guards against the same faults over HTTP, with cut responses and silent connections.
#[test]
fn a_key_runs_at_most_once_over_http() {
    check_histories(Stack::Http);
}

// Guards against a checker that finds nothing: without conditional writes some key runs twice in each of these runs.
#[test]
fn the_checker_finds_the_fault_of_unconditional_writes() {
    for seed in 0..4 {
        let plan = Plan {
            lost_answers_ppm: 100_000,
            late_writes_ppm: 100_000,
            late_write_ms: 50,
            jitter_ms: 4,
            outage: None,
            seed,
        };
        assert!(
            !check(&run(&plan, Stack::Unconditional)).is_empty(),
            "seed {seed}"
        );
    }
}

// Guards against a repeat that runs again, or gets anything but the first answer.
#[test]
fn a_repeat_at_another_instance_gets_the_stored_answer() {
    block_on(async {
        let platform = MemoryPlatform::new();
        let claim = must_run(&claims(&platform, "a"), "k").await;
        let first = StoredResponse {
            headers: vec![(Arc::from("x"), Arc::from("y"))],
            body: vec![0, 159, 146, 150],
            ..answer("")
        };
        assert_eq!(claim.complete(first.clone()).await, FinalizeOutcome::Stored);
        let other = claims(&platform, "b");
        let repeat = other.claim(&workspace(), "k", DIGEST, soon(100)).await;
        assert!(matches!(repeat, ClaimOutcome::Replay(stored) if stored == first));
        let mismatch = other.claim(&workspace(), "k", "another", soon(100)).await;
        assert!(matches!(mismatch, ClaimOutcome::Mismatch));
        let other_workspace = Workspace::new("beta").expect("valid name");
        let own = other.claim(&other_workspace, "k", DIGEST, soon(100)).await;
        assert!(matches!(own, ClaimOutcome::Run(_)));
    });
}

// Guards against a repeat that fails although the first call ends within the deadline.
#[test]
fn a_repeat_waits_for_the_answer_of_the_first() {
    block_on(async {
        let platform = MemoryPlatform::new();
        let claim = must_run(&claims(&platform, "a"), "k").await;
        let other = claims(&platform, "b");
        let repeat =
            spawn(async move { other.claim(&workspace(), "k", DIGEST, soon(2_000)).await });
        sleep_ms(120).await;
        claim.complete(answer("x")).await;
        assert!(matches!(repeat.await, ClaimOutcome::Replay(stored) if stored == answer("x")));
    });
}

// Guards against a repeat that runs while the fate of the first is open, for instance after a crash.
#[test]
fn a_claim_whose_holder_died_stays_unknown() {
    block_on(async {
        let platform = MemoryPlatform::new();
        drop(must_run(&claims(&platform, "a"), "k").await);
        let repeat = claims(&platform, "b")
            .claim(&workspace(), "k", DIGEST, soon(200))
            .await;
        assert!(matches!(repeat, ClaimOutcome::Unknown));
    });
}

// Guards against a released request that can never run.
#[test]
fn a_released_claim_can_be_claimed_again() {
    block_on(async {
        let platform = MemoryPlatform::new();
        let claim = must_run(&claims(&platform, "a"), "k").await;
        assert_eq!(claim.release().await, FinalizeOutcome::Stored);
        let again = must_run(&claims(&platform, "b"), "k").await;
        assert_eq!(again.attempt(), 2);
    });
}

// Guards against a claim that nobody holds after the caller was told "not run" and the table lost its answer.
#[test]
fn a_claim_given_up_in_doubt_is_released_in_the_background() {
    block_on(async {
        let platform = MemoryPlatform::new();
        let first = claims(&platform, "a");
        platform.faults().set(Faults {
            lost_answers_ppm: 1_000_000,
            ..Faults::default()
        });
        let begin = first.claim(&workspace(), "k", DIGEST, soon(200)).await;
        assert!(
            matches!(begin, ClaimOutcome::Unavailable { .. }),
            "{begin:?}"
        );
        assert_eq!(first.pending_finalizations(), 1);
        platform.faults().clear();
        let until = soon(5_000);
        while first.pending_finalizations() > 0 {
            assert!(Instant::now() < until);
            sleep_ms(10).await;
        }
        must_run(&claims(&platform, "b"), "k").await.release().await;
    });
}

// Guards against a claim write that takes effect after its holder gave up, and then blocks or repeats the request.
#[test]
fn a_late_claim_write_cannot_undo_a_later_claim() {
    block_on(async {
        let platform = MemoryPlatform::new();
        let late = claims(&platform, "a");
        platform.faults().set(Faults {
            late_writes_ppm: 1_000_000,
            late_write_ms: 300,
            ..Faults::default()
        });
        let attempt = spawn(async move { late.claim(&workspace(), "k", DIGEST, soon(60)).await });
        sleep_ms(20).await;
        platform.faults().clear();
        let begin = attempt.await;
        let claim = match begin {
            // The second write of the same call came first.
            ClaimOutcome::Run(claim) => claim,
            ClaimOutcome::Unavailable { .. } => must_run(&claims(&platform, "b"), "k").await,
            other => panic!("{other:?}"),
        };
        assert_eq!(claim.complete(answer("x")).await, FinalizeOutcome::Stored);
        sleep_ms(700).await;
        let repeat = claims(&platform, "c")
            .claim(&workspace(), "k", DIGEST, soon(200))
            .await;
        assert!(matches!(repeat, ClaimOutcome::Replay(stored) if stored == answer("x")));
    });
}

// Guards against an answer that is given up because the table was down for a moment.
#[test]
fn an_answer_is_stored_after_an_outage() {
    block_on(async {
        let platform = MemoryPlatform::new();
        let table = ResilientTable::new(
            Arc::clone(&platform) as _,
            ResilientConfig::default(),
            discard_logger(),
        );
        let holder = IdempotencyClaims::new(Arc::new(table), "a", discard_logger());
        let claim = must_run(&holder, "k").await;
        platform
            .faults()
            .update(|f| f.outage = Some(Outage::Refuse));
        assert_eq!(claim.complete(answer("x")).await, FinalizeOutcome::Pending);
        let refused = holder.claim(&workspace(), "other", DIGEST, soon(500)).await;
        assert!(matches!(refused, ClaimOutcome::Unavailable { .. }));
        platform.faults().clear();
        let other = claims(&platform, "b");
        let repeat = other.claim(&workspace(), "k", DIGEST, soon(5_000)).await;
        assert!(matches!(repeat, ClaimOutcome::Replay(_)), "{repeat:?}");
    });
}

// Guards against a request that stays unknown because its caller's deadline ended the wait for the table.
#[test]
fn dropped_calls_are_settled_in_the_background() {
    block_on(async {
        let platform = MemoryPlatform::new();
        let first = claims(&platform, "a");
        let (digest, workspace) = (DIGEST, workspace());
        // The write takes effect although its caller is gone before the read that follows it has ended.
        platform.faults().set(Faults {
            latency_ms: 30,
            late_writes_ppm: 1_000_000,
            late_write_ms: 100,
            ..Faults::default()
        });
        let begin = first.claim(&workspace, "begun", digest, soon(5_000));
        assert!(timeout_ms(50, begin).await.is_err());
        platform.faults().clear();
        let claim = must_run(&first, "released").await;
        platform.faults().update(|f| f.latency_ms = 100);
        assert!(timeout_ms(50, claim.release()).await.is_err());
        platform.faults().clear();
        let claim = must_run(&first, "completed").await;
        platform.faults().update(|f| f.latency_ms = 100);
        assert!(timeout_ms(50, claim.complete(answer("x"))).await.is_err());
        platform.faults().clear();
        sleep_ms(500).await;
        let other = claims(&platform, "b");
        must_run(&other, "begun").await.release().await;
        must_run(&other, "released").await.release().await;
        let repeat = other
            .claim(&workspace, "completed", digest, soon(500))
            .await;
        assert!(matches!(repeat, ClaimOutcome::Replay(_)), "{repeat:?}");
    });
}

// Guards against a row that no longer fits a transaction.
#[test]
fn an_answer_that_is_too_large_is_not_replayed() {
    block_on(async {
        let platform = MemoryPlatform::new();
        let claim = must_run(&claims(&platform, "a"), "k").await;
        let large = "x".repeat(MAX_STORED_BODY_BYTES + 1);
        assert_eq!(
            claim.complete(answer(&large)).await,
            FinalizeOutcome::Stored
        );
        let repeat = claims(&platform, "b")
            .claim(&workspace(), "k", DIGEST, soon(200))
            .await;
        assert!(matches!(repeat, ClaimOutcome::Unknown));
    });
}

// Guards against rows that are kept for ever, and against the removal of claims that are not old.
#[test]
fn a_sweep_removes_old_claims_only() {
    block_on(async {
        let platform = MemoryPlatform::new();
        let holder = claims(&platform, "a");
        for n in 0..120 {
            let claim = must_run(&holder, &n.to_string()).await;
            claim.complete(answer("x")).await;
        }
        let entries = platform.peek_all("once-age/");
        assert_eq!(entries.len(), 120);
        let first = entries[0].key.split('/').nth(1).expect("minute");
        let minute: u64 = first.parse().expect("number");
        let none = sweep(&*platform, minute).await.expect("sweep");
        assert_eq!(none.claims, 0);
        // The claims of the test may lie in two minutes.
        let swept = sweep(&*platform, minute + 2).await.expect("sweep");
        assert_eq!(swept.claims, 120);
        assert!(platform.peek_all("once/").is_empty());
        assert!(platform.peek_all("once-age/").is_empty());
    });
}

// Guards against two requests with the same digest.
#[test]
fn the_digest_covers_method_path_and_body() {
    let digests = [
        request_digest("POST", "/a", b"b"),
        request_digest("POST", "/ab", b""),
        request_digest("PUT", "/a", b"b"),
        request_digest("POST", "/a", b"c"),
    ];
    for (index, digest) in digests.iter().enumerate() {
        assert!(!digests[index + 1..].contains(digest));
    }
}
