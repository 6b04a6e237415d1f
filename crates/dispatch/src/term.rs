//! A term of leadership: recovery, and the loops that feed the scheduler and carry out what it decides.

use {
    crate::{
        Cell, Timing,
        api::ListedWorker,
        events::{
            BAD_ROW, BECAME_LEADER, CELL_SUMMARY, LEADERSHIP_LOST, LEADERSHIP_RELEASED, RECOVERED,
            STEP_STARTED, TASK_PANICKED,
        },
        finished_jobs::FinishedJobs,
        journal::Journal,
        orders::{Order, WorkerHandle},
        rows::{
            JOB_PARTITIONS, JOBS_TABLE, LeaderRow, MAIN_PARTITION, STATES_TABLE, StateRow,
            WORKER_BUCKETS, WORKERS_TABLE, WorkersRow, bucket_row_name, decode_state,
            job_partition_name, main_key, parse_cancel_row_name, worker_row_name,
        },
        term_stats::TermFigures,
        worker_monitor::run_worker,
    },
    async_channel::{Receiver, Sender},
    ragwortreel_entry::HelperPeer,
    ragwortreel_model::{InstanceId, JobId, JobState, WorkerId},
    ragwortreel_platform::{ChangedRow, FeedError, PlatformError, TableRows},
    ragwortreel_runtime::{
        Stop, Task, boot_ms, catch_panic, catch_panic_in, lock, log_event, sleep_ms, spawn,
        timeout_ms, unix_ms,
    },
    ragwortreel_workflow::{
        Action, AdviceBroker, JobOrigin, JobRequest, Progress, Scheduler, StartOrder, StepKey,
    },
    std::{
        collections::BTreeMap,
        future::Future,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Pause after a failed call to the store, in ms.
const PAUSE_MS: u64 = 200;
/// Longest time that the store may wait for new jobs before it answers. The number of waiting jobs is published with the
/// age of the last reading, and callers get none that is older than 2 s.
const JOBS_WAIT: Duration = Duration::from_millis(400);
/// Pause between two readings of new jobs, in ms. The instances hand jobs over themselves; the readings find what got
/// lost on the way.
const JOBS_PAUSE_MS: u64 = 100;
/// Time between two decisions while tasks wait, in ms; tickets and leases expire without an event.
const DECIDE_MS: u64 = 50;
/// Shortest time between two decisions, in ms. What happens meanwhile shares one; the journal makes starts wait for longer.
const DECIDE_GAP_MS: u64 = 5;
/// Time between two summary lines, in ms.
const SUMMARY_MS: u64 = 1_000;

/// A connection to another instance, with the address that it goes to.
type Helper = (SocketAddr, Arc<dyn HelperPeer>);

/// A term of leadership.
pub(crate) struct Term {
    pub(crate) cell: Arc<Cell>,
    pub(crate) number: u32,
    pub(crate) scheduler: Mutex<Scheduler>,
    pub(crate) journal: Journal,
    pub(crate) finished: FinishedJobs,
    pub(crate) broker: Mutex<AdviceBroker>,
    /// Connections to the other instances, with the addresses that they go to.
    pub(crate) helpers: Mutex<BTreeMap<InstanceId, Helper>>,
    pub(crate) workers: Mutex<BTreeMap<WorkerId, WorkerHandle>>,
    /// Counts changes of `workers`, so that their rows are made anew only after one.
    pub(crate) workers_changed: AtomicU64,
    /// Figures for the next summary.
    pub(crate) figures: Mutex<TermFigures>,
    /// States of jobs as they are stored.
    pub(crate) shown: Mutex<BTreeMap<JobId, JobState>>,
    recovered: AtomicBool,
    /// Time of the sending of the last reading of the table of jobs that succeeded.
    jobs_read_ms: AtomicU64,
    /// Time of the sending of the last renewal that succeeded.
    renewed_ms: AtomicU64,
    /// Time after it for which tasks may be started.
    start_valid_ms: AtomicU64,
    pub(crate) stop: Stop,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
}

impl Term {
    pub(crate) fn new(cell: Arc<Cell>, row: LeaderRow, version: u64, sent_ms: u64) -> Arc<Self> {
        let lease_bound_ms = cell.cfg.timing.lease_bound_ms();
        let start_valid_ms = Timing::start_window_ms(row.takeover_ms);
        let (wake_tx, wake_rx) = async_channel::bounded(1);
        Arc::new(Self {
            number: row.term,
            scheduler: Mutex::new(Scheduler::new(row.term, lease_bound_ms)),
            journal: Journal::new(row, version),
            finished: FinishedJobs::default(),
            broker: Mutex::default(),
            helpers: Mutex::default(),
            workers: Mutex::default(),
            workers_changed: AtomicU64::new(0),
            figures: Mutex::default(),
            shown: Mutex::default(),
            recovered: AtomicBool::new(false),
            jobs_read_ms: AtomicU64::new(0),
            renewed_ms: AtomicU64::new(sent_ms),
            start_valid_ms: AtomicU64::new(start_valid_ms),
            stop: Stop::new(),
            wake_tx,
            wake_rx,
            cell,
        })
    }

    /// Whether the term has ended.
    pub(crate) fn is_over(&self) -> bool {
        self.stop.is_requested()
    }

    /// Asks for a decision.
    pub(crate) fn wake(&self) {
        // The channel holds one wake-up, which stands for any number.
        let _ = self.wake_tx.try_send(());
    }

    /// Records a successful renewal by the time at which it was sent.
    pub(crate) fn renewed(&self, sent_ms: u64) {
        self.renewed_ms.fetch_max(sent_ms, Ordering::Relaxed);
    }

    /// Time for which jobs may have been stored that this term does not know, in ms.
    pub(crate) fn jobs_age_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.jobs_read_ms.load(Ordering::Relaxed))
    }

    /// Sets the time for which a renewal allows starts, from the time after which others take over.
    pub(crate) fn set_permission(&self, takeover_ms: u64) {
        let allowed_ms = Timing::start_window_ms(takeover_ms);
        self.start_valid_ms.store(allowed_ms, Ordering::Relaxed);
    }

    /// The same, unless it is shorter already.
    pub(crate) fn shorten_permission(&self, takeover_ms: u64) {
        let allowed_ms = Timing::start_window_ms(takeover_ms);
        self.start_valid_ms.fetch_min(allowed_ms, Ordering::Relaxed);
    }

    fn unrenewed_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.renewed_ms.load(Ordering::Relaxed))
    }

    /// Whether no other instance can lead yet, so that tasks may be started.
    pub(crate) fn may_start(&self) -> bool {
        !self.is_over() && self.unrenewed_ms() < self.start_valid_ms.load(Ordering::Relaxed)
    }

    /// Whether running tasks may be kept alive.
    pub(crate) fn may_keep(&self) -> bool {
        !self.is_over() && self.unrenewed_ms() < self.cell.cfg.timing.keep_alive_ms
    }

    /// Runs a task of this term. Its panic ends the term and not the process: what it was changing may be half changed,
    /// so another instance goes on from what is stored.
    pub(crate) fn spawn_task(
        self: &Arc<Self>,
        name: &'static str,
        future: impl Future<Output = ()> + Send + 'static,
    ) -> Task<()> {
        let term = Arc::clone(self);
        spawn(async move {
            if let Err(problem) = catch_panic(future).await {
                term.panicked(name, &problem);
            }
        })
    }

    fn panicked(&self, task: &'static str, problem: &str) {
        log_event!(self.cell.deps.log, TASK_PANICKED; "task" => task, "term" => self.number,
            "problem" => problem.to_owned());
        self.depose("a task of the term panicked");
    }

    /// Ends the term because another instance leads, or may.
    pub(crate) fn depose(&self, reason: &str) {
        if !self.is_over() {
            log_event!(self.cell.deps.log, LEADERSHIP_LOST; "term" => self.number,
                "reason" => reason.to_owned(), "unrenewed_ms" => self.unrenewed_ms());
            self.stop.request();
        }
    }

    /// Gives leadership up.
    pub(crate) async fn release(&self, reason: &str) {
        if self.is_over() {
            return;
        }
        let stored = self.journal.release(self).await;
        log_event!(self.cell.deps.log, LEADERSHIP_RELEASED; "term" => self.number,
            "reason" => reason.to_owned(), "stored" => stored);
        self.stop.request();
    }

    pub(crate) async fn run(self: Arc<Self>) {
        log_event!(self.cell.deps.log, BECAME_LEADER; "term" => self.number);
        self.spawn_task("journal", Arc::clone(&self).keep_journal())
            .detach();
        let Some(cursor) = self.recover().await else {
            return;
        };
        self.recovered.store(true, Ordering::Relaxed);
        let term = || Arc::clone(&self);
        self.spawn_task("jobs", term().follow_jobs(cursor)).detach();
        self.spawn_task("workers", term().follow_workers()).detach();
        self.spawn_task("members", term().follow_members()).detach();
        self.spawn_task("summary", term().summarise()).detach();
        self.spawn_task("finished jobs", term().clear_finished())
            .detach();
        self.decide_forever().await;
    }

    /// Reads all stored jobs; returns the version from which new ones are followed.
    async fn recover(self: &Arc<Self>) -> Option<u64> {
        loop {
            if self.is_over() {
                return None;
            }
            match self.read_all().await {
                Ok(cursor) => {
                    self.cell.health.answered("recover");
                    return Some(cursor);
                }
                Err(err) => {
                    self.cell.health.failed("recover", &err);
                    sleep_ms(PAUSE_MS).await;
                }
            }
        }
    }

    async fn read_all(self: &Arc<Self>) -> Result<u64, PlatformError> {
        let deps = &self.cell.deps;
        let jobs = self.read_jobs().await?;
        let states = deps.feed.part(STATES_TABLE, MAIN_PARTITION).await?;
        let listed = deps.source.workers().await?;
        let states: BTreeMap<Arc<str>, Arc<str>> = (states.rows.into_iter())
            .filter_map(|row| Some((row.key, row.value?)))
            .collect();
        let mut known = WorkersRow::new();
        for row in deps.feed.part(WORKERS_TABLE, MAIN_PARTITION).await?.rows {
            match serde_json::from_str::<WorkersRow>(row.value.as_deref().unwrap_or("{}")) {
                Ok(some) => known.extend(some),
                Err(err) => {
                    log_event!(deps.log, BAD_ROW; "row" => row.key.to_string(),
                        "problem" => err.to_string());
                }
            }
        }
        // A value without a state is reported when its job is read.
        let shown = states
            .iter()
            .filter_map(|(name, value)| Some((JobId::new(name).ok()?, decode_state(value).ok()?)));
        self.show(shown);
        let count = jobs.rows.len();
        log_event!(deps.log, RECOVERED; "term" => self.number, "rows" => count,
            "listed_workers" => listed.len(), "known_workers" => known.len());
        self.apply_workers(listed, &known);
        let mut scheduler = lock(&self.scheduler);
        for row in &jobs.rows {
            let state = states.get(&row.key);
            self.accept(
                &mut scheduler,
                row,
                state.map(|it| &**it),
                JobOrigin::Recovered,
            );
        }
        let until_ms = boot_ms() + self.cell.cfg.timing.unreached_lease_bound_ms();
        for worker in scheduler.worker_ids() {
            scheduler.extend_lease(&worker, until_ms);
        }
        drop(scheduler);
        Ok(jobs.version)
    }

    /// Reads all parts of the table of jobs side by side.
    async fn read_jobs(&self) -> Result<TableRows, PlatformError> {
        let sent_ms = boot_ms();
        let readings: Vec<_> = (0..JOB_PARTITIONS)
            .map(|number| {
                let feed = Arc::clone(&self.cell.deps.feed);
                spawn(async move { feed.part(JOBS_TABLE, &job_partition_name(number)).await })
            })
            .collect();
        let mut all = TableRows {
            rows: Vec::new(),
            version: u64::MAX,
        };
        for reading in readings {
            let part = reading.await?;
            all.rows.extend(part.rows);
            all.version = all.version.min(part.version);
        }
        self.jobs_read_ms.store(sent_ms, Ordering::Relaxed);
        Ok(all)
    }

    fn accept(
        &self,
        scheduler: &mut Scheduler,
        row: &ChangedRow,
        state: Option<&str>,
        origin: JobOrigin,
    ) {
        let now_ms = boot_ms();
        let bad = |problem: String| {
            log_event!(self.cell.deps.log, BAD_ROW; "row" => row.key.to_string(),
                "problem" => problem);
        };
        let Some(value) = &row.value else {
            return;
        };
        if let Some(job) = parse_cancel_row_name(&row.key) {
            // The mark of a job that has ended is removed with it.
            scheduler.cancel(&job, now_ms);
            return;
        }
        if value.is_empty() {
            // The job has ended.
            if origin == JobOrigin::Recovered
                && let Ok(job) = JobId::new(&row.key)
            {
                self.finished.ended_before(job);
            }
            return;
        }
        let request: JobRequest = match serde_json::from_str(value) {
            Ok(request) => request,
            Err(err) => return bad(err.to_string()),
        };
        if let Err(err) = request.validate() {
            return bad(err.to_string());
        }
        if self.finished.contains(&request.id) {
            return;
        }
        let progress = match state.map(StateRow::decode) {
            Some(Ok(state)) if state.state.is_final() => {
                self.finished.ended(request.id);
                return;
            }
            Some(Ok(state)) => state.progress,
            Some(Err(err)) => {
                bad(err.to_string());
                Progress::default()
            }
            None => Progress::default(),
        };
        let age_ms = unix_ms().saturating_sub(request.accepted_ms);
        scheduler.accept(request, origin, &progress, age_ms, now_ms);
    }

    /// Whether the stored jobs were read.
    pub(crate) fn has_recovered(&self) -> bool {
        self.recovered.load(Ordering::Relaxed) && !self.is_over()
    }

    /// Takes over rows of jobs that were stored during this term.
    pub(crate) fn take_rows(&self, rows: &[ChangedRow]) {
        let taken = catch_panic_in(|| {
            let mut scheduler = lock(&self.scheduler);
            for row in rows {
                self.accept(&mut scheduler, row, None, JobOrigin::Accepted);
            }
        });
        if let Err(problem) = taken {
            self.panicked("take rows", &problem);
        }
        self.wake();
    }

    /// Takes new jobs and cancellations from the store.
    async fn follow_jobs(self: Arc<Self>, mut cursor: u64) {
        let feed = &self.cell.deps.feed;
        while !self.is_over() {
            let sent_ms = boot_ms();
            let result = feed.changes(JOBS_TABLE, cursor, JOBS_WAIT).await;
            let rows = match result {
                Ok(rows) => {
                    self.jobs_read_ms.store(sent_ms, Ordering::Relaxed);
                    rows
                }
                Err(FeedError::HistoryGone) => match self.read_jobs().await {
                    Ok(rows) => rows,
                    Err(err) => {
                        self.cell.health.failed("read jobs", &err);
                        sleep_ms(PAUSE_MS).await;
                        continue;
                    }
                },
                Err(FeedError::Failed(err)) => {
                    self.cell.health.failed("read jobs", &err);
                    sleep_ms(PAUSE_MS).await;
                    continue;
                }
            };
            self.cell.health.answered("read jobs");
            cursor = rows.version;
            self.take_rows(&rows.rows);
            sleep_ms(JOBS_PAUSE_MS).await;
        }
    }

    /// Keeps the list of workers up to date. It is read whole: the store tells of each heartbeat of a worker as a change, and
    /// followed by its changes the list fell seconds behind on 3,000 workers.
    async fn follow_workers(self: Arc<Self>) {
        while !self.is_over() {
            let count = lock(&self.workers).len() as u64;
            sleep_ms(self.cell.cfg.timing.list_interval_ms(count)).await;
            match self.cell.deps.source.workers().await {
                Ok(listed) => {
                    self.cell.health.answered("list workers");
                    self.apply_workers(listed, &WorkersRow::new());
                }
                Err(err) => self.cell.health.failed("list workers", &err),
            }
        }
    }

    /// Takes over a list of workers, and starts a loop for each new one.
    fn apply_workers(self: &Arc<Self>, listed: Vec<ListedWorker>, known: &WorkersRow) {
        let mut addresses = known.clone();
        addresses.extend(listed.iter().map(|it| (it.spec.id.clone(), it.address)));
        let specs = listed.into_iter().map(|worker| worker.spec).collect();
        {
            let mut scheduler = lock(&self.scheduler);
            scheduler.update_workers(specs, boot_ms());
            for worker in known.keys() {
                scheduler.add_unlisted(worker);
            }
        }
        let mut workers = lock(&self.workers);
        for (id, address) in addresses {
            if workers.contains_key(&id) {
                continue;
            }
            let (handle, orders) = WorkerHandle::new(address);
            workers.insert(id.clone(), handle.clone());
            self.workers_changed.fetch_add(1, Ordering::Release);
            let watch = run_worker(Arc::clone(self), id, handle, orders);
            self.spawn_task("worker", watch).detach();
        }
        drop(workers);
        self.wake();
    }

    /// Workers that may run something, with their addresses, by the names of their rows.
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

    /// Records states that are stored.
    pub(crate) fn show(&self, states: impl IntoIterator<Item = (JobId, JobState)>) {
        lock(&self.shown).extend(states);
    }

    /// State of a job as it is stored, if this term knows the job.
    pub(crate) fn stored_state(&self, job: &JobId) -> Option<JobState> {
        if let Some(state) = lock(&self.shown).get(job) {
            return Some(*state);
        }
        lock(&self.scheduler)
            .has_job(job)
            .then_some(JobState::Queued)
    }

    async fn decide_forever(self: &Arc<Self>) {
        while !self.is_over() {
            // An elapsed time is the wake-up of work that waits for time to pass.
            let _ = timeout_ms(DECIDE_MS, self.wake_rx.recv()).await;
            if !self.may_start() {
                if !self.may_keep() {
                    self.depose("the store has not taken a renewal for too long");
                }
                sleep_ms(DECIDE_MS).await;
                continue;
            }
            let begun_ms = boot_ms();
            let spare_instances = lock(&self.broker).spare_instances();
            let actions = {
                let mut scheduler = lock(&self.scheduler);
                scheduler.set_spare_instances(spare_instances);
                scheduler.decide(begun_ms, unix_ms())
            };
            lock(&self.figures).decision(boot_ms().saturating_sub(begun_ms));
            let has_changes = !actions.is_empty();
            self.log_starts(&actions);
            for action in actions {
                self.carry_out(action);
            }
            if has_changes {
                self.assign_advice();
            }
            self.journal.wake();
            sleep_ms(DECIDE_GAP_MS).await;
        }
    }

    fn log_starts(&self, actions: &[Action]) {
        let mut steps: BTreeMap<&StepKey, Vec<&StartOrder>> = BTreeMap::new();
        for action in actions {
            if let Action::Start(start) = action {
                steps.entry(&start.task.step).or_default().push(start);
            }
        }
        for (step, starts) in steps {
            let mut workers: Vec<&str> = starts.iter().map(|it| it.worker.as_str()).collect();
            workers.dedup();
            log_event!(self.cell.deps.log, STEP_STARTED; "step" => step.to_string(),
                "tasks" => starts.len(), "run" => starts[0].run, "term" => self.number,
                "workers" => workers.join(","));
        }
    }

    fn carry_out(self: &Arc<Self>, action: Action) {
        match action {
            Action::Start(start) => self.journal.send_when_stored(start, boot_ms()),
            Action::Stop(stop) => self.send(&stop.worker.clone(), Order::Stop(stop)),
            Action::RequestAdvice(request) => self.queue_advice(request),
        }
    }

    /// Hands an order to its worker's loop.
    pub(crate) fn send(&self, worker: &WorkerId, order: Order) {
        let handle = lock(&self.workers).get(worker).cloned();
        let Some(handle) = handle else {
            return;
        };
        // The channel is not bounded: what is in it is bounded by the worker's room and its runs.
        let _ = handle.orders_tx.try_send(order);
    }

    async fn summarise(self: Arc<Self>) {
        while !self.is_over() {
            let begun_ms = boot_ms();
            sleep_ms(SUMMARY_MS).await;
            // A timer that fires late tells how long other tasks keep the processor, or that there is too little of it.
            let lag_ms = boot_ms().saturating_sub(begun_ms + SUMMARY_MS);
            let (running, waiting) = lock(&self.scheduler).task_counts();
            let figures = lock(&self.figures).take();
            log_event!(self.cell.deps.log, CELL_SUMMARY; "term" => self.number,
                "running" => running, "waiting" => waiting,
                "unrenewed_ms" => self.unrenewed_ms(), "timer_lag_ms" => lag_ms,
                "decisions" => figures.decisions, "decision_max_ms" => figures.decision_max_ms,
                "transactions" => figures.transactions,
                "transaction_max_ms" => figures.transaction_max_ms,
                "stored_bytes" => figures.stored_bytes, "starts" => figures.starts,
                "start_max_ms" => figures.start_max_ms, "start_sum_ms" => figures.start_sum_ms);
        }
    }

    /// Forgets a job whose final state is stored.
    pub(crate) fn forget(&self, job: &JobId) {
        lock(&self.scheduler).remove_finished(job);
        self.finished.ended(job.clone());
    }

    /// Key of a job's state.
    pub(crate) fn state_key(job: &JobId) -> Arc<str> {
        main_key(STATES_TABLE, job.as_str())
    }
}
