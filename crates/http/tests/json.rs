//! Limits of JSON bodies.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    ragwortreel_http::{JsonError, MAX_JSON_DEPTH, Method, json_request, parse_json},
    serde_json::Value,
};

/// Depth of a parsed value, computed by recursion.
fn naive_depth(value: &Value) -> usize {
    match value {
        Value::Array(items) => 1 + items.iter().map(naive_depth).max().unwrap_or(0),
        Value::Object(fields) => 1 + fields.values().map(naive_depth).max().unwrap_or(0),
        _ => 0,
    }
}

// Guards against a small body that exhausts the stack.
#[test]
fn deep_nesting_is_refused() {
    let deep = "[".repeat(MAX_JSON_DEPTH + 1) + &"]".repeat(MAX_JSON_DEPTH + 1);
    let parsed = parse_json::<Value>(deep.as_bytes(), 1000);
    assert!(matches!(parsed, Err(JsonError::TooDeep)));
    let brackets = format!("\"{}\"", "[\\\"".repeat(100));
    parse_json::<Value>(brackets.as_bytes(), 1000).expect("brackets within a string");
}

// Guards against large bodies being parsed at all.
#[test]
fn large_body_is_refused() {
    let parsed = parse_json::<Value>(b"[1,2,3]", 6);
    assert!(matches!(
        parsed,
        Err(JsonError::TooLarge { bytes: 7, limit: 6 })
    ));
}

// Guards against a JSON request that its receiver cannot identify.
#[test]
fn request_declares_its_type() {
    let req = json_request(Method::Put, "/x", &[1, 2]).expect("valid");
    assert_eq!(req.headers.get("content-type"), Some("application/json"));
    assert_eq!(req.body, b"[1,2]");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against valid JSON being refused, and deep or invalid JSON being accepted.
    #[test]
    fn acceptance_matches_the_naive_depth(text in "[\\[\\]{}\":,a1\\\\ ]{0,12}", around in 28_usize..36) {
        let text = "[".repeat(around) + &text + &"]".repeat(around);
        let naive = serde_json::from_str::<Value>(&text).ok();
        let naive = naive.filter(|value| naive_depth(value) <= MAX_JSON_DEPTH);
        prop_assert_eq!(parse_json::<Value>(text.as_bytes(), 1000).ok(), naive);
    }
}
