//! Task sizes and run times, estimated from the history of each workspace and job name.

use {
    crate::Config,
    hdrhistogram::Histogram,
    ragwortreel_model::Resources,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Maximum number of estimates, each of about 8 KB; the least recently used one is evicted.
const MAX_ESTIMATES: usize = 2_048;
/// Samples after which a histogram is replaced, so that old samples expire.
const MAX_RECENT_SAMPLES: u64 = 1_024;
/// Samples that a new histogram needs before it is used instead of the previous one.
const MIN_RECENT_SAMPLES: u64 = 64;
/// Minimum usage reports for a size estimate.
const MIN_SIZE_SAMPLES: u64 = 16;
/// Minimum finished runs for a run-time estimate.
const MIN_RUN_SAMPLES: u64 = 3;
/// Usage reports between two updates of a size estimate; an update reads the whole histogram.
const REPORTS_PER_UPDATE: u64 = 16;
/// Unit to which processor estimates are rounded up, which limits the number of distinct sizes.
const CPU_QUANTUM_MILLI_CORES: u64 = 50;
/// Unit to which memory estimates are rounded up.
const MEMORY_QUANTUM_MIB: u64 = 64;

/// Recent samples of one quantity, in two histograms that rotate.
#[derive(Debug, Clone)]
struct Samples {
    recent: Histogram<u32>,
    previous: Option<Histogram<u32>>,
}

impl Samples {
    fn new() -> Self {
        // One significant digit bounds the error to 6% and takes 64 bytes for each power of two.
        let recent = Histogram::new(1).expect("one significant digit is valid");
        Self {
            recent,
            previous: None,
        }
    }

    fn record(&mut self, value: u64) {
        if self.recent.len() >= MAX_RECENT_SAMPLES {
            let full = std::mem::replace(&mut self.recent, Self::new().recent);
            self.previous = Some(full);
        }
        // An auto-resizing histogram rejects only values that exceed the address space.
        let _ = self.recent.record(value.max(1));
    }

    fn quantile(&self, quantile: f64, min_samples: u64) -> Option<u64> {
        let usable = self
            .previous
            .as_ref()
            .filter(|_| self.recent.len() < MIN_RECENT_SAMPLES);
        let histogram = usable.unwrap_or(&self.recent);
        (histogram.len() >= min_samples).then(|| histogram.value_at_quantile(quantile))
    }
}

/// Samples and estimates of the tasks of one workspace and job name. `size` is in millicores and MiB.
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

/// Estimates of a pool, with an order by last use for eviction.
#[derive(Debug, Clone, Default)]
pub struct Estimates {
    by_key: BTreeMap<EstimateKey, Estimate>,
    by_last_use: BTreeSet<(u64, EstimateKey)>,
    use_count: u64,
}

/// Returns whether two values differ by more than an eighth of the old one. Smaller changes are ignored, so that they
/// do not move queued jobs to other shapes.
const fn differs_significantly(old: u64, new: u64) -> bool {
    old.abs_diff(new) > old / 8
}

impl Estimates {
    fn entry(&mut self, key: &EstimateKey) -> &mut Estimate {
        self.use_count += 1;
        let use_count = self.use_count;
        if let Some(estimate) = self.by_key.get(key) {
            self.by_last_use.remove(&(estimate.last_use, key.clone()));
        } else if self.by_key.len() >= MAX_ESTIMATES
            && let Some((_, oldest)) = self.by_last_use.pop_first()
        {
            self.by_key.remove(&oldest);
        }
        self.by_last_use.insert((use_count, key.clone()));
        let estimate = self.by_key.entry(key.clone()).or_insert_with(|| Estimate {
            cpu: Samples::new(),
            memory: Samples::new(),
            run_time: Samples::new(),
            reports: 0,
            size: None,
            run_time_ms: None,
            last_use: use_count,
        });
        estimate.last_use = use_count;
        estimate
    }

    /// Records a usage report; returns whether the estimated size changed.
    pub fn record_usage(
        &mut self,
        key: &EstimateKey,
        allocated: &Resources,
        used: &Resources,
    ) -> bool {
        // A task that uses all of its allocated resources may be throttled, so its need is unknown. Raising the sample
        // by a quarter lets the estimate grow.
        let uncapped = |used: u64, allocated: u64| {
            if used >= allocated {
                used + used / 4
            } else {
                used
            }
        };
        let estimate = self.entry(key);
        let cpu = uncapped(used.milli_cores, allocated.milli_cores);
        let memory = uncapped(used.memory_mib, allocated.memory_mib);
        estimate.cpu.record(cpu);
        estimate.memory.record(memory);
        estimate.reports += 1;
        if !estimate.reports.is_multiple_of(REPORTS_PER_UPDATE) {
            return false;
        }
        let cpu = estimate.cpu.quantile(0.95, MIN_SIZE_SAMPLES);
        let memory = estimate.memory.quantile(0.95, MIN_SIZE_SAMPLES);
        let Some(size) = cpu.zip(memory) else {
            return false;
        };
        let old = estimate.size.unwrap_or((0, 0));
        let changed = differs_significantly(old.0, size.0) || differs_significantly(old.1, size.1);
        if changed {
            estimate.size = Some(size);
        }
        changed
    }

    /// Records the run time of a successful run; returns whether the estimated run time changed.
    pub fn record_run(&mut self, key: &EstimateKey, run_time_ms: u64) -> bool {
        let estimate = self.entry(key);
        estimate.run_time.record(run_time_ms);
        let Some(new) = estimate.run_time.quantile(0.9, MIN_RUN_SAMPLES) else {
            return false;
        };
        let changed = differs_significantly(estimate.run_time_ms.unwrap_or(0), new);
        if changed {
            estimate.run_time_ms = Some(new);
        }
        changed
    }

    /// Size to allocate to a task: the estimate (95th percentile of the usage) within the configured bounds of the
    /// declared size, or the declared size without an estimate. Accelerators are always those declared.
    pub fn size(&self, key: &EstimateKey, declared: &Resources, cfg: &Config) -> Resources {
        let Some((cpu, memory)) = self.by_key.get(key).and_then(|estimate| estimate.size) else {
            return *declared;
        };
        let bounded = |estimate: u64, declared: u64, quantum: u64| {
            let floor = (declared.saturating_mul(cfg.min_size_percent) / 100).max(1);
            let limit = (declared.saturating_mul(cfg.max_size_percent) / 100).max(floor);
            estimate.next_multiple_of(quantum).clamp(floor, limit)
        };
        Resources {
            milli_cores: bounded(cpu, declared.milli_cores, CPU_QUANTUM_MILLI_CORES),
            memory_mib: bounded(memory, declared.memory_mib, MEMORY_QUANTUM_MIB),
            accelerators: declared.accelerators,
        }
    }

    /// Estimated run time in ms (90th percentile).
    pub fn run_time_ms(&self, key: &EstimateKey) -> Option<u64> {
        self.by_key
            .get(key)
            .and_then(|estimate| estimate.run_time_ms)
    }
}

/// Rounds a run time up to a multiple of a quarter of the largest power of two that does not exceed it, which limits
/// the number of distinct run times.
pub fn round_run_time(ms: u64) -> u64 {
    let step = 1 << ms.max(4).ilog2().saturating_sub(2);
    ms.max(1).checked_next_multiple_of(step).unwrap_or(ms)
}
