//! Slot epochs of the own zone: members, leases, confirmations and releases.

use {
    crate::{
        api::{EarlierSlots, SlotShares},
        events::SLOT_EPOCH,
        rows::{self, SlotsRow},
        shared::{Shared, lock},
        store::{Definite, commit_definite},
        view::{Versioned, View},
    },
    async_channel::{Receiver, Sender},
    ragwortreel_entry::{
        EntryError,
        generated::{
            ConfirmSlotEpochReply, ConfirmSlotEpochRequest, ReleaseSlotsReply, ReleaseSlotsRequest,
        },
    },
    ragwortreel_model::{Incarnation, InstanceId},
    ragwortreel_platform::{Check, Txn, Write},
    ragwortreel_runtime::{log_event, spawn},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Most members removed in one transaction, which is bounded in rows.
const MAX_REMOVED: usize = 32;
/// Most earlier epochs kept while their slots are not released; the oldest are merged.
const MAX_EARLIER: usize = 16;

#[derive(Default)]
pub(crate) struct SlotState {
    row: SlotsRow,
    version: u64,
    adopted_ms: u64,
    /// The share may not be used until the row was read again after a fence.
    dropped: bool,
    /// Lease by confirmations of the other members, and those that were silent.
    confirmed_until_ms: u64,
    silent: BTreeSet<InstanceId>,
    earlier: Vec<Earlier>,
    /// Until when this instance has promised each member not to change the epoch.
    promised: BTreeMap<InstanceId, u64>,
    /// A change of the epoch by this instance is under way.
    changing: bool,
    subscribers: Vec<Sender<()>>,
}

struct Earlier {
    members: Vec<InstanceId>,
    unreleased: BTreeMap<InstanceId, Holder>,
    since_ms: u64,
}

/// Process whose slots of an earlier epoch are not released yet.
struct Holder {
    incarnation: Option<Incarnation>,
}

impl SlotState {
    pub fn epoch(&self) -> u64 {
        self.row.epoch
    }

    pub fn has_member(&self, id: &InstanceId) -> bool {
        self.row.members.contains(id)
    }

    /// Stops the use of the share until the row was read again.
    pub fn drop_share(&mut self) {
        self.dropped = true;
        self.confirmed_until_ms = 0;
        self.notify();
    }

    pub fn subscribe(&mut self) -> Receiver<()> {
        let (tx, rx) = async_channel::bounded(1);
        self.subscribers.push(tx);
        rx
    }

    fn notify(&mut self) {
        self.subscribers.retain(|tx| !tx.is_closed());
        for tx in &self.subscribers {
            let _ = tx.try_send(());
        }
    }
}

/// The inputs of the division of slots, as of now.
pub(crate) fn shares(shared: &Shared) -> SlotShares {
    let row_lease_ms = shared.lease_until_ms().unwrap_or(0);
    let state = lock(&shared.slots);
    let is_member = state.row.members.contains(&shared.cfg.instance);
    let by_row = row_lease_ms >= state.confirmed_until_ms;
    let lease_until_ms = if state.dropped || !is_member {
        0
    } else {
        row_lease_ms.max(state.confirmed_until_ms)
    };
    SlotShares {
        epoch: state.row.epoch,
        members: state.row.members.clone(),
        lease_until_ms,
        withheld_for: if by_row {
            BTreeSet::new()
        } else {
            state.silent.clone()
        },
        earlier: state
            .earlier
            .iter()
            .map(|earlier| EarlierSlots {
                members: earlier.members.clone(),
                unreleased: earlier.unreleased.keys().cloned().collect(),
            })
            .collect(),
    }
}

/// Takes over the zone's row and changes it when members came or went; follows each scan.
pub(crate) fn check(shared: &Arc<Shared>, begun_ms: u64) {
    let view = lock(&shared.view).clone();
    let now_ms = shared.now_ms();
    let row = view.slots.get(&shared.cfg.zone);
    let joined_ms = lock(&shared.lease).joined_ms;
    {
        let mut state = lock(&shared.slots);
        if let Some(found) = row {
            adopt(shared, &mut state, found, &view, now_ms);
        }
        // Only a reading that began after the row was rewritten shows whether the fence came with a new epoch.
        if joined_ms.is_some_and(|joined_ms| begun_ms >= joined_ms) {
            state.dropped = false;
        }
    }
    expire_earlier(shared, &view, now_ms);
    ask_releases(shared);
    if let Some((txn, members)) = next_change(shared, &view, now_ms) {
        lock(&shared.slots).changing = true;
        spawn(write(Arc::clone(shared), txn, members)).detach();
    }
}

fn adopt(
    shared: &Shared,
    state: &mut SlotState,
    found: &Versioned<SlotsRow>,
    view: &View,
    now_ms: u64,
) {
    state.version = found.version;
    if found.row.epoch <= state.row.epoch {
        return;
    }
    let holder = |id: &InstanceId| Holder {
        incarnation: view.instances.get(id).map(|seen| seen.row.incarnation),
    };
    let unreleased = (state.row.members.iter())
        .filter(|id| **id != shared.cfg.instance)
        .map(|id| (id.clone(), holder(id)))
        .collect();
    let earlier = Earlier {
        members: std::mem::take(&mut state.row.members),
        unreleased,
        since_ms: now_ms,
    };
    if !earlier.unreleased.is_empty() && state.earlier.len() < MAX_EARLIER {
        state.earlier.push(earlier);
    }
    state.row = found.row.clone();
    state.adopted_ms = now_ms;
    state.confirmed_until_ms = 0;
    state.silent.clear();
    log_event!(shared.log, SLOT_EPOCH; "epoch" => state.row.epoch,
        "members" => state.row.members.len());
    state.notify();
}

/// Drops holders whose process is gone or whose lease has expired.
fn expire_earlier(shared: &Shared, view: &View, now_ms: u64) {
    let lease_ms = shared.cfg.timings.lease_ms;
    let mut state = lock(&shared.slots);
    let state = &mut *state;
    let (promised, members) = (&state.promised, &state.row.members);
    let mut changed = false;
    for earlier in &mut state.earlier {
        let since_ms = earlier.since_ms;
        earlier.unreleased.retain(|id, holder| {
            let gone = holder
                .incarnation
                .is_none_or(|incarnation| view.is_gone(id, incarnation));
            // A member that is in the new epoch too may renew its lease and must confirm the release. One that was
            // dropped can only use up the lease that it had, by its row or by our promise.
            let expired = !members.contains(id)
                && now_ms >= since_ms + lease_ms
                && promised.get(id).is_none_or(|until_ms| now_ms >= *until_ms);
            let dead = !members.contains(id)
                && !view.is_live(id, now_ms, lease_ms)
                && promised.get(id).is_none_or(|until_ms| now_ms >= *until_ms);
            let keep = !(gone || expired || dead);
            changed |= !keep;
            keep
        });
    }
    state
        .earlier
        .retain(|earlier| !earlier.unreleased.is_empty());
    if changed {
        state.notify();
    }
}

/// Asks holders of earlier epochs whether their requests on slots that they lost have ended.
fn ask_releases(shared: &Arc<Shared>) {
    let (epoch, holders) = {
        let state = lock(&shared.slots);
        let holders: BTreeSet<InstanceId> = (state.earlier.iter())
            .flat_map(|earlier| earlier.unreleased.keys().cloned())
            .collect();
        (state.row.epoch, holders)
    };
    for id in holders {
        let Some(client) = shared.peers.client(&id) else {
            continue;
        };
        let shared = Arc::clone(shared);
        let req = ReleaseSlotsRequest {
            instance: shared.cfg.instance.to_string(),
            zone: shared.cfg.zone.to_string(),
            epoch,
        };
        spawn(async move {
            let Ok(reply) = client.release_slots(req).await else {
                return;
            };
            if reply.epoch_known && reply.still_held.is_empty() {
                released(&shared, &id, epoch);
            }
        })
        .detach();
    }
}

fn released(shared: &Shared, id: &InstanceId, epoch: u64) {
    let mut state = lock(&shared.slots);
    if state.row.epoch != epoch {
        return;
    }
    for earlier in &mut state.earlier {
        earlier.unreleased.remove(id);
    }
    state
        .earlier
        .retain(|earlier| !earlier.unreleased.is_empty());
    state.notify();
}

/// The transaction that brings the zone's members up to date, if one is due and no promise is open.
fn next_change(shared: &Shared, view: &View, now_ms: u64) -> Option<(Txn, SlotsRow)> {
    let own = &shared.cfg.instance;
    let mut state = lock(&shared.slots);
    state.promised.retain(|_, until_ms| now_ms < *until_ms);
    if state.changing || !state.promised.is_empty() || !shared.is_lease_valid() {
        return None;
    }
    let lease_ms = shared.cfg.timings.lease_ms;
    let row = view
        .slots
        .get(&shared.cfg.zone)
        .map(|found| found.row.clone())
        .unwrap_or_default();
    let stays = |id: &InstanceId| {
        let seen = view.instances.get(id);
        id == own
            || seen.is_some_and(|seen| !seen.row.leaving && view.is_live(id, now_ms, lease_ms))
    };
    let gone: Vec<_> = row
        .members
        .iter()
        .filter(|id| !stays(id))
        .take(MAX_REMOVED)
        .collect();
    let joins = !row.members.contains(own) && !shared.is_leaving();
    if gone.is_empty() && !joins {
        return None;
    }
    let mut members: BTreeSet<_> = row
        .members
        .iter()
        .filter(|id| !gone.contains(id))
        .cloned()
        .collect();
    if joins {
        members.insert(own.clone());
    }
    let next = SlotsRow {
        epoch: row.epoch + 1,
        members: members.into_iter().collect(),
    };
    let key = rows::slots_key(&shared.cfg.zone);
    let mut txn = Txn {
        checks: vec![rows::check(
            &key,
            view.slots
                .get(&shared.cfg.zone)
                .map_or(0, |found| found.version),
        )],
        writes: vec![rows::put(&key, &next)],
    };
    for id in gone {
        let (check, write) = fence(view, id);
        txn.checks.push(check);
        txn.writes.extend(write);
    }
    Some((txn, next))
}

/// Fences a dropped member's row, so that it gives up its share before it renews its lease again.
fn fence(view: &View, id: &InstanceId) -> (Check, Option<Write>) {
    let key = rows::instance_key(id);
    let Some(seen) = view.instances.get(id) else {
        return (rows::check(&key, 0), None);
    };
    let mut row = seen.row.clone();
    let write = (!row.leaving && !row.fenced).then(|| {
        row.fenced = true;
        rows::put(&key, &row)
    });
    (rows::check(&key, seen.version), write)
}

async fn write(shared: Arc<Shared>, txn: Txn, row: SlotsRow) {
    // An open outcome would let the change come into effect after a promise, so it is followed to its end.
    let keep_on = || !shared.stop.is_requested();
    let definite = commit_definite(&*shared.table, &txn, keep_on).await;
    let version = match definite {
        Definite::Committed {
            versions: Some(versions),
        } => versions.first().copied(),
        _ => None,
    };
    let view = lock(&shared.view).clone();
    let now_ms = shared.now_ms();
    let mut state = lock(&shared.slots);
    state.changing = false;
    if let Some(version) = version {
        adopt(
            &shared,
            &mut state,
            &Versioned { row, version },
            &view,
            now_ms,
        );
    }
}

/// Extends the lease by the other members' word while the table does not answer.
pub(crate) async fn confirm_by_members(shared: &Arc<Shared>) {
    let (epoch, members, usable) = {
        let state = lock(&shared.slots);
        (
            state.row.epoch,
            state.row.members.clone(),
            !state.dropped && !state.changing,
        )
    };
    let own = &shared.cfg.instance;
    let joined = lock(&shared.lease).joined_ms.is_some();
    if !usable || !joined || !members.contains(own) {
        return;
    }
    let req = ConfirmSlotEpochRequest {
        instance: own.to_string(),
        incarnation: shared.cfg.incarnation.0,
        zone: shared.cfg.zone.to_string(),
        epoch,
    };
    let sent_ms = shared.now_ms();
    let calls: Vec<_> = (members.iter())
        .filter(|id| *id != own)
        .map(|id| {
            let (client, req) = (shared.peers.client(id), req.clone());
            let call = spawn(async move {
                match client {
                    Some(client) => Some(client.confirm_slot_epoch(req).await),
                    None => None,
                }
            });
            (id.clone(), call)
        })
        .collect();
    let mut silent = BTreeSet::new();
    for (id, call) in calls {
        match call.await {
            Some(Ok(reply)) if reply.confirmed => {}
            // The epoch has changed and the new one is not known here, so the share must not be used.
            Some(Ok(reply)) if reply.newest_epoch > epoch => return,
            Some(Err(EntryError::Refused { .. })) => {}
            _ if shared.peers.was_refused(&id) => {}
            _ => {
                silent.insert(id);
            }
        }
    }
    let mut state = lock(&shared.slots);
    if state.row.epoch == epoch && !state.dropped {
        state.confirmed_until_ms = sent_ms + shared.cfg.timings.held_lease_ms();
        state.silent = silent;
        state.notify();
    }
}

/// Answers a member that asks for a confirmation of its epoch.
pub(crate) fn confirm(shared: &Shared, req: &ConfirmSlotEpochRequest) -> ConfirmSlotEpochReply {
    let now_ms = shared.now_ms();
    let mut state = lock(&shared.slots);
    let asker = InstanceId::new(&req.instance).ok();
    let is_member = asker
        .as_ref()
        .is_some_and(|id| state.row.members.contains(id));
    let confirmed = is_member
        && !state.changing
        && req.zone == shared.cfg.zone.as_str()
        && req.epoch == state.row.epoch;
    if let Some(id) = asker.filter(|_| confirmed) {
        state
            .promised
            .insert(id, now_ms + shared.cfg.timings.lease_ms);
    }
    ConfirmSlotEpochReply {
        confirmed,
        newest_epoch: state.row.epoch,
    }
}

/// Answers a member that gained slots which this instance may still use.
pub(crate) fn release(shared: &Shared, req: &ReleaseSlotsRequest) -> ReleaseSlotsReply {
    let epoch_known = lock(&shared.slots).row.epoch >= req.epoch;
    let local = shared.local().filter(|_| epoch_known);
    ReleaseSlotsReply {
        still_held: local
            .map(|local| local.still_held(req.epoch))
            .unwrap_or_default(),
        epoch_known,
    }
}
