//! Access of callers between the arrival of a request and its effect, with a store and a clock in memory.

use {
    super::{CancelOutcome, JobFrontend, NewJob, StateOutcome, SubmitOutcome},
    crate::{
        AccessControl, AccessError, Caller, CellMetrics, CellView, KeyFreshness,
        api::CellRoutes,
        configuration::{Configuration, ReadDetails},
        health::StoreHealth,
        leader_client::leader_channel,
        rows::{JOB_PARTITIONS, LOAD_ROW, STATES_TABLE, cancel_key, job_key, main_key},
    },
    async_trait::async_trait,
    ragwortreel_model::{Clock, JobId, JobState, ManualClock, Resources, Workspace},
    ragwortreel_platform::{
        ChangedRow, PlatformError, ResilientConfig, ResilientTable, Row, TableService, Txn,
        TxnOutcome,
    },
    ragwortreel_runtime::{block_on, boot_ms, discard_logger, lock},
    ragwortreel_workflow::{QueuePolicy, Step, WorkspacePolicy},
    std::{
        collections::BTreeMap,
        pin::pin,
        sync::{Arc, Mutex},
        task::{Context, Poll, Waker},
        time::{Duration, Instant},
    },
};

const REVOCATION_MS: u64 = 5_000;

/// Effect of a call to the store.
type Hook = Box<dyn Fn(&Fixture) + Send + Sync>;

/// Store in memory, and the clock and configuration that a test changes during a call.
struct Fixture {
    rows: Mutex<BTreeMap<Arc<str>, Arc<str>>>,
    /// Keys of the rows that were read, and of those that were written.
    reads: Mutex<Vec<Arc<str>>>,
    writes: Mutex<Vec<Arc<str>>>,
    /// Runs at the next read, or at the next transaction, whose response is then lost.
    on_read: Mutex<Option<Hook>>,
    on_commit: Mutex<Option<Hook>>,
    clock: Arc<ManualClock>,
    configuration: Arc<Configuration>,
}

impl Fixture {
    /// Puts a configuration into force.
    fn configure(&self, routes: CellRoutes) {
        assert!(self.configuration.apply(routes, ReadDetails::default()));
    }
}

#[async_trait]
impl TableService for Fixture {
    async fn commit(&self, txn: Txn) -> Result<TxnOutcome, PlatformError> {
        let hook = lock(&self.on_commit).take();
        if let Some(hook) = hook {
            hook(self);
            let address = ([127, 0, 0, 1], 1).into();
            return Err(PlatformError::unknown("commit", address, "no response"));
        }
        let mut rows = lock(&self.rows);
        let checked = txn.checks.iter().filter_map(|check| {
            let value = Arc::clone(rows.get(&check.key)?);
            Some(Row {
                key: Arc::clone(&check.key),
                value,
                version: 1,
            })
        });
        let current: Vec<Row> = checked.collect();
        if !current.is_empty() {
            return Ok(TxnOutcome::Conflict { current });
        }
        for write in &txn.writes {
            lock(&self.writes).push(Arc::clone(&write.key));
            rows.insert(
                Arc::clone(&write.key),
                write.value.clone().unwrap_or_default(),
            );
        }
        let versions = vec![1; txn.writes.len()];
        Ok(TxnOutcome::Committed { versions })
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let hook = lock(&self.on_read).take();
        if let Some(hook) = hook {
            hook(self);
        }
        lock(&self.reads).push(Arc::from(key));
        let value = lock(&self.rows).get(key).cloned();
        Ok(value.map(|value| Row {
            key: Arc::from(key),
            value,
            version: 1,
        }))
    }

    async fn scan(&self, _prefixes: &[&str]) -> Result<Vec<Row>, PlatformError> {
        Ok(Vec::new())
    }
}

fn workspace(name: &str) -> Workspace {
    Workspace::new(name).expect("a valid name")
}

/// Configuration with these keys; each belongs to the workspace of the same name.
fn routes(version: u64, keys: &[&str]) -> CellRoutes {
    let mut routes = CellRoutes::new(version, []);
    routes.workspaces = Some(BTreeMap::new());
    let keys = keys.iter().map(|key| ((*key).to_owned(), workspace(key)));
    routes.keys = keys.collect();
    routes
}

fn caller(name: &str) -> Caller {
    Caller::Workspace {
        workspace: workspace(name),
        key_digest: Arc::from(name),
    }
}

/// Frontend of an instance whose proof is fresh and whose leader does not answer.
fn frontend() -> (JobFrontend, Arc<Fixture>) {
    frontend_with(ResilientConfig::default())
}

fn frontend_with(table_cfg: ResilientConfig) -> (JobFrontend, Arc<Fixture>) {
    let log = discard_logger();
    let meter = opentelemetry::global::meter("test");
    let metrics = Arc::new(CellMetrics::new(&meter));
    let clock = Arc::new(ManualClock::default());
    let configuration = Arc::new(Configuration::new(Arc::clone(&metrics), log.clone()));
    assert!(configuration.apply(routes(1, &["a", "b"]), ReadDetails::default()));
    let freshness = Arc::new(KeyFreshness::new(
        Some(REVOCATION_MS),
        Arc::clone(&clock) as _,
    ));
    freshness.record_readable(clock.now_ms());
    let store = Arc::new(Fixture {
        rows: Mutex::default(),
        reads: Mutex::default(),
        writes: Mutex::default(),
        on_read: Mutex::default(),
        on_commit: Mutex::default(),
        clock,
        configuration: Arc::clone(&configuration),
    });
    let table = ResilientTable::new(
        Arc::clone(&store) as Arc<dyn TableService>,
        table_cfg,
        log.clone(),
    );
    let table = Arc::new(table);
    let health = StoreHealth::new(log.clone(), Arc::clone(&metrics));
    health.record_success("test");
    let access = Arc::new(AccessControl::new(
        Arc::clone(&configuration),
        freshness,
        Arc::clone(&metrics),
        log.clone(),
    ));
    let frontend = JobFrontend {
        access,
        configuration,
        view: Arc::new(CellView::new(log.clone())),
        leader: leader_channel().0,
        job_tables: vec![table; JOB_PARTITIONS],
        health: Arc::new(health),
        metrics,
        log,
    };
    (frontend, store)
}

fn id() -> JobId {
    JobId::new("00000000000000a7").expect("a valid name")
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

fn submit(frontend: &JobFrontend, caller: &Caller) -> SubmitOutcome {
    block_on(start_submit(frontend, caller))
}

async fn start_submit(frontend: &JobFrontend, caller: &Caller) -> SubmitOutcome {
    let policy = QueuePolicy {
        name: Arc::from("q"),
        service: Arc::from("s"),
        priority: 0,
        attempts: 1,
        chain_factor: 1.0,
        slack_ms: 1_000,
        advice: None,
    };
    let step =
        r#"{"tasks":1,"need":{"milli_cores":2,"memory_mib":1,"accelerators":0},"estimate_ms":1}"#;
    let step: Step = serde_json::from_str(step).expect("a step");
    let job = NewJob {
        id: id(),
        payload: Arc::from(""),
        steps: vec![step],
        schedule: None,
    };
    frontend.submit(caller, &policy, job, deadline()).await
}

/// Makes the proof too old.
fn expire(store: &Fixture) {
    store.clock.advance_ms(REVOCATION_MS);
}

/// Guards against a job or a cancellation that is stored with a key whose proof expired after the arrival of the
/// request, and against a state that is reported then.
#[test]
fn nothing_is_stored_without_a_fresh_proof() {
    let (frontend, store) = frontend();
    store
        .rows
        .lock()
        .expect("rows")
        .insert(job_key(&id()), Arc::from("{}"));
    *lock(&store.on_read) = Some(Box::new(expire));
    let state = block_on(frontend.state(&caller("a"), &id(), deadline()));
    assert_eq!(state, StateOutcome::Denied(AccessError::StaleProof));
    let cancelled = block_on(frontend.cancel(&caller("a"), &id(), deadline()));
    assert_eq!(cancelled, CancelOutcome::Denied(AccessError::StaleProof));
    let submitted = submit(&frontend, &caller("a"));
    assert_eq!(submitted, SubmitOutcome::Denied(AccessError::StaleProof));
    assert_eq!(submit(&frontend, &Caller::Public), SubmitOutcome::Accepted);
    assert_eq!(*lock(&store.writes), []);
}

/// Guards against a job that is stored with an expired proof or a withdrawn key because its transaction waited in the
/// queue, for example in an instance that was suspended.
#[test]
fn queued_transactions_need_a_fresh_proof_and_a_known_key() {
    let withdraw: fn(&Fixture) = |store| store.configure(routes(2, &["b"]));
    for (change, err) in [
        (expire as fn(&Fixture), AccessError::StaleProof),
        (withdraw, AccessError::UnknownKey),
    ] {
        // One write a second for each of the 9 instances; the first one takes the only token.
        let (frontend, store) = frontend_with(ResilientConfig {
            writes_per_s: 9.0,
            ..ResilientConfig::default()
        });
        block_on(frontend.job_tables[0].commit(Txn::default())).expect("commit");
        let caller = caller("a");
        let mut submitted = pin!(start_submit(&frontend, &caller));
        let mut cx = Context::from_waker(Waker::noop());
        assert_eq!(submitted.as_mut().poll(&mut cx), Poll::Pending);
        change(&store);
        assert_eq!(block_on(submitted), SubmitOutcome::Denied(err));
        assert_eq!(*lock(&store.writes), []);
    }
}

/// Guards against a key that is withdrawn while a request is under way and is accepted nevertheless.
#[test]
fn withdrawn_keys_are_noticed_before_the_transaction() {
    let (frontend, store) = frontend();
    store.configure(routes(2, &["b"]));
    let submitted = submit(&frontend, &caller("a"));
    assert_eq!(submitted, SubmitOutcome::Denied(AccessError::UnknownKey));
    assert_eq!(*lock(&store.writes), []);
}

/// Guards against a caller who was admitted without a key and acts after the cell has got workspaces.
#[test]
fn callers_without_a_key_are_denied_once_the_cell_has_workspaces() {
    let (frontend, store) = frontend();
    let denied = AccessError::StaleProof;
    let caller = Caller::Unrestricted;
    lock(&store.rows).insert(job_key(&id()), Arc::from(r#"{"workspace":"a"}"#));
    assert_eq!(submit(&frontend, &caller), SubmitOutcome::Denied(denied));
    let state = block_on(frontend.state(&caller, &id(), deadline()));
    assert_eq!(state, StateOutcome::Denied(denied));
    let cancelled = block_on(frontend.cancel(&caller, &id(), deadline()));
    assert_eq!(cancelled, CancelOutcome::Denied(denied));
    store.configure(CellRoutes::new(2, []));
    assert_eq!(submit(&frontend, &caller), SubmitOutcome::Accepted);
}

/// Guards against a repeated attempt after the proof has expired, and against "not run" for a job that the first
/// attempt may have stored.
#[test]
fn repeated_attempts_need_a_fresh_proof() {
    let (frontend, store) = frontend();
    *lock(&store.on_commit) = Some(Box::new(expire));
    assert_eq!(submit(&frontend, &caller("a")), SubmitOutcome::Unknown);
    assert_eq!(*lock(&store.writes), []);
}

/// Guards against status 200 for a job of another workspace whose row is seen only by the transaction, and against
/// refusing a repeat of the workspace itself; also when the row of the job was emptied after its end.
#[test]
fn conflicts_are_told_apart_by_their_owner() {
    for (row, state) in [
        (r#"{"workspace":"a"}"#, None),
        ("", Some(r#"s{"workspace":"a"}"#)),
    ] {
        let (frontend, store) = frontend();
        let mut rows = BTreeMap::from([(job_key(&id()), Arc::from(row))]);
        if let Some(state) = state {
            rows.insert(main_key(STATES_TABLE, id().as_str()), Arc::from(state));
        }
        *lock(&store.rows) = rows;
        assert_eq!(submit(&frontend, &caller("b")), SubmitOutcome::OwnedByOther);
        assert_eq!(
            submit(&frontend, &Caller::Public),
            SubmitOutcome::OwnedByOther
        );
        assert_eq!(submit(&frontend, &caller("a")), SubmitOutcome::Accepted);
        assert_eq!(
            submit(&frontend, &caller("b")),
            SubmitOutcome::OwnedByOther,
            "remembered"
        );
    }
}

/// Guards against a repeated submission that is answered after the key has expired during a read, and against "not run"
/// for a job that an earlier copy of the same transaction may have stored.
#[test]
fn repeats_need_a_fresh_proof_after_the_look_up_of_the_owner() {
    let denied = SubmitOutcome::Denied(AccessError::StaleProof);
    // The owner of a finished job is read from its state after the conflict of the transaction.
    for (name, expected) in [("a", SubmitOutcome::Unknown), ("b", denied.clone())] {
        let (frontend, store) = frontend();
        let state_key = main_key(STATES_TABLE, id().as_str());
        *lock(&store.rows) = BTreeMap::from([
            (job_key(&id()), Arc::from("")),
            (state_key, Arc::from(r#"s{"workspace":"a"}"#)),
        ]);
        *lock(&store.on_read) = Some(Box::new(expire));
        assert_eq!(submit(&frontend, &caller(name)), expected);
    }
    let (frontend, store) = frontend();
    refuse_new_jobs(&frontend);
    lock(&store.rows).insert(job_key(&id()), Arc::from(r#"{"workspace":"a"}"#));
    *lock(&store.on_read) = Some(Box::new(expire));
    assert_eq!(submit(&frontend, &caller("a")), denied);
    frontend.view.record_accepted(id(), Some(workspace("a")));
    for name in ["a", "b"] {
        assert_eq!(submit(&frontend, &caller(name)), denied, "remembered");
    }
}

/// Publishes a load at which new jobs are refused.
fn refuse_new_jobs(frontend: &JobFrontend) {
    let load = ChangedRow {
        key: Arc::from(LOAD_ROW),
        value: Some(Arc::from(r#"{"ahead_s":{"s":{"0":1000.0}},"pending":{}}"#)),
        version: 1,
    };
    frontend.view.apply(&[load], boot_ms());
}

/// Guards against status 200 for a job of another workspace whose row is read because new jobs are refused.
#[test]
fn refused_submissions_are_told_apart_by_their_owner() {
    let (frontend, store) = frontend();
    refuse_new_jobs(&frontend);
    let refused = submit(&frontend, &caller("a"));
    assert!(
        matches!(refused, SubmitOutcome::Refused { .. }),
        "{refused:?}"
    );
    lock(&store.rows).insert(job_key(&id()), Arc::from(r#"{"workspace":"a"}"#));
    assert_eq!(submit(&frontend, &caller("b")), SubmitOutcome::OwnedByOther);
    assert_eq!(submit(&frontend, &caller("a")), SubmitOutcome::Accepted);
}

/// Guards against a refusal for good, 400, of a job that needs more than a limit which is lowered for some seconds, and of
/// a repeated submission of a job that was stored before.
#[test]
fn jobs_beyond_a_lowered_limit_may_be_submitted_again() {
    let (frontend, store) = frontend();
    let limit_to = |version, milli_cores| {
        let policy = WorkspacePolicy {
            weight: 1.0,
            limit: Resources::new(milli_cores, 0, 0),
        };
        let mut routes = routes(version, &["a"]);
        routes.workspaces = Some(BTreeMap::from([(workspace("a"), policy)]));
        store.configure(routes);
    };
    limit_to(2, 1);
    let refused = submit(&frontend, &caller("a"));
    let SubmitOutcome::Refused {
        retry_after_ms,
        reason,
    } = refused
    else {
        panic!("{refused:?}");
    };
    assert!(
        (2_000..=5_000).contains(&retry_after_ms),
        "{retry_after_ms}"
    );
    let text = "step 0: a task needs 2 milli-cores, 1 MiB, 0 accelerators, more than the present limit of its workspace: \
        1 milli-cores, 0 MiB, 0 accelerators (0: no limit)";
    assert_eq!(&*reason, text);
    assert_eq!(*lock(&store.writes), []);
    limit_to(3, 2);
    assert_eq!(submit(&frontend, &caller("a")), SubmitOutcome::Accepted);
    limit_to(4, 1);
    let (other, other_store) = self::frontend();
    lock(&other_store.rows).extend(lock(&store.rows).clone());
    other_store.configure((*frontend.configuration.routes()).clone());
    assert_eq!(submit(&other, &caller("a")), SubmitOutcome::Accepted);
}

/// Guards against a job without a workspace, as stored by earlier versions, that a caller cannot access, and against
/// further calls to the store in a cell without workspaces.
#[test]
fn conflicts_cost_no_read_without_workspaces() {
    let (frontend, store) = frontend();
    store.configure(CellRoutes::new(2, []));
    lock(&store.rows).insert(job_key(&id()), Arc::from(""));
    assert_eq!(
        submit(&frontend, &Caller::Unrestricted),
        SubmitOutcome::Accepted
    );
    assert_eq!(*lock(&store.reads), []);
    let (frontend, store) = self::frontend();
    lock(&store.rows).insert(job_key(&id()), Arc::from("{}"));
    assert_eq!(submit(&frontend, &caller("b")), SubmitOutcome::Accepted);
}

/// Guards against a job whose owner cannot be decoded and which every workspace can access, and against a state that a cell
/// without workspaces cannot read for this reason.
#[test]
fn undecodable_owners_hide_a_job_only_in_cells_with_workspaces() {
    let state_key = main_key(STATES_TABLE, id().as_str());
    for (job, state, known) in [
        (r#"{"workspace":7}"#, None, JobState::Queued),
        ("", Some("s{"), JobState::Succeeded),
    ] {
        let (frontend, store) = frontend();
        lock(&store.rows).insert(job_key(&id()), Arc::from(job));
        if let Some(state) = state {
            lock(&store.rows).insert(Arc::clone(&state_key), Arc::from(state));
        }
        let get = |caller: &Caller| block_on(frontend.state(caller, &id(), deadline()));
        for caller in &[caller("a"), Caller::Public] {
            assert_eq!(get(caller), StateOutcome::Unavailable, "{job}");
            assert_eq!(submit(&frontend, caller), SubmitOutcome::Unknown, "{job}");
            let cancelled = block_on(frontend.cancel(caller, &id(), deadline()));
            assert_eq!(cancelled, CancelOutcome::Refused, "{job}");
        }
        store.configure(CellRoutes::new(2, []));
        assert_eq!(get(&Caller::Unrestricted), StateOutcome::Known(known));
        let submitted = submit(&frontend, &Caller::Unrestricted);
        assert_eq!(submitted, SubmitOutcome::Accepted);
    }
}

/// Guards against a job that another workspace cancels or whose state it sees, by the rows of the job.
#[test]
fn stored_jobs_are_hidden_from_other_workspaces() {
    let (frontend, store) = frontend();
    lock(&store.rows).insert(job_key(&id()), Arc::from(r#"{"workspace":"a"}"#));
    let state = |name| block_on(frontend.state(&caller(name), &id(), deadline()));
    let cancel = |name| block_on(frontend.cancel(&caller(name), &id(), deadline()));
    assert_eq!(state("b"), StateOutcome::NotFound);
    assert_eq!(cancel("b"), CancelOutcome::NotFound);
    assert_eq!(state("a"), StateOutcome::Known(JobState::Queued));
    let state_key = main_key(STATES_TABLE, id().as_str());
    lock(&store.rows).insert(state_key, Arc::from(r#"r{"workspace":"a"}"#));
    assert_eq!(state("b"), StateOutcome::NotFound);
    assert_eq!(cancel("b"), CancelOutcome::NotFound);
    assert_eq!(*lock(&store.writes), []);
    assert_eq!(cancel("a"), CancelOutcome::Stored);
    assert_eq!(*lock(&store.writes), [cancel_key(&id())]);
}
