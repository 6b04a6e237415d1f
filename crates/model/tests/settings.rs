//! Refusal of unacceptable settings with the path in the tree.

use ragwortreel_model::Settings;

/// Names each case: a document and the beginning of the error that it must give.
macro_rules! refused {
    ($($name:ident: $json:expr => $error:literal;)*) => {$(
        #[test]
        fn $name() {
            let err = Settings::parse($json.as_bytes()).expect_err("the document must be refused").to_string();
            assert!(err.starts_with($error), "{err}");
        }
    )*};
}

refused! {
    unknown_key: r#"{"cell":{"slots":8}}"# => "cell.slots: unknown field `slots`";
    wrong_type: r#"{"workspaces":{"alpha":{"weight":"x"}}}"# => "workspaces.alpha.weight: invalid type: string";
    negative: r#"{"workspaces":{"alpha":{"max_jobs":-1}}}"# => "workspaces.alpha.max_jobs: invalid value";
    zero_weight: r#"{"workspaces":{"alpha":{"weight":0}}}"# => "workspaces.alpha.weight: 0 is out of range, expected 1 to 1000000";
    bad_workspace_name: r#"{"workspaces":{"a b":{}}}"# => "workspaces";
    long_slots_above_slots: r#"{"cell":{"slots_per_backend":4,"long_slot_limit":5}}"# => "cell.long_slot_limit: 5 is out";
    fewer_connections_than_slots: r#"{"cell":{"connections_per_backend":7}}"# => "cell.connections_per_backend: 7 is out";
    bad_digest: r#"{"cell":{"operator_token_sha256":"XY"}}"# => "cell.operator_token_sha256: expected 64";
    zero_deadline: r#"{"workspaces":{"a":{"services":{"s":{"deadline_ms":0}}}}}"# => "workspaces.a.services.s.deadline_ms: 0 is out";
    objective_of_100: r#"{"workspaces":{"a":{"services":{"s":{"slo":{"answered_percent":100}}}}}}"#
        => "workspaces.a.services.s.slo.answered_percent: expected above 0 and below 100";
    trailing_bytes: "{} {}" => ".: trailing characters";
    nesting: format!("{}{}", r#"{"workspaces":"#, "[".repeat(1_000)) => "workspaces";
    too_large: " ".repeat(5 * 1024 * 1024) => ".: expected at most 4 MiB";
    shared_token: format!(r#"{{"workspaces":{{"a":{{"token_sha256":"{0}"}},"b":{{"token_sha256":"{0}"}}}}}}"#, "0".repeat(64))
        => "workspaces.b.token_sha256: the token belongs to another workspace";
}

/// A tree that is written and read again must be the same, or a change of one branch could alter another.
#[test]
fn tree_survives_a_round_trip() {
    let json = r#"{"workspaces":{"alpha":{"services":{"quotes":{"class":"urgent","idempotent":true}}},"beta":{"weight":7}}}"#;
    let tree = Settings::parse(json.as_bytes()).expect("acceptable settings");
    let again = serde_json::to_vec(&tree).expect("settings are serializable");
    assert_eq!(Settings::parse(&again), Ok(tree));
}
