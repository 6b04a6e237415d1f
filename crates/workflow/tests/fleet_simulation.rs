//! What callers get from the decisions alone, on a fleet under load. No network.
//!
//! The load has the shape of the users' grown fleets at two sevenths of their size: wide jobs whose tasks start together,
//! batch jobs of a less important queue, and short urgent ones. Together they use about 60% of the cores, and their calls
//! for advice about half of the instances' time.

mod support;

use {
    ragwortreel_model::Resources,
    ragwortreel_workflow::AdviceCost,
    support::simulation::{Burst, Class, Fleet, Report},
};

const WORKERS: u32 = 100;
const INSTANCES: u32 = 8;
const PLAY_MS: u64 = 20_000;
/// Positions of the classes in [`classes`].
const WIDE: usize = 0;
const BATCH: usize = 1;
const SHORT: usize = 2;

fn advice(call_ms: f64, worker_ms: f64) -> AdviceCost {
    AdviceCost {
        call_ms,
        worker_ms,
        ticket_ms: 1_500,
    }
}

fn classes() -> Vec<Class> {
    let wide = Class {
        name: "wide",
        priority: 1,
        per_second: 1.2,
        worth: 11.0,
        steps: 1.2,
        width: 20.0,
        // Half of the room that the allowed workers have.
        widest: 45,
        need: Resources::new(4_500, 9_000, 0),
        work_ms: 4_200.0,
        gang: true,
        fails: 0.005,
        stretch: 2.2,
        slack_ms: 1_000,
        advice: advice(570.0, 8.0),
        allowed: 0.3,
    };
    let batch = Class {
        name: "batch",
        priority: 2,
        per_second: 3.1,
        worth: 2.6,
        steps: 1.5,
        width: 25.0,
        widest: 120,
        need: Resources::new(1_700, 6_400, 0),
        work_ms: 1_900.0,
        gang: false,
        fails: 0.005,
        stretch: 4.0,
        slack_ms: 3_000,
        advice: advice(104.0, 1.4),
        allowed: 0.45,
    };
    let short = Class {
        name: "short",
        priority: 0,
        per_second: 28.0,
        worth: 0.41,
        steps: 1.0,
        width: 3.2,
        widest: 20,
        need: Resources::new(2_500, 7_000, 0),
        work_ms: 680.0,
        gang: false,
        fails: 0.005,
        stretch: 1.5,
        slack_ms: 250,
        advice: advice(11.7, 0.17),
        allowed: 0.7,
    };
    vec![wide, batch, short]
}

fn play(burst: Option<(usize, f64)>) -> Report {
    let capacity = Resources::new(16_000, 65_536, 0);
    let fleet = Fleet::new(1, WORKERS, capacity, INSTANCES, classes());
    let bursts = burst.map(|(class, times)| Burst {
        class,
        from_ms: 6_000,
        to_ms: 10_000,
        times,
    });
    let report = fleet.play(PLAY_MS, bursts.as_slice());
    println!("{report}");
    report
}

/// Guards against cheap calls for advice that wait behind long ones of a more important queue. Before cheap calls went
/// first, a burst of wide jobs left 0.31 of the batch jobs in time, while half of the cores were free.
#[test]
fn burst_of_wide_jobs_leaves_other_queues_in_time() {
    let report = play(Some((WIDE, 3.0)));
    assert!(report.classes[BATCH].in_time_part() >= 0.95, "{report}");
    assert!(report.classes[SHORT].in_time_part() >= 0.95, "{report}");
}

/// The same for a burst of urgent jobs, whose calls are many and cheap.
#[test]
fn burst_of_short_jobs_leaves_other_queues_in_time() {
    let report = play(Some((SHORT, 4.0)));
    assert!(report.classes[BATCH].in_time_part() >= 0.95, "{report}");
    assert!(report.classes[SHORT].in_time_part() >= 0.95, "{report}");
}

/// Guards against wide jobs that ask about too few workers, lose some of the room before the answer, and ask again. One
/// call and the renewal of its tickets are what a wide step needs when there is room.
#[test]
fn wide_steps_take_few_calls_at_a_calm_load() {
    let report = play(None);
    let wide = &report.classes[WIDE];
    let calls_a_step = f64::from(wide.calls) / f64::from(wide.steps);
    assert!(calls_a_step <= 2.5, "{calls_a_step} calls a step\n{report}");
    assert!(report.served() >= 0.85, "{report}");
}

/// The load of the users' fleet of hundreds of instances at three elevenths of its size: tasks are wide against a worker, and
/// there are enough instances for all calls, so the workers fill up.
fn heavy_classes() -> Vec<Class> {
    let mut all = classes();
    let wide = &mut all[WIDE];
    (wide.per_second, wide.worth, wide.width, wide.widest) = (1.75, 7.7, 32.0, 45);
    (wide.need, wide.work_ms) = (Resources::new(9_000, 34_000, 0), 5_300.0);
    wide.advice = advice(637.0, 9.1);
    let batch = &mut all[BATCH];
    (batch.per_second, batch.worth, batch.width, batch.widest) = (2.95, 2.85, 32.0, 120);
    (batch.need, batch.work_ms) = (Resources::new(5_500, 11_000, 0), 2_900.0);
    batch.advice = advice(182.0, 2.6);
    let short = &mut all[SHORT];
    (short.per_second, short.worth, short.width, short.widest) = (30.0, 0.392, 4.5, 27);
    (short.need, short.work_ms) = (Resources::new(7_800, 22_000, 0), 850.0);
    short.advice = advice(18.2, 0.26);
    all
}

fn play_heavy(seed: u64, bursts: &[Burst]) -> Report {
    let capacity = Resources::new(32_000, 131_072, 0);
    let fleet = Fleet::new(seed, 300, capacity, 40, heavy_classes());
    let report = fleet.play(PLAY_MS, bursts);
    println!("{report}");
    report
}

fn burst(class: usize, from_ms: u64, times: f64) -> Burst {
    let to_ms = from_ms + 4_000;
    Burst {
        class,
        from_ms,
        to_ms,
        times,
    }
}

/// Guards against urgent work that waits behind long work on a fleet that bursts of all classes fill up one after the other.
#[test]
fn urgent_jobs_stay_in_time_in_bursts_of_all_classes() {
    for seed in 1..=3 {
        let bursts = [
            burst(BATCH, 4_000, 2.5),
            burst(SHORT, 8_000, 1.9),
            burst(WIDE, 12_000, 2.0),
        ];
        let report = play_heavy(seed, &bursts);
        assert!(report.classes[SHORT].in_time_part() >= 0.95, "{report}");
        assert!(report.classes[BATCH].in_time_part() >= 0.95, "{report}");
    }
}

/// Guards against gangs that ask about a hundred workers, find room for a part, and ask again: with one call at a time 0.78
/// of the wide jobs were in time at a calm load, while three quarters of the instances had no call to make.
#[test]
fn gangs_ask_through_several_instances_that_have_no_other_call() {
    let in_time = (1..=3).map(|seed| play_heavy(seed, &[]).classes[WIDE].in_time_part());
    let mean = in_time.sum::<f64>() / 3.0;
    assert!(mean >= 0.8, "{mean} of the wide jobs are in time");
}
