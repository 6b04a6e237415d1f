//! Who owns a pool: the choice of the candidate, the takeover and the end of ownership.

use {
    crate::{
        events::{POOL_LOST, POOL_TAKEN},
        owner::{self, OwnerHandle},
        rows::{self, InstanceRow, PoolRow, PreviousOwner},
        shared::Shared,
        store::{Definite, commit_definite},
        view::{Versioned, View},
    },
    ragwortreel_model::{Epoch, InstanceId, Pool, Zone},
    ragwortreel_platform::{InstanceState, Txn},
    ragwortreel_runtime::{lock, log_event, spawn},
    std::{collections::BTreeMap, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// A pool that has no live owner.
#[derive(Debug, Clone)]
struct Vacancy {
    row_version: u64,
    epoch: Epoch,
    /// Owner whose row the takeover must fence.
    fence: Option<(InstanceId, InstanceRow, u64)>,
    /// Owners that are not proven to have stopped their commands.
    unproven: Vec<PreviousOwner>,
}

/// When each pool was first seen without a live owner, and the takeovers in flight.
#[derive(Debug, Default)]
pub(crate) struct Vacancies {
    since_ms: BTreeMap<Pool, u64>,
    taking: BTreeMap<Pool, u64>,
}

/// How near a candidate is to a pool's workers; lower ranks come first.
fn rank(shared: &Shared, zone: &Zone, candidate: &InstanceRow) -> u64 {
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

/// Rendezvous weight of an instance for a pool.
fn weight(pool: &Pool, instance: &InstanceId) -> u64 {
    xxh3_64(format!("{pool}/{instance}").as_bytes())
}

/// Rank in which this instance is the preferred candidate, if it is in any.
fn own_rank(shared: &Shared, view: &View, pool: &Pool, zone: &Zone, now_ms: u64) -> Option<u64> {
    let own = &shared.cfg.instance;
    let own_row = &view.instances.get(own)?.row;
    let own_rank = rank(shared, zone, own_row);
    let lease_ms = shared.cfg.timings.lease_ms;
    let rivals = view.instances.iter().filter(|(id, seen)| {
        *id == own || (!seen.row.leaving && view.is_live(id, now_ms, lease_ms))
    });
    let same_rank = rivals.filter(|(_, seen)| rank(shared, zone, &seen.row) == own_rank);
    let preferred = same_rank.max_by_key(|(id, _)| (weight(pool, id), (*id).clone()));
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
        .unproven(pool)
        .iter()
        .filter(|earlier| !is_gone(shared, view, earlier));
    let free = Vacancy {
        row_version: *version,
        epoch: row.epoch,
        fence: None,
        unproven: unproven.cloned().collect(),
    };
    // A pool row that names this very process while it owns nothing is of an ownership that it has given up.
    let is_own = row.owner == shared.cfg.instance;
    if row.released || is_own || view.is_gone(&row.owner, row.incarnation) {
        return Some(free);
    }
    if view.is_live(&row.owner, now_ms, shared.cfg.timings.lease_ms) {
        return None;
    }
    let seen = view.instances.get(&row.owner)?;
    let previous = PreviousOwner {
        owner: row.owner.clone(),
        incarnation: row.incarnation,
    };
    let mut unproven = free.unproven.clone();
    if !is_terminated(shared, &row.owner) && !unproven.contains(&previous) {
        unproven.push(previous);
    }
    Some(Vacancy {
        fence: (!seen.row.fenced).then(|| (row.owner.clone(), seen.row.clone(), seen.version)),
        unproven,
        ..free
    })
}

fn is_terminated(shared: &Shared, id: &InstanceId) -> bool {
    let listed = Arc::clone(&lock(&shared.listed));
    listed
        .iter()
        .any(|entry| entry.id == *id && entry.state == InstanceState::Terminated)
}

/// Whether a previous owner has certainly stopped renewing tasks, by what was read since the takeover.
pub(crate) fn is_proven_gone(shared: &Shared, previous: &PreviousOwner, taken_ms: u64) -> bool {
    let view = lock(&shared.view);
    // A reading from before the takeover shows the row without the mark that the takeover set.
    let is_new = view.read_ms.is_some_and(|read_ms| read_ms > taken_ms);
    is_terminated(shared, &previous.owner) || (is_new && is_gone(shared, &view, previous))
}

/// Whether a previous owner is gone by rows that were read after it was fenced.
fn is_gone(shared: &Shared, view: &View, previous: &PreviousOwner) -> bool {
    let seen = view.instances.get(&previous.owner);
    // Its row is rewritten without the mark only after it gave up all pools.
    is_terminated(shared, &previous.owner)
        || view.is_gone(&previous.owner, previous.incarnation)
        || seen.is_some_and(|seen| !seen.row.fenced)
}

/// Takes vacant pools that this instance is the candidate for, and drops those that others took.
pub(crate) fn check_pools(shared: &Arc<Shared>) {
    let now_ms = shared.now_ms();
    let view = lock(&shared.view).clone();
    drop_taken(shared, &view);
    let may_take =
        shared.is_lease_valid() && shared.settings.is_head_read() && !shared.is_leaving();
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
        let Some(rank) = own_rank(shared, &view, pool, &cfg.zone, now_ms) else {
            continue;
        };
        let is_due = now_ms >= since_ms + rank * shared.cfg.timings.takeover_rank_delay_ms;
        if !may_take || !is_due || vacancies.taking.contains_key(pool) {
            continue;
        }
        vacancies.taking.insert(pool.clone(), now_ms);
        drop(vacancies);
        spawn(take(Arc::clone(shared), pool.clone(), vacancy)).detach();
    }
}

async fn take(shared: Arc<Shared>, pool: Pool, vacancy: Vacancy) {
    if let Some(handle) = try_take(&shared, &pool, vacancy).await {
        lock(&shared.owners).insert(pool.clone(), handle);
    }
    let mut vacancies = lock(&shared.vacancies);
    vacancies.taking.remove(&pool);
    vacancies.since_ms.remove(&pool);
}

async fn try_take(shared: &Arc<Shared>, pool: &Pool, vacancy: Vacancy) -> Option<Arc<OwnerHandle>> {
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
    let keep_on = || shared.now_ms() < deadline_ms && !shared.stop.is_requested();
    let Definite::Committed { versions } = commit_definite(&*shared.table, &txn, keep_on).await
    else {
        // An open outcome shows in the next scan: the row then names this process, which takes it with a new epoch.
        return None;
    };
    let row_version = match versions {
        Some(versions) => *versions.first()?,
        None => shared.table.get(&key).await.ok()??.version,
    };
    if lock(&shared.lease).joined_ms != Some(joined_ms) {
        // This process was fenced meanwhile; the pool row that names it is taken again by a new epoch.
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

/// Drops owned pools whose rows name another owner or epoch.
fn drop_taken(shared: &Shared, view: &View) {
    lock(&shared.owners).retain(|pool, handle| {
        let taken = view
            .pools
            .get(pool)
            .is_some_and(|found| found.row.epoch > handle.epoch());
        if taken {
            log_event!(shared.log, POOL_LOST; "pool" => pool.as_str(), "epoch" => handle.epoch().0);
            handle.drop_now();
        }
        !taken && !handle.is_dropped()
    });
}

/// Drops all pools; no command is sent afterwards.
pub(crate) fn drop_all(shared: &Shared) {
    let owners = std::mem::take(&mut *lock(&shared.owners));
    for (pool, handle) in owners {
        log_event!(shared.log, POOL_LOST; "pool" => pool.as_str(), "epoch" => handle.epoch().0);
        handle.drop_now();
    }
}
