//! Case `control`: control plane cost of entry instances without requests, as processor time, resident memory, traffic
//! and store calls.
//!
//! Each measurement point is a cell of one zone whose entry instances run as processes. The numbers of workers,
//! workspaces, running tasks and entry instances are varied one at a time, with three values each; the slopes give the
//! cost at the design size of 8 zones. All points run concurrently, because processor time does not depend on other
//! processes.

use {
    crate::{
        history::{plan, program},
        report::{Measure, Unit, count},
    },
    ragwortreel::cell_plan::CellPlan,
    ragwortreel_http::Method,
    ragwortreel_model::{Resources, Workspace, WorkspaceSettings},
    ragwortreel_processes::ProcessCell,
    ragwortreel_runtime::{block_on, sleep, spawn, start_threads},
    std::time::{Duration, Instant},
};

/// Executor threads of this process, which runs the stand-ins.
const THREADS: usize = 4;
/// Time from readiness to the first reading, so that start-up costs are not counted.
const SETTLE: Duration = Duration::from_secs(8);
/// Time between the two readings.
const MEASUREMENT_TIME: Duration = Duration::from_secs(20);
/// Time limit until a cell is ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Operator token of the example settings.
const OPERATOR_TOKEN: &str = "change-me-operator";
/// Size of the smallest point; every other point changes one of its values.
const BASE: Size = Size {
    workers: 20,
    workspaces: 20,
    tasks: 0,
    entries: 2,
};
const WORKER_SIZES: [usize; 2] = [80, 150];
const WORKSPACE_SIZES: [usize; 2] = [140, 280];
const TASK_SIZES: [usize; 2] = [400, 925];
const ENTRY_SIZES: [usize; 2] = [4, 8];
/// One pool at the design size: an eighth of 1,200 workers and 7,400 tasks, all 280 workspaces and 9 instances.
const DESIGN: Size = Size {
    workers: 150,
    workspaces: 280,
    tasks: 925,
    entries: 9,
};
/// Entry instances at the design size, in all 8 zones.
const DESIGN_ENTRIES: f64 = 9.0;
/// Pools at the design size, each with an owning instance.
const DESIGN_POOLS: f64 = 8.0;

/// Size of the zone at one measurement point.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Size {
    workers: usize,
    workspaces: usize,
    tasks: usize,
    entries: usize,
}

/// Cost of one instance, or the increase of that cost per unit of a size.
#[derive(Debug, Clone, Copy, Default)]
struct Cost {
    /// Processor time in percent of one core.
    core_percent: f64,
    resident_mb: f64,
    traffic_kb_s: f64,
    reads_per_s: f64,
    writes_per_s: f64,
}

impl Cost {
    /// Combines each value with the one of `other`.
    fn zip(self, other: Self, f: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            core_percent: f(self.core_percent, other.core_percent),
            resident_mb: f(self.resident_mb, other.resident_mb),
            traffic_kb_s: f(self.traffic_kb_s, other.traffic_kb_s),
            reads_per_s: f(self.reads_per_s, other.reads_per_s),
            writes_per_s: f(self.writes_per_s, other.writes_per_s),
        }
    }

    fn plus(self, other: Self) -> Self {
        self.zip(other, |a, b| a + b)
    }

    fn times(self, factor: f64) -> Self {
        self.zip(self, |a, _| a * factor)
    }
}

/// Runs the case.
pub fn run() -> Result<Vec<Measure>, String> {
    start_threads(THREADS).map_err(|err| err.to_string())?;
    block_on(measure())
}

async fn measure() -> Result<Vec<Measure>, String> {
    let mut sizes = vec![BASE];
    sizes.extend(WORKER_SIZES.map(|workers| Size { workers, ..BASE }));
    sizes.extend(WORKSPACE_SIZES.map(|workspaces| Size { workspaces, ..BASE }));
    sizes.extend(TASK_SIZES.map(|tasks| Size { tasks, ..BASE }));
    sizes.extend(ENTRY_SIZES.map(|entries| Size { entries, ..BASE }));
    let points: Vec<_> = sizes
        .iter()
        .map(|size| spawn(measure_point(*size)))
        .collect();
    let mut costs = Vec::new();
    for (size, point) in sizes.iter().zip(points) {
        costs.push((*size, point.await?));
    }
    Ok(to_measures(&costs))
}

/// Returns the plan of one measurement point: a cell of one zone without backend servers.
fn cell_plan(size: Size) -> Result<CellPlan, String> {
    let mut plan = plan(1)?;
    plan.zones.truncate(1);
    plan.entries_per_zone = size.entries;
    plan.workers_per_zone = size.workers;
    plan.worker_capacity = Resources::new(96_000, 512 * 1024, 3);
    plan.backends.clear();
    while plan.settings.workspaces.len() < size.workspaces {
        let workspace = Workspace::new(&format!("workspace-{}", plan.settings.workspaces.len()))
            .map_err(|err| err.to_string())?;
        plan.settings
            .workspaces
            .insert(workspace, WorkspaceSettings::default());
    }
    for branch in plan.settings.workspaces.values_mut() {
        branch.quota = Resources::new(10_000_000, 10_000_000, 1_000);
    }
    Ok(plan)
}

/// Measures the cost of the most expensive instance of one point.
async fn measure_point(size: Size) -> Result<Cost, String> {
    let cell = ProcessCell::start(cell_plan(size)?, program()?).map_err(|err| err.to_string())?;
    cell.wait_ready(READY_LIMIT).await?;
    submit_tasks(&cell, size.tasks).await?;
    sleep(SETTLE).await;
    let started = Instant::now();
    let before = read_instances(&cell).await?;
    sleep(MEASUREMENT_TIME).await;
    let after = read_instances(&cell).await?;
    let seconds = started.elapsed().as_secs_f64();
    // The pool's owner is the instance with the most traffic; its cost is an upper bound for any instance.
    let rates = before
        .iter()
        .zip(&after)
        .map(|(before, after)| after.since(before, seconds));
    rates
        .max_by(|a, b| a.traffic_kb_s.total_cmp(&b.traffic_kb_s))
        .ok_or_else(|| "no instance".to_owned())
}

/// Submits tasks that outlast the measurement, in jobs of up to 50 tasks.
async fn submit_tasks(cell: &ProcessCell, tasks: usize) -> Result<(), String> {
    for number in 0..tasks.div_ceil(50) {
        let count = (tasks - number * 50).min(50);
        let body = format!(
            r#"{{"id":"c-{number}","workspace":"patterns","name":"c-{number}","kind":"batch","tasks":{count},
                "resources":{{"milli_cores":1000,"memory_mib":1024}},"payload":"{{\"run_ms\":3600000}}"}}"#
        );
        let response = cell
            .send_request(
                0,
                Method::Post,
                "/v1/jobs",
                OPERATOR_TOKEN,
                &[],
                body.as_bytes(),
            )
            .await?;
        if response.status != 201 {
            return Err(format!(
                "job {number}: {}",
                String::from_utf8_lossy(&response.body)
            ));
        }
    }
    Ok(())
}

/// Resident memory of one instance and its totals since its start.
#[derive(Debug, Clone, Copy, Default)]
struct Reading {
    cpu_seconds: f64,
    resident_bytes: f64,
    bytes: f64,
    reads: f64,
    writes: f64,
}

impl Reading {
    /// Rates over the `seconds` since the reading `before`.
    fn since(&self, before: &Self, seconds: f64) -> Cost {
        Cost {
            core_percent: (self.cpu_seconds - before.cpu_seconds) / seconds * 100.0,
            resident_mb: self.resident_bytes / 1e6,
            traffic_kb_s: (self.bytes - before.bytes) / seconds / 1e3,
            reads_per_s: (self.reads - before.reads) / seconds,
            writes_per_s: (self.writes - before.writes) / seconds,
        }
    }
}

/// Reads the process usage and the metrics of every instance.
async fn read_instances(cell: &ProcessCell) -> Result<Vec<Reading>, String> {
    let mut readings = Vec::new();
    for number in 0..cell.len() {
        let usage = cell.usage(number).ok_or("an instance has ended")?;
        let response = cell
            .send_request(number, Method::Get, "/metrics", "", &[], b"")
            .await?;
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let sum = |name: &str, label: &str| metric_sum(&text, name, label);
        readings.push(Reading {
            cpu_seconds: usage.cpu_seconds,
            resident_bytes: usage.resident_bytes,
            // Traffic that the requests of this measurement cause is not counted.
            bytes: sum("link_traffic_bytes", "http-client")
                + sum("link_traffic_bytes", "\"entry\""),
            reads: sum("store_calls", "\"read\""),
            writes: sum("store_calls", "\"write\""),
        });
    }
    Ok(readings)
}

/// Sum of the samples of a metric whose line contains `label`.
fn metric_sum(text: &str, name: &str, label: &str) -> f64 {
    let lines = text
        .lines()
        .filter(|line| line.starts_with(name) && line.contains(label));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

/// Extrapolates the cost to the design size and compares it with the targets.
fn to_measures(points: &[(Size, Cost)]) -> Vec<Measure> {
    let base = points[0].1;
    let slope = |sizes: [usize; 2], size_of: fn(&Size) -> usize| {
        // Least squares through the base point, because all three sizes then count and one noisy point matters less.
        let from = count(size_of(&BASE));
        let of_size = |wanted: usize| {
            points
                .iter()
                .find(|(size, _)| size_of(size) == wanted)
                .map(|(_, cost)| *cost)
        };
        let mut weighted_rise = Cost::default();
        let mut sum_of_squares = 0.0;
        for size in sizes {
            let run = count(size) - from;
            let rise = of_size(size).unwrap_or(base).plus(base.times(-1.0));
            weighted_rise = weighted_rise.plus(rise.times(run));
            sum_of_squares += run * run;
        }
        weighted_rise.times(1.0 / sum_of_squares)
    };
    let slopes = [
        (
            "worker",
            slope(WORKER_SIZES, |size| size.workers),
            count(DESIGN.workers - BASE.workers),
        ),
        (
            "workspace",
            slope(WORKSPACE_SIZES, |size| size.workspaces),
            count(DESIGN.workspaces - BASE.workspaces),
        ),
        (
            "task",
            slope(TASK_SIZES, |size| size.tasks),
            count(DESIGN.tasks - BASE.tasks),
        ),
        (
            "instance",
            slope(ENTRY_SIZES, |size| size.entries),
            count(DESIGN.entries - BASE.entries),
        ),
    ];
    let design = slopes
        .iter()
        .fold(base, |sum, (_, slope, more)| sum.plus(slope.times(*more)));
    let mut measures = vec![
        Measure::at_most("idle_core_share", design.core_percent, Unit::Percent, 1.1),
        Measure::at_most("resident", design.resident_mb, Unit::Megabytes, 64.0),
        Measure::at_most(
            "traffic",
            design.traffic_kb_s,
            Unit::KilobytesPerSecond,
            3.0,
        ),
        Measure::at_most(
            "store_writes",
            design.writes_per_s * DESIGN_POOLS.max(DESIGN_ENTRIES),
            Unit::PerSecond,
            200.0,
        ),
        Measure::at_most(
            "store_reads",
            design.reads_per_s * DESIGN_ENTRIES,
            Unit::PerSecond,
            1_000.0,
        ),
    ];
    measures.extend(info_measures("base", base));
    for (name, slope, _) in slopes {
        measures.extend(info_measures(&format!("a {name}"), slope));
    }
    measures
}

fn info_measures(what: &str, cost: Cost) -> Vec<Measure> {
    vec![
        Measure::info(&format!("{what}: core"), cost.core_percent, Unit::Percent),
        Measure::info(
            &format!("{what}: resident"),
            cost.resident_mb,
            Unit::Megabytes,
        ),
        Measure::info(
            &format!("{what}: traffic"),
            cost.traffic_kb_s,
            Unit::KilobytesPerSecond,
        ),
        Measure::info(
            &format!("{what}: writes"),
            cost.writes_per_s,
            Unit::PerSecond,
        ),
        Measure::info(&format!("{what}: reads"), cost.reads_per_s, Unit::PerSecond),
    ]
}
