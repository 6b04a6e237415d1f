//! Case `surge`: the load rises from half of the capacity to four times the capacity within a second.

use {
    crate::{
        fleet::{
            Call, Fleet, INSTANCES_PER_ZONE, ZONE_SLOTS, arrivals, router_of_services, run_time,
            to_f64,
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

const RUN_MS: u64 = 50;
/// Requests a second that the slots can run.
const CAPACITY_PER_S: f64 = ZONE_SLOTS * 1_000.0 / 50.0;
const DEADLINE_MS: u64 = 500;
/// Part of the requests that is urgent.
const URGENT_PART: f64 = 0.1;
/// Times in seconds: load rises from `RISE_S` on, is full from `PEAK_S` to `END_S`, then half the capacity again.
const RISE_S: f64 = 4.0;
const PEAK_S: f64 = 5.0;
const END_S: f64 = 15.0;
const OVER_S: f64 = 20.0;
const LOW_LOAD: f64 = 0.5;
const PEAK_LOAD: f64 = 4.0;
/// Length of the periods in which recovery is looked for, in seconds.
const PERIOD_S: f64 = 0.2;

/// A request that has ended.
struct Ended {
    sent_s: f64,
    answer_s: f64,
    run_ms: f64,
    urgent: bool,
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

/// Time to admit and finish one request on an idle instance with 16 backend servers, in us.
fn admission_us(is_naive: bool) -> f64 {
    const REQUESTS: u32 = 100_000;
    let fleet = Fleet::new(is_naive);
    let start = std::time::Instant::now();
    for _ in 0..REQUESTS {
        block_on(fleet.admit_and_finish(0));
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(REQUESTS)
}

/// Time of one tick of an instance with the services of a zone at the design size, none of them called, in us.
fn idle_tick_us() -> f64 {
    const SERVICES: u16 = 185;
    const TICKS: u32 = 10_000;
    let router = router_of_services(SERVICES);
    let start = std::time::Instant::now();
    for _ in 0..TICKS {
        std::hint::black_box(router.tick());
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(TICKS)
}

fn load(at_s: f64) -> f64 {
    match at_s {
        at if !(RISE_S..END_S).contains(&at) => LOW_LOAD,
        at if at < PEAK_S => LOW_LOAD + (PEAK_LOAD - LOW_LOAD) * (at - RISE_S) / (PEAK_S - RISE_S),
        _ => PEAK_LOAD,
    }
}

async fn run_fleet(is_naive: bool) -> Vec<Ended> {
    let fleet = Fleet::new(is_naive);
    let ended = Arc::new(Mutex::new(Vec::new()));
    let mut rng = Rng::with_seed(2);
    let send = |rng: &mut Rng, sent_s: f64| {
        let (fleet, ended, run) = (
            Arc::clone(&fleet),
            Arc::clone(&ended),
            run_time(rng, RUN_MS),
        );
        let (at, urgent) = (rng.usize(0..INSTANCES_PER_ZONE), rng.f64() < URGENT_PART);
        let class = if urgent {
            WorkClass::Urgent
        } else {
            WorkClass::Short
        };
        spawn(async move {
            let call: Call = fleet.call(at, class, run, DEADLINE_MS).await;
            let mut ended = ended.lock().unwrap_or_else(PoisonError::into_inner);
            ended.push(Ended {
                sent_s,
                answer_s: sent_s + to_f64(call.took_us) / 1e6,
                run_ms: run.as_secs_f64() * 1e3,
                urgent,
                in_time: call.answered,
            });
        })
        .detach();
    };
    let rate = |at_s: f64| load(at_s) * CAPACITY_PER_S;
    arrivals(Duration::from_secs_f64(OVER_S), &mut rng, rate, send).await;
    sleep_ms(2 * DEADLINE_MS).await;
    std::mem::take(&mut *ended.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Run time of the answers in time at the peak, as a part of what the slots can run.
fn goodput(ended: &[Ended]) -> f64 {
    let at_peak = |e: &&Ended| e.in_time && e.answer_s >= PEAK_S && e.answer_s < END_S;
    let run_ms: f64 = ended.iter().filter(at_peak).map(|e| e.run_ms).sum();
    run_ms / (ZONE_SLOTS * (END_S - PEAK_S) * 1e3)
}

fn urgent_in_time(ended: &[Ended]) -> f64 {
    let in_surge = |e: &&Ended| e.urgent && e.sent_s >= RISE_S && e.sent_s < END_S;
    share_in_time(ended.iter().filter(in_surge))
}

fn share_in_time<'a>(ended: impl Iterator<Item = &'a Ended>) -> f64 {
    let (mut in_time, mut all) = (0, 0);
    for one in ended {
        in_time += u64::from(one.in_time);
        all += 1;
    }
    to_f64(in_time) / to_f64(all.max(1))
}

/// Time after the surge from which on 99 of 100 requests are answered in time.
fn recovery_s(ended: &[Ended]) -> f64 {
    let mut recovered_s = OVER_S - END_S;
    let mut periods = ((OVER_S - END_S) / PERIOD_S).round();
    while periods > 0.0 {
        periods -= 1.0;
        let from_s = END_S + periods * PERIOD_S;
        let of_period = |e: &&Ended| e.sent_s >= from_s && e.sent_s < from_s + PERIOD_S;
        if share_in_time(ended.iter().filter(of_period)) < 0.99 {
            break;
        }
        recovered_s = periods * PERIOD_S;
    }
    recovered_s
}
