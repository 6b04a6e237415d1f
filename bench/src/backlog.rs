//! Case `backlog`: 10,000 steps of a full service wait beside a service with free workers.
//!
//! Measures the duration of a decision, and the time until a job of the other service starts. The baseline of the decision
//! is one without the backlog.

use {
    crate::report::{Measure, Unit},
    ragwortreel_model::{JobId, Resources, WorkerId},
    ragwortreel_workflow::{
        Action, HeartbeatReport, JobOrigin, JobRequest, Progress, QueuePolicy, Scheduler,
        StartOutcome, Step, WorkerSpec,
    },
    std::{collections::BTreeSet, sync::Arc, time::Instant},
};

/// Workers at the design size, a tenth of which belong to the other service.
const WORKERS: usize = 1_200;
/// Waiting steps of the full service.
const BACKLOG: usize = 10_000;
/// Decisions that are measured.
const DECISIONS: u64 = 400;
/// Simulated time between two decisions, in ms.
const DECISION_INTERVAL_MS: u64 = 10;
/// Time after an order by which its lease has expired, in ms.
const LEASE_BOUND_MS: u64 = 11_000;

struct Cell {
    scheduler: Scheduler,
    now_ms: u64,
}

impl Cell {
    /// Cell whose first service has no room.
    fn full() -> Result<Self, String> {
        let mut cell = Self {
            scheduler: Scheduler::new(1, LEASE_BOUND_MS),
            now_ms: 1_000,
        };
        let specs: Result<Vec<WorkerSpec>, String> = (0..WORKERS).map(worker).collect();
        let specs = specs?;
        let ids: Vec<WorkerId> = specs.iter().map(|it| it.id.clone()).collect();
        cell.scheduler.update_workers(specs, cell.now_ms);
        for id in &ids {
            let report = HeartbeatReport {
                lease_until_ms: cell.now_ms + LEASE_BOUND_MS,
                ..HeartbeatReport::default()
            };
            cell.scheduler.heartbeat(id, report, cell.now_ms);
        }
        for number in 0..WORKERS / 10 * 9 {
            cell.accept(&format!("busy-{number}"), "full", 8, 4_000)?;
        }
        while cell.decide() > 0 {
            cell.now_ms += DECISION_INTERVAL_MS;
        }
        Ok(cell)
    }

    fn accept(
        &mut self,
        name: &str,
        service: &str,
        tasks: u32,
        milli_cores: u64,
    ) -> Result<(), String> {
        let policy = QueuePolicy {
            name: Arc::from(service),
            service: Arc::from(service),
            priority: u32::from(service != "full"),
            attempts: 3,
            chain_factor: 4.0,
            slack_ms: 3_000,
            advice: None,
        };
        let step = Step {
            tasks,
            need: Resources::new(milli_cores, 1, 0),
            estimate_ms: 60_000,
            ..Step::default()
        };
        let request = JobRequest {
            id: JobId::new(name).map_err(|err| err.to_string())?,
            policy,
            workspace: None,
            payload: Arc::from(""),
            steps: vec![step],
            schedule: None,
            accepted_ms: 0,
        };
        let progress = Progress::default();
        (self.scheduler).accept(request, JobOrigin::Accepted, &progress, 0, self.now_ms);
        Ok(())
    }

    /// Makes a decision and confirms its starts; returns their number.
    fn decide(&mut self) -> usize {
        let actions = self.scheduler.decide(self.now_ms, self.now_ms);
        let mut started = 0;
        for action in actions {
            if let Action::Start(start) = action {
                let outcome = StartOutcome::Started;
                (self.scheduler).start_result(
                    &start.worker,
                    &start.task,
                    start.run,
                    outcome,
                    self.now_ms,
                );
                started += 1;
            }
        }
        self.scheduler.take_changes();
        started
    }

    /// Durations of decisions in microseconds, in ascending order.
    fn measure(&mut self) -> Vec<f64> {
        let mut durations = Vec::new();
        for _ in 0..DECISIONS {
            let begin = Instant::now();
            self.decide();
            durations.push(begin.elapsed().as_secs_f64() * 1e6);
            self.now_ms += DECISION_INTERVAL_MS;
        }
        durations.sort_by(f64::total_cmp);
        durations
    }
}

fn worker(number: usize) -> Result<WorkerSpec, String> {
    let service = if number.is_multiple_of(10) {
        "free"
    } else {
        "full"
    };
    Ok(WorkerSpec {
        id: WorkerId::new(&format!("w{number}")).map_err(|err| err.to_string())?,
        service: Arc::from(service),
        capacity: Resources::new(32_000, 131_072, 0),
        rack: None,
        labels: BTreeSet::new(),
        draining: false,
        leaves_in_ms: None,
        incarnation: None,
    })
}

fn percentile(sorted: &[f64], percent: usize) -> f64 {
    let index = sorted.len() * percent / 100;
    sorted.get(index).copied().unwrap_or_default()
}

/// Runs the case.
///
/// # Errors
///
/// Returns an error when a name is not valid.
pub fn run() -> Result<Vec<Measure>, String> {
    let mut cell = Cell::full()?;
    let alone = cell.measure();
    for number in 0..BACKLOG {
        cell.accept(&format!("waiting-{number}"), "full", 1, 4_000)?;
    }
    let beside = cell.measure();
    cell.accept("small", "free", 2, 500)?;
    let begin_ms = cell.now_ms;
    let mut started = 0;
    while started == 0 && cell.now_ms < begin_ms + 60_000 {
        started = cell.decide();
        cell.now_ms += DECISION_INTERVAL_MS;
    }
    #[expect(clippy::cast_precision_loss, reason = "at most a minute")]
    let wait_ms = (cell.now_ms - begin_ms - DECISION_INTERVAL_MS) as f64;
    let us = Unit::Microseconds;
    Ok(vec![
        Measure::info("decision_p50_alone", percentile(&alone, 50), us),
        Measure::info("decision_p50", percentile(&beside, 50), us),
        Measure::at_most("decision_p99", percentile(&beside, 99), us, 1_000.0),
        Measure::at_most(
            "wait_of_a_free_service",
            wait_ms,
            Unit::Milliseconds,
            1_000.0,
        ),
    ])
}
