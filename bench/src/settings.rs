//! Spread of settings changed by racing operators over 9 instances with links on the loopback interface.
//!
//! The baseline reads the table's head each 5 s and has neither push nor heartbeats.

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

const INSTANCES: usize = 9;
const CHANGES: usize = 200;
const OPERATORS: usize = 4;
/// Accepted changes after which the store is down once.
const OUTAGE_EVERY: usize = 10;
const OUTAGE_MS: u64 = 400;
/// Time between two accepted changes, in ms.
const PACE_MS: u64 = 60;
/// Time between two readings of the versions in force, in ms.
const SAMPLE_MS: u64 = 2;
const BASELINE_POLL_MS: u64 = 5_000;
const THREADS: usize = 4;
/// Time that the last change gets to be in force, for the baseline too.
const SETTLE: Duration = Duration::from_millis(BASELINE_POLL_MS + 1_000);

/// When each instance first had each version or a higher one, and the reversals that were seen.
struct Watch {
    reached: Mutex<Vec<BTreeMap<u64, Instant>>>,
    reversals: Mutex<u64>,
    stop: AtomicBool,
}

impl Watch {
    fn new() -> Arc<Self> {
        Arc::new(Self {
            reached: Mutex::new(vec![BTreeMap::new(); INSTANCES]),
            reversals: Mutex::new(0),
            stop: AtomicBool::new(false),
        })
    }

    fn note(&self, index: usize, version: u64, last: u64) {
        if version < last {
            *self.reversals.lock().unwrap() += 1;
        } else if version > last {
            self.reached.lock().unwrap()[index].insert(version, Instant::now());
        }
    }

    /// Seconds from the acceptance of a version until all instances had it or a higher one.
    fn in_force_s(&self, version: u64, accepted: Instant) -> f64 {
        let reached = self.reached.lock().unwrap();
        let last = (reached.iter())
            .map(|seen| seen.range(version..).map(|(_, time)| *time).min())
            .try_fold(accepted, |last, time| time.map(|time| last.max(time)));
        last.map_or(f64::INFINITY, |last| (last - accepted).as_secs_f64())
    }
}

pub fn run() -> Vec<Measure> {
    let _ = start_threads(THREADS);
    block_on(measure())
}

async fn measure() -> Vec<Measure> {
    let platform = MemoryPlatform::new();
    let stop = Stop::new();
    let controls = start(&platform, &stop);
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
    let (ours, naive) = (Watch::new(), Watch::new());
    watch(&controls, &ours);
    poll(&platform, &naive);
    let accepted = race(&platform, &controls).await;
    sleep_ms(u64::try_from(SETTLE.as_millis()).unwrap_or(u64::MAX)).await;
    ours.stop.store(true, Ordering::SeqCst);
    naive.stop.store(true, Ordering::SeqCst);
    let lost = lost_changes(&controls, accepted.len());
    stop.request();
    let (p99, naive_p99) = (p99(&ours, &accepted), p99(&naive, &accepted));
    let (reversals, naive_reversals) = (count(&ours), count(&naive));
    vec![
        Measure::at_most("in_force_p99", p99, Unit::Seconds, 2.0).with_baseline(naive_p99),
        Measure::at_most("reversals", reversals, Unit::Count, 0.0).with_baseline(naive_reversals),
        Measure::at_most("lost_changes", lost, Unit::Count, 0.0),
    ]
}

#[allow(clippy::cast_precision_loss, reason = "a small count")]
fn count(watch: &Watch) -> f64 {
    *watch.reversals.lock().unwrap() as f64
}

/// Accepted changes that the last tree does not contain; each raised the weight by one.
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

fn p99(watch: &Watch, accepted: &[(u64, Instant)]) -> f64 {
    let mut values: Vec<f64> = accepted
        .iter()
        .map(|(version, time)| watch.in_force_s(*version, *time))
        .collect();
    values.sort_by(f64::total_cmp);
    let rank = (values.len() * 99).div_ceil(100);
    values
        .get(rank.saturating_sub(1))
        .copied()
        .unwrap_or(f64::NAN)
}

/// Starts the instances: three zones with three each.
fn start(platform: &Arc<MemoryPlatform>, stop: &Stop) -> Vec<Control> {
    let zones: Vec<ZoneConfig> = ["riga-a", "riga-b", "jelgava"]
        .map(|zone| ZoneConfig {
            zone: valid_name(Zone::new, zone),
            region: "baltija".into(),
        })
        .into();
    let clock = Arc::new(FastClock::new(1));
    let fleet = Arc::new(FakeFleet::new(Arc::clone(&clock) as _));
    let begin = |index: usize| {
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
    (0..INSTANCES).map(begin).collect()
}

fn watch(controls: &[Control], watch: &Arc<Watch>) {
    let (controls, watch) = (controls.to_vec(), Arc::clone(watch));
    spawn(async move {
        let mut last = [0; INSTANCES];
        while !watch.stop.load(Ordering::SeqCst) {
            for (index, control) in controls.iter().enumerate() {
                let version = control.settings().version;
                watch.note(index, version, last[index]);
                last[index] = version;
            }
            sleep_ms(SAMPLE_MS).await;
        }
    })
    .detach();
}

/// Reads the head as the baseline does, from one moment of the interval for each instance.
fn poll(platform: &Arc<MemoryPlatform>, watch: &Arc<Watch>) {
    for index in 0..INSTANCES {
        let (platform, watch) = (Arc::clone(platform), Arc::clone(watch));
        spawn(async move {
            let mut last = 0;
            sleep_ms(fastrand::u64(0..BASELINE_POLL_MS)).await;
            while !watch.stop.load(Ordering::SeqCst) {
                if let Ok(Some(row)) = TableService::get(&*platform, "settings/head").await {
                    let head: serde_json::Value =
                        serde_json::from_str(&row.value).unwrap_or_default();
                    let version = head["version"].as_u64().unwrap_or(last);
                    watch.note(index, version, last);
                    last = version;
                }
                sleep_ms(BASELINE_POLL_MS).await;
            }
        })
        .detach();
    }
}

/// Operators at different instances race until enough changes were accepted.
async fn race(platform: &Arc<MemoryPlatform>, controls: &[Control]) -> Vec<(u64, Instant)> {
    let accepted = Arc::new(Mutex::new(Vec::new()));
    let operators: Vec<_> = (0..OPERATORS)
        .map(|index| {
            let control = controls[index * 2].clone();
            let (platform, accepted) = (Arc::clone(platform), Arc::clone(&accepted));
            spawn(async move {
                while accepted.lock().unwrap().len() < CHANGES {
                    operate(&platform, &control, &accepted).await;
                    sleep_ms(fastrand::u64(1..PACE_MS)).await;
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

async fn operate(
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
    if count.is_multiple_of(OUTAGE_EVERY) {
        platform
            .faults()
            .update(|faults| faults.outage = Some(Outage::Refuse));
        sleep_ms(OUTAGE_MS).await;
        platform.faults().clear();
    }
}
