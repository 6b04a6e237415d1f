//! Demonstration (`ragwortreel quickstart`): one small cell for each of two example users in one process.
//!
//! Each cell has three entry instances in three zones on the loopback interface, and stand-ins for the platform, the
//! workers and the backend servers. After the load, the consistency checks run and the burn rates are printed.

use {
    crate::{
        burn::{self, BurnCounts},
        cell_plan::{CellPlan, EntryAddresses, loopback_any_port},
        checks::{self, CheckResult},
        cli::QuickstartOptions,
        daemon::{self, Daemon},
        error::Error,
        load::{Balancer, CallOutcome, CallRecord, LoadGenerator, MixEntry},
        output::{self, Table},
    },
    ragwortreel_model::{
        JobId, JobKind, JobSpec, JobState, Priority, Resources, ServiceName, Workspace,
        token_digest,
    },
    ragwortreel_runtime::{
        Logger, Stop, block_on, discard_logger, future, sleep, sleep_ms, spawn, start_threads,
    },
    ragwortreel_standins::Standins,
    serde::Serialize,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Executor threads of the process, shared by both cells.
const THREADS: usize = 4;
/// Maximum time until all entry instances are ready.
const READY_LIMIT: Duration = Duration::from_secs(15);
/// Maximum time that jobs may take after the load.
const JOBS_LIMIT: Duration = Duration::from_secs(15);
/// Interval between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// Prefix of the tokens in the example settings; the workspace's name follows.
const TOKEN_PREFIX: &str = "change-me-";

/// Results of one user's cell.
#[derive(Debug, Serialize)]
struct Report {
    user: &'static str,
    services: Vec<ServiceStats>,
    jobs: Vec<JobStats>,
    checks: Vec<CheckResult>,
    burn: Vec<burn::ServiceBurn>,
}

#[derive(Debug, Serialize)]
struct ServiceStats {
    service: String,
    requests: usize,
    answered: usize,
    not_run: usize,
    unknown: usize,
    p50_ms: u128,
    p99_ms: u128,
}

#[derive(Debug, Serialize)]
struct JobStats {
    job: String,
    kind: JobKind,
    state: Option<JobState>,
    running: u32,
    succeeded: u32,
}

/// Runs the demonstration and prints the reports.
///
/// # Errors
///
/// Returns an error if a component cannot start, a job cannot be submitted or a check finds violations, which include
/// unfinished jobs.
pub fn run(options: QuickstartOptions) -> Result<(), Error> {
    start_threads(THREADS).map_err(|err| Error::start("starting threads", &err))?;
    block_on(run_cells(options))
}

async fn run_cells(options: QuickstartOptions) -> Result<(), Error> {
    let built_in = |err| Error::start("reading the built-in settings", &err);
    let duration = Duration::from_secs(options.seconds);
    let pattern_service = CellPlan::pattern_service().map_err(built_in)?;
    let cart_dispatch_service = CellPlan::cart_dispatch_service().map_err(built_in)?;
    let first = run_user_cell(
        "pattern service",
        pattern_service,
        PATTERN_SERVICE_MIX,
        duration,
        options.json,
    );
    let second = run_user_cell(
        "cart dispatch service",
        cart_dispatch_service,
        CART_DISPATCH_SERVICE_MIX,
        duration,
        options.json,
    );
    let (first, second) = future::zip(first, second).await;
    let reports = [first?, second?];
    if options.json {
        let json = serde_json::to_string(&reports)
            .map_err(|err| Error::start("writing the report", &err))?;
        output::print(&format!("{json}\n"))?;
    } else {
        for report in &reports {
            print_report(report)?;
        }
    }
    let checks = reports.iter().flat_map(|report| &report.checks);
    match checks.map(|check| check.violations).sum() {
        0 => Ok(()),
        violations => Err(Error::Violations { violations }),
    }
}

/// Workspace, service, path, requests per second, deadline in ms, and whether requests carry idempotency keys.
type MixRow = (&'static str, &'static str, &'static str, f64, u64, bool);

const PATTERN_SERVICE_MIX: &[MixRow] = &[
    ("counter", "quotes", "/quotes/price", 150.0, 800, false),
    ("patterns", "batches", "/batches/season", 8.0, 20_000, true),
    ("dyes", "matching", "/matching/shade", 10.0, 10_000, false),
];
const CART_DISPATCH_SERVICE_MIX: &[MixRow] = &[
    (
        "allocations",
        "settle",
        "/settle/morning",
        120.0,
        1_500,
        false,
    ),
    ("charcoal", "top-ups", "/top-ups/small", 15.0, 2_000, true),
    (
        "takings",
        "reconcile",
        "/reconcile/evening",
        6.0,
        20_000,
        false,
    ),
];

/// Runs one user's cell: jobs, load, checks and the burn rates.
async fn run_user_cell(
    user: &'static str,
    plan: CellPlan,
    mix: &[MixRow],
    duration: Duration,
    quiet: bool,
) -> Result<Report, Error> {
    let stop = Stop::new();
    let standins = Standins::start(&plan.standin_config())
        .map_err(|err| Error::start("starting stand-ins", &err))?;
    let daemons = start_daemons(&plan, &standins, &stop)?;
    wait_ready(&daemons).await?;
    print_progress(
        quiet,
        user,
        &format!(
            "{} entry instances in {} zones are ready",
            daemons.len(),
            plan.zones.len()
        ),
    );
    let jobs = submit_jobs(&daemons[0], &plan).await?;
    let balancer = Balancer::new(daemons.iter().map(|daemon| daemon.caller_address).collect());
    let load = LoadGenerator::start(
        mix.iter().filter_map(mix_entry).collect(),
        balancer,
        duration,
        plan.seed,
        user.get(..4).unwrap_or(user),
    );
    let begun = Instant::now();
    while begun.elapsed() < duration {
        sleep(PROGRESS_INTERVAL.min(duration.saturating_sub(begun.elapsed()))).await;
        print_progress(
            quiet,
            user,
            &format!("{} requests ended", load.ended_attempts()),
        );
    }
    let calls = load.finish().await;
    let jobs = wait_jobs(&daemons[0], &jobs).await;
    let mut burn = BurnCounts::default();
    for daemon in &daemons {
        burn.merge(&daemon.burn());
    }
    stop.request();
    let finished: Vec<_> = daemons
        .into_iter()
        .map(|daemon| spawn(daemon.finish()))
        .collect();
    for task in finished {
        task.await;
    }
    let mut checks = checks::check_all(&calls, &standins);
    checks.push(check_jobs_finished(&jobs));
    Ok(Report {
        user,
        services: service_stats(mix, &calls),
        jobs,
        checks,
        burn: burn::report(&burn),
    })
}

fn print_progress(quiet: bool, user: &str, text: &str) {
    if !quiet {
        eprintln!("{user}: {text}");
    }
}

fn start_daemons(plan: &CellPlan, standins: &Standins, stop: &Stop) -> Result<Vec<Daemon>, Error> {
    let platform = standins
        .platform
        .as_ref()
        .map_or_else(loopback_any_port, |platform| platform.server.addr());
    let log: Logger = discard_logger();
    let addresses = EntryAddresses {
        caller: loopback_any_port(),
        entry: loopback_any_port(),
    };
    let configs = (0..plan.entry_count())
        .filter_map(|number| plan.daemon_config(number, addresses, platform));
    configs
        .map(|config| daemon::start(&config, log.clone(), stop.clone()))
        .collect()
}

async fn wait_ready(daemons: &[Daemon]) -> Result<(), Error> {
    let limit = Instant::now() + READY_LIMIT;
    let is_ready =
        |daemon: &Daemon| daemon.control().is_ready() && daemon.control().settings().version > 0;
    while !daemons.iter().all(is_ready) {
        if Instant::now() >= limit {
            return Err(Error::start(
                "waiting for entry instances",
                &"not ready in time",
            ));
        }
        sleep_ms(50).await;
    }
    // Slots and the list of backend servers become available after the next reads of the table service and of the
    // platform's list.
    sleep_ms(1_500).await;
    Ok(())
}

fn mix_entry(row: &MixRow) -> Option<MixEntry> {
    let &(workspace, service, path, rate_per_s, deadline_ms, keyed) = row;
    Some(MixEntry {
        workspace: Workspace::new(workspace).ok()?,
        service: ServiceName::new(service).ok()?,
        token: Arc::from(format!("{TOKEN_PREFIX}{workspace}")),
        path: Arc::from(path),
        rate_per_s,
        deadline_ms,
        keyed,
    })
}

/// One job of each kind, for the workspaces in the settings of this cell.
fn job_specs(plan: &CellPlan) -> Vec<JobSpec> {
    let is_in_settings = |workspace: &str| {
        let digest = token_digest(&format!("{TOKEN_PREFIX}{workspace}"));
        plan.settings
            .workspaces
            .values()
            .any(|branch| branch.token_sha256 == digest)
    };
    let rows = [
        (
            "demo-service",
            "counter",
            JobKind::Service,
            Priority::Urgent,
            3,
            600_000,
        ),
        (
            "demo-batch",
            "patterns",
            JobKind::Batch,
            Priority::BestEffort,
            12,
            2_000,
        ),
        (
            "demo-gang",
            "patterns",
            JobKind::Gang,
            Priority::Normal,
            4,
            1_500,
        ),
        (
            "demo-service",
            "allocations",
            JobKind::Service,
            Priority::Urgent,
            3,
            600_000,
        ),
        (
            "demo-batch",
            "takings",
            JobKind::Batch,
            Priority::BestEffort,
            12,
            2_000,
        ),
        (
            "demo-gang",
            "takings",
            JobKind::Gang,
            Priority::Normal,
            4,
            1_500,
        ),
    ];
    let selected = rows
        .into_iter()
        .filter(|(_, workspace, ..)| is_in_settings(workspace));
    selected
        .filter_map(|(id, workspace, kind, priority, tasks, run_ms)| {
            job_spec(id, workspace, kind, priority, tasks, run_ms)
        })
        .collect()
}

fn job_spec(
    id: &str,
    workspace: &str,
    kind: JobKind,
    priority: Priority,
    tasks: u32,
    run_ms: u64,
) -> Option<JobSpec> {
    Some(JobSpec {
        id: JobId::new(id).ok()?,
        workspace: Workspace::new(workspace).ok()?,
        name: Arc::from(id),
        kind,
        priority,
        tasks,
        resources: Resources::new(2_000, 2_048, 0),
        run_time_ms: (kind != JobKind::Service).then_some(run_ms),
        zone: None,
        payload: Arc::from(format!("{{\"run_ms\":{run_ms}}}")),
    })
}

async fn submit_jobs(daemon: &Daemon, plan: &CellPlan) -> Result<Vec<JobSpec>, Error> {
    let specs = job_specs(plan);
    for spec in &specs {
        let submitted = daemon.control().submit_job(spec.clone()).await;
        submitted.map_err(|err| Error::start("submitting a job", &err))?;
    }
    Ok(specs)
}

/// Waits until batch jobs and gangs have succeeded and services are running, or the time limit is reached.
async fn wait_jobs(daemon: &Daemon, specs: &[JobSpec]) -> Vec<JobStats> {
    let limit = Instant::now() + JOBS_LIMIT;
    loop {
        let mut jobs = Vec::new();
        for spec in specs {
            jobs.push(job_stats(daemon, spec).await);
        }
        if jobs.iter().all(is_done) || Instant::now() >= limit {
            return jobs;
        }
        sleep_ms(200).await;
    }
}

async fn job_stats(daemon: &Daemon, spec: &JobSpec) -> JobStats {
    let found = daemon
        .control()
        .describe_jobs(None, Some(&spec.id))
        .await
        .unwrap_or_default();
    let status = found.first();
    JobStats {
        job: spec.id.to_string(),
        kind: spec.kind,
        state: status.map(|status| status.state),
        running: status.map_or(0, |status| status.running),
        succeeded: status.map_or(0, |status| status.succeeded),
    }
}

fn is_done(job: &JobStats) -> bool {
    match job.kind {
        JobKind::Service => job.state == Some(JobState::Running) && job.running > 0,
        JobKind::Batch | JobKind::Gang => job.state == Some(JobState::Succeeded),
    }
}

/// Checks that all jobs have reached the state that [`wait_jobs`] waits for.
fn check_jobs_finished(jobs: &[JobStats]) -> CheckResult {
    let unfinished: Vec<&JobStats> = jobs.iter().filter(|job| !is_done(job)).collect();
    CheckResult {
        promise: "jobs finish",
        checked: jobs.len() as u64,
        violations: unfinished.len() as u64,
        example: unfinished
            .first()
            .map(|job| format!("{} is {:?}", job.job, job.state)),
    }
}

/// Counts and latency quantiles of the calls per mix entry.
fn service_stats(mix: &[MixRow], calls: &[CallRecord]) -> Vec<ServiceStats> {
    let of_mix = |(index, row): (usize, &MixRow)| {
        let own: Vec<&CallRecord> = calls.iter().filter(|call| call.mix == index).collect();
        let count =
            |wanted: fn(&CallOutcome) -> bool| own.iter().filter(|call| wanted(&call.seen)).count();
        let mut times: Vec<u128> = own.iter().map(|call| call.took.as_millis()).collect();
        times.sort_unstable();
        let quantile = |percent: usize| {
            times.get((times.len() * percent / 100).min(times.len().saturating_sub(1)))
        };
        ServiceStats {
            service: format!("{}/{}", row.0, row.1),
            requests: own.len(),
            answered: count(|seen| matches!(seen, CallOutcome::Answered(_))),
            not_run: count(|seen| matches!(seen, CallOutcome::NotRun | CallOutcome::NotSent)),
            unknown: count(|seen| matches!(seen, CallOutcome::Unknown | CallOutcome::Broken)),
            p50_ms: quantile(50).copied().unwrap_or(0),
            p99_ms: quantile(99).copied().unwrap_or(0),
        }
    };
    mix.iter().enumerate().map(of_mix).collect()
}

fn print_report(report: &Report) -> Result<(), Error> {
    let mut services = Table::new(&[
        "SERVICE", "REQUESTS", "ANSWERED", "NOT RUN", "UNKNOWN", "P50 ms", "P99 ms",
    ]);
    for row in &report.services {
        let numbers =
            [row.requests, row.answered, row.not_run, row.unknown].map(|number| number.to_string());
        let times = [row.p50_ms, row.p99_ms].map(|time| time.to_string());
        services.add_row(
            [row.service.clone()]
                .into_iter()
                .chain(numbers)
                .chain(times)
                .collect(),
        );
    }
    let mut jobs = Table::new(&["JOB", "KIND", "STATE", "RUNNING", "SUCCEEDED"]);
    for job in &report.jobs {
        let state = job
            .state
            .map_or_else(|| "unknown".to_owned(), |state| state.to_string());
        let numbers = [job.running, job.succeeded].map(|number| number.to_string());
        let texts = [job.job.clone(), job.kind.to_string(), state];
        jobs.add_row(texts.into_iter().chain(numbers).collect());
    }
    let mut checks = Table::new(&["PROMISE", "CHECKED", "VIOLATIONS", "EXAMPLE"]);
    for check in &report.checks {
        let example = check.example.clone().unwrap_or_else(|| "-".to_owned());
        checks.add_row(vec![
            check.promise.to_owned(),
            check.checked.to_string(),
            check.violations.to_string(),
            example,
        ]);
    }
    let parts = [
        services.render(),
        jobs.render(),
        checks.render(),
        burn::format_table(&report.burn),
    ];
    output::print(&format!("\n== {} ==\n{}\n", report.user, parts.join("\n")))
}
