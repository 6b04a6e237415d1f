//! Index of workers by free capacity.
//!
//! Workers are grouped into the buckets of a grid by their free accelerators, processors and memory. Processors and
//! memory have four levels for each power of two. Bitmaps mark the non-empty buckets, so that a search visits buckets
//! instead of workers. The workers of a bucket are ordered by free capacity, and a search skips all workers with the
//! same insufficient amounts in one step.

#[cfg(test)]
mod tests;

use {ragwortreel_model::Resources, std::collections::BTreeSet};

/// Number of levels of free accelerators; workers with 8 or more share the last one.
const ACCELERATOR_LEVELS: usize = 9;
/// Number of levels of processors and of memory; each is one bit of a `u64`.
const LEVELS: usize = 64;
/// Width of the lowest processor levels, in thousandths of a core.
const CPU_STEP_MILLI_CORES: u64 = 125;
/// Width of the lowest memory levels, in MiB.
const MEMORY_STEP_MIB: u64 = 128;

/// Order in which a search visits workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchOrder {
    /// Ascending free capacity.
    LeastFree,
    /// Descending free processors and memory. Workers with few free accelerators still come before those with many.
    MostFree,
}

/// How a search continues after a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Visit {
    /// Visit the next worker.
    Next,
    /// Skip the rest of the bucket.
    NextBucket,
    /// End the search.
    Stop,
}

/// A worker in the index. The index is sorted by the fields in this order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    bucket: u32,
    free: Resources,
    tie_breaker: u32,
    worker: u32,
}

/// Workers, searchable by free capacity.
#[derive(Debug, Clone)]
pub struct CapacityIndex {
    entries: BTreeSet<Entry>,
    /// Processor levels in use, for each level of accelerators.
    cpu_bits: [u64; ACCELERATOR_LEVELS],
    /// Memory levels in use, for each level of accelerators and of processors.
    memory_bits: Vec<[u64; LEVELS]>,
}

impl Default for CapacityIndex {
    fn default() -> Self {
        Self {
            entries: BTreeSet::new(),
            cpu_bits: [0; ACCELERATOR_LEVELS],
            memory_bits: vec![[0; LEVELS]; ACCELERATOR_LEVELS],
        }
    }
}

/// Level of an amount: one per unit below four units, then four per power of two.
fn level(units: u64) -> usize {
    if units < 4 {
        return usize::try_from(units).unwrap_or(0);
    }
    let octave = units.ilog2() - 2;
    let quarter = (units >> octave) & 3;
    let level = u64::from(octave) * 4 + 4 + quarter;
    usize::try_from(level).unwrap_or(LEVELS).min(LEVELS - 1)
}

fn levels(amount: &Resources) -> (usize, usize, usize) {
    let accelerators = usize::try_from(amount.accelerators).unwrap_or(usize::MAX);
    (
        accelerators.min(ACCELERATOR_LEVELS - 1),
        level(amount.milli_cores / CPU_STEP_MILLI_CORES),
        level(amount.memory_mib / MEMORY_STEP_MIB),
    )
}

fn bucket_number((accelerators, cpu, memory): (usize, usize, usize)) -> u32 {
    u32::try_from((accelerators * LEVELS + cpu) * LEVELS + memory).unwrap_or(u32::MAX)
}

/// Clears and returns the next set bit in search order.
fn take_bit(bits: &mut u64, order: SearchOrder) -> Option<usize> {
    if *bits == 0 {
        return None;
    }
    let bit = match order {
        SearchOrder::LeastFree => bits.trailing_zeros(),
        SearchOrder::MostFree => 63 - bits.leading_zeros(),
    };
    *bits &= !(1 << bit);
    Some(bit as usize)
}

impl CapacityIndex {
    fn entry(worker: u32, tie_breaker: u32, free: Resources) -> Entry {
        let bucket = bucket_number(levels(&free));
        Entry {
            bucket,
            free,
            tie_breaker,
            worker,
        }
    }

    /// Adds a worker; `tie_breaker` orders workers with equal free capacity.
    pub fn insert(&mut self, worker: u32, tie_breaker: u32, free: Resources) {
        let (accelerators, cpu, memory) = levels(&free);
        self.entries.insert(Self::entry(worker, tie_breaker, free));
        self.cpu_bits[accelerators] |= 1 << cpu;
        self.memory_bits[accelerators][cpu] |= 1 << memory;
    }

    /// Removes a worker; the arguments must equal those of the insertion.
    pub fn remove(&mut self, worker: u32, tie_breaker: u32, free: Resources) {
        let entry = Self::entry(worker, tie_breaker, free);
        self.entries.remove(&entry);
        let (first, last) = bucket_bounds(entry.bucket, Resources::ZERO);
        if self.entries.range(first..=last).next().is_some() {
            return;
        }
        let (accelerators, cpu, memory) = levels(&free);
        self.memory_bits[accelerators][cpu] &= !(1 << memory);
        if self.memory_bits[accelerators][cpu] == 0 {
            self.cpu_bits[accelerators] &= !(1 << cpu);
        }
    }

    /// Calls `f` with the workers whose free capacity suffices for `need`, until it ends the search.
    pub fn visit(
        &self,
        need: &Resources,
        order: SearchOrder,
        f: &mut dyn FnMut(u32, &Resources) -> Visit,
    ) {
        let (min_accelerators, min_cpu, min_memory) = levels(need);
        for accelerators in min_accelerators..ACCELERATOR_LEVELS {
            let mut cpu_bits = self.cpu_bits[accelerators] & (u64::MAX << min_cpu);
            while let Some(cpu) = take_bit(&mut cpu_bits, order) {
                let row = self.memory_bits[accelerators][cpu];
                let mut memory_bits = row & (u64::MAX << min_memory);
                while let Some(memory) = take_bit(&mut memory_bits, order) {
                    let bucket = bucket_number((accelerators, cpu, memory));
                    let flow = match order {
                        SearchOrder::LeastFree => self.visit_bucket(bucket, need, f),
                        SearchOrder::MostFree => self.visit_bucket_backwards(bucket, need, f),
                    };
                    if flow == Visit::Stop {
                        return;
                    }
                }
            }
        }
    }

    fn visit_bucket(
        &self,
        bucket: u32,
        need: &Resources,
        f: &mut dyn FnMut(u32, &Resources) -> Visit,
    ) -> Visit {
        let (first, last) = bucket_bounds(bucket, *need);
        let mut iter = self.entries.range(first..=last);
        while let Some(entry) = iter.next() {
            if need.fits_in(&entry.free) {
                match f(entry.worker, &entry.free) {
                    Visit::Next => continue,
                    flow => return flow,
                }
            }
            // The entries from this one up to `target` have the same processors and too little memory or too few
            // accelerators.
            let mut target = entry.free;
            if target.memory_mib < need.memory_mib {
                target.memory_mib = need.memory_mib;
            }
            target.accelerators = need.accelerators;
            iter = self.entries.range(bucket_bounds(bucket, target).0..=last);
        }
        Visit::NextBucket
    }

    fn visit_bucket_backwards(
        &self,
        bucket: u32,
        need: &Resources,
        f: &mut dyn FnMut(u32, &Resources) -> Visit,
    ) -> Visit {
        let (first, last) = bucket_bounds(bucket, *need);
        let mut iter = self.entries.range(first..=last).rev();
        while let Some(entry) = iter.next() {
            if need.fits_in(&entry.free) {
                match f(entry.worker, &entry.free) {
                    Visit::Next => continue,
                    flow => return flow,
                }
            }
            // The entries from `target` up to this one have the same processors and no more of the resource that this
            // one lacks.
            let mut target = entry.free;
            if target.memory_mib < need.memory_mib {
                target.memory_mib = 0;
            }
            target.accelerators = 0;
            let end = bucket_bounds(bucket, target).0;
            if end <= first {
                break;
            }
            iter = self.entries.range(first..end).rev();
        }
        Visit::NextBucket
    }
}

/// Lower bound of the entries of a bucket from `free` on, and upper bound of all entries of the bucket.
const fn bucket_bounds(bucket: u32, free: Resources) -> (Entry, Entry) {
    let first = Entry {
        bucket,
        free,
        tie_breaker: 0,
        worker: 0,
    };
    let most = Resources::new(u64::MAX, u64::MAX, u64::MAX);
    let last = Entry {
        bucket,
        free: most,
        tie_breaker: u32::MAX,
        worker: u32::MAX,
    };
    (first, last)
}
