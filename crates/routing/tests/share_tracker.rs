//! Slot shares of 9 instances in 3 zones while epochs change, members die and join, and links are cut.
//!
//! The world keeps the table rows and the true use of each backend server. Every member fills its usable share at each
//! step, so an overlap of two shares shows at once.

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

struct Member {
    id: InstanceId,
    ledger: ShareTracker,
    shares: SlotShares,
    in_use: BTreeMap<BackendId, u32>,
    rows_seen: BTreeMap<InstanceId, (u64, u64)>,
    unacknowledged_ms: Option<u64>,
    alive: bool,
    has_table: bool,
}

#[derive(Default, Clone)]
struct Row {
    counter: u64,
    report: ReleaseReport,
}

struct Zone {
    now_ms: u64,
    backends: Vec<BackendId>,
    epochs: Vec<Vec<InstanceId>>,
    rows: BTreeMap<InstanceId, Row>,
    members: Vec<Member>,
    cut: BTreeSet<(usize, usize)>,
    platform_cut: bool,
}

#[derive(Debug, Clone)]
enum Op {
    Round { ms: u64, skip: u8 },
    Quick { ms: u64 },
    Finish { keep: u8 },
    LoseAcknowledgement { member: usize },
    Kill { member: usize },
    Join,
    Isolate { member: usize },
    CutTable { member: usize },
    CutLink { from: usize, to: usize },
    CutZone,
    Heal,
}

fn ops() -> impl Strategy<Value = Op> {
    let member = 0_usize..8;
    prop_oneof![
        12 => (20_u64..700, any::<u8>()).prop_map(|(ms, skip)| Op::Round { ms, skip: skip & 0x55 }),
        6 => (20_u64..700).prop_map(|ms| Op::Round { ms, skip: 0 }),
        3 => (1_u64..4000).prop_map(|ms| Op::Quick { ms }),
        6 => any::<u8>().prop_map(|keep| Op::Finish { keep }),
        1 => member.clone().prop_map(|member| Op::LoseAcknowledgement { member }),
        1 => member.clone().prop_map(|member| Op::Kill { member }),
        2 => Just(Op::Join),
        1 => member.clone().prop_map(|member| Op::Isolate { member }),
        2 => member.clone().prop_map(|member| Op::CutTable { member }),
        2 => (member.clone(), member).prop_map(|(from, to)| Op::CutLink { from, to }),
        1 => Just(Op::CutZone),
        1 => Just(Op::Heal),
    ]
}

impl Zone {
    fn new(zone: usize) -> Self {
        let backend = |n| BackendId::from(format!("backend-{}", zone * BACKENDS_PER_ZONE + n));
        let mut world = Self {
            now_ms: 0,
            backends: (0..BACKENDS_PER_ZONE).map(backend).collect(),
            epochs: Vec::new(),
            rows: BTreeMap::new(),
            members: Vec::new(),
            cut: BTreeSet::new(),
            platform_cut: false,
        };
        for _ in 0..MEMBERS_PER_ZONE {
            world.join();
        }
        world
    }

    fn linked(&self, a: usize, b: usize) -> bool {
        !self.cut.contains(&(a.min(b), a.max(b)))
    }

    fn index_of(&self, id: &InstanceId) -> usize {
        self.members.iter().position(|m| m.id == *id).unwrap()
    }

    fn is_current(&self, at: usize) -> bool {
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
        if self.platform_cut || self.alive().len() > MEMBERS_PER_ZONE {
            return;
        }
        let id = InstanceId::new(&format!("entry-{}", self.members.len())).unwrap();
        let mut list = self.epochs.last().cloned().unwrap_or_default();
        list.push(id.clone());
        self.members.push(Member {
            ledger: ShareTracker::new(id.clone()),
            id,
            shares: SlotShares::default(),
            in_use: BTreeMap::new(),
            rows_seen: BTreeMap::new(),
            unacknowledged_ms: None,
            alive: true,
            has_table: true,
        });
        self.epochs.push(list);
        let at = self.members.len() - 1;
        self.poll(at);
    }

    fn refresh(&mut self, at: usize) {
        let member = &mut self.members[at];
        member.shares = member
            .ledger
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
        member.ledger.release_report(self.now_ms, &in_use, LIMITS)
    }

    /// Reads the epochs and rows, and writes an epoch without members that look dead.
    fn poll(&mut self, at: usize) {
        if !self.members[at].has_table {
            return;
        }
        let now = self.now_ms;
        let member = &mut self.members[at];
        let known = usize::try_from(member.ledger.epoch().0).unwrap();
        for (n, list) in self.epochs.iter().enumerate().skip(known) {
            member.ledger.apply_epoch(now, Epoch(n as u64 + 1), list);
        }
        for (id, row) in &self.rows {
            let seen = member.rows_seen.entry(id.clone()).or_insert((0, now));
            if row.counter > seen.0 {
                *seen = (row.counter, now);
                member.ledger.peer_seen(now, id);
                member.ledger.peer_released(id, &row.report);
            }
        }
        self.refresh(at);
        if self.is_current(at) {
            self.remove_dead(at);
        }
    }

    fn remove_dead(&mut self, at: usize) {
        let list = self.epochs.last().unwrap().clone();
        let now = self.now_ms;
        for id in list.iter().filter(|id| **id != self.members[at].id) {
            let peer = self.index_of(id);
            let changed = self.members[at].rows_seen.get(id).map_or(0, |seen| seen.1);
            let answers = self.members[peer].alive
                && self.linked(at, peer)
                && now < self.members[peer].shares.valid_until_ms;
            let gone = !self.members[peer].alive;
            let unchanged = now >= changed + SLOT_LEASE_MS;
            if unchanged && !answers && self.members[at].ledger.may_remove(now, id, gone) {
                let rest = list.iter().filter(|other| *other != id).cloned().collect();
                self.epochs.push(rest);
                self.poll(at);
                return;
            }
        }
    }

    fn renew(&mut self, at: usize) {
        let sent_ms = self.now_ms;
        if !self.members[at].has_table {
            self.renew_by_peers(at);
        } else if self.is_current(at) {
            let report = self.report(at);
            let row = self.rows.entry(self.members[at].id.clone()).or_default();
            row.counter += 1;
            row.report = report;
            self.members[at].ledger.renewed_by_table(sent_ms);
        }
        self.refresh(at);
    }

    fn renew_by_peers(&mut self, at: usize) {
        let (id, epoch) = (self.members[at].id.clone(), self.members[at].ledger.epoch());
        let (mut confirmed, mut refusing) = (BTreeMap::new(), BTreeSet::new());
        let asked: Vec<InstanceId> = self.members[at].ledger.members().to_vec();
        for peer_id in asked.iter().filter(|peer| **peer != id) {
            let peer = self.index_of(peer_id);
            if !self.linked(at, peer) {
                continue;
            }
            if !self.members[peer].alive {
                refusing.insert(peer_id.clone());
            } else if self.members[peer]
                .ledger
                .confirm_epoch(self.now_ms, &id, epoch)
            {
                let rest_ms = self.members[peer]
                    .ledger
                    .remaining_table_lease_ms(self.now_ms);
                confirmed.insert(peer_id.clone(), rest_ms);
            } else {
                return;
            }
        }
        let ledger = &mut self.members[at].ledger;
        ledger.renewed_by_peers(self.now_ms, epoch, &confirmed, &refusing);
    }

    fn heartbeat(&mut self, from: usize, to: usize) {
        if !self.linked(from, to) {
            return;
        }
        let (id, report) = (self.members[from].id.clone(), self.report(from));
        let ledger = &mut self.members[to].ledger;
        ledger.peer_seen(self.now_ms, &id);
        ledger.peer_released(&id, &report);
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

    /// Every member takes all the slots that it may use.
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
        self.members[at].has_table = false;
        for other in 0..self.members.len() {
            self.cut.insert((at.min(other), at.max(other)));
        }
    }

    fn apply(&mut self, op: &Op) {
        match op {
            Op::Round { ms, skip } => self.round(*ms, *skip),
            Op::Quick { ms } => self.advance(*ms),
            Op::Finish { keep } => self.finish(*keep),
            Op::LoseAcknowledgement { member } => {
                // The row changes, but the member never learns that its renewal took effect.
                if let Some(at) = self.pick(*member).filter(|at| self.is_current(*at)) {
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
                    self.members[at].has_table = false;
                }
            }
            Op::CutLink { from, to } => {
                if let (Some(a), Some(b)) = (self.pick(*from), self.pick(*to)) {
                    self.cut.insert((a.min(b), a.max(b)));
                }
            }
            Op::CutZone => self.set_platform_cut(true),
            Op::Heal => self.set_platform_cut(false),
        }
    }

    fn set_platform_cut(&mut self, is_cut: bool) {
        self.platform_cut = is_cut;
        for member in &mut self.members {
            member.has_table = !is_cut;
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

    fn worst(&self) -> u32 {
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

    /// Guards against two members that use the same slot at any time.
    #[test]
    fn slots_are_never_over_the_limit(ops in prop::collection::vec((0_usize..3, ops()), 1..240)) {
        let mut zones: Vec<Zone> = (0..3).map(Zone::new).collect();
        for (zone, op) in &ops {
            let world = &mut zones[*zone];
            world.apply(op);
            world.fill();
            prop_assert!(world.worst() <= LIMITS.slots, "{} slots in use after {op:?}", world.worst());
        }
        // Once all links work again, every slot is usable again.
        for world in &mut zones {
            world.set_platform_cut(false);
            for _ in 0..40 {
                world.round(250, 0);
                world.finish(0);
                world.fill();
                prop_assert!(world.worst() <= LIMITS.slots);
            }
            let served = world.alive().iter().any(|at| world.is_current(*at));
            let full = world.backends.iter().all(|id| world.total(id) == LIMITS.slots);
            prop_assert!(full || !served, "slots are lost");
        }
    }
}

/// Runs rounds of 250 ms until a condition holds; the time that took, in ms.
fn time_until(world: &mut Zone, limit_ms: u64, done: impl Fn(&Zone) -> bool) -> u64 {
    let start = world.now_ms;
    while !done(world) && world.now_ms < start + limit_ms {
        world.round(250, 0);
        world.finish(0);
        world.fill();
        assert!(world.worst() <= LIMITS.slots);
    }
    world.now_ms - start
}

fn all_full(world: &Zone) -> bool {
    world
        .backends
        .iter()
        .all(|id| world.total(id) == LIMITS.slots)
}

/// Guards against slots of a dead instance that come back late.
#[test]
fn slots_of_a_dead_instance_are_back_within_5_s() {
    let mut world = Zone::new(0);
    time_until(&mut world, 10_000, all_full);
    world.apply(&Op::Kill { member: 1 });
    world.fill();
    assert!(!all_full(&world));
    let took_ms = time_until(&mut world, 10_000, all_full);
    assert!(took_ms <= 5_000, "took {took_ms} ms");
}

/// Guards against a zone without the table that stops although its members reach each other.
#[test]
fn a_zone_that_is_cut_off_keeps_all_slots() {
    let mut world = Zone::new(0);
    time_until(&mut world, 10_000, all_full);
    world.apply(&Op::CutZone);
    for _ in 0..80 {
        world.round(250, 0);
        world.finish(0);
        world.fill();
        assert!(all_full(&world), "at {} ms", world.now_ms);
    }
}

/// Guards against an instance without the table and the other members that goes on after its lease.
#[test]
fn an_isolated_instance_stops_and_its_slots_are_taken_over() {
    let mut world = Zone::new(0);
    time_until(&mut world, 10_000, all_full);
    world.apply(&Op::Isolate { member: 2 });
    let taken_over =
        |world: &Zone| world.members[2].in_use.values().all(|n| *n == 0) && all_full(world);
    let took_ms = time_until(&mut world, 10_000, taken_over);
    assert!(took_ms <= 5_000, "took {took_ms} ms");
}

/// Guards against counting only the own removal: two members without the table leave unused what a silent third could
/// take by removing both, which is everything.
#[test]
fn a_silent_member_may_remove_several() {
    let mut world = Zone::new(0);
    time_until(&mut world, 10_000, all_full);
    world.apply(&Op::CutTable { member: 0 });
    world.apply(&Op::CutTable { member: 1 });
    world.apply(&Op::CutLink { from: 0, to: 2 });
    world.apply(&Op::CutLink { from: 1, to: 2 });
    let others_hold = |world: &Zone| {
        let alone = world
            .backends
            .iter()
            .all(|id| world.members[2].in_use.get(id) == Some(&8));
        alone && all_full(world)
    };
    let took_ms = time_until(&mut world, 20_000, others_hold);
    assert!(took_ms < 20_000);
}

/// Guards against withholding too little when a dead member is still in the epoch: a silent member may remove both.
#[test]
fn a_silent_member_may_remove_a_dead_one_too() {
    let mut world = Zone::new(0);
    time_until(&mut world, 10_000, all_full);
    world.apply(&Op::Kill { member: 1 });
    world.apply(&Op::CutTable { member: 0 });
    world.cut.insert((0, 2));
    let took_ms = time_until(&mut world, 10_000, all_full);
    assert!(took_ms <= 5_000, "took {took_ms} ms");
}

/// Guards against a member that jumps over an epoch and assumes a share in it.
#[test]
fn a_missing_epoch_allows_nothing() {
    let (a, b, c) = (name("a"), name("b"), name("c"));
    let backend = BackendId::from("backend-1");
    let mut ledger = ShareTracker::new(a.clone());
    ledger.apply_epoch(0, Epoch(1), &[a.clone(), b.clone()]);
    ledger.apply_epoch(0, Epoch(3), &[a, b.clone(), c]);
    ledger.renewed_by_table(0);
    let slots = |ledger: &mut ShareTracker| {
        ledger.usable_shares(0, [&backend], LIMITS).by_backend[&backend].slots
    };
    assert_eq!(slots(&mut ledger), 0);
    let report = ReleaseReport {
        epoch: Epoch(3),
        still_held: BTreeSet::new(),
    };
    ledger.peer_released(&b, &report);
    ledger.peer_released(&name("c"), &report);
    assert!(slots(&mut ledger) >= 2);
}

fn name(text: &str) -> InstanceId {
    InstanceId::new(text).unwrap()
}

/// A ledger of member `a`, with epoch 1 of the given members, all of which have released it.
fn ledger_of(members: &[&str]) -> ShareTracker {
    let members: Vec<InstanceId> = members.iter().map(|text| name(text)).collect();
    let mut ledger = ShareTracker::new(name("a"));
    ledger.apply_epoch(0, Epoch(1), &members);
    let report = ReleaseReport {
        epoch: Epoch(1),
        still_held: BTreeSet::new(),
    };
    for member in &members {
        ledger.peer_released(member, &report);
    }
    ledger
}

fn usable_slots(ledger: &mut ShareTracker, now_ms: u64) -> u32 {
    let backend = BackendId::from("backend-1");
    let shares = ledger.usable_shares(now_ms, [&backend], LIMITS);
    shares.by_backend[&backend].slots
}

/// Guards against a release that lets a new member use the slots of one that was promised the old epoch.
#[test]
fn a_promise_holds_back_the_release() {
    let mut ledger = ledger_of(&["a", "b"]);
    assert!(ledger.confirm_epoch(100, &name("b"), Epoch(1)));
    ledger.apply_epoch(200, Epoch(2), &[name("a"), name("c")]);
    let released = |ledger: &ShareTracker, now_ms| {
        let report = ledger.release_report(now_ms, &BTreeMap::new(), LIMITS);
        report.epoch
    };
    assert_eq!(released(&ledger, 99 + PEER_LEASE_MS), Epoch(1));
    assert_eq!(released(&ledger, 100 + PEER_LEASE_MS), Epoch(2));
    assert!(!ledger.confirm_epoch(300, &name("b"), Epoch(1)));
}

/// Guards against the use of a removed member's slots before its lease has expired.
#[test]
fn a_removed_member_counts_until_its_lease_has_expired() {
    let mut ledger = ledger_of(&["a", "b"]);
    ledger.peer_seen(1_000, &name("b"));
    ledger.apply_epoch(1_000, Epoch(2), &[name("a")]);
    assert_eq!(usable_slots(&mut ledger, 999 + PEER_LEASE_MS), 4);
    assert_eq!(usable_slots(&mut ledger, 1_000 + PEER_LEASE_MS), 8);
}

/// Guards against a lease that outlives the table lease of the member that it relies on.
#[test]
fn a_lease_through_others_ends_with_their_table_lease() {
    let backend = BackendId::from("backend-1");
    let mut ledger = ledger_of(&["a", "b", "c"]);
    let confirmed = BTreeMap::from([(name("b"), 1_500)]);
    ledger.renewed_by_peers(1_000, Epoch(1), &confirmed, &BTreeSet::new());
    let shares = ledger.usable_shares(1_000, [&backend], LIMITS);
    assert_eq!(shares.valid_until_ms, 2_500);
    // A member without the table may be removed together with this one, so nothing is left beside a silent third.
    let confirmed = BTreeMap::from([(name("b"), 0)]);
    ledger.renewed_by_peers(2_000, Epoch(1), &confirmed, &BTreeSet::new());
    assert_eq!(usable_slots(&mut ledger, 2_000), 0);
}
