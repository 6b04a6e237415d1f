//! Property tests of the parsing of request targets.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    ragwortreel_caller::{Route, parse_route},
};

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a panic: any client can send any target.
    #[test]
    fn any_target_is_parsed_or_refused(method in "[A-Z]{1,8}", target in "\\PC{0,200}") {
        let _ = parse_route(&method, &target);
    }

    /// The path within a service must reach the backend server unchanged; a normalized one could name another
    /// resource of the service.
    #[test]
    fn path_of_a_service_is_kept(
        workspace in "[a-z0-9._-]{1,20}",
        service in "[a-z0-9._-]{1,20}",
        path in "(/[a-zA-Z0-9%./-]{0,30})?(\\?[a-z=&0-9]{0,20})?",
    ) {
        let route = parse_route("POST", &format!("/v1/services/{workspace}/{service}{path}"));
        let Ok(Route::Service { workspace: found_workspace, service: found_service, path: found }) = route else {
            return Err(TestCaseError::fail(format!("{route:?}")));
        };
        prop_assert_eq!(found_workspace.as_str(), workspace);
        prop_assert_eq!(found_service.as_str(), service);
        let expected = if path.starts_with('/') { path } else { format!("/{path}") };
        prop_assert_eq!(&*found, expected);
    }
}
