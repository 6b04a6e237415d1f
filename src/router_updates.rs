//! Background task that passes changes of the control plane on to the router.

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

/// Interval between two updates of the router, in ms. After the lease has expired, connections are closed within this
/// interval. Together with the 50 ms that the router needs to abort requests, it fits into the 100 ms for which the
/// other members wait after the lease before they use the slots.
const UPDATE_INTERVAL_MS: u64 = 50;

/// Time after startup for which an empty list of backend servers counts as not yet read. Afterwards, an empty list
/// means that there are no backend servers.
const EMPTY_BACKENDS_DELAY: Duration = Duration::from_secs(3);

/// Updates the router's backend servers, shares and loads of other instances periodically until `stop` is requested.
///
/// The control plane applies changed shares itself; this task applies the expiry of the lease and new backend servers.
/// `can_route` is set once this instance holds slots and has the list of backend servers, and stays set.
pub async fn run_router_updates(
    can_route: Arc<AtomicBool>,
    control: Control,
    router: Router,
    stop: Stop,
) {
    let started = Instant::now();
    let mut current: Arc<Vec<Backend>> = Arc::default();
    while !stop.is_requested() {
        let backends = control.backends();
        if !Arc::ptr_eq(&current, &backends) {
            router.update_backends(backends.iter().map(backend_server).collect());
            current = backends;
        }
        let members = control.members();
        router.update_instance_count(live_instance_count(&members));
        let targets = members
            .iter()
            .filter(|member| accepts_forwarded_requests(member));
        router.update_instance_loads(targets.map(|member| load_of(&control, member)).collect());
        let shares = control.refresh_slot_shares();
        let is_listed = !current.is_empty() || started.elapsed() >= EMPTY_BACKENDS_DELAY;
        // If the zone has more members than slots, the full share of this instance may be empty.
        let has_slots = shares.by_backend.values().any(|share| share.slots > 0);
        let holds_share = shares.valid_until_ms > 0 && (has_slots || control.has_full_slot_share());
        if holds_share && is_listed {
            can_route.store(true, Ordering::Release);
        }
        sleep_ms(UPDATE_INTERVAL_MS).await;
    }
}

/// Number of live entry instances, including this one. During an outage of the table service only the heartbeats
/// between instances show which are alive.
fn live_instance_count(members: &[Member]) -> u32 {
    let is_live = |member: &&Member| {
        member.is_live || member.link.answers_heartbeats || member.link.sends_heartbeats
    };
    let others = members.iter().filter(|member| !member.is_self);
    let live = others.filter(is_live);
    u32::try_from(live.count() + 1).unwrap_or(u32::MAX)
}

/// Whether requests may be forwarded to an instance.
fn accepts_forwarded_requests(member: &Member) -> bool {
    !member.is_self
        && !member.is_leaving
        && member.link.answers_heartbeats
        && !member.link.refuses_connections
}

/// Load of another instance from its last heartbeat.
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
