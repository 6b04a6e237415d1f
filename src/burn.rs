//! Service-level burn: how fast services use up their error budgets.
//!
//! An instance counts, for each service and minute, all requests and the good ones: answered within the objective's
//! latency. The burn rate over a window is the share of requests that were not good, divided by the share that the
//! objective allows; at a rate of 1 the budget lasts exactly the objective's period. The paging thresholds follow the
//! multi-window rule of the "Site Reliability Workbook" (Google, 2018, chapter 5): 14.4 over 1 h uses 2% of a 30-day
//! budget, and the short window shows that it still goes on.

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

/// Windows of the report in minutes, short to long.
pub const WINDOW_MINUTES: [u64; 3] = [5, 60, 360];
/// Burn rate over 1 h from which an operator should act.
const PAGE_RATE: f64 = 14.4;
/// Minutes that are kept for each service.
const KEPT_MINUTES: usize = 360;
/// Most services that are counted; further ones are left out of the report.
const MAX_SERVICES: usize = 4_096;

/// Counts of one minute.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Minute {
    /// Minutes since the Unix epoch.
    pub minute: u64,
    /// All requests.
    pub total: u64,
    /// Requests answered within the objective's latency.
    pub good: u64,
}

/// Counts of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceCounts {
    /// Workspace that offers the service.
    pub workspace: Workspace,
    /// The service.
    pub service: ServiceName,
    /// Its objective.
    pub slo: SloSettings,
    /// Counts in order of time.
    pub minutes: VecDeque<Minute>,
}

/// Counts of one instance, or the sum of several.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurnCounts {
    /// Minute up to which the counts go.
    pub minute: u64,
    /// Counts by service.
    pub services: Vec<ServiceCounts>,
}

impl BurnCounts {
    /// Adds the counts of another instance.
    pub fn merge(&mut self, other: &Self) {
        self.minute = self.minute.max(other.minute);
        for theirs in &other.services {
            let same = |ours: &&mut ServiceCounts| {
                ours.workspace == theirs.workspace && ours.service == theirs.service
            };
            match self.services.iter_mut().find(same) {
                Some(ours) => ours.merge(theirs),
                None => self.services.push(theirs.clone()),
            }
        }
    }
}

impl ServiceCounts {
    fn merge(&mut self, other: &Self) {
        let mut minutes: BTreeMap<u64, Minute> =
            self.minutes.iter().map(|m| (m.minute, *m)).collect();
        for theirs in &other.minutes {
            let ours = minutes.entry(theirs.minute).or_insert(Minute {
                minute: theirs.minute,
                total: 0,
                good: 0,
            });
            ours.total += theirs.total;
            ours.good += theirs.good;
        }
        self.minutes = minutes.into_values().collect();
    }

    fn count(&mut self, minute: u64, good: bool) {
        // The wall clock may step back; such a request is counted in the newest minute.
        let is_new = self.minutes.back().is_none_or(|last| last.minute < minute);
        if is_new {
            self.minutes.push_back(Minute {
                minute,
                total: 0,
                good: 0,
            });
        }
        if self.minutes.len() > KEPT_MINUTES {
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

/// Counts requests of this instance.
#[derive(Debug, Default)]
pub struct BurnCounter {
    services: Mutex<BTreeMap<(Workspace, ServiceName), ServiceCounts>>,
}

impl BurnCounter {
    /// Counts one request.
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

    /// All counts so far.
    #[must_use]
    pub fn counts(&self) -> BurnCounts {
        let services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        BurnCounts {
            minute: unix_minute(),
            services: services.values().cloned().collect(),
        }
    }
}

/// Burn over one window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Window {
    /// Length in minutes.
    pub minutes: u64,
    /// All requests.
    pub total: u64,
    /// Good requests.
    pub good: u64,
    /// Share that was not good, divided by the share that the objective allows.
    pub burn_rate: f64,
}

/// Burn of one service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceBurn {
    /// Workspace that offers the service.
    pub workspace: Workspace,
    /// The service.
    pub service: ServiceName,
    /// Its objective.
    pub slo: SloSettings,
    /// Burn over each window.
    pub windows: Vec<Window>,
    /// Whether an operator should act now.
    pub page: bool,
}

/// Works out the report, the fastest burn first.
#[must_use]
pub fn report(counts: &BurnCounts) -> Vec<ServiceBurn> {
    let mut report: Vec<ServiceBurn> = counts
        .services
        .iter()
        .map(|service| burn(service, counts.minute))
        .collect();
    let key = |burn: &ServiceBurn| {
        burn.windows
            .iter()
            .map(|window| window.burn_rate)
            .fold(0.0, f64::max)
    };
    report.sort_by(|a, b| key(b).total_cmp(&key(a)));
    report
}

fn burn(counts: &ServiceCounts, newest: u64) -> ServiceBurn {
    let windows: Vec<Window> = WINDOW_MINUTES
        .iter()
        .map(|&length| counts.window(newest, length))
        .collect();
    let page = windows
        .iter()
        .take(2)
        .all(|window| window.burn_rate >= PAGE_RATE);
    ServiceBurn {
        workspace: counts.workspace.clone(),
        service: counts.service.clone(),
        slo: counts.slo.clone(),
        windows,
        page,
    }
}

/// The report as a table.
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
