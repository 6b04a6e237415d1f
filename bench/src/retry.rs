//! Case `retry`: a third of the backend servers fails, then all of them for 5 s.

use {
    crate::{
        fleet::{Fleet, INSTANCES_PER_ZONE, ZONE_SLOTS, arrivals, run_time, to_f64},
        report::{Measure, Unit},
    },
    fastrand::Rng,
    ragwortreel_model::WorkClass,
    ragwortreel_runtime::{block_on, sleep_ms, spawn},
    std::{
        sync::{Arc, Mutex, PoisonError, atomic::Ordering::SeqCst},
        time::Duration,
    },
};

const RUN_MS: u64 = 50;
/// Half of the capacity.
const REQUESTS_PER_S: f64 = 0.5 * ZONE_SLOTS * 1_000.0 / 50.0;
const DEADLINE_MS: u64 = 1_000;
/// Times in seconds: a third fails from the first on, all from the second, none from the third.
const THIRD_FAILS_S: f64 = 2.0;
const ALL_FAIL_S: f64 = 7.0;
const HEALTHY_S: f64 = 12.0;
const OVER_S: f64 = 18.0;

struct Ended {
    sent_s: f64,
    attempts: u32,
    answered: bool,
}

pub fn run() -> Result<Vec<Measure>, String> {
    let full = block_on(run_fleet(false));
    let naive = block_on(run_fleet(true));
    if full.is_empty() || naive.is_empty() {
        return Err("no request has ended".to_owned());
    }
    // Requests that were refused without an attempt would make the ratio look better than it is.
    let attempts = |ended: &[Ended]| {
        let sent = ended.iter().filter(|e| e.attempts > 0);
        let (attempts, sent) =
            sent.fold((0, 0), |(sum, n), e| (sum + u64::from(e.attempts), n + 1));
        to_f64(attempts) / to_f64(sent)
    };
    let answered = |ended: &[Ended], from_s: f64, to_s: f64| {
        let sent = ended
            .iter()
            .filter(|e| e.sent_s >= from_s && e.sent_s < to_s);
        let (answered, all) = sent.fold((0, 0), |(yes, all), e| {
            (yes + u64::from(e.answered), all + 1)
        });
        to_f64(answered) / to_f64(all)
    };
    let of_period = |name: &str, from_s: f64, to_s: f64| {
        Measure::info(name, answered(&full, from_s, to_s), Unit::Share)
            .with_baseline(answered(&naive, from_s, to_s))
    };
    Ok(vec![
        Measure::at_most("attempts_per_request", attempts(&full), Unit::Ratio, 1.1)
            .with_baseline(attempts(&naive)),
        of_period("answered_third_failing", THIRD_FAILS_S, ALL_FAIL_S),
        of_period("answered_first_2_s_after", HEALTHY_S, HEALTHY_S + 2.0),
        of_period("answered_later", HEALTHY_S + 2.0, OVER_S),
    ])
}

async fn run_fleet(is_naive: bool) -> Vec<Ended> {
    let fleet = Fleet::new(is_naive);
    let ended = Arc::new(Mutex::new(Vec::new()));
    let mut rng = Rng::with_seed(3);
    spawn(fail_in_turn(Arc::clone(&fleet))).detach();
    let send = |rng: &mut Rng, sent_s: f64| {
        let (fleet, ended, run) = (
            Arc::clone(&fleet),
            Arc::clone(&ended),
            run_time(rng, RUN_MS),
        );
        let at = rng.usize(0..INSTANCES_PER_ZONE);
        spawn(async move {
            let mut call = fleet.call(at, WorkClass::Short, run, DEADLINE_MS).await;
            // A client that is told when to return does so once.
            if let Some(wait_ms) = call.retry_after_ms {
                let attempts = call.attempts;
                sleep_ms(wait_ms).await;
                call = fleet.call(at, WorkClass::Short, run, DEADLINE_MS).await;
                call.attempts += attempts;
            }
            let mut ended = ended.lock().unwrap_or_else(PoisonError::into_inner);
            ended.push(Ended {
                sent_s,
                attempts: call.attempts,
                answered: call.answered,
            });
        })
        .detach();
    };
    arrivals(
        Duration::from_secs_f64(OVER_S),
        &mut rng,
        |_| REQUESTS_PER_S,
        send,
    )
    .await;
    sleep_ms(2 * DEADLINE_MS).await;
    std::mem::take(&mut *ended.lock().unwrap_or_else(PoisonError::into_inner))
}

async fn fail_in_turn(fleet: Arc<Fleet>) {
    let set = |every: usize, failing: bool| {
        for backend in fleet.backends.iter().step_by(every) {
            backend.failing.store(failing, SeqCst);
        }
    };
    let pause =
        |from_s: f64, to_s: f64| ragwortreel_runtime::sleep(Duration::from_secs_f64(to_s - from_s));
    pause(0.0, THIRD_FAILS_S).await;
    set(3, true);
    pause(THIRD_FAILS_S, ALL_FAIL_S).await;
    set(1, true);
    pause(ALL_FAIL_S, HEALTHY_S).await;
    set(1, false);
}
