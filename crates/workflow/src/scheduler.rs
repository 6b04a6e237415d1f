//! Jobs of a cell, their tasks, and what may run on which worker.
//!
//! A task is started again only when its earlier run is proven gone: its worker listed the end, no longer lists the run
//! in a heartbeat that was sent after the start was confirmed, or its lease has lapsed. Every start is part of the stored
//! progress before it is sent, so a new leader knows where the tasks of the one before it may run.

use {
    crate::{
        Action, EndCause, EndedRun, HeartbeatReport, JobChange, JobOrigin, JobRequest, Progress,
        StartOutcome, StepKey, StopOrder, TaskKey, WorkerSpec,
        state::{Job, Place, Rank, StepState, WORTHLESS_FACTOR},
        worker::{Phase, Run, Worker},
    },
    ragwortreel_model::{JobId, JobState, Resources, WorkerId},
    std::{
        collections::{BTreeMap, BTreeSet},
        mem,
        sync::Arc,
    },
};

/// Run numbers that each term of leadership has for a recovered job; a task does not run more often in one term.
const RUNS_A_TERM: u32 = 1_000;
/// Failed runs in a row after which a worker is set aside. Jobs fail now and then by their own fault, so one is no sign.
const FAILURES_IN_A_ROW: u32 = 3;
/// Time for which a failing worker is set aside before it gets another task, in ms.
const SET_ASIDE_MS: u64 = 5_000;
/// Time without progress after which a run is stopped and started elsewhere, as a part of the estimate, in percent. A task
/// that takes ten times its estimate on a worker six times slower than usual still moves by one percent in this time.
const STALL_PERCENT: u64 = 80;
/// Bounds of that time, in ms. A start from saved progress takes a third of the lower one; the upper one is enough for a
/// task of 45 s on such a worker.
const MIN_STALL_MS: u64 = 700;
const MAX_STALL_MS: u64 = 3_500;
/// Lists in a row that must show no progress. One alone may come from a worker that was paused since the one before.
const STILL_LISTS: u32 = 2;

/// Spare instances for each further call that a gang makes at once, so that several gangs find some.
const SPARE_A_CALL: usize = 8;
/// Most calls that a gang makes at once; more of them are hardly shorter, since each has a fixed part.
const MAX_PARALLEL_CALLS: usize = 4;

/// Scheduler of a cell.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) now_ms: u64,
    first_run: u32,
    pub(crate) lease_bound_ms: u64,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) waiting: BTreeSet<(Rank, StepKey)>,
    scheduled: BTreeSet<JobId>,
    changed: BTreeSet<JobId>,
    pub(crate) actions: Vec<Action>,
    /// Gangs that wait for an answer, and the workers that they asked about.
    pub(crate) asking_gangs: BTreeMap<StepKey, Vec<WorkerId>>,
    /// Steps whose answers came since the last decision.
    answered: Vec<StepKey>,
    /// Thousandths of a core that came free in all, for steps that wait for room.
    pub(crate) freed_milli_cores: u64,
    /// Instances that no call for advice needs, as the driver last said.
    spare_instances: usize,
    /// Learned share of workers that a queue's steps may use.
    pub(crate) allowed_share: BTreeMap<Arc<str>, f64>,
}

impl Scheduler {
    /// Makes an empty scheduler for a term of leadership.
    ///
    /// `term` numbers the terms from 1. `lease_bound_ms` is the time after which everything that a worker was told to
    /// run has certainly lapsed, by the leader's clock.
    #[must_use]
    pub fn new(term: u32, lease_bound_ms: u64) -> Self {
        Self {
            now_ms: 0,
            first_run: term.saturating_sub(1).saturating_mul(RUNS_A_TERM),
            lease_bound_ms,
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            waiting: BTreeSet::new(),
            scheduled: BTreeSet::new(),
            changed: BTreeSet::new(),
            actions: Vec::new(),
            asking_gangs: BTreeMap::new(),
            answered: Vec::new(),
            freed_milli_cores: 0,
            spare_instances: 0,
            allowed_share: BTreeMap::new(),
        }
    }

    /// Adds a job; a repeat changes nothing. `age_ms` is the time since its acceptance.
    pub fn accept(
        &mut self,
        request: JobRequest,
        origin: JobOrigin,
        progress: &Progress,
        age_ms: u64,
        now_ms: u64,
    ) {
        self.now_ms = now_ms;
        if self.jobs.contains_key(&request.id) {
            return;
        }
        let accepted_ms = now_ms.saturating_sub(age_ms);
        let objective_ms = request.objective_ms();
        let occurrences = request.occurrences();
        let id = request.id.clone();
        let mut job = Job {
            accepted_ms,
            origin,
            deadline_ms: accepted_ms + objective_ms,
            worthless_ms: accepted_ms + WORTHLESS_FACTOR * objective_ms,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            state: JobState::Queued,
            begun: false,
            request: Arc::new(request),
        };
        if job.request.schedule.is_some() {
            self.scheduled.insert(id.clone());
        } else {
            job.open_occurrence(0);
        }
        for step in &progress.steps {
            let last = step.occurrence.min(occurrences.saturating_sub(1));
            while job.next_occurrence <= last {
                job.open_occurrence(job.next_occurrence);
            }
            job.restore(step);
        }
        if !progress.steps.is_empty() {
            job.state = JobState::Running;
        }
        let placed: Vec<(WorkerId, TaskKey)> = (job.step_keys(&id))
            .flat_map(|key| job.placed(&key))
            .collect();
        for (worker, task) in placed {
            self.restore_run(&worker, task, &mut job);
        }
        self.jobs.insert(id.clone(), job);
        self.refresh(&id);
        self.complete_if_done(&id);
    }

    /// Reserves room for a run of an earlier leader; its worker's next heartbeat says whether it is alive.
    fn restore_run(&mut self, id: &WorkerId, task: TaskKey, job: &mut Job) {
        let need = job.spec(&task.step).need;
        let Some(state) = job.task_mut(&task) else {
            return;
        };
        let run = Run {
            number: state.last_run,
            need,
            phase: Phase::Confirmed(self.now_ms),
            percent: 0,
            moved_ms: self.now_ms,
            still_lists: 0,
        };
        self.add_unlisted(id);
        let until_ms = self.now_ms + self.lease_bound_ms;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.add(task, run);
            worker.lease_until_ms = worker.lease_until_ms.max(until_ms);
        }
    }

    /// Cancels a job; its runs are stopped. A job that is not known or has ended is left as it is.
    pub fn cancel(&mut self, job: &JobId, now_ms: u64) {
        self.now_ms = now_ms;
        self.finish(job, JobState::Cancelled);
    }

    /// Whether a job is known.
    #[must_use]
    pub fn has_job(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// Forgets a job whose final state is stored.
    pub fn remove_finished(&mut self, job: &JobId) {
        if self.jobs.get(job).is_some_and(|job| job.state.is_final()) {
            self.jobs.remove(job);
            self.scheduled.remove(job);
        }
    }

    /// Replaces the list of workers; those that are missing get no more tasks.
    pub fn update_workers(&mut self, specs: Vec<WorkerSpec>, now_ms: u64) {
        self.now_ms = now_ms;
        let listed: BTreeSet<WorkerId> = specs.iter().map(|spec| spec.id.clone()).collect();
        for spec in specs {
            if let Some(worker) = self.workers.get_mut(&spec.id) {
                let former = worker.spec.capacity.milli_cores;
                self.freed_milli_cores += spec.capacity.milli_cores.saturating_sub(former);
                worker.spec = spec;
                worker.listed = true;
            } else {
                self.workers.insert(spec.id.clone(), Worker::new(spec));
            }
        }
        for (id, worker) in &mut self.workers {
            worker.listed = listed.contains(id);
        }
    }

    /// Adds a worker that is not in the list, but may run tasks of an earlier leader.
    pub fn add_unlisted(&mut self, id: &WorkerId) {
        if self.workers.contains_key(id) {
            return;
        }
        let spec = WorkerSpec {
            id: id.clone(),
            service: Arc::from(""),
            capacity: Resources::ZERO,
            rack: None,
            labels: BTreeSet::new(),
            draining: true,
        };
        let mut worker = Worker::new(spec);
        worker.listed = false;
        worker.lease_until_ms = self.now_ms + self.lease_bound_ms;
        self.workers.insert(id.clone(), worker);
    }

    /// Whether a worker is known.
    #[must_use]
    pub fn has_worker(&self, id: &WorkerId) -> bool {
        self.workers.contains_key(id)
    }

    /// Whether a run may be alive on a worker.
    #[must_use]
    pub fn has_run(&self, id: &WorkerId, task: &TaskKey, run: u32) -> bool {
        self.workers.get(id).is_some_and(|worker| {
            worker
                .runs
                .get(task)
                .is_some_and(|known| known.number == run)
                || worker.orphans.get(task) == Some(&run)
        })
    }

    /// Records that a worker did not answer; it gets no tasks until it does.
    pub fn mark_unreachable(&mut self, worker: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.reachable = false;
        }
    }

    /// Records that this life of a worker is over; nothing runs there.
    pub fn remove_worker(&mut self, worker: &WorkerId, now_ms: u64) {
        self.now_ms = now_ms;
        self.drop_runs(worker);
        self.workers.remove(worker);
    }

    /// Records that a worker was, or may have been, told to keep its tasks until a time.
    pub fn extend_lease(&mut self, worker: &WorkerId, until_ms: u64) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.lease_until_ms = worker.lease_until_ms.max(until_ms);
        }
    }

    /// Records what a worker lists; returns the number of runs that it lists as ended.
    pub fn heartbeat(&mut self, id: &WorkerId, report: HeartbeatReport, now_ms: u64) {
        self.now_ms = now_ms;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !worker.reachable {
            self.freed_milli_cores += worker.spec.capacity.milli_cores;
            // While it was silent it may have been paused, which says nothing about its tasks.
            for run in worker.runs.values_mut() {
                (run.moved_ms, run.still_lists) = (now_ms, 0);
            }
        }
        worker.reachable = true;
        if !worker.heard {
            // No earlier leader can extend the lease from now on.
            worker.heard = true;
            worker.lease_until_ms = report.lease_until_ms;
        }
        worker.lease_until_ms = worker.lease_until_ms.max(report.lease_until_ms);
        for end in report.ended {
            self.run_ended(id, end);
        }
        let listed: BTreeMap<TaskKey, u32> = (report.running.iter())
            .map(|run| (run.task.clone(), run.run))
            .collect();
        for running in report.running {
            self.see_running(id, &running.task, running.run, running.percent);
            self.note_checkpoint(&running.task, running.checkpoint);
        }
        self.find_missing(id, &listed, report.sent_ms);
    }

    fn see_running(&mut self, id: &WorkerId, task: &TaskKey, run: u32, percent: u32) {
        let now_ms = self.now_ms;
        let stall_ms = self.stall_ms(task);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if let Some(known) = worker.runs.get_mut(task)
            && known.number == run
        {
            if matches!(known.phase, Phase::Starting | Phase::Unsure(_)) {
                known.phase = Phase::Confirmed(now_ms);
                known.moved_ms = now_ms;
            }
            if known.percent == percent {
                known.still_lists += 1;
            } else {
                (known.percent, known.moved_ms, known.still_lists) = (percent, now_ms, 0);
            }
            let stalled = matches!(known.phase, Phase::Confirmed(_))
                && known.still_lists >= STILL_LISTS
                && stall_ms.is_some_and(|stall_ms| known.moved_ms + stall_ms < now_ms);
            if stalled {
                worker.failures += 1;
                worker.set_aside_until_ms = now_ms + SET_ASIDE_MS;
                self.stop_run(id, task);
            }
            self.started(&task.step.job);
            return;
        }
        if !self.adopt(id, task, run, percent) {
            let Some(worker) = self.workers.get_mut(id) else {
                return;
            };
            if worker.orphans.insert(task.clone(), run) != Some(run) {
                self.push_stop(id, task, run);
            }
        }
    }

    /// Time without progress after which a task counts as stalled; tasks without an end make no progress.
    fn stall_ms(&self, task: &TaskKey) -> Option<u64> {
        let job = self.jobs.get(&task.step.job)?;
        let step = job.request.steps.get(task.step.step as usize)?;
        let stall_ms = step.estimate_ms.saturating_mul(STALL_PERCENT) / 100;
        (!step.endless).then(|| stall_ms.clamp(MIN_STALL_MS, MAX_STALL_MS))
    }

    /// Longest time until a worker should be asked again so that a stalled task on it is found in time, in ms.
    #[must_use]
    pub fn max_heartbeat_wait_ms(&self, worker: &WorkerId) -> u64 {
        let tasks = self
            .workers
            .get(worker)
            .into_iter()
            .flat_map(|it| it.runs.keys());
        let stalls = tasks.filter_map(|task| self.stall_ms(task));
        stalls.min().unwrap_or(MAX_STALL_MS)
    }

    /// Takes over a run that an earlier leader started; false when the job has no use for it.
    fn adopt(&mut self, id: &WorkerId, task: &TaskKey, run: u32, percent: u32) -> bool {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return false;
        };
        if job.state.is_final() || job.origin == JobOrigin::Accepted {
            return false;
        }
        let Some(step) = job.request.steps.get(task.step.step as usize) else {
            return false;
        };
        let need = step.need;
        if task.step.occurrence >= job.request.occurrences() {
            return false;
        }
        while job.next_occurrence <= task.step.occurrence && job.request.schedule.is_some() {
            job.open_occurrence(job.next_occurrence);
        }
        let Some(state) = job.task_mut(task) else {
            return false;
        };
        if state.place != Place::Waiting || run <= state.last_run {
            return false;
        }
        state.place = Place::On(id.clone());
        state.last_run = run;
        let run = Run {
            number: run,
            need,
            phase: Phase::Confirmed(self.now_ms),
            percent,
            moved_ms: self.now_ms,
            still_lists: 0,
        };
        if let Some(worker) = self.workers.get_mut(id) {
            worker.add(task.clone(), run);
        }
        self.started(&task.step.job);
        self.refresh(&task.step.job.clone());
        true
    }

    fn note_checkpoint(&mut self, task: &TaskKey, checkpoint: Arc<str>) {
        if checkpoint.is_empty() {
            return;
        }
        let job = self.jobs.get_mut(&task.step.job);
        if let Some(state) = job.and_then(|job| job.task_mut(task)) {
            state.checkpoint = checkpoint;
        }
    }

    /// Finds runs that the worker should list and does not.
    fn find_missing(&mut self, id: &WorkerId, listed: &BTreeMap<TaskKey, u32>, sent_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let had_orphans = !worker.orphans.is_empty();
        worker
            .orphans
            .retain(|task, run| listed.get(task) == Some(run));
        if had_orphans && worker.orphans.is_empty() {
            self.freed_milli_cores += worker.spec.capacity.milli_cores;
        }
        let mut gone = Vec::new();
        let mut unsure = Vec::new();
        for (task, run) in &worker.runs {
            if listed.get(task) == Some(&run.number) {
                continue;
            }
            match run.phase {
                Phase::Confirmed(at) | Phase::Stopped(at) if at < sent_ms => {
                    gone.push(task.clone());
                }
                Phase::Unsure(at) if at < sent_ms => unsure.push(task.clone()),
                _ => {}
            }
        }
        for task in unsure {
            self.stop_run(id, &task);
        }
        for task in gone {
            self.run_gone(id, &task);
        }
    }

    /// Records a worker's answer to a start.
    pub fn start_result(
        &mut self,
        id: &WorkerId,
        task: &TaskKey,
        run: u32,
        outcome: StartOutcome,
        now_ms: u64,
    ) {
        self.now_ms = now_ms;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(known) = worker
            .runs
            .get_mut(task)
            .filter(|known| known.number == run)
        else {
            return;
        };
        let is_starting = known.phase == Phase::Starting;
        match outcome {
            StartOutcome::Started => {
                if is_starting {
                    known.phase = Phase::Confirmed(now_ms);
                    known.moved_ms = now_ms;
                }
                self.started(&task.step.job);
            }
            StartOutcome::Unknown if is_starting => known.phase = Phase::Unsure(now_ms),
            StartOutcome::Unknown => {}
            StartOutcome::TicketRefused | StartOutcome::NotStarted => {
                if outcome == StartOutcome::TicketRefused
                    && let Some(step) = self.step_mut(&task.step)
                {
                    step.advice.expire(id);
                }
                self.run_gone(id, task);
            }
        }
    }

    /// Records that a worker confirmed a stop.
    pub fn stop_result(&mut self, id: &WorkerId, task: &TaskKey, run: u32, now_ms: u64) {
        self.now_ms = now_ms;
        let worker = self.workers.get_mut(id);
        let known = worker.and_then(|worker| worker.runs.get_mut(task));
        if let Some(known) = known.filter(|known| known.number == run) {
            known.phase = Phase::Stopped(now_ms);
        }
    }

    /// Records an answer of the advice service, or `None` when there was none.
    pub fn advice_received(
        &mut self,
        key: &StepKey,
        asked: &[WorkerId],
        allowed: Option<Vec<(WorkerId, Arc<str>)>>,
        now_ms: u64,
    ) {
        self.now_ms = now_ms;
        let calls = self.step_mut(key).map_or(0, |step| {
            step.advice.calls = step.advice.calls.saturating_sub(1);
            step.advice.calls
        });
        if calls == 0 {
            self.note_answer(key);
        }
        self.answered.push(key.clone());
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let policy = &job.request.policy;
        let ticket_ms = policy.advice.as_ref().map_or(0, |cost| cost.ticket_ms);
        let queue = Arc::clone(&policy.name);
        let Some(step) = job.step_mut(key) else {
            return;
        };
        let Some(allowed) = allowed else {
            return;
        };
        let fresh: Vec<&WorkerId> = (asked.iter())
            .filter(|worker| step.advice.known(worker).is_none())
            .collect();
        let good = (allowed.iter()).filter(|(worker, _)| fresh.contains(&worker));
        let counts = (good.count(), fresh.len());
        step.advice.record(asked, allowed, now_ms, ticket_ms);
        self.learn_share(queue, counts);
    }

    /// Starts steps on the room that was kept for their answers, before anything else is decided. If that room were free
    /// until the step's turn, another gang's renewal would take it and lose it the same way, and none would ever start.
    fn start_answered(&mut self) {
        for key in mem::take(&mut self.answered) {
            self.release_hold(&key);
            if self.step_mut(&key).is_some_and(|step| step.rank.is_some()) {
                self.start_what_may(&key);
            }
        }
    }

    /// Notes that a step no longer waits for an answer about workers.
    fn note_answer(&mut self, key: &StepKey) {
        for id in self.asking_gangs.remove(key).unwrap_or_default() {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.asking_gangs = worker.asking_gangs.saturating_sub(1);
            }
        }
    }

    /// Takes over how many instances no call for advice needs now.
    pub fn set_spare_instances(&mut self, spare: usize) {
        self.spare_instances = spare;
    }

    /// Calls that a gang may have under way at once.
    pub(crate) fn parallel_calls(&self) -> usize {
        (self.spare_instances / SPARE_A_CALL).clamp(1, MAX_PARALLEL_CALLS)
    }

    /// Decides what to do now; `wall_ms` is the Unix time, for scheduled jobs.
    pub fn decide(&mut self, now_ms: u64, wall_ms: u64) -> Vec<Action> {
        self.now_ms = now_ms;
        self.drop_lapsed();
        self.open_due(wall_ms);
        self.start_answered();
        self.place_waiting();
        mem::take(&mut self.actions)
    }

    /// Takes the jobs whose stored state is out of date.
    pub fn take_changes(&mut self) -> Vec<JobChange> {
        let changed = mem::take(&mut self.changed);
        (changed.into_iter())
            .filter_map(|id| {
                let job = self.jobs.get(&id)?;
                Some(JobChange {
                    queue: Arc::clone(&job.request.policy.name),
                    priority: job.request.policy.priority,
                    age_ms: self.now_ms.saturating_sub(job.accepted_ms),
                    state: job.state,
                    progress: if job.state.is_final() {
                        Progress::default()
                    } else {
                        job.progress()
                    },
                    job: id,
                })
            })
            .collect()
    }

    /// Notes that what is placed of a job must be stored.
    pub(crate) fn placed(&mut self, id: &JobId) {
        self.changed.insert(id.clone());
        self.show_running(id);
    }

    /// Names of all workers that may run something, for the next leader.
    #[must_use]
    pub fn worker_ids(&self) -> Vec<WorkerId> {
        self.workers.keys().cloned().collect()
    }

    /// Jobs of which no task is known to have begun, by queue; scheduled ones are not counted. A start that is decided
    /// and not confirmed may wait for the journal as long as the store is slow.
    pub(crate) fn pending(&self) -> BTreeMap<Arc<str>, u64> {
        let mut pending: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for job in self.jobs.values() {
            if !job.begun && !job.state.is_final() && job.request.schedule.is_none() {
                *pending
                    .entry(Arc::clone(&job.request.policy.name))
                    .or_default() += 1;
            }
        }
        pending
    }

    /// Runs that may be alive, and tasks that wait.
    #[must_use]
    pub fn task_counts(&self) -> (usize, usize) {
        let running = self.workers.values().map(|worker| worker.runs.len()).sum();
        let waiting = (self.waiting.iter())
            .filter_map(|(_, key)| self.jobs.get(&key.job)?.step(key))
            .map(StepState::waiting)
            .sum();
        (running, waiting)
    }

    fn drop_lapsed(&mut self) {
        let now_ms = self.now_ms;
        let lapsed: Vec<WorkerId> = (self.workers.iter())
            .filter(|(_, worker)| !worker.reachable && worker.lease_until_ms < now_ms)
            .filter(|(_, worker)| !worker.listed || !worker.runs.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed {
            self.drop_runs(&id);
            if self.workers.get(&id).is_some_and(|worker| !worker.listed) {
                self.workers.remove(&id);
            }
        }
    }

    fn drop_runs(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.orphans.clear();
        let tasks: Vec<TaskKey> = worker.runs.keys().cloned().collect();
        for task in tasks {
            self.run_gone(id, &task);
        }
    }

    fn open_due(&mut self, wall_ms: u64) {
        let mut opened = Vec::new();
        for id in &self.scheduled {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let Some(schedule) = job.request.schedule else {
                continue;
            };
            let before = job.next_occurrence;
            while job.next_occurrence < schedule.times
                && job.has_room_for_occurrence()
                && schedule.first_ms + u64::from(job.next_occurrence) * schedule.period_ms
                    <= wall_ms
            {
                job.open_occurrence(job.next_occurrence);
            }
            if job.next_occurrence != before {
                opened.push(id.clone());
            }
        }
        for id in opened {
            self.refresh(&id);
        }
    }

    /// Stops a run; its end follows from what the worker lists.
    fn stop_run(&mut self, id: &WorkerId, task: &TaskKey) {
        let worker = self.workers.get_mut(id);
        let Some(known) = worker.and_then(|worker| worker.runs.get_mut(task)) else {
            return;
        };
        if matches!(known.phase, Phase::Stopping | Phase::Stopped(_)) {
            return;
        }
        known.phase = Phase::Stopping;
        let run = known.number;
        self.push_stop(id, task, run);
    }

    fn push_stop(&mut self, id: &WorkerId, task: &TaskKey, run: u32) {
        self.actions.push(Action::Stop(StopOrder {
            worker: id.clone(),
            task: task.clone(),
            run,
        }));
    }

    /// Notes that a task of a job has begun.
    pub(crate) fn started(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.begun = true;
        }
        self.show_running(id);
    }

    fn show_running(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.state == JobState::Queued
        {
            job.state = JobState::Running;
            self.changed.insert(id.clone());
        }
    }

    fn run_ended(&mut self, id: &WorkerId, end: EndedRun) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let EndedRun {
            task,
            run,
            cause,
            checkpoint,
        } = end;
        let was_known = worker
            .runs
            .get(&task)
            .is_some_and(|known| known.number == run);
        if was_known {
            if let Some(gone) = worker.remove(&task) {
                self.freed_milli_cores += gone.need.milli_cores;
            }
            match cause {
                EndCause::Done => worker.failures = 0,
                EndCause::Failed => worker.failures += 1,
                EndCause::Interrupted => {}
            }
            if cause == EndCause::Failed && worker.failures >= FAILURES_IN_A_ROW {
                worker.set_aside_until_ms = self.now_ms + SET_ASIDE_MS;
            }
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        if job.state.is_final() {
            return;
        }
        let Some(state) = job.task_mut(&task) else {
            return;
        };
        let is_ours = match &state.place {
            Place::On(at) => was_known && at == id,
            // The run was started by an earlier leader.
            Place::Waiting => run > state.last_run,
            Place::Done => false,
        };
        if !is_ours {
            return;
        }
        state.place = Place::Waiting;
        state.last_run = state.last_run.max(run);
        if !checkpoint.is_empty() {
            state.checkpoint = checkpoint;
        }
        match cause {
            EndCause::Done => self.task_done(&task),
            EndCause::Failed => self.task_failed(id, &task, run),
            EndCause::Interrupted => self.break_gang(&task),
        }
        self.changed.insert(task.step.job.clone());
        self.started(&task.step.job);
        self.refresh(&task.step.job);
    }

    /// Records that a run is gone without a listed end.
    fn run_gone(&mut self, id: &WorkerId, task: &TaskKey) {
        let worker = self.workers.get_mut(id);
        let Some(gone) = worker.and_then(|worker| worker.remove(task)) else {
            return;
        };
        self.freed_milli_cores += gone.need.milli_cores;
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let Some(state) = job.task_mut(task) else {
            return;
        };
        if state.place != Place::On(id.clone()) {
            return;
        }
        state.place = Place::Waiting;
        self.changed.insert(task.step.job.clone());
        self.break_gang(task);
        self.refresh(&task.step.job);
    }

    fn task_done(&mut self, task: &TaskKey) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let spec = job.spec(&task.step);
        let (gang, endless) = (spec.gang, spec.endless);
        if endless {
            return;
        }
        let Some(step) = job.step_mut(&task.step) else {
            return;
        };
        if gang {
            // The members of a gang are done together; one such end stands for all.
            step.done = u32::try_from(step.tasks.len()).unwrap_or(u32::MAX);
            step.tasks
                .iter_mut()
                .for_each(|task| task.place = Place::Done);
        } else {
            step.tasks[task.index as usize].place = Place::Done;
            step.done += 1;
        }
        self.complete_if_done(&task.step.job);
    }

    fn task_failed(&mut self, id: &WorkerId, task: &TaskKey, run: u32) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let attempts = job.request.policy.attempts;
        let spec = job.spec(&task.step);
        let (gang, endless) = (spec.gang, spec.endless);
        let Some(step) = job.step_mut(&task.step) else {
            return;
        };
        let state = &mut step.tasks[task.index as usize];
        state.failed_on = Some(id.clone());
        let failures = if gang {
            if step.gang_failed_run < run {
                step.gang_failed_run = run;
                step.gang_failures += 1;
            }
            step.gang_failures
        } else {
            state.failures += 1;
            state.failures
        };
        if !endless && failures >= attempts {
            self.finish(&task.step.job, JobState::Failed);
            return;
        }
        self.break_gang(task);
    }

    /// Stops the other members of a gang of which one does not run.
    fn break_gang(&mut self, task: &TaskKey) {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        let spec = job.spec(&task.step);
        if !spec.gang || job.state.is_final() {
            return;
        }
        for (id, member) in job.placed(&task.step) {
            self.stop_run(&id, &member);
        }
    }

    fn complete_if_done(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let all_open = (job.request.schedule).is_none_or(|it| job.next_occurrence >= it.times);
        let mut steps = job.occurrences.values().flatten();
        if all_open && !job.occurrences.is_empty() && steps.all(StepState::is_done) {
            self.finish(id, JobState::Succeeded);
        }
    }

    fn finish(&mut self, id: &JobId, state: JobState) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.state.is_final() {
            return;
        }
        job.state = state;
        self.changed.insert(id.clone());
        self.refresh(id);
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let keys: Vec<StepKey> = job.step_keys(id).collect();
        for key in keys {
            self.release_hold(&key);
            let placed = self.jobs.get(id).map(|job| job.placed(&key));
            for (worker, task) in placed.unwrap_or_default() {
                self.stop_run(&worker, &task);
            }
        }
    }

    /// Brings the order of waiting steps up to date for a job.
    pub(crate) fn refresh(&mut self, id: &JobId) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let rank = job.rank(now_ms);
        let is_final = job.state.is_final();
        let request = Arc::clone(&job.request);
        for (occurrence, steps) in &mut job.occurrences {
            for number in 0..steps.len() {
                let spec = &request.steps[number];
                let open = !is_final
                    && (spec.after.iter()).all(|&before| steps[before as usize].is_done());
                let step = &mut steps[number];
                // A gang restarts only when none of its members runs.
                let waiting = step.waiting();
                let ready = open
                    && if spec.gang {
                        waiting == step.tasks.len()
                    } else {
                        waiting > 0
                    };
                let rank = ready.then_some(rank);
                if step.rank == rank {
                    continue;
                }
                let key = StepKey {
                    job: id.clone(),
                    occurrence: *occurrence,
                    step: u32::try_from(number).unwrap_or(u32::MAX),
                };
                if let Some(old) = step.rank.take() {
                    self.waiting.remove(&(old, key.clone()));
                }
                step.rank = rank;
                if let Some(rank) = rank {
                    self.waiting.insert((rank, key));
                }
            }
        }
    }

    pub(crate) fn step_mut(&mut self, key: &StepKey) -> Option<&mut StepState> {
        self.jobs.get_mut(&key.job)?.step_mut(key)
    }

    /// Number of the next run of a step's task, above all earlier ones.
    pub(crate) fn next_run(&self, job: &Job, last_run: u32) -> u32 {
        match job.origin {
            JobOrigin::Accepted => last_run + 1,
            JobOrigin::Recovered => last_run.max(self.first_run) + 1,
        }
    }

    pub(crate) fn release_hold(&mut self, key: &StepKey) {
        let Some(step) = self.step_mut(key) else {
            return;
        };
        for (id, room) in mem::take(&mut step.holds) {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.held = worker.held.saturating_sub(&room);
            }
        }
    }

    /// Workers of a service that may be given tasks now.
    pub(crate) fn open_workers<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Worker> {
        let open = move |it: &&Worker| &*it.spec.service == service && it.is_open(self.now_ms);
        self.workers.values().filter(open)
    }

    /// Room that no run and no hold takes on all open workers of a service.
    pub(crate) fn free_room(&self, service: &str) -> Resources {
        let mut sum = Resources::ZERO;
        for worker in self.open_workers(service) {
            sum += worker.free();
        }
        sum
    }
}
