//! Property tests of the parsers of settings, job specifications and names.

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

const VALID_SETTINGS: &str = r#"{"cell":{"slots_per_backend":8},"workspaces":{"alpha":{"weight":7,"quota":{"milli_cores":1,
    "memory_mib":2},"services":{"quotes":{"class":"urgent","slo":{"answered_percent":99.5,"latency_ms":5}}}}}}"#;

proptest! {
    #![proptest_config(config())]

    /// Guards against input bytes that make a parser panic, which would crash an instance.
    #[test]
    fn arbitrary_bytes_do_not_panic_the_parsers(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = Settings::parse(&bytes);
        let _ = parse_json::<JobSpec>(&bytes);
    }

    /// Guards against corrupted settings that are accepted but change when they are serialized and parsed again.
    #[test]
    fn corrupted_settings_are_rejected_or_round_trip(at in 0..VALID_SETTINGS.len(), byte in any::<u8>(), cut in 0..VALID_SETTINGS.len()) {
        let mut bytes = VALID_SETTINGS.as_bytes().to_vec();
        bytes[at] = byte;
        bytes.truncate(if cut % 3 == 0 { cut } else { VALID_SETTINGS.len() });
        if let Ok(tree) = Settings::parse(&bytes) {
            let json = serde_json::to_vec(&tree).expect("settings are serializable");
            prop_assert_eq!(Settings::parse(&json), Ok(tree));
        }
    }

    /// Guards against accepted names that need escaping in table keys, URL paths and log lines.
    #[test]
    fn accepted_names_need_no_escaping(text in "\\PC{0,140}") {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        let expected = !text.is_empty() && text.len() <= 128 && text.bytes().all(allowed);
        prop_assert_eq!(Workspace::new(&text).is_ok(), expected);
    }
}
