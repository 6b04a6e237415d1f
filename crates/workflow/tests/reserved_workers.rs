//! Room that waiting gangs keep on the workers that they may use, and jobs that start on others.

mod support;

use {
    ragwortreel_model::WorkerId,
    ragwortreel_workflow::{Action, EndCause, JobRequest, StartOrder, Step, WorkerSpec},
    std::{collections::BTreeMap, sync::Arc},
    support::{Cell, advised_queue, cases, gang, job, job_id, queue, step, worker, worker_id},
};

/// Interval between two decisions, in ms.
const DECISION_INTERVAL_MS: u64 = 50;
/// Duration of a call for advice, in ms.
const ADVICE_MS: u64 = 100;
/// Longest time from the acceptance of a job with room to its start, in ms: calls for advice on all workers.
const MAX_WAIT_MS: u64 = 1_000;
/// Number of workers; the first ones are those of the gangs.
const WORKERS: usize = 20;
const GANG_WORKERS: usize = 6;
/// Label of the workers of the gangs.
const LABEL: &str = "gangs";

/// Cell whose runs end after their estimate, and whose advice service allows each job some of the workers.
struct Played {
    cell: Cell,
    /// Times of the answers of the advice service, in ms.
    answers: Vec<(u64, Action)>,
    running: Vec<(u64, StartOrder)>,
    /// Estimated duration of each job's tasks, in ms.
    estimates: BTreeMap<String, u64>,
    /// Time of the first start of each job, in ms.
    started_ms: BTreeMap<String, u64>,
    /// Numbers of the workers that a job may use, by the first letter of its name.
    allowed: fn(char, usize) -> bool,
}

impl Played {
    fn new(allowed: fn(char, usize) -> bool) -> Self {
        let mut cell = Cell::new(1);
        cell.scheduler.set_spare_instances(8);
        let workers: Vec<WorkerSpec> = (0..WORKERS)
            .map(|number| {
                let mut spec = worker(&format!("w{number:02}"), 16_000);
                if number < GANG_WORKERS {
                    spec.labels.insert(Arc::from(LABEL));
                }
                spec
            })
            .collect();
        cell.list_reachable_workers(&workers);
        Self {
            cell,
            answers: Vec::new(),
            running: Vec::new(),
            estimates: BTreeMap::new(),
            started_ms: BTreeMap::new(),
            allowed,
        }
    }

    fn accept(&mut self, job: JobRequest) {
        self.estimates
            .insert(job.id.to_string(), job.steps[0].estimate_ms);
        self.cell.accept(job);
    }

    fn answer(&mut self, action: &Action) {
        let Action::RequestAdvice(request) = action else {
            return;
        };
        let kind = request.step.job.as_str().chars().next().expect("a name");
        let is_allowed =
            |id: &&WorkerId| (self.allowed)(kind, id.as_str()[1..].parse().expect("a number"));
        let allowed = request.workers.iter().filter(is_allowed);
        let allowed = allowed
            .map(|id| (id.clone(), Arc::from("ticket")))
            .collect();
        let now_ms = self.cell.now_ms;
        (self.cell.scheduler).advice_received(
            &request.step,
            &request.workers,
            Some(allowed),
            now_ms,
        );
    }

    fn run_for(&mut self, for_ms: u64) {
        let until_ms = self.cell.now_ms + for_ms;
        while self.cell.now_ms < until_ms {
            let now_ms = self.cell.now_ms;
            let due: Vec<_> = self
                .answers
                .extract_if(.., |(at_ms, _)| *at_ms <= now_ms)
                .collect();
            for (_, action) in due {
                self.answer(&action);
            }
            let ended: Vec<_> = self
                .running
                .extract_if(.., |(end_ms, _)| *end_ms <= now_ms)
                .collect();
            for (_, start) in ended {
                self.cell.end_runs(&[start], EndCause::Done);
            }
            for action in self.cell.actions() {
                match action {
                    Action::Start(start) => {
                        self.cell.confirm_starts(std::slice::from_ref(&start));
                        let name = start.task.step.job.to_string();
                        let end_ms = now_ms.saturating_add(self.estimates[&name]);
                        self.started_ms.entry(name).or_insert(now_ms);
                        self.running.push((end_ms, start));
                    }
                    Action::RequestAdvice(_) => self.answers.push((now_ms + ADVICE_MS, action)),
                    Action::Stop(_) => {}
                }
            }
            self.cell.now_ms = now_ms + DECISION_INTERVAL_MS;
        }
    }

    /// Accepts a job, and checks that it starts soon.
    fn check_starts(&mut self, job: JobRequest) {
        let (name, now_ms) = (job.id.to_string(), self.cell.now_ms);
        self.accept(job);
        self.run_for(MAX_WAIT_MS);
        let started_ms = self.started_ms.get(&name);
        assert!(
            started_ms.is_some(),
            "{name} waits; accepted at {now_ms}, started: {:?}",
            self.started_ms
        );
    }

    fn start_ms(&self, name: &str) -> u64 {
        let started_ms = self.started_ms.get(name);
        *started_ms.unwrap_or_else(|| panic!("{name} has not started"))
    }
}

/// Gangs `g...` may use the first 6 workers, other jobs the 9 that follow.
fn apart(kind: char, worker: usize) -> bool {
    if kind == 'g' {
        worker < GANG_WORKERS
    } else {
        (6..15).contains(&worker)
    }
}

/// As `apart`, but other jobs may also use three of the gangs' workers.
fn overlapping(kind: char, worker: usize) -> bool {
    if kind == 'g' {
        worker < GANG_WORKERS
    } else {
        (3..15).contains(&worker)
    }
}

/// Gang as wide as the 6 workers.
fn wide_gang() -> Step {
    Step {
        estimate_ms: 20_000,
        ..gang(12, 7_600)
    }
}

fn lasting_22_s(step: Step) -> Step {
    Step {
        estimate_ms: 22_000,
        ..step
    }
}

/// A second apart, six gangs of which one runs and the others wait.
fn accept_gangs(played: &mut Played, step: &Step, advised: bool) {
    for number in 0..6 {
        let policy = if advised { advised_queue(1) } else { queue(1) };
        played.accept(job(&format!("gang-{number}"), policy, vec![step.clone()]));
        played.run_for(1_000);
    }
    assert_eq!(played.started_ms.len(), 1, "{:?}", played.started_ms);
}

cases! {
    /// Guards against gangs that wait for the few workers that the advice service allows them, and keep the room of all others
    /// (review/13).
    gangs_keep_no_room_on_workers_that_they_may_not_use: || {
        let mut played = Played::new(apart);
        accept_gangs(&mut played, &wide_gang(), true);
        played.check_starts(job("later", advised_queue(2), vec![lasting_22_s(step(10, 1_000))]));
    };

    /// Guards against the same for a job that needs no advice, one without an end, one that is a gang, and tasks that are large
    /// in memory.
    jobs_of_each_kind_start_beside_waiting_gangs: || {
        let endless = Step { endless: true, ..step(10, 1_000) };
        let memory = Step { need: ragwortreel_model::Resources::new(100, 600_000, 0), ..step(5, 100) };
        for (policy, kind) in [
            (queue(2), lasting_22_s(step(10, 1_000))),
            (advised_queue(2), endless),
            (advised_queue(2), lasting_22_s(gang(8, 7_600))),
            (advised_queue(2), lasting_22_s(memory)),
        ] {
            let mut played = Played::new(apart);
            accept_gangs(&mut played, &wide_gang(), true);
            played.check_starts(job("later", policy, vec![kind]));
        }
    };

    /// Guards against the same for gangs that need a label.
    gangs_with_a_label_keep_no_room_on_other_workers: || {
        let mut played = Played::new(apart);
        let labelled = Step { needed_label: Some(Arc::from(LABEL)), ..wide_gang() };
        accept_gangs(&mut played, &labelled, false);
        played.check_starts(job("later", queue(2), vec![lasting_22_s(step(10, 1_000))]));
    };

    /// Guards against the same for narrow gangs, of which more wait than their workers can run in minutes.
    narrow_gangs_keep_no_room_on_workers_that_they_may_not_use: || {
        let mut played = Played::new(apart);
        accept_gangs(&mut played, &wide_gang(), true);
        for number in 0..40 {
            let narrow = Step { estimate_ms: 20_000, ..gang(3, 7_600) };
            played.accept(job(&format!("gang-narrow-{number}"), advised_queue(1), vec![narrow]));
        }
        played.run_for(2_000);
        played.check_starts(job("later", advised_queue(2), vec![lasting_22_s(step(10, 1_000))]));
    };

    /// Guards against a job that waits for as long as gangs keep coming.
    flow_of_gangs_delays_no_job_on_other_workers: || {
        let mut played = Played::new(apart);
        for number in 0..30 {
            played.accept(job(&format!("gang-{number:02}"), advised_queue(1), vec![wide_gang()]));
            played.run_for(2_000);
            played.check_starts(job(&format!("later-{number}"), advised_queue(2), vec![step(10, 1_000)]));
        }
    };

    /// Guards against later jobs that take the workers of a waiting gang although others are free: each would delay it by its
    /// own duration. The gang starts when its workers become free.
    later_jobs_leave_the_workers_of_a_gang: || {
        let mut played = Played::new(overlapping);
        let narrow = Step { estimate_ms: 20_000, ..gang(6, 7_600) };
        played.accept(job("gang-first", advised_queue(1), vec![narrow]));
        played.run_for(1_000);
        let end_ms = played.start_ms("gang-first") + 20_000;
        // Half of its room is free.
        played.accept(job("gang-second", advised_queue(1), vec![wide_gang()]));
        played.run_for(2_000);
        for number in 0..12 {
            played.check_starts(job(&format!("later-{number}"), advised_queue(2), vec![lasting_22_s(step(4, 2_000))]));
        }
        played.run_for(10_000);
        let second_ms = played.start_ms("gang-second");
        assert!(second_ms <= end_ms + MAX_WAIT_MS, "{second_ms}, {end_ms}");
    };

    /// Guards against a gang that is starved because what it waits for is used on another worker than counted: a steady stream
    /// of small jobs fills all other workers.
    stream_of_small_jobs_does_not_delay_a_gang: || {
        let mut played = Played::new(|_, _| true);
        let first = Step { estimate_ms: 10_000, ..gang(20, 8_000) };
        played.accept(job("gang-first", queue(1), vec![first]));
        played.run_for(500);
        let wide = Step { estimate_ms: 10_000, ..gang(36, 8_000) };
        played.accept(job("gang-second", queue(1), vec![wide]));
        let end_ms = played.start_ms("gang-first") + 10_000;
        for number in 0..40 {
            let small = Step { estimate_ms: 4_000, ..step(8, 1_000) };
            played.accept(job(&format!("small-{number}"), queue(2), vec![small]));
            played.run_for(400);
        }
        let second_ms = played.start_ms("gang-second");
        assert!(second_ms <= end_ms + MAX_WAIT_MS, "{second_ms}, {end_ms}");
        assert!(played.started_ms.len() > 20, "small jobs use the room meanwhile");
    };

    /// Guards against room that is kept for a gang that was cancelled.
    cancelled_gang_keeps_no_room: || {
        let mut played = Played::new(|_, _| true);
        let first = Step { estimate_ms: 60_000, ..gang(1, 16_000) };
        played.accept(job("gang-first", queue(1), vec![first]));
        played.run_for(500);
        let all = Step { estimate_ms: 60_000, ..gang(20, 16_000) };
        played.accept(job("gang-second", queue(1), vec![all]));
        played.accept(job("later", queue(2), vec![Step { estimate_ms: 90_000, ..step(19, 16_000) }]));
        played.run_for(1_000);
        assert!(!played.started_ms.contains_key("later"));
        played.cell.scheduler.cancel(&job_id("gang-second"), played.cell.now_ms);
        played.run_for(MAX_WAIT_MS);
        assert!(played.started_ms.contains_key("later"));
    };

    /// Guards against room that is kept on a worker that no longer answers, in place of one that does.
    room_moves_off_a_silent_worker: || {
        let mut played = Played::new(|_, _| true);
        let busy = Step { estimate_ms: 30_000, max_per_worker: Some(1), ..step(20, 8_000) };
        played.accept(job("busy", queue(0), vec![busy]));
        played.run_for(500);
        let wide = Step { estimate_ms: 10_000, max_per_worker: Some(1), ..gang(10, 16_000) };
        played.accept(job("gang", queue(1), vec![wide]));
        played.run_for(500);
        for number in 0..10 {
            played.cell.scheduler.mark_unreachable(&worker_id(&format!("w{number:02}")));
        }
        played.run_for(1_000);
        // All workers that answer are those of the gang.
        played.accept(job("later", queue(2), vec![Step { estimate_ms: 60_000, ..step(4, 8_000) }]));
        played.run_for(1_000);
        assert!(!played.started_ms.contains_key("later"));
    };
}
