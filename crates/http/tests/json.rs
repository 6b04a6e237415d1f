//! Size and depth limits of JSON bodies.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    ragwortreel_http::{JsonError, MAX_JSON_DEPTH, Method, json_request, parse_json},
    serde_json::Value,
};

/// Nesting depth of a parsed value, computed recursively as a reference.
fn reference_depth(value: &Value) -> usize {
    match value {
        Value::Array(items) => 1 + items.iter().map(reference_depth).max().unwrap_or(0),
        Value::Object(fields) => 1 + fields.values().map(reference_depth).max().unwrap_or(0),
        _ => 0,
    }
}

// Guards against stack exhaustion by a small, deeply nested body.
#[test]
fn deep_nesting_is_rejected() {
    let deep = "[".repeat(MAX_JSON_DEPTH + 1) + &"]".repeat(MAX_JSON_DEPTH + 1);
    let parsed = parse_json::<Value>(deep.as_bytes(), 1000);
    assert!(matches!(parsed, Err(JsonError::TooDeep)));
    let brackets = format!("\"{}\"", "[\\\"".repeat(100));
    parse_json::<Value>(brackets.as_bytes(), 1000).expect("brackets within a string");
}

// Guards against parsing bodies above the size limit.
#[test]
fn large_body_is_rejected() {
    let parsed = parse_json::<Value>(b"[1,2,3]", 6);
    assert!(matches!(
        parsed,
        Err(JsonError::TooLarge { bytes: 7, limit: 6 })
    ));
}

// Guards against a JSON request without the content type that its receiver expects.
#[test]
fn json_request_sets_the_content_type() {
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

    // Guards against rejecting valid JSON, and against accepting invalid or too deeply nested JSON.
    #[test]
    fn acceptance_matches_the_reference_depth(text in "[\\[\\]{}\":,a1\\\\ ]{0,12}", outer_depth in 28_usize..36) {
        let text = "[".repeat(outer_depth) + &text + &"]".repeat(outer_depth);
        let reference = serde_json::from_str::<Value>(&text).ok();
        let reference = reference.filter(|value| reference_depth(value) <= MAX_JSON_DEPTH);
        prop_assert_eq!(parse_json::<Value>(text.as_bytes(), 1000).ok(), reference);
    }
}
