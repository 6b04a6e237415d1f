//! State machine of the jobs, tasks and workers of a cell.
//!
//! A task is restarted only when its earlier run is certainly not active: the worker reported the end of the run, a
//! heartbeat that was sent after the confirmation of the start reports neither the run nor its end, although it lists all
//! ends, or the worker's lease has expired. Every start is stored as progress before it is sent, so a new leader can find
//! the runs of the former one.

use {
    crate::{
        Action, HeartbeatReport, JobOrigin, JobRequest, Progress, StartOutcome, StepKey, StopOrder,
        TaskKey, WorkerSpec,
        evacuation::Evacuation,
        fair_share::FairShare,
        gang_room::{Beside, KeptRoom, SlotLists},
        job_state::{Job, NO_VALUE_FACTOR, Placement, StepState},
        order::{OrderRules, Rank, endless_rank, remaining_ms},
        quarantine::QuarantineNotice,
        run_times::RunTimes,
        segments::{FinishedOccurrences, StoredForm},
        stalls::{RunProgress, StuckRun},
        unplaceable::Unplaceable,
        waiting::{WaitingSteps, WorkerGroup},
        worker::{Run, RunPhase, Worker, free_of},
        workspaces::Workspaces,
    },
    ragwortreel_model::{JobId, JobState, Resources, WorkerId},
    std::{
        collections::{BTreeMap, BTreeSet},
        mem,
        sync::Arc,
    },
};

/// Run numbers reserved for each term of leadership. Tasks of recovered jobs get numbers from the term's range, so that
/// they exceed those of runs that an earlier leader started. A task runs less often than this in one term.
const RUNS_PER_TERM: u32 = 1_000;

/// Spare instances for each parallel call of a gang, so that some are left for other gangs.
const SPARE_INSTANCES_PER_CALL: usize = 8;
/// Most parallel calls of a gang. More calls hardly shorten the wait, because a part of a call's duration is fixed.
const MAX_PARALLEL_CALLS: usize = 4;

/// Scheduler of a cell for one term of leadership. All times are in ms of the leader's monotonic clock unless stated
/// otherwise.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) now_ms: u64,
    /// Start of the term's range of run numbers.
    first_run: u32,
    /// Time after an order by which every lease that the order extends has certainly expired.
    pub(crate) lease_bound_ms: u64,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) waiting_steps: WaitingSteps,
    /// Waiting steps that no worker can run.
    pub(crate) unplaceable: Unplaceable,
    /// Jobs with a schedule.
    periodic_jobs: BTreeSet<JobId>,
    pub(crate) changed_jobs: BTreeSet<JobId>,
    pub(crate) actions: Vec<Action>,
    /// Jobs whose checkpoints are too long to be stored, until the driver takes them.
    pub(crate) jobs_with_long_checkpoints: Vec<JobId>,
    /// Runs that were stopped because they are stuck, until the driver takes them.
    pub(crate) stuck_runs: Vec<StuckRun>,
    /// New quarantines and steps at fault, until the driver takes them.
    pub(crate) quarantine_notices: Vec<QuarantineNotice>,
    /// Pending advice requests of gangs, with the workers that they name.
    pub(crate) gang_requests: BTreeMap<StepKey, Vec<WorkerId>>,
    /// Steps for which an answer arrived since the last decision.
    answered_steps: Vec<StepKey>,
    /// Total of all capacity freed so far; blocked steps are retried early when it has grown enough.
    pub(crate) freed_milli_cores: u64,
    /// Idle instances that no waiting call needs, as last set by the driver.
    pub(crate) spare_instances: usize,
    /// Moving average of the share of workers that the advice service allows, by queue.
    pub(crate) allowed_share: BTreeMap<Arc<str>, f64>,
    pub(crate) run_times: RunTimes,
    pub(crate) fair_share: FairShare,
    /// Usage and limits of the workspaces.
    pub(crate) workspaces: Workspaces,
    pub(crate) evacuation: Evacuation,
    /// Whether the positions of the workers are those of all workers at present.
    pub(crate) are_workers_numbered: bool,
    pub(crate) slot_lists: SlotLists,
    /// Room that steps kept in the last decision, by service.
    pub(crate) kept_room: BTreeMap<Arc<str>, KeptRoom>,
    /// Whether `kept_room` has the room of all blocked steps, not only of those that were in the way of others.
    pub(crate) is_kept_room_complete: bool,
    pub(crate) order_rules: OrderRules,
    /// Time of the next estimate of the ends of all runs, in ms.
    pub(crate) ends_due_ms: u64,
}

impl Scheduler {
    /// Creates an empty scheduler for a term of leadership.
    ///
    /// `term` counts from 1. `lease_bound_ms` is the time after an order by which every lease that the order
    /// extends has certainly expired, by the leader's clock.
    #[must_use]
    pub fn new(term: u32, lease_bound_ms: u64) -> Self {
        Self {
            now_ms: 0,
            first_run: term.saturating_sub(1).saturating_mul(RUNS_PER_TERM),
            lease_bound_ms,
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            waiting_steps: WaitingSteps::default(),
            unplaceable: Unplaceable::default(),
            periodic_jobs: BTreeSet::new(),
            changed_jobs: BTreeSet::new(),
            actions: Vec::new(),
            jobs_with_long_checkpoints: Vec::new(),
            stuck_runs: Vec::new(),
            quarantine_notices: Vec::new(),
            gang_requests: BTreeMap::new(),
            answered_steps: Vec::new(),
            freed_milli_cores: 0,
            spare_instances: 0,
            allowed_share: BTreeMap::new(),
            run_times: RunTimes::default(),
            fair_share: FairShare::default(),
            workspaces: Workspaces::default(),
            evacuation: Evacuation::default(),
            are_workers_numbered: false,
            slot_lists: SlotLists::default(),
            kept_room: BTreeMap::new(),
            is_kept_room_complete: false,
            order_rules: OrderRules::default(),
            ends_due_ms: 0,
        }
    }

    /// Adds a job; a job that is already known is left as it is. `age_ms` is the time since its acceptance.
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
            no_value_ms: accepted_ms + NO_VALUE_FACTOR * objective_ms,
            occurrences: BTreeMap::new(),
            finished: FinishedOccurrences::from_ranges(&progress.finished),
            next_occurrence: 0,
            state: JobState::Queued,
            over_share: false,
            has_started: false,
            remaining_ms: remaining_ms(&request, self.order_rules.expected_ms),
            first_positions: request.first_positions(),
            stored_form: StoredForm::new(progress.is_segmented),
            request: Arc::new(request),
        };
        if job.request.schedule.is_some() {
            self.periodic_jobs.insert(id.clone());
        } else {
            job.open_occurrence(0);
        }
        for step in &progress.steps {
            job.open_occurrences_to(step.occurrence.min(occurrences.saturating_sub(1)));
            job.restore(step);
        }
        if let Some(last) = job.finished.end().min(occurrences).checked_sub(1) {
            job.open_occurrences_to(last);
        }
        job.remove_finished_occurrences();
        if job.request.workspace.is_some() {
            self.fair_share.add_job(&id, accepted_ms);
        }
        if !progress.steps.is_empty() || !progress.finished.is_empty() || progress.is_segmented {
            job.state = JobState::Running;
        }
        let placed: Vec<(WorkerId, TaskKey)> = (job.step_keys(&id))
            .flat_map(|key| job.placed_tasks(&key))
            .collect();
        for (worker, task) in placed {
            self.restore_run(&worker, task, &mut job);
        }
        self.jobs.insert(id.clone(), job);
        self.update_waiting_steps(&id);
        self.complete_if_done(&id);
    }

    /// Cancels a job and stops its runs. An unknown job, or one in a final state, is left as it is.
    pub fn cancel(&mut self, job: &JobId, now_ms: u64) {
        self.now_ms = now_ms;
        self.finish_job(job, JobState::Cancelled);
    }

    /// Request of a job, if the scheduler holds the job.
    #[must_use]
    pub fn job_request(&self, job: &JobId) -> Option<&JobRequest> {
        self.jobs.get(job).map(|job| &*job.request)
    }

    /// Removes a job whose final state is stored; a job that is not final is left as it is.
    pub fn remove_finished(&mut self, job: &JobId) {
        if self.jobs.get(job).is_some_and(|job| job.state.is_final()) {
            self.jobs.remove(job);
            self.periodic_jobs.remove(job);
        }
    }

    /// Replaces the platform's list of workers; workers that are not listed get no new tasks.
    pub fn update_workers(&mut self, specs: Vec<WorkerSpec>, now_ms: u64) {
        self.now_ms = now_ms;
        let listed: BTreeSet<WorkerId> = specs.iter().map(|spec| spec.id.clone()).collect();
        for spec in specs {
            self.evacuation.record(&spec, now_ms);
            let is_unchanged = |worker: &Worker| worker.listed && worker.spec == spec;
            if !self.workers.get(&spec.id).is_some_and(is_unchanged) {
                self.unplaceable.check_all();
            }
            if let Some(worker) = self.workers.get_mut(&spec.id) {
                let former = worker.spec.capacity.milli_cores;
                self.freed_milli_cores += spec.capacity.milli_cores.saturating_sub(former);
                worker.spec = spec;
                worker.listed = true;
            } else {
                self.insert_worker(Worker::new(spec));
            }
        }
        for (id, worker) in &mut self.workers {
            worker.listed = listed.contains(id);
        }
        self.evacuation.record_list(&listed, now_ms);
    }

    /// Whether the scheduler holds the worker.
    #[must_use]
    pub fn has_worker(&self, id: &WorkerId) -> bool {
        self.workers.contains_key(id)
    }

    /// Whether a run may be active on a worker.
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

    /// Marks a worker that did not answer; it gets no new tasks until its next heartbeat.
    pub fn mark_unreachable(&mut self, worker: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.reachable = false;
        }
    }

    /// Removes a worker whose incarnation has ended; its tasks are no longer running and wait again.
    pub fn remove_worker(&mut self, worker: &WorkerId, now_ms: u64) {
        self.now_ms = now_ms;
        self.drop_runs(worker);
        self.forget_worker(worker);
    }

    /// Extends a worker's lease; to be called also when it is unknown whether the worker received the renewal.
    pub fn extend_lease(&mut self, worker: &WorkerId, until_ms: u64) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.lease_until_ms = worker.lease_until_ms.max(until_ms);
        }
    }

    /// Applies a worker's heartbeat report.
    pub fn heartbeat(&mut self, id: &WorkerId, report: HeartbeatReport, now_ms: u64) {
        self.now_ms = now_ms;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !worker.reachable {
            self.freed_milli_cores += worker.spec.capacity.milli_cores;
            // The worker may have been paused while it was unreachable, so missing progress does not mean a stall.
            for run in worker.runs.values_mut() {
                run.progress.restart_clock(now_ms);
            }
        }
        worker.reachable = true;
        worker.incarnation = report.incarnation;
        if !worker.has_answered {
            // The worker rejects orders of earlier leaders from now on, so none of them can extend the lease.
            worker.has_answered = true;
            worker.lease_until_ms = report.lease_until_ms;
        }
        worker.lease_until_ms = worker.lease_until_ms.max(report.lease_until_ms);
        for end in report.ended {
            self.record_end(id, end);
        }
        let listed: BTreeMap<TaskKey, u32> = (report.running.iter())
            .map(|run| (run.task.clone(), run.run))
            .collect();
        for running in report.running {
            self.record_running(id, &running.task, running.run, running.percent);
            self.set_checkpoint(&running.task, running.checkpoint);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.end_probation(now_ms);
        }
        if !report.has_more_ends {
            // Otherwise a run that is not listed may have ended, and its end follows later.
            self.process_missing_runs(id, &listed, report.sent_ms);
            self.stop_stuck_runs(id);
        }
    }

    fn record_running(&mut self, id: &WorkerId, task: &TaskKey, run: u32, percent: u32) {
        let now_ms = self.now_ms;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if let Some(known) = worker.runs.get_mut(task)
            && known.number == run
        {
            if matches!(known.phase, RunPhase::Starting | RunPhase::Unconfirmed(_)) {
                known.phase = RunPhase::Confirmed(now_ms);
                known.progress.restart_clock(now_ms);
            }
            let is_finished = matches!(known.phase, RunPhase::Finished(_));
            if known.progress.record(percent, now_ms) {
                worker.advanced_ms = now_ms;
                if let Some(part) = known.progress.next_part(now_ms) {
                    self.learn_progress(id, task, part);
                }
            }
            if is_finished {
                self.stop_run(id, task);
            }
            self.mark_started(&task.step.job);
            return;
        }
        if !self.adopt_run(id, task, run) {
            let Some(worker) = self.workers.get_mut(id) else {
                return;
            };
            if worker.orphans.insert(task.clone(), run) != Some(run) {
                self.push_stop(id, task, run);
            }
        }
    }

    /// Adopts a run that an earlier leader started; returns false when the job does not need the run.
    fn adopt_run(&mut self, id: &WorkerId, task: &TaskKey, run: u32) -> bool {
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return false;
        };
        if job.state.is_final() || job.origin == JobOrigin::Accepted {
            return false;
        }
        let Some(step) = job.request.steps.get(task.step.step as usize) else {
            return false;
        };
        let (need, progress) = (step.need, RunProgress::new(step, false, self.now_ms));
        let workspace = job.request.workspace.clone();
        if task.step.occurrence >= job.request.occurrences() {
            return false;
        }
        if job.request.schedule.is_some() {
            job.open_occurrences_to(task.step.occurrence);
        }
        let Some(state) = job.task_mut(task) else {
            return false;
        };
        if state.placement != Placement::Waiting || run <= state.last_run {
            return false;
        }
        state.placement = Placement::On(id.clone());
        state.last_run = run;
        let run = Run {
            number: run,
            need,
            workspace,
            phase: RunPhase::Confirmed(self.now_ms),
            progress,
            backfill: None,
        };
        if let Some(worker) = self.workers.get_mut(id) {
            worker.add_run(task.clone(), run, &mut self.workspaces);
        }
        self.mark_started(&task.step.job);
        self.update_waiting_steps(&task.step.job.clone());
        true
    }

    /// Handles runs that a heartbeat should have reported and did not: confirmed and stopped runs are removed, and runs
    /// with an unanswered start are ordered to stop because they may begin later.
    fn process_missing_runs(
        &mut self,
        id: &WorkerId,
        listed: &BTreeMap<TaskKey, u32>,
        sent_ms: u64,
    ) {
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
        let mut missing = Vec::new();
        let mut unconfirmed = Vec::new();
        for (task, run) in &worker.runs {
            if listed.get(task) == Some(&run.number) {
                continue;
            }
            match run.phase {
                RunPhase::Confirmed(at) | RunPhase::Stopped(at) | RunPhase::Finished(at)
                    if at < sent_ms =>
                {
                    missing.push(task.clone());
                }
                RunPhase::Unconfirmed(at) if at < sent_ms => unconfirmed.push(task.clone()),
                _ => {}
            }
        }
        for task in unconfirmed {
            self.stop_run(id, &task);
        }
        for task in missing {
            self.remove_run(id, &task);
        }
    }

    /// Records the outcome of a start order.
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
        let is_starting = known.phase == RunPhase::Starting;
        match outcome {
            StartOutcome::Started => {
                if is_starting {
                    known.phase = RunPhase::Confirmed(now_ms);
                    known.progress.confirm_start(now_ms);
                }
                self.mark_started(&task.step.job);
            }
            StartOutcome::Unknown if is_starting => known.phase = RunPhase::Unconfirmed(now_ms),
            StartOutcome::Unknown => {}
            StartOutcome::TicketRefused | StartOutcome::NotStarted => {
                if outcome == StartOutcome::TicketRefused
                    && let Some(step) = self.step_mut(&task.step)
                {
                    step.advice.expire_ticket(id);
                }
                self.remove_run(id, task);
            }
        }
    }

    /// Records that a worker confirmed a stop; the run is removed when a later heartbeat does not report it.
    pub fn stop_result(&mut self, id: &WorkerId, task: &TaskKey, run: u32, now_ms: u64) {
        self.now_ms = now_ms;
        let worker = self.workers.get_mut(id);
        let known = worker.and_then(|worker| worker.runs.get_mut(task));
        if let Some(known) = known.filter(|known| known.number == run) {
            known.phase = RunPhase::Stopped(now_ms);
        }
    }

    /// Records an answer of the advice service about the workers `asked`; `allowed` is `None` when the call failed.
    pub fn advice_received(
        &mut self,
        key: &StepKey,
        asked: &[WorkerId],
        allowed: Option<Vec<(WorkerId, Arc<str>)>>,
        now_ms: u64,
    ) {
        self.now_ms = now_ms;
        let calls = self.step_mut(key).map_or(0, |step| {
            step.advice.calls_in_flight = step.advice.calls_in_flight.saturating_sub(1);
            step.advice.calls_in_flight
        });
        if calls == 0 {
            self.clear_gang_request(key);
        }
        self.answered_steps.push(key.clone());
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
        let undecided: Vec<&WorkerId> = (asked.iter())
            .filter(|worker| step.advice.is_allowed(worker).is_none())
            .collect();
        let newly_allowed = (allowed.iter()).filter(|(worker, _)| undecided.contains(&worker));
        let counts = (newly_allowed.count(), undecided.len());
        step.advice.record(asked, allowed, now_ms, ticket_ms);
        self.update_allowed_share(queue, counts);
    }

    /// Starts answered steps on the capacity reserved for them, before any other placement.
    ///
    /// If a step started only at its turn in the order of ranks, the ticket renewal of another gang could reserve the
    /// released capacity first, and lose it in the same way, so that no gang would ever start.
    fn start_answered_steps(&mut self) {
        let kept_room = mem::take(&mut self.kept_room);
        for key in mem::take(&mut self.answered_steps) {
            self.release_reservations(&key);
            let job = self.jobs.get(&key.job);
            let waits = |job: &&Job| job.step(&key).is_some_and(|step| step.rank.is_some());
            if let Some(job) = job.filter(waits) {
                let beside = Beside {
                    kept: kept_room.get(&job.request.policy.service),
                    end_ms: self.expected_reuse_ms(job, &key),
                    may_use: true,
                };
                self.start_possible_tasks(&key, beside);
            }
        }
    }

    /// Removes the pending advice request of a gang.
    fn clear_gang_request(&mut self, key: &StepKey) {
        for id in self.gang_requests.remove(key).unwrap_or_default() {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.pending_gang_requests = worker.pending_gang_requests.saturating_sub(1);
            }
        }
    }

    /// Sets the number of idle instances that no waiting call needs.
    pub fn set_spare_instances(&mut self, spare: usize) {
        self.spare_instances = spare;
    }

    /// Most calls that a gang may have in flight at once.
    pub(crate) fn max_parallel_calls(&self) -> usize {
        (self.spare_instances / SPARE_INSTANCES_PER_CALL).clamp(1, MAX_PARALLEL_CALLS)
    }

    /// Expires leases, opens due occurrences and places waiting tasks. `wall_ms` is the Unix time, for job schedules.
    pub fn decide(&mut self, now_ms: u64, wall_ms: u64) -> Vec<Action> {
        self.now_ms = now_ms;
        self.expire_leases();
        self.number_workers();
        self.open_due_occurrences(wall_ms);
        self.classify_jobs();
        self.evacuate();
        self.start_answered_steps();
        self.place_waiting();
        mem::take(&mut self.actions)
    }

    /// Identifiers of all workers that may run tasks, including unlisted ones.
    #[must_use]
    pub fn worker_ids(&self) -> Vec<WorkerId> {
        self.workers.keys().cloned().collect()
    }

    /// Number of runs that may be active, and of tasks that wait.
    #[must_use]
    pub fn task_counts(&self) -> (usize, usize) {
        let running = self.workers.values().map(|worker| worker.runs.len()).sum();
        let waiting = (self
            .waiting_steps
            .iter()
            .chain(self.workspaces.held_steps())
            .chain(self.workspaces.set_aside_steps())
            .chain(self.unplaceable.steps()))
        .filter_map(|(_, key)| self.jobs.get(&key.job)?.step(key))
        .map(StepState::waiting_tasks)
        .sum();
        (running, waiting)
    }

    fn expire_leases(&mut self) {
        let now_ms = self.now_ms;
        let expired: Vec<WorkerId> = (self.workers.iter())
            .filter(|(_, worker)| !worker.reachable && worker.lease_until_ms < now_ms)
            .filter(|(_, worker)| !worker.listed || !worker.runs.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.drop_runs(&id);
            if self.workers.get(&id).is_some_and(|worker| !worker.listed) {
                self.forget_worker(&id);
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
            self.remove_run(id, &task);
        }
    }

    fn open_due_occurrences(&mut self, wall_ms: u64) {
        let mut opened = Vec::new();
        for id in &self.periodic_jobs {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let Some(schedule) = job.request.schedule else {
                continue;
            };
            let before = job.next_occurrence;
            while job.next_occurrence < schedule.times
                && schedule.first_ms + u64::from(job.next_occurrence) * schedule.period_ms
                    <= wall_ms
                && job.can_open_occurrence()
            {
                job.open_occurrences_to(job.next_occurrence);
            }
            if job.next_occurrence != before {
                opened.push(id.clone());
            }
        }
        for id in opened {
            self.update_waiting_steps(&id);
        }
    }

    /// Orders the stop of a run; the run is removed when the worker reports its end or no longer reports it.
    pub(crate) fn stop_run(&mut self, id: &WorkerId, task: &TaskKey) {
        let worker = self.workers.get_mut(id);
        let Some(known) = worker.and_then(|worker| worker.runs.get_mut(task)) else {
            return;
        };
        if matches!(known.phase, RunPhase::Stopping | RunPhase::Stopped(_)) {
            return;
        }
        known.phase = RunPhase::Stopping;
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

    /// Records that a start of one of the job's tasks is confirmed.
    pub(crate) fn mark_started(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.has_started = true;
        }
        self.set_running(id);
    }

    pub(crate) fn set_running(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.state == JobState::Queued
        {
            job.state = JobState::Running;
            self.changed_jobs.insert(id.clone());
        }
    }

    pub(crate) fn complete_if_done(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let all_open = (job.request.schedule).is_none_or(|it| job.next_occurrence >= it.times);
        let mut steps = job.occurrences.values().flatten();
        let has_opened = !(job.occurrences.is_empty() && job.finished.is_empty());
        if all_open && has_opened && steps.all(StepState::is_done) {
            self.finish_job(id, JobState::Succeeded);
        }
    }

    pub(crate) fn finish_job(&mut self, id: &JobId, state: JobState) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.state.is_final() {
            return;
        }
        job.state = state;
        self.changed_jobs.insert(id.clone());
        self.update_waiting_steps(id);
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let keys: Vec<StepKey> = job.step_keys(id).collect();
        for key in keys {
            self.release_reservations(&key);
            let placed = self.jobs.get(id).map(|job| job.placed_tasks(&key));
            for (worker, task) in placed.unwrap_or_default() {
                self.stop_run(&worker, &task);
            }
        }
    }

    /// Adds, removes or reorders a job's steps in the queue of waiting steps.
    pub(crate) fn update_waiting_steps(&mut self, id: &JobId) {
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let (is_final, over_share) = (job.state.is_final(), job.over_share);
        let request = Arc::clone(&job.request);
        let ranks: Vec<Rank> = (0..)
            .take(request.steps.len())
            .map(|step| job.finite_rank(step, now_ms))
            .collect();
        for (occurrence, steps) in &mut job.occurrences {
            for number in 0..steps.len() {
                let spec = &request.steps[number];
                let is_unlocked = !is_final
                    && (spec.after.iter()).all(|&before| steps[before as usize].is_done());
                let step = &mut steps[number];
                // A gang restarts only when none of its members is placed.
                let waiting = step.waiting_tasks();
                let is_ready = is_unlocked
                    && if spec.gang {
                        waiting == step.tasks.len()
                    } else {
                        waiting > 0
                    };
                step.waiting_since_ms = is_ready.then(|| step.waiting_since_ms.unwrap_or(now_ms));
                let rank = is_ready.then(|| {
                    if spec.endless {
                        endless_rank(&request, over_share, step, now_ms)
                    } else {
                        ranks[number]
                    }
                });
                if step.rank == rank {
                    continue;
                }
                let key = StepKey {
                    job: id.clone(),
                    occurrence: *occurrence,
                    step: u32::try_from(number).unwrap_or(u32::MAX),
                };
                let group = WorkerGroup::of_step(&request, number);
                if let Some(old) = step.rank.take() {
                    let entry = (old, key.clone());
                    if !self.waiting_steps.remove(&group, &entry) {
                        self.unplaceable.remove(&entry);
                        (self.workspaces).remove_held(request.workspace.as_ref(), &entry);
                    }
                }
                step.rank = rank;
                if let Some(rank) = rank {
                    self.waiting_steps.insert(group, (rank, key));
                }
            }
        }
    }

    pub(crate) fn step_mut(&mut self, key: &StepKey) -> Option<&mut StepState> {
        self.jobs.get_mut(&key.job)?.step_mut(key)
    }

    /// Run number of a task's next run, above those of all earlier runs.
    pub(crate) fn next_run(&self, job: &Job, last_run: u32) -> u32 {
        match job.origin {
            JobOrigin::Accepted => last_run + 1,
            JobOrigin::Recovered => last_run.max(self.first_run) + 1,
        }
    }

    /// Workers of a service on which new tasks may be started.
    pub(crate) fn schedulable_workers<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Worker> {
        let accepts_tasks =
            move |it: &&Worker| &*it.spec.service == service && it.is_schedulable(self.now_ms);
        self.workers.values().filter(accepts_tasks)
    }

    /// Free capacity of all schedulable workers of a service.
    pub(crate) fn free_capacity(&self, service: &str) -> Resources {
        free_of(self.schedulable_workers(service))
    }
}
