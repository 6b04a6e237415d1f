//! End-to-end tests with nine entry instances in three zones as separate processes, and 48 workers.

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

/// Operator token of the example settings.
const OPERATOR_TOKEN: &str = "change-me-operator";
/// Timeout for reaching an expected state; long enough that the tests do not fail on a slow machine.
const STATE_TIMEOUT: Duration = Duration::from_mins(1);

fn start_cell() -> ProcessCell {
    let mut plan = CellPlan::pattern_service().expect("built-in settings");
    plan.entries_per_zone = 3;
    plan.workers_per_zone = 16;
    let program = Program {
        path: PathBuf::from(env!("CARGO_BIN_EXE_ragwortreel")),
        args: vec!["serve".to_owned()],
    };
    let cell = ProcessCell::start(plan, program).expect("all processes start");
    block_on(cell.wait_ready(STATE_TIMEOUT)).expect("all entry instances become ready");
    cell
}

/// Job specification as JSON; each task runs for `run_ms`.
fn job_json(kind: &str, tasks: u32, run_ms: u64) -> String {
    format!(
        r#"{{"id":"job-{kind}","workspace":"patterns","name":"{kind}","kind":"{kind}","tasks":{tasks},
            "resources":{{"milli_cores":1000,"memory_mib":1024}},"payload":"{{\"run_ms\":{run_ms}}}"}}"#
    )
}

/// Polls the instances in turn until one reports the wanted state of a job.
async fn wait_for_job(
    cell: &ProcessCell,
    id: &str,
    wanted: impl Fn(&JobStatus) -> bool,
) -> JobStatus {
    let limit = Instant::now() + STATE_TIMEOUT;
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
            "job {id} has not reached the wanted state in time: {status:?}"
        );
        number += 1;
        sleep_ms(100).await;
    }
}

/// Metrics that docs/operators.md names, each with a label that must be present.
const DOCUMENTED_METRICS: &[(&str, &str)] = &[
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

/// Waits until each documented metric is exported by some instance; gauges appear with the next sample.
async fn wait_for_metrics(cell: &ProcessCell) {
    let limit = Instant::now() + STATE_TIMEOUT;
    loop {
        let text = fetch_metrics(cell).await;
        let is_exported = |name: &str, label: &str| {
            text.lines()
                .any(|line| line.starts_with(name) && line.contains(label))
        };
        let missing: Vec<_> = DOCUMENTED_METRICS
            .iter()
            .filter(|(name, label)| !is_exported(name, label))
            .collect();
        if missing.is_empty() {
            return;
        }
        assert!(
            Instant::now() < limit,
            "metrics are not exported: {missing:?}"
        );
        sleep_ms(200).await;
    }
}

/// Exported metrics of all instances.
async fn fetch_metrics(cell: &ProcessCell) -> String {
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

/// Number of requests of all services in the burn counts that the instance `number` reports for the whole cell.
async fn counted_requests(cell: &ProcessCell, number: usize) -> u64 {
    let response = cell
        .send_request(number, Method::Get, "/v1/burn", OPERATOR_TOKEN, &[], b"")
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

/// Guards the cooperation of instances in separate processes: jobs of each kind are placed by the instance that owns
/// the pool, requests at any instance get complete answers, and the metrics, burn counts and checks agree with them.
#[test]
fn jobs_of_each_kind_and_a_thousand_requests() {
    let cell = start_cell();
    block_on(async {
        for (number, (kind, tasks, run_ms)) in [
            ("service", 3, 600_000),
            ("batch", 20, 300),
            ("gang", 6, 300),
        ]
        .iter()
        .enumerate()
        {
            let body = job_json(kind, *tasks, *run_ms);
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
        let failed: Vec<_> = calls
            .iter()
            .filter(|call| call.seen != CallOutcome::Answered(200))
            .collect();
        assert!(
            failed.is_empty(),
            "{} of {} requests were not answered with 200: {failed:?}",
            failed.len(),
            calls.len()
        );
        for kind in ["batch", "gang"] {
            let ended =
                wait_for_job(&cell, &format!("job-{kind}"), |job| job.state.is_final()).await;
            assert_eq!(ended.state, JobState::Succeeded);
        }
        wait_for_job(&cell, "job-service", |job| job.running == 3).await;
        wait_for_metrics(&cell).await;
        assert_eq!(counted_requests(&cell, 4).await, calls.len() as u64);
        for check in check_all(&calls, &cell.standins) {
            assert_eq!(check.violations, 0, "{check:?}");
        }
    });
}

/// Guards against a drain that only the named instance accepts. Operators reach instances only through the load
/// balancer, so each instance must forward a drain to the named one and reply 404 for an unknown one.
#[test]
fn instance_is_drained_through_another_one() {
    let mut cell = start_cell();
    block_on(async {
        let path = "/v1/instances/entry-riga-b-0/drain";
        let response = cell
            .send_request(0, Method::Post, path, OPERATOR_TOKEN, &[], b"")
            .await
            .expect("the instance answers");
        assert_eq!(
            response.status,
            202,
            "{}",
            String::from_utf8_lossy(&response.body)
        );
        let limit = Instant::now() + STATE_TIMEOUT;
        while !cell.has_ended(1).expect("the process state can be queried") {
            assert!(
                Instant::now() < limit,
                "the drained instance has not ended in time"
            );
            sleep_ms(50).await;
        }
        let path = "/v1/instances/entry-nowhere/drain";
        let response = cell
            .send_request(0, Method::Post, path, OPERATOR_TOKEN, &[], b"")
            .await
            .expect("the instance answers");
        assert_eq!(response.status, 404);
    });
}
