//! Clients of the operators' API during a run, and checks of what they recorded: operators that change the settings
//! concurrently, observers of the settings version of each instance, and a submitter of jobs.

use {
    ragwortreel::checks::CheckResult,
    ragwortreel_http::{Client, ClientLimits, Method, Request, Response},
    ragwortreel_runtime::{Stop, sleep_ms},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Operator token of the example settings.
const OPERATOR_TOKEN: &str = "change-me-operator";
/// Time limit of one API request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two settings changes of one operator, in ms.
const CHANGE_INTERVAL_MS: u64 = 120;
/// Time between two observations of one instance, in ms.
const OBSERVATION_INTERVAL_MS: u64 = 60;
/// Time between two job submissions, in ms.
const SUBMIT_INTERVAL_MS: u64 = 250;

/// HTTP client of the operators' API.
pub struct Api {
    client: Client,
}

impl Api {
    pub fn new() -> Self {
        Self {
            client: Client::new(ClientLimits::default()),
        }
    }

    /// Sends a request with the operator token; `None` when no response arrives within the time limit.
    pub async fn send(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Vec<u8>,
    ) -> Option<Response> {
        let mut req = Request::new(method, path)
            .with_body(body)
            .with_header("host", entry.to_string())
            .with_header("authorization", format!("Bearer {OPERATOR_TOKEN}"));
        for (name, value) in headers {
            req = req.with_header(name, value.clone());
        }
        self.client
            .send(entry, req, Instant::now() + REQUEST_TIMEOUT)
            .await
            .ok()
    }

    /// Reads the settings version and the settings tree from an instance.
    pub async fn settings(&self, entry: SocketAddr) -> Option<(u64, serde_json::Value)> {
        let response = self
            .send(entry, Method::Get, "/v1/settings", &[], Vec::new())
            .await?;
        let version = response
            .headers
            .get("etag")?
            .trim_matches('"')
            .parse()
            .ok()?;
        Some((version, serde_json::from_slice(&response.body).ok()?))
    }
}

/// Settings change that an instance accepted.
#[derive(Debug, Clone, Copy)]
pub struct Accepted {
    /// Version on which the change was based.
    pub base: u64,
    /// Version that the change created.
    pub version: u64,
    /// When the acceptance arrived.
    pub at: Instant,
}

/// Settings version that a ready instance returned.
#[derive(Debug, Clone, Copy)]
pub struct Observed {
    pub entry: SocketAddr,
    pub version: u64,
    /// When the answer was asked for.
    /// When the request was sent.
    pub asked: Instant,
    /// When the response arrived.
    /// When the answer came.
    pub at: Instant,
}

/// Changes a workspace's weight until `stop`, each time based on the version just read from a random instance.
pub async fn race(entries: Vec<SocketAddr>, mut rng: fastrand::Rng, stop: Stop) -> Vec<Accepted> {
    let api = Api::new();
    let mut accepted = Vec::new();
    while !stop.is_requested() {
        let entry = entries[rng.usize(..entries.len())];
        if let Some((base, mut tree)) = api.settings(entry).await {
            tree["workspaces"]["dyes"]["weight"] = serde_json::json!(rng.u32(1..1_000));
            let body = serde_json::to_vec(&tree).unwrap_or_default();
            let headers = [("if-match", format!("\"{base}\""))];
            let response = api
                .send(entry, Method::Put, "/v1/settings", &headers, body)
                .await;
            let response = response.filter(|response| response.status == 200);
            let version = response
                .and_then(|response| response.headers.get("etag")?.trim_matches('"').parse().ok());
            if let Some(version) = version {
                accepted.push(Accepted {
                    base,
                    version,
                    at: Instant::now(),
                });
            }
        }
        sleep_ms(CHANGE_INTERVAL_MS).await;
    }
    accepted
}

/// Reads one instance's settings version until `stop`, whenever the instance is ready.
pub async fn observe(entry: SocketAddr, stop: Stop) -> Vec<Observed> {
    let api = Api::new();
    let mut observed = Vec::new();
    while !stop.is_requested() {
        let ready = api
            .send(entry, Method::Get, "/ready", &[], Vec::new())
            .await;
        if ready.is_some_and(|response| response.status == 200) {
            let asked = Instant::now();
            if let Some((version, _)) = api.settings(entry).await {
                observed.push(Observed {
                    entry,
                    version,
                    asked,
                    at: Instant::now(),
                });
            }
        }
        sleep_ms(OBSERVATION_INTERVAL_MS).await;
    }
    observed
}

/// Submits small jobs until `stop` and returns the identifiers of the acknowledged ones.
pub async fn submit(entries: Vec<SocketAddr>, mut rng: fastrand::Rng, stop: Stop) -> Vec<String> {
    let api = Api::new();
    let mut acknowledged = Vec::new();
    for number in 0_u32.. {
        if stop.is_requested() {
            break;
        }
        let entry = entries[rng.usize(..entries.len())];
        let kind = if number.is_multiple_of(4) {
            "gang"
        } else {
            "batch"
        };
        let run_ms = rng.u32(100..1_500);
        let body = format!(
            r#"{{"id":"h-{number}","workspace":"patterns","name":"{kind}","kind":"{kind}","tasks":3,
                "resources":{{"milli_cores":2000,"memory_mib":512}},"payload":"{{\"run_ms\":{run_ms}}}"}}"#
        );
        let response = api
            .send(entry, Method::Post, "/v1/jobs", &[], body.into_bytes())
            .await;
        if response.is_some_and(|response| response.status == 201) {
            acknowledged.push(format!("h-{number}"));
        }
        sleep_ms(SUBMIT_INTERVAL_MS).await;
    }
    acknowledged
}

/// Checks that each version was accepted once, and that no two accepted changes share their base version.
pub fn single_winners(accepted: &[Accepted]) -> CheckResult {
    let mut by_base: BTreeMap<u64, u32> = BTreeMap::new();
    let mut by_version: BTreeMap<u64, u32> = BTreeMap::new();
    for change in accepted {
        *by_base.entry(change.base).or_default() += 1;
        *by_version.entry(change.version).or_default() += 1;
    }
    let duplicates = |map: &BTreeMap<u64, u32>, what: &str| -> Vec<String> {
        map.iter()
            .filter(|(_, n)| **n > 1)
            .map(|(v, n)| format!("{n} changes accepted {what} version {v}"))
            .collect()
    };
    let mut violations = duplicates(&by_base, "from");
    violations.extend(duplicates(&by_version, "as"));
    check("one winner of racing operators", accepted.len(), violations)
}

/// Checks that a ready instance never returns an older version than before, not even after a restart.
pub fn no_reversal(observed: &[Observed]) -> CheckResult {
    let mut newest: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    let mut in_order: Vec<&Observed> = observed.iter().collect();
    in_order.sort_by_key(|seen| seen.at);
    for seen in in_order {
        let newest = newest.entry(seen.entry).or_default();
        if seen.version < *newest {
            violations.push(format!(
                "{} showed version {} after {newest}",
                seen.entry, seen.version
            ));
        }
        *newest = seen.version.max(*newest);
    }
    check("settings never revert", observed.len(), violations)
}

/// Checks that an instance restarted after a change was accepted becomes ready with that version or a newer one.
pub fn fresh_after_restart(
    accepted: &[Accepted],
    observed: &[Observed],
    restarts: &[(SocketAddr, Instant)],
) -> CheckResult {
    let mut violations = Vec::new();
    for (entry, started) in restarts {
        let before = accepted
            .iter()
            .filter(|change| change.at < *started)
            .map(|change| change.version)
            .max();
        let first = observed
            .iter()
            .filter(|seen| seen.entry == *entry && seen.asked > *started)
            .min_by_key(|seen| seen.at);
        if let (Some(before), Some(first)) = (before, first)
            && first.version < before
        {
            violations.push(format!(
                "{entry} became ready with version {} after {before} was accepted",
                first.version
            ));
        }
    }
    check(
        "a replaced instance is ready with the newest settings",
        restarts.len(),
        violations,
    )
}

/// Checks that all instances return the newest accepted version within `limit` after the faults have ended.
pub async fn all_agree(
    entries: &[SocketAddr],
    accepted: &[Accepted],
    limit: Duration,
) -> CheckResult {
    let newest = accepted
        .iter()
        .map(|change| change.version)
        .max()
        .unwrap_or(0);
    let api = Api::new();
    let limit = Instant::now() + limit;
    let mut violations = Vec::new();
    for entry in entries {
        loop {
            let shown = api.settings(*entry).await.map(|(version, _)| version);
            if shown.is_some_and(|shown| shown >= newest) {
                break;
            }
            if Instant::now() >= limit {
                violations.push(format!("{entry} shows {shown:?}, accepted was {newest}"));
                break;
            }
            sleep_ms(50).await;
        }
    }
    check(
        "accepted settings are in force everywhere",
        entries.len(),
        violations,
    )
}

/// Checks that every acknowledged job can be found within `limit`.
pub async fn jobs_kept(
    entries: &[SocketAddr],
    acknowledged: &[String],
    limit: Duration,
) -> CheckResult {
    let api = Api::new();
    let limit = Instant::now() + limit;
    let mut violations = Vec::new();
    for id in acknowledged {
        loop {
            let entry = entries[fastrand::usize(..entries.len())];
            let response = api
                .send(
                    entry,
                    Method::Get,
                    &format!("/v1/jobs/{id}"),
                    &[],
                    Vec::new(),
                )
                .await;
            let status = response.map(|response| response.status);
            if status == Some(200) {
                break;
            }
            if status == Some(404) || Instant::now() >= limit {
                violations.push(format!("job {id}: status {status:?}"));
                break;
            }
            sleep_ms(50).await;
        }
    }
    check("acknowledged jobs are kept", acknowledged.len(), violations)
}

/// Builds the result of a check; `violations` has one description per violation.
pub fn check(promise: &'static str, checked: usize, violations: Vec<String>) -> CheckResult {
    CheckResult {
        promise,
        checked: checked as u64,
        violations: violations.len() as u64,
        example: violations.into_iter().next(),
    }
}
