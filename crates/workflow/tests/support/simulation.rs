//! Discrete-event simulation of a fleet of workers under a mixed load, driven by the scheduler's decisions.
//!
//! Orders reach workers after a fixed delay, advice calls take their expected duration with one call at a time for each
//! instance, a failed member ends its gang, and refused callers retry after the returned delay, in whole seconds, until
//! their objective has passed. Some workers may fail, or be withdrawn at short notice.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_possible_wrap,
    clippy::cast_sign_loss,
    reason = "simulated times, counts and worths are small and positive"
)]

mod speeds;
mod uneven;
mod withdrawal;

pub use {speeds::Slowdown, uneven::Uneven, withdrawal::Withdrawal};

use {
    self::uneven::SLOW_START_SHARE,
    super::{
        LEASE_BOUND_MS,
        admission_rule::AdmissionRule,
        report::{Outcome, Report},
        value::job_factor,
        worker_id, workspace,
    },
    ragwortreel_model::{InstanceId, JobId, JobState, Resources, WorkerId, Workspace},
    ragwortreel_workflow::{
        Action, Admission, AdviceBroker, AdviceCost, AdviceRequest, EndCause, EndedRun,
        HeartbeatReport, JobOrigin, JobRequest, Progress, QueuePolicy, RunningTask, Scheduler,
        StartOrder, StartOutcome, Step, StepKey, StopOrder, TaskKey, WorkerSpec, WorkspacePolicy,
    },
    speeds::Speeds,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap},
        ops::Range,
        sync::Arc,
    },
    withdrawal::ActiveRun,
};

/// Time from a decision until an order reaches its worker, in ms: a store transaction and two network hops.
const ORDER_MS: u64 = 30;
/// Time from the end of a run until the scheduler receives its report, in ms: one network round trip.
const REPORT_MS: u64 = 4;
/// Interval of decisions, in ms.
const DECIDE_MS: u64 = 10;
/// Interval of load publications, in ms.
const LOAD_MS: u64 = 500;
/// Speeds of the workers, the lowest one first.
const SPEEDS: [f64; 3] = [0.8, 1.0, 1.25];
/// Interval of reads of the list of workers, in ms; only where workers are withdrawn.
const LIST_MS: u64 = 800;
/// Longest time between two heartbeats of a worker, in ms; only where workers are uneven or withdrawn.
const MAX_HEARTBEAT_MS: u64 = 2_000;
/// Time from the arrival of a stop until its run ends, in ms.
const STOP_MS: u64 = 200;
/// Most retries of a refused caller.
const MAX_RETRIES: u32 = 4;

/// Class of similar jobs.
#[derive(Debug, Clone)]
pub struct Class {
    pub name: &'static str,
    pub priority: u32,
    /// Arrival rate of jobs.
    pub per_second: f64,
    /// Mean value of a job that is completed within its objective.
    pub value: f64,
    /// Mean number of steps, from 1 to 2.
    pub steps: f64,
    /// Mean number of tasks of a step before the limits.
    pub width: f64,
    /// Most tasks of a step.
    pub max_width: u32,
    pub need: Resources,
    /// Mean duration of a task on a worker of speed 1, in ms.
    pub work_ms: f64,
    pub gang: bool,
    /// Share of the steps whose tasks write checkpoints.
    pub checkpoint_share: f64,
    /// Probability that a run of a task fails.
    pub failure_rate: f64,
    pub chain_factor: f64,
    pub slack_ms: u64,
    pub advice: AdviceCost,
    /// Share of the workers that may run a step.
    pub allowed_share: f64,
}

/// Interval without one in this many workers.
#[derive(Debug, Clone, Copy)]
pub struct Loss {
    pub one_in: usize,
    pub from_ms: u64,
    pub to_ms: u64,
}

/// Interval with a multiple of a class's arrival rate.
#[derive(Debug, Clone)]
pub struct Burst {
    pub class: usize,
    pub from_ms: u64,
    pub to_ms: u64,
    pub times: f64,
}

/// Workspace that sends a part of all jobs.
#[derive(Debug, Clone)]
pub struct Sender {
    pub name: String,
    /// Part of the jobs of each class.
    pub part: f64,
    pub policy: WorkspacePolicy,
    /// Multiple of the usual rate between the given times, in ms.
    pub burst: Option<(Range<u64>, f64)>,
}

enum Event {
    /// Arrival or retry of a job: class, former retries, job.
    Arrive(usize, u32, Box<JobRequest>),
    /// Failure (true) or return of one in this many workers.
    Lose(usize, bool),
    /// Publication of the load.
    Load,
    Decide,
    /// Answer of the advice service.
    Advised(InstanceId, AdviceRequest),
    /// Arrival of a start order at its worker.
    Start(Box<StartOrder>),
    /// Arrival of a stop order at its worker.
    Stop(StopOrder),
    /// Report of the end of a run.
    End(WorkerId, TaskKey, u32, EndCause),
    /// Heartbeat of a worker without an end.
    Heartbeat(WorkerId),
    /// Read of the list of workers.
    List,
    /// Announcement that workers leave.
    Announce(Withdrawal),
    Leave(WorkerId),
}

struct JobRecord {
    class: usize,
    arrival_ms: u64,
    objective_ms: u64,
    /// Task duration of each step on a worker of speed 1, in ms.
    work_times_ms: Vec<f64>,
    /// Number of tasks of each step.
    widths: Vec<u32>,
    /// Whether the tasks of each step write checkpoints.
    checkpoints: Vec<bool>,
    value: f64,
    started: bool,
    ended: bool,
    workspace: Option<Workspace>,
}

impl JobRecord {
    /// Sum of the task durations on a worker of speed 1, in ms; the tasks of a class need the same cores.
    fn work_ms(&self) -> f64 {
        let steps = self.work_times_ms.iter().zip(&self.widths);
        steps.map(|(ms, tasks)| ms * f64::from(*tasks)).sum()
    }

    /// Tasks of the widest step.
    fn width(&self) -> u32 {
        self.widths.iter().copied().max().unwrap_or(0)
    }
}

/// Simulated fleet with its callers.
pub struct Fleet {
    pub scheduler: Scheduler,
    pub admission: Box<dyn AdmissionRule>,
    broker: AdviceBroker,
    classes: Vec<Class>,
    senders: Vec<Sender>,
    specs: BTreeMap<WorkerId, WorkerSpec>,
    speeds: Speeds,
    running: BTreeMap<WorkerId, BTreeMap<TaskKey, ActiveRun>>,
    /// Started members of each run of a gang.
    gangs: BTreeMap<(StepKey, u32), Vec<(WorkerId, TaskKey)>>,
    withdrawal: Option<Withdrawal>,
    jobs: BTreeMap<JobId, JobRecord>,
    /// Times and sequence numbers of pending events, earliest first.
    events: BinaryHeap<Reverse<(u64, u64)>>,
    /// Pending events by sequence number.
    event_details: BTreeMap<u64, Event>,
    sequence: u64,
    now_ms: u64,
    rng: fastrand::Rng,
    report: Report,
    /// Submitted and earned value by arrival window of 2 s.
    window_values: Vec<(f64, f64)>,
    busy_milli_core_ms: f64,
    uneven: Option<Uneven>,
    /// Sum over all running tasks.
    busy_milli_cores: f64,
    /// Workers that have failed and not returned.
    lost: BTreeSet<WorkerId>,
}

impl Fleet {
    /// Creates workers with equal capacity and three speeds, and instances that make advice calls.
    pub fn new(
        seed: u64,
        workers: u32,
        capacity: Resources,
        instances: u32,
        classes: Vec<Class>,
    ) -> Self {
        let mut fleet = Self {
            scheduler: Scheduler::new(1, LEASE_BOUND_MS),
            admission: Box::new(Admission::default()),
            broker: AdviceBroker::default(),
            specs: BTreeMap::new(),
            speeds: Speeds::default(),
            running: BTreeMap::new(),
            gangs: BTreeMap::new(),
            withdrawal: None,
            jobs: BTreeMap::new(),
            events: BinaryHeap::new(),
            event_details: BTreeMap::new(),
            sequence: 0,
            now_ms: 1_000,
            rng: fastrand::Rng::with_seed(seed),
            report: Report::default(),
            window_values: Vec::new(),
            busy_milli_core_ms: 0.0,
            uneven: None,
            busy_milli_cores: 0.0,
            lost: BTreeSet::new(),
            senders: Vec::new(),
            classes,
        };
        for number in 0..workers {
            let id = worker_id(&format!("w{number:04}"));
            let spec = WorkerSpec {
                id: id.clone(),
                service: Arc::from("service"),
                capacity,
                rack: None,
                labels: BTreeSet::new(),
                draining: false,
                leaves_in_ms: None,
                incarnation: None,
            };
            fleet
                .speeds
                .set_usual(id.clone(), SPEEDS[number as usize % SPEEDS.len()]);
            fleet.specs.insert(id, spec);
        }
        let specs = fleet.specs.values().cloned().collect();
        fleet.scheduler.update_workers(specs, fleet.now_ms);
        for id in fleet.specs.keys().cloned().collect::<Vec<_>>() {
            fleet.heartbeat(&id, Vec::new());
        }
        for number in 0..instances {
            let id = InstanceId::new(&format!("i{number:03}")).expect("a valid name");
            fleet.broker.add_instance(id);
        }
        for class in &fleet.classes {
            let name = class.name;
            fleet.report.classes.push(Outcome {
                name,
                ..Outcome::default()
            });
        }
        fleet
    }

    /// Divides the jobs among workspaces.
    pub fn with_senders(mut self, senders: Vec<Sender>) -> Self {
        let policies = senders
            .iter()
            .map(|it| (workspace(&it.name), it.policy))
            .collect();
        self.scheduler.set_workspaces(Some(policies));
        self.senders = senders;
        self
    }

    /// Draws the workspace of a job.
    fn random_sender(&mut self) -> Option<Workspace> {
        if self.senders.is_empty() {
            return None;
        }
        let mut rest = self.rng.f64() * self.senders.iter().map(|it| it.part).sum::<f64>();
        let sender = self.senders.iter().find(|it| {
            rest -= it.part;
            rest < 0.0
        });
        sender.map(|it| workspace(&it.name))
    }

    /// Adds the jobs by which workspaces exceed their usual rates.
    fn add_bursts_of_senders(&mut self, begin_ms: u64) {
        for sender in self.senders.clone() {
            let Some((times, factor)) = sender.burst else {
                continue;
            };
            for class in 0..self.classes.len() {
                let rate = self.classes[class].per_second * sender.part * (factor - 1.0);
                let mut at_ms = (begin_ms + times.start) as f64;
                loop {
                    at_ms += -self.rng.f64().max(1e-9).ln() / rate * 1_000.0;
                    if at_ms as u64 >= begin_ms + times.end {
                        break;
                    }
                    self.add_arrival(class, at_ms as u64, Some(workspace(&sender.name)));
                }
            }
        }
    }

    /// Runs the simulation with arrivals for `for_ms`, and then until the jobs end, for at most 120 s.
    pub fn run(self, for_ms: u64, bursts: &[Burst]) -> Report {
        self.run_with_loss(for_ms, bursts, None)
    }

    /// Like [`Self::run`], with workers that fail together and return as new incarnations.
    pub fn run_with_loss(mut self, for_ms: u64, bursts: &[Burst], loss: Option<Loss>) -> Report {
        let begin_ms = self.now_ms;
        if let Some(loss) = loss {
            self.push(begin_ms + loss.from_ms, Event::Lose(loss.one_in, true));
            self.push(begin_ms + loss.to_ms, Event::Lose(loss.one_in, false));
        }
        for class in 0..self.classes.len() {
            let mut at_ms = begin_ms as f64;
            loop {
                let elapsed_ms = (at_ms as u64).saturating_sub(begin_ms);
                let burst = bursts
                    .iter()
                    .filter(|it| it.class == class && (it.from_ms..it.to_ms).contains(&elapsed_ms));
                let rate =
                    self.classes[class].per_second * burst.map(|it| it.times).product::<f64>();
                at_ms += -self.rng.f64().max(1e-9).ln() / rate * 1_000.0;
                if at_ms as u64 >= begin_ms + for_ms {
                    break;
                }
                let sender = self.random_sender();
                self.add_arrival(class, at_ms as u64, sender);
            }
        }
        let mean_work_ms = self.mean_work_ms();
        self.add_bursts_of_senders(begin_ms);
        self.set_values(&mean_work_ms);
        self.push(begin_ms, Event::Decide);
        self.push(begin_ms, Event::Load);
        let end_ms = begin_ms + for_ms + 120_000;
        let stop_ms = begin_ms + for_ms;
        while let Some(Reverse((at_ms, number))) = self.events.pop() {
            let values = &self.report.values;
            let is_done = at_ms > stop_ms + 60_000 && values.accepted == values.ended;
            if at_ms > end_ms || is_done {
                break;
            }
            if self.now_ms < stop_ms {
                self.busy_milli_core_ms +=
                    self.busy_milli_cores * (at_ms.min(stop_ms) - self.now_ms) as f64;
            }
            self.now_ms = at_ms;
            if let Some(event) = self.event_details.remove(&number) {
                let may_end = at_ms > stop_ms && matches!(event, Event::Load);
                if may_end && self.is_idle() {
                    break;
                }
                self.handle(event);
            }
        }
        let cores: f64 = self
            .specs
            .values()
            .map(|it| it.capacity.milli_cores as f64)
            .sum();
        self.report.learned_speeds = self.learned_speeds();
        self.report.busy_share = self.busy_milli_core_ms / (cores * for_ms as f64);
        let windows = self
            .window_values
            .iter()
            .filter(|(submitted, _)| *submitted > 0.0);
        self.report.windows = windows
            .map(|(submitted, earned)| earned / submitted)
            .collect();
        self.report
    }

    fn add_arrival(&mut self, class: usize, at_ms: u64, workspace: Option<Workspace>) {
        let (mut job, work_times_ms) = self.random_job(class);
        job.workspace.clone_from(&workspace);
        let critical_path_ms: f64 = work_times_ms.iter().sum();
        let record = JobRecord {
            class,
            arrival_ms: at_ms,
            objective_ms: (critical_path_ms * self.classes[class].chain_factor) as u64
                + self.classes[class].slack_ms,
            work_times_ms,
            widths: job.steps.iter().map(|step| step.tasks).collect(),
            checkpoints: job.steps.iter().map(|step| step.checkpoints).collect(),
            value: 0.0,
            started: false,
            ended: false,
            workspace,
        };
        self.jobs.insert(job.id.clone(), record);
        self.push(at_ms, Event::Arrive(class, 0, Box::new(job)));
    }

    /// Whether the ends of all accepted jobs are recorded, no task runs, and no caller retries.
    fn is_idle(&self) -> bool {
        let is_arrival = |event: &Event| matches!(event, Event::Arrive(..));
        let values = &self.report.values;
        values.accepted == values.ended
            && self.scheduler.task_counts() == (0, 0)
            && !self.event_details.values().any(is_arrival)
    }

    /// Mean work of the jobs of each class, in ms on a worker of speed 1.
    fn mean_work_ms(&self) -> Vec<f64> {
        let mut sums = vec![(0.0, 0.0); self.classes.len()];
        for record in self.jobs.values() {
            let (work, jobs) = &mut sums[record.class];
            (*work, *jobs) = (*work + record.work_ms(), *jobs + 1.0);
        }
        sums.into_iter().map(|(work, jobs)| work / jobs).collect()
    }

    /// Sets the value of all jobs by their work relative to the mean of their class. The means are those of the usual
    /// load, so that a burst of one workspace does not change what the jobs of the others are worth.
    fn set_values(&mut self, mean_work_ms: &[f64]) {
        for record in self.jobs.values_mut() {
            let relative = record.work_ms() / mean_work_ms[record.class];
            record.value = self.classes[record.class].value * job_factor(relative);
        }
    }

    /// Random number with a log-normal distribution, as usual for durations and widths.
    fn log_normal(&mut self, mean: f64, spread: f64) -> f64 {
        let (u, v) = (self.rng.f64().max(1e-12), self.rng.f64());
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        mean * (normal * spread - spread * spread / 2.0).exp()
    }

    /// Draws a job of a class; also returns the task durations of its steps on a worker of speed 1, in ms.
    fn random_job(&mut self, class: usize) -> (JobRequest, Vec<f64>) {
        let class = self.classes[class].clone();
        let steps = 1 + u32::from(self.rng.f64() < class.steps - 1.0);
        let mut list = Vec::new();
        let mut work_times_ms = Vec::new();
        for number in 0..steps {
            let work_ms = self.log_normal(class.work_ms, 0.5);
            let estimate = match self.uneven.as_ref().map(|it| it.estimates) {
                Some((low, high)) => work_ms * (low + (high - low) * self.rng.f64()),
                None => self.log_normal(work_ms, 0.4),
            };
            work_times_ms.push(work_ms);
            list.push(Step {
                tasks: (self.log_normal(class.width, 0.8) as u32).clamp(1, class.max_width),
                need: class.need,
                estimate_ms: estimate as u64,
                gang: class.gang,
                // No number is drawn for a share of 1, so that it leaves the other random numbers as they are.
                checkpoints: class.checkpoint_share >= 1.0
                    || self.rng.f64() < class.checkpoint_share,
                after: (0..number).collect(),
                ..Step::default()
            });
        }
        let job = JobRequest {
            id: JobId::new(&format!("{:016x}", self.rng.u64(..))).expect("a valid name"),
            policy: QueuePolicy {
                name: class.name.into(),
                service: Arc::from("service"),
                priority: class.priority,
                attempts: 4,
                chain_factor: class.chain_factor,
                slack_ms: class.slack_ms,
                advice: Some(class.advice),
            },
            workspace: None,
            payload: Arc::from("payload"),
            steps: list,
            schedule: None,
            accepted_ms: 0,
        };
        (job, work_times_ms)
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence)));
        self.event_details.insert(self.sequence, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(class, retries, job) => self.arrive(class, retries, job),
            Event::Lose(one_in, fails) => self.lose(one_in, fails),
            Event::Load => {
                self.admission.update(self.scheduler.load(), self.now_ms);
                self.push(self.now_ms + LOAD_MS, Event::Load);
            }
            Event::Decide => {
                self.scheduler
                    .set_spare_instances(self.broker.spare_instances());
                let actions = self.scheduler.decide(self.now_ms, self.now_ms);
                self.carry_out_actions(actions);
                self.record_finished_jobs();
                self.push(self.now_ms + DECIDE_MS, Event::Decide);
            }
            Event::Advised(instance, request) => self.advised(&instance, &request),
            Event::Start(order) => self.start(&order),
            Event::Stop(order) if self.is_up(&order.worker) => {
                let runs = self.running.get(&order.worker);
                let is_active = runs.and_then(|runs| runs.get(&order.task));
                self.report.stopped_runs +=
                    u32::from(is_active.is_some_and(|it| it.run == order.run));
                self.scheduler
                    .stop_result(&order.worker, &order.task, order.run, self.now_ms);
                let end = Event::End(order.worker, order.task, order.run, EndCause::Interrupted);
                self.push(self.now_ms + STOP_MS, end);
            }
            Event::End(worker, task, run, cause) => self.end(&worker, &task, run, cause),
            Event::Heartbeat(worker) if self.specs.contains_key(&worker) => {
                if self.is_up(&worker) {
                    self.heartbeat(&worker, Vec::new());
                }
                let wait_ms = self.scheduler.max_heartbeat_wait_ms(&worker);
                let at_ms = self.now_ms + wait_ms.min(MAX_HEARTBEAT_MS);
                self.push(at_ms, Event::Heartbeat(worker));
            }
            Event::Stop(_) | Event::Heartbeat(_) => {}
            Event::List => {
                self.list_workers();
                self.push(self.now_ms + LIST_MS, Event::List);
            }
            Event::Announce(withdrawal) => self.announce(withdrawal),
            Event::Leave(worker) => self.leave(&worker),
        }
    }

    fn arrive(&mut self, class: usize, retries: u32, job: Box<JobRequest>) {
        let record = &self.jobs[&job.id];
        let (value, width, objective_ms) = (record.value, record.width(), record.objective_ms);
        let arrival_ms = record.arrival_ms;
        let window = ((arrival_ms - 1_000) / 2_000) as usize;
        if self.window_values.len() <= window {
            self.window_values.resize(window + 1, (0.0, 0.0));
        }
        let outcome = &mut self.report.classes[class];
        if retries == 0 {
            outcome.submitted += value;
            outcome.jobs += 1;
            outcome.steps += u32::try_from(job.steps.len()).expect("few steps");
            self.window_values[window].0 += value;
            self.report.values.submit(outcome.name, width, value);
            self.add_value_of_workspace(job.workspace.as_ref(), class, (value, 0.0));
        }
        let Err(refusal) = self.admission.admit(&job, self.now_ms) else {
            self.report.values.accepted += 1;
            let (origin, progress) = (JobOrigin::Accepted, Progress::default());
            self.scheduler
                .accept(*job, origin, &progress, 0, self.now_ms);
            return;
        };
        let is_free = self.has_room(&job.steps[0]);
        let (now_ms, retry_ms) = (self.now_ms, refusal.retry_after_ms);
        self.report.values.refuse(now_ms, retry_ms, is_free);
        let at_ms = self.now_ms + refusal.retry_after_ms.div_ceil(1_000).max(1) * 1_000;
        if retries < MAX_RETRIES && at_ms <= arrival_ms + objective_ms {
            self.push(at_ms, Event::Arrive(class, retries + 1, job));
        } else {
            self.report.classes[class].refused += value;
        }
    }

    /// Whether all tasks of a step fit into the free capacity.
    fn has_room(&self, step: &Step) -> bool {
        let slots = |(id, spec): (&WorkerId, &WorkerSpec)| {
            let mut used = Resources::ZERO;
            for task in self.running.get(id).into_iter().flat_map(BTreeMap::keys) {
                used += self.classes[self.jobs[&task.step.job].class].need;
            }
            let free = spec.capacity.saturating_sub(&used);
            let is_up = self.is_up(id) && !spec.draining;
            let by_cores = free.milli_cores / step.need.milli_cores;
            u64::from(is_up) * by_cores.min(free.memory_mib / step.need.memory_mib)
        };
        let slots: u64 = self.specs.iter().map(slots).sum();
        slots >= u64::from(step.tasks)
    }

    /// Fails one in so many workers with their runs, or lets them return as new incarnations.
    fn lose(&mut self, one_in: usize, fails: bool) {
        let chosen: Vec<WorkerId> = self.specs.keys().step_by(one_in).cloned().collect();
        if fails {
            for id in chosen {
                for (task, lost) in self.running.remove(&id).unwrap_or_default() {
                    self.busy_milli_cores -= self.milli_cores_of(&task);
                    self.record_lost_work(&task, lost.saved_ms);
                }
                self.scheduler.remove_worker(&id, self.now_ms);
                self.lost.insert(id);
            }
            return;
        }
        self.lost.clear();
        self.list_workers();
        for id in chosen {
            self.heartbeat(&id, Vec::new());
        }
    }

    /// Whether a worker has neither failed nor left.
    fn is_up(&self, worker: &WorkerId) -> bool {
        self.specs.contains_key(worker) && !self.lost.contains(worker)
    }

    /// Reads the list of workers, without those that have failed.
    fn list_workers(&mut self) {
        let specs = self.specs.values().filter(|it| self.is_up(&it.id));
        let specs = specs.cloned().collect();
        self.scheduler.update_workers(specs, self.now_ms);
    }

    fn milli_cores_of(&self, task: &TaskKey) -> f64 {
        let class = self.jobs[&task.step.job].class;
        self.classes[class].need.milli_cores as f64
    }

    fn add_value_of_workspace(
        &mut self,
        workspace: Option<&Workspace>,
        class: usize,
        (submitted, earned): (f64, f64),
    ) {
        if let Some(workspace) = workspace {
            let name = Arc::from(workspace.as_str());
            let sums = self.report.workspaces.entry((name, class)).or_default();
            *sums = (sums.0 + submitted, sums.1 + earned);
        }
    }

    fn carry_out_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(order) => {
                    let max_ms = self.uneven.as_ref().map_or(0, |it| it.max_start_ms);
                    let is_slow = max_ms > 0 && self.rng.f64() < SLOW_START_SHARE;
                    let extra_ms = if is_slow { self.rng.u64(..max_ms) } else { 0 };
                    let at_ms = self.now_ms + ORDER_MS + extra_ms;
                    self.push(at_ms, Event::Start(Box::new(order)));
                }
                Action::Stop(order) => {
                    let at_ms = self.now_ms + ORDER_MS;
                    self.push(at_ms, Event::Stop(order));
                }
                Action::RequestAdvice(request) => {
                    if let Err(request) = self.broker.push(request) {
                        self.scheduler.advice_received(
                            &request.step,
                            &request.workers,
                            None,
                            self.now_ms,
                        );
                    }
                }
            }
        }
        while let Some(assigned) = self.broker.assign_next() {
            if let Some(record) = self.jobs.get(&assigned.request.step.job) {
                let outcome = &mut self.report.classes[record.class];
                outcome.calls += 1;
                outcome.calls_ms += assigned.request.cost_ms;
            }
            let at_ms = self.now_ms + assigned.request.cost_ms as u64 + REPORT_MS;
            self.push(at_ms, Event::Advised(assigned.instance, assigned.request));
        }
    }

    fn advised(&mut self, instance: &InstanceId, request: &AdviceRequest) {
        self.broker.call_finished(instance);
        let Some(record) = self.jobs.get(&request.step.job) else {
            return;
        };
        let share = self.classes[record.class].allowed_share;
        // The FNV-1a hash of the step and the worker decides, so that repeated requests get the same answer.
        let is_allowed = |worker: &&WorkerId| {
            let text = format!("{} {worker}", request.step);
            let hash = text
                .bytes()
                .fold(14_695_981_039_346_656_037_u64, |hash, byte| {
                    (hash ^ u64::from(byte)).wrapping_mul(1_099_511_628_211)
                });
            ((hash >> 24) % 10_000) as f64 / 10_000.0 < share
        };
        let allowed = request.workers.iter().filter(is_allowed);
        let allowed = allowed
            .map(|it| (it.clone(), Arc::from("ticket")))
            .collect();
        self.scheduler
            .advice_received(&request.step, &request.workers, Some(allowed), self.now_ms);
    }

    fn start(&mut self, order: &StartOrder) {
        let now_ms = self.now_ms;
        if !self.is_up(&order.worker) {
            return;
        }
        self.scheduler.start_result(
            &order.worker,
            &order.task,
            order.run,
            StartOutcome::Started,
            now_ms,
        );
        let Some(record) = self.jobs.get_mut(&order.task.step.job) else {
            return;
        };
        let class = record.class;
        self.report.classes[class].starts += 1;
        if !record.started {
            record.started = true;
            let waited = now_ms - record.arrival_ms;
            self.report.classes[class].wait_times_ms.push(waited);
        }
        let work_ms = record.work_times_ms[order.task.step.step as usize];
        let wanted = record.widths[order.task.step.step as usize] as usize;
        let writes_checkpoints = record.checkpoints[order.task.step.step as usize];
        let is_gang = self.classes[class].gang;
        let work_ms = work_ms
            * if is_gang {
                1.0
            } else {
                self.run_time_factor(1)
            };
        let running = ActiveRun {
            run: order.run,
            started_ms: now_ms,
            done: order.checkpoint.parse().unwrap_or(0.0),
            progresses_from_ms: None,
            work_ms,
            workers: vec![order.worker.clone()],
            writes_checkpoints,
            saved_ms: now_ms,
        };
        self.busy_milli_cores += self.classes[class].need.milli_cores as f64;
        self.running
            .entry(order.worker.clone())
            .or_default()
            .insert(order.task.clone(), running);
        if is_gang {
            self.start_gang_member(order, wanted, work_ms);
        } else {
            self.schedule_end(order, work_ms);
        }
    }

    /// Schedules the end of a task that is not a member of a gang.
    fn schedule_end(&mut self, order: &StartOrder, work_ms: f64) {
        let class = self.jobs[&order.task.step.job].class;
        let workers = std::slice::from_ref(&order.worker);
        let (begin_ms, rest_ms) = self.begin_work(&order.worker, &order.task, workers, work_ms);
        let fails = self.rng.f64() < self.classes[class].failure_rate;
        let (part, cause) = if fails {
            (self.rng.f64(), EndCause::Failed)
        } else {
            (1.0, EndCause::Done)
        };
        let at_ms = self.speeds.done_at_ms(workers, begin_ms, rest_ms * part) + REPORT_MS;
        let end = Event::End(order.worker.clone(), order.task.clone(), order.run, cause);
        self.push(at_ms, end);
    }

    /// Records a started gang member, and schedules the ends of all members when the gang is complete. The gang is as
    /// fast as its slowest worker, and a failure of one member ends all.
    fn start_gang_member(&mut self, order: &StartOrder, wanted: usize, work_ms: f64) {
        let class = self.jobs[&order.task.step.job].class;
        let key = (order.task.step.clone(), order.run);
        let members = self.gangs.entry(key).or_default();
        members.push((order.worker.clone(), order.task.clone()));
        if members.len() < wanted {
            return;
        }
        let members = members.clone();
        let work_ms = work_ms * self.run_time_factor(members.len());
        let workers: Vec<WorkerId> = members.iter().map(|(worker, _)| worker.clone()).collect();
        (self.report.gang_speeds).push(self.speeds.slowest(&workers, self.now_ms));
        let (mut begin_ms, mut rest_ms) = (self.now_ms, 0.0_f64);
        for (worker, task) in &members {
            let (from_ms, left_ms) = self.begin_work(worker, task, &workers, work_ms);
            (begin_ms, rest_ms) = (begin_ms.max(from_ms), rest_ms.max(left_ms));
        }
        let all_succeed = (1.0 - self.classes[class].failure_rate).powi(wanted as i32);
        let fails = self.rng.f64() >= all_succeed;
        let part = if fails { self.rng.f64() } else { 1.0 };
        let at_ms = self.speeds.done_at_ms(&workers, begin_ms, rest_ms * part) + REPORT_MS;
        for (index, (worker, task)) in members.into_iter().enumerate() {
            let cause = match (fails, index) {
                (false, _) => EndCause::Done,
                (true, 0) => EndCause::Failed,
                (true, _) => EndCause::Interrupted,
            };
            self.push(at_ms, Event::End(worker, task, order.run, cause));
        }
    }

    fn end(&mut self, worker: &WorkerId, task: &TaskKey, run: u32, cause: EndCause) {
        let Some(runs) = self.running.get_mut(worker) else {
            return;
        };
        if runs.get(task).is_none_or(|it| it.run != run) {
            return;
        }
        let Some(mut removed) = runs.remove(task) else {
            return;
        };
        self.busy_milli_cores -= self.milli_cores_of(task);
        let mut checkpoint = Arc::from("");
        if cause == EndCause::Interrupted {
            checkpoint = removed.save(&self.speeds, self.now_ms);
            self.record_lost_work(task, removed.saved_ms);
        } else if cause == EndCause::Failed {
            self.record_lost_work(task, removed.started_ms);
        }
        let ended = EndedRun {
            task: task.clone(),
            run,
            cause,
            checkpoint,
        };
        self.heartbeat(worker, vec![ended]);
    }

    fn heartbeat(&mut self, worker: &WorkerId, ended: Vec<EndedRun>) {
        let now_ms = self.now_ms;
        let speeds = &self.speeds;
        let runs = self.running.get_mut(worker);
        let running = runs.into_iter().flatten().map(|(task, it)| RunningTask {
            task: task.clone(),
            run: it.run,
            checkpoint: it.save_latest(speeds, now_ms),
            percent: (100.0 * it.done_at(speeds, now_ms)).min(99.0) as u32,
        });
        let report = HeartbeatReport {
            lease_until_ms: self.now_ms + LEASE_BOUND_MS,
            running: running.collect(),
            ended,
            ..HeartbeatReport::default()
        };
        self.scheduler.heartbeat(worker, report, self.now_ms);
    }

    fn record_finished_jobs(&mut self) {
        for change in self.scheduler.take_changes() {
            if !change.state.is_final() {
                continue;
            }
            self.scheduler.remove_finished(&change.job);
            let Some(record) = self
                .jobs
                .get_mut(&change.job)
                .filter(|record| !record.ended)
            else {
                continue;
            };
            record.ended = true;
            let duration_ms = self.now_ms - record.arrival_ms;
            let (class, objective_ms, arrival_ms) =
                (record.class, record.objective_ms, record.arrival_ms);
            let width = record.width();
            self.report.values.ended += 1;
            let (value, workspace) = (record.value, record.workspace.clone());
            let outcome = &mut self.report.classes[class];
            let window = ((arrival_ms - 1_000) / 2_000) as usize;
            if change.state == JobState::Succeeded && duration_ms <= objective_ms {
                outcome.in_time += value;
                self.window_values[window].1 += value;
                self.report.values.earn(outcome.name, width, value);
                self.add_value_of_workspace(workspace.as_ref(), class, (0.0, value));
            } else if change.state == JobState::Succeeded && duration_ms <= 3 * objective_ms {
                outcome.late += value;
                self.window_values[window].1 += 0.2 * value;
                self.report.values.earn(outcome.name, width, 0.2 * value);
                self.add_value_of_workspace(workspace.as_ref(), class, (0.0, 0.2 * value));
            } else {
                outcome.missed += value;
            }
        }
    }
}
