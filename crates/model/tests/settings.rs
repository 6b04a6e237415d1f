//! Rejection of invalid settings, with the path of the invalid value in the error.

use ragwortreel_model::Settings;

/// Declares a test for each invalid document, with the expected start of the error message.
macro_rules! rejected_documents {
    ($($name:ident: $json:expr => $error:literal;)*) => {$(
        #[test]
        fn $name() {
            let err = Settings::parse($json.as_bytes()).expect_err("the document should be rejected").to_string();
            assert!(err.starts_with($error), "{err}");
        }
    )*};
}

rejected_documents! {
    unknown_key: r#"{"cell":{"slots":8}}"# => "cell.slots: unknown field `slots`";
    wrong_type: r#"{"workspaces":{"alpha":{"weight":"x"}}}"# => "workspaces.alpha.weight: invalid type: string";
    negative_max_jobs: r#"{"workspaces":{"alpha":{"max_jobs":-1}}}"# => "workspaces.alpha.max_jobs: invalid value";
    zero_weight: r#"{"workspaces":{"alpha":{"weight":0}}}"# => "workspaces.alpha.weight: 0 is out of range, expected 1 to 1000000";
    invalid_workspace_name: r#"{"workspaces":{"a b":{}}}"# => "workspaces";
    long_slots_above_slots: r#"{"cell":{"slots_per_backend":4,"long_slot_limit":5}}"# => "cell.long_slot_limit: 5 is out";
    fewer_connections_than_slots: r#"{"cell":{"connections_per_backend":7}}"# => "cell.connections_per_backend: 7 is out";
    invalid_token_digest: r#"{"cell":{"operator_token_sha256":"XY"}}"# => "cell.operator_token_sha256: expected 64";
    zero_deadline: r#"{"workspaces":{"a":{"services":{"s":{"deadline_ms":0}}}}}"# => "workspaces.a.services.s.deadline_ms: 0 is out";
    objective_of_100_percent: r#"{"workspaces":{"a":{"services":{"s":{"slo":{"answered_percent":100}}}}}}"#
        => "workspaces.a.services.s.slo.answered_percent: expected above 0 and below 100";
    trailing_bytes_after_document: "{} {}" => ".: trailing characters";
    deep_nesting: format!("{}{}", r#"{"workspaces":"#, "[".repeat(1_000)) => "workspaces";
    document_over_size_limit: " ".repeat(5 * 1024 * 1024) => ".: expected at most 4 MiB";
    token_shared_by_two_workspaces: format!(r#"{{"workspaces":{{"a":{{"token_sha256":"{0}"}},"b":{{"token_sha256":"{0}"}}}}}}"#, "0".repeat(64))
        => "workspaces.b.token_sha256: the token belongs to another workspace";
}

/// Guards against serialization that loses or alters values: a change of one section would then change others.
#[test]
fn settings_round_trip_through_json() {
    let json = r#"{"workspaces":{"alpha":{"services":{"quotes":{"class":"urgent","idempotent":true}}},"beta":{"weight":7}}}"#;
    let tree = Settings::parse(json.as_bytes()).expect("the settings should be valid");
    let serialized = serde_json::to_vec(&tree).expect("settings are serializable");
    assert_eq!(Settings::parse(&serialized), Ok(tree));
}
