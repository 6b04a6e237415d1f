//! Order of configurations.

use {
    super::{Configuration, ReadDetails},
    crate::{CellMetrics, api::CellRoutes},
    ragwortreel_model::Workspace,
    ragwortreel_runtime::discard_logger,
    std::{collections::BTreeMap, sync::Arc},
};

fn routes(version: u64, key: &str) -> CellRoutes {
    let workspace = Workspace::new("a").expect("a valid name");
    let mut routes = CellRoutes::new(version, []);
    routes.keys = BTreeMap::from([(key.to_owned(), workspace)]);
    routes
}

/// Guards against a configuration that counts as being in force although it was not applied, and against a repeated read
/// of the one in force that does not count.
#[test]
fn only_newer_and_equal_configurations_are_in_force() {
    let meter = opentelemetry::global::meter("test");
    let metrics = Arc::new(CellMetrics::new(&meter));
    let configuration = Configuration::new(metrics, discard_logger());
    let apply = |routes| configuration.apply(routes, ReadDetails::default());
    assert!(apply(routes(2, "k")));
    assert!(apply(routes(2, "k")));
    assert!(!apply(routes(2, "other")));
    assert!(!apply(routes(1, "k")));
    assert_eq!(*configuration.routes(), routes(2, "k"));
    assert!(apply(routes(3, "other")));
    assert_eq!(*configuration.routes(), routes(3, "other"));
}
