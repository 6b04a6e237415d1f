//! Slot shares of 9 instances in 3 zones while epochs change, members fail and join, and links are cut.
//!
//! A model of each zone keeps the table rows and the actual use of each backend server. In the property test, every
//! member uses its whole usable share after each step, so overlapping shares are detected at once.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    ragwortreel_model::{Epoch, InstanceId},
    ragwortreel_routing::{
        BackendId, BackendUsage, PEER_LEASE_MS, ReleaseReport, SLOT_LEASE_MS, ShareTracker,
        SlotLimits, SlotShares,
    },
    std::collections::{BTreeMap, BTreeSet},
};

const LIMITS: SlotLimits = SlotLimits {
    slots: 8,
    long_slots: 6,
    connections: 64,
};
const BACKENDS_PER_ZONE: usize = 16;
const MEMBERS_PER_ZONE: usize = 3;

/// An instance with its tracker and the slots that its requests hold.
struct Member {
    id: InstanceId,
    tracker: ShareTracker,
    shares: SlotShares,
    in_use: BTreeMap<BackendId, u32>,
    /// Last counter seen in each member's row, and the time at which this member saw it change, in ms.
    rows_seen: BTreeMap<InstanceId, (u64, u64)>,
    unacknowledged_ms: Option<u64>,
    alive: bool,
    can_reach_table: bool,
}

/// Row of a member in the table; each renewal increases the counter.
#[derive(Default, Clone)]
struct Row {
    counter: u64,
    report: ReleaseReport,
}

/// Model of an availability zone: its backend servers, table rows, members and links.
struct ZoneModel {
    now_ms: u64,
    backends: Vec<BackendId>,
    epochs: Vec<Vec<InstanceId>>,
    rows: BTreeMap<InstanceId, Row>,
    members: Vec<Member>,
    /// Pairs of members that cannot reach each other, lower index first.
    cut: BTreeSet<(usize, usize)>,
    /// Whether the zone reaches neither the platform nor the table.
    is_cut_off: bool,
}

#[derive(Debug, Clone)]
enum Op {
    /// Time passes, then all members renew and exchange heartbeats, except those selected by the bits of `skip`. In the
    /// generated rounds, members with an odd index renew in every round.
    Round {
        ms: u64,
        skip: u8,
    },
    /// Time passes without renewals.
    Advance {
        ms: u64,
    },
    /// Requests end, except those selected by the bits of `keep`.
    Finish {
        keep: u8,
    },
    LoseAcknowledgement {
        member: usize,
    },
    Kill {
        member: usize,
    },
    Join,
    Isolate {
        member: usize,
    },
    CutTable {
        member: usize,
    },
    CutLink {
        from: usize,
        to: usize,
    },
    CutZone,
    Reconnect,
}

fn ops() -> impl Strategy<Value = Op> {
    let member = 0_usize..8;
    prop_oneof![
        12 => (20_u64..700, any::<u8>()).prop_map(|(ms, skip)| Op::Round { ms, skip: skip & 0x55 }),
        6 => (20_u64..700).prop_map(|ms| Op::Round { ms, skip: 0 }),
        3 => (1_u64..4000).prop_map(|ms| Op::Advance { ms }),
        6 => any::<u8>().prop_map(|keep| Op::Finish { keep }),
        1 => member.clone().prop_map(|member| Op::LoseAcknowledgement { member }),
        1 => member.clone().prop_map(|member| Op::Kill { member }),
        2 => Just(Op::Join),
        1 => member.clone().prop_map(|member| Op::Isolate { member }),
        2 => member.clone().prop_map(|member| Op::CutTable { member }),
        2 => (member.clone(), member).prop_map(|(from, to)| Op::CutLink { from, to }),
        1 => Just(Op::CutZone),
        1 => Just(Op::Reconnect),
    ]
}

impl ZoneModel {
    fn new(number: usize) -> Self {
        let backend = |n| BackendId::from(format!("backend-{}", number * BACKENDS_PER_ZONE + n));
        let mut zone = Self {
            now_ms: 0,
            backends: (0..BACKENDS_PER_ZONE).map(backend).collect(),
            epochs: Vec::new(),
            rows: BTreeMap::new(),
            members: Vec::new(),
            cut: BTreeSet::new(),
            is_cut_off: false,
        };
        for _ in 0..MEMBERS_PER_ZONE {
            zone.join();
        }
        zone
    }

    fn linked(&self, a: usize, b: usize) -> bool {
        !self.cut.contains(&(a.min(b), a.max(b)))
    }

    fn index_of(&self, id: &InstanceId) -> usize {
        self.members.iter().position(|m| m.id == *id).unwrap()
    }

    fn is_member(&self, at: usize) -> bool {
        let id = &self.members[at].id;
        self.epochs.last().is_some_and(|list| list.contains(id))
    }

    fn alive(&self) -> Vec<usize> {
        (0..self.members.len())
            .filter(|at| self.members[*at].alive)
            .collect()
    }

    fn pick(&self, which: usize) -> Option<usize> {
        let alive = self.alive();
        (!alive.is_empty()).then(|| alive[which % alive.len()])
    }

    fn join(&mut self) {
        if self.is_cut_off || self.alive().len() > MEMBERS_PER_ZONE {
            return;
        }
        let id = InstanceId::new(&format!("entry-{}", self.members.len())).unwrap();
        let mut list = self.epochs.last().cloned().unwrap_or_default();
        list.push(id.clone());
        self.members.push(Member {
            tracker: ShareTracker::new(id.clone()),
            id,
            shares: SlotShares::default(),
            in_use: BTreeMap::new(),
            rows_seen: BTreeMap::new(),
            unacknowledged_ms: None,
            alive: true,
            can_reach_table: true,
        });
        self.epochs.push(list);
        let at = self.members.len() - 1;
        self.poll(at);
    }

    fn refresh(&mut self, at: usize) {
        let member = &mut self.members[at];
        member.shares = member
            .tracker
            .usable_shares(self.now_ms, &self.backends, LIMITS);
    }

    fn report(&self, at: usize) -> ReleaseReport {
        let member = &self.members[at];
        let used = |(id, slots): (&BackendId, &u32)| {
            let connections = slots * 8;
            (
                id.clone(),
                BackendUsage {
                    slots: *slots,
                    connections,
                },
            )
        };
        let in_use = member.in_use.iter().map(used).collect();
        member.tracker.release_report(self.now_ms, &in_use, LIMITS)
    }

    /// Reads the epochs and rows, and writes an epoch without a member that has failed.
    fn poll(&mut self, at: usize) {
        if !self.members[at].can_reach_table {
            return;
        }
        let now = self.now_ms;
        let member = &mut self.members[at];
        let known = usize::try_from(member.tracker.epoch().0).unwrap();
        for (n, list) in self.epochs.iter().enumerate().skip(known) {
            member.tracker.apply_epoch(now, Epoch(n as u64 + 1), list);
        }
        for (id, row) in &self.rows {
            let seen = member.rows_seen.entry(id.clone()).or_insert((0, now));
            if row.counter > seen.0 {
                *seen = (row.counter, now);
                member.tracker.peer_seen(now, id);
                member.tracker.peer_released(id, &row.report);
            }
        }
        self.refresh(at);
        if self.is_member(at) {
            self.remove_failed(at);
        }
    }

    fn remove_failed(&mut self, at: usize) {
        let list = self.epochs.last().unwrap().clone();
        let now = self.now_ms;
        for id in list.iter().filter(|id| **id != self.members[at].id) {
            let peer = self.index_of(id);
            let changed = self.members[at].rows_seen.get(id).map_or(0, |seen| seen.1);
            let responds = self.members[peer].alive
                && self.linked(at, peer)
                && now < self.members[peer].shares.valid_until_ms;
            let proven_gone = !self.members[peer].alive;
            let unchanged = now >= changed + SLOT_LEASE_MS;
            if unchanged && !responds && self.members[at].tracker.may_remove(now, id, proven_gone) {
                let rest = list.iter().filter(|other| *other != id).cloned().collect();
                self.epochs.push(rest);
                self.poll(at);
                return;
            }
        }
    }

    fn renew(&mut self, at: usize) {
        let sent_ms = self.now_ms;
        if !self.members[at].can_reach_table {
            self.renew_by_peers(at);
        } else if self.is_member(at) {
            let report = self.report(at);
            let row = self.rows.entry(self.members[at].id.clone()).or_default();
            row.counter += 1;
            row.report = report;
            self.members[at].tracker.renewed_by_table(sent_ms);
        }
        self.refresh(at);
    }

    fn renew_by_peers(&mut self, at: usize) {
        let (id, epoch) = (
            self.members[at].id.clone(),
            self.members[at].tracker.epoch(),
        );
        let (mut confirmed, mut refusing) = (BTreeMap::new(), BTreeSet::new());
        let asked: Vec<InstanceId> = self.members[at].tracker.members().to_vec();
        for peer_id in asked.iter().filter(|peer| **peer != id) {
            let peer = self.index_of(peer_id);
            if !self.linked(at, peer) {
                continue;
            }
            if !self.members[peer].alive {
                refusing.insert(peer_id.clone());
            } else if self.members[peer]
                .tracker
                .confirm_epoch(self.now_ms, &id, epoch)
            {
                let remaining_ms = self.members[peer]
                    .tracker
                    .remaining_table_lease_ms(self.now_ms);
                confirmed.insert(peer_id.clone(), remaining_ms);
            } else {
                return;
            }
        }
        let tracker = &mut self.members[at].tracker;
        tracker.renewed_by_peers(self.now_ms, epoch, &confirmed, &refusing);
    }

    fn heartbeat(&mut self, from: usize, to: usize) {
        if !self.linked(from, to) {
            return;
        }
        let (id, report) = (self.members[from].id.clone(), self.report(from));
        let tracker = &mut self.members[to].tracker;
        tracker.peer_seen(self.now_ms, &id);
        tracker.peer_released(&id, &report);
        self.refresh(to);
    }

    fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        for member in &mut self.members {
            if self.now_ms >= member.shares.valid_until_ms {
                member.in_use.clear();
            }
            if member
                .shares
                .excess_until_ms
                .is_some_and(|until| self.now_ms >= until)
            {
                for (id, used) in &mut member.in_use {
                    *used = (*used).min(member.shares.by_backend[id].slots);
                }
            }
        }
    }

    /// Every live member takes all the slots that it may use.
    fn fill(&mut self) {
        for member in self.members.iter_mut().filter(|member| member.alive) {
            if self.now_ms >= member.shares.valid_until_ms {
                continue;
            }
            for (id, share) in &member.shares.by_backend {
                let used = member.in_use.entry(id.clone()).or_default();
                *used = (*used).max(share.slots);
            }
        }
    }

    fn round(&mut self, ms: u64, skip: u8) {
        self.advance(ms);
        let alive = self.alive();
        for at in &alive {
            if skip & (1 << (at % 8)) == 0 {
                self.renew(*at);
                self.poll(*at);
            }
        }
        for from in &alive {
            for to in &alive {
                if from != to && skip & (1 << ((from + to) % 8)) == 0 {
                    self.heartbeat(*from, *to);
                }
            }
        }
    }

    fn isolate(&mut self, at: usize) {
        self.members[at].can_reach_table = false;
        for other in 0..self.members.len() {
            self.cut.insert((at.min(other), at.max(other)));
        }
    }

    fn apply(&mut self, op: &Op) {
        match op {
            Op::Round { ms, skip } => self.round(*ms, *skip),
            Op::Advance { ms } => self.advance(*ms),
            Op::Finish { keep } => self.finish(*keep),
            Op::LoseAcknowledgement { member } => {
                // The row changes, but the member does not receive the acknowledgement of its renewal.
                if let Some(at) = self.pick(*member).filter(|at| self.is_member(*at)) {
                    self.members[at].unacknowledged_ms = Some(self.now_ms);
                    self.rows
                        .entry(self.members[at].id.clone())
                        .or_default()
                        .counter += 1;
                }
            }
            Op::Kill { member } => {
                if let Some(at) = self.pick(*member) {
                    self.members[at].alive = false;
                    self.members[at].in_use.clear();
                }
            }
            Op::Join => self.join(),
            Op::Isolate { member } => {
                if let Some(at) = self.pick(*member) {
                    self.isolate(at);
                }
            }
            Op::CutTable { member } => {
                if let Some(at) = self.pick(*member) {
                    self.members[at].can_reach_table = false;
                }
            }
            Op::CutLink { from, to } => {
                if let (Some(a), Some(b)) = (self.pick(*from), self.pick(*to)) {
                    self.cut.insert((a.min(b), a.max(b)));
                }
            }
            Op::CutZone => self.set_cut_off(true),
            Op::Reconnect => self.set_cut_off(false),
        }
    }

    fn set_cut_off(&mut self, is_cut: bool) {
        self.is_cut_off = is_cut;
        for member in &mut self.members {
            member.can_reach_table = !is_cut;
        }
        if !is_cut {
            self.cut.clear();
        }
    }

    fn finish(&mut self, keep: u8) {
        for (n, used) in self
            .members
            .iter_mut()
            .flat_map(|m| m.in_use.values_mut())
            .enumerate()
        {
            if keep & (1 << (n % 8)) == 0 {
                *used = 0;
            }
        }
    }

    fn total(&self, backend: &BackendId) -> u32 {
        self.members
            .iter()
            .filter_map(|m| m.in_use.get(backend))
            .sum()
    }

    fn max_in_use(&self) -> u32 {
        self.backends
            .iter()
            .map(|id| self.total(id))
            .max()
            .unwrap_or(0)
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: RngSeed::Fixed(4401),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    })]

    /// Guards against two members that use the same slot at the same time, and against slots that stay unused after all
    /// links have been restored.
    #[test]
    fn slots_in_use_never_exceed_the_limit(ops in prop::collection::vec((0_usize..3, ops()), 1..240)) {
        let mut zones: Vec<ZoneModel> = (0..3).map(ZoneModel::new).collect();
        for (number, op) in &ops {
            let zone = &mut zones[*number];
            zone.apply(op);
            zone.fill();
            prop_assert!(zone.max_in_use() <= LIMITS.slots, "{} slots in use after {op:?}", zone.max_in_use());
        }
        // Once all links work again, every slot must be usable again.
        for zone in &mut zones {
            zone.set_cut_off(false);
            for _ in 0..40 {
                zone.round(250, 0);
                zone.finish(0);
                zone.fill();
                prop_assert!(zone.max_in_use() <= LIMITS.slots);
            }
            let served = zone.alive().iter().any(|at| zone.is_member(*at));
            let full = zone.backends.iter().all(|id| zone.total(id) == LIMITS.slots);
            prop_assert!(full || !served, "slots are left unused");
        }
    }
}

/// Runs rounds of 250 ms until a condition holds or `limit_ms` have passed. Returns the elapsed time, in ms.
fn time_until(zone: &mut ZoneModel, limit_ms: u64, done: impl Fn(&ZoneModel) -> bool) -> u64 {
    let start = zone.now_ms;
    while !done(zone) && zone.now_ms < start + limit_ms {
        zone.round(250, 0);
        zone.finish(0);
        zone.fill();
        assert!(zone.max_in_use() <= LIMITS.slots);
    }
    zone.now_ms - start
}

fn all_slots_in_use(zone: &ZoneModel) -> bool {
    zone.backends
        .iter()
        .all(|id| zone.total(id) == LIMITS.slots)
}

/// Guards against slots of a failed instance that are reassigned late.
#[test]
fn slots_of_a_failed_instance_are_reassigned_within_5_s() {
    let mut zone = ZoneModel::new(0);
    time_until(&mut zone, 10_000, all_slots_in_use);
    zone.apply(&Op::Kill { member: 1 });
    zone.fill();
    assert!(!all_slots_in_use(&zone));
    let elapsed_ms = time_until(&mut zone, 10_000, all_slots_in_use);
    assert!(elapsed_ms <= 5_000, "took {elapsed_ms} ms");
}

/// Guards against a zone that stops without the table although its members reach each other.
#[test]
fn a_zone_without_the_table_keeps_all_slots() {
    let mut zone = ZoneModel::new(0);
    time_until(&mut zone, 10_000, all_slots_in_use);
    zone.apply(&Op::CutZone);
    for _ in 0..80 {
        zone.round(250, 0);
        zone.finish(0);
        zone.fill();
        assert!(all_slots_in_use(&zone), "at {} ms", zone.now_ms);
    }
}

/// Guards against an instance that reaches neither the table nor the other members and uses slots after its lease.
#[test]
fn an_isolated_instance_stops_and_its_slots_are_taken_over() {
    let mut zone = ZoneModel::new(0);
    time_until(&mut zone, 10_000, all_slots_in_use);
    zone.apply(&Op::Isolate { member: 2 });
    let taken_over = |zone: &ZoneModel| {
        zone.members[2].in_use.values().all(|n| *n == 0) && all_slots_in_use(zone)
    };
    let elapsed_ms = time_until(&mut zone, 10_000, taken_over);
    assert!(elapsed_ms <= 5_000, "took {elapsed_ms} ms");
}

/// Guards against withholding only what the removal of one member would pass on: a silent third member could take all
/// slots by removing both members that cannot reach the table, so these must withhold all of them.
#[test]
fn a_silent_member_may_remove_several_members() {
    let mut zone = ZoneModel::new(0);
    time_until(&mut zone, 10_000, all_slots_in_use);
    zone.apply(&Op::CutTable { member: 0 });
    zone.apply(&Op::CutTable { member: 1 });
    zone.apply(&Op::CutLink { from: 0, to: 2 });
    zone.apply(&Op::CutLink { from: 1, to: 2 });
    let member_2_holds_all = |zone: &ZoneModel| {
        let alone = zone
            .backends
            .iter()
            .all(|id| zone.members[2].in_use.get(id) == Some(&8));
        alone && all_slots_in_use(zone)
    };
    let elapsed_ms = time_until(&mut zone, 20_000, member_2_holds_all);
    assert!(elapsed_ms < 20_000);
}

/// Guards against withholding too little while a failed member is still in the epoch: a silent member may remove the
/// failed one and the one without the table.
#[test]
fn a_silent_member_may_also_remove_a_failed_one() {
    let mut zone = ZoneModel::new(0);
    time_until(&mut zone, 10_000, all_slots_in_use);
    zone.apply(&Op::Kill { member: 1 });
    zone.apply(&Op::CutTable { member: 0 });
    zone.cut.insert((0, 2));
    let elapsed_ms = time_until(&mut zone, 10_000, all_slots_in_use);
    assert!(elapsed_ms <= 5_000, "took {elapsed_ms} ms");
}

/// Guards against a member that skips an epoch and uses slots although its share in that epoch is unknown.
#[test]
fn no_slots_are_usable_while_an_epoch_is_missing() {
    let (a, b, c) = (name("a"), name("b"), name("c"));
    let backend = BackendId::from("backend-1");
    let mut tracker = ShareTracker::new(a.clone());
    tracker.apply_epoch(0, Epoch(1), &[a.clone(), b.clone()]);
    tracker.apply_epoch(0, Epoch(3), &[a, b.clone(), c]);
    tracker.renewed_by_table(0);
    let slots = |tracker: &mut ShareTracker| {
        tracker.usable_shares(0, [&backend], LIMITS).by_backend[&backend].slots
    };
    assert_eq!(slots(&mut tracker), 0);
    let report = ReleaseReport {
        epoch: Epoch(3),
        still_held: BTreeSet::new(),
    };
    tracker.peer_released(&b, &report);
    tracker.peer_released(&name("c"), &report);
    assert!(slots(&mut tracker) >= 2);
}

fn name(text: &str) -> InstanceId {
    InstanceId::new(text).unwrap()
}

/// A tracker of member `a` with epoch 1 of the given members, which all have reported its release.
fn tracker_of(members: &[&str]) -> ShareTracker {
    let members: Vec<InstanceId> = members.iter().map(|text| name(text)).collect();
    let mut tracker = ShareTracker::new(name("a"));
    tracker.apply_epoch(0, Epoch(1), &members);
    let report = ReleaseReport {
        epoch: Epoch(1),
        still_held: BTreeSet::new(),
    };
    for member in &members {
        tracker.peer_released(member, &report);
    }
    tracker
}

fn usable_slots(tracker: &mut ShareTracker, now_ms: u64) -> u32 {
    let backend = BackendId::from("backend-1");
    let shares = tracker.usable_shares(now_ms, [&backend], LIMITS);
    shares.by_backend[&backend].slots
}

/// Guards against a release that lets a new member use slots of a member to which the old epoch has been promised.
#[test]
fn a_promise_delays_the_release() {
    let mut tracker = tracker_of(&["a", "b"]);
    assert!(tracker.confirm_epoch(100, &name("b"), Epoch(1)));
    tracker.apply_epoch(200, Epoch(2), &[name("a"), name("c")]);
    let released = |tracker: &ShareTracker, now_ms| {
        let report = tracker.release_report(now_ms, &BTreeMap::new(), LIMITS);
        report.epoch
    };
    assert_eq!(released(&tracker, 99 + PEER_LEASE_MS), Epoch(1));
    assert_eq!(released(&tracker, 100 + PEER_LEASE_MS), Epoch(2));
    assert!(!tracker.confirm_epoch(300, &name("b"), Epoch(1)));
}

/// Guards against the use of a removed member's slots before that member's lease has expired.
#[test]
fn a_removed_member_counts_until_its_lease_has_expired() {
    let mut tracker = tracker_of(&["a", "b"]);
    tracker.peer_seen(1_000, &name("b"));
    tracker.apply_epoch(1_000, Epoch(2), &[name("a")]);
    assert_eq!(usable_slots(&mut tracker, 999 + PEER_LEASE_MS), 4);
    assert_eq!(usable_slots(&mut tracker, 1_000 + PEER_LEASE_MS), 8);
}

/// Guards against a lease that outlasts the table lease of the member that confirmed it.
#[test]
fn a_confirmed_lease_ends_with_the_table_lease_of_the_peer() {
    let backend = BackendId::from("backend-1");
    let mut tracker = tracker_of(&["a", "b", "c"]);
    let confirmed = BTreeMap::from([(name("b"), 1_500)]);
    tracker.renewed_by_peers(1_000, Epoch(1), &confirmed, &BTreeSet::new());
    let shares = tracker.usable_shares(1_000, [&backend], LIMITS);
    assert_eq!(shares.valid_until_ms, 2_500);
    // A member without the table may be removed together with this one, so everything is withheld for the silent third.
    let confirmed = BTreeMap::from([(name("b"), 0)]);
    tracker.renewed_by_peers(2_000, Epoch(1), &confirmed, &BTreeSet::new());
    assert_eq!(usable_slots(&mut tracker, 2_000), 0);
}
