//! Consistency checks over the records of callers, backend servers and workers.

use {
    crate::load::{CallOutcome, CallRecord},
    ragwortreel_standins::{BackendCounts, RequestRecord, Standins},
    serde::Serialize,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Result of one consistency check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CheckResult {
    /// Property that the check verifies.
    pub promise: &'static str,
    /// Number of operations checked; their kind depends on the check.
    pub checked: u64,
    /// Number of violations found.
    pub violations: u64,
    /// Description of the first violation.
    pub example: Option<String>,
}

impl CheckResult {
    fn new(promise: &'static str, checked: usize, violations: Vec<String>) -> Self {
        Self {
            promise,
            checked: checked as u64,
            violations: violations.len() as u64,
            example: violations.into_iter().next(),
        }
    }
}

/// Runs all checks over the callers' records and the stand-ins' records.
#[must_use]
pub fn check_all(calls: &[CallRecord], standins: &Standins) -> Vec<CheckResult> {
    let served: Vec<RequestRecord> = standins
        .backends
        .iter()
        .flat_map(|backend| backend.state.records())
        .collect();
    let counts: Vec<(String, BackendCounts)> = standins
        .backends
        .iter()
        .map(|backend| (backend.state.spec().id.to_string(), backend.state.counts()))
        .collect();
    vec![
        check_responses(calls),
        check_not_run(calls, &served),
        check_at_most_once(&served),
        check_slot_limits(&counts),
        check_single_runs(standins),
        check_worker_capacity(standins),
    ]
}

/// Checks that each answer is complete and belongs to the caller's own request.
#[must_use]
pub fn check_responses(calls: &[CallRecord]) -> CheckResult {
    let answered = calls
        .iter()
        .filter(|call| matches!(call.seen, CallOutcome::Answered(_)));
    let wrong = calls
        .iter()
        .filter(|call| !call.is_own_answer)
        .map(|call| format!("answer to {}", call.nonce));
    CheckResult::new(
        "whole answers to own requests",
        answered.count(),
        wrong.collect(),
    )
}

/// Checks that no request with the outcome `NotRun` or `NotSent` has reached a backend server.
#[must_use]
pub fn check_not_run(calls: &[CallRecord], served: &[RequestRecord]) -> CheckResult {
    let ran: BTreeSet<&Arc<str>> = served
        .iter()
        .filter_map(|record| record.nonce.as_ref())
        .collect();
    let reported: Vec<&CallRecord> = calls
        .iter()
        .filter(|call| matches!(call.seen, CallOutcome::NotRun | CallOutcome::NotSent))
        .collect();
    let wrong = reported.iter().filter(|call| ran.contains(&call.nonce));
    let wrong = wrong
        .map(|call| format!("{} was told not run and ran", call.nonce))
        .collect();
    CheckResult::new("told not run, did not run", reported.len(), wrong)
}

/// Checks that a request with an idempotency key reaches backend servers at most once over all instances and retries.
#[must_use]
pub fn check_at_most_once(served: &[RequestRecord]) -> CheckResult {
    let mut runs: BTreeMap<&Arc<str>, u32> = BTreeMap::new();
    for key in served
        .iter()
        .filter_map(|record| record.idempotency_key.as_ref())
    {
        *runs.entry(key).or_default() += 1;
    }
    let wrong = runs
        .iter()
        .filter(|(_, runs)| **runs > 1)
        .map(|(key, runs)| format!("{key} ran {runs} times"));
    CheckResult::new("at most once", runs.len(), wrong.collect())
}

/// Checks that no backend server has exceeded its limits on concurrent requests and connections.
#[must_use]
pub fn check_slot_limits(counts: &[(String, BackendCounts)]) -> CheckResult {
    let over = |(id, counts): &(String, BackendCounts)| {
        let excess = counts.slots_over_limit + counts.connections_over_limit;
        let text = format!(
            "{id}: up to {} requests and {} connections at once",
            counts.max_slots, counts.max_connections
        );
        (excess > 0).then_some(text)
    };
    let checked = counts
        .iter()
        .map(|(_, counts)| counts.requests)
        .sum::<u64>();
    CheckResult {
        checked,
        ..CheckResult::new(
            "slots and connections within limits",
            0,
            counts.iter().filter_map(over).collect(),
        )
    }
}

/// Checks that no two runs of a task overlap in time and that no run was started twice.
#[must_use]
pub fn check_single_runs(standins: &Standins) -> CheckResult {
    let history = standins.fleet.history();
    let violations = history
        .violations()
        .iter()
        .map(ToString::to_string)
        .collect();
    CheckResult::new("a task runs in one place", history.runs().len(), violations)
}

/// Checks that no worker has received a start that exceeds its capacity.
#[must_use]
pub fn check_worker_capacity(standins: &Standins) -> CheckResult {
    let over = standins.workers.iter().filter_map(|worker| {
        let refused = worker.state.counts().over_capacity;
        (refused > 0).then(|| format!("a worker refused {refused} starts that did not fit"))
    });
    CheckResult::new(
        "workers within capacity",
        standins.workers.len(),
        over.collect(),
    )
}
