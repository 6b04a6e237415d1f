//! OpenTelemetry metrics, exported in the Prometheus text format.
//!
//! The metrics of an entry instance cover the five measures of the design page, by workspace and kind: time to
//! placement, packing of the workers, resource usage of the scheduler itself, request latency at peak load and
//! head-of-line blocking. `docs/operators.md` describes each metric.

use {
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge, Histogram, Meter, MeterProvider as _},
    },
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Encoder as _, Registry, TextEncoder},
    ragwortreel_model::{JobKind, Outcome, Pool, WorkClass, Workspace},
    ragwortreel_routing::RouterMetrics,
    ragwortreel_runtime::traffic,
    std::{collections::BTreeMap, fs, path::Path, time::Duration},
};

/// Bucket bounds of request durations, in s.
const REQUEST_BOUNDS_S: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];
/// Bucket bounds of times to placement, in s; 4.8 s is the target for urgent work.
const PLACEMENT_BOUNDS_S: [f64; 9] = [0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 4.8, 30.0, 300.0];
/// Clock ticks per second in `/proc/self/stat`; always 100 on Linux.
const TICKS_PER_S: f64 = 100.0;
/// Size of the pages that `/proc/self/statm` counts, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

/// Exporter of metrics, which also measures the process and its network links.
pub struct Exporter {
    registry: Registry,
    // The provider is kept alive because the export ends when it is dropped.
    _provider: SdkMeterProvider,
    traffic: Gauge<u64>,
    cpu_seconds: Gauge<f64>,
    resident_bytes: Gauge<f64>,
}

impl Exporter {
    /// Creates an exporter and the meter whose instruments it exports.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be registered.
    pub fn new() -> Result<(Self, Meter), String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        let exporter = exporter.map_err(|err| err.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("ragwortreel");
        let exporter = Self {
            traffic: meter
                .u64_gauge("link_traffic")
                .with_unit("By")
                .with_description("bytes sent and received since the start")
                .build(),
            cpu_seconds: meter.f64_gauge("process_cpu").with_unit("s").build(),
            resident_bytes: meter.f64_gauge("process_resident").with_unit("By").build(),
            registry,
            _provider: provider,
        };
        Ok((exporter, meter))
    }

    /// Samples the process metrics and returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        if let Some(usage) = process_usage(Path::new("/proc/self")) {
            self.cpu_seconds.record(usage.cpu_seconds, &[]);
            self.resident_bytes.record(usage.resident_bytes, &[]);
        }
        for (link, traffic) in [
            ("http-client", &traffic::HTTP_CLIENT),
            ("http-server", &traffic::HTTP_SERVER),
            ("entry", &traffic::ENTRY_LINK),
        ] {
            let label = |direction| {
                [
                    KeyValue::new("link", link),
                    KeyValue::new("direction", direction),
                ]
            };
            self.traffic.record(traffic.sent(), &label("sent"));
            self.traffic.record(traffic.received(), &label("received"));
        }
        let mut buf = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            Ok(()) => buf,
            Err(err) => format!("# {err}\n").into_bytes(),
        }
    }
}

/// Metrics of an entry instance.
pub struct Telemetry {
    exporter: Exporter,
    request_seconds: Histogram<f64>,
    queue_seconds: Histogram<f64>,
    attempts: Counter<u64>,
    placement_seconds: Histogram<f64>,
    pool_reserved_share: Gauge<f64>,
    queue_length: Gauge<u64>,
    in_flight: Gauge<u64>,
    settings_version: Gauge<u64>,
    store_calls: Gauge<u64>,
}

impl Telemetry {
    /// Creates the metrics and their exporter.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter cannot be registered.
    pub fn new() -> Result<Self, String> {
        let (exporter, meter) = Exporter::new()?;
        let histogram_s = |name: &'static str, description: &'static str, bounds: &[f64]| {
            meter
                .f64_histogram(name)
                .with_description(description)
                .with_unit("s")
                .with_boundaries(bounds.to_vec())
                .build()
        };
        Ok(Self {
            request_seconds: histogram_s(
                "request_duration",
                "time from arrival to answer",
                &REQUEST_BOUNDS_S,
            ),
            queue_seconds: histogram_s(
                "request_queue_duration",
                "time from arrival to a slot",
                &REQUEST_BOUNDS_S,
            ),
            attempts: meter
                .u64_counter("request_attempts")
                .with_description("attempts at backend servers")
                .build(),
            placement_seconds: histogram_s(
                "placement_wait",
                "time from submission to start",
                &PLACEMENT_BOUNDS_S,
            ),
            pool_reserved_share: meter
                .f64_gauge("pool_reserved_share")
                .with_description("reserved share of a pool")
                .build(),
            queue_length: meter
                .u64_gauge("queue_length")
                .with_description("requests or tasks that wait")
                .build(),
            in_flight: meter
                .u64_gauge("requests_in_flight")
                .with_description("requests at backend servers")
                .build(),
            settings_version: meter
                .u64_gauge("settings_version")
                .with_description("settings in force")
                .build(),
            store_calls: meter
                .u64_gauge("store_calls")
                .with_description("calls to the platform's services")
                .build(),
            exporter,
        })
    }

    /// Records the outcome of a request and the time from its arrival to its end.
    pub fn record_request(
        &self,
        workspace: &Workspace,
        class: WorkClass,
        outcome: Outcome,
        took: Duration,
    ) {
        let attributes = [
            label("workspace", workspace),
            label("class", &class),
            label("outcome", &outcome),
        ];
        self.request_seconds.record(took.as_secs_f64(), &attributes);
    }

    /// Records the time for which an admitted request waited for a slot.
    pub fn record_queue_wait(&self, workspace: &Workspace, class: WorkClass, waited: Duration) {
        self.queue_seconds.record(
            waited.as_secs_f64(),
            &[label("workspace", workspace), label("class", &class)],
        );
    }

    /// Counts an attempt at a backend server.
    pub fn record_attempt(&self, workspace: &Workspace, result: &'static str) {
        self.attempts.add(
            1,
            &[
                label("workspace", workspace),
                KeyValue::new("result", result),
            ],
        );
    }

    /// Records the time from submission to start of a task.
    pub fn record_placement(&self, workspace: &Workspace, kind: JobKind, waited: Duration) {
        self.placement_seconds.record(
            waited.as_secs_f64(),
            &[label("workspace", workspace), label("kind", &kind)],
        );
    }

    /// Records the reserved share of a pool, in millionths, and the number of queued tasks.
    pub fn record_pool(&self, pool: &Pool, reserved_ppm: u64, queued: u64) {
        #[expect(
            clippy::cast_precision_loss,
            reason = "a share in millionths is far below 2^52"
        )]
        let share = reserved_ppm as f64 / 1e6;
        self.pool_reserved_share
            .record(share, &[label("pool", pool)]);
        self.queue_length.record(queued, &[label("pool", pool)]);
    }

    /// Records the queued and in-flight requests by class.
    pub fn record_routing(&self, metrics: &RouterMetrics) {
        let mut sums: BTreeMap<WorkClass, (u64, u64)> = BTreeMap::new();
        for (class, queue) in metrics
            .workspaces
            .values()
            .flat_map(|workspace| &workspace.classes)
        {
            let sum = sums.entry(*class).or_default();
            *sum = (sum.0 + queue.queued, sum.1 + queue.in_flight);
        }
        for (class, (queued, in_flight)) in sums {
            self.queue_length.record(queued, &[label("class", &class)]);
            self.in_flight.record(in_flight, &[label("class", &class)]);
        }
    }

    /// Records the version of the settings in force.
    pub fn record_settings_version(&self, version: u64) {
        self.settings_version.record(version, &[]);
    }

    /// Records the total reads and writes sent to the table service since the start.
    pub fn record_store_calls(&self, reads: u64, writes: u64) {
        self.store_calls
            .record(reads, &[KeyValue::new("kind", "read")]);
        self.store_calls
            .record(writes, &[KeyValue::new("kind", "write")]);
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        self.exporter.encode()
    }
}

fn label(key: &'static str, value: &impl ToString) -> KeyValue {
    KeyValue::new(key, value.to_string())
}

/// Resource usage of a process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    /// User and system processor time since the start, in s.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: f64,
}

/// Reads the resource usage of a process from its directory in `/proc`. Returns `None` if it cannot be read.
#[must_use]
pub fn process_usage(dir: &Path) -> Option<ProcessUsage> {
    let stat = fs::read_to_string(dir.join("stat")).ok()?;
    // The command name is in parentheses and may contain spaces. utime and stime are the 12th and 13th fields after it.
    let (_, rest) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = rest.split(' ').collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let statm = fs::read_to_string(dir.join("statm")).ok()?;
    let pages: f64 = statm.split(' ').nth(1)?.parse().ok()?;
    Some(ProcessUsage {
        cpu_seconds: ticks / TICKS_PER_S,
        resident_bytes: pages * PAGE_BYTES,
    })
}
