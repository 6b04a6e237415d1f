//! A scheduler with scripted workers, and builders of its inputs.

#![allow(dead_code, reason = "each test program uses a part")]

pub mod admission_rule;
pub mod report;
pub mod simulation;
pub mod value;

use {
    ragwortreel_model::{JobId, JobState, Resources, WorkerId, Workspace},
    ragwortreel_workflow::{
        Action, AdviceCost, AdviceRequest, EndCause, EndedRun, HeartbeatReport, JobChange,
        JobOrigin, JobRequest, Progress, QueuePolicy, RunningTask, Scheduler, StartOrder,
        StartOutcome, Step, StopOrder, WorkerSpec,
    },
    std::{collections::BTreeSet, sync::Arc},
};

/// Declares tests by their name and body.
#[allow(unused_macros, reason = "not each test program uses it")]
macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $body:expr;)*) => {$(
        $(#[$doc])*
        #[test]
        fn $name() {
            let run: fn() = $body;
            run();
        }
    )*};
}
#[allow(unused_imports, reason = "not each test program uses it")]
pub(crate) use cases;

/// Attempts of a task in the test queues.
pub const ATTEMPTS: u32 = 2;
/// Lease bound of the test schedulers, in ms.
pub const LEASE_BOUND_MS: u64 = 11_000;

pub fn job_id(name: &str) -> JobId {
    JobId::new(name).expect("a valid name")
}

pub fn worker_id(name: &str) -> WorkerId {
    WorkerId::new(name).expect("a valid name")
}

pub fn workspace(name: &str) -> Workspace {
    Workspace::new(name).expect("a valid name")
}

/// Policy of a queue that does not use the advice service.
pub fn queue(priority: u32) -> QueuePolicy {
    QueuePolicy {
        name: format!("queue-{priority}").into(),
        service: Arc::from("service"),
        priority,
        attempts: ATTEMPTS,
        chain_factor: 2.0,
        slack_ms: 1_000,
        advice: None,
    }
}

pub fn advice_cost() -> AdviceCost {
    advice(10.0, 1.0)
}

/// Cost of advice whose tickets are valid for 1.5 s.
pub fn advice(call_ms: f64, worker_ms: f64) -> AdviceCost {
    AdviceCost {
        call_ms,
        worker_ms,
        ticket_ms: 1_500,
    }
}

/// Policy of a queue whose tasks start only on workers that the advice service allows.
pub fn advised_queue(priority: u32) -> QueuePolicy {
    QueuePolicy {
        advice: Some(advice_cost()),
        ..queue(priority)
    }
}

/// Gang step with an estimate of one second.
pub fn gang(tasks: u32, milli_cores: u64) -> Step {
    Step {
        gang: true,
        ..step(tasks, milli_cores)
    }
}

/// Step with an estimate of one second.
pub fn step(tasks: u32, milli_cores: u64) -> Step {
    Step {
        tasks,
        need: Resources::new(milli_cores, 1, 0),
        estimate_ms: 1_000,
        ..Step::default()
    }
}

pub fn job(name: &str, policy: QueuePolicy, steps: Vec<Step>) -> JobRequest {
    JobRequest {
        id: job_id(name),
        policy,
        workspace: None,
        payload: Arc::from("payload"),
        steps,
        schedule: None,
        accepted_ms: 0,
    }
}

pub fn worker(name: &str, milli_cores: u64) -> WorkerSpec {
    WorkerSpec {
        id: worker_id(name),
        service: Arc::from("service"),
        capacity: Resources::new(milli_cores, 1_000_000, 0),
        rack: None,
        labels: BTreeSet::new(),
        draining: false,
        leaves_in_ms: None,
        incarnation: None,
    }
}

/// Worker that leaves after at least this time.
pub fn leaving(name: &str, milli_cores: u64, leaves_in_ms: u64) -> WorkerSpec {
    WorkerSpec {
        draining: true,
        leaves_in_ms: Some(leaves_in_ms),
        ..worker(name, milli_cores)
    }
}

/// End of a started run.
pub fn ended(start: &StartOrder, cause: EndCause, checkpoint: &str) -> EndedRun {
    EndedRun {
        task: start.task.clone(),
        run: start.run,
        cause,
        checkpoint: Arc::from(checkpoint),
    }
}

/// Scheduler with a manual clock.
pub struct Cell {
    pub scheduler: Scheduler,
    pub now_ms: u64,
}

impl Cell {
    pub fn new(term: u32) -> Self {
        Self {
            scheduler: Scheduler::new(term, LEASE_BOUND_MS),
            now_ms: 1_000,
        }
    }

    /// Lists workers and has each answer a heartbeat without runs.
    pub fn list_reachable_workers(&mut self, specs: &[WorkerSpec]) {
        self.list_workers(specs);
        for spec in specs {
            self.report(&spec.id, Vec::new(), Vec::new());
        }
    }

    /// Lists workers that have not answered a heartbeat.
    pub fn list_workers(&mut self, specs: &[WorkerSpec]) {
        self.scheduler.update_workers(specs.to_vec(), self.now_ms);
    }

    pub fn accept(&mut self, job: JobRequest) {
        self.scheduler.accept(
            job,
            JobOrigin::Accepted,
            &Progress::default(),
            0,
            self.now_ms,
        );
    }

    pub fn recover(&mut self, job: JobRequest, progress: &Progress) {
        self.scheduler
            .accept(job, JobOrigin::Recovered, progress, 0, self.now_ms);
    }

    pub fn actions(&mut self) -> Vec<Action> {
        self.scheduler.decide(self.now_ms, self.now_ms)
    }

    pub fn decide(&mut self) -> (Vec<StartOrder>, Vec<StopOrder>) {
        let (mut starts, mut stops) = (Vec::new(), Vec::new());
        for action in self.actions() {
            match action {
                Action::Start(start) => starts.push(start),
                Action::Stop(stop) => stops.push(stop),
                Action::RequestAdvice(_) => {}
            }
        }
        (starts, stops)
    }

    pub fn starts(&mut self) -> Vec<StartOrder> {
        self.decide().0
    }

    /// Decides every 10 ms for `for_ms`; returns the first stops and their time from now.
    pub fn stops_within(&mut self, for_ms: u64) -> Option<(u64, Vec<StopOrder>)> {
        let begin_ms = self.now_ms;
        while self.now_ms < begin_ms + for_ms {
            let (_, stops) = self.decide();
            if !stops.is_empty() {
                return Some((self.now_ms - begin_ms, stops));
            }
            self.now_ms += 10;
        }
        None
    }

    pub fn advice_requests(&mut self) -> Vec<AdviceRequest> {
        let requests = self
            .actions()
            .into_iter()
            .filter_map(|action| match action {
                Action::RequestAdvice(request) => Some(request),
                _ => None,
            });
        requests.collect()
    }

    pub fn start_result(&mut self, start: &StartOrder, outcome: StartOutcome) {
        self.now_ms += 1;
        self.scheduler
            .start_result(&start.worker, &start.task, start.run, outcome, self.now_ms);
    }

    pub fn confirm_starts(&mut self, starts: &[StartOrder]) {
        for start in starts {
            self.start_result(start, StartOutcome::Started);
        }
    }

    /// Reports runs as ended, each in a report of its own.
    pub fn end_runs(&mut self, starts: &[StartOrder], cause: EndCause) {
        self.now_ms += 1;
        for start in starts {
            self.report(&start.worker, Vec::new(), vec![ended(start, cause, "")]);
        }
    }

    /// Sends the report of a worker. It counts as sent at time 0, so other runs are not missing.
    pub fn report(&mut self, worker: &WorkerId, running: Vec<RunningTask>, ended: Vec<EndedRun>) {
        let report = HeartbeatReport {
            lease_until_ms: self.now_ms + LEASE_BOUND_MS,
            running,
            ended,
            ..HeartbeatReport::default()
        };
        self.scheduler.heartbeat(worker, report, self.now_ms);
    }

    /// Sends a heartbeat report without runs.
    pub fn heartbeat_without_runs(&mut self, worker: &str) {
        self.heartbeat_with_runs(worker, &[]);
    }

    /// Sends a heartbeat report with the first runs of tasks.
    pub fn heartbeat_with_runs(&mut self, worker: &str, tasks: &[&str]) {
        self.now_ms += 10;
        let running = tasks.iter().map(|task| RunningTask {
            task: task.parse().expect("a valid task key"),
            run: 1,
            checkpoint: Arc::from(""),
            percent: 0,
        });
        let report = HeartbeatReport {
            sent_ms: self.now_ms,
            lease_until_ms: self.now_ms + LEASE_BOUND_MS,
            running: running.collect(),
            ..HeartbeatReport::default()
        };
        self.scheduler
            .heartbeat(&worker_id(worker), report, self.now_ms);
    }

    pub fn changes(&mut self) -> Vec<JobChange> {
        self.scheduler.take_changes()
    }

    /// Latest changed state of a job; clears the changes.
    pub fn state(&mut self, name: &str) -> Option<JobState> {
        let name = job_id(name);
        let changes = self.changes();
        let change = changes.into_iter().rfind(|change| change.job == name);
        change.map(|change| change.state)
    }
}
