//! Case `failover`: time until placement continues after the loss of a pool's owner, and tasks that run twice.
//!
//! Cells with real intervals and leases run concurrently. In each one the owner is killed, or paused and resumed, or
//! its zone is partitioned. In the first two kinds, one busy worker stops responding together with the owner. The
//! baseline restarts tasks by timeout only: its workers have no epoch fence, and it treats the tasks of a silent worker
//! as ended at once.

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

/// Cells per kind of failure.
const CELLS_PER_FAILURE: usize = 12;
/// Cells per kind of failure for the baseline.
const BASELINE_CELLS_PER_FAILURE: usize = 4;
/// Executor threads; few, because the machine is shared with other processes.
const THREADS: usize = 4;
/// Shortest pause of a paused owner, in ms; longer than a takeover.
const PAUSE_MS: u64 = 7_000;
/// Time from the failure until a silent worker responds again, in ms; longer than the task lease.
const SILENT_MS: u64 = 13_000;
/// Time from the failure until the histories are checked, in ms; longer than the task lease.
const SETTLE_MS: u64 = 24_000;
/// Time limit until the probe job runs.
const PLACEMENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Failure of the pool's owner; violations are printed with the `Debug` text.
#[derive(Debug, Clone, Copy)]
enum Failure {
    Killed,
    Paused,
    ZoneCut,
}

/// Result of one cell.
struct Outcome {
    /// Time from the failure until a job submitted after it runs, in s.
    takeover_s: f64,
    /// Tasks found running twice, and other violations of the histories.
    double_starts: usize,
}

/// Runs all cells, with and without fencing.
pub fn run() -> Vec<Measure> {
    let _ = start_threads(THREADS);
    let kinds = [Failure::Killed, Failure::Paused, Failure::ZoneCut];
    let start_cells = |naive: bool, count: usize| -> Vec<(Failure, Task<Outcome>)> {
        let all = kinds
            .into_iter()
            .flat_map(|kind| std::iter::repeat_n(kind, count));
        all.map(|kind| (kind, spawn(measure(kind, naive))))
            .collect()
    };
    let (full, naive) = (
        start_cells(false, CELLS_PER_FAILURE),
        start_cells(true, BASELINE_CELLS_PER_FAILURE),
    );
    let (full, naive) = block_on(async { (collect(full).await, collect(naive).await) });
    let mut measures = vec![
        Measure::at_most("takeover_p99", p99(&full, |_| true), Unit::Seconds, 4.8)
            .with_baseline(p99(&naive, |_| true)),
        Measure::at_most(
            "double_starts",
            total_double_starts(&full),
            Unit::Count,
            0.0,
        )
        .with_baseline(total_double_starts(&naive)),
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
        let measure = Measure::info(name, p99(&full, is_kind), Unit::Seconds);
        measures.push(measure.with_baseline(p99(&naive, is_kind)));
    }
    measures
}

/// Waits for all cells.
async fn collect(tasks: Vec<(Failure, Task<Outcome>)>) -> Vec<(Failure, Outcome)> {
    let mut outcomes = Vec::new();
    for (kind, task) in tasks {
        outcomes.push((kind, task.await));
    }
    outcomes
}

/// 99th percentile of the takeover times of the wanted failures, in s.
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
fn total_double_starts(outcomes: &[(Failure, Outcome)]) -> f64 {
    outcomes
        .iter()
        .map(|(_, outcome)| outcome.double_starts)
        .sum::<usize>() as f64
}

/// Runs one cell through a failure of its first zone's owner.
async fn measure(failure: Failure, naive: bool) -> Outcome {
    // Random start times, because cells whose periodic work is in phase would all see their best or worst case at once.
    sleep_ms(fastrand::u64(0..1_000)).await;
    let mut cell = Cell::with_speed(1, &["riga-a", "riga-b"], 4);
    if naive {
        // Treats a silent worker's tasks as ended, even though its task leases may still be renewed.
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
    // Another start is in flight at the time of the failure.
    let owner = cell.owner("riga-a").unwrap_or_default();
    cell.instances[&owner].injector.set_starts_delayed(true);
    let mut spec = job("late", 4, None);
    spec.zone = Some(cell.zones[0].clone());
    cell.submit(&owner, spec).await;
    sleep_ms(fastrand::u64(200..1_200)).await;
    let started = Instant::now();
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
            time_to_placement_s(&cell, &owner, true).await
        }
        Failure::Paused => {
            cell.instances[&owner].injector.pause();
            let takeover_s = time_to_placement_s(&cell, &owner, true).await;
            let injector = std::sync::Arc::clone(&cell.instances[&owner].injector);
            let remaining_ms = PAUSE_MS.saturating_sub(elapsed_ms(started));
            sleep_ms(remaining_ms).await;
            injector.set_starts_delayed(false);
            injector.resume();
            takeover_s
        }
        Failure::ZoneCut => {
            cell.instances[&owner].injector.set_starts_delayed(false);
            partition_second_zone(&cell);
            let takeover_s = time_to_placement_s(&cell, "e4", false).await;
            sleep_ms(13_000).await;
            heal_partition(&cell);
            takeover_s
        }
    };
    sleep_ms(SILENT_MS.saturating_sub(elapsed_ms(started))).await;
    if let Some(worker) = &silent {
        worker.faults().clear();
    }
    sleep_ms(SETTLE_MS.saturating_sub(elapsed_ms(started))).await;
    // Printed to stderr, because each violation is a fault to be investigated and not only a count.
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

/// Submits an urgent job through an instance other than `lost` and returns the time until it runs, in s.
///
/// `in_zone` restricts the job to the first zone.
async fn time_to_placement_s(cell: &Cell, lost: &str, in_zone: bool) -> f64 {
    let started = Instant::now();
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
        if runs.iter().any(|run| run.task.job == id) || started.elapsed() > PLACEMENT_TIMEOUT {
            return started.elapsed().as_secs_f64();
        }
        let _ = cell.control(via).submit_job(spec.clone()).await;
        sleep_ms(5).await;
    }
}

/// Partitions the second zone from the platform and from the first zone.
fn partition_second_zone(cell: &Cell) {
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

/// Ends the partition.
fn heal_partition(cell: &Cell) {
    cell.platform.faults().clear();
    for worker in &cell.workers {
        worker.faults().clear();
    }
    cell.network.reconnect_all();
}
