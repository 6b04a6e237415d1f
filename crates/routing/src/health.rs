//! Health of a backend server: ejection after consecutive failures, slow start after recovery, and a slot limit that
//! adapts to latency.

use rand::Rng;

/// Consecutive failures that eject a backend server.
pub const EJECT_AFTER_FAILURES: u32 = 3;
/// Duration of the first ejection before jitter, in ms; doubles with each failed probe.
const EJECT_MS: u64 = 1_000;
/// Maximum duration of an ejection before jitter, in ms.
const MAX_EJECT_MS: u64 = 15_000;
/// Maximum time from the recovery of a backend server to the next probe of each ejected one of the same service, in ms.
const REPROBE_MS: u64 = 500;
/// Maximum time until the next probe while all backend servers of a service are ejected, in ms. A longer wait would
/// protect nothing and only delay the recovery of the service.
const OUTAGE_PROBE_MS: u64 = 1_000;
/// Limit at which the slow start ends even if the share is larger, in slots.
const SLOW_START_MAX_SLOTS: u32 = 1_024;

/// Average latency, relative to the route's mean, above which the limit shrinks.
const TOLERATED_LATENCY_RATIO: f64 = 1.5;
/// Upper bound of a single latency ratio, so that one straggler among fast requests does not shrink the limit.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Weight of one sample in the average latency ratio.
const RATIO_WEIGHT: f64 = 0.1;
/// Growth of the limit with each success at a tolerated latency, as a fraction of the share.
const GROWTH_PER_SUCCESS: f64 = 0.02;
/// Growth of the limit per ms, as a fraction of the share. Without it, a backend server that gets no requests because
/// of its small limit would never be measured again.
const GROWTH_PER_MS: f64 = 0.000_05;
/// Smallest fraction of the share to which latency shrinks the limit.
const MIN_LIMIT_FRACTION: f64 = 0.1;

/// Phase of the failure handling of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Healthy {
        failures: u32,
    },
    /// Gets no requests until `until_ms`, then one probe at a time.
    Ejected {
        until_ms: u64,
        previous_ejections: u32,
    },
    /// The limit grows by one slot after every `slots` successes.
    SlowStart {
        slots: u32,
        successes: u32,
        previous_ejections: u32,
    },
}

/// Health and adaptive slot limit of a backend server.
#[derive(Debug)]
pub struct Health {
    phase: Phase,
    /// Moving average of the latency relative to the route's mean.
    latency_ratio: f64,
    /// Fraction of the share that the latency allows.
    limit_fraction: f64,
}

impl Health {
    pub fn new() -> Self {
        Self {
            phase: Phase::Healthy { failures: 0 },
            latency_ratio: 1.0,
            limit_fraction: 1.0,
        }
    }

    /// Slots that may be in use now, out of a share of `share` slots.
    pub fn allowed_slots(&self, now_ms: u64, share: u32) -> u32 {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the fraction is between 0 and 1"
        )]
        let by_latency = ((f64::from(share) * self.limit_fraction).round() as u32).max(1);
        let by_phase = match self.phase {
            Phase::Healthy { .. } => share,
            Phase::Ejected { until_ms, .. } => u32::from(now_ms >= until_ms),
            Phase::SlowStart { slots, .. } => slots,
        };
        share.min(by_latency).min(by_phase)
    }

    pub fn is_ejected(&self) -> bool {
        matches!(self.phase, Phase::Ejected { .. })
    }

    /// Whether the allowed slots may change with time alone.
    pub fn is_recovering(&self) -> bool {
        self.is_ejected() || self.limit_fraction < 1.0
    }

    /// Time of the next probe, in ms; `None` unless ejected.
    pub fn probe_at_ms(&self) -> Option<u64> {
        match self.phase {
            Phase::Ejected { until_ms, .. } => Some(until_ms),
            _ => None,
        }
    }

    /// Records a success with its latency relative to the route's mean. Returns whether it ended an ejection.
    pub fn record_success(&mut self, now_ms: u64, ratio: f64) -> bool {
        self.latency_ratio += (ratio.min(MAX_SAMPLE_RATIO) - self.latency_ratio) * RATIO_WEIGHT;
        if self.latency_ratio > TOLERATED_LATENCY_RATIO {
            // The gradient is between 0.5 and 1, so a single success shrinks the limit by at most 10%.
            let gradient = (TOLERATED_LATENCY_RATIO / self.latency_ratio).max(0.5);
            self.limit_fraction =
                (self.limit_fraction * (0.8 + 0.2 * gradient)).max(MIN_LIMIT_FRACTION);
        } else {
            self.limit_fraction = (self.limit_fraction + GROWTH_PER_SUCCESS).min(1.0);
        }
        let is_probe = matches!(self.phase, Phase::Ejected { until_ms, .. } if now_ms >= until_ms);
        self.phase = match self.phase {
            Phase::Healthy { .. } => Phase::Healthy { failures: 0 },
            // A request sent before the ejection says nothing about the present state.
            ejected @ Phase::Ejected { .. } if !is_probe => ejected,
            Phase::Ejected {
                previous_ejections, ..
            } => Phase::SlowStart {
                slots: 1,
                successes: 0,
                previous_ejections,
            },
            Phase::SlowStart { slots, .. } if slots >= SLOW_START_MAX_SLOTS => {
                Phase::Healthy { failures: 0 }
            }
            Phase::SlowStart {
                slots,
                successes,
                previous_ejections,
            } if successes + 1 < slots => Phase::SlowStart {
                slots,
                successes: successes + 1,
                previous_ejections,
            },
            Phase::SlowStart {
                slots,
                previous_ejections,
                ..
            } => Phase::SlowStart {
                slots: slots + 1,
                successes: 0,
                previous_ejections,
            },
        };
        is_probe
    }

    /// Grows the limit with time; returns whether latency had reduced it.
    pub fn grow_limit(&mut self, passed_ms: f64) -> bool {
        let was_limited = self.limit_fraction < 1.0;
        self.limit_fraction = (self.limit_fraction + passed_ms * GROWTH_PER_MS).min(1.0);
        was_limited
    }

    /// Ends the slow start once its limit exceeds the share.
    pub fn end_slow_start(&mut self, share: u32) {
        if matches!(self.phase, Phase::SlowStart { slots, .. } if slots > share) {
            self.phase = Phase::Healthy { failures: 0 };
        }
    }

    /// Records a failure. Returns whether it ejected the backend server; a failed probe of an ejected one does not
    /// count.
    pub fn record_failure(&mut self, now_ms: u64, rng: &mut impl Rng) -> bool {
        match self.phase {
            Phase::Healthy { failures } if failures + 1 < EJECT_AFTER_FAILURES => {
                self.phase = Phase::Healthy {
                    failures: failures + 1,
                };
                false
            }
            Phase::Healthy { .. } => {
                self.eject(now_ms, 0, rng);
                true
            }
            Phase::SlowStart {
                previous_ejections, ..
            } => {
                self.eject(now_ms, previous_ejections + 1, rng);
                true
            }
            // Only a failed probe extends the ejection, not the late failure of a request sent before it.
            Phase::Ejected {
                until_ms,
                previous_ejections,
            } if now_ms >= until_ms => {
                self.eject(now_ms, previous_ejections + 1, rng);
                false
            }
            Phase::Ejected { .. } => false,
        }
    }

    /// Ejects the backend server for 0.5 to 1.5 times the nominal time, so that instances do not probe simultaneously.
    fn eject(&mut self, now_ms: u64, previous_ejections: u32, rng: &mut impl Rng) {
        let nominal_ms = (EJECT_MS << previous_ejections.min(10)).min(MAX_EJECT_MS);
        let wait_ms = rng.random_range(nominal_ms / 2..=nominal_ms * 3 / 2);
        self.phase = Phase::Ejected {
            until_ms: now_ms + wait_ms,
            previous_ejections,
        };
    }

    /// Schedules a probe within [`REPROBE_MS`], because another backend server of the service has recovered.
    pub fn probe_soon(&mut self, now_ms: u64, rng: &mut impl Rng) {
        self.probe_by(now_ms + rng.random_range(0..=REPROBE_MS));
    }

    /// Schedules a probe within [`OUTAGE_PROBE_MS`], because all backend servers of the service are ejected.
    pub fn probe_in_outage(&mut self, now_ms: u64, rng: &mut impl Rng) {
        self.probe_by(now_ms + rng.random_range(OUTAGE_PROBE_MS / 2..=OUTAGE_PROBE_MS));
    }

    fn probe_by(&mut self, at_ms: u64) {
        if let Phase::Ejected { until_ms, .. } = &mut self.phase {
            *until_ms = (*until_ms).min(at_ms);
        }
    }
}
