//! Fault injection switches, shared by all stand-ins.
//!
//! One set of switches serves every role; a role uses those that concern it. Random faults come from a seeded
//! generator, so a run with the same seed and the same order of calls meets the same faults.

use {
    ragwortreel_model::Zone,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeSet,
        sync::{Mutex, MutexGuard, PoisonError},
    },
};

const PPM: u32 = 1_000_000;
const DEFAULT_SEED: u64 = 20_261_204;

/// How an outage shows to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// Each call is refused at once.
    Refuse,
    /// Calls get no answer, and the work is not done.
    Silent,
}

/// The switches; the default has no faults.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time added to each call, in ms.
    pub latency_ms: u64,
    /// Most random time added to each call on top, in ms.
    pub jitter_ms: u64,
    /// Whether the service is down.
    pub outage: Option<Outage>,
    /// Zones whose calls do not reach the service.
    pub cut_zones: BTreeSet<Zone>,
    /// Share of calls whose answer is lost after they took effect, in millionths.
    pub lost_answers_ppm: u32,
    /// Share of writes that take effect late while their caller gets no answer, in millionths.
    pub late_writes_ppm: u32,
    /// Most time until a late write takes effect, in ms.
    pub late_write_ms: u64,
    /// Share of responses that are cut in the middle of their body, in millionths. HTTP only.
    pub truncated_ppm: u32,
    /// Whether connections that are open at the time of the switch stay silent from then on. HTTP only.
    pub silence_open_connections: bool,
    /// Whether a worker fails every run that it starts.
    pub fail_starts: bool,
    /// Share of requests that a backend server answers with status 500, in millionths.
    pub failed_requests_ppm: u32,
    /// Time added to each request of a backend server while it holds a slot, in ms.
    pub slow_ms: u64,
}

/// A set of switches with its random generator.
#[derive(Debug)]
pub struct FaultInjector {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    rng: fastrand::Rng,
    /// Raised each time that open connections are silenced.
    silence_count: u64,
}

/// What the switches decided for one call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FaultDecision {
    /// Time to wait before the work, in ms.
    pub delay_ms: u64,
    /// Whether the service is down or out of reach.
    pub outage: Option<Outage>,
    /// Whether the answer is lost after the work.
    pub lose_answer: bool,
    /// Time after which a write takes effect when it is late, in ms.
    pub late_by_ms: Option<u64>,
    /// Whether the request fails.
    pub fail: bool,
}

impl Default for FaultInjector {
    fn default() -> Self {
        Self::new(DEFAULT_SEED)
    }
}

impl FaultInjector {
    /// Makes switches without faults and seeds their generator.
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

    /// Replaces all switches.
    pub fn set(&self, faults: Faults) {
        self.update(|old| *old = faults);
    }

    /// Changes some switches.
    pub fn update(&self, change: impl FnOnce(&mut Faults)) {
        let mut state = self.lock();
        change(&mut state.faults);
        // The switch is an action: it concerns the connections that are open now and is off again afterwards.
        if std::mem::take(&mut state.faults.silence_open_connections) {
            state.silence_count += 1;
        }
    }

    /// Removes all faults.
    pub fn clear(&self) {
        self.set(Faults::default());
    }

    /// The switches as they are now.
    #[must_use]
    pub fn current(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Number of times that open connections were silenced.
    #[must_use]
    pub fn silence_count(&self) -> u64 {
        self.lock().silence_count
    }

    /// Decides whether the next response is cut in the middle of its body.
    #[must_use]
    pub fn should_truncate_response(&self) -> bool {
        let mut state = self.lock();
        let State { faults, rng, .. } = &mut *state;
        faults.truncated_ppm > 0 && rng.u32(0..PPM) < faults.truncated_ppm
    }

    /// Decides the faults of one call from a zone.
    #[must_use]
    pub fn decide(&self, zone: Option<&Zone>) -> FaultDecision {
        let mut state = self.lock();
        let State { faults, rng, .. } = &mut *state;
        let mut hit = |ppm: u32| ppm > 0 && rng.u32(0..PPM) < ppm;
        let lose_answer = hit(faults.lost_answers_ppm);
        let late = hit(faults.late_writes_ppm);
        let fail = hit(faults.failed_requests_ppm);
        let cut = zone.is_some_and(|zone| faults.cut_zones.contains(zone));
        FaultDecision {
            delay_ms: faults.latency_ms + rng.u64(0..=faults.jitter_ms),
            outage: faults.outage.or(cut.then_some(Outage::Silent)),
            lose_answer,
            late_by_ms: late.then(|| rng.u64(0..=faults.late_write_ms)),
            fail,
        }
    }
}
