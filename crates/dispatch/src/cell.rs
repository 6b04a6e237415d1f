//! Runtime of an instance, and its answers to calls of other instances.

use {
    crate::{
        AccessControl, CellMetrics, CellView, JobFrontend, KeyFreshness, LeaderCapacity, Timing,
        api::{AdviceClient, CellRoutes, CellSource, Route, WorkerClient},
        configuration::{self, Configuration},
        election,
        health::StoreHealth,
        key_freshness::BootClock,
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
    ragwortreel_platform::{ChangeFeed, ChangedRow, ResilientTable, TableService, Txn, Write},
    ragwortreel_runtime::{Logger, Stop, lock, sleep_ms, spawn},
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, Weak,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

/// Delay before a failed store call is retried, in ms.
pub(crate) const STORE_RETRY_MS: u64 = 200;

/// Settings of a [`Cell`].
#[derive(Debug, Clone)]
pub struct CellConfig {
    /// Name of this instance, unique in the cell.
    pub instance: InstanceId,
    /// Address at which other instances reach this one.
    pub helper_address: SocketAddr,
    /// Share of a leader's work that this instance can do.
    pub leader_capacity: LeaderCapacity,
    /// Timeouts and intervals of leadership and leases.
    pub timing: Timing,
    /// Time after which a withdrawn key must be refused, in ms; without it, the acceptance of keys does not expire.
    pub key_revocation_ms: Option<u64>,
}

/// Clients and shared services that a [`Cell`] uses.
#[derive(Clone)]
pub struct CellDeps {
    /// Store client that sends each transaction on its own.
    pub table: Arc<dyn TableService>,
    /// Change feed of the store's tables.
    pub feed: Arc<dyn ChangeFeed>,
    /// Store clients for callers' requests, one for each job partition, with batching and a rate limit.
    pub job_tables: Vec<Arc<ResilientTable>>,
    /// Source of the worker list and the configuration.
    pub source: Arc<dyn CellSource>,
    /// Client of the workers.
    pub workers: Arc<dyn WorkerClient>,
    /// Client of the advice service.
    pub advice: Arc<dyn AdviceClient>,
    /// Connector to other instances.
    pub helpers: Arc<dyn HelperConnector>,
    /// Metrics of leadership and jobs.
    pub metrics: Arc<CellMetrics>,
    /// Logger for the events of this crate.
    pub log: Logger,
}

/// Runtime of one instance: it serves callers, follows the configuration, and leads the cell when elected.
pub struct Cell {
    /// Settings of this instance.
    pub cfg: CellConfig,
    /// Clients and shared services.
    pub deps: CellDeps,
    /// Random number that identifies this incarnation of the instance.
    pub(crate) incarnation: u64,
    pub(crate) view: Arc<CellView>,
    frontend: JobFrontend,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) freshness: Arc<KeyFreshness>,
    /// Whether the leader's table has been read at least once.
    pub(crate) has_synced: AtomicBool,
    pub(crate) health: Arc<StoreHealth>,
    /// Current term, while this instance leads.
    term: Mutex<Weak<Term>>,
    leader_rx: LeaderRx,
    leader_peer: LeaderPeer,
}

impl Cell {
    /// Creates the cell; [`Cell::run`] starts its tasks.
    #[must_use]
    pub fn new(cfg: CellConfig, deps: CellDeps) -> Arc<Self> {
        let view = Arc::new(CellView::new(deps.log.clone()));
        let health = StoreHealth::new(deps.log.clone(), Arc::clone(&deps.metrics));
        let health = Arc::new(health);
        let (leader_tx, leader_rx) = leader_channel();
        let leader_peer = LeaderPeer::new(Arc::clone(&view), Arc::clone(&deps.helpers));
        let (metrics, log) = (&deps.metrics, &deps.log);
        let configuration = Arc::new(Configuration::new(Arc::clone(metrics), log.clone()));
        let freshness = KeyFreshness::new(cfg.key_revocation_ms, Arc::new(BootClock));
        let freshness = Arc::new(freshness);
        let access = Arc::new(AccessControl::new(
            Arc::clone(&configuration),
            Arc::clone(&freshness),
            Arc::clone(metrics),
            log.clone(),
        ));
        let frontend = JobFrontend {
            access,
            configuration: Arc::clone(&configuration),
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
            configuration,
            freshness,
            has_synced: AtomicBool::new(false),
            health,
            term: Mutex::default(),
            leader_rx,
            leader_peer,
        })
    }

    /// Records the term that this instance leads, or that it does not lead.
    pub(crate) fn set_term(&self, term: Option<&Arc<Term>>) {
        self.deps.metrics.set_term(term.map(|term| term.number));
        *lock(&self.term) = term.map_or_else(Weak::new, Arc::downgrade);
    }

    /// Current term, if this instance leads and has recovered the stored jobs.
    pub(crate) fn term(&self) -> Option<Arc<Term>> {
        let term = lock(&self.term);
        term.upgrade().filter(|term| term.has_recovered())
    }

    /// Handler of callers' requests.
    #[must_use]
    pub fn frontend(&self) -> &JobFrontend {
        &self.frontend
    }

    /// Access control of callers' requests.
    #[must_use]
    pub fn access(&self) -> &AccessControl {
        &self.frontend.access
    }

    /// Whether callers' requests should be routed to this instance.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.has_routes()
            && self.has_synced.load(Ordering::Relaxed)
            && self.health.is_ready()
            && self.access().is_ready()
    }

    /// Whether a configuration has been read.
    #[must_use]
    pub fn has_routes(&self) -> bool {
        self.routes().version > 0
    }

    /// Configuration in force.
    pub(crate) fn routes(&self) -> Arc<CellRoutes> {
        self.configuration.routes()
    }

    /// Route of a request, by its host and path; `None` if no queue takes it.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        self.routes().find(host, path).map(Arc::clone)
    }

    /// Runs until `stop` is requested and leadership, if held, is released.
    pub async fn run(self: Arc<Self>, stop: Stop) {
        spawn(configuration::follow(Arc::clone(&self), stop.clone())).detach();
        spawn(register(Arc::clone(&self), stop.clone())).detach();
        spawn(leader_client::forward_rows(Arc::clone(&self))).detach();
        spawn(leader_client::query_states(Arc::clone(&self))).detach();
        election::run(self, stop).await;
    }

    /// Receivers of the callers' requests to the leader.
    pub(crate) const fn leader_rx(&self) -> &LeaderRx {
        &self.leader_rx
    }

    pub(crate) const fn leader_peer(&self) -> &LeaderPeer {
        &self.leader_peer
    }
}

/// Stores the address of this instance, so that others can call it.
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
            Ok(_) => return cell.health.record_success("register"),
            Err(err) => cell.health.record_failure("register", &err),
        }
        sleep_ms(STORE_RETRY_MS).await;
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
            // An invalid job name is treated as that of an unknown job.
            let state = JobId::new(name).ok().and_then(|id| term.stored_state(&id));
            state.map_or_else(String::new, |state| state.encode())
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
        let rows: Vec<ChangedRow> = req.rows.into_iter().map(forwarded_row).collect();
        term.apply_job_rows(&rows);
        HandRowsReply { taken: true }
    }
}

/// Converts a row that another instance stored and forwarded; its version is unknown.
fn forwarded_row(row: StoredRow) -> ChangedRow {
    ChangedRow {
        key: Arc::from(row.name),
        value: Some(Arc::from(row.value)),
        version: 0,
    }
}
