//! Cells under random faults: every acknowledged job succeeds, and the history of all runs violates no invariant.
//!
//! The environment variable `CONTROL_SEEDS` sets the number of seeds.

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
const STEPS_PER_SEED: usize = 14;
/// Entry instances and their zones.
const INSTANCES: [(&str, &str); 4] = [
    ("e1", "riga-a"),
    ("e2", "riga-a"),
    ("e3", "riga-b"),
    ("e4", "riga-b"),
];

/// Starts or ends one random fault, then waits for a random time.
async fn inject_random_fault(cell: &mut Cell, rng: &mut fastrand::Rng) {
    let (id, zone) = INSTANCES[rng.usize(0..INSTANCES.len())];
    let worker = rng.usize(0..cell.workers.len());
    match rng.u32(0..9) {
        0 if cell.instances.len() > 2 && cell.instances.contains_key(id) => cell.kill(id),
        1 => {
            if let Some(instance) = cell.instances.get(id) {
                instance.injector.pause();
            }
        }
        2 => {
            for instance in cell.instances.values() {
                instance.injector.resume();
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

/// Ends all faults and starts the instances that were killed.
fn end_all_faults(cell: &mut Cell) {
    cell.platform.faults().clear();
    cell.workers
        .iter()
        .for_each(|worker| worker.faults().clear());
    for instance in cell.instances.values() {
        instance.injector.resume();
    }
    for (id, zone) in INSTANCES {
        if !cell.instances.contains_key(id) {
            cell.start(id, zone);
        }
    }
}

async fn run_with_random_faults(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut cell = Cell::new(&["riga-a", "riga-b"], 3);
    // Makes snapshots so frequent that faults occur during them.
    cell.limits = Limits {
        snapshot_records: 8,
        ..Limits::default()
    };
    for (id, zone) in INSTANCES {
        cell.start(id, zone);
    }
    cell.wait_until_ready().await;
    let mut accepted = Vec::new();
    for number in 0..STEPS_PER_SEED {
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
        inject_random_fault(&mut cell, &mut rng).await;
    }
    end_all_faults(&mut cell);
    let is_done = |cell: &Cell, id: &String| cell.job_state(id) == Some(JobState::Succeeded);
    cell.until(&format!("all accepted jobs succeed, seed {seed}"), |cell| {
        accepted.iter().all(|id| is_done(cell, id))
    })
    .await;
    assert_eq!(cell.violations(), Vec::<String>::new(), "seed {seed}");
}

/// Faults: kills, pauses, lost replies and late writes, outages of the store, and silent or restarted workers.
#[test]
fn random_faults_violate_no_invariant() {
    let seeds = std::env::var("CONTROL_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(DEFAULT_SEEDS) {
        block_on(run_with_random_faults(FIRST_SEED + seed));
    }
}
