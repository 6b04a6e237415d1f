//! Case `gang`: gangs, whose tasks must start together, beside a stream of small batch jobs, in simulated time.
//!
//! Measures whether all gangs start, and how much of the pool is in use while the scheduler gathers room for one. The
//! baseline is the naive scheduler.

use {
    crate::{
        report::{Measure, Unit},
        simulated_pool::{SimulatedPool, valid_name},
    },
    ragwortreel_model::{Assignment, JobId, JobKind, Pool, Resources},
    ragwortreel_placement::{Config, Decision, PoolScheduler, Scheduler, naive::NaiveScheduler},
    std::collections::{BTreeMap, BTreeSet},
};

/// Workers of one pool at the design size.
const WORKERS: usize = 150;
/// Simulated time between two steps, in ms.
const STEP_MS: u64 = 1_000;
/// Steps of the run, one hour in total. Gangs are submitted in the first two thirds; the rest is time to start them.
const STEPS: u64 = 3_600;
/// Steps of the run with the naive scheduler, which takes a hundred times as long for each.
const NAIVE_STEPS: u64 = 1_200;
/// Steps between the submissions of two gangs.
const GANG_INTERVAL: u64 = 240;
/// Small jobs kept in the queue, so that free room can always be used.
const BACKLOG: u64 = 400;
/// Largest difference between the actual and the declared run time, in percent.
const RUN_TIME_ERROR_PERCENT: u64 = 30;

/// Results of a run.
#[derive(Default)]
struct Outcome {
    submitted: u32,
    started: u32,
    /// Time from submission to start of each started gang, in s.
    waits_s: Vec<u64>,
    /// Sum of the processor shares in use, and number of steps, over the steps in which a gang was waiting.
    gathering: (f64, f64),
}

/// Pool under a stream of jobs whose tasks end in simulated time.
struct Simulation<S> {
    pool: SimulatedPool<S>,
    /// Running tasks by the simulated time of their end, in ms.
    ends: BTreeMap<u64, Vec<Assignment>>,
    /// Step of submission of each gang that has not started.
    gangs: BTreeMap<JobId, u64>,
    outcome: Outcome,
}

impl<S: PoolScheduler> Simulation<S> {
    fn new(sched: S) -> Self {
        Self {
            pool: SimulatedPool::empty(sched, WORKERS, 40),
            ends: BTreeMap::new(),
            gangs: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    fn submit_small(&mut self) {
        let rng = &mut self.pool.rng;
        let cores = *rng.choice(&[1, 1, 2, 2, 4]).unwrap_or(&1);
        let memory = cores * rng.u64(1..5);
        let workspace = rng.usize(0..40);
        let need = Resources::new(cores * 1_000, memory * 1_024, 0);
        self.pool.submit_sized(workspace, JobKind::Batch, 1, need);
    }

    fn submit_gang(&mut self, step: u64) {
        let rng = &mut self.pool.rng;
        let cores = *rng.choice(&[4, 8, 16, 32]).unwrap_or(&4);
        // The size of a gang ranges from tasks that fit on one worker to half of the pool.
        let room = u32::try_from(WORKERS as u64 * 16 / cores).unwrap_or(1);
        let tasks = rng.u32(2..=room);
        let workspace = rng.usize(0..40);
        let need = Resources::new(cores * 1_000, cores * 2 * 1_024, 0);
        let spec = self
            .pool
            .submit_sized(workspace, JobKind::Gang, tasks, need);
        self.gangs.insert(spec.id, step);
        self.outcome.submitted += 1;
    }

    /// Schedules the ends of tasks that start now.
    fn start_tasks(&mut self, runs: &[Assignment]) {
        for run in runs {
            let spec = &self.pool.specs[&run.task.job].1;
            let declared_ms = spec.run_time_ms.unwrap_or(STEP_MS);
            let percent = self
                .pool
                .rng
                .u64(100 - RUN_TIME_ERROR_PERCENT..=100 + RUN_TIME_ERROR_PERCENT);
            let end_ms = self.pool.now_ms + declared_ms * percent / 100;
            self.ends.entry(end_ms).or_default().push(run.clone());
            let now_ms = self.pool.now_ms;
            self.pool.sched.record_start(&run.task, run.attempt, now_ms);
        }
    }

    /// Ends the tasks whose end is due.
    fn end_due_tasks(&mut self) {
        let later = self.ends.split_off(&(self.pool.now_ms + 1));
        let due = std::mem::replace(&mut self.ends, later);
        let due: BTreeSet<_> = due
            .into_values()
            .flatten()
            .map(|run| (run.task, run.attempt))
            .collect();
        let mut at = 0;
        while at < self.pool.running.len() {
            let run = &self.pool.running[at];
            if due.contains(&(run.task.clone(), run.attempt)) {
                self.pool.end(at);
            } else {
                at += 1;
            }
        }
    }

    #[allow(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
    /// Advances the simulation by one step; gangs are submitted up to step `last_submission`.
    fn step(&mut self, step: u64, last_submission: u64) {
        self.pool.now_ms += STEP_MS;
        self.end_due_tasks();
        // With small jobs always queued, free room is room that the scheduler keeps free.
        while self.pool.sched.stats().queued < BACKLOG {
            self.submit_small();
        }
        if step.is_multiple_of(GANG_INTERVAL) && step <= last_submission {
            self.submit_gang(step);
        }
        for decision in self.pool.decide(10_000) {
            match decision {
                Decision::Start(run) => self.start_tasks(&[run]),
                Decision::StartGang(runs) => {
                    self.start_tasks(&runs);
                    if let Some(submitted) = self.gangs.remove(&runs[0].task.job) {
                        self.outcome.started += 1;
                        self.outcome.waits_s.push(step - submitted);
                    }
                }
                Decision::Checkpoint(_) => {}
            }
        }
        if !self.gangs.is_empty() {
            let stats = self.pool.sched.stats();
            let used = stats.reserved.milli_cores as f64 / stats.capacity.milli_cores as f64;
            self.outcome.gathering.0 += used;
            self.outcome.gathering.1 += 1.0;
        }
    }

    fn run(mut self, steps: u64) -> Outcome {
        for step in 0..steps {
            self.step(step, steps * 2 / 3);
        }
        self.outcome
    }
}

impl Outcome {
    fn started_share(&self) -> f64 {
        f64::from(self.started) / f64::from(self.submitted.max(1))
    }

    /// Mean share of processors in use while a gang was waiting.
    fn utilisation(&self) -> f64 {
        self.gathering.0 / self.gathering.1.max(1.0)
    }

    #[allow(clippy::cast_precision_loss, reason = "waits are far below 2^52 s")]
    fn longest_wait_s(&self) -> f64 {
        self.waits_s.iter().max().copied().unwrap_or(0) as f64
    }
}

/// Runs the case with the indexed and the naive scheduler.
pub fn run() -> Vec<Measure> {
    let pool = || valid_name(Pool::new, "p");
    let full = Simulation::new(Scheduler::new(pool(), Config::default())).run(STEPS);
    let naive = Simulation::new(NaiveScheduler::new(pool(), Config::default()));
    let naive = naive.run(NAIVE_STEPS);
    let started = full.started_share();
    let started = Measure::at_least("gangs_started", started, Unit::Share, 1.0);
    let utilisation = full.utilisation();
    let utilisation =
        Measure::at_least("utilisation_while_gathering", utilisation, Unit::Share, 0.9);
    let wait = Measure::info("longest_wait", full.longest_wait_s(), Unit::Seconds);
    vec![
        started.with_baseline(naive.started_share()),
        utilisation.with_baseline(naive.utilisation()),
        wait,
        Measure::info("gangs_submitted", full.submitted.into(), Unit::Count),
    ]
}
