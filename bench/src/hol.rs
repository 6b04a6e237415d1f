//! Case `hol`: short work beside long work that takes 100 times as long.

use {
    crate::{
        fleet::{Fleet, INSTANCES_PER_ZONE, ZONE_SLOTS, arrivals, run_time, to_f64},
        report::{Measure, Unit},
    },
    fastrand::Rng,
    hdrhistogram::Histogram,
    ragwortreel_model::WorkClass,
    ragwortreel_runtime::{block_on, sleep_ms, spawn},
    std::{
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, Ordering::SeqCst},
        },
        time::Duration,
    },
};

const SHORT_MS: u64 = 20;
const LONG_MS: u64 = 100 * SHORT_MS;
/// Short requests a second: 15% of the slots.
const SHORT_PER_S: f64 = 0.15 * ZONE_SLOTS * 1_000.0 / 20.0;
/// Clients that always have one long request waiting or running; more than there are slots.
const LONG_CLIENTS: usize = 160;
const DEADLINE_MS: u64 = 60_000;
const WARM_UP: Duration = Duration::from_secs(4);
const MEASURED: Duration = Duration::from_secs(7);

/// Which work a phase has.
#[derive(Clone, Copy)]
struct Load {
    short: bool,
    long: bool,
    /// Class that the long work declares.
    declared: WorkClass,
}

/// What a phase shows.
struct Seen {
    short_p99_us: f64,
    long_slots: f64,
}

struct Shared {
    fleet: Arc<Fleet>,
    latencies: Mutex<Histogram<u64>>,
    measuring: AtomicBool,
    over: AtomicBool,
}

pub fn run() -> Result<Vec<Measure>, String> {
    let load = |short, long, declared| Load {
        short,
        long,
        declared,
    };
    // The naive fleet runs at the same time as the full one; both mostly sleep.
    let phase = |load: Load| {
        let naive = spawn(run_phase(true, load));
        let full = block_on(run_phase(false, load))?;
        Ok::<_, String>((full, block_on(naive)?))
    };
    let short_alone = phase(load(true, false, WorkClass::Long))?;
    let long_alone = phase(load(false, true, WorkClass::Long))?;
    let beside = phase(load(true, true, WorkClass::Long))?;
    let misdeclared = phase(load(true, true, WorkClass::Short))?;
    let misdeclared_ratio = misdeclared.0.short_p99_us / short_alone.0.short_p99_us;
    let naive_misdeclared_ratio = misdeclared.1.short_p99_us / short_alone.1.short_p99_us;
    let short_ratio = beside.0.short_p99_us / short_alone.0.short_p99_us;
    let naive_short_ratio = beside.1.short_p99_us / short_alone.1.short_p99_us;
    let long_ratio = beside.0.long_slots / long_alone.0.long_slots;
    let naive_long_ratio = beside.1.long_slots / long_alone.1.long_slots;
    Ok(vec![
        Measure::at_most("short_p99_ratio", short_ratio, Unit::Ratio, 1.2)
            .with_baseline(naive_short_ratio),
        Measure::at_least("long_throughput_ratio", long_ratio, Unit::Ratio, 0.9)
            .with_baseline(naive_long_ratio),
        Measure::info(
            "short_p99_ratio_long_declared_short",
            misdeclared_ratio,
            Unit::Ratio,
        )
        .with_baseline(naive_misdeclared_ratio),
        Measure::info(
            "short_p99_alone",
            short_alone.0.short_p99_us / 1e3,
            Unit::Milliseconds,
        )
        .with_baseline(short_alone.1.short_p99_us / 1e3),
        Measure::info(
            "short_p99_beside_long",
            beside.0.short_p99_us / 1e3,
            Unit::Milliseconds,
        )
        .with_baseline(beside.1.short_p99_us / 1e3),
        Measure::info("long_slots_alone", long_alone.0.long_slots, Unit::Count)
            .with_baseline(long_alone.1.long_slots),
    ])
}

async fn run_phase(is_naive: bool, load: Load) -> Result<Seen, String> {
    let latencies =
        Histogram::new_with_bounds(1, DEADLINE_MS * 1_000, 3).map_err(|err| err.to_string())?;
    let shared = Arc::new(Shared {
        fleet: Fleet::new(is_naive),
        latencies: Mutex::new(latencies),
        measuring: AtomicBool::new(false),
        over: AtomicBool::new(false),
    });
    if load.long {
        for client in 0..LONG_CLIENTS {
            spawn(long_client(Arc::clone(&shared), client, load.declared)).detach();
        }
    }
    if load.short {
        spawn(short_clients(Arc::clone(&shared))).detach();
    }
    ragwortreel_runtime::sleep(WARM_UP).await;
    shared.measuring.store(true, SeqCst);
    let long_slots = average_long_slots(&shared.fleet).await;
    shared.measuring.store(false, SeqCst);
    shared.over.store(true, SeqCst);
    let latencies = shared
        .latencies
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    Ok(Seen {
        short_p99_us: to_f64(latencies.value_at_quantile(0.99)),
        long_slots,
    })
}

/// Slots that run long work, on average: its throughput without the error of requests cut by the end of the phase.
async fn average_long_slots(fleet: &Fleet) -> f64 {
    const SAMPLE_MS: u64 = 20;
    let (mut sum, mut samples) = (0, 0);
    while Duration::from_millis(samples * SAMPLE_MS) < MEASURED {
        sleep_ms(SAMPLE_MS).await;
        let of_backends = fleet.backends.iter().map(|b| b.long_in_flight.load(SeqCst));
        sum += u64::from(of_backends.sum::<u32>());
        samples += 1;
    }
    to_f64(sum) / to_f64(samples)
}

async fn long_client(shared: Arc<Shared>, client: usize, declared: WorkClass) {
    let mut rng = Rng::with_seed(client as u64);
    while !shared.over.load(SeqCst) {
        let run = run_time(&mut rng, LONG_MS);
        let at = client % INSTANCES_PER_ZONE;
        let call = shared
            .fleet
            .call_route("long", at, declared, run, DEADLINE_MS)
            .await;
        sleep_ms(call.retry_after_ms.unwrap_or(0)).await;
    }
}

async fn short_clients(shared: Arc<Shared>) {
    let mut rng = Rng::with_seed(1);
    let send = |rng: &mut Rng, _at: f64| {
        let (shared, run) = (Arc::clone(&shared), run_time(rng, SHORT_MS));
        let at = rng.usize(0..INSTANCES_PER_ZONE);
        spawn(async move {
            let is_measured = shared.measuring.load(SeqCst);
            let call = shared
                .fleet
                .call(at, WorkClass::Short, run, DEADLINE_MS)
                .await;
            // A request that ends after the phase counts too if it began in it.
            if is_measured && !shared.over.load(SeqCst) {
                let mut latencies = shared
                    .latencies
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                latencies.saturating_record(call.took_us);
            }
        })
        .detach();
    };
    arrivals(WARM_UP + MEASURED, &mut rng, |_| SHORT_PER_S, send).await;
}
