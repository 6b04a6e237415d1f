//! What callers get from the decisions alone, on a fleet under load. No network.
//!
//! The load has the shape of the users' grown fleets at two sevenths of their size: wide jobs whose tasks start together,
//! batch jobs of a less important queue, and short urgent ones. Together they use about 60% of the cores, and their calls
//! for advice about half of the instances' time.

mod support;

use {
    ragwortreel_model::Resources,
    ragwortreel_workflow::AdviceCost,
    support::fleet::{Burst, Class, Fleet, Report},
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
