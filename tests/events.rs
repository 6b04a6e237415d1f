//! Comparison of the log events in the code with their catalogue in `docs/events.md`.

use {
    ragwortreel_runtime::Event,
    std::{collections::BTreeSet, env, fmt::Write as _, fs, path::Path},
};

/// Environment variable that, if set, makes the test write the catalogue instead of comparing it.
const WRITE_ENV: &str = "RAGWORTREEL_WRITE_EVENTS";

const PACKAGES: &[(&str, &[Event])] = &[
    ("http", ragwortreel_http::events::ALL),
    ("platform", ragwortreel_platform::events::ALL),
    ("worker", ragwortreel_worker::events::ALL),
    ("backend", ragwortreel_backend::events::ALL),
    ("entry", ragwortreel_entry::events::ALL),
    ("control", ragwortreel_control::events::ALL),
    ("daemon", ragwortreel::events::ALL),
    ("dispatch", ragwortreel_dispatch::events::ALL),
    ("platform adapter", ragwortreel_dzintars::events::ALL),
];

fn render_catalogue() -> String {
    let mut text = "# Log events\n\nEach log line is a JSON object, of `ragwortreel serve` on standard error and of `ragwortreel \
        cell` on standard\noutput; its field `event` holds the number. A test keeps this page and the code together.\n\n| event | package | level | message |\n|---|---|---|---|\n"
        .to_owned();
    for (package, events) in PACKAGES {
        for event in *events {
            let level = event.level.as_str().to_lowercase();
            let _ = writeln!(
                text,
                "| {} | {package} | {level} | {} |",
                event.number, event.message
            );
        }
    }
    text
}

/// Guards against events that are missing from the catalogue and against catalogue lines without an event.
#[test]
fn catalogue_lists_all_events() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/events.md");
    if env::var_os(WRITE_ENV).is_some() {
        fs::write(&path, render_catalogue()).expect("the catalogue is written");
    }
    let found = fs::read_to_string(&path).expect("docs/events.md exists");
    assert_eq!(
        found,
        render_catalogue(),
        "run this test with {WRITE_ENV}=1 and commit docs/events.md"
    );
}

/// Guards against two events with the same number, which operators use to look up an event.
#[test]
fn numbers_are_unique() {
    let numbers: Vec<u32> = PACKAGES
        .iter()
        .flat_map(|(_, events)| events.iter().map(|event| event.number))
        .collect();
    let unique: BTreeSet<&u32> = numbers.iter().collect();
    assert_eq!(unique.len(), numbers.len());
}
