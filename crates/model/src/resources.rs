//! Resource amounts: processor cores, memory and accelerators.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::ops::{Add, AddAssign},
};

/// Resource amounts, such as the capacity of a worker or the request of a task.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{milli_cores} milli-cores, {memory_mib} MiB, {accelerators} accelerators")]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processor cores in thousandths.
    pub milli_cores: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Number of whole accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl Resources {
    /// Most of each resource that one worker can have. The sum over a hundred thousand workers, also in percent, is
    /// below 2^64.
    pub const MAX_PER_WORKER: u64 = 1 << 40;

    /// Zero of every resource.
    pub const ZERO: Self = Self {
        milli_cores: 0,
        memory_mib: 0,
        accelerators: 0,
    };

    /// Creates an amount from thousandths of a core, MiB of memory and whole accelerators.
    #[must_use]
    pub const fn new(milli_cores: u64, memory_mib: u64, accelerators: u64) -> Self {
        Self {
            milli_cores,
            memory_mib,
            accelerators,
        }
    }

    /// Applies a function to each resource.
    #[must_use]
    pub fn map(&self, function: impl Fn(u64) -> u64) -> Self {
        self.zip_with(self, |amount, _| function(amount))
    }

    /// Applies a function to each resource and the same resource of `other`.
    #[must_use]
    pub fn zip_with(&self, other: &Self, function: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            milli_cores: function(self.milli_cores, other.milli_cores),
            memory_mib: function(self.memory_mib, other.memory_mib),
            accelerators: function(self.accelerators, other.accelerators),
        }
    }

    /// Whether a worker can have these resources; see [`Self::MAX_PER_WORKER`].
    #[must_use]
    pub const fn is_worker_capacity(&self) -> bool {
        self.milli_cores <= Self::MAX_PER_WORKER
            && self.memory_mib <= Self::MAX_PER_WORKER
            && self.accelerators <= Self::MAX_PER_WORKER
    }

    /// Whether every resource is at most the same resource of `available`.
    #[must_use]
    pub const fn fits_in(&self, available: &Self) -> bool {
        self.milli_cores <= available.milli_cores
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
    }

    /// Subtracts each resource; `None` when any would become negative.
    #[must_use]
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            milli_cores: self.milli_cores.checked_sub(other.milli_cores)?,
            memory_mib: self.memory_mib.checked_sub(other.memory_mib)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
        })
    }

    /// Subtracts each resource; negative differences become 0.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            milli_cores: self.milli_cores.saturating_sub(other.milli_cores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Multiplies each resource by `count`; `None` on overflow.
    #[must_use]
    pub fn checked_mul(&self, count: u64) -> Option<Self> {
        Some(Self {
            milli_cores: self.milli_cores.checked_mul(count)?,
            memory_mib: self.memory_mib.checked_mul(count)?,
            accelerators: self.accelerators.checked_mul(count)?,
        })
    }

    /// Dominant share: the largest fraction of `total` over all resources, in millionths.
    ///
    /// A resource that `total` has none of is ignored.
    #[must_use]
    pub fn dominant_share_ppm(&self, total: &Self) -> u64 {
        let ppm = |used: u64, total: u64| {
            (used.saturating_mul(1_000_000))
                .checked_div(total)
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
