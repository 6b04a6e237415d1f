//! A scheduler with scripted workers.

#![allow(dead_code, reason = "each test program uses a part")]

pub mod fleet;

use {
    ragwortreel_model::{JobId, JobState, Resources, WorkerId},
    ragwortreel_workflow::{
        Action, AdviceCost, AdviceRequest, EndCause, EndedRun, HeartbeatReport, JobChange,
        JobOrigin, JobRequest, Progress, QueuePolicy, RunningTask, Scheduler, StartOrder,
        StartOutcome, Step, StopOrder, WorkerSpec,
    },
    std::{collections::BTreeSet, sync::Arc},
};

/// Attempts of the test queue.
pub const ATTEMPTS: u32 = 2;
/// Lease bound of the test scheduler.
pub const LEASE_BOUND_MS: u64 = 11_000;

pub fn id(name: &str) -> JobId {
    JobId::new(name).expect("a valid name")
}

pub fn worker_id(name: &str) -> WorkerId {
    WorkerId::new(name).expect("a valid name")
}

/// A queue without advice.
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

/// Cost of advice in the test queues.
pub fn advice() -> AdviceCost {
    AdviceCost {
        call_ms: 10.0,
        worker_ms: 1.0,
        ticket_ms: 1_500,
    }
}

/// A queue whose tasks need advice.
pub fn advised_queue(priority: u32) -> QueuePolicy {
    QueuePolicy {
        advice: Some(advice()),
        ..queue(priority)
    }
}

/// Tasks of one second that must run at the same time.
pub fn gang(tasks: u32, milli_cores: u64) -> Step {
    Step {
        gang: true,
        ..step(tasks, milli_cores)
    }
}

/// Tasks of one second.
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
        id: id(name),
        policy,
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
    }
}

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

    /// Lists workers, all of which answer.
    pub fn list(&mut self, specs: &[WorkerSpec]) {
        self.list_only(specs);
        for spec in specs {
            let report = HeartbeatReport {
                sent_ms: 0,
                lease_until_ms: self.now_ms + LEASE_BOUND_MS,
                ..HeartbeatReport::default()
            };
            self.scheduler.heartbeat(&spec.id, report, self.now_ms);
        }
    }

    /// Lists workers of which none has answered yet.
    pub fn list_only(&mut self, specs: &[WorkerSpec]) {
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

    pub fn asks(&mut self) -> Vec<AdviceRequest> {
        let asks = self
            .actions()
            .into_iter()
            .filter_map(|action| match action {
                Action::RequestAdvice(request) => Some(request),
                _ => None,
            });
        asks.collect()
    }

    pub fn answer(&mut self, start: &StartOrder, outcome: StartOutcome) {
        self.now_ms += 1;
        self.scheduler
            .start_result(&start.worker, &start.task, start.run, outcome, self.now_ms);
    }

    pub fn confirm(&mut self, starts: &[StartOrder]) {
        for start in starts {
            self.answer(start, StartOutcome::Started);
        }
    }

    /// Has workers list runs as ended; other runs are listed as neither ended nor gone.
    pub fn end(&mut self, starts: &[StartOrder], cause: EndCause) {
        self.now_ms += 1;
        for start in starts {
            let ended = EndedRun {
                task: start.task.clone(),
                run: start.run,
                cause,
                checkpoint: Arc::from(""),
            };
            let report = HeartbeatReport {
                sent_ms: 0,
                lease_until_ms: self.now_ms + LEASE_BOUND_MS,
                running: Vec::new(),
                ended: vec![ended],
            };
            self.scheduler.heartbeat(&start.worker, report, self.now_ms);
        }
    }

    /// Has a worker list nothing.
    pub fn heartbeat_empty(&mut self, worker: &str) {
        self.heartbeat_with(worker, &[]);
    }

    /// Has a worker list first runs of tasks.
    pub fn heartbeat_with(&mut self, worker: &str, tasks: &[&str]) {
        self.now_ms += 10;
        let running = tasks.iter().map(|task| RunningTask {
            task: task.parse().expect("a task's name"),
            run: 1,
            checkpoint: Arc::from(""),
            percent: 0,
        });
        let report = HeartbeatReport {
            sent_ms: self.now_ms,
            lease_until_ms: self.now_ms + LEASE_BOUND_MS,
            running: running.collect(),
            ended: Vec::new(),
        };
        self.scheduler
            .heartbeat(&worker_id(worker), report, self.now_ms);
    }

    pub fn changes(&mut self) -> Vec<JobChange> {
        self.scheduler.take_changes()
    }

    /// State of a job that is to be stored.
    pub fn state(&mut self, name: &str) -> Option<JobState> {
        let name = id(name);
        let changes = self.changes();
        let change = changes.into_iter().rfind(|change| change.job == name);
        change.map(|change| change.state)
    }
}
