//! Usage and limits after random histories with lost orders, restarts, changed limits and takeovers.

use {
    crate::{
        Action, AdviceCost, AdviceRequest, EndCause, EndedRun, HeartbeatReport, JobOrigin,
        JobRequest, Progress, QueuePolicy, RunningTask, Scheduler, StartOrder, StartOutcome, Step,
        StopOrder, TaskKey, WorkerSpec, WorkspacePolicy,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    ragwortreel_model::{JobId, Resources, WorkerId, Workspace},
    std::{
        collections::{BTreeMap, BTreeSet},
        mem,
        sync::Arc,
    },
};

const WORKERS: usize = 4;
const LEASE_MS: u64 = 1_500;
const LEASE_BOUND_MS: u64 = 2_000;
/// Limit in cores that every job fits in.
const LARGE_LIMIT: u64 = 15;

/// Event of a history; indices select among what exists, modulo their number.
#[derive(Debug, Clone)]
enum Event {
    /// A job of `tasks` tasks with `cores` each.
    Submit {
        owner: usize,
        tasks: u32,
        cores: u64,
        gang: bool,
        advised: bool,
    },
    Decide,
    /// The first start and the first stop order reach their workers, with this fate of the start.
    Deliver(Fate),
    /// A run ends.
    End(usize, EndCause),
    Cancel(usize),
    /// A worker answers a heartbeat, or does not.
    Heartbeat(usize, bool),
    /// A worker starts again without runs.
    Restart(usize),
    /// The limit of a workspace changes to this number of cores.
    Limit(usize, u64),
    /// The advice service answers its first request with all workers.
    Advise,
    Wait(u64),
    /// Another leader takes over from the stored state.
    TakeOver,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Fate {
    Started,
    Refused,
    /// The task runs, but the answer is lost.
    Unanswered,
    /// There is no answer, and the order arrives later or never.
    Delayed,
}

fn event() -> impl Strategy<Value = Event> {
    let submit = (0..2_usize, 1..6_u32, 1..4_u64, any::<bool>(), any::<bool>());
    let submit = submit.prop_map(|(owner, tasks, cores, gang, advised)| Event::Submit {
        owner,
        tasks,
        cores,
        gang,
        advised,
    });
    let fate = prop_oneof![
        6 => Just(Fate::Started),
        1 => Just(Fate::Refused),
        1 => Just(Fate::Unanswered),
        1 => Just(Fate::Delayed),
    ];
    let cause = prop_oneof![
        Just(EndCause::Done),
        Just(EndCause::Failed),
        Just(EndCause::Interrupted)
    ];
    let heartbeat = (0..WORKERS, prop::bool::weighted(0.9));
    prop_oneof![
        4 => submit,
        8 => Just(Event::Decide),
        8 => fate.prop_map(Event::Deliver),
        4 => (0..8_usize, cause).prop_map(|(run, cause)| Event::End(run, cause)),
        2 => (0..20_usize).prop_map(Event::Cancel),
        6 => heartbeat.prop_map(|(worker, answers)| Event::Heartbeat(worker, answers)),
        1 => (0..WORKERS).prop_map(Event::Restart),
        2 => (0..2_usize, 0..12_u64).prop_map(|(owner, cores)| Event::Limit(owner, cores)),
        3 => Just(Event::Advise),
        3 => (1..700_u64).prop_map(Event::Wait),
        1 => Just(Event::TakeOver),
    ]
}

fn workspace(owner: usize) -> Workspace {
    Workspace::new(["a", "b"][owner]).expect("a valid name")
}

fn policy(cores: u64) -> WorkspacePolicy {
    WorkspacePolicy {
        weight: 1.0,
        limit: Resources::new(1_000 * cores, 0, 0),
    }
}

/// Worker with its real runs.
#[derive(Default)]
struct Worker {
    incarnation: u32,
    lease_until_ms: u64,
    active: Vec<StartOrder>,
    ended: Vec<EndedRun>,
    /// Runs that must not start any more.
    stopped: BTreeSet<(TaskKey, u32)>,
    /// Orders that may still arrive, with the end of the lease that they carry.
    delayed: Vec<(u64, StartOrder)>,
}

/// Scheduler with the store and the workers around it.
struct Model {
    scheduler: Scheduler,
    term: u32,
    now_ms: u64,
    /// Jobs that are not final, with their stored progress.
    stored: BTreeMap<JobId, (JobRequest, Progress)>,
    /// Final jobs with the stored runs that may still be active.
    finished: BTreeMap<JobId, Progress>,
    requests: BTreeMap<JobId, JobRequest>,
    limits: BTreeMap<Workspace, WorkspacePolicy>,
    workers: [Worker; WORKERS],
    /// Orders that are not sent yet, with their times.
    starts: Vec<(u64, StartOrder)>,
    stops: Vec<StopOrder>,
    advice: Vec<AdviceRequest>,
}

impl Model {
    fn new() -> Self {
        let mut model = Self {
            scheduler: Scheduler::new(1, LEASE_BOUND_MS),
            term: 1,
            now_ms: 10_000,
            stored: BTreeMap::new(),
            finished: BTreeMap::new(),
            requests: BTreeMap::new(),
            limits: (0..2).map(|it| (workspace(it), policy(6))).collect(),
            workers: Default::default(),
            starts: Vec::new(),
            stops: Vec::new(),
            advice: Vec::new(),
        };
        model.set_up_scheduler();
        model
    }

    fn set_up_scheduler(&mut self) {
        self.list_workers();
        for id in self.worker_ids() {
            (self.scheduler).extend_lease(&id, self.now_ms + LEASE_BOUND_MS);
        }
        self.scheduler.set_workspaces(Some(self.limits.clone()));
    }

    fn worker_ids(&self) -> Vec<WorkerId> {
        let names = (self.workers.iter().enumerate()).map(|(it, worker)| {
            WorkerId::new(&format!("w{it}-{}", worker.incarnation)).expect("a valid name")
        });
        names.collect()
    }

    fn worker_mut(&mut self, id: &WorkerId) -> Option<&mut Worker> {
        let index = self.worker_ids().iter().position(|it| it == id)?;
        self.workers.get_mut(index)
    }

    fn list_workers(&mut self) {
        let specs = self.worker_ids().into_iter().map(|id| WorkerSpec {
            id,
            service: Arc::from("service"),
            capacity: Resources::new(6_000, 0, 0),
            rack: None,
            labels: BTreeSet::new(),
            draining: false,
            leaves_in_ms: None,
            incarnation: None,
        });
        self.scheduler.update_workers(specs.collect(), self.now_ms);
    }

    fn apply(&mut self, event: &Event) {
        self.now_ms += 1;
        match *event {
            Event::Submit {
                owner,
                tasks,
                cores,
                gang,
                advised,
            } => self.submit(owner, (tasks, cores), gang, advised),
            Event::Decide => self.decide(),
            Event::Deliver(fate) => self.deliver(fate),
            Event::End(run, cause) => self.end(run, cause),
            Event::Cancel(job) => {
                let job = self.stored.keys().nth(job).cloned();
                if let Some(job) = job {
                    self.scheduler.cancel(&job, self.now_ms);
                }
            }
            Event::Heartbeat(worker, answers) => self.heartbeat(worker, answers),
            Event::Restart(worker) => {
                let id = self.worker_ids()[worker].clone();
                self.workers[worker] = Worker {
                    incarnation: self.workers[worker].incarnation + 1,
                    ..Worker::default()
                };
                self.scheduler.remove_worker(&id, self.now_ms);
                self.list_workers();
            }
            Event::Limit(owner, cores) => {
                self.limits.insert(workspace(owner), policy(cores));
                self.scheduler.set_workspaces(Some(self.limits.clone()));
            }
            Event::Advise => self.advise(),
            Event::Wait(ms) => self.now_ms += ms,
            Event::TakeOver => self.take_over(),
        }
        for worker in &mut self.workers {
            if worker.lease_until_ms < self.now_ms {
                worker.active.clear();
            }
        }
        self.store();
        self.check();
    }

    fn submit(&mut self, owner: usize, (tasks, cores): (u32, u64), gang: bool, advised: bool) {
        let advice = AdviceCost {
            call_ms: 10.0,
            worker_ms: 1.0,
            ticket_ms: 300,
        };
        let id = JobId::new(&format!("j{}", self.requests.len())).expect("a valid name");
        let request = JobRequest {
            id: id.clone(),
            policy: QueuePolicy {
                name: Arc::from("queue"),
                service: Arc::from("service"),
                priority: 0,
                attempts: 1_000,
                chain_factor: 1.0,
                slack_ms: 1_000,
                advice: advised.then_some(advice),
            },
            workspace: Some(workspace(owner)),
            payload: Arc::from(""),
            steps: vec![Step {
                tasks,
                need: Resources::new(1_000 * cores, 0, 0),
                estimate_ms: 1_000,
                gang,
                ..Step::default()
            }],
            schedule: None,
            accepted_ms: 0,
        };
        self.requests.insert(id.clone(), request.clone());
        (self.stored).insert(id, (request.clone(), Progress::default()));
        let progress = Progress::default();
        (self.scheduler).accept(request, JobOrigin::Accepted, &progress, 0, self.now_ms);
    }

    fn decide(&mut self) {
        let (mut started, mut starts) = (BTreeSet::new(), BTreeMap::new());
        for action in self.scheduler.decide(self.now_ms, 0) {
            match action {
                Action::Start(start) => {
                    *starts.entry(start.task.step.clone()).or_insert(0) += 1;
                    started.insert(self.owner(&start.task.step.job));
                    self.starts.push((self.now_ms, start));
                }
                Action::Stop(stop) => self.stops.push(stop),
                Action::RequestAdvice(req) => {
                    if req.has_reservation {
                        started.insert(self.owner(&req.step.job));
                    }
                    self.advice.push(req);
                }
            }
        }
        for (key, starts) in starts {
            let step = &self.requests[&key.job].steps[0];
            assert!(
                !step.gang || starts == step.tasks,
                "a part of a gang starts"
            );
        }
        for owner in started {
            let usage = self.scheduler.workspace_usage(&owner);
            let limit = self.limits[&owner].limit.milli_cores;
            let usage = usage.milli_cores;
            assert!(limit == 0 || usage <= limit, "{usage} of {limit} used");
        }
    }

    fn owner(&self, job: &JobId) -> Workspace {
        let owner = self.requests[job].workspace.clone();
        owner.expect("every job has a workspace")
    }

    fn deliver(&mut self, fate: Fate) {
        if !self.stops.is_empty() {
            let stop = self.stops.remove(0);
            self.stop(&stop);
        }
        if self.starts.is_empty() {
            return;
        }
        let (decided_ms, start) = self.starts.remove(0);
        if !(self.scheduler).has_run(&start.worker, &start.task, start.run) {
            return;
        }
        let (now_ms, lease_until_ms) = (self.now_ms, decided_ms + LEASE_MS);
        let mut outcome = StartOutcome::NotStarted;
        if let Some(worker) = self.worker_mut(&start.worker)
            && lease_until_ms > now_ms
            && !worker.stopped.contains(&(start.task.clone(), start.run))
        {
            match fate {
                Fate::Refused => {}
                Fate::Delayed => worker.delayed.push((lease_until_ms, start.clone())),
                Fate::Started | Fate::Unanswered => worker.start(lease_until_ms, start.clone()),
            }
            outcome = match fate {
                Fate::Started => StartOutcome::Started,
                Fate::Refused => StartOutcome::NotStarted,
                Fate::Unanswered | Fate::Delayed => StartOutcome::Unknown,
            };
        }
        (self.scheduler).start_result(&start.worker, &start.task, start.run, outcome, now_ms);
    }

    fn stop(&mut self, stop: &StopOrder) {
        if let Some(worker) = self.worker_mut(&stop.worker) {
            let is_meant = |it: &StartOrder| it.task == stop.task && it.run == stop.run;
            worker.stopped.insert((stop.task.clone(), stop.run));
            worker.delayed.retain(|(_, it)| !is_meant(it));
            if let Some(at) = worker.active.iter().position(is_meant) {
                let start = worker.active.remove(at);
                worker.end(start, EndCause::Interrupted);
            }
            (self.scheduler).stop_result(&stop.worker, &stop.task, stop.run, self.now_ms);
        }
    }

    /// Ends a run. A gang completes as a whole; a run of an incomplete gang is interrupted.
    fn end(&mut self, run: usize, mut cause: EndCause) {
        let all = || self.workers.iter().flat_map(|it| &it.active);
        let Some(ending) = all().nth(run % all().count().max(1)).cloned() else {
            return;
        };
        let step = &self.requests[&ending.task.step.job].steps[0];
        let is_member = |it: &StartOrder| it.task.step == ending.task.step && it.run == ending.run;
        let members = all().filter(|it| is_member(it)).count();
        if step.gang && cause == EndCause::Done && members < step.tasks as usize {
            cause = EndCause::Interrupted;
        }
        for worker in &mut self.workers {
            let ends = |it: &mut StartOrder| {
                it.task == ending.task || cause == EndCause::Done && step.gang && is_member(it)
            };
            let ended: Vec<StartOrder> = worker.active.extract_if(.., ends).collect();
            for start in ended {
                worker.end(start, cause);
            }
        }
    }

    fn heartbeat(&mut self, index: usize, answers: bool) {
        let (now_ms, id) = (self.now_ms, self.worker_ids()[index].clone());
        self.scheduler.extend_lease(&id, now_ms + LEASE_BOUND_MS);
        if !answers {
            return self.scheduler.mark_unreachable(&id);
        }
        let worker = &mut self.workers[index];
        for (lease_until_ms, start) in mem::take(&mut worker.delayed) {
            // The worker refuses orders of an earlier term once the leader has reached it.
            if lease_until_ms > now_ms && start.run > (self.term - 1) * 1_000 {
                worker.start(lease_until_ms, start);
            }
        }
        worker.lease_until_ms = now_ms + LEASE_MS;
        let running = worker.active.iter().map(|it| RunningTask {
            task: it.task.clone(),
            run: it.run,
            checkpoint: Arc::from(""),
            // Always progresses, so that no run counts as stalled.
            percent: u32::try_from(now_ms).unwrap_or(0),
        });
        let report = HeartbeatReport {
            sent_ms: now_ms,
            lease_until_ms: now_ms + LEASE_BOUND_MS,
            running: running.collect(),
            ended: mem::take(&mut worker.ended),
            has_more_ends: false,
            incarnation: None,
        };
        self.scheduler.heartbeat(&id, report, now_ms);
    }

    fn advise(&mut self) {
        if self.advice.is_empty() {
            return;
        }
        let req = self.advice.remove(0);
        let allowed = req.workers.iter().map(|it| (it.clone(), Arc::from("t")));
        let allowed = Some(allowed.collect());
        (self.scheduler).advice_received(&req.step, &req.workers, allowed, self.now_ms);
    }

    fn take_over(&mut self) {
        self.term += 1;
        self.scheduler = Scheduler::new(self.term, LEASE_BOUND_MS);
        (self.starts, self.stops, self.advice) = Default::default();
        self.set_up_scheduler();
        for (request, progress) in self.stored.values() {
            let origin = JobOrigin::Recovered;
            (self.scheduler).accept(request.clone(), origin, progress, 0, self.now_ms);
        }
        for (job, progress) in &self.finished {
            (self.scheduler).restore_finished(&self.requests[job], progress, self.now_ms);
        }
        for id in self.worker_ids() {
            (self.scheduler).extend_lease(&id, self.now_ms + LEASE_BOUND_MS);
        }
    }

    fn store(&mut self) {
        for change in self.scheduler.take_changes() {
            if change.state.is_final() {
                self.stored.remove(&change.job);
                self.scheduler.remove_finished(&change.job);
                self.finished.insert(change.job, change.progress);
            } else if let Some((_, progress)) = self.stored.get_mut(&change.job) {
                *progress = change.progress;
            }
        }
        let with_runs = self.scheduler.removed_jobs_with_runs();
        self.finished.retain(|job, _| with_runs.contains(job));
    }

    fn check(&self) {
        let scheduler = &self.scheduler;
        let mut counted: BTreeMap<Workspace, Resources> = BTreeMap::new();
        for run in scheduler.workers.values().flat_map(|it| it.runs.values()) {
            let workspace = run.workspace.clone().expect("every run has a workspace");
            *counted.entry(workspace).or_default() += run.need;
        }
        let mut waiting = 0;
        for (id, job) in &scheduler.jobs {
            for step in job.occurrences.values().flatten() {
                waiting += usize::from(step.rank.is_some());
                for (_, need) in &step.reservations {
                    *counted.entry(self.owner(id)).or_default() += *need;
                }
            }
        }
        assert_eq!(scheduler.workspaces.usage, counted);
        let workspaces = &scheduler.workspaces;
        let held = (workspaces.held_steps())
            .chain(workspaces.set_aside_steps())
            .count();
        assert_eq!(waiting, scheduler.waiting_steps.iter().count() + held);
        let mut active: BTreeMap<Workspace, Resources> = BTreeMap::new();
        for start in self.workers.iter().flat_map(|it| &it.active) {
            let request = &self.requests[&start.task.step.job];
            let owner = self.owner(&request.id);
            *active.entry(owner).or_default() += request.steps[0].need;
        }
        for (owner, active) in active {
            let usage = scheduler.workspace_usage(&owner);
            assert!(active.fits_in(&usage), "{active:?} active, {usage:?} known");
        }
    }

    /// Lets all work complete under a limit that each job fits in.
    fn complete_all(&mut self) {
        for owner in 0..2 {
            self.apply(&Event::Limit(owner, LARGE_LIMIT));
        }
        for _ in 0..400 {
            if self.stored.is_empty() {
                return;
            }
            (0..WORKERS).for_each(|it| self.apply(&Event::Heartbeat(it, true)));
            self.apply(&Event::Wait(20));
            self.apply(&Event::Decide);
            (0..4).for_each(|_| self.apply(&Event::Advise));
            self.apply(&Event::Decide);
            (0..20).for_each(|_| self.apply(&Event::Deliver(Fate::Started)));
            (0..4).for_each(|it| self.apply(&Event::End(it, EndCause::Done)));
        }
        panic!("{} jobs do not complete", self.stored.len());
    }
}

impl Worker {
    fn start(&mut self, lease_until_ms: u64, start: StartOrder) {
        self.lease_until_ms = self.lease_until_ms.max(lease_until_ms);
        self.active.push(start);
    }

    fn end(&mut self, start: StartOrder, cause: EndCause) {
        self.ended.push(EndedRun {
            task: start.task,
            run: start.run,
            cause,
            checkpoint: Arc::from(""),
        });
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against usage that differs from the sum of all runs and reservations, against starts beyond a limit,
    /// against runs that are active and not counted, and against steps that wait forever for room that is free.
    #[test]
    fn usage_and_limits_hold_in_random_histories(
        events in proptest::collection::vec(event(), 1..150),
    ) {
        let mut model = Model::new();
        for event in &events {
            model.apply(event);
        }
        model.complete_all();
    }
}
