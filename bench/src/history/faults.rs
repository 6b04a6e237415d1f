//! Seeded faults of one run.

use {
    ragwortreel_model::{InstanceId, Zone},
    ragwortreel_platform::InstanceState,
    ragwortreel_processes::ProcessCell,
    ragwortreel_runtime::sleep_ms,
    ragwortreel_standins::{FaultSwitch, Outage},
    std::time::{Duration, Instant},
};

/// Time between the beginnings of two faults, in ms.
const SPACING_MS: u64 = 700;
/// Faults that hold at once.
const AT_ONCE: usize = 2;
/// Share of store answers that are lost, in millionths.
const LOST_ANSWERS_PPM: u32 = 200_000;
/// Share of store writes that take effect late, in millionths, and the most delay in ms.
const LATE_WRITES: (u32, u64) = (100_000, 1_500);
/// Time that each call of a slow store takes, in ms.
const SLOW_STORE_MS: u64 = 250;
/// Share of requests that a failing backend server answers with status 500, in millionths.
const FAILED_REQUESTS_PPM: u32 = 500_000;

/// One fault.
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
    fn entry(&self) -> Option<usize> {
        match self {
            Self::KillEntry(number) | Self::PauseEntry(number) | Self::StopEntry(number) => {
                Some(*number)
            }
            _ => None,
        }
    }
}

/// A graceful stop of an entry instance, from the signal to the end of its process.
#[derive(Debug, Clone, Copy)]
pub struct PlannedStop {
    pub entry: std::net::SocketAddr,
    pub from: Instant,
    pub until: Instant,
}

/// What the faults did, for the checks.
#[derive(Debug, Default)]
pub struct FaultRecord {
    /// One text a fault, with its time.
    pub texts: Vec<String>,
    /// Graceful stops.
    pub stops: Vec<PlannedStop>,
    /// Backend servers that were marked as leaving.
    pub left: Vec<usize>,
    /// Starts of entry instances after the first, by number.
    pub restarts: Vec<(usize, Instant)>,
}

/// Brings about random faults until the time is over, then ends all of them.
pub async fn run(
    cell: &mut ProcessCell,
    rng: &mut fastrand::Rng,
    duration: Duration,
) -> FaultRecord {
    let begun = Instant::now();
    let mut record = FaultRecord::default();
    let mut active: Vec<Fault> = Vec::new();
    while begun.elapsed() < duration {
        if active.len() >= AT_ONCE {
            let fault = active.remove(0);
            end(cell, fault, &mut record);
        }
        let fault = choose(cell, &active, rng);
        record
            .texts
            .push(format!("{:.1} s {fault:?}", begun.elapsed().as_secs_f64()));
        begin(cell, &fault, &mut record).await;
        active.push(fault);
        sleep_ms(SPACING_MS).await;
    }
    for fault in active {
        end(cell, fault, &mut record);
    }
    record
}

fn choose(cell: &ProcessCell, active: &[Fault], rng: &mut fastrand::Rng) -> Fault {
    // A second fault of the same instance would make it unclear which of the two a caller has met.
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

fn platform_faults(cell: &ProcessCell) -> Option<&FaultSwitch> {
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
                .fault_switch()
                .update(|faults| faults.silence_open_connections = true);
        }
        Fault::BackendFails(number) => {
            let switch = cell.standins.backends[*number].state.fault_switch();
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
            update(cell, |faults| faults.lost_answers_ppm = LOST_ANSWERS_PPM);
        }
        Fault::StoreWritesLate => update(cell, |faults| {
            (faults.late_writes_ppm, faults.late_write_ms) = LATE_WRITES;
        }),
        Fault::StoreSlow => update(cell, |faults| faults.latency_ms = SLOW_STORE_MS),
    }
}

fn end(cell: &mut ProcessCell, fault: Fault, record: &mut FaultRecord) {
    match fault {
        Fault::KillEntry(number) | Fault::StopEntry(number) => restart(cell, number, record),
        Fault::PauseEntry(number) => drop(cell.resume(number)),
        Fault::BackendFails(number) => cell.standins.backends[number].state.fault_switch().clear(),
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

/// Cuts a zone's instances off from the platform and from the workers and backend servers of other zones.
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
    // A stop that is still going on is left alone; the instance then stays away.
    if cell.has_ended(number).unwrap_or(false) && cell.start_entry(number).is_ok() {
        record.restarts.push((number, Instant::now()));
    }
}

fn leave(cell: &ProcessCell, number: usize, record: &mut FaultRecord) {
    // One backend server of each service must stay, or there is nothing left to check.
    if record.left.len() >= 2 || record.left.contains(&number) {
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
        record.left.push(number);
    }
}
