//! Case `balance`: 9 entry instances share 48 backend servers in 3 zones; one dies and one is cut off.
//!
//! A table in this process stands in for the platform's. Each instance renews its lease, reads the table and exchanges
//! releases with the others of its zone four times a second, as the daemon does.

use {
    crate::{
        fleet::{
            BACKENDS_PER_ZONE, FakeBackend, Fleet, Front, INSTANCES_PER_ZONE, LIMITS, ZONE_SLOTS,
            arrivals, instance, router, run_time, to_f64,
        },
        report::{Measure, Unit},
    },
    fastrand::Rng,
    ragwortreel_model::{Clock, Epoch, InstanceId, SystemClock, WorkClass},
    ragwortreel_routing::{
        BackendId, BackendUsage, ReleaseReport, Router, SLOT_LEASE_MS, Share, ShareTracker,
        SlotShares, naive::NaiveRouter,
    },
    ragwortreel_runtime::{block_on, sleep_ms, spawn},
    std::{
        collections::BTreeMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
        },
        time::Duration,
    },
};

const ZONES: usize = 3;
const RUN_MS: u64 = 100;
/// Requests a second in a zone: 60% of the slots.
const REQUESTS_PER_S: f64 = 0.6 * ZONE_SLOTS * 1_000.0 / 100.0;
const DEADLINE_MS: u64 = 1_000;
/// Period of an instance's control loop.
const CONTROL_MS: u64 = 250;
/// Load starts after the first epochs have settled.
const SETTLE_MS: u64 = 3_000;
const LOADED: Duration = Duration::from_secs(18);
/// Times after the start of the load: one instance dies, another one of the same zone is cut off.
const DIES_MS: u64 = 4_000;
const CUT_OFF_MS: u64 = 11_000;
const DEAD: usize = 1;
const CUT_OFF: usize = 2;

/// Rows of a zone in the stand-in of the table.
#[derive(Default)]
struct Table {
    epochs: Vec<Vec<InstanceId>>,
    counters: BTreeMap<InstanceId, u64>,
}

/// An entry instance.
struct Entry {
    id: InstanceId,
    router: Router,
    ledger: Mutex<ShareTracker>,
    /// Last counter of each other instance, and when it changed, in ms.
    seen: Mutex<BTreeMap<InstanceId, (u64, u64)>>,
    connections: Mutex<BTreeMap<BackendId, u32>>,
    valid_until_ms: AtomicU64,
    dead: AtomicBool,
    cut_off: AtomicBool,
}

/// A zone with its table, instances and backend servers.
struct ZoneWorld {
    clock: Arc<SystemClock>,
    table: Mutex<Table>,
    entries: Vec<Entry>,
    fleet: Fleet,
}

/// What the case shows.
struct Seen {
    slots_over: f64,
    connections_over: f64,
    load_max_over_mean: f64,
    back_s: Option<f64>,
    answered: f64,
    instance_slots: f64,
}

pub fn run() -> Result<Vec<Measure>, String> {
    let full = block_on(run_cell(false));
    let naive = block_on(run_cell(true));
    let back_s = full
        .back_s
        .ok_or("the slots of the dead instance did not come back")?;
    Ok(vec![
        Measure::at_most("slots_over_limit", full.slots_over, Unit::Count, 0.0)
            .with_baseline(naive.slots_over),
        Measure::at_most(
            "connections_over_limit",
            full.connections_over,
            Unit::Count,
            0.0,
        )
        .with_baseline(naive.connections_over),
        Measure::at_most(
            "load_max_over_mean",
            full.load_max_over_mean,
            Unit::Ratio,
            1.1,
        )
        .with_baseline(naive.load_max_over_mean),
        Measure::at_most("dead_instance_slots_back", back_s, Unit::Seconds, 5.0),
        Measure::info(
            "instance_slots_max_over_mean",
            full.instance_slots,
            Unit::Ratio,
        ),
        Measure::info("answered_share", full.answered, Unit::Share).with_baseline(naive.answered),
    ])
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn run_cell(is_naive: bool) -> Seen {
    let zones: Vec<Arc<ZoneWorld>> = (0..ZONES)
        .map(|zone| Arc::new(ZoneWorld::new(zone, is_naive)))
        .collect();
    for world in &zones {
        for at in 0..INSTANCES_PER_ZONE {
            if is_naive {
                world.open_all();
            } else {
                spawn(control_loop(Arc::clone(world), at)).detach();
            }
        }
    }
    sleep_ms(SETTLE_MS).await;
    let instance_slots = instance_slots_max_over_mean(&zones);
    let start_ms = zones[0].clock.now_ms();
    let answered = Arc::new([AtomicU64::new(0), AtomicU64::new(0)]);
    let loads: Vec<_> = zones
        .iter()
        .enumerate()
        .map(|(n, world)| spawn(clients(Arc::clone(world), n as u64, Arc::clone(&answered))))
        .collect();
    sleep_ms(DIES_MS).await;
    zones[0].entries[DEAD].dead.store(true, SeqCst);
    zones[0].drop_dead();
    let back_s = if is_naive {
        None
    } else {
        time_until_all_slots(&zones[0]).await
    };
    let passed_ms = zones[0].clock.now_ms() - start_ms;
    sleep_ms(CUT_OFF_MS.saturating_sub(passed_ms)).await;
    zones[0].entries[CUT_OFF].cut_off.store(true, SeqCst);
    for load in loads {
        load.await;
    }
    sleep_ms(2 * DEADLINE_MS).await;
    Seen {
        instance_slots,
        ..seen(&zones, back_s, &answered)
    }
}

/// Slots of the instance with most of them, relative to the mean, before anything fails.
fn instance_slots_max_over_mean(zones: &[Arc<ZoneWorld>]) -> f64 {
    let slots = |entry: &Entry| -> u32 {
        let figures = entry.router.metrics();
        figures.backends.values().map(|b| b.share.slots).sum()
    };
    let entries = || zones.iter().flat_map(|world| &world.entries);
    let most = entries().map(slots).max().unwrap_or(0);
    let sum: u32 = entries().map(slots).sum();
    f64::from(most) * to_f64((ZONES * INSTANCES_PER_ZONE) as u64) / f64::from(sum)
}

fn seen(zones: &[Arc<ZoneWorld>], back_s: Option<f64>, answered: &[AtomicU64; 2]) -> Seen {
    let backends = || zones.iter().flat_map(|world| &world.fleet.backends);
    let sum = |count: fn(&FakeBackend) -> u64| to_f64(backends().map(|b| count(b)).sum());
    let served = |b: &FakeBackend| b.served.load(SeqCst);
    let most = backends().map(|b| served(b)).max().unwrap_or(0);
    let mean = sum(|b| b.served.load(SeqCst)) / to_f64((ZONES * BACKENDS_PER_ZONE) as u64);
    Seen {
        slots_over: sum(|b| b.slots_over.load(SeqCst)),
        connections_over: sum(|b| b.connections_over.load(SeqCst)),
        load_max_over_mean: to_f64(most) / mean,
        back_s,
        answered: to_f64(answered[0].load(SeqCst)) / to_f64(answered[1].load(SeqCst)),
        instance_slots: 0.0,
    }
}

/// Time until the living instances of a zone may use all slots again, in seconds.
async fn time_until_all_slots(world: &ZoneWorld) -> Option<f64> {
    let start_ms = world.clock.now_ms();
    loop {
        let passed_ms = world.clock.now_ms() - start_ms;
        let living = world.entries.iter().filter(|e| !e.dead.load(SeqCst));
        let usable: u32 = living
            .flat_map(|entry| entry.router.metrics().backends.into_values())
            .map(|backend| backend.share.slots)
            .sum();
        if f64::from(usable) >= ZONE_SLOTS {
            return Some(to_f64(passed_ms) / 1e3);
        }
        if passed_ms > 10_000 {
            return None;
        }
        sleep_ms(20).await;
    }
}

/// Clients of a zone, spread over its instances; a dead one refuses the connection and the client takes the next.
async fn clients(world: Arc<ZoneWorld>, seed: u64, answered: Arc<[AtomicU64; 2]>) {
    let mut rng = Rng::with_seed(seed);
    let start = |rng: &mut Rng, _at_s: f64| {
        let run = run_time(rng, RUN_MS);
        let mut at = rng.usize(0..INSTANCES_PER_ZONE);
        let (world, answered) = (Arc::clone(&world), Arc::clone(&answered));
        spawn(async move {
            for _ in 0..INSTANCES_PER_ZONE {
                if world.entries[at].dead.load(SeqCst) {
                    at = (at + 1) % INSTANCES_PER_ZONE;
                    continue;
                }
                let calling = world.fleet.call(at, WorkClass::Short, run, DEADLINE_MS);
                let call = ragwortreel_runtime::future::or(calling, world.dies(at)).await;
                if call.answered {
                    answered[0].fetch_add(1, SeqCst);
                    break;
                }
                if call.retry_after_ms.is_none() {
                    break;
                }
                at = (at + 1) % INSTANCES_PER_ZONE;
            }
            answered[1].fetch_add(1, SeqCst);
        })
        .detach();
    };
    arrivals(LOADED, &mut rng, |_| REQUESTS_PER_S, start).await;
}

async fn control_loop(world: Arc<ZoneWorld>, at: usize) {
    loop {
        if world.entries[at].dead.load(SeqCst) {
            return;
        }
        world.renew(at);
        world.poll(at);
        world.exchange(at);
        // Connections are closed when the lease ends, not when the loop comes round.
        let lease_ms = world.entries[at].valid_until_ms.load(SeqCst);
        let rest_ms = lease_ms.saturating_sub(world.clock.now_ms());
        let wait_ms = if rest_ms > 0 {
            rest_ms.min(CONTROL_MS)
        } else {
            CONTROL_MS
        };
        sleep_ms(wait_ms).await;
    }
}

impl ZoneWorld {
    fn new(zone: usize, is_naive: bool) -> Self {
        let clock = Arc::new(SystemClock::new());
        let backend = |n| Arc::new(FakeBackend::new(zone * BACKENDS_PER_ZONE + n));
        let backends: Vec<_> = (0..BACKENDS_PER_ZONE).map(backend).collect();
        let entry = |n| {
            let number = zone * INSTANCES_PER_ZONE + n;
            Entry {
                id: instance(number),
                router: router(&clock, number, zone, &backends),
                ledger: Mutex::new(ShareTracker::new(instance(number))),
                seen: Mutex::new(BTreeMap::new()),
                connections: Mutex::new(BTreeMap::new()),
                valid_until_ms: AtomicU64::new(0),
                dead: AtomicBool::new(false),
                cut_off: AtomicBool::new(false),
            }
        };
        let entries: Vec<Entry> = (0..INSTANCES_PER_ZONE).map(entry).collect();
        let front = |entry: &Entry| {
            if !is_naive {
                return Front::Full(entry.router.clone());
            }
            // The naive instances know nothing of each other: each believes that it has all slots.
            let all = Share {
                slots: LIMITS.slots,
                long_slots: LIMITS.long_slots,
                connections: LIMITS.connections,
            };
            let shares = backends.iter().map(|b| (b.id.clone(), all)).collect();
            Front::Naive(NaiveRouter::new(&shares, zone as u64))
        };
        let fronts = entries.iter().map(front).collect();
        Self {
            table: Mutex::new(Table::default()),
            fleet: Fleet::of(Arc::clone(&clock), backends, fronts),
            clock,
            entries,
        }
    }

    /// Ends when an instance dies; its requests end with it.
    async fn dies(&self, at: usize) -> crate::fleet::Call {
        while !self.entries[at].dead.load(SeqCst) {
            sleep_ms(5).await;
        }
        crate::fleet::Call::default()
    }

    /// Each naive instance opens all the connections that it believes to have.
    fn open_all(&self) {
        for backend in &self.fleet.backends {
            backend.change_connections(LIMITS.connections, 0);
        }
    }

    /// The operating system closes the connections of a dead process.
    fn drop_dead(&self) {
        for entry in self.entries.iter().filter(|e| e.dead.load(SeqCst)) {
            for (id, open) in std::mem::take(&mut *lock(&entry.connections)) {
                self.backend(&id).change_connections(0, open);
            }
        }
    }

    fn backend(&self, id: &BackendId) -> &FakeBackend {
        let found = self.fleet.backends.iter().find(|b| b.id == *id);
        found.expect("a backend server of this zone")
    }

    fn renew(&self, at: usize) {
        let entry = &self.entries[at];
        let sent_ms = self.clock.now_ms();
        if !entry.cut_off.load(SeqCst) {
            let mut table = lock(&self.table);
            if table
                .epochs
                .last()
                .is_some_and(|list| list.contains(&entry.id))
            {
                *table.counters.entry(entry.id.clone()).or_default() += 1;
                lock(&entry.ledger).renewed_by_table(sent_ms);
            }
        }
        self.refresh(at);
    }

    /// Hands the usable shares to the router, and opens or closes connections to match.
    fn refresh(&self, at: usize) {
        let entry = &self.entries[at];
        let ids = self.fleet.backends.iter().map(|b| &b.id);
        let now_ms = self.clock.now_ms();
        let shares = lock(&entry.ledger).usable_shares(now_ms, ids, LIMITS);
        entry.valid_until_ms.store(shares.valid_until_ms, SeqCst);
        self.match_connections(entry, &shares, now_ms);
        entry.router.update_shares(shares);
    }

    fn match_connections(&self, entry: &Entry, shares: &SlotShares, now_ms: u64) {
        let mut open = lock(&entry.connections);
        if entry.dead.load(SeqCst) {
            return;
        }
        let in_use = entry.router.slots_in_use();
        for (id, share) in &shares.by_backend {
            let may_open = now_ms < shares.valid_until_ms;
            let wanted = if may_open { share.connections } else { 0 };
            // A connection with a request in flight is closed when the request ends.
            let wanted = wanted.max(in_use.get(id).copied().unwrap_or(0));
            let now = open.entry(id.clone()).or_default();
            let (opened, closed) = (wanted.saturating_sub(*now), now.saturating_sub(wanted));
            self.backend(id).change_connections(opened, closed);
            *now = wanted;
        }
    }

    /// Reads the table, joins or removes dead members.
    fn poll(&self, at: usize) {
        let entry = &self.entries[at];
        if entry.cut_off.load(SeqCst) {
            return;
        }
        let now_ms = self.clock.now_ms();
        let mut table = lock(&self.table);
        let newest = table.epochs.last().cloned().unwrap_or_default();
        if !newest.contains(&entry.id) {
            let joined = newest.iter().cloned().chain([entry.id.clone()]).collect();
            table.epochs.push(joined);
        }
        let mut ledger = lock(&entry.ledger);
        for (n, list) in table.epochs.iter().enumerate() {
            ledger.apply_epoch(now_ms, Epoch(n as u64 + 1), list);
        }
        let mut seen = lock(&entry.seen);
        for (id, counter) in &table.counters {
            let known = seen.entry(id.clone()).or_insert((0, now_ms));
            if *counter > known.0 {
                *known = (*counter, now_ms);
                ledger.peer_seen(now_ms, id);
            }
        }
        let is_dead = |id: &&InstanceId| {
            let changed_ms = seen.get(*id).map_or(now_ms, |known| known.1);
            let unchanged = now_ms >= changed_ms + SLOT_LEASE_MS;
            **id != entry.id && unchanged && ledger.may_remove(now_ms, id, false)
        };
        let dead = newest.iter().find(is_dead).cloned();
        if let Some(dead) = dead.filter(|_| newest.contains(&entry.id)) {
            let rest = newest.into_iter().filter(|id| *id != dead).collect();
            table.epochs.push(rest);
        }
        drop((ledger, seen, table));
        self.refresh(at);
    }

    /// Tells the others of the zone what this instance has released.
    fn exchange(&self, at: usize) {
        let entry = &self.entries[at];
        if entry.cut_off.load(SeqCst) {
            return;
        }
        let report = self.report(entry);
        for other in self.entries.iter().filter(|other| other.id != entry.id) {
            if !other.dead.load(SeqCst) && !other.cut_off.load(SeqCst) {
                let mut ledger = lock(&other.ledger);
                ledger.peer_seen(self.clock.now_ms(), &entry.id);
                ledger.peer_released(&entry.id, &report);
            }
        }
    }

    fn report(&self, entry: &Entry) -> ReleaseReport {
        let open = lock(&entry.connections).clone();
        let used = |(id, slots): (BackendId, u32)| {
            let connections = open.get(&id).copied().unwrap_or(0);
            (id, BackendUsage { slots, connections })
        };
        let in_use = entry.router.slots_in_use().into_iter().map(used).collect();
        let ledger = lock(&entry.ledger);
        ledger.release_report(self.clock.now_ms(), &in_use, LIMITS)
    }
}
