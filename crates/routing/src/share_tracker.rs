//! Safe use of slot shares while epochs change, members die and links are cut.
//!
//! Members learn of epochs at different times. Each member reports the newest epoch to whose share it has shrunk (its
//! release). A member uses of a backend server at most the smallest of its shares over all epochs from the oldest
//! release of any other member to the newest epoch it knows. The ranges of any two members then overlap, so there is
//! one epoch that is in the ranges of all, and the sum of all uses is at most the sum of that epoch's shares.
//!
//! A member that is no longer in the newest epoch counts until its lease has expired. A member without the table holds
//! its lease by the confirmations of the others, and leaves unused what silent members could take meanwhile: their
//! gains if every member that is dead or might have lost the table, including this one, were removed. Counting only this
//! member's own removal is not enough, because a silent member may remove several one after the other.

use {
    crate::{
        BackendId,
        shares::{Share, SlotLimits, SlotShares, inherited_shares, slot_shares},
    },
    ragwortreel_model::{Epoch, InstanceId},
    std::collections::{BTreeMap, BTreeSet},
};

/// Time that a slot lease holds after its renewal was sent, in ms.
pub const SLOT_LEASE_MS: u64 = 3_000;
/// Time after which another member's lease has surely expired, counted from the last sign of its renewal, in ms. It
/// allows for 5% clock drift and 100 ms to end the requests in flight.
pub const PEER_LEASE_MS: u64 = SLOT_LEASE_MS + SLOT_LEASE_MS / 20 + 100;
/// Shortest remaining table lease of a member for which others count on it, in ms.
const RELIABLE_TABLE_LEASE_MS: u64 = 1_000;
/// Most epochs kept; with more unreleased ones nothing is used.
const MAX_EPOCHS: usize = 64;

/// What a member tells the others about its slots.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReleaseReport {
    /// Epoch to whose shares the member has shrunk.
    pub epoch: Epoch,
    /// Backend servers on which it has not shrunk yet.
    pub still_held: BTreeSet<BackendId>,
}

/// What a member uses of a backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BackendUsage {
    /// Requests in flight.
    pub slots: u32,
    /// Open connections.
    pub connections: u32,
}

/// What is known about another member.
#[derive(Debug, Clone, Default)]
struct Peer {
    released: Epoch,
    /// Backend servers with an older release, and which.
    held: BTreeMap<BackendId, Epoch>,
    lease_until_ms: u64,
}

/// What one instance may use, from the epochs and signs of life that it has seen.
#[derive(Debug)]
pub struct ShareTracker {
    me: InstanceId,
    epochs: BTreeMap<Epoch, Vec<InstanceId>>,
    /// First epoch with this member.
    joined: Option<Epoch>,
    /// Own shares already computed, for the limits beside them.
    computed: (Option<SlotLimits>, BTreeMap<(Epoch, BackendId), Share>),
    peers: BTreeMap<InstanceId, Peer>,
    valid_until_ms: u64,
    table_until_ms: u64,
    /// Members that might be removed together with this one, and silent members that would inherit.
    removable: Vec<InstanceId>,
    silent: Vec<InstanceId>,
    /// Time by which requests above the shares must have ended, in ms.
    excess_until_ms: Option<u64>,
    /// Epochs confirmed to other members, and the end of each promise in ms.
    promised: BTreeMap<Epoch, u64>,
}

impl ShareTracker {
    /// A ledger that knows no epoch and has no lease.
    #[must_use]
    pub fn new(me: InstanceId) -> Self {
        Self {
            me,
            epochs: BTreeMap::new(),
            joined: None,
            computed: (None, BTreeMap::new()),
            peers: BTreeMap::new(),
            valid_until_ms: 0,
            table_until_ms: 0,
            removable: Vec::new(),
            silent: Vec::new(),
            excess_until_ms: None,
            promised: BTreeMap::new(),
        }
    }

    /// Newest epoch known, 0 for none.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.epochs
            .last_key_value()
            .map_or(Epoch(0), |(epoch, _)| *epoch)
    }

    /// Members of the newest epoch.
    #[must_use]
    pub fn members(&self) -> &[InstanceId] {
        self.epochs.last_key_value().map_or(&[], |(_, list)| list)
    }

    /// Members that may still use shares of an epoch before the newest, to be asked for their release.
    #[must_use]
    pub fn unreleased_members(&self) -> Vec<InstanceId> {
        let newest = self.epoch();
        let peers = self.peers.iter();
        let open = peers.filter(|(_, peer)| peer.released < newest || !peer.held.is_empty());
        open.map(|(id, _)| id.clone()).collect()
    }

    /// Takes over an epoch; older ones than the newest known are ignored.
    ///
    /// Nothing is used while an epoch is missing between the oldest release of another member and the newest, so the
    /// table row keeps the last epochs' member lists and the caller applies them in order.
    ///
    /// The caller then hands [`ShareTracker::usable_shares`] to the router before it reports a release.
    pub fn apply_epoch(&mut self, now_ms: u64, epoch: Epoch, members: &[InstanceId]) {
        let previous = self.epoch();
        if epoch <= previous {
            return;
        }
        for member in members.iter().filter(|member| **member != self.me) {
            // A member that appears now used nothing under the epochs before.
            self.peers.entry(member.clone()).or_insert_with(|| Peer {
                released: previous,
                held: BTreeMap::new(),
                lease_until_ms: now_ms + PEER_LEASE_MS,
            });
        }
        if self.joined.is_none() && members.contains(&self.me) {
            self.joined = Some(epoch);
        }
        self.epochs.insert(epoch, members.to_vec());
        if self.epochs.len() > MAX_EPOCHS {
            self.epochs.pop_first();
        }
    }

    /// A renewal through the table has succeeded; `sent_at_ms` is the time before it was sent.
    pub fn renewed_by_table(&mut self, sent_at_ms: u64) {
        self.table_until_ms = self.table_until_ms.max(sent_at_ms + SLOT_LEASE_MS);
        if self.table_until_ms > self.valid_until_ms {
            self.valid_until_ms = self.table_until_ms;
            self.removable.clear();
            self.silent.clear();
            self.excess_until_ms = None;
        }
    }

    /// The other members have been asked to confirm the epoch, at `sent_at_ms`.
    ///
    /// `confirmed` holds the rest of each confirming member's table lease, in ms, 0 for none. `refusing` are members
    /// whose port refuses connections. Members in neither are silent. Nothing is renewed when the epoch has changed.
    pub fn renewed_by_peers(
        &mut self,
        sent_at_ms: u64,
        epoch: Epoch,
        confirmed: &BTreeMap<InstanceId, u64>,
        refusing: &BTreeSet<InstanceId>,
    ) {
        if epoch != self.epoch() || !self.members().contains(&self.me) {
            return;
        }
        let (mut removable, mut silent) = (vec![self.me.clone()], Vec::new());
        let mut lease_ms = SLOT_LEASE_MS;
        for member in self.members().iter().filter(|member| **member != self.me) {
            match confirmed.get(member) {
                Some(rest) if *rest >= RELIABLE_TABLE_LEASE_MS => lease_ms = lease_ms.min(*rest),
                Some(_) => removable.push(member.clone()),
                None if refusing.contains(member) => removable.push(member.clone()),
                None => silent.push(member.clone()),
            }
        }
        if sent_at_ms + lease_ms > self.valid_until_ms {
            let changed = (&removable, &silent) != (&self.removable, &self.silent);
            if silent.is_empty() {
                self.excess_until_ms = None;
            } else if changed {
                self.excess_until_ms = Some(self.valid_until_ms);
            }
            self.valid_until_ms = sent_at_ms + lease_ms;
            self.removable = removable;
            self.silent = silent;
        }
    }

    /// A sign that a member may have renewed its lease: a changed row or a message from it.
    pub fn peer_seen(&mut self, now_ms: u64, peer: &InstanceId) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.lease_until_ms = peer.lease_until_ms.max(now_ms + PEER_LEASE_MS);
        }
    }

    /// A member has reported its release, over the entry link or in its table row.
    pub fn peer_released(&mut self, peer: &InstanceId, report: &ReleaseReport) {
        let Some(peer) = self.peers.get_mut(peer) else {
            return;
        };
        if report.epoch < peer.released {
            return;
        }
        let before = peer.released;
        peer.held.retain(|id, _| report.still_held.contains(id));
        for id in &report.still_held {
            peer.held.entry(id.clone()).or_insert(before);
        }
        peer.released = report.epoch;
    }

    /// Whether this member may write an epoch without `peer`, whose row has not changed for the lease time and which
    /// does not answer.
    ///
    /// A member that has not yet learned of this one does not count it as silent, so it leaves nothing unused for it;
    /// it may be removed only on proof that it is gone (its port refuses connections, or the platform no longer lists
    /// it).
    #[must_use]
    pub fn may_remove(&self, now_ms: u64, peer: &InstanceId, proven_gone: bool) -> bool {
        let Some(known) = self.peers.get(peer) else {
            return proven_gone;
        };
        let joined = self.joined.unwrap_or(Epoch(u64::MAX));
        let knows_us = known.released >= joined;
        let open_promise = now_ms < self.promise_expires_ms();
        now_ms >= known.lease_until_ms && !open_promise && (proven_gone || knows_us)
    }

    /// Whether this member confirms an epoch to one without the table. A confirmation promises not to use anything of
    /// its slots for the lease time; the caller also writes no epoch without it for that time.
    #[must_use]
    pub fn confirm_epoch(&mut self, now_ms: u64, asking: &InstanceId, epoch: Epoch) -> bool {
        if epoch != self.epoch() || !self.members().contains(asking) {
            return false;
        }
        self.peer_seen(now_ms, asking);
        self.promised.retain(|_, until| now_ms < *until);
        self.promised.insert(epoch, now_ms + PEER_LEASE_MS);
        true
    }

    /// Rest of the lease through the table, in ms, as told with a confirmation.
    #[must_use]
    pub fn remaining_table_lease_ms(&self, now_ms: u64) -> u64 {
        self.table_until_ms.saturating_sub(now_ms)
    }

    /// End of a promise given by [`ShareTracker::confirm_epoch`], in ms; until then the caller writes no epoch.
    #[must_use]
    pub fn promise_expires_ms(&self) -> u64 {
        self.promised.values().max().copied().unwrap_or(0)
    }

    /// What this member has released, given what it uses of each backend server.
    #[must_use]
    pub fn release_report(
        &self,
        now_ms: u64,
        in_use: &BTreeMap<BackendId, BackendUsage>,
        limits: SlotLimits,
    ) -> ReleaseReport {
        // Members that were promised an older epoch may still use its shares.
        let mut open = self.promised.iter();
        let oldest = open.find(|(_, until)| now_ms < **until);
        let epoch = oldest.map_or(self.epoch(), |(epoch, _)| *epoch);
        let is_held = |id: &BackendId, used: BackendUsage| {
            let share = self.share_at(epoch, id, limits);
            used.slots > share.slots || used.connections > share.connections
        };
        let held = in_use.iter().filter(|(id, used)| is_held(id, **used));
        ReleaseReport {
            epoch,
            still_held: held.map(|(id, _)| id.clone()).collect(),
        }
    }

    /// What may be used now of each backend server.
    pub fn usable_shares<'a>(
        &mut self,
        now_ms: u64,
        backends: impl IntoIterator<Item = &'a BackendId>,
        limits: SlotLimits,
    ) -> SlotShares {
        self.forget_expired(now_ms);
        if self.computed.0 != Some(limits) {
            self.computed = (Some(limits), BTreeMap::new());
        }
        let mut by_backend = BTreeMap::new();
        for id in backends {
            self.compute(id, limits);
            by_backend.insert(id.clone(), self.usable_of(id, limits));
        }
        SlotShares {
            by_backend,
            valid_until_ms: self.valid_until_ms,
            excess_until_ms: self.excess_until_ms,
        }
    }

    /// Computes the own share of a backend server in all kept epochs once.
    fn compute(&mut self, backend: &BackendId, limits: SlotLimits) {
        for epoch in self.epochs.keys() {
            let key = (*epoch, backend.clone());
            if !self.computed.1.contains_key(&key) {
                let share = self.share_at(*epoch, backend, limits);
                self.computed.1.insert(key, share);
            }
        }
    }

    fn usable_of(&self, backend: &BackendId, limits: SlotLimits) -> Share {
        let (oldest, newest) = (self.oldest_release(backend), self.epoch());
        let known = self.epochs.range(oldest..);
        let missing = newest.0 - oldest.0 + 1 != known.clone().count() as u64;
        if missing {
            return Share::default();
        }
        let shares = known.map(|(epoch, _)| self.share_at(*epoch, backend, limits));
        let usable = shares.reduce(Share::min).unwrap_or_default();
        usable.saturating_sub(self.withheld(backend, limits))
    }

    /// What silent members could take of this member's slots.
    fn withheld(&self, backend: &BackendId, limits: SlotLimits) -> Share {
        if self.silent.is_empty() {
            return Share::default();
        }
        let gains = inherited_shares(self.members(), &self.removable, backend, limits);
        let of_silent = self.silent.iter().filter_map(|member| gains.get(member));
        of_silent.fold(Share::default(), |sum, gain| sum.plus(*gain))
    }

    fn share_at(&self, epoch: Epoch, backend: &BackendId, limits: SlotLimits) -> Share {
        let Some(members) = self.epochs.get(&epoch) else {
            return Share::default();
        };
        let known = self.computed.1.get(&(epoch, backend.clone()));
        if let (Some(share), true) = (known, self.computed.0 == Some(limits)) {
            return *share;
        }
        let shares = slot_shares(members, backend, limits);
        shares.get(&self.me).copied().unwrap_or_default()
    }

    /// Oldest epoch whose share another member may still use on a backend server.
    fn oldest_release(&self, backend: &BackendId) -> Epoch {
        let releases = self.peers.values().map(|peer| {
            let held = peer.held.get(backend).copied();
            held.map_or(peer.released, |older| older.min(peer.released))
        });
        releases.fold(self.epoch(), Epoch::min)
    }

    /// Forgets removed members with expired leases, and epochs that no member uses any more.
    fn forget_expired(&mut self, now_ms: u64) {
        let members = self.members().to_vec();
        self.peers
            .retain(|id, peer| members.contains(id) || now_ms < peer.lease_until_ms);
        let held = self.peers.values().flat_map(|peer| peer.held.values());
        let released = self.peers.values().map(|peer| &peer.released);
        let oldest = held.chain(released).fold(self.epoch(), |a, b| a.min(*b));
        self.epochs = self.epochs.split_off(&oldest);
        self.computed.1.retain(|(epoch, _), _| *epoch >= oldest);
    }
}
