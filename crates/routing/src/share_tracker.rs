//! Tracks the slot shares that a member may use while epochs change, members fail and links are cut.
//!
//! An epoch is a numbered list of the entry instances that divide the slots of their zone's backend servers; these
//! instances are its members. The newest epoch and some earlier ones are in a row of the platform's table service, in
//! short the table. A member uses slots only while it holds a lease. It renews the lease in its own row of the table
//! or, while it cannot reach the table, by asking the other members to confirm the newest epoch. A link is the
//! connection between two members.
//!
//! Members receive epochs at different times. Each member reports its release: the newest epoch to whose shares it has
//! reduced its use. Of each backend server, a member uses at most the smallest of its shares over all epochs from the
//! oldest release of any other member to the newest epoch that it has received. The ranges of any two members then
//! overlap, so one epoch is in the ranges of all members, and their total use is at most the sum of that epoch's
//! shares.
//!
//! A member that is no longer in the newest epoch is still treated as another member until its lease has expired.
//!
//! A member is silent if it neither responds to the request for confirmation nor refuses connections. It may still
//! reach the table, and there write an epoch without the members that do not renew their leases. A member that renews
//! its lease by confirmations therefore leaves slots unused: as many as the shares of the silent members would grow if
//! every member that has failed or may be unable to reach the table, this one included, were removed. Allowing only
//! for the removal of this member would be too little, because a silent member may remove several members one after
//! the other.

use {
    crate::{
        BackendId,
        shares::{Share, SlotLimits, SlotShares, inherited_shares, slot_shares},
    },
    ragwortreel_model::{Epoch, InstanceId},
    std::collections::{BTreeMap, BTreeSet},
};

/// Duration of a slot lease from the time at which its renewal was sent, in ms.
pub const SLOT_LEASE_MS: u64 = 3_000;
/// Time from the last sign of a renewal until another member's lease has certainly expired, in ms. It allows for 5%
/// clock drift and 100 ms to end the requests in flight.
pub const PEER_LEASE_MS: u64 = SLOT_LEASE_MS + SLOT_LEASE_MS / 20 + 100;
/// Minimum remaining table lease of a confirming member for others to rely on it, in ms.
const MIN_TABLE_LEASE_MS: u64 = 1_000;
/// Maximum number of epochs kept. No slots are usable if another member's release is older than the oldest epoch
/// kept.
const MAX_EPOCHS: usize = 64;

/// Report of a member to the others about the shares that it has released.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReleaseReport {
    /// Epoch to whose shares the member has reduced its use.
    pub epoch: Epoch,
    /// Backend servers on which its use still exceeds the share of that epoch.
    pub still_held: BTreeSet<BackendId>,
}

/// Current use of a backend server by a member.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BackendUsage {
    /// Number of requests in flight.
    pub slots: u32,
    /// Number of open connections, idle ones included.
    pub connections: u32,
}

/// State of another member as last observed.
#[derive(Debug, Clone, Default)]
struct Peer {
    /// Epoch to whose shares the member has reduced its use, except on the backend servers in `held_epochs`.
    released_epoch: Epoch,
    /// For each backend server on which the member still exceeds its share of `released_epoch`, the epoch whose share
    /// it may still use.
    held_epochs: BTreeMap<BackendId, Epoch>,
    /// Time at which the member's lease has certainly expired, in ms.
    lease_until_ms: u64,
}

/// Computes the slot shares that one instance may use, from epochs, release reports and lease renewals.
#[derive(Debug)]
pub struct ShareTracker {
    own_id: InstanceId,
    epochs: BTreeMap<Epoch, Vec<InstanceId>>,
    /// First epoch that includes this member.
    joined_epoch: Option<Epoch>,
    /// Own shares by epoch and backend server, computed for the limits in the first field.
    share_cache: (Option<SlotLimits>, BTreeMap<(Epoch, BackendId), Share>),
    peers: BTreeMap<InstanceId, Peer>,
    valid_until_ms: u64,
    table_lease_until_ms: u64,
    /// Members that silent members might remove from the epoch, this one included; empty while the lease is renewed
    /// through the table.
    removable: Vec<InstanceId>,
    /// Silent members at the last renewal by confirmations; they may still be running.
    silent: Vec<InstanceId>,
    /// Time by which requests in excess of the shares must have ended, in ms.
    excess_until_ms: Option<u64>,
    /// Expiry of the promises made by [`ShareTracker::confirm_epoch`], in ms, by confirmed epoch.
    promised: BTreeMap<Epoch, u64>,
}

impl ShareTracker {
    /// A tracker without epochs and without a lease.
    #[must_use]
    pub fn new(own_id: InstanceId) -> Self {
        Self {
            own_id,
            epochs: BTreeMap::new(),
            joined_epoch: None,
            share_cache: (None, BTreeMap::new()),
            peers: BTreeMap::new(),
            valid_until_ms: 0,
            table_lease_until_ms: 0,
            removable: Vec::new(),
            silent: Vec::new(),
            excess_until_ms: None,
            promised: BTreeMap::new(),
        }
    }

    /// Newest epoch applied, 0 for none.
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

    /// Members that may still use shares of an epoch before the newest, and must be asked for their release.
    #[must_use]
    pub fn unreleased_members(&self) -> Vec<InstanceId> {
        let newest = self.epoch();
        let peers = self.peers.iter();
        let unreleased =
            peers.filter(|(_, peer)| peer.released_epoch < newest || !peer.held_epochs.is_empty());
        unreleased.map(|(id, _)| id.clone()).collect()
    }

    /// Applies an epoch; one that is not newer than the newest applied is ignored.
    ///
    /// No slots are usable while an epoch is missing between the oldest release of another member and the newest epoch.
    /// Therefore the table row keeps the member lists of the last epochs, and the caller applies them in order.
    ///
    /// The caller then passes [`ShareTracker::usable_shares`] to the router before it reports a release.
    pub fn apply_epoch(&mut self, now_ms: u64, epoch: Epoch, members: &[InstanceId]) {
        let previous = self.epoch();
        if epoch <= previous {
            return;
        }
        for member in members.iter().filter(|member| **member != self.own_id) {
            // A new member has used nothing under earlier epochs.
            self.peers.entry(member.clone()).or_insert_with(|| Peer {
                released_epoch: previous,
                held_epochs: BTreeMap::new(),
                lease_until_ms: now_ms + PEER_LEASE_MS,
            });
        }
        if self.joined_epoch.is_none() && members.contains(&self.own_id) {
            self.joined_epoch = Some(epoch);
        }
        self.epochs.insert(epoch, members.to_vec());
        if self.epochs.len() > MAX_EPOCHS {
            self.epochs.pop_first();
        }
    }

    /// Extends the lease after a successful renewal through the table; `sent_at_ms` is the time before it was sent.
    pub fn renewed_by_table(&mut self, sent_at_ms: u64) {
        self.table_lease_until_ms = self.table_lease_until_ms.max(sent_at_ms + SLOT_LEASE_MS);
        if self.table_lease_until_ms > self.valid_until_ms {
            self.valid_until_ms = self.table_lease_until_ms;
            self.removable.clear();
            self.silent.clear();
            self.excess_until_ms = None;
        }
    }

    /// Extends the lease after the other members have been asked, at `sent_at_ms`, to confirm the epoch.
    ///
    /// `confirmed` holds the remaining table lease of each confirming member, in ms, 0 for none. `refusing` holds the
    /// members whose port refuses connections. Members in neither are silent. The lease is not extended if the epoch
    /// has changed.
    pub fn renewed_by_peers(
        &mut self,
        sent_at_ms: u64,
        epoch: Epoch,
        confirmed: &BTreeMap<InstanceId, u64>,
        refusing: &BTreeSet<InstanceId>,
    ) {
        if epoch != self.epoch() || !self.members().contains(&self.own_id) {
            return;
        }
        let (mut removable, mut silent) = (vec![self.own_id.clone()], Vec::new());
        let mut lease_ms = SLOT_LEASE_MS;
        for member in self
            .members()
            .iter()
            .filter(|member| **member != self.own_id)
        {
            match confirmed.get(member) {
                Some(remaining_ms) if *remaining_ms >= MIN_TABLE_LEASE_MS => {
                    lease_ms = lease_ms.min(*remaining_ms);
                }
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

    /// Records a sign that a member may have renewed its lease: a changed row or a message from it.
    pub fn peer_seen(&mut self, now_ms: u64, peer: &InstanceId) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.lease_until_ms = peer.lease_until_ms.max(now_ms + PEER_LEASE_MS);
        }
    }

    /// Records the release report of a member, from the entry link or its table row; outdated reports are ignored.
    pub fn peer_released(&mut self, peer: &InstanceId, report: &ReleaseReport) {
        let Some(peer) = self.peers.get_mut(peer) else {
            return;
        };
        if report.epoch < peer.released_epoch {
            return;
        }
        let before = peer.released_epoch;
        peer.held_epochs
            .retain(|id, _| report.still_held.contains(id));
        for id in &report.still_held {
            peer.held_epochs.entry(id.clone()).or_insert(before);
        }
        peer.released_epoch = report.epoch;
    }

    /// Whether this member may write an epoch without `peer`, whose row has not changed for the lease time and which
    /// does not respond.
    ///
    /// A peer that has not received an epoch with this member does not count this member as silent and leaves no slots
    /// unused for it. Such a peer may be removed only if it is proven gone: its port refuses connections, or the
    /// platform no longer lists it.
    #[must_use]
    pub fn may_remove(&self, now_ms: u64, peer: &InstanceId, proven_gone: bool) -> bool {
        let Some(known) = self.peers.get(peer) else {
            return proven_gone;
        };
        let joined = self.joined_epoch.unwrap_or(Epoch(u64::MAX));
        let counts_this_member = known.released_epoch >= joined;
        let has_promised = now_ms < self.promise_expires_ms();
        now_ms >= known.lease_until_ms && !has_promised && (proven_gone || counts_this_member)
    }

    /// Whether this member confirms an epoch to a member that cannot reach the table. A confirmation promises to use
    /// none of that member's slots for [`PEER_LEASE_MS`]. The caller must write no epoch until the promise expires; see
    /// [`ShareTracker::promise_expires_ms`].
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

    /// Remaining lease through the table, in ms, as sent with a confirmation.
    #[must_use]
    pub fn remaining_table_lease_ms(&self, now_ms: u64) -> u64 {
        self.table_lease_until_ms.saturating_sub(now_ms)
    }

    /// Expiry of the last promise made by [`ShareTracker::confirm_epoch`], in ms; until then the caller must write no
    /// epoch.
    #[must_use]
    pub fn promise_expires_ms(&self) -> u64 {
        self.promised.values().max().copied().unwrap_or(0)
    }

    /// Release report of this member, from its current use of each backend server.
    #[must_use]
    pub fn release_report(
        &self,
        now_ms: u64,
        in_use: &BTreeMap<BackendId, BackendUsage>,
        limits: SlotLimits,
    ) -> ReleaseReport {
        // A member that was promised an older epoch may still use its shares.
        let mut promises = self.promised.iter();
        let oldest = promises.find(|(_, until)| now_ms < **until);
        let epoch = oldest.map_or(self.epoch(), |(epoch, _)| *epoch);
        let is_held = |id: &BackendId, used: BackendUsage| {
            let share = self.share_in_epoch(epoch, id, limits);
            used.slots > share.slots || used.connections > share.connections
        };
        let held = in_use.iter().filter(|(id, used)| is_held(id, **used));
        ReleaseReport {
            epoch,
            still_held: held.map(|(id, _)| id.clone()).collect(),
        }
    }

    /// Shares of the given backend servers that may be used now.
    pub fn usable_shares<'a>(
        &mut self,
        now_ms: u64,
        backends: impl IntoIterator<Item = &'a BackendId>,
        limits: SlotLimits,
    ) -> SlotShares {
        self.drop_expired(now_ms);
        if self.share_cache.0 != Some(limits) {
            self.share_cache = (Some(limits), BTreeMap::new());
        }
        let mut by_backend = BTreeMap::new();
        for id in backends {
            self.cache_shares(id, limits);
            by_backend.insert(id.clone(), self.usable_share(id, limits));
        }
        SlotShares {
            by_backend,
            valid_until_ms: self.valid_until_ms,
            excess_until_ms: self.excess_until_ms,
        }
    }

    /// Caches the own shares of a backend server in all kept epochs.
    fn cache_shares(&mut self, backend: &BackendId, limits: SlotLimits) {
        for epoch in self.epochs.keys() {
            let key = (*epoch, backend.clone());
            if !self.share_cache.1.contains_key(&key) {
                let share = self.share_in_epoch(*epoch, backend, limits);
                self.share_cache.1.insert(key, share);
            }
        }
    }

    fn usable_share(&self, backend: &BackendId, limits: SlotLimits) -> Share {
        let (oldest, newest) = (self.oldest_release(backend), self.epoch());
        let known = self.epochs.range(oldest..);
        let missing = newest.0 - oldest.0 + 1 != known.clone().count() as u64;
        if missing {
            return Share::default();
        }
        let shares = known.map(|(epoch, _)| self.share_in_epoch(*epoch, backend, limits));
        let usable = shares.reduce(Share::min).unwrap_or_default();
        usable.saturating_sub(self.withheld(backend, limits))
    }

    /// Share that stays unused because silent members could assign it to themselves in a new epoch.
    fn withheld(&self, backend: &BackendId, limits: SlotLimits) -> Share {
        if self.silent.is_empty() {
            return Share::default();
        }
        let gains = inherited_shares(self.members(), &self.removable, backend, limits);
        let of_silent = self.silent.iter().filter_map(|member| gains.get(member));
        of_silent.fold(Share::default(), |sum, gain| sum.plus(*gain))
    }

    fn share_in_epoch(&self, epoch: Epoch, backend: &BackendId, limits: SlotLimits) -> Share {
        let Some(members) = self.epochs.get(&epoch) else {
            return Share::default();
        };
        let known = self.share_cache.1.get(&(epoch, backend.clone()));
        if let (Some(share), true) = (known, self.share_cache.0 == Some(limits)) {
            return *share;
        }
        let shares = slot_shares(members, backend, limits);
        shares.get(&self.own_id).copied().unwrap_or_default()
    }

    /// Oldest epoch whose shares of a backend server another member may still use.
    fn oldest_release(&self, backend: &BackendId) -> Epoch {
        let releases = self.peers.values().map(|peer| {
            let held = peer.held_epochs.get(backend).copied();
            held.map_or(peer.released_epoch, |older| older.min(peer.released_epoch))
        });
        releases.fold(self.epoch(), Epoch::min)
    }

    /// Drops removed members with expired leases, and epochs that no member uses any more.
    fn drop_expired(&mut self, now_ms: u64) {
        let members = self.members().to_vec();
        self.peers
            .retain(|id, peer| members.contains(id) || now_ms < peer.lease_until_ms);
        let held = self
            .peers
            .values()
            .flat_map(|peer| peer.held_epochs.values());
        let released = self.peers.values().map(|peer| &peer.released_epoch);
        let oldest = held.chain(released).fold(self.epoch(), |a, b| a.min(*b));
        self.epochs = self.epochs.split_off(&oldest);
        self.share_cache.1.retain(|(epoch, _), _| *epoch >= oldest);
    }
}
