//! Gangs beside a stream of small work, in simulated time.

use {
    crate::{
        cell::{Cell, name},
        report::{Measure, Unit},
    },
    ragwortreel_model::{Assignment, JobId, JobKind, Pool, Resources},
    ragwortreel_placement::{Config, Decision, PoolScheduler, Scheduler, naive::NaiveScheduler},
    std::collections::{BTreeMap, BTreeSet},
};

/// Workers of a pool at the design size.
const WORKERS: usize = 150;
/// Simulated time between two steps, in ms.
const STEP_MS: u64 = 1_000;
/// Steps of the run: an hour. Gangs are submitted in the first two thirds, and the rest is time to start them.
const STEPS: u64 = 3_600;
/// Steps of the run with the naive version, which takes a hundred times as long for each.
const NAIVE_STEPS: u64 = 1_200;
/// Steps between two gangs.
const GANG_EVERY: u64 = 240;
/// Small tasks that are kept waiting, so that there is always work for free room.
const BACKLOG: u64 = 400;
/// Run times differ from the declaration by up to this many percent.
const ERROR_PERCENT: u64 = 30;

/// What a run of the stream showed.
#[derive(Default)]
struct Outcome {
    submitted: u32,
    started: u32,
    waits_s: Vec<u64>,
    /// Sum of the shares in use, and number of steps, while a gang waited.
    gathering: (f64, f64),
}

/// A pool whose tasks end in simulated time.
struct Stream<S> {
    cell: Cell<S>,
    ends: BTreeMap<u64, Vec<Assignment>>,
    gangs: BTreeMap<JobId, u64>,
    outcome: Outcome,
}

impl<S: PoolScheduler> Stream<S> {
    fn new(sched: S) -> Self {
        Self {
            cell: Cell::empty(sched, WORKERS, 40),
            ends: BTreeMap::new(),
            gangs: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    fn submit_small(&mut self) {
        let rng = &mut self.cell.rng;
        let cores = *rng.choice(&[1, 1, 2, 2, 4]).unwrap_or(&1);
        let memory = cores * rng.u64(1..5);
        let workspace = rng.usize(0..40);
        let need = Resources::new(cores * 1_000, memory * 1_024, 0);
        self.cell.submit_sized(workspace, JobKind::Batch, 1, need);
    }

    fn submit_gang(&mut self, step: u64) {
        let rng = &mut self.cell.rng;
        let cores = *rng.choice(&[4, 8, 16, 32]).unwrap_or(&4);
        // From a single worker up to half of the pool.
        let room = u32::try_from(WORKERS as u64 * 16 / cores).unwrap_or(1);
        let tasks = rng.u32(2..=room);
        let workspace = rng.usize(0..40);
        let need = Resources::new(cores * 1_000, cores * 2 * 1_024, 0);
        let spec = self
            .cell
            .submit_sized(workspace, JobKind::Gang, tasks, need);
        self.gangs.insert(spec.id, step);
        self.outcome.submitted += 1;
    }

    fn begin(&mut self, runs: &[Assignment]) {
        for run in runs {
            let spec = &self.cell.specs[&run.task.job].1;
            let declared_ms = spec.run_time_ms.unwrap_or(STEP_MS);
            let percent = self.cell.rng.u64(100 - ERROR_PERCENT..=100 + ERROR_PERCENT);
            let end_ms = self.cell.now_ms + declared_ms * percent / 100;
            self.ends.entry(end_ms).or_default().push(run.clone());
            let now_ms = self.cell.now_ms;
            self.cell.sched.record_start(&run.task, run.attempt, now_ms);
        }
    }

    fn end_due(&mut self) {
        let later = self.ends.split_off(&(self.cell.now_ms + 1));
        let due = std::mem::replace(&mut self.ends, later);
        let due: BTreeSet<_> = due
            .into_values()
            .flatten()
            .map(|run| (run.task, run.attempt))
            .collect();
        let mut at = 0;
        while at < self.cell.running.len() {
            let run = &self.cell.running[at];
            if due.contains(&(run.task.clone(), run.attempt)) {
                self.cell.end(at);
            } else {
                at += 1;
            }
        }
    }

    #[allow(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
    fn step(&mut self, step: u64, last_submission: u64) {
        self.cell.now_ms += STEP_MS;
        self.end_due();
        // Small work keeps waiting, so an idle worker is one that the scheduler leaves idle.
        while self.cell.sched.stats().queued < BACKLOG {
            self.submit_small();
        }
        if step.is_multiple_of(GANG_EVERY) && step <= last_submission {
            self.submit_gang(step);
        }
        for decision in self.cell.decide(10_000) {
            match decision {
                Decision::Start(run) => self.begin(&[run]),
                Decision::StartGang(runs) => {
                    self.begin(&runs);
                    if let Some(submitted) = self.gangs.remove(&runs[0].task.job) {
                        self.outcome.started += 1;
                        self.outcome.waits_s.push(step - submitted);
                    }
                }
                Decision::Checkpoint(_) => {}
            }
        }
        if !self.gangs.is_empty() {
            let stats = self.cell.sched.stats();
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

    fn utilisation(&self) -> f64 {
        self.gathering.0 / self.gathering.1.max(1.0)
    }

    #[allow(clippy::cast_precision_loss, reason = "waits are far below 2^52 s")]
    fn longest_wait_s(&self) -> f64 {
        self.waits_s.iter().max().copied().unwrap_or(0) as f64
    }
}

/// Runs the case.
pub fn run() -> Vec<Measure> {
    let pool = || name(Pool::new, "p");
    let gathered = Stream::new(Scheduler::new(pool(), Config::default())).run(STEPS);
    let naive = Stream::new(NaiveScheduler::new(pool(), Config::default()));
    let naive = naive.run(NAIVE_STEPS);
    let started = gathered.started_share();
    let started = Measure::at_least("gangs_started", started, Unit::Share, 1.0);
    let utilisation = gathered.utilisation();
    let utilisation =
        Measure::at_least("utilisation_while_gathering", utilisation, Unit::Share, 0.9);
    let wait = Measure::info("longest_wait", gathered.longest_wait_s(), Unit::Seconds);
    vec![
        started.with_baseline(naive.started_share()),
        utilisation.with_baseline(naive.utilisation()),
        wait,
        Measure::info("gangs_submitted", gathered.submitted.into(), Unit::Count),
    ]
}
