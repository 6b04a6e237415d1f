//! Histories of cells under random faults: every acknowledged job ends, and no invariant is broken on the way.
//!
//! `CONTROL_SEEDS=20` runs more seeds than the default.

mod support;

use {
    ragwortreel_control::Limits,
    ragwortreel_model::JobState,
    ragwortreel_runtime::{block_on, sleep_ms},
    ragwortreel_standins::Outage,
    support::{Cell, job},
};

const DEFAULT_SEEDS: u64 = 3;
const FIRST_SEED: u64 = 20_261_204;
const STEPS: usize = 14;
const IDS: [(&str, &str); 4] = [
    ("e1", "riga-a"),
    ("e2", "riga-a"),
    ("e3", "riga-b"),
    ("e4", "riga-b"),
];

/// Takes one random step: a failure, or the end of one.
async fn step(cell: &mut Cell, rng: &mut fastrand::Rng) {
    let (id, zone) = IDS[rng.usize(0..IDS.len())];
    let worker = rng.usize(0..cell.workers.len());
    match rng.u32(0..9) {
        0 if cell.instances.len() > 2 && cell.instances.contains_key(id) => cell.kill(id),
        1 => {
            if let Some(instance) = cell.instances.get(id) {
                instance.gate.pause();
            }
        }
        2 => {
            for instance in cell.instances.values() {
                instance.gate.resume();
            }
        }
        3 => cell.workers[worker]
            .faults()
            .update(|faults| faults.outage = Some(Outage::Silent)),
        4 => cell
            .workers
            .iter()
            .for_each(|worker| worker.faults().clear()),
        5 => cell.workers[worker].restart(),
        6 => cell
            .platform
            .faults()
            .update(|faults| faults.outage = Some(Outage::Refuse)),
        7 => cell.platform.faults().update(|faults| {
            faults.outage = None;
            faults.lost_answers_ppm = 100_000;
            faults.late_writes_ppm = 30_000;
            faults.late_write_ms = 100;
        }),
        _ => cell.platform.faults().clear(),
    }
    if !cell.instances.contains_key(id) && rng.bool() {
        cell.start(id, zone);
    }
    sleep_ms(rng.u64(20..500)).await;
}

/// Ends all failures.
fn heal(cell: &mut Cell) {
    cell.platform.faults().clear();
    cell.workers
        .iter()
        .for_each(|worker| worker.faults().clear());
    for instance in cell.instances.values() {
        instance.gate.resume();
    }
    for (id, zone) in IDS {
        if !cell.instances.contains_key(id) {
            cell.start(id, zone);
        }
    }
}

async fn history(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut cell = Cell::new(&["riga-a", "riga-b"], 3);
    // Snapshots come often enough to meet every failure.
    cell.limits = Limits {
        snapshot_records: 8,
        ..Limits::default()
    };
    for (id, zone) in IDS {
        cell.start(id, zone);
    }
    cell.ready().await;
    let mut accepted = Vec::new();
    for number in 0..STEPS {
        let id = format!("j{number}");
        let via = cell
            .instances
            .keys()
            .nth(rng.usize(0..cell.instances.len()))
            .cloned();
        let control = cell.control(&via.expect("an instance"));
        let spec = job(&id, rng.u32(1..4), Some(rng.u64(100..4_000)));
        let submitted = ragwortreel_runtime::timeout_ms(500, control.submit_job(spec)).await;
        if matches!(submitted, Ok(Ok(_))) {
            accepted.push(id);
        }
        step(&mut cell, &mut rng).await;
    }
    heal(&mut cell);
    let is_done = |cell: &Cell, id: &String| cell.job_state(id) == Some(JobState::Succeeded);
    cell.until(&format!("all accepted jobs succeed, seed {seed}"), |cell| {
        accepted.iter().all(|id| is_done(cell, id))
    })
    .await;
    assert_eq!(cell.violations(), Vec::<String>::new(), "seed {seed}");
}

/// Random kills, pauses, lost and late writes, outages and silent or restarted workers.
#[test]
fn random_faults_break_no_invariant() {
    let seeds = std::env::var("CONTROL_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(DEFAULT_SEEDS) {
        block_on(history(FIRST_SEED + seed));
    }
}
