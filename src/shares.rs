//! Keeps the router's backend servers and shares up to date.

use {
    ragwortreel_control::{Backend, Control},
    ragwortreel_platform::InstanceState,
    ragwortreel_routing::{BackendServer, Router},
    ragwortreel_runtime::{Stop, sleep_ms},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Time between two looks at the lease and the list of backend servers, in ms. After the lease's end connections are
/// closed within it and the 50 ms that the router needs to end requests fit into the 100 ms that other members allow.
const REFRESH_MS: u64 = 50;

/// Time after which an empty list of backend servers is taken for a cell without any.
const NO_BACKENDS: Duration = Duration::from_secs(3);

/// Keeps the router's backend servers, shares and number of instances up to date until the stop is requested.
///
/// Control hands over changed shares itself; the calls here pass on the end of the lease and new backend servers.
/// `can_route` is set once this instance holds slots and knows the backend servers, and stays set.
pub async fn follow_shares(
    can_route: Arc<AtomicBool>,
    control: Control,
    router: Router,
    stop: Stop,
) {
    let begun = Instant::now();
    let mut known: Arc<Vec<Backend>> = Arc::default();
    while !stop.is_requested() {
        let backends = control.backends();
        if !Arc::ptr_eq(&known, &backends) {
            router.update_backends(backends.iter().map(backend_server).collect());
            known = backends;
        }
        router.update_instances(live_instances(&control));
        let shares = control.refresh_shares();
        let is_listed = !known.is_empty() || begun.elapsed() >= NO_BACKENDS;
        if shares.valid_until_ms > 0 && is_listed {
            can_route.store(true, Ordering::Release);
        }
        sleep_ms(REFRESH_MS).await;
    }
}

/// Entry instances that callers reach, this one included. While the table is down only the links show them.
fn live_instances(control: &Control) -> u32 {
    let members = control.members();
    let is_live = |link: ragwortreel_control::LinkState| link.answers || link.calls_us;
    let others = members.iter().filter(|member| !member.is_self);
    let live = others.filter(|member| member.is_live || is_live(member.link));
    u32::try_from(live.count() + 1).unwrap_or(u32::MAX)
}

fn backend_server(backend: &Backend) -> BackendServer {
    BackendServer {
        id: Arc::from(backend.id.as_str()),
        zone: backend.zone.clone(),
        address: backend.address,
        team: backend.team.clone(),
        service: backend.service.clone(),
        leaving: backend.state != InstanceState::Live,
    }
}
