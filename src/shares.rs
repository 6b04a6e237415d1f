//! Turns the zone's slot epoch into what this instance may use of each backend server.

use {
    ragwortreel_control::{Backend, Control, SlotShares as Epochs},
    ragwortreel_model::{InstanceId, Zone},
    ragwortreel_platform::InstanceState,
    ragwortreel_routing::{
        BackendId, BackendServer, Router, Share, SlotLimits, SlotShares, inherits, slot_shares,
    },
    ragwortreel_runtime::{Stop, future, sleep_ms},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Time between two looks at the lease and the list of backend servers, in ms; a lease lasts 3000 ms.
const REFRESH_MS: u64 = 250;

/// Time after which an empty list of backend servers is taken for a cell without any.
const NO_BACKENDS: Duration = Duration::from_secs(3);

/// Where this instance stands.
#[derive(Debug, Clone)]
pub struct Place {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Its zone.
    pub zone: Zone,
}

/// Keeps the router's shares and backend servers up to date until the stop is requested.
///
/// `can_route` is set once this instance holds slots and knows the backend servers, and stays set.
pub async fn follow_shares(
    place: Place,
    can_route: Arc<AtomicBool>,
    control: Control,
    router: Router,
    stop: Stop,
) {
    let changes = control.subscribe_slot_shares();
    let begun = Instant::now();
    let mut known: Arc<Vec<Backend>> = Arc::default();
    while !stop.is_requested() {
        let backends = control.backends();
        if !Arc::ptr_eq(&known, &backends) {
            router.update_backends(backends.iter().map(backend_server).collect());
            known = backends;
        }
        let shares = usable(&place, &control, &known);
        let is_listed = !known.is_empty() || begun.elapsed() >= NO_BACKENDS;
        if shares.valid_until_ms > 0 && is_listed {
            can_route.store(true, Ordering::Release);
        }
        router.update_shares(shares);
        let next_change = async {
            let _ = changes.recv().await;
        };
        future::or(next_change, sleep_ms(REFRESH_MS)).await;
    }
}

/// What this instance may use now.
fn usable(place: &Place, control: &Control, backends: &[Backend]) -> SlotShares {
    let limits = SlotLimits::of(&control.settings().settings.cell);
    let epochs = control.slot_shares_input();
    let own = backends.iter().filter(|backend| backend.zone == place.zone);
    let share = |backend: &Backend| {
        let id: BackendId = Arc::from(backend.id.as_str());
        let share = share_of(&epochs, &place.instance, &id, limits);
        (id, share)
    };
    SlotShares {
        by_backend: own.map(share).collect(),
        valid_until_ms: epochs.lease_until_ms,
        excess_until_ms: None,
    }
}

/// The smallest share over all epochs whose holders may still use theirs, without what silent members could take.
fn share_of(epochs: &Epochs, me: &InstanceId, backend: &BackendId, limits: SlotLimits) -> Share {
    let share_in = |members: &[InstanceId]| {
        slot_shares(members, backend, limits)
            .get(me)
            .copied()
            .unwrap_or_default()
    };
    let earlier = epochs
        .earlier
        .iter()
        .filter(|earlier| !earlier.unreleased.is_empty());
    let share = earlier.fold(share_in(&epochs.members), |share, earlier| {
        share.min(share_in(&earlier.members))
    });
    if epochs.withheld_for.is_empty() {
        return share;
    }
    let gains = inherits(&epochs.members, std::slice::from_ref(me), backend, limits);
    let of_silent = epochs
        .withheld_for
        .iter()
        .filter_map(|member| gains.get(member));
    share.less(of_silent.fold(Share::default(), |sum, gain| sum.plus(*gain)))
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
