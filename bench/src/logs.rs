//! Lines and bytes that the leader of a cell logs under load, and what they cost.
//!
//! A lone instance leads, takes all jobs and makes all calls, so it logs what several instances log together. The load is
//! the rate of jobs of the users' grown fleets. Pairs of runs, with all lines and with warnings only, give the processor
//! time that the lines take.

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

/// Command of the program that starts an instance; the stand-in starts this bench with it.
pub const INSTANCE_COMMAND: &str = "cell";

/// Jobs a second; the grown fleets have 105 and 134.
const JOBS_A_SECOND: u32 = 120;
const RUN: Duration = Duration::from_secs(8);
const PAIRS: usize = 3;
const WORKERS: usize = 24;
const MILLI_CORES: u64 = 16_000;
/// Budget of one process, in KB/s: what its buffer of 256 KiB, emptied four times a second, can carry.
const MAX_KB_S: f64 = 1_048.0;
/// Budget of lines a second: the same buffer with lines of 256 bytes.
const MAX_LINES_S: f64 = 4_096.0;
/// Greatest part of the processor time, as the users' issue states it.
const MAX_CPU_SHARE: f64 = 0.05;

/// What one run took.
struct Figures {
    cpu_s: f64,
    lines: usize,
    bytes: usize,
    jobs: u32,
}

/// Runs the case.
pub fn run() -> Result<Vec<Measure>, String> {
    let program = env::current_exe().map_err(|err| format!("the path of this program: {err}"))?;
    let (mut with, mut without, mut lines, mut bytes, mut jobs) = (0.0, 0.0, 0, 0, 0);
    for _ in 0..PAIRS {
        let all = play(&program, "info")?;
        let warnings = play(&program, "warning")?;
        with += all.cpu_s / f64::from(all.jobs);
        without += warnings.cpu_s / f64::from(warnings.jobs);
        lines += all.lines;
        bytes += all.bytes;
        jobs += all.jobs;
    }
    let seconds = RUN.as_secs_f64() * count(PAIRS);
    let share = (with - without) / with;
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

fn play(program: &Path, log_level: &'static str) -> Result<Figures, String> {
    let cell = Cell::start_with_log_level(program, WORKERS, MILLI_CORES, log_level);
    let process = cell.process_id(0);
    let log = || fs::read(cell.log_file(0)).map_err(|err| format!("the instance's log: {err}"));
    let (bytes_before, cpu_before) = (log()?.len(), cpu_s(process)?);
    let begun = Instant::now();
    let steps = single_step(3, 500, 200);
    let mut jobs = 0;
    while begun.elapsed() < RUN {
        let due = Duration::from_secs(1) * jobs / JOBS_A_SECOND;
        cell.sleep(due.saturating_sub(begun.elapsed()));
        jobs += 1;
        let status = cell.submit(0, "advised", u64::from(jobs), "run_ms=200 cpu=500", &steps);
        if status != 200 {
            return Err(format!("job {jobs} got {status}"));
        }
    }
    // The log is written four times a second.
    cell.sleep(Duration::from_millis(500));
    let written = log()?.split_off(bytes_before);
    let cpu_s = cpu_s(process)? - cpu_before;
    cell.assert_no_violations();
    Ok(Figures {
        cpu_s,
        lines: String::from_utf8_lossy(&written).lines().count(),
        bytes: written.len(),
        jobs,
    })
}

/// Processor time of a process so far, in s.
fn cpu_s(process: u32) -> Result<f64, String> {
    let dir = Path::new("/proc").join(process.to_string());
    let usage = process_usage(&dir).ok_or_else(|| format!("no figures in {}", dir.display()))?;
    Ok(usage.cpu_seconds)
}
