//! Property tests of the parsers of settings and job specifications.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    ragwortreel_model::{JobSpec, Settings, Workspace, parse_json},
};

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

const VALID: &str = r#"{"cell":{"slots_per_backend":8},"workspaces":{"alpha":{"weight":7,"quota":{"milli_cores":1,
    "memory_mib":2},"services":{"quotes":{"class":"urgent","slo":{"answered_percent":99.5,"latency_ms":5}}}}}}"#;

proptest! {
    #![proptest_config(config())]

    /// No document may crash an instance, whatever its bytes.
    #[test]
    fn any_bytes_are_parsed_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = Settings::parse(&bytes);
        let _ = parse_json::<JobSpec>(&bytes);
    }

    /// A damaged tree is refused, or is one that survives a round trip.
    #[test]
    fn damaged_trees_are_refused_or_sound(at in 0..VALID.len(), byte in any::<u8>(), cut in 0..VALID.len()) {
        let mut bytes = VALID.as_bytes().to_vec();
        bytes[at] = byte;
        bytes.truncate(if cut % 3 == 0 { cut } else { VALID.len() });
        if let Ok(tree) = Settings::parse(&bytes) {
            let json = serde_json::to_vec(&tree).expect("settings are serializable");
            prop_assert_eq!(Settings::parse(&json), Ok(tree));
        }
    }

    /// Only names that need no escaping in keys, paths and log lines are accepted.
    #[test]
    fn names_are_plain(text in "\\PC{0,140}") {
        let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        let expected = !text.is_empty() && text.len() <= 128 && text.bytes().all(plain);
        prop_assert_eq!(Workspace::new(&text).is_ok(), expected);
    }
}
