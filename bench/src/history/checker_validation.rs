//! Mutation tests of the checks: each check must detect a deliberately introduced violation.
//!
//! Four broken versions run for real: without at-most-once execution, without slot limits, without the epoch fence, and
//! with tasks restarted without proof that the former run has ended. The other checks get hand-written histories that
//! contain the violation.

use {
    super::{
        operators::{self, Accepted, Observed},
        run,
    },
    crate::control_cell::disabled_safeguards,
    ragwortreel::{
        cell_plan::CellPlan,
        checks,
        load::{CallOutcome, CallRecord, LoadGenerator},
    },
    ragwortreel_model::{ServiceName, Workspace},
    ragwortreel_processes::ProcessCell,
    ragwortreel_standins::RequestRecord,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Backend server responses that are lost in the version without at-most-once execution, in parts per million.
const LOST_RESPONSES_PPM: u32 = 300_000;
/// Slots per backend server in the settings of the version without slot limits; more than its backend servers have.
const EXCESSIVE_SLOTS: u32 = 48;
/// Length of the load in each broken version.
const LOAD_TIME: Duration = Duration::from_secs(2);
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Returns the share of the checks that detect their violation, from 0 to 1, and prints the others to stderr.
pub async fn proven_share() -> Result<f64, String> {
    let detected = [
        ("at most once", violates_at_most_once().await?),
        ("slots within limits", violates_slot_limits().await?),
        (
            "one place, fence off",
            !disabled_safeguards::delayed_start(true).await.is_empty(),
        ),
        (
            "one place, restart without proof",
            !disabled_safeguards::silent_worker(true).await.0.is_empty(),
        ),
        ("whole answers", detects_foreign_response()),
        ("not run", detects_run_after_refusal()),
        ("one winner", detects_two_winners()),
        ("no reversal", detects_reversal()),
        ("fresh after restart", detects_stale_restart()),
    ];
    for (name, _) in detected.iter().filter(|(_, detected)| !detected) {
        eprintln!("check not proven: {name}");
    }
    let count = |number: usize| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
    Ok(count(detected.iter().filter(|(_, detected)| *detected).count()) / count(detected.len()))
}

/// Plan of one instance per zone, changed by `change`.
fn plan(change: impl FnOnce(&mut CellPlan)) -> Result<CellPlan, String> {
    let mut plan = run::plan(1)?;
    plan.entries_per_zone = 1;
    change(&mut plan);
    Ok(plan)
}

async fn start(plan: CellPlan) -> Result<ProcessCell, String> {
    let cell = ProcessCell::start(plan, run::program()?).map_err(|err| err.to_string())?;
    cell.wait_ready(READY_LIMIT).await?;
    Ok(cell)
}

/// Declares a non-idempotent service as idempotent. It then runs without idempotency claims, so a retry after a lost
/// response executes the request a second time.
async fn violates_at_most_once() -> Result<bool, String> {
    let (workspace, service) = (Workspace::new("patterns"), ServiceName::new("batches"));
    let (workspace, service) = (
        workspace.map_err(|err| err.to_string())?,
        service.map_err(|err| err.to_string())?,
    );
    let plan = plan(|plan| {
        let service = plan
            .settings
            .workspaces
            .get_mut(&workspace)
            .and_then(|workspace| workspace.services.get_mut(&service));
        if let Some(service) = service {
            service.idempotent = true;
        }
    })?;
    let cell = start(plan).await?;
    for backend in &cell.standins.backends {
        backend
            .state
            .faults()
            .update(|faults| faults.lost_answers_ppm = LOST_RESPONSES_PPM);
    }
    let mixes = run::mixes().into_iter().filter(|mix| mix.keyed).collect();
    LoadGenerator::start(mixes, cell.balancer(), LOAD_TIME, 1, "claims")
        .finish()
        .await;
    let served: Vec<RequestRecord> = cell
        .standins
        .backends
        .iter()
        .flat_map(|backend| backend.state.records())
        .collect();
    Ok(checks::check_at_most_once(&served).violations > 0)
}

/// Configures more slots per backend server than the backend servers have.
async fn violates_slot_limits() -> Result<bool, String> {
    let plan = plan(|plan| {
        plan.backend_slots = Some(plan.settings.cell.slots_per_backend.into());
        plan.settings.cell.slots_per_backend = EXCESSIVE_SLOTS;
        plan.settings.cell.long_slot_limit = EXCESSIVE_SLOTS;
    })?;
    let cell = start(plan).await?;
    let mut mixes: Vec<_> = run::mixes().into_iter().filter(|mix| mix.keyed).collect();
    for mix in &mut mixes {
        mix.rate_per_s = 400.0;
    }
    LoadGenerator::start(mixes, cell.balancer(), LOAD_TIME, 1, "slots")
        .finish()
        .await;
    let backends = cell.standins.backends.iter();
    let counts: Vec<_> = backends
        .map(|backend| (backend.state.spec().id.to_string(), backend.state.counts()))
        .collect();
    Ok(checks::check_slot_limits(&counts).violations > 0)
}

fn entry_address() -> SocketAddr {
    ragwortreel::cell_plan::loopback_any_port()
}

fn call_record(seen: CallOutcome, is_own_answer: bool) -> CallRecord {
    CallRecord {
        mix: 0,
        nonce: Arc::from("s0-0-0-0"),
        key: None,
        entry: entry_address(),
        sent: Duration::ZERO,
        took: Duration::from_millis(1),
        seen,
        is_own_answer,
        is_repeat: false,
    }
}

/// A caller receives the response to another request.
fn detects_foreign_response() -> bool {
    checks::check_responses(&[call_record(CallOutcome::Answered(200), false)]).violations > 0
}

/// A backend server serves a request that the caller was told did not run.
fn detects_run_after_refusal() -> bool {
    let call = call_record(CallOutcome::NotRun, true);
    let Ok(backend) = ragwortreel_model::InstanceId::new("b") else {
        return false;
    };
    let served = RequestRecord {
        number: 0,
        backend,
        method: Arc::from("GET"),
        path: Arc::from("/"),
        idempotency_key: None,
        nonce: Some(Arc::clone(&call.nonce)),
        class: Arc::from("quotes"),
        started_ms: 0,
        ended_ms: None,
    };
    checks::check_not_run(&[call], &[served]).violations > 0
}

/// Two settings changes based on the same version are both accepted.
fn detects_two_winners() -> bool {
    let at = Instant::now();
    let change = |version| Accepted {
        base: 3,
        version,
        at,
    };
    operators::single_winners(&[change(4), change(5)]).violations > 0
}

fn observed(version: u64, at: Instant) -> Observed {
    Observed {
        entry: entry_address(),
        version,
        asked: at,
        at,
    }
}

/// An instance reports an older settings version than before.
fn detects_reversal() -> bool {
    let at = Instant::now();
    let later = at + Duration::from_millis(1);
    operators::no_reversal(&[observed(4, at), observed(3, later)]).violations > 0
}

/// An instance becomes ready after a restart without the newest accepted settings.
fn detects_stale_restart() -> bool {
    let at = Instant::now();
    let (started, asked) = (at + Duration::from_millis(1), at + Duration::from_millis(2));
    let accepted = [Accepted {
        base: 3,
        version: 4,
        at,
    }];
    operators::fresh_after_restart(
        &accepted,
        &[observed(3, asked)],
        &[(entry_address(), started)],
    )
    .violations
        > 0
}
