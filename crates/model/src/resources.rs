//! Amounts of processor time, memory and accelerators.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::ops::{Add, AddAssign},
};

/// Processors, memory and accelerators of a worker, or needed by a task.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{milli_cores} milli-cores, {memory_mib} MiB, {accelerators} accelerators")]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Thousandths of a core.
    pub milli_cores: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl Resources {
    /// No resources at all.
    pub const ZERO: Self = Self {
        milli_cores: 0,
        memory_mib: 0,
        accelerators: 0,
    };

    /// Makes an amount.
    #[must_use]
    pub const fn new(milli_cores: u64, memory_mib: u64, accelerators: u64) -> Self {
        Self {
            milli_cores,
            memory_mib,
            accelerators,
        }
    }

    /// Whether every part is at most the same part of `room`.
    #[must_use]
    pub const fn fits_in(&self, room: &Self) -> bool {
        self.milli_cores <= room.milli_cores
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// Difference, or `None` when any part would be negative.
    #[must_use]
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            milli_cores: self.milli_cores.checked_sub(other.milli_cores)?,
            memory_mib: self.memory_mib.checked_sub(other.memory_mib)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// Difference with negative parts as zero.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            milli_cores: self.milli_cores.saturating_sub(other.milli_cores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The same amount `count` times, or `None` on overflow.
    #[must_use]
    pub fn checked_mul(&self, count: u64) -> Option<Self> {
        Some(Self {
            milli_cores: self.milli_cores.checked_mul(count)?,
            memory_mib: self.memory_mib.checked_mul(count)?,
            accelerators: self.accelerators.checked_mul(count)?,
        })
    }

    /// Largest share that any part takes of the same part of `total`, in millionths.
    #[must_use]
    pub fn dominant_share_ppm(&self, total: &Self) -> u64 {
        let ppm = |part: u64, whole: u64| {
            (part.saturating_mul(1_000_000))
                .checked_div(whole)
                .unwrap_or(0)
        };
        ppm(self.milli_cores, total.milli_cores)
            .max(ppm(self.memory_mib, total.memory_mib))
            .max(ppm(self.accelerators, total.accelerators))
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            milli_cores: self.milli_cores + other.milli_cores,
            memory_mib: self.memory_mib + other.memory_mib,
            accelerators: self.accelerators + other.accelerators,
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}
