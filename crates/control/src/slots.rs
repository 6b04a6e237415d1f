//! Slot epochs of the own zone: the table row, the messages and the tasks that feed the [`ShareTracker`].

use {
    crate::{
        events::SLOT_EPOCH,
        rows::{self, SlotsRow},
        shared::Shared,
        store::{Definite, commit_definite},
        view::{Versioned, View},
    },
    ragwortreel_entry::{
        EntryError,
        generated::{
            ConfirmSlotEpochReply, ConfirmSlotEpochRequest, ReleaseSlotsReply, ReleaseSlotsRequest,
        },
    },
    ragwortreel_model::{Epoch, InstanceId},
    ragwortreel_platform::{Check, InstanceState, Txn, Write},
    ragwortreel_routing::{BackendId, ReleaseReport, ShareTracker, SlotLimits, SlotShares},
    ragwortreel_runtime::{Task, lock, log_event, spawn},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Most members removed in one transaction, which is bounded in rows.
const MAX_REMOVED: usize = 32;
/// Member lists kept in the row beside the newest. A member uses nothing while it does not know an epoch between the
/// oldest release of another member and the newest.
const RECENT_EPOCHS: usize = 16;

pub(crate) struct SlotState {
    row: SlotsRow,
    ledger: ShareTracker,
    /// The share may not be used until the row was read again after a fence.
    dropped: bool,
    /// The task that changes the epoch runs; at most one at a time.
    checking: bool,
    /// A change of the epoch by this instance may take effect, so no epoch is confirmed.
    changing: bool,
}

impl SlotState {
    pub fn new(me: InstanceId) -> Self {
        Self {
            row: SlotsRow::default(),
            ledger: ShareTracker::new(me),
            dropped: false,
            checking: false,
            changing: false,
        }
    }

    pub fn epoch(&self) -> Epoch {
        self.ledger.epoch()
    }

    pub fn members(&self) -> &[InstanceId] {
        self.ledger.members()
    }

    pub fn is_settled(&self) -> bool {
        self.ledger.unreleased_members().is_empty()
    }

    pub fn has_member(&self, id: &InstanceId) -> bool {
        self.members().contains(id)
    }

    /// Takes over the row with the member lists of epochs that were missed.
    fn adopt(&mut self, shared: &Shared, row: &SlotsRow, now_ms: u64) {
        if row.epoch <= self.ledger.epoch() {
            return;
        }
        let first = row.epoch.0.saturating_sub(row.recent.len() as u64);
        let lists = row.recent.iter().chain([&row.members]);
        for (epoch, members) in (first..).zip(lists) {
            self.ledger.apply_epoch(now_ms, Epoch(epoch), members);
        }
        self.row = row.clone();
        log_event!(shared.log, SLOT_EPOCH; "epoch" => row.epoch.0, "members" => row.members.len());
    }
}

/// Hands what may be used now to the part that serves requests, and returns it.
pub(crate) fn refresh(shared: &Shared) -> SlotShares {
    apply(shared, &mut lock(&shared.slots))
}

/// The lock is held meanwhile, so that older shares never replace newer ones whose release was reported.
fn apply(shared: &Shared, state: &mut SlotState) -> SlotShares {
    let now_ms = shared.now_ms();
    let limits = SlotLimits::from_settings(&shared.settings.current().settings.cell);
    let backends = Arc::clone(&lock(&shared.backends));
    let own = backends.iter().filter(|b| b.zone == shared.cfg.zone);
    let ids: Vec<BackendId> = own.map(|b| Arc::from(b.id.as_str())).collect();
    let mut usable = state.ledger.usable_shares(now_ms, &ids, limits);
    if state.dropped {
        usable.valid_until_ms = 0;
    }
    if let Some(local) = shared.local() {
        local.apply_shares(&usable);
    }
    usable
}

/// The own row was renewed by a write sent at `sent_ms`.
pub(crate) fn renewed(shared: &Shared, sent_ms: u64) {
    let mut state = lock(&shared.slots);
    state.ledger.renewed_by_table(sent_ms);
    apply(shared, &mut state);
}

/// Stops the use of the share until the row was read again.
pub(crate) fn drop_share(shared: &Shared) {
    let mut state = lock(&shared.slots);
    state.dropped = true;
    apply(shared, &mut state);
}

/// Takes over the zone's row and changes it when members came or went; follows each scan.
pub(crate) fn check(shared: &Arc<Shared>, begun_ms: u64) {
    let view = lock(&shared.view).clone();
    let now_ms = shared.now_ms();
    let joined_ms = lock(&shared.lease).joined_ms;
    let may_change = {
        let mut state = lock(&shared.slots);
        if let Some(found) = view.slots.get(&shared.cfg.zone) {
            state.adopt(shared, &found.row, now_ms);
        }
        for (id, seen) in &view.instances {
            state.ledger.peer_seen(seen.changed_ms, id);
        }
        // Only a reading that began after the row was rewritten shows whether the fence came with a new epoch.
        if joined_ms.is_some_and(|joined_ms| begun_ms >= joined_ms) {
            state.dropped = false;
        }
        apply(shared, &mut state);
        !state.checking && shared.is_lease_valid()
    };
    ask_releases(shared);
    let change = Change::due(shared, &view, now_ms);
    if let Some(change) = change.filter(|_| may_change) {
        lock(&shared.slots).checking = true;
        let shared = Arc::clone(shared);
        spawn(async move {
            change.make(&shared, &view).await;
            lock(&shared.slots).checking = false;
        })
        .detach();
    }
}

/// Asks the other members to whose shares they have shrunk.
pub(crate) fn ask_releases(shared: &Arc<Shared>) {
    let ids = lock(&shared.slots).ledger.unreleased_members();
    for id in ids {
        let call = ask_release(shared, &id);
        spawn(async move {
            let _ = call.await;
        })
        .detach();
    }
}

/// Asks one member for its release; the answer also shows that it is alive.
fn ask_release(shared: &Arc<Shared>, id: &InstanceId) -> Task<Result<(), Silence>> {
    let (shared, id) = (Arc::clone(shared), id.clone());
    let req = ReleaseSlotsRequest {
        instance: shared.cfg.instance.to_string(),
        zone: shared.cfg.zone.to_string(),
        epoch: lock(&shared.slots).epoch().0,
    };
    spawn(async move {
        let client = shared.peers.client(&id).ok_or(Silence::NoAnswer)?;
        let reply = match client.release_slots(req).await {
            Ok(reply) if reply.instance == id.as_str() => reply,
            // Another process listens at the address, so this one does not.
            Ok(_) | Err(EntryError::Refused { .. }) => return Err(Silence::Refused),
            Err(_) => return Err(Silence::NoAnswer),
        };
        let held = reply.still_held.iter().map(|id| BackendId::from(&**id));
        let report = ReleaseReport {
            epoch: Epoch(reply.epoch),
            still_held: held.collect(),
        };
        let mut state = lock(&shared.slots);
        state.ledger.peer_seen(shared.now_ms(), &id);
        state.ledger.peer_released(&id, &report);
        apply(&shared, &mut state);
        Ok(())
    })
}

/// Why a member gave no answer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Silence {
    NoAnswer,
    /// Its port refuses connections.
    Refused,
}

/// A change of the members that is due by the rows.
struct Change {
    found: Versioned<SlotsRow>,
    joins: bool,
    leaves: bool,
    /// Members whose rows have not changed for the lease time.
    suspects: Vec<InstanceId>,
}

impl Change {
    fn due(shared: &Shared, view: &View, now_ms: u64) -> Option<Self> {
        let own = &shared.cfg.instance;
        let lease_ms = shared.cfg.timings.lease_ms;
        let found = view.slots.get(&shared.cfg.zone).cloned();
        let found = found.unwrap_or_else(|| Versioned {
            row: SlotsRow::default(),
            version: 0,
        });
        let is_member = found.row.members.contains(own);
        let others = found.row.members.iter().filter(|id| *id != own);
        let suspects: Vec<_> = others
            .filter(|id| !view.is_live(id, now_ms, lease_ms))
            .take(MAX_REMOVED)
            .cloned()
            .collect();
        let change = Self {
            joins: !is_member && !shared.is_leaving(),
            leaves: is_member && shared.is_leaving(),
            suspects,
            found,
        };
        let is_due = change.joins || change.leaves || !change.suspects.is_empty();
        is_due.then_some(change)
    }

    /// Asks the suspects themselves, then writes the epoch without those that may be removed.
    async fn make(self, shared: &Arc<Shared>, view: &View) {
        let asked = self.suspects.iter();
        let calls: Vec<_> = asked.map(|id| (id, ask_release(shared, id))).collect();
        let mut silent = Vec::new();
        for (id, call) in calls {
            if let Err(silence) = call.await {
                silent.push((id, silence == Silence::Refused || is_terminated(shared, id)));
            }
        }
        let Some((txn, row)) = self.begin(shared, view, &silent) else {
            return;
        };
        // An open outcome would let the change come into effect after a promise, so it is followed to its end.
        let keep_on = || !shared.stop.is_requested();
        let definite = commit_definite(&*shared.table, &txn, keep_on).await;
        let mut state = lock(&shared.slots);
        state.changing = false;
        if matches!(definite, Definite::Committed { .. }) {
            let now_ms = shared.now_ms();
            state.adopt(shared, &row, now_ms);
            apply(shared, &mut state);
        }
    }

    /// The transaction, if a change is still due and no promise is open.
    fn begin(
        &self,
        shared: &Shared,
        view: &View,
        silent: &[(&InstanceId, bool)],
    ) -> Option<(Txn, SlotsRow)> {
        let own = &shared.cfg.instance;
        let row = &self.found.row;
        let mut state = lock(&shared.slots);
        let now_ms = shared.now_ms();
        let is_promised = now_ms < state.ledger.promise_expires_ms();
        if is_promised || state.epoch() != row.epoch || !shared.is_lease_valid() {
            return None;
        }
        let may_remove =
            |(id, is_gone): &&(&InstanceId, bool)| state.ledger.may_remove(now_ms, id, *is_gone);
        let gone: BTreeSet<_> = silent
            .iter()
            .filter(may_remove)
            .map(|(id, _)| *id)
            .collect();
        if gone.is_empty() && !self.joins && !self.leaves {
            return None;
        }
        let members: BTreeSet<_> = (row.members.iter())
            .filter(|id| !gone.contains(id) && *id != own)
            .chain((!self.leaves).then_some(own))
            .cloned()
            .collect();
        let mut recent = row.recent.clone();
        if row.epoch > Epoch(0) {
            recent.push(row.members.clone());
        }
        recent.drain(..recent.len().saturating_sub(RECENT_EPOCHS));
        let next = SlotsRow {
            epoch: Epoch(row.epoch.0 + 1),
            members: members.into_iter().collect(),
            recent,
        };
        let key = rows::slots_key(&shared.cfg.zone);
        let mut txn = Txn {
            checks: vec![rows::check(&key, self.found.version)],
            writes: vec![rows::put(&key, &next)],
        };
        for id in gone {
            let (check, write) = fence(view, id);
            txn.checks.push(check);
            txn.writes.extend(write);
        }
        state.changing = true;
        Some((txn, next))
    }
}

/// Whether the platform lists an instance as ended; an absent one may only be too new for the list.
fn is_terminated(shared: &Shared, id: &InstanceId) -> bool {
    let listed = lock(&shared.listed);
    let mut entries = listed.iter().filter(|entry| entry.id == *id);
    entries.any(|entry| entry.state == InstanceState::Terminated)
}

/// Fences a removed member's row, so that it gives up its share before it renews its lease again.
fn fence(view: &View, id: &InstanceId) -> (Check, Option<Write>) {
    let key = rows::instance_key(id);
    let Some(seen) = view.instances.get(id) else {
        return (rows::check(&key, 0), None);
    };
    let mut row = seen.row.clone();
    let write = (!row.fenced).then(|| {
        row.fenced = true;
        rows::put(&key, &row)
    });
    (rows::check(&key, seen.version), write)
}

/// Extends the lease by the other members' word while the table does not answer.
pub(crate) async fn confirm_by_members(shared: &Arc<Shared>) {
    let (epoch, members, usable) = {
        let state = lock(&shared.slots);
        let usable = !state.dropped && !state.changing;
        (state.epoch(), state.members().to_vec(), usable)
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
        epoch: epoch.0,
    };
    let sent_ms = shared.now_ms();
    let call = |id: &InstanceId| {
        let (client, req) = (shared.peers.client(id), req.clone());
        let call = spawn(async move { Some(client?.confirm_slot_epoch(req).await) });
        (id.clone(), call)
    };
    let others = members.iter().filter(|id| *id != own);
    let calls: Vec<_> = others.map(call).collect();
    let (mut confirmed, mut refusing) = (BTreeMap::new(), BTreeSet::new());
    for (id, call) in calls {
        match call.await {
            Some(Ok(reply)) if reply.instance != id.as_str() => {}
            Some(Ok(reply)) if reply.confirmed => {
                confirmed.insert(id, reply.table_lease_ms);
            }
            // The epoch has changed and the new one is not known here, so the share must not be used.
            Some(Ok(reply)) if reply.newest_epoch > epoch.0 => return,
            Some(Err(EntryError::Refused { .. })) => {
                refusing.insert(id);
            }
            _ => {}
        }
    }
    let mut state = lock(&shared.slots);
    if !state.dropped && !state.changing {
        let ledger = &mut state.ledger;
        ledger.renewed_by_peers(sent_ms, epoch, &confirmed, &refusing);
        apply(shared, &mut state);
    }
}

/// Answers a member that asks for a confirmation of its epoch.
pub(crate) fn confirm(shared: &Shared, req: &ConfirmSlotEpochRequest) -> ConfirmSlotEpochReply {
    let now_ms = shared.now_ms();
    let mut state = lock(&shared.slots);
    let may_confirm = !state.changing && !state.dropped && req.zone == shared.cfg.zone.as_str();
    let asking = InstanceId::new(&req.instance).ok().filter(|_| may_confirm);
    let confirmed =
        asking.is_some_and(|id| state.ledger.confirm_epoch(now_ms, &id, Epoch(req.epoch)));
    ConfirmSlotEpochReply {
        confirmed,
        newest_epoch: state.epoch().0,
        table_lease_ms: state.ledger.remaining_table_lease_ms(now_ms),
        instance: shared.cfg.instance.to_string(),
    }
}

/// Answers a member that asks to whose shares this instance has shrunk.
pub(crate) fn release(shared: &Shared, req: &ReleaseSlotsRequest) -> ReleaseSlotsReply {
    let instance = shared.cfg.instance.to_string();
    if req.zone != shared.cfg.zone.as_str() {
        return ReleaseSlotsReply {
            instance,
            ..ReleaseSlotsReply::default()
        };
    }
    let mut state = lock(&shared.slots);
    // What is in use is looked at after the shares are in force, so that it cannot grow beyond the report again.
    apply(shared, &mut state);
    let in_use = shared.local().map(|local| local.in_use());
    let limits = SlotLimits::from_settings(&shared.settings.current().settings.cell);
    let now_ms = shared.now_ms();
    let report = (state.ledger).release_report(now_ms, &in_use.unwrap_or_default(), limits);
    ReleaseSlotsReply {
        still_held: report.still_held.iter().map(ToString::to_string).collect(),
        epoch: report.epoch.0,
        instance,
    }
}
