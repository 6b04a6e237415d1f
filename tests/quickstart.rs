//! The built-in demonstration, run with the real binary.

use std::process::Command;

/// Sorted field names of a JSON object.
fn keys(value: &serde_json::Value) -> Vec<&str> {
    let mut keys: Vec<&str> = value
        .as_object()
        .expect("an object")
        .keys()
        .map(String::as_str)
        .collect();
    keys.sort_unstable();
    keys
}

/// Guards the first command of the README: it must work without any other service on the machine, its checks must find
/// no violations, and its JSON report must keep its field names.
#[test]
fn quickstart_finds_no_violations() {
    let output = Command::new(env!("CARGO_BIN_EXE_ragwortreel"))
        .args(["quickstart", "--seconds", "3", "--json"])
        .output()
        .expect("the binary runs");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(
        output.status.success(),
        "{text}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    let reports: serde_json::Value = serde_json::from_str(&text).expect("a JSON report");
    for report in reports.as_array().expect("a report for each user") {
        assert_eq!(keys(report), ["burn", "checks", "jobs", "services", "user"]);
        assert_eq!(
            keys(&report["services"][0]),
            [
                "answered", "not_run", "p50_ms", "p99_ms", "requests", "service", "unknown"
            ]
        );
        assert_eq!(
            keys(&report["jobs"][0]),
            ["job", "kind", "running", "state", "succeeded"]
        );
        assert_eq!(
            keys(&report["checks"][0]),
            ["checked", "example", "promise", "violations"]
        );
        let answered = report["services"].as_array().into_iter().flatten();
        let answered: u64 = answered
            .filter_map(|service| service["answered"].as_u64())
            .sum();
        assert!(answered > 0, "{report}");
    }
}
