//! Time until placement goes on after the loss of a pool's owner, and tasks that run twice because of it.
//!
//! Cells with real intervals and leases run beside each other; in each one the owner is killed, paused and resumed, or
//! cut off with its zone. In the first two, one busy worker goes silent together with the owner. The baseline restarts tasks by timeout only: its workers have no epoch fence, and it takes a
//! silent worker's tasks for ended at once.

use {
    crate::{
        control_cell::{Cell, job},
        report::{Measure, Unit},
    },
    ragwortreel_runtime::{Task, block_on, sleep_ms, spawn, start_threads},
    ragwortreel_standins::Outage,
    std::{
        sync::atomic::Ordering,
        time::{Duration, Instant},
    },
};

/// Cells of each kind of failure.
const CELLS: usize = 12;
/// Cells of each kind of failure for the baseline.
const BASELINE_CELLS: usize = 4;
/// Executor threads; the machine is shared with other work.
const THREADS: usize = 4;
/// Time that a paused owner is held beyond its takeover, in ms.
const PAUSE_MS: u64 = 7_000;
/// Time after the failure at which a silent worker answers again, in ms; above the task lease.
const SILENT_MS: u64 = 13_000;
/// Time after the failure at which the histories are checked, in ms; above the task lease.
const SETTLE_MS: u64 = 24_000;
/// Time after which a start is given up.
const GIVE_UP: Duration = Duration::from_secs(20);

#[derive(Debug, Clone, Copy)]
enum Failure {
    Killed,
    Paused,
    ZoneCut,
}

struct Outcome {
    takeover_s: f64,
    double_starts: usize,
}

pub fn run() -> Vec<Measure> {
    let _ = start_threads(THREADS);
    let kinds = [Failure::Killed, Failure::Paused, Failure::ZoneCut];
    let begin = |naive: bool, count: usize| -> Vec<(Failure, Task<Outcome>)> {
        let all = kinds
            .into_iter()
            .flat_map(|kind| std::iter::repeat_n(kind, count));
        all.map(|kind| (kind, spawn(measure(kind, naive))))
            .collect()
    };
    let (ours, naive) = (begin(false, CELLS), begin(true, BASELINE_CELLS));
    let (ours, naive) = block_on(async { (collect(ours).await, collect(naive).await) });
    let mut measures = vec![
        Measure::at_most("takeover_p99", p99(&ours, |_| true), Unit::Seconds, 4.8)
            .with_baseline(p99(&naive, |_| true)),
        Measure::at_most("double_starts", doubles(&ours), Unit::Count, 0.0)
            .with_baseline(doubles(&naive)),
    ];
    for (name, is_kind) in [
        (
            "takeover_p99_owner_killed",
            (|kind| matches!(kind, Failure::Killed)) as fn(Failure) -> bool,
        ),
        ("takeover_p99_owner_paused", |kind| {
            matches!(kind, Failure::Paused)
        }),
        ("placement_p99_zone_cut_off", |kind| {
            matches!(kind, Failure::ZoneCut)
        }),
    ] {
        let measure = Measure::info(name, p99(&ours, is_kind), Unit::Seconds);
        measures.push(measure.with_baseline(p99(&naive, is_kind)));
    }
    measures
}

async fn collect(tasks: Vec<(Failure, Task<Outcome>)>) -> Vec<(Failure, Outcome)> {
    let mut outcomes = Vec::new();
    for (kind, task) in tasks {
        outcomes.push((kind, task.await));
    }
    outcomes
}

fn p99(outcomes: &[(Failure, Outcome)], wanted: impl Fn(Failure) -> bool) -> f64 {
    let mut values: Vec<f64> = (outcomes.iter())
        .filter(|(kind, _)| wanted(*kind))
        .map(|(_, outcome)| outcome.takeover_s)
        .collect();
    values.sort_by(f64::total_cmp);
    let rank = (values.len() * 99).div_ceil(100);
    values
        .get(rank.saturating_sub(1))
        .copied()
        .unwrap_or(f64::NAN)
}

#[allow(clippy::cast_precision_loss, reason = "a small count")]
fn doubles(outcomes: &[(Failure, Outcome)]) -> f64 {
    outcomes
        .iter()
        .map(|(_, outcome)| outcome.double_starts)
        .sum::<usize>() as f64
}

async fn measure(failure: Failure, naive: bool) -> Outcome {
    // Cells that beat in step would share their best and worst moments.
    sleep_ms(fastrand::u64(0..1_000)).await;
    let mut cell = Cell::with_speed(1, &["riga-a", "riga-b"], 4);
    if naive {
        // A silent worker's tasks count as ended, whoever may still renew them.
        cell.timings.task_lease_ms = 0;
        cell.timings.task_renewal_grace_ms = 5_000;
    }
    let members = [
        ("e1", "riga-a"),
        ("e2", "riga-a"),
        ("e3", "riga-a"),
        ("e4", "riga-b"),
    ];
    for (id, zone) in members {
        cell.start(id, zone);
        cell.instances[id]
            .injector
            .fencing_disabled
            .store(naive, Ordering::SeqCst);
    }
    cell.wait_until_ready().await;
    for (index, zone) in cell.zones.clone().into_iter().enumerate() {
        let mut spec = job(&format!("long-{index}"), 8, None);
        spec.zone = Some(zone);
        cell.submit("e1", spec).await;
    }
    cell.until("all run", |cell| cell.running() == 16).await;
    // One more start is on its way when the failure comes.
    let owner = cell.owner("riga-a").unwrap_or_default();
    cell.instances[&owner].injector.set_starts_delayed(true);
    let mut spec = job("late", 4, None);
    spec.zone = Some(cell.zones[0].clone());
    cell.submit(&owner, spec).await;
    sleep_ms(fastrand::u64(200..1_200)).await;
    let begun = Instant::now();
    let silent = cell.workers[..4].iter().find(|worker| worker.running() > 0);
    let silent = silent
        .filter(|_| !matches!(failure, Failure::ZoneCut))
        .cloned();
    if let Some(worker) = &silent {
        worker
            .faults()
            .update(|faults| faults.outage = Some(Outage::Silent));
    }
    let takeover_s = match failure {
        Failure::Killed => {
            cell.kill(&owner);
            place(&cell, &owner, true).await
        }
        Failure::Paused => {
            cell.instances[&owner].injector.pause();
            let takeover_s = place(&cell, &owner, true).await;
            let injector = std::sync::Arc::clone(&cell.instances[&owner].injector);
            let left = PAUSE_MS.saturating_sub(elapsed_ms(begun));
            sleep_ms(left).await;
            injector.set_starts_delayed(false);
            injector.resume();
            takeover_s
        }
        Failure::ZoneCut => {
            cell.instances[&owner].injector.set_starts_delayed(false);
            cut_off(&cell);
            let takeover_s = place(&cell, "e4", false).await;
            sleep_ms(13_000).await;
            heal(&cell);
            takeover_s
        }
    };
    sleep_ms(SILENT_MS.saturating_sub(elapsed_ms(begun))).await;
    if let Some(worker) = &silent {
        worker.faults().clear();
    }
    sleep_ms(SETTLE_MS.saturating_sub(elapsed_ms(begun))).await;
    // Named on standard error, because a breach is a fault to be looked into and not only a count.
    let violations = cell.violations();
    if !naive {
        for violation in &violations {
            eprintln!("{failure:?}: {violation}");
        }
    }
    Outcome {
        takeover_s,
        double_starts: violations.len(),
    }
}

fn elapsed_ms(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// Submits an urgent job through another instance and returns the seconds until it runs.
async fn place(cell: &Cell, lost: &str, in_zone: bool) -> f64 {
    let begun = Instant::now();
    let via = cell
        .instances
        .keys()
        .find(|id| *id != lost)
        .expect("another instance");
    let mut spec = job("urgent", 1, None);
    spec.priority = ragwortreel_model::Priority::Urgent;
    spec.zone = in_zone.then(|| cell.zones[0].clone());
    let id = spec.id.clone();
    loop {
        let runs = cell.fleet.history().runs();
        if runs.iter().any(|run| run.task.job == id) || begun.elapsed() > GIVE_UP {
            return begun.elapsed().as_secs_f64();
        }
        let _ = cell.control(via).submit_job(spec.clone()).await;
        sleep_ms(5).await;
    }
}

/// Cuts the second zone off from the platform and from the first zone.
fn cut_off(cell: &Cell) {
    let (near, far) = (cell.zones[0].clone(), cell.zones[1].clone());
    cell.platform.faults().update(|faults| {
        faults.cut_zones.insert(far);
    });
    for worker in &cell.workers[4..] {
        let near = near.clone();
        worker.faults().update(|faults| {
            faults.cut_zones.insert(near);
        });
    }
    for id in ["e1", "e2", "e3"] {
        let (one, two) = (cell.instances[id].address, cell.instances["e4"].address);
        cell.network.disconnect(one, two);
        cell.network.disconnect(two, one);
    }
}

fn heal(cell: &Cell) {
    cell.platform.faults().clear();
    for worker in &cell.workers {
        worker.faults().clear();
    }
    cell.network.reconnect_all();
}
