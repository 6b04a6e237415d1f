//! Case `retry`: a third of the backend servers fails for 5 s, then all of them for 5 s.
//!
//! Measures how much retries multiply the load; the baseline is the naive router.

use {
    crate::{
        fleet::{Fleet, INSTANCES_PER_ZONE, ZONE_SLOTS, poisson_arrivals, random_run_time, to_f64},
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

/// Mean run time of a request, in ms.
const RUN_MS: u64 = 50;
/// Load: half of the capacity.
const REQUESTS_PER_S: f64 = 0.5 * ZONE_SLOTS * 1_000.0 / 50.0;
/// Time limit of each call, in ms.
const DEADLINE_MS: u64 = 1_000;
/// Time from which a third of the backend servers fails, in s; all fail from `ALL_FAIL_S` on and none from `HEALTHY_S`.
const THIRD_FAILS_S: f64 = 2.0;
const ALL_FAIL_S: f64 = 7.0;
const HEALTHY_S: f64 = 12.0;
/// End of the run, in s.
const RUN_END_S: f64 = 18.0;

/// Request that has ended, after at most one repetition by its client.
struct EndedRequest {
    /// Time of sending since the start of the run, in s.
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
    // Excludes requests that were refused without an attempt, because they would lower the ratio.
    let attempts = |ended: &[EndedRequest]| {
        let sent = ended.iter().filter(|e| e.attempts > 0);
        let (attempts, sent) =
            sent.fold((0, 0), |(sum, n), e| (sum + u64::from(e.attempts), n + 1));
        to_f64(attempts) / to_f64(sent)
    };
    let answered = |ended: &[EndedRequest], from_s: f64, to_s: f64| {
        let sent = ended
            .iter()
            .filter(|e| e.sent_s >= from_s && e.sent_s < to_s);
        let (answered, all) = sent.fold((0, 0), |(yes, all), e| {
            (yes + u64::from(e.answered), all + 1)
        });
        to_f64(answered) / to_f64(all)
    };
    let answered_between = |name: &str, from_s: f64, to_s: f64| {
        Measure::info(name, answered(&full, from_s, to_s), Unit::Share)
            .with_baseline(answered(&naive, from_s, to_s))
    };
    Ok(vec![
        Measure::at_most("attempts_per_request", attempts(&full), Unit::Ratio, 1.1)
            .with_baseline(attempts(&naive)),
        answered_between("answered_third_failing", THIRD_FAILS_S, ALL_FAIL_S),
        answered_between("answered_first_2_s_after", HEALTHY_S, HEALTHY_S + 2.0),
        answered_between("answered_later", HEALTHY_S + 2.0, RUN_END_S),
    ])
}

async fn run_fleet(is_naive: bool) -> Vec<EndedRequest> {
    let fleet = Fleet::new(is_naive);
    let ended = Arc::new(Mutex::new(Vec::new()));
    let mut rng = Rng::with_seed(3);
    spawn(inject_failures(Arc::clone(&fleet))).detach();
    let send = |rng: &mut Rng, sent_s: f64| {
        let (fleet, ended, run) = (
            Arc::clone(&fleet),
            Arc::clone(&ended),
            random_run_time(rng, RUN_MS),
        );
        let at = rng.usize(0..INSTANCES_PER_ZONE);
        spawn(async move {
            let mut call = fleet.call(at, WorkClass::Short, run, DEADLINE_MS).await;
            // The client follows the advice when to retry, but only once.
            if let Some(wait_ms) = call.retry_after_ms {
                let attempts = call.attempts;
                sleep_ms(wait_ms).await;
                call = fleet.call(at, WorkClass::Short, run, DEADLINE_MS).await;
                call.attempts += attempts;
            }
            let mut ended = ended.lock().unwrap_or_else(PoisonError::into_inner);
            ended.push(EndedRequest {
                sent_s,
                attempts: call.attempts,
                answered: call.answered,
            });
        })
        .detach();
    };
    poisson_arrivals(
        Duration::from_secs_f64(RUN_END_S),
        &mut rng,
        |_| REQUESTS_PER_S,
        send,
    )
    .await;
    sleep_ms(2 * DEADLINE_MS).await;
    std::mem::take(&mut *ended.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Makes backend servers fail and recover at the times of the case.
async fn inject_failures(fleet: Arc<Fleet>) {
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
