//! Sizes and run times learned for each workspace and job name.

use {
    crate::Config,
    hdrhistogram::Histogram,
    ragwortreel_model::Resources,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Most (workspace, job name) pairs that are remembered; the least recently used is dropped. About 8 KB each.
const MAX_ESTIMATES: usize = 2_048;
/// Samples after which a histogram is replaced, so that old behaviour is forgotten.
const WINDOW: u64 = 1_024;
/// Samples of a new histogram from which on the previous one is not used.
const WARM: u64 = 64;
/// Reports before a size is derived from them.
const MIN_SIZE_SAMPLES: u64 = 16;
/// Finished runs before a run time is derived from them.
const MIN_RUN_SAMPLES: u64 = 3;
/// Samples between two derivations; a derivation reads the whole histogram.
const DERIVE_EVERY: u64 = 16;
/// Processor reservations are multiples of this many thousandths of a core, which keeps distinct sizes few.
const CPU_QUANTUM: u64 = 50;
/// Memory reservations are multiples of this many MiB.
const MEMORY_QUANTUM_MIB: u64 = 64;

/// Samples of one quantity.
#[derive(Debug, Clone)]
struct Samples {
    recent: Histogram<u32>,
    older: Option<Histogram<u32>>,
}

impl Samples {
    fn new() -> Self {
        // One significant digit bounds the error to 6% at 64 bytes for each power of two.
        let recent = Histogram::new(1).expect("one significant digit is valid");
        Self {
            recent,
            older: None,
        }
    }

    fn record(&mut self, value: u64) {
        if self.recent.len() >= WINDOW {
            let full = std::mem::replace(&mut self.recent, Self::new().recent);
            self.older = Some(full);
        }
        // An auto-resizing histogram refuses only values that exceed the address space.
        let _ = self.recent.record(value.max(1));
    }

    fn quantile(&self, quantile: f64, least: u64) -> Option<u64> {
        let usable = self.older.as_ref().filter(|_| self.recent.len() < WARM);
        let histogram = usable.unwrap_or(&self.recent);
        (histogram.len() >= least).then(|| histogram.value_at_quantile(quantile))
    }
}

/// What is known about the tasks of one workspace and job name.
#[derive(Debug, Clone)]
struct Estimate {
    cpu: Samples,
    memory: Samples,
    run_time: Samples,
    reports: u64,
    size: Option<(u64, u64)>,
    run_time_ms: Option<u64>,
    last_use: u64,
}

/// Workspace index and job name.
pub type EstimateKey = (u32, Arc<str>);

/// Everything that was learned in a pool.
#[derive(Debug, Clone, Default)]
pub struct Estimates {
    known: BTreeMap<EstimateKey, Estimate>,
    by_use: BTreeSet<(u64, EstimateKey)>,
    uses: u64,
}

/// Whether two values differ by more than an eighth; smaller changes do not move queued work.
const fn differs(old: u64, new: u64) -> bool {
    old.abs_diff(new) > old / 8
}

impl Estimates {
    fn entry(&mut self, key: &EstimateKey) -> &mut Estimate {
        self.uses += 1;
        let uses = self.uses;
        if let Some(known) = self.known.get(key) {
            self.by_use.remove(&(known.last_use, key.clone()));
        } else if self.known.len() >= MAX_ESTIMATES
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.known.remove(&oldest);
        }
        self.by_use.insert((uses, key.clone()));
        let estimate = self.known.entry(key.clone()).or_insert_with(|| Estimate {
            cpu: Samples::new(),
            memory: Samples::new(),
            run_time: Samples::new(),
            reports: 0,
            size: None,
            run_time_ms: None,
            last_use: uses,
        });
        estimate.last_use = uses;
        estimate
    }

    /// Records a usage report; returns whether the derived size changed.
    pub fn record_use(&mut self, key: &EstimateKey, granted: &Resources, used: &Resources) -> bool {
        // A task at its grant may be throttled, so its true need is not known; the sample grows by a quarter.
        let uncapped = |used: u64, granted: u64| {
            if used >= granted {
                used + used / 4
            } else {
                used
            }
        };
        let estimate = self.entry(key);
        let cpu = uncapped(used.milli_cores, granted.milli_cores);
        let memory = uncapped(used.memory_mib, granted.memory_mib);
        estimate.cpu.record(cpu);
        estimate.memory.record(memory);
        estimate.reports += 1;
        if !estimate.reports.is_multiple_of(DERIVE_EVERY) {
            return false;
        }
        let cpu = estimate.cpu.quantile(0.95, MIN_SIZE_SAMPLES);
        let memory = estimate.memory.quantile(0.95, MIN_SIZE_SAMPLES);
        let Some(size) = cpu.zip(memory) else {
            return false;
        };
        let old = estimate.size.unwrap_or((0, 0));
        let changed = differs(old.0, size.0) || differs(old.1, size.1);
        if changed {
            estimate.size = Some(size);
        }
        changed
    }

    /// Records a finished run; returns whether the derived run time changed.
    pub fn record_run(&mut self, key: &EstimateKey, run_time_ms: u64) -> bool {
        let estimate = self.entry(key);
        estimate.run_time.record(run_time_ms);
        let Some(new) = estimate.run_time.quantile(0.9, MIN_RUN_SAMPLES) else {
            return false;
        };
        let changed = differs(estimate.run_time_ms.unwrap_or(0), new);
        if changed {
            estimate.run_time_ms = Some(new);
        }
        changed
    }

    /// Size to reserve for a task of the declared size.
    pub fn size(&self, key: &EstimateKey, declared: &Resources, cfg: &Config) -> Resources {
        let Some((cpu, memory)) = self.known.get(key).and_then(|known| known.size) else {
            return *declared;
        };
        let bounded = |learned: u64, declared: u64, quantum: u64| {
            let floor = (declared.saturating_mul(cfg.min_size_percent) / 100).max(1);
            let limit = (declared.saturating_mul(cfg.max_size_percent) / 100).max(floor);
            learned.next_multiple_of(quantum).clamp(floor, limit)
        };
        Resources {
            milli_cores: bounded(cpu, declared.milli_cores, CPU_QUANTUM),
            memory_mib: bounded(memory, declared.memory_mib, MEMORY_QUANTUM_MIB),
            accelerators: declared.accelerators,
        }
    }

    /// Learned run time in ms (90th percentile).
    pub fn run_time_ms(&self, key: &EstimateKey) -> Option<u64> {
        self.known.get(key).and_then(|known| known.run_time_ms)
    }
}

/// Rounds a run time up to a quarter of its power of two, which keeps distinct run times few.
pub fn round_run_time(ms: u64) -> u64 {
    let step = 1 << ms.max(4).ilog2().saturating_sub(2);
    ms.max(1).checked_next_multiple_of(step).unwrap_or(ms)
}
