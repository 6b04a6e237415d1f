//! Measured run times by workspace, service and route, and the classification of requests by them.

use {
    hdrhistogram::Histogram,
    ragwortreel_model::{ServiceName, WorkClass, Workspace},
    std::{collections::BTreeMap, sync::Arc},
};

/// Maximum number of routes with statistics of their own; further routes share those of their service.
const MAX_ROUTES: usize = 4_096;
/// Minimum number of samples for an estimate from measured run times; with fewer, the caller's hint is used. After
/// that many, the percentile is recalculated once per this number of samples.
const MIN_SAMPLES: u64 = 8;
/// Samples per window; only the current and the previous window are kept.
const WINDOW_SAMPLES: u64 = 256;
/// Maximum recorded run time, in ms; longer ones are recorded as this.
const MAX_RUN_MS: u64 = 24 * 3_600_000;
/// Weight of one sample in the moving average.
const MEAN_WEIGHT: f64 = 0.05;

/// Key of run-time statistics: a route of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteKey {
    pub workspace: Workspace,
    pub service: ServiceName,
    pub route: Arc<str>,
}

/// Run times of one route: the current and the previous window.
#[derive(Debug)]
struct RouteRunTimes {
    current: Histogram<u32>,
    previous: Option<Histogram<u32>>,
    mean_ms: f64,
    p90_ms: u64,
    samples: u64,
}

/// Estimated run time of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Mean run time, in ms.
    pub mean_ms: f64,
    /// 90th percentile of the run time, in ms.
    pub p90_ms: u64,
    /// Whether it comes from measurements and not from a hint.
    pub is_measured: bool,
}

/// Run-time statistics of all routes.
#[derive(Debug, Default)]
pub struct RunTimeStats {
    routes: BTreeMap<RouteKey, RouteRunTimes>,
}

impl RouteRunTimes {
    fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_RUN_MS, 1);
        Self {
            current: histogram().expect("the bounds are constants"),
            previous: None,
            mean_ms: 0.0,
            p90_ms: 0,
            samples: 0,
        }
    }

    fn record(&mut self, run_ms: u64) {
        self.current.saturating_record(run_ms.max(1));
        self.samples += 1;
        #[allow(clippy::cast_precision_loss, reason = "run times are below 2^52 ms")]
        let run = run_ms as f64;
        // With few samples the plain mean is more accurate than the moving average.
        #[allow(clippy::cast_precision_loss, reason = "sample counts are below 2^52")]
        let weight = MEAN_WEIGHT.max(1.0 / self.samples as f64);
        self.mean_ms += (run - self.mean_ms) * weight;
        if self.samples <= MIN_SAMPLES || self.samples.is_multiple_of(MIN_SAMPLES) {
            self.p90_ms = self.window().value_at_quantile(0.9);
        }
        if self.current.len() >= WINDOW_SAMPLES {
            let fresh = Histogram::new_from(&self.current);
            self.previous = Some(std::mem::replace(&mut self.current, fresh));
        }
    }

    /// Window for percentiles: the previous one until the current one is half full.
    fn window(&self) -> &Histogram<u32> {
        match &self.previous {
            Some(previous) if self.current.len() < WINDOW_SAMPLES / 2 => previous,
            _ => &self.current,
        }
    }
}

impl RunTimeStats {
    /// Records a run time, in ms.
    pub fn record(&mut self, key: &RouteKey, run_ms: u64) {
        if !self.routes.contains_key(key) {
            let is_full = self.routes.len() >= MAX_ROUTES;
            let key = if is_full {
                key.service_fallback()
            } else {
                key.clone()
            };
            self.routes.entry(key).or_insert_with(RouteRunTimes::new);
        }
        let times = match self.routes.get_mut(key) {
            Some(times) => Some(times),
            None => self.routes.get_mut(&key.service_fallback()),
        };
        if let Some(times) = times {
            times.record(run_ms);
        }
    }

    /// Estimates a request's run time; uses `hint_ms`, or 1 ms without a hint, until there are enough samples.
    pub fn estimate(&self, key: &RouteKey, hint_ms: Option<u64>) -> Estimate {
        let known = self.routes.get(key);
        let known = known.or_else(|| self.routes.get(&key.service_fallback()));
        match known.filter(|times| times.samples >= MIN_SAMPLES) {
            Some(times) => Estimate {
                mean_ms: times.mean_ms,
                p90_ms: times.p90_ms,
                is_measured: true,
            },
            None => Estimate {
                #[allow(clippy::cast_precision_loss, reason = "run times are below 2^52 ms")]
                mean_ms: hint_ms.unwrap_or(1) as f64,
                p90_ms: hint_ms.unwrap_or(1),
                is_measured: false,
            },
        }
    }
}

impl RouteKey {
    /// Key of the statistics shared by the routes of the service that have none of their own.
    fn service_fallback(&self) -> Self {
        Self {
            route: Arc::from(""),
            ..self.clone()
        }
    }
}

/// Class of a request, and whether it counts as long work in the slot limits.
///
/// Short and long requests change class according to the estimated run time. Urgent requests keep their priority in the
/// queue whatever their run time, but count as long work in the slot limits when the estimate is long.
pub fn classify(declared: WorkClass, estimate: Estimate, long_run_ms: u64) -> (WorkClass, bool) {
    let runs_long = estimate.p90_ms >= long_run_ms;
    // The lower bound is half the upper one, so that a route near a bound does not change class with each sample.
    let runs_short = estimate.is_measured && estimate.p90_ms < long_run_ms / 2;
    match declared {
        WorkClass::Urgent => (WorkClass::Urgent, runs_long),
        WorkClass::Short if runs_long => (WorkClass::Long, true),
        WorkClass::Short => (WorkClass::Short, false),
        WorkClass::Long if runs_short => (WorkClass::Short, false),
        WorkClass::Long => (WorkClass::Long, true),
    }
}
