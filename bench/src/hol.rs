//! Case `hol`: head-of-line blocking of short requests by long requests, which take 100 times as long.
//!
//! Compares the latency of short and the throughput of long requests alone and together; the baseline is the naive
//! router.

use {
    crate::{
        fleet::{Fleet, INSTANCES_PER_ZONE, ZONE_SLOTS, poisson_arrivals, random_run_time, to_f64},
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

/// Mean run time of a short request, in ms.
const SHORT_MS: u64 = 20;
/// Mean run time of a long request, in ms.
const LONG_MS: u64 = 100 * SHORT_MS;
/// Short requests per second: 15% of the slots' capacity.
const SHORT_PER_S: f64 = 0.15 * ZONE_SLOTS * 1_000.0 / 20.0;
/// Clients that keep one long request queued or running each; more than there are slots.
const LONG_CLIENTS: usize = 160;
/// Time limit of each request, in ms.
const DEADLINE_MS: u64 = 60_000;
const WARM_UP: Duration = Duration::from_secs(4);
const MEASURED: Duration = Duration::from_secs(7);

/// Requests of a phase.
#[derive(Clone, Copy)]
struct Load {
    short: bool,
    long: bool,
    /// Class that the long requests declare.
    declared: WorkClass,
}

/// Result of a phase.
struct PhaseResult {
    short_p99_us: f64,
    /// Mean number of slots that run long requests.
    long_slots: f64,
}

/// State that the clients of a phase share.
struct Phase {
    fleet: Arc<Fleet>,
    /// Latencies of the short requests, in us.
    latencies: Mutex<Histogram<u64>>,
    /// Whether the warm-up is over and the measurement is not.
    measuring: AtomicBool,
    /// Whether the phase has ended.
    ended: AtomicBool,
}

pub fn run() -> Result<Vec<Measure>, String> {
    let load = |short, long, declared| Load {
        short,
        long,
        declared,
    };
    // Both routers run concurrently; their simulated work only sleeps, so they hardly compete for processors.
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

async fn run_phase(is_naive: bool, load: Load) -> Result<PhaseResult, String> {
    let latencies =
        Histogram::new_with_bounds(1, DEADLINE_MS * 1_000, 3).map_err(|err| err.to_string())?;
    let shared = Arc::new(Phase {
        fleet: Fleet::new(is_naive),
        latencies: Mutex::new(latencies),
        measuring: AtomicBool::new(false),
        ended: AtomicBool::new(false),
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
    let long_slots = mean_long_slots(&shared.fleet).await;
    shared.measuring.store(false, SeqCst);
    shared.ended.store(true, SeqCst);
    let latencies = shared
        .latencies
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    Ok(PhaseResult {
        short_p99_us: to_f64(latencies.value_at_quantile(0.99)),
        long_slots,
    })
}

/// Mean number of slots that run long requests. It stands for their throughput, without the error that requests in
/// flight at the end of the phase would add.
async fn mean_long_slots(fleet: &Fleet) -> f64 {
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

/// Sends long requests one after the other until the phase has ended.
async fn long_client(shared: Arc<Phase>, client: usize, declared: WorkClass) {
    let mut rng = Rng::with_seed(client as u64);
    while !shared.ended.load(SeqCst) {
        let run = random_run_time(&mut rng, LONG_MS);
        let at = client % INSTANCES_PER_ZONE;
        let call = shared
            .fleet
            .call_route("long", at, declared, run, DEADLINE_MS)
            .await;
        sleep_ms(call.retry_after_ms.unwrap_or(0)).await;
    }
}

/// Sends short requests at random times and records their latencies.
async fn short_clients(shared: Arc<Phase>) {
    let mut rng = Rng::with_seed(1);
    let send = |rng: &mut Rng, _at: f64| {
        let (shared, run) = (Arc::clone(&shared), random_run_time(rng, SHORT_MS));
        let at = rng.usize(0..INSTANCES_PER_ZONE);
        spawn(async move {
            let is_measured = shared.measuring.load(SeqCst);
            let call = shared
                .fleet
                .call(at, WorkClass::Short, run, DEADLINE_MS)
                .await;
            // Counts requests that are sent during the measurement and end before the phase does.
            if is_measured && !shared.ended.load(SeqCst) {
                let mut latencies = shared
                    .latencies
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                latencies.saturating_record(call.took_us);
            }
        })
        .detach();
    };
    poisson_arrivals(WARM_UP + MEASURED, &mut rng, |_| SHORT_PER_S, send).await;
}
