//! Slot epochs of the instance's zone: the table row, the messages between members and the tasks that update the
//! [`ShareTracker`].
//!
//! The members of a zone are the entry instances among which the slots of its backend servers are divided; a request in
//! flight uses one slot. A slot epoch is a numbered member list, from which each member's share of the slots follows. A
//! member's release is the newest epoch to whose shares it has reduced its use.

use {
    crate::{
        events::SLOT_EPOCH,
        rows::{self, SlotsRow},
        shared::Shared,
        store::{CommitOutcome, commit_until_known},
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

/// Members removed in one transaction, whose number of rows is limited.
const MAX_REMOVED_MEMBERS: usize = 32;
/// Member lists of previous epochs kept in the row. A member that missed more epochs than this lacks some of their
/// lists; it uses no slots until the releases of all other members are newer than the epochs without a list.
const RECENT_EPOCHS: usize = 16;

pub(crate) struct SlotState {
    row: SlotsRow,
    tracker: ShareTracker,
    /// The instance has relinquished its share and may not use it until the zone's row is read again.
    suspended: bool,
    /// The task that changes the epoch is running; at most one runs at a time.
    change_task_running: bool,
    /// A membership change by this instance may still take effect, so it confirms no epoch to other members.
    change_in_flight: bool,
}

impl SlotState {
    pub fn new(own_id: InstanceId) -> Self {
        Self {
            row: SlotsRow::default(),
            tracker: ShareTracker::new(own_id),
            suspended: false,
            change_task_running: false,
            change_in_flight: false,
        }
    }

    pub fn epoch(&self) -> Epoch {
        self.tracker.epoch()
    }

    pub fn members(&self) -> &[InstanceId] {
        self.tracker.members()
    }

    pub fn all_members_have_released(&self) -> bool {
        self.tracker.unreleased_members().is_empty()
    }

    pub fn has_member(&self, id: &InstanceId) -> bool {
        self.members().contains(id)
    }

    /// Adopts the zone's row, including the member lists of epochs that this instance missed.
    fn adopt(&mut self, shared: &Shared, row: &SlotsRow, now_ms: u64) {
        if row.epoch <= self.tracker.epoch() {
            return;
        }
        let first = row.epoch.0.saturating_sub(row.recent.len() as u64);
        let lists = row.recent.iter().chain([&row.members]);
        for (epoch, members) in (first..).zip(lists) {
            self.tracker.apply_epoch(now_ms, Epoch(epoch), members);
        }
        self.row = row.clone();
        log_event!(shared.log, SLOT_EPOCH; "epoch" => row.epoch.0, "members" => row.members.len());
    }
}

/// Applies the currently usable shares to the data plane and returns them.
pub(crate) fn refresh_shares(shared: &Shared) -> SlotShares {
    apply_shares(shared, &mut lock(&shared.slots))
}

/// Applies the usable shares to the data plane and returns them.
///
/// The caller holds the lock on the state. Otherwise a concurrent call could replace newer shares by older ones after
/// the release of the newer epoch was reported.
fn apply_shares(shared: &Shared, state: &mut SlotState) -> SlotShares {
    let now_ms = shared.now_ms();
    let limits = SlotLimits::from_settings(&shared.settings.current().settings.cell);
    let backends = Arc::clone(&lock(&shared.backends));
    let own = backends.iter().filter(|b| b.zone == shared.cfg.zone);
    let ids: Vec<BackendId> = own.map(|b| Arc::from(b.id.as_str())).collect();
    let mut usable = state.tracker.usable_shares(now_ms, &ids, limits);
    if state.suspended {
        usable.valid_until_ms = 0;
    }
    if let Some(data_plane) = shared.data_plane() {
        data_plane.apply_shares(&usable);
    }
    usable
}

/// Extends the share's lease after a renewal of the own row that was sent at `sent_ms`.
pub(crate) fn lease_renewed(shared: &Shared, sent_ms: u64) {
    let mut state = lock(&shared.slots);
    state.tracker.renewed_by_table(sent_ms);
    apply_shares(shared, &mut state);
}

/// Stops the use of the share until the zone's row is read again.
pub(crate) fn suspend_share(shared: &Shared) {
    let mut state = lock(&shared.slots);
    state.suspended = true;
    apply_shares(shared, &mut state);
}

/// Adopts the zone's row after a scan and starts a membership change if one is due.
pub(crate) fn check_members(shared: &Arc<Shared>, scan_begun_ms: u64) {
    let view = lock(&shared.view).clone();
    let now_ms = shared.now_ms();
    let joined_ms = lock(&shared.lease).joined_ms;
    let may_change = {
        let mut state = lock(&shared.slots);
        if let Some(found) = view.slots.get(&shared.cfg.zone) {
            state.adopt(shared, &found.row, now_ms);
        }
        for (id, seen) in &view.instances {
            state.tracker.peer_seen(seen.changed_ms, id);
        }
        // Only a scan that began after the own row was rewritten shows whether the fence came with a new epoch.
        if joined_ms.is_some_and(|joined_ms| scan_begun_ms >= joined_ms) {
            state.suspended = false;
        }
        apply_shares(shared, &mut state);
        !state.change_task_running && shared.is_lease_valid()
    };
    request_releases(shared);
    let change = MembershipChange::if_due(shared, &view, now_ms);
    if let Some(change) = change.filter(|_| may_change) {
        lock(&shared.slots).change_task_running = true;
        let shared = Arc::clone(shared);
        spawn(async move {
            change.execute(&shared, &view).await;
            lock(&shared.slots).change_task_running = false;
        })
        .detach();
    }
}

/// Requests a release report from each member that may use shares of earlier epochs.
pub(crate) fn request_releases(shared: &Arc<Shared>) {
    let ids = lock(&shared.slots).tracker.unreleased_members();
    for id in ids {
        let call = request_release(shared, &id);
        spawn(async move {
            let _ = call.await;
        })
        .detach();
    }
}

/// Requests a release report from one member; a reply also shows that the member is running.
fn request_release(shared: &Arc<Shared>, id: &InstanceId) -> Task<Result<(), ReleaseError>> {
    let (shared, id) = (Arc::clone(shared), id.clone());
    let req = ReleaseSlotsRequest {
        instance: shared.cfg.instance.to_string(),
        zone: shared.cfg.zone.to_string(),
        epoch: lock(&shared.slots).epoch().0,
    };
    spawn(async move {
        let client = shared.peers.client(&id).ok_or(ReleaseError::NoAnswer)?;
        let reply = match client.release_slots(req).await {
            Ok(reply) if reply.instance == id.as_str() => reply,
            // Another process answers at the address, so the member is not listening there.
            Ok(_) | Err(EntryError::Refused { .. }) => return Err(ReleaseError::Refused),
            Err(_) => return Err(ReleaseError::NoAnswer),
        };
        let held = reply.still_held.iter().map(|id| BackendId::from(&**id));
        let report = ReleaseReport {
            epoch: Epoch(reply.epoch),
            still_held: held.collect(),
        };
        let mut state = lock(&shared.slots);
        state.tracker.peer_seen(shared.now_ms(), &id);
        state.tracker.peer_released(&id, &report);
        apply_shares(&shared, &mut state);
        Ok(())
    })
}

/// Reason why a member sent no release report.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReleaseError {
    NoAnswer,
    /// The member's port refuses connections, or another process answers there.
    Refused,
}

/// A membership change that is due according to the rows.
struct MembershipChange {
    found: Versioned<SlotsRow>,
    joins: bool,
    leaves: bool,
    /// Members whose rows did not change for the lease time or are fenced.
    suspects: Vec<InstanceId>,
}

impl MembershipChange {
    fn if_due(shared: &Shared, view: &View, now_ms: u64) -> Option<Self> {
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
            .take(MAX_REMOVED_MEMBERS)
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

    /// Requests release reports from the suspects to learn whether they respond, then writes an epoch without the
    /// silent ones that may be removed, in which this instance also joins or leaves if due.
    async fn execute(self, shared: &Arc<Shared>, view: &View) {
        let asked = self.suspects.iter();
        let calls: Vec<_> = asked.map(|id| (id, request_release(shared, id))).collect();
        let mut silent = Vec::new();
        for (id, call) in calls {
            if let Err(err) = call.await {
                silent.push((
                    id,
                    err == ReleaseError::Refused || is_terminated(shared, id),
                ));
            }
        }
        let Some((txn, row)) = self.prepare(shared, view, &silent) else {
            return;
        };
        // Retry until the outcome is known: the change must not take effect after this instance has confirmed the old
        // epoch.
        let should_retry = || !shared.stop.is_requested();
        let outcome = commit_until_known(&*shared.table, &txn, should_retry).await;
        let mut state = lock(&shared.slots);
        state.change_in_flight = false;
        if matches!(outcome, CommitOutcome::Committed { .. }) {
            let now_ms = shared.now_ms();
            state.adopt(shared, &row, now_ms);
            apply_shares(shared, &mut state);
        }
    }

    /// Builds the transaction, unless no change is due any more or a confirmation given to another member is still
    /// valid.
    ///
    /// `silent` holds the members that sent no release report, and whether each is proven gone as
    /// [`ShareTracker::may_remove`] requires.
    fn prepare(
        &self,
        shared: &Shared,
        view: &View,
        silent: &[(&InstanceId, bool)],
    ) -> Option<(Txn, SlotsRow)> {
        let own = &shared.cfg.instance;
        let row = &self.found.row;
        let mut state = lock(&shared.slots);
        let now_ms = shared.now_ms();
        let has_valid_confirmation = now_ms < state.tracker.promise_expires_ms();
        if has_valid_confirmation || state.epoch() != row.epoch || !shared.is_lease_valid() {
            return None;
        }
        let may_remove = |(id, proven_gone): &&(&InstanceId, bool)| {
            state.tracker.may_remove(now_ms, id, *proven_gone)
        };
        let removed: BTreeSet<_> = silent
            .iter()
            .filter(may_remove)
            .map(|(id, _)| *id)
            .collect();
        if removed.is_empty() && !self.joins && !self.leaves {
            return None;
        }
        let members: BTreeSet<_> = (row.members.iter())
            .filter(|id| !removed.contains(id) && *id != own)
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
        for id in removed {
            let (check, write) = fence_write(view, id);
            txn.checks.push(check);
            txn.writes.extend(write);
        }
        state.change_in_flight = true;
        Some((txn, next))
    }
}

/// Returns whether the platform lists the instance as terminated; an unlisted instance may just be too new.
fn is_terminated(shared: &Shared, id: &InstanceId) -> bool {
    let listed = lock(&shared.platform_list);
    let mut entries = listed.iter().filter(|entry| entry.id == *id);
    entries.any(|entry| entry.state == InstanceState::Terminated)
}

/// Fences the row of a removed member, so that the member gives up its share before its lease is renewed again.
fn fence_write(view: &View, id: &InstanceId) -> (Check, Option<Write>) {
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

/// Extends the share's lease by confirmations of the other members while the table service is unavailable.
pub(crate) async fn renew_lease_by_members(shared: &Arc<Shared>) {
    let (epoch, members, usable) = {
        let state = lock(&shared.slots);
        let usable = !state.suspended && !state.change_in_flight;
        (state.epoch(), state.members().to_vec(), usable)
    };
    let own = &shared.cfg.instance;
    let has_joined = lock(&shared.lease).joined_ms.is_some();
    if !usable || !has_joined || !members.contains(own) {
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
            // A newer epoch exists that this instance has not read, so the share must not be extended.
            Some(Ok(reply)) if reply.newest_epoch > epoch.0 => return,
            Some(Err(EntryError::Refused { .. })) => {
                refusing.insert(id);
            }
            _ => {}
        }
    }
    let mut state = lock(&shared.slots);
    if !state.suspended && !state.change_in_flight {
        let tracker = &mut state.tracker;
        tracker.renewed_by_peers(sent_ms, epoch, &confirmed, &refusing);
        apply_shares(shared, &mut state);
    }
}

/// Handles a member's request to confirm its epoch.
pub(crate) fn confirm_epoch(
    shared: &Shared,
    req: &ConfirmSlotEpochRequest,
) -> ConfirmSlotEpochReply {
    let now_ms = shared.now_ms();
    let mut state = lock(&shared.slots);
    let may_confirm =
        !state.change_in_flight && !state.suspended && req.zone == shared.cfg.zone.as_str();
    let asking = InstanceId::new(&req.instance).ok().filter(|_| may_confirm);
    let confirmed =
        asking.is_some_and(|id| state.tracker.confirm_epoch(now_ms, &id, Epoch(req.epoch)));
    ConfirmSlotEpochReply {
        confirmed,
        newest_epoch: state.epoch().0,
        table_lease_ms: state.tracker.remaining_table_lease_ms(now_ms),
        instance: shared.cfg.instance.to_string(),
    }
}

/// Handles a member's request for this instance's release report.
pub(crate) fn report_release(shared: &Shared, req: &ReleaseSlotsRequest) -> ReleaseSlotsReply {
    let instance = shared.cfg.instance.to_string();
    if req.zone != shared.cfg.zone.as_str() {
        return ReleaseSlotsReply {
            instance,
            ..ReleaseSlotsReply::default()
        };
    }
    let mut state = lock(&shared.slots);
    // Read the usage after the shares are applied, so that it cannot grow beyond the report.
    apply_shares(shared, &mut state);
    let in_use = shared.data_plane().map(|data_plane| data_plane.in_use());
    let limits = SlotLimits::from_settings(&shared.settings.current().settings.cell);
    let now_ms = shared.now_ms();
    let report = (state.tracker).release_report(now_ms, &in_use.unwrap_or_default(), limits);
    ReleaseSlotsReply {
        still_held: report.still_held.iter().map(ToString::to_string).collect(),
        epoch: report.epoch.0,
        instance,
    }
}
