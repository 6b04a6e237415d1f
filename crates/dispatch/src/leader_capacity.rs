//! How well an instance can do the work of a leader.

use serde::{Deserialize, Serialize};

/// Processor time that a leader needs, in cores: the slope of `docs/CAPACITY.md` at the design size.
const NEEDED_CORES: f64 = 0.25;
/// Bandwidth that a leader needs, in Mbit/s. The journal of a cell of 350 workers takes 20 Mbit/s, and a leader with less
/// falls behind for good.
const NEEDED_MBIT_S: f64 = 100.0;
/// Delay of a takeover by an instance that can do nothing, in ms. It is longer than all other delays together, so a weak
/// instance leads only where no strong one is left.
const WEAKNESS_DELAY_MS: f64 = 1_200.0;

/// Share of a leader's work that an instance can do, from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct LeaderCapacity(f64);

impl LeaderCapacity {
    /// Capacity of an instance with some processor time, in cores, and bandwidth, in Mbit/s.
    #[must_use]
    pub fn new(cores: f64, mbit_s: f64) -> Self {
        let share = (cores / NEEDED_CORES).min(mbit_s / NEEDED_MBIT_S);
        Self(share.clamp(0.0, 1.0))
    }

    /// Whether the instance can do all of a leader's work.
    #[must_use]
    pub fn is_sufficient(self) -> bool {
        self.0 >= 1.0
    }

    /// Time for which the instance leaves the lead to others, in ms.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the product is between 0 and the constant"
    )]
    pub(crate) fn delay_ms(self) -> u64 {
        ((1.0 - self.0) * WEAKNESS_DELAY_MS) as u64
    }
}
