//! Names and labels of the exported metrics.

use {
    ragwortreel::telemetry::Telemetry,
    ragwortreel_model::{JobKind, Outcome, Pool, WorkClass, Workspace},
    ragwortreel_routing::{ClassMetrics, RouterMetrics, WorkspaceMetrics},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Each metric's name with its sorted label names, without buckets, sums and OpenTelemetry's own metrics and labels.
fn names_and_labels(text: &str) -> Vec<String> {
    let mut found = BTreeSet::new();
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        let series = line.rsplit_once(' ').expect("a value").0;
        let (name, labels) = series.split_once('{').unwrap_or((series, ""));
        if name == "target_info" || name.ends_with("_bucket") || name.ends_with("_sum") {
            continue;
        }
        let labels = labels.split(',').filter_map(|label| label.split_once('='));
        let labels = labels.map(|(label, _)| label);
        let labels: BTreeSet<&str> = labels
            .filter(|label| !label.starts_with("otel_scope"))
            .collect();
        let labels: Vec<&str> = labels.into_iter().collect();
        found.insert(format!("{name} {}", labels.join(",")));
    }
    found.into_iter().collect()
}

/// Guards against renamed metrics and labels: dashboards and alerts would lose their data without an error.
#[test]
fn metric_names_and_labels_are_stable() {
    let telemetry = Telemetry::new().expect("metrics");
    let workspace = Workspace::new("alpha").expect("a name");
    let pool = Pool::new("riga-a.0").expect("a name");
    let second = Duration::from_secs(1);
    telemetry.record_request(&workspace, WorkClass::Short, Outcome::Answered, second);
    telemetry.record_queue_wait(&workspace, WorkClass::Short, second);
    telemetry.record_attempt(&workspace, "answered");
    telemetry.record_placement(&workspace, JobKind::Gang, second);
    telemetry.record_pool(&pool, 250_000, 3);
    telemetry.record_settings_version(7);
    telemetry.record_store_calls(11, 12);
    let class = ClassMetrics {
        queued: 1,
        in_flight: 2,
        ..ClassMetrics::default()
    };
    let queues = WorkspaceMetrics {
        classes: BTreeMap::from([(WorkClass::Short, class)]),
        ..WorkspaceMetrics::default()
    };
    telemetry.record_routing(&RouterMetrics {
        workspaces: BTreeMap::from([(workspace, queues)]),
        ..RouterMetrics::default()
    });
    let text = String::from_utf8(telemetry.encode()).expect("UTF-8");
    assert_eq!(
        names_and_labels(&text),
        [
            "link_traffic_bytes direction,link",
            "placement_wait_seconds_count kind,workspace",
            "pool_reserved_share pool",
            "process_cpu_seconds ",
            "process_resident_bytes ",
            "queue_length class",
            "queue_length pool",
            "request_attempts_total result,workspace",
            "request_duration_seconds_count class,outcome,workspace",
            "request_queue_duration_seconds_count class,workspace",
            "requests_in_flight class",
            "settings_version ",
            "store_calls kind",
        ]
    );
}
