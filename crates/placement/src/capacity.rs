//! Index of workers by free capacity.
//!
//! Workers are kept in cells of a grid: free accelerators, and free processors and memory in steps of a quarter of
//! each power of two. Bitmaps name the cells in use, so a search walks cells and not workers. Inside a cell the
//! workers are ordered by what is free, and a search jumps over all workers with the same unsuitable amounts at once.

#[cfg(test)]
mod tests;

use {ragwortreel_model::Resources, std::collections::BTreeSet};

/// Free accelerators from which on all workers share the last level.
const ACCELERATOR_LEVELS: usize = 9;
/// Levels of processors and of memory; one bit of a word each.
const LEVELS: usize = 64;
/// Width of the lowest processor levels, in thousandths of a core.
const CPU_STEP: u64 = 125;
/// Width of the lowest memory levels, in MiB.
const MEMORY_STEP: u64 = 128;

/// Order in which a search meets workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchOrder {
    /// Least free capacity first.
    LeastFree,
    /// Most free capacity first; workers with few free accelerators still come before those with many.
    MostFree,
}

/// How a search goes on after a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Visit {
    /// With the next worker.
    Next,
    /// With the first worker of the next cell.
    NextCell,
    /// Not at all.
    Stop,
}

/// A worker in the index; the order of the fields is the order of the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    cell: u32,
    free: Resources,
    tie: u32,
    worker: u32,
}

/// Workers ordered by free capacity.
#[derive(Debug, Clone)]
pub struct CapacityIndex {
    entries: BTreeSet<Entry>,
    cpu_bits: [u64; ACCELERATOR_LEVELS],
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

/// Step of an amount: exact up to four units, then four steps to each power of two.
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
        level(amount.milli_cores / CPU_STEP),
        level(amount.memory_mib / MEMORY_STEP),
    )
}

fn cell_number((accelerators, cpu, memory): (usize, usize, usize)) -> u32 {
    u32::try_from((accelerators * LEVELS + cpu) * LEVELS + memory).unwrap_or(u32::MAX)
}

/// Takes the next set bit in search order.
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
    fn entry(worker: u32, tie: u32, free: Resources) -> Entry {
        let cell = cell_number(levels(&free));
        Entry {
            cell,
            free,
            tie,
            worker,
        }
    }

    /// Adds a worker; `tie` orders workers with equal free capacity.
    pub fn insert(&mut self, worker: u32, tie: u32, free: Resources) {
        let (accelerators, cpu, memory) = levels(&free);
        self.entries.insert(Self::entry(worker, tie, free));
        self.cpu_bits[accelerators] |= 1 << cpu;
        self.memory_bits[accelerators][cpu] |= 1 << memory;
    }

    /// Removes a worker that was added with the same arguments.
    pub fn remove(&mut self, worker: u32, tie: u32, free: Resources) {
        let entry = Self::entry(worker, tie, free);
        self.entries.remove(&entry);
        let (first, last) = cell_bounds(entry.cell, Resources::ZERO);
        if self.entries.range(first..=last).next().is_some() {
            return;
        }
        let (accelerators, cpu, memory) = levels(&free);
        self.memory_bits[accelerators][cpu] &= !(1 << memory);
        if self.memory_bits[accelerators][cpu] == 0 {
            self.cpu_bits[accelerators] &= !(1 << cpu);
        }
    }

    /// Calls `f` with workers that have room for `need`, until it stops the search.
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
                    let cell = cell_number((accelerators, cpu, memory));
                    let flow = match order {
                        SearchOrder::LeastFree => self.visit_cell(cell, need, f),
                        SearchOrder::MostFree => self.visit_cell_backwards(cell, need, f),
                    };
                    if flow == Visit::Stop {
                        return;
                    }
                }
            }
        }
    }

    fn visit_cell(
        &self,
        cell: u32,
        need: &Resources,
        f: &mut dyn FnMut(u32, &Resources) -> Visit,
    ) -> Visit {
        let (first, last) = cell_bounds(cell, *need);
        let mut iter = self.entries.range(first..=last);
        while let Some(entry) = iter.next() {
            if need.fits_in(&entry.free) {
                match f(entry.worker, &entry.free) {
                    Visit::Next => continue,
                    flow => return flow,
                }
            }
            let mut target = entry.free;
            if target.memory_mib < need.memory_mib {
                target.memory_mib = need.memory_mib;
            }
            target.accelerators = need.accelerators;
            iter = self.entries.range(cell_bounds(cell, target).0..=last);
        }
        Visit::NextCell
    }

    fn visit_cell_backwards(
        &self,
        cell: u32,
        need: &Resources,
        f: &mut dyn FnMut(u32, &Resources) -> Visit,
    ) -> Visit {
        let (first, last) = cell_bounds(cell, *need);
        let mut iter = self.entries.range(first..=last).rev();
        while let Some(entry) = iter.next() {
            if need.fits_in(&entry.free) {
                match f(entry.worker, &entry.free) {
                    Visit::Next => continue,
                    flow => return flow,
                }
            }
            let mut target = entry.free;
            if target.memory_mib < need.memory_mib {
                target.memory_mib = 0;
            }
            target.accelerators = 0;
            let end = cell_bounds(cell, target).0;
            if end <= first {
                break;
            }
            iter = self.entries.range(first..end).rev();
        }
        Visit::NextCell
    }
}

/// First possible entry of a cell with at least `free`, and last possible entry of the cell.
const fn cell_bounds(cell: u32, free: Resources) -> (Entry, Entry) {
    let first = Entry {
        cell,
        free,
        tie: 0,
        worker: 0,
    };
    let most = Resources::new(u64::MAX, u64::MAX, u64::MAX);
    let last = Entry {
        cell,
        free: most,
        tie: u32::MAX,
        worker: u32::MAX,
    };
    (first, last)
}
