//! The demonstration, as a newcomer runs it.

use std::process::Command;

/// The first command of the README must work on a machine that has nothing else.
#[test]
fn quickstart_keeps_all_promises() {
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
        let answered = report["services"].as_array().into_iter().flatten();
        let answered: u64 = answered
            .filter_map(|service| service["answered"].as_u64())
            .sum();
        assert!(answered > 0, "{report}");
    }
}
