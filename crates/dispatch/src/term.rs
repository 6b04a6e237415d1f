//! A term of leadership: recovery, and the async tasks that supply the scheduler with data and execute its decisions.

use {
    crate::{
        Cell, Timing,
        api::ListedWorker,
        events::{
            BECAME_LEADER, INVALID_ROW, LEADERSHIP_LOST, LEADERSHIP_RELEASED, RECOVERED,
            TASK_PANICKED, WORKER_MOVED,
        },
        finished_jobs::FinishedJobs,
        journal::Journal,
        orders::{Order, WorkerHandle},
        rows::{
            JOBS_TABLE, LeaderRow, MAIN_PARTITION, OwnedState, STATES_TABLE, StateRow,
            StateRowError, WORKER_BUCKETS, WorkersRow, bucket_row_name, parse_cancel_row_name,
            worker_row_name,
        },
        stored_states::StoredStates,
        term_stats::TermStats,
        unanswered::{StoreTime, UnansweredWorkers},
        worker_monitor::monitor_worker,
        workspaces,
    },
    async_channel::{Receiver, Sender},
    ragwortreel_entry::HelperPeer,
    ragwortreel_model::{InstanceId, JobId, JobState, WorkerId},
    ragwortreel_platform::{ChangedRow, FeedError, PlatformError},
    ragwortreel_runtime::{
        Stop, Task, boot_ms, catch_panic, catch_panic_sync, lock, log_event, sleep_ms, spawn,
        timeout_ms, unix_ms,
    },
    ragwortreel_workflow::{Action, AdviceBroker, JobOrigin, JobRequest, Progress, Scheduler},
    std::{
        collections::{BTreeMap, BTreeSet},
        future::Future,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

mod reads;

/// Delay before a failed store call is retried, in ms.
const STORE_RETRY_MS: u64 = 200;
/// Long-poll timeout for new jobs. The number of waiting jobs is published with the age of the last read, and callers
/// get no number that is older than 2 s.
const JOBS_POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause between two reads of new jobs, in ms. The instances forward jobs themselves; the reads find those that were
/// lost in transit.
const JOBS_POLL_INTERVAL_MS: u64 = 100;
/// Shortest pause between two reads of the list of workers, in ms. A tenth of all workers may start again at once.
const MIN_LIST_PAUSE_MS: u64 = 200;
/// Longest interval between two decisions, in ms; tickets and leases expire without an event.
const DECISION_INTERVAL_MS: u64 = 50;
/// Minimum interval between two decisions, in ms. Events in between share one decision. The journal delays starts
/// for up to its minimum interval between two transactions, which is longer.
const MIN_DECISION_INTERVAL_MS: u64 = 5;
/// Connection to another instance, with its address.
type HelperConnection = (SocketAddr, Arc<dyn HelperPeer>);

/// State of a term of leadership.
pub(crate) struct Term {
    pub(crate) cell: Arc<Cell>,
    pub(crate) number: u32,
    pub(crate) scheduler: Mutex<Scheduler>,
    pub(crate) journal: Journal,
    pub(crate) finished: FinishedJobs,
    pub(crate) broker: Mutex<AdviceBroker>,
    /// Connections to the other instances.
    pub(crate) helpers: Mutex<BTreeMap<InstanceId, HelperConnection>>,
    pub(crate) workers: Mutex<BTreeMap<WorkerId, WorkerHandle>>,
    /// Number of changes of `workers`; their rows are rebuilt only after one.
    pub(crate) workers_changed: AtomicU64,
    /// Statistics for the next summary.
    pub(crate) stats: Mutex<TermStats>,
    /// Workers that do not answer this leader.
    pub(crate) unanswered: Mutex<UnansweredWorkers>,
    /// States of jobs, as stored.
    pub(crate) stored_states: Mutex<BTreeMap<JobId, OwnedState>>,
    /// Numbers of the stored segments of jobs that have any.
    pub(crate) stored_segments: Mutex<BTreeMap<JobId, BTreeSet<u64>>>,
    recovered: AtomicBool,
    /// Set before the release of leadership is sent to the store: nothing is started and no lease is extended any more.
    is_releasing: AtomicBool,
    /// Time by which all leases of a former leader that released leadership have expired, in ms.
    released_leases_end_ms: Option<u64>,
    /// Time at which the last successful read of the jobs table was sent, in ms.
    jobs_read_ms: AtomicU64,
    /// Time at which the last successful renewal was sent, in ms.
    renewed_ms: AtomicU64,
    /// Start window of the last renewal, in ms; see [`Timing::start_window_ms`].
    start_window_ms: AtomicU64,
    pub(crate) stop: Stop,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
    list_tx: Sender<()>,
    list_rx: Receiver<()>,
}

impl Term {
    /// Begins a term. `sent_ms` is the time at which the takeover was sent, and `former` the row that it replaced.
    pub(crate) fn new(
        cell: Arc<Cell>,
        row: LeaderRow,
        version: u64,
        sent_ms: u64,
        former: Option<&LeaderRow>,
    ) -> Arc<Self> {
        let lease_bound_ms = cell.cfg.timing.lease_bound_ms();
        let start_window_ms = Timing::start_window_ms(row.takeover_ms);
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        let (list_tx, list_rx) = async_channel::bounded(1);
        Arc::new(Self {
            number: row.term,
            scheduler: Mutex::new(Scheduler::new(row.term, lease_bound_ms)),
            journal: Journal::new(row, version),
            finished: FinishedJobs::default(),
            broker: Mutex::default(),
            helpers: Mutex::default(),
            workers: Mutex::default(),
            workers_changed: AtomicU64::new(0),
            stats: Mutex::default(),
            unanswered: Mutex::default(),
            stored_states: Mutex::default(),
            stored_segments: Mutex::default(),
            recovered: AtomicBool::new(false),
            is_releasing: AtomicBool::new(false),
            released_leases_end_ms: former
                .filter(|row| row.extends_no_leases)
                .map(|_| sent_ms + lease_bound_ms),
            jobs_read_ms: AtomicU64::new(0),
            renewed_ms: AtomicU64::new(sent_ms),
            start_window_ms: AtomicU64::new(start_window_ms),
            stop: Stop::new(),
            wake_tx,
            wake_rx,
            list_tx,
            list_rx,
            cell,
        })
    }

    pub(crate) fn is_over(&self) -> bool {
        self.stop.is_requested()
    }

    /// Requests a decision of the scheduler.
    pub(crate) fn wake(&self) {
        // One queued wake-up covers any number of requests.
        let _ = self.wake_tx.try_send(());
    }

    /// Requests a read of the list of workers before it is due.
    pub(crate) fn request_list(&self) {
        // One queued request covers any number of workers.
        let _ = self.list_tx.try_send(());
    }

    /// Records a successful renewal by the time at which it was sent.
    pub(crate) fn record_renewal(&self, sent_ms: u64) {
        self.renewed_ms.fetch_max(sent_ms, Ordering::Relaxed);
    }

    /// Age of the last read of the jobs table, in ms; this term may not know jobs that were stored since.
    pub(crate) fn jobs_age_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.jobs_read_ms.load(Ordering::Relaxed))
    }

    /// Sets the start window that belongs to a takeover time, both in ms.
    pub(crate) fn set_start_window(&self, takeover_ms: u64) {
        let window_ms = Timing::start_window_ms(takeover_ms);
        self.start_window_ms.store(window_ms, Ordering::Relaxed);
    }

    /// Shortens the start window to that of a takeover time, both in ms; never extends it.
    pub(crate) fn shorten_start_window(&self, takeover_ms: u64) {
        let window_ms = Timing::start_window_ms(takeover_ms);
        self.start_window_ms.fetch_min(window_ms, Ordering::Relaxed);
    }

    /// Time since the sending of the last successful renewal, in ms.
    pub(crate) fn since_renewal_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.renewed_ms.load(Ordering::Relaxed))
    }

    /// Whether tasks may be started, because no other instance can lead yet.
    pub(crate) fn may_start(&self) -> bool {
        let window_ms = self.start_window_ms.load(Ordering::Relaxed);
        !self.is_over() && !self.is_releasing() && self.since_renewal_ms() < window_ms
    }

    /// Whether the leases of running tasks may be extended.
    pub(crate) fn may_extend_leases(&self) -> bool {
        let keep_alive_ms = self.cell.cfg.timing.keep_alive_ms;
        !self.is_over() && !self.is_releasing() && self.since_renewal_ms() < keep_alive_ms
    }

    fn is_releasing(&self) -> bool {
        self.is_releasing.load(Ordering::SeqCst)
    }

    /// Time by which all leases of former leaders have expired on workers that have not answered, in ms, for a recovery that
    /// read the stored state at `read_ms`.
    pub(crate) fn former_leases_end_ms(&self, read_ms: u64) -> u64 {
        let latest_ms = read_ms + self.cell.cfg.timing.unreached_lease_bound_ms();
        self.released_leases_end_ms
            .unwrap_or(latest_ms)
            .min(latest_ms)
    }

    /// Spawns an async task of this term. Its panic ends the term but not the process: shared state may be
    /// inconsistent, so another instance continues from the stored state.
    pub(crate) fn spawn_task(
        self: &Arc<Self>,
        name: &'static str,
        future: impl Future<Output = ()> + Send + 'static,
    ) -> Task<()> {
        let term = Arc::clone(self);
        spawn(async move {
            if let Err(problem) = catch_panic(future).await {
                term.handle_panic(name, &problem);
            }
        })
    }

    fn handle_panic(&self, task: &'static str, problem: &str) {
        log_event!(self.cell.deps.log, TASK_PANICKED; "task" => task, "term" => self.number,
            "problem" => problem.to_owned());
        self.step_down("a task of the term panicked");
    }

    /// Ends the term without a release, because another instance may lead or a task panicked.
    pub(crate) fn step_down(&self, reason: &str) {
        if !self.is_over() {
            log_event!(self.cell.deps.log, LEADERSHIP_LOST; "term" => self.number,
                "reason" => reason.to_owned(), "unrenewed_ms" => self.since_renewal_ms());
            self.stop.request();
        }
    }

    /// Ends the term and stores that leadership is released.
    pub(crate) async fn release(&self, reason: &str) {
        if self.is_over() {
            return;
        }
        // The next leader counts on leases that end by its takeover. The others, which are alive, hear of it at once.
        self.is_releasing.store(true, Ordering::SeqCst);
        let stored = self.journal.release(self).await;
        log_event!(self.cell.deps.log, LEADERSHIP_RELEASED; "term" => self.number,
            "reason" => reason.to_owned(), "stored" => stored);
        self.stop.request();
    }

    pub(crate) async fn run(self: Arc<Self>) {
        log_event!(self.cell.deps.log, BECAME_LEADER; "term" => self.number);
        self.spawn_task("journal", Arc::clone(&self).run_journal())
            .detach();
        let Some(cursor) = self.recover().await else {
            return;
        };
        self.recovered.store(true, Ordering::Relaxed);
        let term = || Arc::clone(&self);
        self.spawn_task("jobs", term().follow_jobs(cursor)).detach();
        self.spawn_task("workers", term().poll_workers()).detach();
        self.spawn_task("members", term().poll_members()).detach();
        self.spawn_task("summary", term().log_summaries()).detach();
        self.spawn_task("finished jobs", term().run_finished_cleanup())
            .detach();
        self.run_decisions().await;
    }

    /// Reads all stored jobs; returns the version from which new ones are followed, or `None` when the term is over.
    async fn recover(self: &Arc<Self>) -> Option<u64> {
        loop {
            if self.is_over() {
                return None;
            }
            match self.read_stored_state().await {
                Ok(cursor) => {
                    self.cell.health.record_success("recover");
                    return Some(cursor);
                }
                Err(err) => {
                    self.cell.health.record_failure("recover", &err);
                    sleep_ms(STORE_RETRY_MS).await;
                }
            }
        }
    }

    async fn read_stored_state(self: &Arc<Self>) -> Result<u64, PlatformError> {
        let deps = &self.cell.deps;
        let jobs = self.read_jobs().await?;
        let states = deps.feed.part(STATES_TABLE, MAIN_PARTITION).await?;
        let listed = deps.source.workers().await?;
        let states = StoredStates::new(states.rows);
        let stored_workers = self.read_workers().await?;
        // An invalid state row is logged when its job is applied.
        self.record_stored_states(states.owned_states());
        *lock(&self.stored_segments) = states.segment_numbers();
        self.finished
            .set_lost_segments(states.segments_without_state());
        let count = jobs.rows.len();
        log_event!(deps.log, RECOVERED; "term" => self.number, "rows" => count,
            "listed_workers" => listed.len(), "known_workers" => stored_workers.addresses.len(),
            "unanswered_workers" => stored_workers.leases.until_ms.len());
        let run_times = self.read_run_times().await;
        // Nothing is awaited between the start of the workers' monitors and the acceptance of the jobs: an end that is
        // reported before its job is known would be acknowledged without being recorded.
        let listed_ids = listed.iter().map(|it| it.spec.id.clone());
        let leases = self.begin_leases(listed_ids, &stored_workers);
        self.apply_workers(listed, &stored_workers.addresses);
        let mut scheduler = lock(&self.scheduler);
        if let Some(row) = run_times {
            scheduler.restore_run_times(row, boot_ms());
        }
        for row in &jobs.rows {
            let state = states.decode(&row.key);
            self.apply_job_row(&mut scheduler, row, state, JobOrigin::Recovered);
        }
        let latest_ms = self.former_leases_end_ms(boot_ms());
        for worker in scheduler.worker_ids() {
            let until_ms = leases.get(&worker).copied().unwrap_or(latest_ms);
            scheduler.set_unreached_lease(&worker, until_ms);
        }
        drop(scheduler);
        Ok(jobs.version)
    }

    fn apply_job_row(
        &self,
        scheduler: &mut Scheduler,
        row: &ChangedRow,
        state: Option<Result<StateRow, StateRowError>>,
        origin: JobOrigin,
    ) {
        let now_ms = boot_ms();
        let log_invalid = |problem: String| {
            log_event!(self.cell.deps.log, INVALID_ROW; "row" => row.key.to_string(),
                "problem" => problem);
        };
        let Some(value) = &row.value else {
            return;
        };
        if let Some(job) = parse_cancel_row_name(&row.key) {
            // The marker of a finished job is removed with the job.
            scheduler.cancel(&job, now_ms);
            return;
        }
        if value.is_empty() {
            // The empty row is the tombstone of a finished job.
            if origin == JobOrigin::Recovered
                && let Ok(job) = JobId::new(&row.key)
            {
                self.finished.add_tombstone(job);
            }
            return;
        }
        let request: JobRequest = match serde_json::from_str(value) {
            Ok(request) => request,
            Err(err) => return log_invalid(err.to_string()),
        };
        if let Err(err) = request.validate() {
            return log_invalid(err.to_string());
        }
        if self.finished.contains(&request.id) {
            return;
        }
        let progress = match state {
            Some(Ok(state)) if state.state.is_final() => {
                if origin == JobOrigin::Recovered {
                    scheduler.restore_finished(&request, &state.progress, now_ms);
                }
                self.finished.add(request.id);
                return;
            }
            Some(Ok(state)) => state.progress,
            Some(Err(err)) => {
                log_invalid(err.to_string());
                Progress::default()
            }
            None => Progress::default(),
        };
        let age_ms = unix_ms().saturating_sub(request.accepted_ms);
        scheduler.accept(request, origin, &progress, age_ms, now_ms);
    }

    /// Whether the stored jobs are recovered and the term is not over.
    pub(crate) fn has_recovered(&self) -> bool {
        self.recovered.load(Ordering::Relaxed) && !self.is_over()
    }

    /// Applies rows of jobs and cancellations that were stored during this term.
    pub(crate) fn apply_job_rows(&self, rows: &[ChangedRow]) {
        let result = catch_panic_sync(|| {
            let mut scheduler = lock(&self.scheduler);
            for row in rows {
                self.apply_job_row(&mut scheduler, row, None, JobOrigin::Accepted);
            }
        });
        if let Err(problem) = result {
            self.handle_panic("take rows", &problem);
        }
        self.wake();
    }

    /// Follows new jobs and cancellations in the store.
    async fn follow_jobs(self: Arc<Self>, mut cursor: u64) {
        let feed = &self.cell.deps.feed;
        while !self.is_over() {
            let sent_ms = boot_ms();
            let result = feed.changes(JOBS_TABLE, cursor, JOBS_POLL_TIMEOUT).await;
            let rows = match result {
                Ok(rows) => {
                    self.jobs_read_ms.store(sent_ms, Ordering::Relaxed);
                    if let Some(store_ms) = rows.clock_ms {
                        let time = StoreTime { store_ms, sent_ms };
                        lock(&self.unanswered).record_store_time(time);
                    }
                    rows
                }
                Err(FeedError::HistoryGone | FeedError::TooLarge) => match self.read_jobs().await {
                    Ok(rows) => rows,
                    Err(err) => {
                        self.cell.health.record_failure("read jobs", &err);
                        sleep_ms(STORE_RETRY_MS).await;
                        continue;
                    }
                },
                Err(FeedError::Failed(err)) => {
                    self.cell.health.record_failure("read jobs", &err);
                    sleep_ms(STORE_RETRY_MS).await;
                    continue;
                }
            };
            self.cell.health.record_success("read jobs");
            cursor = rows.version;
            self.apply_job_rows(&rows.rows);
            sleep_ms(JOBS_POLL_INTERVAL_MS).await;
        }
    }

    /// Keeps the list of workers up to date. The whole list is read, because the change feed reports each heartbeat of
    /// a worker as a change, and with 3,000 workers a list that followed the feed fell seconds behind.
    async fn poll_workers(self: Arc<Self>) {
        while !self.is_over() {
            let count = lock(&self.workers).len() as u64;
            sleep_ms(MIN_LIST_PAUSE_MS).await;
            let due_in_ms = self.cell.cfg.timing.list_interval_ms(count);
            let rest_ms = due_in_ms.saturating_sub(MIN_LIST_PAUSE_MS);
            // A timeout means that a read is due.
            let _ = timeout_ms(rest_ms, self.list_rx.recv()).await;
            match self.cell.deps.source.workers().await {
                Ok(listed) => {
                    self.cell.health.record_success("list workers");
                    self.apply_workers(listed, &WorkersRow::new());
                }
                Err(err) => self.cell.health.record_failure("list workers", &err),
            }
        }
    }

    /// Applies a list of workers, and starts a monitor for each new one, and for each that is listed with another address.
    fn apply_workers(self: &Arc<Self>, listed: Vec<ListedWorker>, stored_workers: &WorkersRow) {
        let mut addresses = stored_workers.clone();
        addresses.extend(listed.iter().map(|it| (it.spec.id.clone(), it.address)));
        let listed_ids: BTreeSet<WorkerId> = listed.iter().map(|it| it.spec.id.clone()).collect();
        let specs = listed.into_iter().map(|worker| worker.spec).collect();
        {
            let mut scheduler = lock(&self.scheduler);
            scheduler.update_workers(specs, boot_ms());
            for worker in stored_workers.keys() {
                scheduler.add_unlisted(worker);
            }
        }
        let mut moved = Vec::new();
        let mut workers = lock(&self.workers);
        for (id, address) in addresses {
            if let Some(former) = workers.get(&id) {
                if former.address == address || !listed_ids.contains(&id) {
                    continue;
                }
                // A new incarnation. It gets no tasks until it answers.
                log_event!(self.cell.deps.log, WORKER_MOVED; "worker" => id.to_string(),
                    "from" => former.address.to_string(), "to" => address.to_string());
                moved.push(id.clone());
            }
            let (handle, orders) = WorkerHandle::new(address);
            if let Some(former) = workers.insert(id.clone(), handle.clone()) {
                former.orders_tx.close();
                // Orders that are still queued must not extend the lease of the former incarnation.
                former.forget_clock();
            }
            self.workers_changed.fetch_add(1, Ordering::Release);
            let monitor = monitor_worker(Arc::clone(self), id, handle, orders);
            self.spawn_task("worker", monitor).detach();
        }
        drop(workers);
        for id in moved {
            lock(&self.scheduler).mark_unreachable(&id);
        }
        self.wake();
    }

    /// Workers that may have runs, with their addresses, by row name.
    pub(crate) fn worker_rows(&self) -> BTreeMap<String, WorkersRow> {
        let mut rows: BTreeMap<String, WorkersRow> = (0..WORKER_BUCKETS)
            .map(|number| (bucket_row_name(number), WorkersRow::new()))
            .collect();
        for (id, handle) in &*lock(&self.workers) {
            let row = rows.entry(worker_row_name(id)).or_default();
            row.insert(id.clone(), handle.address);
        }
        rows
    }

    /// Records the stored states of jobs.
    pub(crate) fn record_stored_states(
        &self,
        states: impl IntoIterator<Item = (JobId, OwnedState)>,
    ) {
        lock(&self.stored_states).extend(states);
    }

    /// Stored state of a job, if this term knows the job.
    pub(crate) fn stored_state(&self, job: &JobId) -> Option<OwnedState> {
        if let Some(state) = lock(&self.stored_states).get(job) {
            return Some(state.clone());
        }
        let scheduler = lock(&self.scheduler);
        scheduler.job_request(job).map(|request| OwnedState {
            state: JobState::Queued,
            workspace: request.workspace.clone(),
        })
    }

    async fn run_decisions(self: &Arc<Self>) {
        let mut applied_version = 0;
        while !self.is_over() {
            // On a timeout, the scheduler handles what expires without an event, such as leases and tickets.
            let _ = timeout_ms(DECISION_INTERVAL_MS, self.wake_rx.recv()).await;
            if !self.may_start() {
                if !self.is_releasing() && !self.may_extend_leases() {
                    self.step_down("the store has not taken a renewal for too long");
                }
                sleep_ms(DECISION_INTERVAL_MS).await;
                continue;
            }
            let started_ms = boot_ms();
            let spare_instances = lock(&self.broker).spare_instances();
            let routes = self.cell.routes();
            let (actions, stuck_runs, moved_runs, unplaceable, quarantines, notices) = {
                let mut scheduler = lock(&self.scheduler);
                scheduler.set_spare_instances(spare_instances);
                if routes.version != applied_version {
                    scheduler.set_workspaces(routes.workspaces.clone());
                    applied_version = routes.version;
                }
                let actions = scheduler.decide(started_ms, unix_ms());
                let stuck_runs = scheduler.take_stuck_runs();
                let moved_runs = scheduler.take_moved_runs();
                let unplaceable = scheduler.take_unplaceable_steps();
                let quarantines = scheduler.take_quarantine_notices();
                let notices = scheduler.take_workspace_notices();
                (
                    actions,
                    stuck_runs,
                    moved_runs,
                    unplaceable,
                    quarantines,
                    notices,
                )
            };
            workspaces::log_notices(&self.cell.deps.log, notices);
            lock(&self.stats).record_decision(boot_ms().saturating_sub(started_ms));
            let has_changes = !actions.is_empty();
            self.log_starts(&actions);
            for run in stuck_runs {
                self.record_stuck_run(&run);
            }
            self.record_moved_runs(moved_runs);
            self.record_unplaceable_steps(&unplaceable);
            self.record_quarantines(quarantines);
            for action in actions {
                self.execute(action);
            }
            if has_changes {
                self.assign_advice();
            }
            self.journal.wake();
            sleep_ms(MIN_DECISION_INTERVAL_MS).await;
        }
    }

    fn execute(self: &Arc<Self>, action: Action) {
        match action {
            Action::Start(start) => self.journal.send_when_stored(start, boot_ms()),
            Action::Stop(stop) => self.send_order(&stop.worker.clone(), Order::Stop(stop)),
            Action::RequestAdvice(request) => self.queue_advice(request),
        }
    }

    /// Queues an order for its worker.
    pub(crate) fn send_order(&self, worker: &WorkerId, order: Order) {
        // The lock is held so that the channel is not closed meanwhile. It is unbounded, because the worker's capacity and
        // runs limit the number of its orders.
        if let Some(handle) = lock(&self.workers).get(worker) {
            let _ = handle.orders_tx.try_send(order);
        }
    }

    /// Removes a job whose final state is stored from the scheduler, and later its rows from the store.
    pub(crate) fn finish_job(&self, job: &JobId) {
        lock(&self.scheduler).remove_finished(job);
        self.finished.add(job.clone());
    }
}
