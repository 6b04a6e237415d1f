//! Injects a random sequence of faults into a running cell, determined by the seed of the run.

use {
    ragwortreel_model::{InstanceId, Zone},
    ragwortreel_platform::InstanceState,
    ragwortreel_processes::ProcessCell,
    ragwortreel_runtime::sleep_ms,
    ragwortreel_standins::{FaultInjector, Outage},
    std::time::{Duration, Instant},
};

/// Time between the starts of two faults, in ms.
const FAULT_INTERVAL_MS: u64 = 700;
/// Faults that are active at the same time.
const MAX_ACTIVE_FAULTS: usize = 2;
/// Lost store responses, in parts per million.
const LOST_RESPONSES_PPM: u32 = 200_000;
/// Store writes that take effect late, in parts per million, and their longest delay in ms.
const LATE_WRITES: (u32, u64) = (100_000, 1_500);
/// Latency of each call to a slow store, in ms.
const SLOW_STORE_LATENCY_MS: u64 = 250;
/// Requests that a failing backend server answers with status 500, in parts per million.
const FAILED_REQUESTS_PPM: u32 = 500_000;

/// Kind of fault, with the index of its target. Reports print the `Debug` text.
#[derive(Debug, Clone)]
enum Fault {
    KillEntry(usize),
    PauseEntry(usize),
    StopEntry(usize),
    CutZone(Zone),
    StoreDown(Outage),
    StoreLosesAnswers,
    StoreWritesLate,
    StoreSlow,
    BackendSilent(usize),
    BackendFails(usize),
    BackendLeaves(usize),
    WorkerFails(usize),
    WorkerRestarts(usize),
}

impl Fault {
    /// Index of the entry instance that the fault kills, pauses or stops.
    fn entry(&self) -> Option<usize> {
        match self {
            Self::KillEntry(number) | Self::PauseEntry(number) | Self::StopEntry(number) => {
                Some(*number)
            }
            _ => None,
        }
    }
}

/// Graceful stop of an entry instance, from SIGTERM until the process has exited.
#[derive(Debug, Clone, Copy)]
pub struct PlannedStop {
    /// Address of the instance for callers.
    pub entry: std::net::SocketAddr,
    pub from: Instant,
    pub until: Instant,
}

/// Injected faults, as the checks need them.
#[derive(Debug, Default)]
pub struct FaultRecord {
    /// Start time and description of each fault.
    pub descriptions: Vec<String>,
    /// Graceful stops of entry instances.
    pub stops: Vec<PlannedStop>,
    /// Indexes of the backend servers that were marked as leaving.
    pub leaving_backends: Vec<usize>,
    /// Index and time of each restart of an entry instance.
    pub restarts: Vec<(usize, Instant)>,
}

/// Injects random faults for `duration`, then ends all that are still active.
pub async fn run(
    cell: &mut ProcessCell,
    rng: &mut fastrand::Rng,
    duration: Duration,
) -> FaultRecord {
    let started = Instant::now();
    let mut record = FaultRecord::default();
    let mut active: Vec<Fault> = Vec::new();
    while started.elapsed() < duration {
        if active.len() >= MAX_ACTIVE_FAULTS {
            let fault = active.remove(0);
            end(cell, fault, &mut record);
        }
        let fault = choose(cell, &active, rng);
        record.descriptions.push(format!(
            "{:.1} s {fault:?}",
            started.elapsed().as_secs_f64()
        ));
        begin(cell, &fault, &mut record).await;
        active.push(fault);
        sleep_ms(FAULT_INTERVAL_MS).await;
    }
    for fault in active {
        end(cell, fault, &mut record);
    }
    record
}

fn choose(cell: &ProcessCell, active: &[Fault], rng: &mut fastrand::Rng) -> Fault {
    // With two faults on one instance it would be unclear which of them affected a caller.
    let is_free = |number: &usize| !active.iter().any(|fault| fault.entry() == Some(*number));
    let free: Vec<usize> = (0..cell.len()).filter(is_free).collect();
    let entry = free[rng.usize(..free.len())];
    let backend = rng.usize(..cell.standins.backends.len());
    let worker = rng.usize(..cell.standins.workers.len());
    match rng.u8(..16) {
        0..=2 => Fault::KillEntry(entry),
        3 | 4 => Fault::PauseEntry(entry),
        5 => Fault::StopEntry(entry),
        6 => Fault::CutZone(cell.plan.zones[rng.usize(..cell.plan.zones.len())].clone()),
        7 => Fault::StoreDown(if rng.bool() {
            Outage::Refuse
        } else {
            Outage::Silent
        }),
        8 => Fault::StoreLosesAnswers,
        9 => Fault::StoreWritesLate,
        10 => Fault::StoreSlow,
        11 => Fault::BackendSilent(backend),
        12 => Fault::BackendFails(backend),
        13 => Fault::BackendLeaves(backend),
        14 => Fault::WorkerFails(worker),
        _ => Fault::WorkerRestarts(worker),
    }
}

fn platform_faults(cell: &ProcessCell) -> Option<&FaultInjector> {
    cell.standins
        .platform
        .as_ref()
        .map(|running| running.state.faults())
}

async fn begin(cell: &mut ProcessCell, fault: &Fault, record: &mut FaultRecord) {
    match fault {
        Fault::KillEntry(number) => drop(cell.kill(*number)),
        Fault::PauseEntry(number) => drop(cell.pause(*number)),
        Fault::StopEntry(number) => stop_entry(cell, *number, record).await,
        Fault::BackendSilent(number) => {
            cell.standins.backends[*number]
                .state
                .faults()
                .update(|faults| faults.silence_open_connections = true);
        }
        Fault::BackendFails(number) => {
            let switch = cell.standins.backends[*number].state.faults();
            switch.update(|faults| faults.failed_requests_ppm = FAILED_REQUESTS_PPM);
        }
        Fault::BackendLeaves(number) => leave(cell, *number, record),
        Fault::WorkerFails(number) => {
            cell.standins.workers[*number]
                .state
                .faults()
                .update(|faults| faults.fail_starts = true);
        }
        Fault::WorkerRestarts(number) => cell.standins.workers[*number].state.restart(),
        Fault::CutZone(zone) => cut(cell, zone, true),
        Fault::StoreDown(outage) => update(cell, |faults| faults.outage = Some(*outage)),
        Fault::StoreLosesAnswers => {
            update(cell, |faults| faults.lost_answers_ppm = LOST_RESPONSES_PPM);
        }
        Fault::StoreWritesLate => update(cell, |faults| {
            (faults.late_writes_ppm, faults.late_write_ms) = LATE_WRITES;
        }),
        Fault::StoreSlow => update(cell, |faults| faults.latency_ms = SLOW_STORE_LATENCY_MS),
    }
}

fn end(cell: &mut ProcessCell, fault: Fault, record: &mut FaultRecord) {
    match fault {
        Fault::KillEntry(number) | Fault::StopEntry(number) => restart(cell, number, record),
        Fault::PauseEntry(number) => drop(cell.resume(number)),
        Fault::BackendFails(number) => cell.standins.backends[number].state.faults().clear(),
        Fault::WorkerFails(number) => cell.standins.workers[number].state.faults().clear(),
        Fault::BackendSilent(_) | Fault::BackendLeaves(_) | Fault::WorkerRestarts(_) => {}
        Fault::CutZone(zone) => cut(cell, &zone, false),
        Fault::StoreDown(_) => update(cell, |faults| faults.outage = None),
        Fault::StoreLosesAnswers => update(cell, |faults| faults.lost_answers_ppm = 0),
        Fault::StoreWritesLate => update(cell, |faults| faults.late_writes_ppm = 0),
        Fault::StoreSlow => update(cell, |faults| faults.latency_ms = 0),
    }
}

fn update(cell: &ProcessCell, change: impl FnOnce(&mut ragwortreel_standins::Faults)) {
    if let Some(switch) = platform_faults(cell) {
        switch.update(change);
    }
}

/// Starts or ends the partition of a zone's instances from the platform and from the workers of other zones.
fn cut(cell: &ProcessCell, zone: &Zone, is_cut: bool) {
    let change = |faults: &mut ragwortreel_standins::Faults| {
        if is_cut {
            faults.cut_zones.insert(zone.clone());
        } else {
            faults.cut_zones.remove(zone);
        }
    };
    update(cell, change);
    let per_zone = cell.plan.workers_per_zone;
    let zone_index = cell
        .plan
        .zones
        .iter()
        .position(|other| other == zone)
        .unwrap_or(0);
    for (number, worker) in cell.standins.workers.iter().enumerate() {
        if number / per_zone != zone_index {
            worker.state.faults().update(change);
        }
    }
}

async fn stop_entry(cell: &mut ProcessCell, number: usize, record: &mut FaultRecord) {
    let from = Instant::now();
    let is_running = cell.is_started(number) && cell.is_ready(number).await;
    if !is_running || cell.terminate(number).is_err() {
        return;
    }
    record.stops.push(PlannedStop {
        entry: cell.caller_address(number),
        from,
        until: Instant::now(),
    });
}

fn restart(cell: &mut ProcessCell, number: usize, record: &mut FaultRecord) {
    if let Some(stop) = record
        .stops
        .iter_mut()
        .rev()
        .find(|stop| stop.entry == cell.caller_address(number))
    {
        stop.until = stop.until.max(Instant::now());
    }
    // An instance whose graceful stop is still in progress is not restarted here.
    if cell.has_ended(number).unwrap_or(false) && cell.start_entry(number).is_ok() {
        record.restarts.push((number, Instant::now()));
    }
}

fn leave(cell: &ProcessCell, number: usize, record: &mut FaultRecord) {
    // Each service needs a remaining backend server; without one there is nothing left to check.
    if record.leaving_backends.len() >= 2 || record.leaving_backends.contains(&number) {
        return;
    }
    let backend = &cell.standins.backends[number];
    let Ok(id) = InstanceId::new(backend.state.spec().id.as_str()) else {
        return;
    };
    if let Some(platform) = &cell.standins.platform {
        backend.state.drain();
        platform
            .state
            .set_instance_state(&id, InstanceState::Leaving);
        record.leaving_backends.push(number);
    }
}
