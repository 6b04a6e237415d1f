//! Case `logs`: volume of the log of a cell's leader under load, and its share of the processor time.
//!
//! The only instance of the cell is the leader, accepts all jobs and makes all calls, so it logs what several instances
//! would log together. The load is the job rate of the users' grown fleets. Pairs of runs, one with all log lines and
//! one with warnings only, give the processor time of logging.

use {
    crate::report::{Measure, Unit, count},
    ragwortreel::telemetry::process_usage,
    ragwortreel_dzintars_standin::{Cell, single_step},
    std::{
        env, fs,
        path::Path,
        time::{Duration, Instant},
    },
};

/// First argument with which the stand-in starts this program as an entry instance.
pub const INSTANCE_COMMAND: &str = "cell";

/// Submitted jobs per second; the users' grown fleets have 105 and 134.
const JOBS_PER_S: u32 = 120;
/// Length of the load in each run.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Number of pairs of runs.
const PAIRS: usize = 3;
const WORKERS: usize = 24;
/// Capacity of each worker, in thousandths of a core.
const MILLI_CORES: u64 = 16_000;
/// Budget of one process, in KB/s: the throughput of its log buffer of 256 KiB, which is written four times a second.
const MAX_KB_S: f64 = 1_048.0;
/// Budget in lines per second: the same throughput with lines of 256 bytes.
const MAX_LINES_S: f64 = 4_096.0;
/// Largest share of the processor time, as stated in the users' issue.
const MAX_CPU_SHARE: f64 = 0.05;

/// Usage of one run.
struct RunUsage {
    /// Processor time of the instance, in s.
    cpu_s: f64,
    /// Number of log lines that the instance wrote.
    lines: usize,
    /// Log volume, in bytes.
    bytes: usize,
    /// Submitted jobs.
    jobs: u32,
}

/// Runs the case.
pub fn run() -> Result<Vec<Measure>, String> {
    let program = env::current_exe().map_err(|err| format!("the path of this program: {err}"))?;
    let (mut cpu_with_log, mut cpu_without_log, mut lines, mut bytes, mut jobs) =
        (0.0, 0.0, 0, 0, 0);
    for _ in 0..PAIRS {
        let all = run_load(&program, "info")?;
        let warnings = run_load(&program, "warning")?;
        cpu_with_log += all.cpu_s / f64::from(all.jobs);
        cpu_without_log += warnings.cpu_s / f64::from(warnings.jobs);
        lines += all.lines;
        bytes += all.bytes;
        jobs += all.jobs;
    }
    let seconds = LOAD_TIME.as_secs_f64() * count(PAIRS);
    let share = (cpu_with_log - cpu_without_log) / cpu_with_log;
    Ok(vec![
        Measure::info("jobs", f64::from(jobs) / seconds, Unit::PerSecond),
        Measure::at_most(
            "lines",
            count(lines) / seconds,
            Unit::PerSecond,
            MAX_LINES_S,
        ),
        Measure::at_most(
            "bytes",
            count(bytes) / seconds / 1_000.0,
            Unit::KilobytesPerSecond,
            MAX_KB_S,
        ),
        Measure::at_most("processor time", share, Unit::Share, MAX_CPU_SHARE),
    ])
}

/// Runs a cell with a log level under the load.
fn run_load(program: &Path, log_level: &'static str) -> Result<RunUsage, String> {
    let cell = Cell::start_with_log_level(program, WORKERS, MILLI_CORES, log_level);
    let process = cell.process_id(0);
    let log = || fs::read(cell.log_file(0)).map_err(|err| format!("the instance's log: {err}"));
    let (bytes_before, cpu_before) = (log()?.len(), cpu_s(process)?);
    let started = Instant::now();
    let steps = single_step(3, 500, 200);
    let mut jobs = 0;
    while started.elapsed() < LOAD_TIME {
        let due = Duration::from_secs(1) * jobs / JOBS_PER_S;
        cell.sleep(due.saturating_sub(started.elapsed()));
        jobs += 1;
        let status = cell.submit(0, "advised", u64::from(jobs), "run_ms=200 cpu=500", &steps);
        if status != 200 {
            return Err(format!("job {jobs} got {status}"));
        }
    }
    // The log buffer is written to the file four times a second.
    cell.sleep(Duration::from_millis(500));
    let written = log()?.split_off(bytes_before);
    let cpu_s = cpu_s(process)? - cpu_before;
    cell.assert_no_violations();
    Ok(RunUsage {
        cpu_s,
        lines: String::from_utf8_lossy(&written).lines().count(),
        bytes: written.len(),
        jobs,
    })
}

/// Processor time of a process since its start, in s.
fn cpu_s(process: u32) -> Result<f64, String> {
    let dir = Path::new("/proc").join(process.to_string());
    let usage = process_usage(&dir).ok_or_else(|| format!("no figures in {}", dir.display()))?;
    Ok(usage.cpu_seconds)
}
