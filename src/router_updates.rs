//! Keeps the router's backend servers and shares up to date.

use {
    ragwortreel_control::{Backend, Control, Member},
    ragwortreel_model::{ServiceName, Workspace},
    ragwortreel_platform::InstanceState,
    ragwortreel_routing::{BackendServer, InstanceLoad, Router},
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

/// Keeps the router's backend servers, shares and knowledge of other instances up to date until the stop is requested.
///
/// Control hands over changed shares itself; the calls here pass on the end of the lease and new backend servers.
/// `can_route` is set once this instance holds slots and knows the backend servers, and stays set.
pub async fn run_router_updates(
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
        let members = control.members();
        router.update_instance_count(live_instances(&members));
        let reached = members.iter().filter(|member| may_take(member));
        router.update_instance_loads(reached.map(|member| load_of(&control, member)).collect());
        let shares = control.refresh_slot_shares();
        let is_listed = !known.is_empty() || begun.elapsed() >= NO_BACKENDS;
        // With more members than slots a settled share may be empty.
        let has_slots = shares.by_backend.values().any(|share| share.slots > 0);
        let holds_share = shares.valid_until_ms > 0 && (has_slots || control.has_full_slot_share());
        if holds_share && is_listed {
            can_route.store(true, Ordering::Release);
        }
        sleep_ms(REFRESH_MS).await;
    }
}

/// Entry instances that callers reach, this one included. While the table is down only the links show them.
fn live_instances(members: &[Member]) -> u32 {
    let is_live = |member: &&Member| {
        member.is_live || member.link.answers_heartbeats || member.link.sends_heartbeats
    };
    let others = members.iter().filter(|member| !member.is_self);
    let live = others.filter(is_live);
    u32::try_from(live.count() + 1).unwrap_or(u32::MAX)
}

/// Whether requests may be forwarded to an instance.
fn may_take(member: &Member) -> bool {
    !member.is_self
        && !member.is_leaving
        && member.link.answers_heartbeats
        && !member.link.refuses_connections
}

/// Load of another instance by its last heartbeat.
fn load_of(control: &Control, member: &Member) -> InstanceLoad {
    let free = control.free_slots_of(&member.instance);
    let service = |(name, free): (&String, &u32)| {
        let (workspace, service) = name.split_once('/')?;
        let key = (
            Workspace::new(workspace).ok()?,
            ServiceName::new(service).ok()?,
        );
        Some((key, *free))
    };
    #[allow(clippy::cast_precision_loss, reason = "round trips are below 2^52 ms")]
    let round_trip_ms = member.link.round_trip_ms as f64;
    InstanceLoad {
        instance: member.instance.clone(),
        zone: member.zone.clone(),
        report_number: member.link.heartbeats_received,
        round_trip_ms,
        free_slots: free.iter().filter_map(service).collect(),
    }
}

fn backend_server(backend: &Backend) -> BackendServer {
    BackendServer {
        id: Arc::from(backend.id.as_str()),
        zone: backend.zone.clone(),
        address: backend.address,
        workspace: backend.workspace.clone(),
        service: backend.service.clone(),
        draining: backend.state != InstanceState::Live,
    }
}
