//! Proof that each check finds the breach in a version that is broken on purpose.
//!
//! Four versions really run: at-most-once execution off, slot limits off, the epoch fence off, restart without proof.
//! For the other checks the record of a sound run is altered in the way in which a breach would show.

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

/// Share of a backend server's answers that are lost in the version without at-most-once execution, in millionths.
const LOST_ANSWERS_PPM: u32 = 300_000;
/// Slots that the version without slot limits believes a backend server has.
const TOO_MANY_SLOTS: u32 = 48;
/// Time under load.
const LOAD_TIME: Duration = Duration::from_secs(2);
const READY_LIMIT: Duration = Duration::from_secs(20);

/// Share of the checks that find their breach.
pub async fn proven_share() -> Result<f64, String> {
    let found = [
        ("at most once", without_claims().await?),
        ("slots within limits", without_slot_limits().await?),
        (
            "one place, fence off",
            !disabled_safeguards::delayed_start(true).await.is_empty(),
        ),
        (
            "one place, restart without proof",
            !disabled_safeguards::silent_worker(true).await.0.is_empty(),
        ),
        ("whole answers", foreign_answer()),
        ("not run", run_after_refusal()),
        ("one winner", two_winners()),
        ("no reversal", reversal()),
        ("fresh after restart", stale_restart()),
    ];
    for (name, _) in found.iter().filter(|(_, found)| !found) {
        eprintln!("check not proven: {name}");
    }
    let count = |number: usize| f64::from(u32::try_from(number).unwrap_or(u32::MAX));
    Ok(count(found.iter().filter(|(_, found)| *found).count()) / count(found.len()))
}

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

/// A non-idempotent service declared as idempotent runs without claims; lost answers then lead to second runs.
async fn without_claims() -> Result<bool, String> {
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
            .fault_switch()
            .update(|faults| faults.lost_answers_ppm = LOST_ANSWERS_PPM);
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

/// Entry instances that believe in more slots than a backend server has.
async fn without_slot_limits() -> Result<bool, String> {
    let plan = plan(|plan| {
        plan.backend_slots = Some(plan.settings.cell.slots_per_backend.into());
        plan.settings.cell.slots_per_backend = TOO_MANY_SLOTS;
        plan.settings.cell.long_slot_limit = TOO_MANY_SLOTS;
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

fn entry() -> SocketAddr {
    ragwortreel::cell_plan::loopback_any_port()
}

fn call(seen: CallOutcome, is_own_answer: bool) -> CallRecord {
    CallRecord {
        mix: 0,
        nonce: Arc::from("s0-0-0-0"),
        key: None,
        entry: entry(),
        sent: Duration::ZERO,
        took: Duration::from_millis(1),
        seen,
        is_own_answer,
        is_repeat: false,
    }
}

fn foreign_answer() -> bool {
    checks::check_responses(&[call(CallOutcome::Answered(200), false)]).violations > 0
}

fn run_after_refusal() -> bool {
    let call = call(CallOutcome::NotRun, true);
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

fn two_winners() -> bool {
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
        entry: entry(),
        version,
        asked: at,
        at,
    }
}

fn reversal() -> bool {
    let at = Instant::now();
    let later = at + Duration::from_millis(1);
    operators::no_reversal(&[observed(4, at), observed(3, later)]).violations > 0
}

fn stale_restart() -> bool {
    let at = Instant::now();
    let (started, asked) = (at + Duration::from_millis(1), at + Duration::from_millis(2));
    let accepted = [Accepted {
        base: 3,
        version: 4,
        at,
    }];
    operators::fresh_after_restart(&accepted, &[observed(3, asked)], &[(entry(), started)])
        .violations
        > 0
}
