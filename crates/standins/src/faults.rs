//! Fault injection for all stand-ins.
//!
//! All kinds of stand-ins share one [`Faults`] type; each ignores the faults that do not apply to it. Random faults
//! come from a seeded generator, so runs with the same seed and the same order of calls inject the same faults.

use {
    ragwortreel_model::Zone,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeSet,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

/// Denominator of shares in parts per million.
const PPM: u32 = 1_000_000;
/// Seed of injectors that are created without one, such as those of workers.
const DEFAULT_SEED: u64 = 20_261_204;

/// What callers observe during an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// Calls are refused and not executed.
    Refuse,
    /// Calls get no reply and are not executed.
    Silent,
}

/// Faults to inject; the default injects none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Latency added to each call, in ms.
    pub latency_ms: u64,
    /// Upper bound of the random latency added to each call on top of `latency_ms`, in ms.
    pub jitter_ms: u64,
    /// Outage of the whole service; `None` while it works.
    pub outage: Option<Outage>,
    /// Availability zones that are partitioned from the service: calls from them get no reply.
    pub cut_zones: BTreeSet<Zone>,
    /// Share of calls whose reply is lost after the call was executed, in parts per million.
    pub lost_answers_ppm: u32,
    /// Share of calls that are executed late while the caller gets no reply, in parts per million. Applies to writes to
    /// the platform and to all commands to a worker.
    pub late_writes_ppm: u32,
    /// Upper bound of the random delay until a late call is executed, in ms.
    pub late_write_ms: u64,
    /// Share of responses that are truncated in the middle of their body, in parts per million. HTTP only.
    pub truncated_ppm: u32,
    /// Stops all replies on the connections that are open when this is set; later connections work. HTTP only.
    ///
    /// A one-time action: it reads back as `false`.
    pub silence_open_connections: bool,
    /// Whether every run that a worker accepts fails to start.
    pub fail_starts: bool,
    /// Share of requests that a backend server answers with status 500, in parts per million.
    pub failed_requests_ppm: u32,
    /// Service time added to each request of a backend server, in ms; the request holds its slot meanwhile.
    pub slow_ms: u64,
}

/// Fault settings of one stand-in and the random generator that applies them.
#[derive(Debug)]
pub struct FaultInjector {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    rng: fastrand::Rng,
    /// Number of times that open connections were silenced.
    silence_count: u64,
}

/// Faults to inject into one call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FaultDecision {
    /// Latency before the call is executed, in ms.
    pub delay_ms: u64,
    /// Outage or partition that stops the call from being executed.
    pub outage: Option<Outage>,
    /// Whether the reply is lost after the call was executed.
    pub lose_reply: bool,
    /// Delay after which a late call is executed, in ms; `None` if it is executed in time.
    pub late_by_ms: Option<u64>,
    /// Whether a backend server answers the request with status 500.
    pub fail: bool,
}

impl Default for FaultInjector {
    fn default() -> Self {
        Self::new(DEFAULT_SEED)
    }
}

impl FaultInjector {
    /// Creates an injector without faults; the seed determines the random faults.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let state = State {
            faults: Faults::default(),
            rng: fastrand::Rng::with_seed(seed),
            silence_count: 0,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces all fault settings.
    pub fn set(&self, faults: Faults) {
        self.update(|old| *old = faults);
    }

    /// Changes the fault settings in place.
    pub fn update(&self, change: impl FnOnce(&mut Faults)) {
        let mut state = self.lock();
        change(&mut state.faults);
        // A one-time action on the connections that are open now, so the flag is reset.
        if std::mem::take(&mut state.faults.silence_open_connections) {
            state.silence_count += 1;
        }
    }

    /// Removes all faults.
    pub fn clear(&self) {
        self.set(Faults::default());
    }

    /// Returns a copy of the fault settings.
    #[must_use]
    pub fn current(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Returns how often open connections were silenced.
    ///
    /// A connection that was opened at a lower count must stay silent.
    #[must_use]
    pub fn silence_count(&self) -> u64 {
        self.lock().silence_count
    }

    /// Draws whether the next response is truncated in the middle of its body.
    #[must_use]
    pub fn should_truncate_response(&self) -> bool {
        let mut state = self.lock();
        let State { faults, rng, .. } = &mut *state;
        faults.truncated_ppm > 0 && rng.u32(0..PPM) < faults.truncated_ppm
    }

    /// Draws the faults of one call.
    ///
    /// `zone` is the availability zone of the caller; `None` is never partitioned.
    #[must_use]
    pub fn decide(&self, zone: Option<&Zone>) -> FaultDecision {
        let mut state = self.lock();
        let State { faults, rng, .. } = &mut *state;
        let mut draw = |ppm: u32| ppm > 0 && rng.u32(0..PPM) < ppm;
        let lose_reply = draw(faults.lost_answers_ppm);
        let late = draw(faults.late_writes_ppm);
        let fail = draw(faults.failed_requests_ppm);
        let is_partitioned = zone.is_some_and(|zone| faults.cut_zones.contains(zone));
        FaultDecision {
            delay_ms: faults.latency_ms + rng.u64(0..=faults.jitter_ms),
            outage: faults.outage.or(is_partitioned.then_some(Outage::Silent)),
            lose_reply,
            late_by_ms: late.then(|| rng.u64(0..=faults.late_write_ms)),
            fail,
        }
    }
}
