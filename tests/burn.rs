//! Burn rates of the services' error budgets.

use {
    ragwortreel::burn::{BurnCounter, BurnCounts, Minute, ServiceCounts, format_table, report},
    ragwortreel_model::{ServiceName, SloSettings, Workspace},
};

/// Counts of one service whose objective allows 1% bad requests, as `(minute, total, good)`, at minute 1000.
fn service_counts(minutes: &[(u64, u64, u64)]) -> BurnCounts {
    let minutes = minutes.iter().map(|&(minute, total, good)| Minute {
        minute,
        total,
        good,
    });
    let service = ServiceCounts {
        workspace: Workspace::new("counter").expect("a name"),
        service: ServiceName::new("quotes").expect("a name"),
        slo: SloSettings {
            answered_percent: 99.0,
            latency_ms: 200,
        },
        minutes: minutes.collect(),
    };
    BurnCounts {
        minute: 1_000,
        services: vec![service],
    }
}

/// Generates one test per case: counts by minute => burn rates in percent over 5, 60 and 360 minutes, and whether an
/// operator is paged.
macro_rules! burn_rates {
    ($($name:ident: $minutes:expr => $rates:expr, $page:expr;)*) => {$(
        #[test]
        fn $name() {
            let report = report(&service_counts(&$minutes));
            let rates: Vec<String> = report[0].windows.iter().map(|w| format!("{:.0}", w.burn_rate * 100.0)).collect();
            assert_eq!(rates, $rates.map(|rate: u32| rate.to_string()));
            assert_eq!(report[0].page, $page);
        }
    )*};
}

burn_rates! {
    no_requests: [] => [0, 0, 0], false;
    all_good: [(1_000, 100, 100)] => [0, 0, 0], false;
    burn_of_exactly_the_budget: [(1_000, 100, 99)] => [100, 100, 100], false;
    fast_burn: [(1_000, 100, 80)] => [2_000, 2_000, 2_000], true;
    burn_that_ended_before_the_shortest_window: [(950, 100, 0), (1_000, 100, 100)] => [0, 5_000, 5_000], false;
    window_boundaries_are_exact: [(995, 100, 0), (996, 100, 100), (640, 100, 0)] => [0, 5_000, 5_000], false;
}

/// Guards the field names of the JSON that instances exchange and that `burn --json` prints.
#[test]
fn json_field_names_are_stable() {
    let counts = service_counts(&[(1_000, 10, 10)]);
    assert_eq!(
        serde_json::to_value(&counts).expect("counts as JSON"),
        serde_json::json!({"minute": 1_000, "services": [{"workspace": "counter", "service": "quotes",
            "slo": {"answered_percent": 99.0, "latency_ms": 200},
            "minutes": [{"minute": 1_000, "total": 10, "good": 10}]}]})
    );
    let window = |minutes: u64| serde_json::json!({"minutes": minutes, "total": 10, "good": 10, "burn_rate": 0.0});
    assert_eq!(
        serde_json::to_value(report(&counts)).expect("a report as JSON"),
        serde_json::json!([{"workspace": "counter", "service": "quotes",
            "slo": {"answered_percent": 99.0, "latency_ms": 200},
            "windows": [window(5), window(60), window(360)], "page": false}])
    );
}

/// Guards against a report that omits the failed requests of another instance: the counts of all instances are summed
/// by minute.
#[test]
fn counts_of_instances_add_up() {
    let mut sum = service_counts(&[(999, 10, 10), (1_000, 10, 10)]);
    sum.merge(&service_counts(&[(998, 5, 0), (1_000, 10, 0)]));
    let longest = report(&sum)[0].windows[2];
    assert_eq!((longest.total, longest.good), (35, 20));
}

/// Guards against requests that are not counted, or counted under another objective than the one in force.
#[test]
fn requests_are_counted() {
    let counter = BurnCounter::default();
    let (workspace, service) = (
        Workspace::new("a").expect("a name"),
        ServiceName::new("s").expect("a name"),
    );
    counter.count(&workspace, &service, &SloSettings::default(), true);
    counter.count(&workspace, &service, &SloSettings::default(), false);
    let report = report(&counter.counts());
    assert_eq!(
        (report[0].windows[2].total, report[0].windows[2].good),
        (2, 1)
    );
    assert!(format_table(&report).contains("99% in 500 ms"));
}
