//! A fleet of workers under a load of unlike jobs, in simulated time: what callers get from the decisions alone.
//!
//! Starts reach workers after a fixed delay, calls for advice take their stated time and one call at a time is made for
//! each instance, a failed member ends its gang, and callers that are refused come back when they are told to.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_possible_wrap,
    clippy::cast_sign_loss,
    reason = "simulated times, counts and worths are small and positive"
)]

use {
    super::{LEASE_BOUND_MS, worker_id},
    ragwortreel_model::{InstanceId, JobId, JobState, Resources, WorkerId},
    ragwortreel_workflow::{
        Action, Admission, AdviceBroker, AdviceCost, AdviceRequest, EndCause, EndedRun,
        HeartbeatReport, JobOrigin, JobRequest, Progress, QueuePolicy, RunningTask, Scheduler,
        StartOrder, StartOutcome, Step, StepKey, StopOrder, TaskKey, WorkerSpec,
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, BinaryHeap},
        fmt,
        sync::Arc,
    },
};

/// Time from a decision until a start or stop has reached its worker, in ms: a stored group and two hops.
const ORDER_MS: u64 = 30;
/// Time from the end of a run until the scheduler hears of it, in ms: one hop with its answer.
const REPORT_MS: u64 = 4;
/// Time between two decisions, in ms.
const DECIDE_MS: u64 = 10;
/// Time between two publications of the load, in ms.
const LOAD_MS: u64 = 500;
/// Times that a refused caller comes back.
const RETRIES: u32 = 4;

/// Jobs that are alike.
#[derive(Debug, Clone)]
pub struct Class {
    pub name: &'static str,
    pub priority: u32,
    pub per_second: f64,
    pub worth: f64,
    pub steps: f64,
    pub width: f64,
    /// Most tasks of a step.
    pub widest: u32,
    /// Need of one task.
    pub need: Resources,
    pub work_ms: f64,
    pub gang: bool,
    /// Part of the tasks' runs that fail.
    pub fails: f64,
    pub stretch: f64,
    pub slack_ms: u64,
    pub advice: AdviceCost,
    /// Part of the workers that may run a step.
    pub allowed: f64,
}

/// More jobs of a class for some time.
#[derive(Debug, Clone)]
pub struct Burst {
    pub class: usize,
    pub from_ms: u64,
    pub to_ms: u64,
    pub times: f64,
}

/// What callers of one class got.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub name: &'static str,
    pub asked: f64,
    pub in_time: f64,
    pub late: f64,
    pub refused: f64,
    pub missed: f64,
    pub wait_ms: Vec<u64>,
    /// Calls for advice, and how long they took, in ms.
    pub calls: u32,
    pub calls_ms: f64,
    pub jobs: u32,
    pub steps: u32,
    pub starts: u32,
}

impl Outcome {
    /// Part of the worth that was earned in time.
    pub fn in_time_part(&self) -> f64 {
        self.in_time / self.asked
    }
}

/// What all callers got.
#[derive(Debug, Clone, Default)]
pub struct Report {
    pub classes: Vec<Outcome>,
    /// Served part of the worth by windows of two seconds of arrival.
    pub windows: Vec<f64>,
    /// Mean part of the cores that ran tasks.
    pub busy: f64,
    /// Core-seconds of runs that did not end as done.
    pub lost_core_s: f64,
}

impl Report {
    /// Part of the worth that was earned; late jobs earn a fifth.
    pub fn served(&self) -> f64 {
        let (got, all) = self.classes.iter().fold((0.0, 0.0), |(got, all), it| {
            (got + it.in_time + 0.2 * it.late, all + it.asked)
        });
        got / all
    }

    /// Mean of the worst tenth of the windows.
    pub fn worst(&self) -> f64 {
        let mut windows = self.windows.clone();
        windows.sort_by(f64::total_cmp);
        let count = windows.len().div_ceil(10);
        windows[..count].iter().sum::<f64>() / count as f64
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "served {:.3} worst {:.3} busy {:.3} lost core-s {:.0}",
            self.served(),
            self.worst(),
            self.busy,
            self.lost_core_s
        )?;
        for it in &self.classes {
            let mut waits = it.wait_ms.clone();
            waits.sort_unstable();
            let at = |p: f64| {
                waits
                    .get((waits.len() as f64 * p) as usize)
                    .copied()
                    .unwrap_or(0)
            };
            writeln!(
                f,
                "  {:8} in time {:.3} late {:.3} refused {:.3} missed {:.3} first start p50 {} p90 {} ms, {:.1} calls a job of {:.0} ms, {:.1} starts a job",
                it.name,
                it.in_time / it.asked,
                it.late / it.asked,
                it.refused / it.asked,
                it.missed / it.asked,
                at(0.5),
                at(0.9),
                f64::from(it.calls) / f64::from(it.jobs),
                it.calls_ms / f64::from(it.calls),
                f64::from(it.starts) / f64::from(it.jobs)
            )?;
        }
        let windows: Vec<String> = self.windows.iter().map(|it| format!("{it:.2}")).collect();
        writeln!(f, "  windows {}", windows.join(" "))
    }
}

enum Event {
    Arrive(usize, u32, Box<JobRequest>, f64),
    Load,
    Decide,
    Advised(InstanceId, AdviceRequest),
    Start(Box<StartOrder>),
    Stop(StopOrder),
    End(WorkerId, TaskKey, u32, EndCause),
}

struct Running {
    run: u32,
    begun_ms: u64,
}

struct Known {
    class: usize,
    first_ms: u64,
    objective_ms: u64,
    works_ms: Vec<f64>,
    widths: Vec<u32>,
    worth: f64,
    started: bool,
    ended: bool,
}

/// The fleet and its callers.
pub struct Fleet {
    pub scheduler: Scheduler,
    admission: Admission,
    broker: AdviceBroker,
    classes: Vec<Class>,
    specs: BTreeMap<WorkerId, WorkerSpec>,
    speeds: BTreeMap<WorkerId, f64>,
    running: BTreeMap<WorkerId, BTreeMap<TaskKey, Running>>,
    /// Members of a gang's run that have started.
    gangs: BTreeMap<(StepKey, u32), Vec<(WorkerId, TaskKey)>>,
    jobs: BTreeMap<JobId, Known>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    bodies: BTreeMap<u64, Event>,
    sequence: u64,
    now_ms: u64,
    rng: fastrand::Rng,
    report: Report,
    window_worth: Vec<(f64, f64)>,
    busy_ms: f64,
}

impl Fleet {
    /// A fleet of alike workers, and some instances that make calls for advice.
    pub fn new(
        seed: u64,
        workers: u32,
        capacity: Resources,
        instances: u32,
        classes: Vec<Class>,
    ) -> Self {
        let mut fleet = Self {
            scheduler: Scheduler::new(1, LEASE_BOUND_MS),
            admission: Admission::default(),
            broker: AdviceBroker::default(),
            specs: BTreeMap::new(),
            speeds: BTreeMap::new(),
            running: BTreeMap::new(),
            gangs: BTreeMap::new(),
            jobs: BTreeMap::new(),
            events: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            sequence: 0,
            now_ms: 1_000,
            rng: fastrand::Rng::with_seed(seed),
            report: Report::default(),
            window_worth: Vec::new(),
            busy_ms: 0.0,
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
            };
            fleet
                .speeds
                .insert(id.clone(), [0.8, 1.0, 1.25][number as usize % 3]);
            fleet.specs.insert(id, spec);
        }
        let specs = fleet.specs.values().cloned().collect();
        fleet.scheduler.update_workers(specs, fleet.now_ms);
        for id in fleet.specs.keys().cloned().collect::<Vec<_>>() {
            fleet.heartbeat(&id, Vec::new());
        }
        for number in 0..instances {
            let id = InstanceId::new(&format!("i{number:03}")).expect("a name");
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

    /// Plays a time of arrivals, and lets the jobs end.
    pub fn play(mut self, for_ms: u64, bursts: &[Burst]) -> Report {
        let begin_ms = self.now_ms;
        for class in 0..self.classes.len() {
            let mut at_ms = begin_ms as f64;
            loop {
                let here = (at_ms as u64).saturating_sub(begin_ms);
                let burst = bursts
                    .iter()
                    .filter(|it| it.class == class && (it.from_ms..it.to_ms).contains(&here));
                let rate =
                    self.classes[class].per_second * burst.map(|it| it.times).product::<f64>();
                at_ms += -self.rng.f64().max(1e-9).ln() / rate * 1_000.0;
                if at_ms as u64 >= begin_ms + for_ms {
                    break;
                }
                let (job, works_ms) = self.draw(class);
                let longest: f64 = works_ms.iter().sum();
                let known = Known {
                    class,
                    first_ms: at_ms as u64,
                    objective_ms: (longest * self.classes[class].stretch) as u64
                        + self.classes[class].slack_ms,
                    works_ms,
                    widths: job.steps.iter().map(|step| step.tasks).collect(),
                    worth: self.worth_of(class, &job),
                    started: false,
                    ended: false,
                };
                let worth = known.worth;
                self.jobs.insert(job.id.clone(), known);
                self.push(at_ms as u64, Event::Arrive(class, 0, Box::new(job), worth));
            }
        }
        self.push(begin_ms, Event::Decide);
        self.push(begin_ms, Event::Load);
        let end_ms = begin_ms + for_ms + 60_000;
        let stop_ms = begin_ms + for_ms;
        while let Some(Reverse((at_ms, number))) = self.events.pop() {
            if at_ms > end_ms {
                break;
            }
            let running: f64 = self.busy_cores();
            if self.now_ms < stop_ms {
                self.busy_ms += running * (at_ms.min(stop_ms) - self.now_ms) as f64;
            }
            self.now_ms = at_ms;
            if let Some(event) = self.bodies.remove(&number) {
                self.handle(event);
            }
        }
        let cores: f64 = self
            .specs
            .values()
            .map(|it| it.capacity.milli_cores as f64)
            .sum();
        self.report.busy = self.busy_ms / (cores * for_ms as f64);
        let windows = self.window_worth.iter().filter(|(all, _)| *all > 0.0);
        self.report.windows = windows.map(|(all, got)| got / all).collect();
        self.report
    }

    fn busy_cores(&self) -> f64 {
        let needs = self.running.values().flat_map(|runs| runs.keys());
        needs
            .filter_map(|task| {
                Some(
                    self.classes[self.jobs.get(&task.step.job)?.class]
                        .need
                        .milli_cores as f64,
                )
            })
            .sum()
    }

    fn worth_of(&self, class: usize, job: &JobRequest) -> f64 {
        let tasks: u32 = job.steps.iter().map(|step| step.tasks).sum();
        let class = &self.classes[class];
        class.worth * f64::from(tasks) / (class.width * class.steps)
    }

    /// A number with a mean and a spread that is typical of durations and widths.
    fn spread(&mut self, mean: f64, spread: f64) -> f64 {
        let (u, v) = (self.rng.f64().max(1e-12), self.rng.f64());
        let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        mean * (normal * spread - spread * spread / 2.0).exp()
    }

    fn draw(&mut self, class: usize) -> (JobRequest, Vec<f64>) {
        let it = self.classes[class].clone();
        let steps = 1 + u32::from(self.rng.f64() < it.steps - 1.0);
        let mut list = Vec::new();
        let mut works = Vec::new();
        for number in 0..steps {
            let work_ms = self.spread(it.work_ms, 0.5);
            let estimate = self.spread(work_ms, 0.4);
            works.push(work_ms);
            list.push(Step {
                tasks: (self.spread(it.width, 0.8) as u32).clamp(1, it.widest),
                need: it.need,
                estimate_ms: estimate as u64,
                gang: it.gang,
                checkpoints: true,
                after: (0..number).collect(),
                ..Step::default()
            });
        }
        let job = JobRequest {
            id: JobId::new(&format!("{:016x}", self.rng.u64(..))).expect("a name"),
            policy: QueuePolicy {
                name: it.name.into(),
                service: Arc::from("service"),
                priority: it.priority,
                attempts: 4,
                chain_factor: it.stretch,
                slack_ms: it.slack_ms,
                advice: Some(it.advice),
            },
            payload: Arc::from("payload"),
            steps: list,
            schedule: None,
            accepted_ms: 0,
        };
        (job, works)
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence)));
        self.bodies.insert(self.sequence, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(class, tries, job, worth) => self.arrive(class, tries, job, worth),
            Event::Load => {
                self.admission.update(self.scheduler.load(), self.now_ms);
                self.push(self.now_ms + LOAD_MS, Event::Load);
            }
            Event::Decide => {
                self.scheduler
                    .set_spare_instances(self.broker.spare_instances());
                let actions = self.scheduler.decide(self.now_ms, self.now_ms);
                self.carry_out(actions);
                self.note_ends();
                self.push(self.now_ms + DECIDE_MS, Event::Decide);
            }
            Event::Advised(instance, request) => self.advised(&instance, &request),
            Event::Start(order) => self.start(&order),
            Event::Stop(order) => {
                self.scheduler
                    .stop_result(&order.worker, &order.task, order.run, self.now_ms);
                self.end(
                    &order.worker.clone(),
                    &order.task,
                    order.run,
                    EndCause::Interrupted,
                );
            }
            Event::End(worker, task, run, cause) => self.end(&worker, &task, run, cause),
        }
    }

    fn arrive(&mut self, class: usize, tries: u32, job: Box<JobRequest>, worth: f64) {
        let window = ((self.jobs[&job.id].first_ms - 1_000) / 2_000) as usize;
        if self.window_worth.len() <= window {
            self.window_worth.resize(window + 1, (0.0, 0.0));
        }
        if tries == 0 {
            self.report.classes[class].asked += worth;
            self.report.classes[class].jobs += 1;
            self.report.classes[class].steps += u32::try_from(job.steps.len()).expect("few steps");
            self.window_worth[window].0 += worth;
        }
        match self.admission.admit(&job, self.now_ms) {
            Ok(()) => {
                self.scheduler.accept(
                    *job,
                    JobOrigin::Accepted,
                    &Progress::default(),
                    0,
                    self.now_ms,
                );
            }
            Err(refusal) if tries < RETRIES => {
                let at_ms = self.now_ms + refusal.retry_after_ms;
                self.push(at_ms, Event::Arrive(class, tries + 1, job, worth));
            }
            Err(_) => self.report.classes[class].refused += worth,
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(order) => {
                    let at_ms = self.now_ms + ORDER_MS;
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
            if let Some(known) = self.jobs.get(&assigned.request.step.job) {
                let outcome = &mut self.report.classes[known.class];
                outcome.calls += 1;
                outcome.calls_ms += assigned.request.cost_ms;
            }
            let at_ms = self.now_ms + assigned.request.cost_ms as u64 + REPORT_MS;
            self.push(at_ms, Event::Advised(assigned.instance, assigned.request));
        }
    }

    fn advised(&mut self, instance: &InstanceId, request: &AdviceRequest) {
        self.broker.call_finished(instance);
        let Some(known) = self.jobs.get(&request.step.job) else {
            return;
        };
        let share = self.classes[known.class].allowed;
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
        self.scheduler.start_result(
            &order.worker,
            &order.task,
            order.run,
            StartOutcome::Started,
            now_ms,
        );
        let Some(known) = self.jobs.get_mut(&order.task.step.job) else {
            return;
        };
        let class = known.class;
        self.report.classes[class].starts += 1;
        if !known.started {
            known.started = true;
            let waited = now_ms - known.first_ms;
            self.report.classes[class].wait_ms.push(waited);
        }
        let work_ms = known.works_ms[order.task.step.step as usize];
        let wanted = known.widths[order.task.step.step as usize] as usize;
        let running = Running {
            run: order.run,
            begun_ms: now_ms,
        };
        self.running
            .entry(order.worker.clone())
            .or_default()
            .insert(order.task.clone(), running);
        if self.classes[class].gang {
            self.join_gang(order, wanted, work_ms);
        } else {
            self.plan_end(order, work_ms);
        }
    }

    /// Plans the end of a task that runs on its own.
    fn plan_end(&mut self, order: &StartOrder, work_ms: f64) {
        let class = self.jobs[&order.task.step.job].class;
        let took_ms = work_ms / self.speeds[&order.worker];
        let fails = self.rng.f64() < self.classes[class].fails;
        let (part, cause) = if fails {
            (self.rng.f64(), EndCause::Failed)
        } else {
            (1.0, EndCause::Done)
        };
        let at_ms = self.now_ms + (took_ms * part) as u64 + REPORT_MS;
        let end = Event::End(order.worker.clone(), order.task.clone(), order.run, cause);
        self.push(at_ms, end);
    }

    /// Plans the ends of a gang with its last member; it runs as fast as its slowest worker, and one failure ends all.
    fn join_gang(&mut self, order: &StartOrder, wanted: usize, work_ms: f64) {
        let class = self.jobs[&order.task.step.job].class;
        let key = (order.task.step.clone(), order.run);
        let members = self.gangs.entry(key).or_default();
        members.push((order.worker.clone(), order.task.clone()));
        if members.len() < wanted {
            return;
        }
        let members = members.clone();
        let speeds = members.iter().map(|(worker, _)| self.speeds[worker]);
        let took_ms = work_ms / speeds.fold(f64::MAX, f64::min);
        let sound = (1.0 - self.classes[class].fails).powi(wanted as i32);
        let fails = self.rng.f64() >= sound;
        let part = if fails { self.rng.f64() } else { 1.0 };
        let at_ms = self.now_ms + (took_ms * part) as u64 + REPORT_MS;
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
        let runs = self.running.entry(worker.clone()).or_default();
        if runs.get(task).is_none_or(|it| it.run != run) {
            return;
        }
        if let Some(gone) = runs.remove(task)
            && cause != EndCause::Done
            && let Some(known) = self.jobs.get(&task.step.job)
        {
            let cores = self.classes[known.class].need.milli_cores as f64 / 1_000.0;
            self.report.lost_core_s += cores * (self.now_ms - gone.begun_ms) as f64 / 1_000.0;
        }
        let ended = EndedRun {
            task: task.clone(),
            run,
            cause,
            checkpoint: Arc::from(""),
        };
        self.heartbeat(worker, vec![ended]);
    }

    fn heartbeat(&mut self, worker: &WorkerId, ended: Vec<EndedRun>) {
        let runs = self.running.get(worker);
        let running = runs.into_iter().flatten().map(|(task, it)| RunningTask {
            task: task.clone(),
            run: it.run,
            checkpoint: Arc::from(""),
            percent: ((self.now_ms - it.begun_ms) / 100).min(99) as u32,
        });
        let report = HeartbeatReport {
            sent_ms: 0,
            lease_until_ms: self.now_ms + LEASE_BOUND_MS,
            running: running.collect(),
            ended,
        };
        self.scheduler.heartbeat(worker, report, self.now_ms);
    }

    fn note_ends(&mut self) {
        for change in self.scheduler.take_changes() {
            if !change.state.is_final() {
                continue;
            }
            self.scheduler.remove_finished(&change.job);
            let Some(known) = self.jobs.get_mut(&change.job).filter(|known| !known.ended) else {
                continue;
            };
            known.ended = true;
            let took_ms = self.now_ms - known.first_ms;
            let (class, objective_ms, first_ms) = (known.class, known.objective_ms, known.first_ms);
            let worth = known.worth;
            let outcome = &mut self.report.classes[class];
            let window = ((first_ms - 1_000) / 2_000) as usize;
            if change.state == JobState::Succeeded && took_ms <= objective_ms {
                outcome.in_time += worth;
                self.window_worth[window].1 += worth;
            } else if change.state == JobState::Succeeded && took_ms <= 3 * objective_ms {
                outcome.late += worth;
                self.window_worth[window].1 += 0.2 * worth;
            } else {
                outcome.missed += worth;
            }
        }
    }
}
