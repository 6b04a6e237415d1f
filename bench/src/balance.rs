//! Case `balance`: 9 entry instances share the slots of 48 backend servers in 3 zones; one crashes and one is cut off.
//!
//! A table in this process replaces the platform's table. Each instance renews its lease, reads the table and exchanges
//! release reports with the other instances of its zone four times a second, as the daemon does.

use {
    crate::{
        fleet::{
            AnyRouter, BACKENDS_PER_ZONE, FakeBackend, Fleet, INSTANCES_PER_ZONE, LIMITS,
            ZONE_SLOTS, instance, poisson_arrivals, random_run_time, router, to_f64,
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
/// Mean run time of a request, in ms.
const RUN_MS: u64 = 100;
/// Requests per second in each zone: 60% of the slots' capacity.
const REQUESTS_PER_S: f64 = 0.6 * ZONE_SLOTS * 1_000.0 / 100.0;
/// Time limit of each request, in ms.
const DEADLINE_MS: u64 = 1_000;
/// Period of an instance's control loop, in ms.
const CONTROL_PERIOD_MS: u64 = 250;
/// Time before the load starts, in which all instances join and get their shares, in ms.
const SETTLE_MS: u64 = 3_000;
/// Length of the load.
const LOAD_TIME: Duration = Duration::from_secs(18);
/// Time from the start of the load to the crash of an instance, in ms.
const CRASH_MS: u64 = 4_000;
/// Time from the start of the load until another instance of the same zone is cut off, in ms.
const CUT_OFF_MS: u64 = 11_000;
/// Index of the instance of the first zone that crashes.
const CRASHED_ENTRY: usize = 1;
/// Index of the instance of the first zone that is cut off from the table and the other instances.
const CUT_OFF_ENTRY: usize = 2;

/// Contents of the in-memory table for one zone.
#[derive(Default)]
struct Table {
    /// Members of each slot epoch, oldest epoch first.
    epochs: Vec<Vec<InstanceId>>,
    /// Number of lease renewals by each instance.
    renewals: BTreeMap<InstanceId, u64>,
}

/// Entry instance with its router and its share of the slots.
struct Entry {
    id: InstanceId,
    router: Router,
    share_tracker: Mutex<ShareTracker>,
    /// Last renewal counter read of each instance, and when it was seen to change, in ms.
    last_renewals: Mutex<BTreeMap<InstanceId, (u64, u64)>>,
    /// Open connections per backend server.
    connections: Mutex<BTreeMap<BackendId, u32>>,
    /// End of the slot lease, in ms.
    valid_until_ms: AtomicU64,
    crashed: AtomicBool,
    /// Whether neither the table nor the other instances can be reached.
    cut_off: AtomicBool,
}

/// Zone with its table, instances and backend servers.
struct SimulatedZone {
    clock: Arc<SystemClock>,
    table: Mutex<Table>,
    entries: Vec<Entry>,
    fleet: Fleet,
}

/// Result of a run.
struct CellResult {
    slot_violations: f64,
    connection_violations: f64,
    /// Requests served by the busiest backend server, relative to the mean.
    load_max_over_mean: f64,
    /// Time until the crashed instance's slots may be used again, in s.
    slots_back_s: Option<f64>,
    answered_share: f64,
    /// Slots of the instance with the most, relative to the mean.
    instance_slots_max_over_mean: f64,
}

pub fn run() -> Result<Vec<Measure>, String> {
    let full = block_on(run_cell(false));
    let naive = block_on(run_cell(true));
    let slots_back_s = full
        .slots_back_s
        .ok_or("the slots of the dead instance did not come back")?;
    Ok(vec![
        Measure::at_most("slots_over_limit", full.slot_violations, Unit::Count, 0.0)
            .with_baseline(naive.slot_violations),
        Measure::at_most(
            "connections_over_limit",
            full.connection_violations,
            Unit::Count,
            0.0,
        )
        .with_baseline(naive.connection_violations),
        Measure::at_most(
            "load_max_over_mean",
            full.load_max_over_mean,
            Unit::Ratio,
            1.1,
        )
        .with_baseline(naive.load_max_over_mean),
        Measure::at_most("dead_instance_slots_back", slots_back_s, Unit::Seconds, 5.0),
        Measure::info(
            "instance_slots_max_over_mean",
            full.instance_slots_max_over_mean,
            Unit::Ratio,
        ),
        Measure::info("answered_share", full.answered_share, Unit::Share)
            .with_baseline(naive.answered_share),
    ])
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs all zones with a crash and a partition in the first zone.
async fn run_cell(is_naive: bool) -> CellResult {
    let zones: Vec<Arc<SimulatedZone>> = (0..ZONES)
        .map(|zone| Arc::new(SimulatedZone::new(zone, is_naive)))
        .collect();
    for zone in &zones {
        for at in 0..INSTANCES_PER_ZONE {
            if is_naive {
                zone.open_naive_connections();
            } else {
                spawn(control_loop(Arc::clone(zone), at)).detach();
            }
        }
    }
    sleep_ms(SETTLE_MS).await;
    let instance_slots = instance_slots_max_over_mean(&zones);
    let start_ms = zones[0].clock.now_ms();
    let answered = Arc::new([AtomicU64::new(0), AtomicU64::new(0)]);
    let client_tasks: Vec<_> = zones
        .iter()
        .enumerate()
        .map(|(n, zone)| {
            spawn(run_clients(
                Arc::clone(zone),
                n as u64,
                Arc::clone(&answered),
            ))
        })
        .collect();
    sleep_ms(CRASH_MS).await;
    zones[0].entries[CRASHED_ENTRY].crashed.store(true, SeqCst);
    zones[0].close_connections_of_crashed();
    let slots_back_s = if is_naive {
        None
    } else {
        time_until_all_slots(&zones[0]).await
    };
    let passed_ms = zones[0].clock.now_ms() - start_ms;
    sleep_ms(CUT_OFF_MS.saturating_sub(passed_ms)).await;
    zones[0].entries[CUT_OFF_ENTRY].cut_off.store(true, SeqCst);
    for clients in client_tasks {
        clients.await;
    }
    sleep_ms(2 * DEADLINE_MS).await;
    CellResult {
        instance_slots_max_over_mean: instance_slots,
        ..summarize(&zones, slots_back_s, &answered)
    }
}

/// Slots of the instance with the most, relative to the mean, before any fault.
fn instance_slots_max_over_mean(zones: &[Arc<SimulatedZone>]) -> f64 {
    let slots = |entry: &Entry| -> u32 {
        let metrics = entry.router.metrics();
        metrics.backends.values().map(|b| b.share.slots).sum()
    };
    let entries = || zones.iter().flat_map(|zone| &zone.entries);
    let most = entries().map(slots).max().unwrap_or(0);
    let sum: u32 = entries().map(slots).sum();
    f64::from(most) * to_f64((ZONES * INSTANCES_PER_ZONE) as u64) / f64::from(sum)
}

/// Sums the counts of all zones; the caller fills in `instance_slots_max_over_mean`, which is taken before the faults.
fn summarize(
    zones: &[Arc<SimulatedZone>],
    slots_back_s: Option<f64>,
    answered: &[AtomicU64; 2],
) -> CellResult {
    let backends = || zones.iter().flat_map(|zone| &zone.fleet.backends);
    let sum = |count: fn(&FakeBackend) -> u64| to_f64(backends().map(|b| count(b)).sum());
    let served = |b: &FakeBackend| b.served.load(SeqCst);
    let most = backends().map(|b| served(b)).max().unwrap_or(0);
    let mean = sum(|b| b.served.load(SeqCst)) / to_f64((ZONES * BACKENDS_PER_ZONE) as u64);
    CellResult {
        slot_violations: sum(|b| b.slot_violations.load(SeqCst)),
        connection_violations: sum(|b| b.connection_violations.load(SeqCst)),
        load_max_over_mean: to_f64(most) / mean,
        slots_back_s,
        answered_share: to_f64(answered[0].load(SeqCst)) / to_f64(answered[1].load(SeqCst)),
        instance_slots_max_over_mean: 0.0,
    }
}

/// Time until the remaining instances of a zone may use all slots again, in s; `None` after 10 s.
async fn time_until_all_slots(zone: &SimulatedZone) -> Option<f64> {
    let start_ms = zone.clock.now_ms();
    loop {
        let passed_ms = zone.clock.now_ms() - start_ms;
        let remaining = zone.entries.iter().filter(|e| !e.crashed.load(SeqCst));
        let usable: u32 = remaining
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

/// Sends the requests of a zone's clients to random instances; a client whose instance has crashed or refuses tries the
/// next one. `answered` counts answered requests and all requests.
async fn run_clients(zone: Arc<SimulatedZone>, seed: u64, answered: Arc<[AtomicU64; 2]>) {
    let mut rng = Rng::with_seed(seed);
    let start = |rng: &mut Rng, _at_s: f64| {
        let run = random_run_time(rng, RUN_MS);
        let mut at = rng.usize(0..INSTANCES_PER_ZONE);
        let (zone, answered) = (Arc::clone(&zone), Arc::clone(&answered));
        spawn(async move {
            for _ in 0..INSTANCES_PER_ZONE {
                if zone.entries[at].crashed.load(SeqCst) {
                    at = (at + 1) % INSTANCES_PER_ZONE;
                    continue;
                }
                let calling = zone.fleet.call(at, WorkClass::Short, run, DEADLINE_MS);
                let call = ragwortreel_runtime::future::or(calling, zone.wait_for_crash(at)).await;
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
    poisson_arrivals(LOAD_TIME, &mut rng, |_| REQUESTS_PER_S, start).await;
}

/// Runs an instance's control loop until the instance crashes.
async fn control_loop(zone: Arc<SimulatedZone>, at: usize) {
    loop {
        if zone.entries[at].crashed.load(SeqCst) {
            return;
        }
        zone.renew(at);
        zone.poll_table(at);
        zone.send_release_report(at);
        // Wakes up at the end of the lease, so that connections are closed then and not at the end of the period.
        let lease_ms = zone.entries[at].valid_until_ms.load(SeqCst);
        let rest_ms = lease_ms.saturating_sub(zone.clock.now_ms());
        let wait_ms = if rest_ms > 0 {
            rest_ms.min(CONTROL_PERIOD_MS)
        } else {
            CONTROL_PERIOD_MS
        };
        sleep_ms(wait_ms).await;
    }
}

impl SimulatedZone {
    fn new(zone: usize, is_naive: bool) -> Self {
        let clock = Arc::new(SystemClock::new());
        let backend = |n| Arc::new(FakeBackend::new(zone * BACKENDS_PER_ZONE + n));
        let backends: Vec<_> = (0..BACKENDS_PER_ZONE).map(backend).collect();
        let entry = |n| {
            let number = zone * INSTANCES_PER_ZONE + n;
            Entry {
                id: instance(number),
                router: router(&clock, number, zone, &backends),
                share_tracker: Mutex::new(ShareTracker::new(instance(number))),
                last_renewals: Mutex::new(BTreeMap::new()),
                connections: Mutex::new(BTreeMap::new()),
                valid_until_ms: AtomicU64::new(0),
                crashed: AtomicBool::new(false),
                cut_off: AtomicBool::new(false),
            }
        };
        let entries: Vec<Entry> = (0..INSTANCES_PER_ZONE).map(entry).collect();
        let new_router = |entry: &Entry| {
            if !is_naive {
                return AnyRouter::Full(entry.router.clone());
            }
            // Naive instances do not coordinate: each uses all slots.
            let all = Share {
                slots: LIMITS.slots,
                long_slots: LIMITS.long_slots,
                connections: LIMITS.connections,
            };
            let shares = backends.iter().map(|b| (b.id.clone(), all)).collect();
            AnyRouter::Naive(NaiveRouter::new(&shares, zone as u64))
        };
        let routers = entries.iter().map(new_router).collect();
        Self {
            table: Mutex::new(Table::default()),
            fleet: Fleet::from_parts(Arc::clone(&clock), backends, routers),
            clock,
            entries,
        }
    }

    /// Completes when an instance crashes, with the result of the requests in flight there.
    async fn wait_for_crash(&self, at: usize) -> crate::fleet::CallResult {
        while !self.entries[at].crashed.load(SeqCst) {
            sleep_ms(5).await;
        }
        crate::fleet::CallResult::default()
    }

    /// Opens the connections of one naive instance: as many as each backend server allows in total.
    fn open_naive_connections(&self) {
        for backend in &self.fleet.backends {
            backend.change_connections(LIMITS.connections, 0);
        }
    }

    /// Closes the connections of crashed instances, as the operating system does for a process that has ended.
    fn close_connections_of_crashed(&self) {
        for entry in self.entries.iter().filter(|e| e.crashed.load(SeqCst)) {
            for (id, open) in std::mem::take(&mut *lock(&entry.connections)) {
                self.backend(&id).change_connections(0, open);
            }
        }
    }

    fn backend(&self, id: &BackendId) -> &FakeBackend {
        let found = self.fleet.backends.iter().find(|b| b.id == *id);
        found.expect("a backend server of this zone")
    }

    /// Renews an instance's lease in the table, if the instance is a member and not cut off.
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
                *table.renewals.entry(entry.id.clone()).or_default() += 1;
                lock(&entry.share_tracker).renewed_by_table(sent_ms);
            }
        }
        self.update_shares(at);
    }

    /// Passes the usable shares to the router and adjusts the connections to them.
    fn update_shares(&self, at: usize) {
        let entry = &self.entries[at];
        let ids = self.fleet.backends.iter().map(|b| &b.id);
        let now_ms = self.clock.now_ms();
        let shares = lock(&entry.share_tracker).usable_shares(now_ms, ids, LIMITS);
        entry.valid_until_ms.store(shares.valid_until_ms, SeqCst);
        self.adjust_connections(entry, &shares, now_ms);
        entry.router.update_shares(shares);
    }

    /// Opens and closes connections so that they match the shares.
    fn adjust_connections(&self, entry: &Entry, shares: &SlotShares, now_ms: u64) {
        let mut open = lock(&entry.connections);
        if entry.crashed.load(SeqCst) {
            return;
        }
        let in_use = entry.router.slots_in_use();
        for (id, share) in &shares.by_backend {
            let may_open = now_ms < shares.valid_until_ms;
            let wanted = if may_open { share.connections } else { 0 };
            // A connection with a request in flight stays open until the request has ended.
            let wanted = wanted.max(in_use.get(id).copied().unwrap_or(0));
            let now = open.entry(id.clone()).or_default();
            let (opened, closed) = (wanted.saturating_sub(*now), now.saturating_sub(wanted));
            self.backend(id).change_connections(opened, closed);
            *now = wanted;
        }
    }

    /// Reads the table, joins the newest epoch if necessary and removes a member whose lease has expired.
    fn poll_table(&self, at: usize) {
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
        let mut share_tracker = lock(&entry.share_tracker);
        for (n, list) in table.epochs.iter().enumerate() {
            share_tracker.apply_epoch(now_ms, Epoch(n as u64 + 1), list);
        }
        let mut last_renewals = lock(&entry.last_renewals);
        for (id, counter) in &table.renewals {
            let known = last_renewals.entry(id.clone()).or_insert((0, now_ms));
            if *counter > known.0 {
                *known = (*counter, now_ms);
                share_tracker.peer_seen(now_ms, id);
            }
        }
        let is_expired = |id: &&InstanceId| {
            let changed_ms = last_renewals.get(*id).map_or(now_ms, |known| known.1);
            let unchanged = now_ms >= changed_ms + SLOT_LEASE_MS;
            **id != entry.id && unchanged && share_tracker.may_remove(now_ms, id, false)
        };
        let expired = newest.iter().find(is_expired).cloned();
        if let Some(expired) = expired.filter(|_| newest.contains(&entry.id)) {
            let rest = newest.into_iter().filter(|id| *id != expired).collect();
            table.epochs.push(rest);
        }
        drop((share_tracker, last_renewals, table));
        self.update_shares(at);
    }

    /// Sends the release report of an instance to the other reachable instances of the zone.
    fn send_release_report(&self, at: usize) {
        let entry = &self.entries[at];
        if entry.cut_off.load(SeqCst) {
            return;
        }
        let report = self.release_report(entry);
        for other in self.entries.iter().filter(|other| other.id != entry.id) {
            if !other.crashed.load(SeqCst) && !other.cut_off.load(SeqCst) {
                let mut share_tracker = lock(&other.share_tracker);
                share_tracker.peer_seen(self.clock.now_ms(), &entry.id);
                share_tracker.peer_released(&entry.id, &report);
            }
        }
    }

    /// Builds an instance's release report from its slots and connections in use.
    fn release_report(&self, entry: &Entry) -> ReleaseReport {
        let open = lock(&entry.connections).clone();
        let used = |(id, slots): (BackendId, u32)| {
            let connections = open.get(&id).copied().unwrap_or(0);
            (id, BackendUsage { slots, connections })
        };
        let in_use = entry.router.slots_in_use().into_iter().map(used).collect();
        let share_tracker = lock(&entry.share_tracker);
        share_tracker.release_report(self.clock.now_ms(), &in_use, LIMITS)
    }
}
