//! One instance's part in the cell.

use {
    crate::{
        CellMetrics, CellView, JobFrontend, LeaderCapacity, Timing,
        api::{AdviceClient, CellRoutes, CellSource, Route, WorkerClient},
        election,
        events::CONFIGURATION,
        health::StoreHealth,
        leader_client::{self, LeaderPeer, LeaderRx, leader_channel},
        rows::{self, MemberRow},
        term::Term,
    },
    async_trait::async_trait,
    ragwortreel_entry::{
        HelperConnector, HelperService,
        generated::{
            AdviseReply, AdviseRequest, AllowedWorker, HandRowsReply, HandRowsRequest,
            JobStatesReply, JobStatesRequest, StoredRow,
        },
    },
    ragwortreel_model::{InstanceId, JobId, WorkerId},
    ragwortreel_platform::{
        ChangeFeed, ChangedRow, FeedError, ResilientTable, TableService, Txn, Write,
    },
    ragwortreel_runtime::{Logger, Stop, lock, log_event, sleep_ms, spawn},
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, Weak,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

/// Pause after a failed call to the store, in ms.
pub(crate) const STORE_PAUSE_MS: u64 = 200;
/// Longest time that the store may wait for a change of the configuration before it answers.
const ROUTES_WAIT: Duration = Duration::from_secs(1);
/// Settings of an instance's part in the cell.
#[derive(Debug, Clone)]
pub struct CellConfig {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Address for other instances.
    pub helper_address: SocketAddr,
    /// How well this instance can lead.
    pub leader_capacity: LeaderCapacity,
    /// Times of leadership and leases.
    pub timing: Timing,
}

/// What an instance works with.
#[derive(Clone)]
pub struct CellDeps {
    /// The store, without grouping.
    pub table: Arc<dyn TableService>,
    /// Changes of the store's tables.
    pub feed: Arc<dyn ChangeFeed>,
    /// The store, with grouping and a rate limit, for callers' requests; one for each part of the jobs.
    pub job_tables: Vec<Arc<ResilientTable>>,
    /// Workers and configuration.
    pub source: Arc<dyn CellSource>,
    /// Calls to workers.
    pub workers: Arc<dyn WorkerClient>,
    /// The advice service.
    pub advice: Arc<dyn AdviceClient>,
    /// Connections to other instances.
    pub helpers: Arc<dyn HelperConnector>,
    /// Metrics.
    pub metrics: Arc<CellMetrics>,
    /// Log.
    pub log: Logger,
}

/// One instance's part in the cell.
pub struct Cell {
    /// Settings.
    pub cfg: CellConfig,
    /// What it works with.
    pub deps: CellDeps,
    /// Number of this life of the instance.
    pub(crate) incarnation: u64,
    pub(crate) view: Arc<CellView>,
    frontend: JobFrontend,
    routes: Mutex<Arc<CellRoutes>>,
    pub(crate) synced: AtomicBool,
    pub(crate) health: Arc<StoreHealth>,
    /// The term of this instance, while it leads.
    term: Mutex<Weak<Term>>,
    leader_rx: LeaderRx,
    leader_peer: LeaderPeer,
}

impl Cell {
    /// Makes the parts; [`Cell::run`] starts them.
    #[must_use]
    pub fn new(cfg: CellConfig, deps: CellDeps) -> Arc<Self> {
        let view = Arc::new(CellView::new(deps.log.clone()));
        let health = StoreHealth::new(deps.log.clone(), Arc::clone(&deps.metrics));
        let health = Arc::new(health);
        let (leader_tx, leader_rx) = leader_channel();
        let leader_peer = LeaderPeer::new(Arc::clone(&view), Arc::clone(&deps.helpers));
        let frontend = JobFrontend {
            leader: leader_tx,
            view: Arc::clone(&view),
            job_tables: deps.job_tables.clone(),
            health: Arc::clone(&health),
            metrics: Arc::clone(&deps.metrics),
            log: deps.log.clone(),
        };
        Arc::new(Self {
            cfg,
            deps,
            incarnation: fastrand::u64(1..u64::from(u32::MAX)),
            view,
            frontend,
            routes: Mutex::default(),
            synced: AtomicBool::new(false),
            health,
            term: Mutex::default(),
            leader_rx,
            leader_peer,
        })
    }

    /// Records whether this instance leads.
    pub(crate) fn lead(&self, term: Option<&Arc<Term>>) {
        self.deps.metrics.leads(term.map(|term| term.number));
        *lock(&self.term) = term.map_or_else(Weak::new, Arc::downgrade);
    }

    /// The term of this instance, if it leads and has read the stored jobs.
    pub(crate) fn term(&self) -> Option<Arc<Term>> {
        let term = lock(&self.term);
        term.upgrade().filter(|term| term.has_recovered())
    }

    /// Answers callers.
    #[must_use]
    pub fn frontend(&self) -> &JobFrontend {
        &self.frontend
    }

    /// Whether callers should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.has_routes() && self.synced.load(Ordering::Relaxed) && self.health.is_fresh()
    }

    /// Whether a configuration is known.
    #[must_use]
    pub fn has_routes(&self) -> bool {
        self.routes().version > 0
    }

    fn routes(&self) -> Arc<CellRoutes> {
        Arc::clone(&lock(&self.routes))
    }

    /// The queue that takes a request.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        self.routes().find(host, path).map(Arc::clone)
    }

    /// Runs until the stop is requested and leadership, if any, is given up.
    pub async fn run(self: Arc<Self>, stop: Stop) {
        spawn(follow_routes(Arc::clone(&self), stop.clone())).detach();
        spawn(register(Arc::clone(&self), stop.clone())).detach();
        spawn(leader_client::hand_rows_over(Arc::clone(&self))).detach();
        spawn(leader_client::ask_states(Arc::clone(&self))).detach();
        election::follow(self, stop).await;
    }

    /// What this instance's callers want from the leader.
    pub(crate) const fn leader_rx(&self) -> &LeaderRx {
        &self.leader_rx
    }

    /// Connection to the leader.
    pub(crate) const fn leader_peer(&self) -> &LeaderPeer {
        &self.leader_peer
    }

    fn put_in_force(&self, routes: Option<CellRoutes>) {
        let Some(routes) = routes else {
            return;
        };
        let mut current = lock(&self.routes);
        // An answer that was under way for long may be older than what is in force.
        if routes.version <= current.version {
            return;
        }
        log_event!(self.deps.log, CONFIGURATION; "version" => routes.version,
            "former_version" => current.version);
        self.deps.metrics.configuration(routes.version);
        *current = Arc::new(routes);
    }
}

/// Keeps the configuration up to date.
async fn follow_routes(cell: Arc<Cell>, stop: Stop) {
    let mut after = None;
    while !stop.is_requested() {
        let source = &cell.deps.source;
        let result = match after {
            None => source.routes().await.map_err(FeedError::Failed),
            Some(after) => source.next_routes(after, ROUTES_WAIT).await,
        };
        match result {
            Ok((routes, version)) => {
                cell.health.answered("read configuration");
                after = Some(version);
                cell.put_in_force(routes);
                if !cell.has_routes() {
                    sleep_ms(STORE_PAUSE_MS).await;
                }
            }
            Err(FeedError::HistoryGone) => after = None,
            Err(FeedError::Failed(err)) => {
                cell.health.failed("read configuration", &err);
                // A change may have been missed with the lost answer.
                after = None;
                sleep_ms(STORE_PAUSE_MS).await;
            }
        }
    }
}

/// Writes this instance's address for the others.
async fn register(cell: Arc<Cell>, stop: Stop) {
    let write = Write {
        key: rows::main_key(rows::MEMBERS_TABLE, cell.cfg.instance.as_str()),
        value: Some(rows::encode_member(&MemberRow {
            address: cell.cfg.helper_address,
            can_lead: cell.cfg.leader_capacity.is_sufficient(),
        })),
    };
    let txn = Txn {
        checks: Vec::new(),
        writes: vec![write],
    };
    while !stop.is_requested() {
        match cell.deps.table.commit(txn.clone()).await {
            Ok(_) => return cell.health.answered("register"),
            Err(err) => cell.health.failed("register", &err),
        }
        sleep_ms(STORE_PAUSE_MS).await;
    }
}

#[async_trait]
impl HelperService for Cell {
    async fn advise(&self, req: AdviseRequest) -> AdviseReply {
        let workers = req
            .workers
            .iter()
            .filter_map(|name| WorkerId::new(name).ok());
        let workers: Vec<WorkerId> = workers.collect();
        let limit = Duration::from_millis(req.timeout_ms);
        match self.deps.advice.advise(&req.step, &workers, limit).await {
            Ok(allowed) => AdviseReply {
                answered: true,
                allowed: (allowed.into_iter())
                    .map(|(worker, ticket)| AllowedWorker {
                        worker: worker.as_str().to_owned(),
                        ticket: ticket.to_string(),
                    })
                    .collect(),
                problem: String::new(),
            },
            Err(err) => AdviseReply {
                answered: false,
                allowed: Vec::new(),
                problem: err.to_string(),
            },
        }
    }

    async fn job_states(&self, req: JobStatesRequest) -> JobStatesReply {
        let Some(term) = self.term() else {
            return JobStatesReply::default();
        };
        let state = |name: &String| {
            // A name that cannot be a job's is one of an unknown job.
            let state = JobId::new(name).ok().and_then(|id| term.stored_state(&id));
            state.map_or_else(String::new, |state| rows::state_letter(state).to_string())
        };
        JobStatesReply {
            leads: true,
            states: req.jobs.iter().map(state).collect(),
        }
    }

    async fn hand_rows(&self, req: HandRowsRequest) -> HandRowsReply {
        let Some(term) = self.term() else {
            return HandRowsReply { taken: false };
        };
        let rows: Vec<ChangedRow> = req.rows.into_iter().map(changed_row).collect();
        term.take_rows(&rows);
        HandRowsReply { taken: true }
    }
}

/// A row that another instance has seen stored; its version is not known.
fn changed_row(row: StoredRow) -> ChangedRow {
    ChangedRow {
        key: Arc::from(row.name),
        value: Some(Arc::from(row.value)),
        version: 0,
    }
}
