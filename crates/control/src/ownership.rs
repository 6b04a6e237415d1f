//! Pool ownership: candidate selection, takeover and the end of ownership.

use {
    crate::{
        events::{POOL_LOST, POOL_TAKEN},
        owner::{self, OwnerHandle},
        rows::{self, InstanceRow, PoolRow, PreviousOwner},
        shared::Shared,
        store::{CommitOutcome, commit_until_known},
        view::{Versioned, View},
    },
    ragwortreel_model::{Epoch, InstanceId, Pool, Zone},
    ragwortreel_platform::{InstanceState, Txn},
    ragwortreel_runtime::{lock, log_event, spawn},
    std::{collections::BTreeMap, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// A pool without a live owner.
#[derive(Debug, Clone)]
struct Vacancy {
    row_version: u64,
    epoch: Epoch,
    /// Previous owner whose row the takeover must fence, with the row and its version.
    fence: Option<(InstanceId, InstanceRow, u64)>,
    /// Previous owners that are not proven to have stopped sending commands to workers.
    unproven: Vec<PreviousOwner>,
}

/// When each pool was first seen without a live owner, and the takeovers in flight.
#[derive(Debug, Default)]
pub(crate) struct Vacancies {
    since_ms: BTreeMap<Pool, u64>,
    takeovers_in_flight: BTreeMap<Pool, u64>,
}

/// Distance of a candidate from the pool's workers: 0 in the zone, 1 in the region, 2 elsewhere.
fn proximity_rank(shared: &Shared, zone: &Zone, candidate: &InstanceRow) -> u64 {
    if candidate.zone == *zone {
        return 0;
    }
    let region = shared.region_of(zone);
    if region.is_some_and(|region| region == candidate.region) {
        1
    } else {
        2
    }
}

/// Weight of an instance for a pool in rendezvous hashing.
fn rendezvous_weight(pool: &Pool, instance: &InstanceId) -> u64 {
    xxh3_64(format!("{pool}/{instance}").as_bytes())
}

/// Rank of this instance if it has the highest rendezvous weight among live candidates of its rank.
fn preferred_rank(
    shared: &Shared,
    view: &View,
    pool: &Pool,
    zone: &Zone,
    now_ms: u64,
) -> Option<u64> {
    let own = &shared.cfg.instance;
    let own_row = &view.instances.get(own)?.row;
    let own_rank = proximity_rank(shared, zone, own_row);
    let lease_ms = shared.cfg.timings.lease_ms;
    let candidates = view.instances.iter().filter(|(id, seen)| {
        *id == own || (!seen.row.leaving && view.is_live(id, now_ms, lease_ms))
    });
    let same_rank =
        candidates.filter(|(_, seen)| proximity_rank(shared, zone, &seen.row) == own_rank);
    let preferred = same_rank.max_by_key(|(id, _)| (rendezvous_weight(pool, id), (*id).clone()));
    preferred
        .is_some_and(|(id, _)| id == own)
        .then_some(own_rank)
}

fn vacancy(shared: &Shared, view: &View, pool: &Pool, now_ms: u64) -> Option<Vacancy> {
    let Some(Versioned { row, version }) = view.pools.get(pool) else {
        return Some(Vacancy {
            row_version: 0,
            epoch: Epoch(0),
            fence: None,
            unproven: Vec::new(),
        });
    };
    let unproven = view
        .unproven_owners(pool)
        .iter()
        .filter(|earlier| !has_stopped(shared, view, earlier));
    let base = Vacancy {
        row_version: *version,
        epoch: row.epoch,
        fence: None,
        unproven: unproven.cloned().collect(),
    };
    // The caller skips pools that this instance owns, so a pool row with its name is left from an ownership that it
    // gave up.
    let is_own = row.owner == shared.cfg.instance;
    if row.released || is_own || view.has_ended(&row.owner, row.incarnation) {
        return Some(base);
    }
    if view.is_live(&row.owner, now_ms, shared.cfg.timings.lease_ms) {
        return None;
    }
    let seen = view.instances.get(&row.owner)?;
    let previous = PreviousOwner {
        owner: row.owner.clone(),
        incarnation: row.incarnation,
    };
    let mut unproven = base.unproven.clone();
    if !is_terminated(shared, &row.owner) && !unproven.contains(&previous) {
        unproven.push(previous);
    }
    Some(Vacancy {
        fence: (!seen.row.fenced).then(|| (row.owner.clone(), seen.row.clone(), seen.version)),
        unproven,
        ..base
    })
}

fn is_terminated(shared: &Shared, id: &InstanceId) -> bool {
    let listed = Arc::clone(&lock(&shared.platform_list));
    listed
        .iter()
        .any(|entry| entry.id == *id && entry.state == InstanceState::Terminated)
}

/// Returns whether a previous owner has certainly stopped renewing tasks, based on a scan after the takeover.
pub(crate) fn has_certainly_stopped(
    shared: &Shared,
    previous: &PreviousOwner,
    taken_over_ms: u64,
) -> bool {
    let view = lock(&shared.view);
    // A scan from before the takeover shows the row without the fence mark that the takeover set.
    let is_after_takeover = view
        .read_started_ms
        .is_some_and(|read_started_ms| read_started_ms > taken_over_ms);
    is_terminated(shared, &previous.owner)
        || (is_after_takeover && has_stopped(shared, &view, previous))
}

/// Returns whether a previous owner has stopped, based on rows that were read after it was fenced.
fn has_stopped(shared: &Shared, view: &View, previous: &PreviousOwner) -> bool {
    let seen = view.instances.get(&previous.owner);
    // A fenced instance rewrites its row without the mark only after it gave up all pools.
    is_terminated(shared, &previous.owner)
        || view.has_ended(&previous.owner, previous.incarnation)
        || seen.is_some_and(|seen| !seen.row.fenced)
}

/// Takes over vacant pools for which this instance is the preferred candidate, and ends superseded ownerships.
pub(crate) fn check_pools(shared: &Arc<Shared>) {
    let now_ms = shared.now_ms();
    let view = lock(&shared.view).clone();
    end_superseded(shared, &view);
    let may_take =
        shared.is_lease_valid() && shared.settings.is_synced_with_head() && !shared.is_leaving();
    for cfg in &shared.cfg.pools {
        let pool = &cfg.pool;
        if lock(&shared.owners).contains_key(pool) {
            continue;
        }
        let mut vacancies = lock(&shared.vacancies);
        let Some(vacancy) = vacancy(shared, &view, pool, now_ms) else {
            vacancies.since_ms.remove(pool);
            continue;
        };
        let since_ms = *vacancies.since_ms.entry(pool.clone()).or_insert(now_ms);
        let Some(proximity_rank) = preferred_rank(shared, &view, pool, &cfg.zone, now_ms) else {
            continue;
        };
        let is_due =
            now_ms >= since_ms + proximity_rank * shared.cfg.timings.takeover_rank_delay_ms;
        if !may_take || !is_due || vacancies.takeovers_in_flight.contains_key(pool) {
            continue;
        }
        vacancies.takeovers_in_flight.insert(pool.clone(), now_ms);
        drop(vacancies);
        spawn(take_over(Arc::clone(shared), pool.clone(), vacancy)).detach();
    }
}

async fn take_over(shared: Arc<Shared>, pool: Pool, vacancy: Vacancy) {
    if let Some(handle) = try_take_over(&shared, &pool, vacancy).await {
        lock(&shared.owners).insert(pool.clone(), handle);
    }
    let mut vacancies = lock(&shared.vacancies);
    vacancies.takeovers_in_flight.remove(&pool);
    vacancies.since_ms.remove(&pool);
}

async fn try_take_over(
    shared: &Arc<Shared>,
    pool: &Pool,
    vacancy: Vacancy,
) -> Option<Arc<OwnerHandle>> {
    let key = rows::pool_key(pool);
    let epoch = Epoch(vacancy.epoch.0 + 1);
    let row = PoolRow {
        owner: shared.cfg.instance.clone(),
        incarnation: shared.cfg.incarnation,
        epoch,
        released: false,
        unproven: vacancy.unproven.clone(),
    };
    let mut txn = Txn {
        checks: vec![rows::check(&key, vacancy.row_version)],
        writes: vec![rows::put(&key, &row)],
    };
    if let Some((owner, mut row, version)) = vacancy.fence {
        let owner_key = rows::instance_key(&owner);
        row.fenced = true;
        txn.checks.push(rows::check(&owner_key, version));
        txn.writes.push(rows::put(&owner_key, &row));
    }
    let joined_ms = lock(&shared.lease).joined_ms?;
    let deadline_ms = shared.now_ms() + shared.cfg.timings.call_timeout_ms;
    let should_retry = || shared.now_ms() < deadline_ms && !shared.stop.is_requested();
    let CommitOutcome::Committed { versions } =
        commit_until_known(&*shared.table, &txn, should_retry).await
    else {
        // After an unknown outcome, the next scan may show a row that names this process, which then takes the pool
        // with a new epoch.
        return None;
    };
    let row_version = match versions {
        Some(versions) => *versions.first()?,
        None => shared.table.get(&key).await.ok()??.version,
    };
    if lock(&shared.lease).joined_ms != Some(joined_ms) {
        // This process was fenced meanwhile. The pool row names it, so the pool is taken again with a new epoch.
        return None;
    }
    shared.counters.takeovers.add(1);
    log_event!(shared.log, POOL_TAKEN; "pool" => pool.as_str(), "epoch" => epoch.0);
    Some(owner::start(
        shared,
        pool,
        epoch,
        row_version,
        vacancy.unproven,
    ))
}

/// Ends ownerships of pools whose rows have a newer epoch.
fn end_superseded(shared: &Shared, view: &View) {
    lock(&shared.owners).retain(|pool, handle| {
        let taken = view
            .pools
            .get(pool)
            .is_some_and(|found| found.row.epoch > handle.epoch());
        if taken {
            log_event!(shared.log, POOL_LOST; "pool" => pool.as_str(), "epoch" => handle.epoch().0);
            handle.end_ownership();
        }
        !taken && !handle.is_ownership_ended()
    });
}

/// Ends all ownerships; no commands are sent to workers afterwards.
pub(crate) fn end_all(shared: &Shared) {
    let owners = std::mem::take(&mut *lock(&shared.owners));
    for (pool, handle) in owners {
        log_event!(shared.log, POOL_LOST; "pool" => pool.as_str(), "epoch" => handle.epoch().0);
        handle.end_ownership();
    }
}
