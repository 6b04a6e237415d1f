//! Capacity of an instance for the work of a leader.

use serde::{Deserialize, Serialize};

/// Processor time that a leader needs at the design size, in cores; see the slope in `docs/CAPACITY.md`.
const REQUIRED_CORES: f64 = 0.25;
/// Bandwidth that a leader needs, in Mbit/s. The journal of a cell of 350 workers takes 20 Mbit/s, and a leader with
/// less never catches up.
const REQUIRED_MBIT_S: f64 = 100.0;
/// Takeover delay of an instance with capacity 0, in ms. It is longer than all other takeover delays together, so such
/// an instance leads only if none with full capacity is left.
const MAX_TAKEOVER_DELAY_MS: f64 = 1_200.0;

/// Share of a leader's work that an instance can do, from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct LeaderCapacity(f64);

impl LeaderCapacity {
    /// Capacity of an instance with the given processor time, in cores, and bandwidth, in Mbit/s.
    #[must_use]
    pub fn new(cores: f64, mbit_s: f64) -> Self {
        let share = (cores / REQUIRED_CORES).min(mbit_s / REQUIRED_MBIT_S);
        Self(share.clamp(0.0, 1.0))
    }

    /// Whether the instance can do all of a leader's work.
    #[must_use]
    pub fn is_sufficient(self) -> bool {
        self.0 >= 1.0
    }

    /// Takeover delay that gives instances with more capacity precedence, in ms.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the product is between 0 and the constant"
    )]
    pub(crate) fn takeover_delay_ms(self) -> u64 {
        ((1.0 - self.0) * MAX_TAKEOVER_DELAY_MS) as u64
    }
}
