//! Nine entry instances in three zones as separate processes, with 48 workers.

use {
    ragwortreel::{
        burn::BurnCounts,
        cell_plan::CellPlan,
        checks::check_all,
        load::{CallOutcome, LoadGenerator, MixEntry},
    },
    ragwortreel_http::Method,
    ragwortreel_model::{JobState, JobStatus, ServiceName, Workspace},
    ragwortreel_processes::{ProcessCell, Program},
    ragwortreel_runtime::{block_on, sleep_ms},
    std::{
        path::PathBuf,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Token of the operators in the example settings.
const OPERATOR: &str = "change-me-operator";
/// Longest time until a state is reached; far above the usual one, so that a slow machine does not fail the test.
const LIMIT: Duration = Duration::from_mins(1);

fn start() -> ProcessCell {
    let mut plan = CellPlan::pattern_service().expect("built-in settings");
    plan.entries_per_zone = 3;
    plan.workers_per_zone = 16;
    let program = Program {
        path: PathBuf::from(env!("CARGO_BIN_EXE_ragwortreel")),
        args: vec!["serve".to_owned()],
    };
    let cell = ProcessCell::start(plan, program).expect("all processes start");
    block_on(cell.wait_ready(LIMIT)).expect("all entry instances become ready");
    cell
}

fn job(kind: &str, tasks: u32, run_ms: u64) -> String {
    format!(
        r#"{{"id":"job-{kind}","workspace":"patterns","name":"{kind}","kind":"{kind}","tasks":{tasks},
            "resources":{{"milli_cores":1000,"memory_mib":1024}},"payload":"{{\"run_ms\":{run_ms}}}"}}"#
    )
}

async fn wait_for_job(
    cell: &ProcessCell,
    id: &str,
    wanted: impl Fn(&JobStatus) -> bool,
) -> JobStatus {
    let limit = Instant::now() + LIMIT;
    let mut number = 0;
    loop {
        let path = format!("/v1/jobs/{id}");
        let response = cell
            .send_request(
                number % cell.len(),
                Method::Get,
                &path,
                "change-me-patterns",
                &[],
                b"",
            )
            .await;
        let status = response
            .ok()
            .and_then(|response| serde_json::from_slice::<JobStatus>(&response.body).ok());
        if let Some(status) = status.as_ref().filter(|status| wanted(status)) {
            return status.clone();
        }
        assert!(
            Instant::now() < limit,
            "job {id} does not reach the wanted state: {status:?}"
        );
        number += 1;
        sleep_ms(100).await;
    }
}

/// Metrics that docs/operators.md names, each with a label that shows that it was recorded.
const METRICS: &[(&str, &str)] = &[
    ("placement_wait_seconds_count", "kind=\"gang\""),
    ("placement_wait_seconds_count", "workspace=\"patterns\""),
    ("pool_reserved_share", "pool="),
    ("process_cpu_seconds", ""),
    ("process_resident_bytes", ""),
    ("store_calls", "kind=\"write\""),
    ("link_traffic_bytes", "link=\"entry\""),
    ("request_duration_seconds_count", "outcome=\"answered\""),
    ("request_queue_duration_seconds_count", "class=\"short\""),
    ("queue_length", "pool="),
    ("request_attempts_total", "result=\"answered\""),
    ("settings_version", ""),
];

/// An operator's dashboard must find each documented metric at some instance; gauges appear with the next sample.
async fn check_metrics(cell: &ProcessCell) {
    let limit = Instant::now() + LIMIT;
    loop {
        let text = metrics(cell).await;
        let is_there = |name: &str, label: &str| {
            text.lines()
                .any(|line| line.starts_with(name) && line.contains(label))
        };
        let missing: Vec<_> = METRICS
            .iter()
            .filter(|(name, label)| !is_there(name, label))
            .collect();
        if missing.is_empty() {
            return;
        }
        assert!(Instant::now() < limit, "missing metrics: {missing:?}");
        sleep_ms(200).await;
    }
}

async fn metrics(cell: &ProcessCell) -> String {
    let mut text = String::new();
    for number in 0..cell.len() {
        let response = cell
            .send_request(number, Method::Get, "/metrics", "", &[], b"")
            .await;
        text.push_str(&String::from_utf8_lossy(
            &response.expect("the instance answers").body,
        ));
    }
    text
}

/// Requests of one service in the burn counts that an instance reports for the whole cell.
async fn burnt_requests(cell: &ProcessCell, number: usize) -> u64 {
    let response = cell
        .send_request(number, Method::Get, "/v1/burn", OPERATOR, &[], b"")
        .await;
    let counts = serde_json::from_slice(&response.expect("the instance answers").body);
    let counts: BurnCounts = counts.expect("burn counts");
    counts
        .services
        .iter()
        .flat_map(|service| &service.minutes)
        .map(|minute| minute.total)
        .sum()
}

/// Guards the whole path over real processes: jobs of each kind are placed by whichever instance owns the pool, and
/// requests at any instance are answered whole.
#[test]
fn jobs_of_each_kind_and_a_thousand_requests() {
    let cell = start();
    block_on(async {
        for (number, (kind, tasks, run_ms)) in [
            ("service", 3, 600_000),
            ("batch", 20, 300),
            ("gang", 6, 300),
        ]
        .iter()
        .enumerate()
        {
            let body = job(kind, *tasks, *run_ms);
            let response = cell
                .send_request(
                    number,
                    Method::Post,
                    "/v1/jobs",
                    "change-me-patterns",
                    &[],
                    body.as_bytes(),
                )
                .await;
            let response = response.expect("the instance answers");
            assert_eq!(
                response.status,
                201,
                "{}",
                String::from_utf8_lossy(&response.body)
            );
        }
        let mix = MixEntry {
            workspace: Workspace::new("counter").expect("a name"),
            service: ServiceName::new("quotes").expect("a name"),
            token: Arc::from("change-me-counter"),
            path: Arc::from("/quotes/price"),
            rate_per_s: 300.0,
            deadline_ms: 20_000,
            keyed: false,
        };
        let load = LoadGenerator::start(vec![mix], cell.balancer(), Duration::from_secs(4), 7, "t");
        let calls = load.finish().await;
        assert!(calls.len() >= 1_000, "{} requests were sent", calls.len());
        let other: Vec<_> = calls
            .iter()
            .filter(|call| call.seen != CallOutcome::Answered(200))
            .collect();
        assert!(
            other.is_empty(),
            "{} of {}: {other:?}",
            other.len(),
            calls.len()
        );
        for kind in ["batch", "gang"] {
            let done =
                wait_for_job(&cell, &format!("job-{kind}"), |job| job.state.is_final()).await;
            assert_eq!(done.state, JobState::Succeeded);
        }
        wait_for_job(&cell, "job-service", |job| job.running == 3).await;
        check_metrics(&cell).await;
        assert_eq!(burnt_requests(&cell, 4).await, calls.len() as u64);
        for check in check_all(&calls, &cell.standins) {
            assert_eq!(check.violations, 0, "{check:?}");
        }
    });
}

/// An operator reaches instances through the balancer only, so any of them must pass a drain on to the one that is meant.
#[test]
fn instance_is_drained_through_another_one() {
    let mut cell = start();
    block_on(async {
        let path = "/v1/instances/entry-riga-b-0/drain";
        let response = cell
            .send_request(0, Method::Post, path, OPERATOR, &[], b"")
            .await
            .expect("the instance answers");
        assert_eq!(
            response.status,
            202,
            "{}",
            String::from_utf8_lossy(&response.body)
        );
        let limit = Instant::now() + LIMIT;
        while !cell.has_ended(1).expect("the process can be asked") {
            assert!(Instant::now() < limit, "the drained instance does not end");
            sleep_ms(50).await;
        }
        let path = "/v1/instances/entry-nowhere/drain";
        let response = cell
            .send_request(0, Method::Post, path, OPERATOR, &[], b"")
            .await
            .expect("the instance answers");
        assert_eq!(response.status, 404);
    });
}
