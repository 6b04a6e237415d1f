//! Burn rates of the services' error budgets.
//!
//! Each instance counts, per service and minute, all requests and the good ones. A request is good if it was answered
//! without a server error and within the latency of the service's objective. The burn rate over a window is the share
//! of requests that were not good, divided by the share that the objective allows; at a rate of 1 the budget lasts
//! exactly the objective's period.
//!
//! The paging thresholds follow the multi-window rule of the "Site Reliability Workbook" (Google, 2018, chapter 5): a
//! rate of 14.4 over 1 h uses 2% of a 30-day budget, and the 5 min window shows that the burn is still going on.

use {
    crate::output::Table,
    ragwortreel_model::{ServiceName, SloSettings, Workspace},
    ragwortreel_runtime::unix_minute,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        sync::{Mutex, PoisonError},
    },
};

/// Window lengths of the report in minutes, in ascending order.
pub const WINDOW_MINUTES: [u64; 3] = [5, 60, 360];
/// Burn rate at which an operator is paged if both the 5 min and the 1 h window reach it.
const PAGE_BURN_RATE: f64 = 14.4;
/// Maximum number of minutes retained per service; covers the longest window.
const RETAINED_MINUTES: usize = 360;
/// Maximum number of services that are counted; the report omits further ones.
const MAX_SERVICES: usize = 4_096;

/// Request counts of one minute.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Minute {
    /// Minutes since the Unix epoch.
    pub minute: u64,
    /// Number of requests.
    pub total: u64,
    /// Number of requests answered without a server error and within the objective's latency.
    pub good: u64,
}

/// Request counts of one service by minute.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceCounts {
    /// Workspace that offers the service.
    pub workspace: Workspace,
    /// Name of the service within the workspace.
    pub service: ServiceName,
    /// Service-level objective in force at the last request.
    pub slo: SloSettings,
    /// Counts in ascending order of minutes; minutes without requests are absent.
    pub minutes: VecDeque<Minute>,
}

/// Request counts of all services of one instance, or the sum over several instances.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurnCounts {
    /// Minute of the snapshot, since the Unix epoch; the report's windows end with it.
    pub minute: u64,
    /// Counts per workspace and service.
    pub services: Vec<ServiceCounts>,
}

impl BurnCounts {
    /// Adds the counts of another instance.
    pub fn merge(&mut self, other: &Self) {
        self.minute = self.minute.max(other.minute);
        for added in &other.services {
            let is_same = |counts: &&mut ServiceCounts| {
                counts.workspace == added.workspace && counts.service == added.service
            };
            match self.services.iter_mut().find(is_same) {
                Some(counts) => counts.merge(added),
                None => self.services.push(added.clone()),
            }
        }
    }
}

impl ServiceCounts {
    fn merge(&mut self, other: &Self) {
        let mut minutes: BTreeMap<u64, Minute> =
            self.minutes.iter().map(|m| (m.minute, *m)).collect();
        for added in &other.minutes {
            let sum = minutes.entry(added.minute).or_insert(Minute {
                minute: added.minute,
                total: 0,
                good: 0,
            });
            sum.total += added.total;
            sum.good += added.good;
        }
        self.minutes = minutes.into_values().collect();
    }

    fn count(&mut self, minute: u64, good: bool) {
        // If the wall clock has stepped back, the request counts towards the newest minute.
        let is_new = self.minutes.back().is_none_or(|last| last.minute < minute);
        if is_new {
            self.minutes.push_back(Minute {
                minute,
                total: 0,
                good: 0,
            });
        }
        if self.minutes.len() > RETAINED_MINUTES {
            self.minutes.pop_front();
        }
        if let Some(last) = self.minutes.back_mut() {
            last.total += 1;
            last.good += u64::from(good);
        }
    }

    fn window(&self, newest: u64, length: u64) -> Window {
        let within = |m: &&Minute| m.minute + length > newest;
        let (total, good) = self
            .minutes
            .iter()
            .filter(within)
            .fold((0, 0), |(total, good), m| (total + m.total, good + m.good));
        #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
        let bad_share = if total == 0 {
            0.0
        } else {
            (total - good) as f64 / total as f64
        };
        let allowed = 1.0 - self.slo.answered_percent / 100.0;
        Window {
            minutes: length,
            total,
            good,
            burn_rate: bad_share / allowed,
        }
    }
}

/// Thread-safe counter of the requests that this instance has received.
#[derive(Debug, Default)]
pub struct BurnCounter {
    services: Mutex<BTreeMap<(Workspace, ServiceName), ServiceCounts>>,
}

impl BurnCounter {
    /// Counts one request in the current minute.
    pub fn count(
        &self,
        workspace: &Workspace,
        service: &ServiceName,
        slo: &SloSettings,
        good: bool,
    ) {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (workspace.clone(), service.clone());
        if services.len() >= MAX_SERVICES && !services.contains_key(&key) {
            return;
        }
        let counts = services.entry(key).or_insert_with(|| ServiceCounts {
            workspace: workspace.clone(),
            service: service.clone(),
            slo: slo.clone(),
            minutes: VecDeque::new(),
        });
        counts.slo.clone_from(slo);
        counts.count(unix_minute(), good);
    }

    /// Snapshot of the counts.
    #[must_use]
    pub fn counts(&self) -> BurnCounts {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        BurnCounts {
            minute: unix_minute(),
            services: services.values().cloned().collect(),
        }
    }
}

/// Burn rate of a service over one window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Window {
    /// Length of the window in minutes.
    pub minutes: u64,
    /// Number of requests in the window.
    pub total: u64,
    /// Number of good requests in the window.
    pub good: u64,
    /// Share of requests that were not good, divided by the share that the objective allows.
    pub burn_rate: f64,
}

/// Burn rates of one service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceBurn {
    /// Workspace that offers the service.
    pub workspace: Workspace,
    /// Name of the service within the workspace.
    pub service: ServiceName,
    /// Service-level objective.
    pub slo: SloSettings,
    /// Burn rates over [`WINDOW_MINUTES`].
    pub windows: Vec<Window>,
    /// Whether the burn rates over the two shortest windows reach the paging threshold.
    pub page: bool,
}

/// Computes the burn rates of all services, sorted by their highest rate in descending order.
#[must_use]
pub fn report(counts: &BurnCounts) -> Vec<ServiceBurn> {
    let mut report: Vec<ServiceBurn> = counts
        .services
        .iter()
        .map(|service| service_burn(service, counts.minute))
        .collect();
    let max_rate = |burn: &ServiceBurn| {
        burn.windows
            .iter()
            .map(|window| window.burn_rate)
            .fold(0.0, f64::max)
    };
    report.sort_by(|a, b| max_rate(b).total_cmp(&max_rate(a)));
    report
}

fn service_burn(counts: &ServiceCounts, newest: u64) -> ServiceBurn {
    let windows: Vec<Window> = WINDOW_MINUTES
        .iter()
        .map(|&length| counts.window(newest, length))
        .collect();
    let page = windows
        .iter()
        .take(2)
        .all(|window| window.burn_rate >= PAGE_BURN_RATE);
    ServiceBurn {
        workspace: counts.workspace.clone(),
        service: counts.service.clone(),
        slo: counts.slo.clone(),
        windows,
        page,
    }
}

/// Formats the report as a text table.
#[must_use]
pub fn format_table(report: &[ServiceBurn]) -> String {
    let titles = [
        "WORKSPACE",
        "SERVICE",
        "OBJECTIVE",
        "REQUESTS 6h",
        "GOOD 6h",
        "BURN 5m",
        "BURN 1h",
        "BURN 6h",
        "ACT",
    ];
    let mut table = Table::new(&titles);
    for service in report {
        let objective = format!(
            "{}% in {} ms",
            service.slo.answered_percent, service.slo.latency_ms
        );
        let longest = service.windows.last();
        let mut row = vec![
            service.workspace.to_string(),
            service.service.to_string(),
            objective,
            longest.map_or_else(String::new, |window| window.total.to_string()),
            longest.map_or_else(String::new, |window| window.good.to_string()),
        ];
        row.extend(
            service
                .windows
                .iter()
                .map(|window| format!("{:.2}", window.burn_rate)),
        );
        row.push(if service.page { "now" } else { "-" }.to_owned());
        table.add_row(row);
    }
    table.render()
}
