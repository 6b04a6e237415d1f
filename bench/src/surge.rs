//! Case `surge`: the load rises from half of the capacity to four times the capacity within a second.
//!
//! Measures goodput, urgent requests and recovery, with the naive router as the baseline.

use {
    crate::{
        fleet::{
            CallResult, Fleet, INSTANCES_PER_ZONE, ZONE_SLOTS, poisson_arrivals, random_run_time,
            router_with_services, to_f64,
        },
        report::{Measure, Unit},
    },
    fastrand::Rng,
    ragwortreel_model::WorkClass,
    ragwortreel_runtime::{block_on, sleep_ms, spawn},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

/// Mean run time of a request, in ms.
const RUN_MS: u64 = 50;
/// Requests per second that the slots can run.
const CAPACITY_PER_S: f64 = ZONE_SLOTS * 1_000.0 / 50.0;
/// Time limit of each request, in ms.
const DEADLINE_MS: u64 = 500;
/// Share of urgent requests, from 0 to 1.
const URGENT_SHARE: f64 = 0.1;
/// Time at which the load starts to rise, in s. It is at its peak from `PEAK_S` to `SURGE_END_S`, then at `LOW_LOAD`
/// again until `RUN_END_S`.
const RISE_S: f64 = 4.0;
const PEAK_S: f64 = 5.0;
const SURGE_END_S: f64 = 15.0;
const RUN_END_S: f64 = 20.0;
/// Load before and after the surge, as a multiple of the capacity.
const LOW_LOAD: f64 = 0.5;
/// Load at the peak, as a multiple of the capacity.
const PEAK_LOAD: f64 = 4.0;
/// Length of the periods over which the share of responses in time is computed after the surge, in s.
const PERIOD_S: f64 = 0.2;

/// Request that has ended.
struct EndedRequest {
    /// Time of sending since the start of the run, in s.
    sent_s: f64,
    /// Time of the response since the start of the run, in s.
    response_s: f64,
    run_ms: f64,
    urgent: bool,
    /// Whether the response arrived before the deadline.
    in_time: bool,
}

pub fn run() -> Result<Vec<Measure>, String> {
    let full = block_on(run_fleet(false));
    let naive = block_on(run_fleet(true));
    if full.is_empty() || naive.is_empty() {
        return Err("no request has ended".to_owned());
    }
    let measures = [
        (goodput(&full), goodput(&naive)),
        (urgent_in_time(&full), urgent_in_time(&naive)),
        (recovery_s(&full), recovery_s(&naive)),
    ];
    let (admission_us, naive_admission_us) = (admission_us(false), admission_us(true));
    Ok(vec![
        Measure::at_least("goodput_share", measures[0].0, Unit::Share, 0.95)
            .with_baseline(measures[0].1),
        Measure::at_least("urgent_in_time_share", measures[1].0, Unit::Share, 0.99)
            .with_baseline(measures[1].1),
        Measure::at_most("recovery", measures[2].0, Unit::Seconds, 2.0)
            .with_baseline(measures[2].1),
        Measure::info("admission_mean", admission_us, Unit::Microseconds)
            .with_baseline(naive_admission_us),
        Measure::info("idle_tick_mean", idle_tick_us(), Unit::Microseconds),
    ])
}

/// Mean time to admit and finish one request on an idle instance with 16 backend servers, in us.
fn admission_us(is_naive: bool) -> f64 {
    const REQUESTS: u32 = 100_000;
    let fleet = Fleet::new(is_naive);
    let start = std::time::Instant::now();
    for _ in 0..REQUESTS {
        block_on(fleet.admit_and_finish(0));
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(REQUESTS)
}

/// Mean time of one tick of a router with the services of a zone at the design size and no requests, in us.
fn idle_tick_us() -> f64 {
    const SERVICES: u16 = 185;
    const TICKS: u32 = 10_000;
    let router = router_with_services(SERVICES);
    let start = std::time::Instant::now();
    for _ in 0..TICKS {
        std::hint::black_box(router.tick());
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(TICKS)
}

/// Load at a time in the run, as a multiple of the capacity.
fn load_factor(at_s: f64) -> f64 {
    match at_s {
        at if !(RISE_S..SURGE_END_S).contains(&at) => LOW_LOAD,
        at if at < PEAK_S => LOW_LOAD + (PEAK_LOAD - LOW_LOAD) * (at - RISE_S) / (PEAK_S - RISE_S),
        _ => PEAK_LOAD,
    }
}

async fn run_fleet(is_naive: bool) -> Vec<EndedRequest> {
    let fleet = Fleet::new(is_naive);
    let ended = Arc::new(Mutex::new(Vec::new()));
    let mut rng = Rng::with_seed(2);
    let send = |rng: &mut Rng, sent_s: f64| {
        let (fleet, ended, run) = (
            Arc::clone(&fleet),
            Arc::clone(&ended),
            random_run_time(rng, RUN_MS),
        );
        let (at, urgent) = (rng.usize(0..INSTANCES_PER_ZONE), rng.f64() < URGENT_SHARE);
        let class = if urgent {
            WorkClass::Urgent
        } else {
            WorkClass::Short
        };
        spawn(async move {
            let call: CallResult = fleet.call(at, class, run, DEADLINE_MS).await;
            let mut ended = ended.lock().unwrap_or_else(PoisonError::into_inner);
            ended.push(EndedRequest {
                sent_s,
                response_s: sent_s + to_f64(call.took_us) / 1e6,
                run_ms: run.as_secs_f64() * 1e3,
                urgent,
                in_time: call.answered,
            });
        })
        .detach();
    };
    let rate = |at_s: f64| load_factor(at_s) * CAPACITY_PER_S;
    poisson_arrivals(Duration::from_secs_f64(RUN_END_S), &mut rng, rate, send).await;
    sleep_ms(2 * DEADLINE_MS).await;
    std::mem::take(&mut *ended.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Run time of the requests answered in time at the peak, as a share of the slots' capacity in that time.
fn goodput(ended: &[EndedRequest]) -> f64 {
    let at_peak =
        |e: &&EndedRequest| e.in_time && e.response_s >= PEAK_S && e.response_s < SURGE_END_S;
    let run_ms: f64 = ended.iter().filter(at_peak).map(|e| e.run_ms).sum();
    run_ms / (ZONE_SLOTS * (SURGE_END_S - PEAK_S) * 1e3)
}

/// Share of the urgent requests sent during the surge that got their response in time.
fn urgent_in_time(ended: &[EndedRequest]) -> f64 {
    let in_surge = |e: &&EndedRequest| e.urgent && e.sent_s >= RISE_S && e.sent_s < SURGE_END_S;
    share_in_time(ended.iter().filter(in_surge))
}

fn share_in_time<'a>(ended: impl Iterator<Item = &'a EndedRequest>) -> f64 {
    let (mut in_time, mut all) = (0, 0);
    for request in ended {
        in_time += u64::from(request.in_time);
        all += 1;
    }
    to_f64(in_time) / to_f64(all.max(1))
}

/// Time after the surge from which at least 99% of the requests of every period get their response in time, in s.
fn recovery_s(ended: &[EndedRequest]) -> f64 {
    let mut recovered_s = RUN_END_S - SURGE_END_S;
    let mut periods = ((RUN_END_S - SURGE_END_S) / PERIOD_S).round();
    while periods > 0.0 {
        periods -= 1.0;
        let from_s = SURGE_END_S + periods * PERIOD_S;
        let in_period = |e: &&EndedRequest| e.sent_s >= from_s && e.sent_s < from_s + PERIOD_S;
        if share_in_time(ended.iter().filter(in_period)) < 0.99 {
            break;
        }
        recovered_s = periods * PERIOD_S;
    }
    recovered_s
}
