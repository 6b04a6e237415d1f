//! Case `settings`: propagation of settings changes by concurrent operators to 9 instances that are connected over the
//! loopback interface.
//!
//! The baseline polls the settings version in the table every 5 s and has neither pushes nor heartbeats.

use {
    crate::{
        control_cell::{FastClock, valid_name, workspace},
        report::{Measure, Unit},
    },
    ragwortreel_control::{
        Connections, Control, ControlConfig, Limits, SettingsChange, SettingsChangeError, Timings,
        ZoneConfig, pools_for_zones,
    },
    ragwortreel_entry::{EntryServer, TonicConnector},
    ragwortreel_model::{Incarnation, InstanceId, Pool, Settings, Zone},
    ragwortreel_placement::{Config, PoolScheduler, Scheduler},
    ragwortreel_platform::TableService,
    ragwortreel_runtime::{Stop, block_on, discard_logger, sleep_ms, spawn, start_threads},
    ragwortreel_standins::{FakeFleet, MemoryPlatform, Outage},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Number of entry instances.
const INSTANCES: usize = 9;
/// Accepted changes after which the operators stop.
const CHANGES: usize = 200;
/// Number of concurrent operators.
const OPERATORS: usize = 4;
/// Number of accepted changes between two outages of the store.
const CHANGES_PER_OUTAGE: usize = 10;
/// Length of each outage, in ms.
const OUTAGE_MS: u64 = 400;
/// Upper bound of an operator's random pause between two changes, in ms.
const MAX_PAUSE_MS: u64 = 60;
/// Time between two readings of the instances' versions, in ms.
const SAMPLE_INTERVAL_MS: u64 = 2;
/// Polling interval of the baseline, in ms.
const BASELINE_POLL_MS: u64 = 5_000;
/// Executor threads.
const THREADS: usize = 4;
/// Time for the last change to reach all instances, in the baseline too.
const SETTLE: Duration = Duration::from_millis(BASELINE_POLL_MS + 1_000);

/// Settings versions observed at the instances.
struct VersionObserver {
    /// Per instance, the time at which each observed version was first seen.
    reached: Mutex<Vec<BTreeMap<u64, Instant>>>,
    /// Number of times an instance went back to an older version.
    reversals: Mutex<u64>,
    stop: AtomicBool,
}

impl VersionObserver {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            reached: Mutex::new(vec![BTreeMap::new(); INSTANCES]),
            reversals: Mutex::new(0),
            stop: AtomicBool::new(false),
        })
    }

    /// Records the version of an instance, whose version was `last` before.
    fn record(&self, index: usize, version: u64, last: u64) {
        if version < last {
            *self.reversals.lock().unwrap() += 1;
        } else if version > last {
            self.reached.lock().unwrap()[index].insert(version, Instant::now());
        }
    }

    /// Time from the acceptance of a version until all instances had it or a newer one, in s.
    fn in_force_s(&self, version: u64, accepted: Instant) -> f64 {
        let reached = self.reached.lock().unwrap();
        let last = (reached.iter())
            .map(|seen| seen.range(version..).map(|(_, time)| *time).min())
            .try_fold(accepted, |last, time| time.map(|time| last.max(time)));
        last.map_or(f64::INFINITY, |last| (last - accepted).as_secs_f64())
    }
}

/// Runs the case.
pub fn run() -> Vec<Measure> {
    let _ = start_threads(THREADS);
    block_on(measure())
}

async fn measure() -> Vec<Measure> {
    let platform = MemoryPlatform::new();
    let stop = Stop::new();
    let controls = start_instances(&platform, &stop);
    while !controls.iter().all(Control::is_ready) {
        sleep_ms(20).await;
    }
    let mut first = Settings::default();
    first
        .workspaces
        .insert(workspace(), ragwortreel_model::WorkspaceSettings::default());
    let _ = controls[0]
        .change_settings(0, SettingsChange::Whole(first))
        .await;
    let (full, naive) = (VersionObserver::new(), VersionObserver::new());
    observe_instances(&controls, &full);
    poll_table(&platform, &naive);
    let accepted = run_operators(&platform, &controls).await;
    sleep_ms(u64::try_from(SETTLE.as_millis()).unwrap_or(u64::MAX)).await;
    full.stop.store(true, Ordering::SeqCst);
    naive.stop.store(true, Ordering::SeqCst);
    let lost = lost_changes(&controls, accepted.len());
    stop.request();
    let (p99, naive_p99) = (p99(&full, &accepted), p99(&naive, &accepted));
    let (full_reversals, naive_reversals) = (reversals(&full), reversals(&naive));
    vec![
        Measure::at_most("in_force_p99", p99, Unit::Seconds, 2.0).with_baseline(naive_p99),
        Measure::at_most("reversals", full_reversals, Unit::Count, 0.0)
            .with_baseline(naive_reversals),
        Measure::at_most("lost_changes", lost, Unit::Count, 0.0),
    ]
}

#[allow(clippy::cast_precision_loss, reason = "a small count")]
fn reversals(observer: &VersionObserver) -> f64 {
    *observer.reversals.lock().unwrap() as f64
}

/// Number of accepted changes that the final settings do not contain; each change raised the weight by one.
fn lost_changes(controls: &[Control], accepted: usize) -> f64 {
    let settings = controls[0].settings();
    let weight = settings
        .settings
        .workspaces
        .get(&workspace())
        .map_or(0, |branch| branch.weight);
    let start = ragwortreel_model::WorkspaceSettings::default().weight;
    let changes = u32::try_from(accepted).unwrap_or(u32::MAX);
    (f64::from(changes) - f64::from(weight - start)).abs()
}

/// 99th percentile of the time from the acceptance of a change until it is in force everywhere, in s.
fn p99(observer: &VersionObserver, accepted: &[(u64, Instant)]) -> f64 {
    let mut values: Vec<f64> = accepted
        .iter()
        .map(|(version, time)| observer.in_force_s(*version, *time))
        .collect();
    values.sort_by(f64::total_cmp);
    let rank = (values.len() * 99).div_ceil(100);
    values
        .get(rank.saturating_sub(1))
        .copied()
        .unwrap_or(f64::NAN)
}

/// Starts three instances in each of three zones.
fn start_instances(platform: &Arc<MemoryPlatform>, stop: &Stop) -> Vec<Control> {
    let zones: Vec<ZoneConfig> = ["riga-a", "riga-b", "jelgava"]
        .map(|zone| ZoneConfig {
            zone: valid_name(Zone::new, zone),
            region: "baltija".into(),
        })
        .into();
    let clock = Arc::new(FastClock::new(1));
    let fleet = Arc::new(FakeFleet::new(Arc::clone(&clock) as _));
    let start_instance = |index: usize| {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = EntryServer::bind(loopback).expect("a free port");
        let address = server.local_addr().expect("a bound socket has an address");
        let cfg = ControlConfig {
            instance: valid_name(InstanceId::new, &format!("e{index}")),
            zone: zones[index % zones.len()].zone.clone(),
            region: "baltija".into(),
            address,
            incarnation: Incarnation(1),
            pools: pools_for_zones(&zones, 1),
            zones: zones.clone(),
            timings: Timings::default(),
            limits: Limits::default(),
        };
        let connections = Connections {
            table: Arc::clone(platform) as _,
            objects: Arc::clone(platform) as _,
            list: Arc::clone(platform) as _,
            workers: Arc::clone(&fleet) as _,
            peers: Arc::new(TonicConnector::default()),
            schedulers: Arc::new(|pool: &Pool| {
                Box::new(Scheduler::new(pool.clone(), Config::default())) as Box<dyn PoolScheduler>
            }),
        };
        let clock = Arc::clone(&clock) as _;
        let control = Control::start(cfg, connections, clock, discard_logger(), stop.clone());
        let service = control.entry_service();
        spawn(server.serve(service, discard_logger(), stop.clone())).detach();
        control
    };
    (0..INSTANCES).map(start_instance).collect()
}

/// Records the settings versions of the instances in the background until the observer is stopped.
fn observe_instances(controls: &[Control], observer: &Arc<VersionObserver>) {
    let (controls, observer) = (controls.to_vec(), Arc::clone(observer));
    spawn(async move {
        let mut last = [0; INSTANCES];
        while !observer.stop.load(Ordering::SeqCst) {
            for (index, control) in controls.iter().enumerate() {
                let version = control.settings().version;
                observer.record(index, version, last[index]);
                last[index] = version;
            }
            sleep_ms(SAMPLE_INTERVAL_MS).await;
        }
    })
    .detach();
}

/// Polls the settings version in the table as the baseline's instances do, each from a random time in the interval.
fn poll_table(platform: &Arc<MemoryPlatform>, observer: &Arc<VersionObserver>) {
    for index in 0..INSTANCES {
        let (platform, observer) = (Arc::clone(platform), Arc::clone(observer));
        spawn(async move {
            let mut last = 0;
            sleep_ms(fastrand::u64(0..BASELINE_POLL_MS)).await;
            while !observer.stop.load(Ordering::SeqCst) {
                if let Ok(Some(row)) = TableService::get(&*platform, "settings/head").await {
                    let head: serde_json::Value =
                        serde_json::from_str(&row.value).unwrap_or_default();
                    let version = head["version"].as_u64().unwrap_or(last);
                    observer.record(index, version, last);
                    last = version;
                }
                sleep_ms(BASELINE_POLL_MS).await;
            }
        })
        .detach();
    }
}

/// Runs concurrent operators at different instances until enough changes were accepted.
async fn run_operators(
    platform: &Arc<MemoryPlatform>,
    controls: &[Control],
) -> Vec<(u64, Instant)> {
    let accepted = Arc::new(Mutex::new(Vec::new()));
    let operators: Vec<_> = (0..OPERATORS)
        .map(|index| {
            let control = controls[index * 2].clone();
            let (platform, accepted) = (Arc::clone(platform), Arc::clone(&accepted));
            spawn(async move {
                while accepted.lock().unwrap().len() < CHANGES {
                    attempt_change(&platform, &control, &accepted).await;
                    sleep_ms(fastrand::u64(1..MAX_PAUSE_MS)).await;
                }
            })
        })
        .collect();
    for operator in operators {
        operator.await;
    }
    let accepted = accepted.lock().unwrap();
    accepted.clone()
}

/// Attempts one change; after every [`CHANGES_PER_OUTAGE`] accepted changes the store has an outage.
async fn attempt_change(
    platform: &MemoryPlatform,
    control: &Control,
    accepted: &Mutex<Vec<(u64, Instant)>>,
) {
    let base = control.settings();
    let mut settings = base.settings.clone();
    settings.workspaces.entry(workspace()).or_default().weight += 1;
    let result = control
        .change_settings(base.version, SettingsChange::Whole(settings))
        .await;
    let Ok(version) = result else {
        debug_assert!(!matches!(result, Err(SettingsChangeError::Unknown { .. })));
        return;
    };
    let count = {
        let mut accepted = accepted.lock().unwrap();
        accepted.push((version, Instant::now()));
        accepted.len()
    };
    if count.is_multiple_of(CHANGES_PER_OUTAGE) {
        platform
            .faults()
            .update(|faults| faults.outage = Some(Outage::Refuse));
        sleep_ms(OUTAGE_MS).await;
        platform.faults().clear();
    }
}
