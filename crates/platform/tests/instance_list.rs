//! Odd entries in the platform's list of instances, written by somebody else: the other entries are read.

use {
    async_trait::async_trait,
    ragwortreel_http::{Handler, Request, Response, Server, ServerLimits},
    ragwortreel_model::Zone,
    ragwortreel_platform::{HttpPlatform, InstanceList, ListedRole},
    ragwortreel_runtime::{Stop, block_on, discard_logger, spawn},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Handler that gives the same response to each request.
struct FixedResponse(String);

#[async_trait]
impl Handler for FixedResponse {
    async fn handle(&self, _req: Request, _peer: SocketAddr) -> Response {
        Response::new(200).with_body(self.0.clone())
    }
}

/// Entry of a worker with this address, and these thousandths of a core in JSON.
fn entry(id: &str, address: &str, milli_cores: &str) -> String {
    format!(
        r#"{{"id":"{id}","zone":"riga-a","address":"{address}","state":"live","role":{{"role":"worker","rack":"r1","capacity":{{"milli_cores":{milli_cores},"memory_mib":1}}}}}}"#
    )
}

/// Checks that workers before and after an odd entry are listed, and the odd one is not.
fn is_left_out(odd: &str) {
    let good = |id| entry(id, "10.0.0.1:80", "1000");
    let body = format!(r#"{{"instances":[{},{odd},{}]}}"#, good("w-1"), good("w-2"));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let handler = Arc::new(FixedResponse(body));
    let server = Server::bind(any, handler, ServerLimits::default(), discard_logger());
    let server = server.expect("a free port");
    let zone = Zone::new("riga-a").expect("valid name");
    let client = HttpPlatform::new(server.local_addr(), zone, Duration::from_secs(5));
    spawn(server.run(Stop::new())).detach();
    let listed = block_on(client.list()).expect("a list");
    let ids: Vec<_> = listed.iter().map(|it| it.id.as_str()).collect();
    assert_eq!(ids, ["w-1", "w-2"]);
    assert!((listed.iter()).all(|it| matches!(it.role, ListedRole::Worker { .. })));
}

macro_rules! odd_entries {
    ($($name:ident: $odd:expr;)*) => {$(
        #[test]
        fn $name() {
            is_left_out(&$odd);
        }
    )*};
}

fn nested() -> String {
    "[".repeat(20_000) + &"]".repeat(20_000)
}

// Each guards against an instance that stops following the list because of one entry.
odd_entries! {
    deeply_nested_entry_is_left_out: nested();
    deeply_nested_member_is_left_out: entry("w-3", "10.0.0.1:80", &nested());
    number_beyond_the_range_of_floats_is_left_out: entry("w-3", "10.0.0.1:80", "1e999");
    largest_whole_number_is_left_out: entry("w-3", "10.0.0.1:80", "18446744073709551615");
    port_out_of_range_is_left_out: entry("w-3", "10.0.0.1:70000", "1000");
    port_zero_is_left_out: entry("w-3", "10.0.0.1:0", "1000");
    unknown_role_is_left_out: entry("w-3", "10.0.0.1:80", "1000").replace("worker", "gateway");
    invalid_name_is_left_out: entry("w 3", "10.0.0.1:80", "1000");
    number_in_place_of_an_entry_is_left_out: "7";
}
