//! Peers, the other entry instances: clients, heartbeats and the state from their last heartbeat.

use {
    crate::{
        api::{LinkState, Load},
        rows::InstanceRow,
        shared::Shared,
    },
    prost::Message,
    ragwortreel_entry::{
        EntryError, EntryPeer, MAX_HEARTBEAT_BYTES,
        generated::{HeartbeatReply, HeartbeatRequest, PoolSummary, SettingsVersion},
    },
    ragwortreel_model::{Incarnation, InstanceId, Pool},
    ragwortreel_runtime::{lock, sleep_ms, spawn},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
};

/// Entries of free slots in a heartbeat; further entries are left out to bound its size.
const MAX_FREE_SLOT_ENTRIES: usize = 48;

#[derive(Default)]
pub(crate) struct Peers {
    by_id: Mutex<BTreeMap<InstanceId, Peer>>,
}

struct Peer {
    address: SocketAddr,
    client: Arc<dyn EntryPeer>,
    answered_ms: Option<u64>,
    heartbeat_received_ms: Option<u64>,
    refused_ms: Option<u64>,
    heartbeat: Heartbeat,
    round_trip_ms: u64,
    heartbeats_received: u64,
    pull_in_flight: bool,
}

/// Contents of the last heartbeat or heartbeat reply from a peer.
#[derive(Debug, Clone, Default)]
pub(crate) struct Heartbeat {
    pub incarnation: Incarnation,
    pub settings_version: u64,
    pub pools: Vec<PoolSummary>,
    pub in_flight: u64,
    pub queued: u64,
    pub free_slots: BTreeMap<String, u32>,
}

impl Peers {
    pub fn client(&self, id: &InstanceId) -> Option<Arc<dyn EntryPeer>> {
        lock(&self.by_id)
            .get(id)
            .map(|peer| Arc::clone(&peer.client))
    }

    pub fn clients(&self) -> Vec<(InstanceId, Arc<dyn EntryPeer>)> {
        let by_id = lock(&self.by_id);
        let pair = |(id, peer): (&InstanceId, &Peer)| (id.clone(), Arc::clone(&peer.client));
        by_id.iter().map(pair).collect()
    }

    /// Heartbeat state of the link to a peer; heartbeats and refusals count for `window_ms`.
    pub fn link(&self, id: &InstanceId, now_ms: u64, window_ms: u64) -> LinkState {
        let by_id = lock(&self.by_id);
        let Some(peer) = by_id.get(id) else {
            return LinkState::default();
        };
        let recent =
            |time: Option<u64>| time.is_some_and(|ms| now_ms.saturating_sub(ms) < window_ms);
        LinkState {
            answers_heartbeats: recent(peer.answered_ms),
            sends_heartbeats: recent(peer.heartbeat_received_ms),
            refuses_connections: recent(peer.refused_ms) && peer.refused_ms > peer.answered_ms,
            incarnation: peer.heartbeat.incarnation,
            settings_version: peer.heartbeat.settings_version,
            in_flight: peer.heartbeat.in_flight,
            queued: peer.heartbeat.queued,
            round_trip_ms: peer.round_trip_ms,
            heartbeats_received: peer.heartbeats_received,
        }
    }

    /// The summary with the highest epoch of a pool, and the peer that sent it.
    pub fn summary(&self, pool: &Pool) -> Option<(InstanceId, PoolSummary)> {
        let by_id = lock(&self.by_id);
        let summaries = by_id.iter().flat_map(|(id, peer)| {
            let of_pool = peer
                .heartbeat
                .pools
                .iter()
                .filter(|summary| summary.pool == pool.as_str());
            of_pool.map(move |summary| (id.clone(), summary.clone()))
        });
        summaries.max_by_key(|(_, summary)| summary.epoch)
    }

    /// Free slots by `workspace/service` from a peer's last heartbeat.
    pub fn free_slots(&self, id: &InstanceId) -> BTreeMap<String, u32> {
        let by_id = lock(&self.by_id);
        by_id
            .get(id)
            .map(|peer| peer.heartbeat.free_slots.clone())
            .unwrap_or_default()
    }

    fn update(&self, id: &InstanceId, change: impl FnOnce(&mut Peer)) {
        if let Some(peer) = lock(&self.by_id).get_mut(id) {
            change(peer);
        }
    }

    fn begin_pull(&self, id: &InstanceId) -> Option<Arc<dyn EntryPeer>> {
        let mut by_id = lock(&self.by_id);
        let peer = by_id.get_mut(id).filter(|peer| !peer.pull_in_flight)?;
        peer.pull_in_flight = true;
        Some(Arc::clone(&peer.client))
    }
}

/// Starts a heartbeat task for each instance that is new or has a new address, and removes absent peers.
pub(crate) fn update_peers(shared: &Arc<Shared>, rows: &BTreeMap<InstanceId, InstanceRow>) {
    let mut by_id = lock(&shared.peers.by_id);
    by_id.retain(|id, peer| rows.get(id).is_some_and(|row| row.address == peer.address));
    for (id, row) in rows {
        if *id == shared.cfg.instance || by_id.contains_key(id) {
            continue;
        }
        let client = shared.peer_connector.connect(row.address);
        let peer = Peer {
            address: row.address,
            client: Arc::clone(&client),
            answered_ms: None,
            heartbeat_received_ms: None,
            refused_ms: None,
            heartbeat: Heartbeat::default(),
            round_trip_ms: 0,
            heartbeats_received: 0,
            pull_in_flight: false,
        };
        by_id.insert(id.clone(), peer);
        spawn(heartbeat_loop(Arc::clone(shared), id.clone(), client)).detach();
    }
}

async fn heartbeat_loop(shared: Arc<Shared>, id: InstanceId, client: Arc<dyn EntryPeer>) {
    // The task ends when its peer is removed or has a new client.
    let is_current = || {
        let current = shared.peers.client(&id);
        current.is_some_and(|current| Arc::ptr_eq(&current, &client))
    };
    while !shared.stop.is_requested() && is_current() {
        let sent_ms = shared.now_ms();
        let result = client.heartbeat(heartbeat_request(&shared)).await;
        let now_ms = shared.now_ms();
        match result {
            Ok(reply) => handle_reply(&shared, &id, reply, sent_ms),
            Err(EntryError::Refused { .. }) => {
                shared
                    .peers
                    .update(&id, |peer| peer.refused_ms = Some(now_ms));
            }
            Err(_) => {}
        }
        sleep_ms(shared.cfg.timings.heartbeat_ms).await;
    }
}

fn handle_reply(shared: &Arc<Shared>, id: &InstanceId, reply: HeartbeatReply, sent_ms: u64) {
    let now_ms = shared.now_ms();
    if reply.instance != id.as_str() {
        // Another instance answers at the address; the peer's own row will show its new address.
        return;
    }
    let version = reply.settings_version;
    shared.peers.update(id, |peer| {
        peer.answered_ms = Some(now_ms);
        peer.round_trip_ms = now_ms.saturating_sub(sent_ms);
        peer.heartbeats_received += 1;
        peer.heartbeat = Heartbeat {
            incarnation: Incarnation(reply.incarnation),
            settings_version: version,
            pools: reply.pools,
            in_flight: reply.in_flight,
            queued: reply.queued,
            free_slots: reply.free_slots,
        };
    });
    pull_if_newer(shared, id, version);
}

/// Records a heartbeat from another instance and returns the reply.
pub(crate) fn handle_heartbeat(shared: &Arc<Shared>, req: HeartbeatRequest) -> HeartbeatReply {
    let now_ms = shared.now_ms();
    let version = req.settings_version;
    if let Ok(id) = InstanceId::new(&req.instance) {
        shared.peers.update(&id, |peer| {
            peer.heartbeat_received_ms = Some(now_ms);
            peer.heartbeats_received += 1;
            peer.heartbeat = Heartbeat {
                incarnation: Incarnation(req.incarnation),
                settings_version: version,
                pools: req.pools,
                in_flight: req.in_flight,
                queued: req.queued,
                free_slots: req.free_slots,
            };
        });
        pull_if_newer(shared, &id, version);
    }
    let own = heartbeat_request(shared);
    HeartbeatReply {
        instance: own.instance,
        incarnation: own.incarnation,
        settings_version: own.settings_version,
        slot_epoch: own.slot_epoch,
        leaving: own.leaving,
        in_flight: own.in_flight,
        queued: own.queued,
        free_slots: own.free_slots,
        pools: own.pools,
    }
}

/// Pulls the settings from a peer with a newer version.
fn pull_if_newer(shared: &Arc<Shared>, id: &InstanceId, version: u64) {
    let own = shared.settings.current().version;
    if version <= own {
        return;
    }
    let Some(client) = shared.peers.begin_pull(id) else {
        return;
    };
    let (shared, id) = (Arc::clone(shared), id.clone());
    spawn(async move {
        if let Ok(tree) = client.pull_settings(SettingsVersion { version: own }).await {
            crate::settings::adopt_message(&shared, &tree);
        }
        shared.peers.update(&id, |peer| peer.pull_in_flight = false);
    })
    .detach();
}

fn heartbeat_request(shared: &Shared) -> HeartbeatRequest {
    let load = shared
        .data_plane()
        .map_or_else(Load::default, |data_plane| data_plane.load());
    let owners: Vec<_> = lock(&shared.owners).values().cloned().collect();
    let mut req = HeartbeatRequest {
        instance: shared.cfg.instance.to_string(),
        incarnation: shared.cfg.incarnation.0,
        zone: shared.cfg.zone.to_string(),
        settings_version: shared.settings.current().version,
        slot_epoch: lock(&shared.slots).epoch().0,
        leaving: shared.is_leaving(),
        pools: owners.iter().map(|owner| owner.summary()).collect(),
        in_flight: load.in_flight,
        queued: load.queued,
        free_slots: load
            .free_slots
            .into_iter()
            .take(MAX_FREE_SLOT_ENTRIES)
            .collect(),
    };
    while req.encoded_len() > MAX_HEARTBEAT_BYTES {
        if req.free_slots.pop_last().is_none() && req.pools.pop().is_none() {
            break;
        }
    }
    req
}
