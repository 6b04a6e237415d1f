//! Renewal of the instance's row, scan of the control rows and reads of the platform's list of instances.

use {
    crate::{
        backends,
        events::{FENCED, LIST_FAILED, RENEWAL_FAILED, REPLACED, ROW_UNREADABLE, SCAN_FAILED},
        ownership, peers,
        rows::{self, DRAINS, INSTANCES, InstanceRow, POOLS, SETTINGS_HEAD, SETTLED, SLOTS},
        settings,
        shared::Shared,
        slots,
        store::with_timeout,
    },
    ragwortreel_platform::{Row, Txn, TxnOutcome},
    ragwortreel_runtime::{lock, log_event, sleep_ms},
    std::sync::Arc,
};

/// Attempts of one renewal before the next renewal is due.
const RENEWAL_ATTEMPTS: u32 = 4;

/// Renews the instance's row until a stop is requested; after [`crate::Control::leave`], removes the row.
pub(crate) async fn renew_loop(shared: Arc<Shared>) {
    let mut counter = 0;
    while !shared.stop.is_requested() {
        let begun_ms = shared.now_ms();
        for _ in 0..RENEWAL_ATTEMPTS {
            counter += 1;
            if renew(&shared, counter).await {
                break;
            }
        }
        if shared
            .lease_expiry_ms()
            .is_none_or(|until_ms| until_ms <= begun_ms + shared.cfg.timings.lease_ms / 2)
        {
            slots::renew_lease_by_members(&shared).await;
            slots::request_releases(&shared);
        }
        sleep_ms(shared.cfg.timings.renewal_ms).await;
    }
    if shared.is_leaving() && lock(&shared.owners).is_empty() {
        remove_own_row(&shared).await;
    }
}

/// Removes the row after a planned shutdown; if this fails, another instance removes the stale row later.
async fn remove_own_row(shared: &Shared) {
    let key = rows::instance_key(&shared.cfg.instance);
    let version = lock(&shared.lease).version;
    let txn = Txn {
        checks: vec![rows::check(&key, version)],
        writes: vec![rows::delete(&key)],
    };
    let _ = with_timeout("remove row", shared.table.commit(txn)).await;
}

/// Removes one row of an instance that ended long ago, unless another row refers to the instance.
async fn remove_stale_row(shared: &Shared) {
    let now_ms = shared.now_ms();
    let Some((key, version)) =
        lock(&shared.view).removable_instance_row(now_ms, shared.cfg.timings.stale_row_ttl_ms)
    else {
        return;
    };
    let txn = Txn {
        checks: vec![rows::check(&key, version)],
        writes: vec![rows::delete(&key)],
    };
    // If another instance removes the row first, the version check fails and nothing changes.
    let _ = with_timeout("remove old row", shared.table.commit(txn)).await;
}

/// Tries to renew the row; returns false if an immediate retry is useful.
async fn renew(shared: &Arc<Shared>, counter: u64) -> bool {
    let version = lock(&shared.lease).version;
    if lock(&shared.lease).replaced {
        return true;
    }
    let key = rows::instance_key(&shared.cfg.instance);
    let row = InstanceRow {
        incarnation: shared.cfg.incarnation,
        address: shared.cfg.address,
        zone: shared.cfg.zone.clone(),
        region: Arc::clone(&shared.cfg.region),
        counter,
        leaving: shared.is_leaving(),
        fenced: false,
    };
    let txn = Txn {
        checks: vec![rows::check(&key, version)],
        writes: vec![rows::put(&key, &row)],
    };
    let sent_ms = shared.now_ms();
    match with_timeout("renew", shared.table.commit(txn)).await {
        Ok(TxnOutcome::Committed { versions }) => {
            let mut lease = lock(&shared.lease);
            lease.version = versions.first().copied().unwrap_or(version + 1);
            lease.renewed_ms = Some(sent_ms);
            lease.joined_ms.get_or_insert(sent_ms);
            drop(lease);
            slots::lease_renewed(shared, sent_ms);
            true
        }
        Ok(TxnOutcome::Conflict { current }) => {
            resolve_renewal_conflict(shared, current.first());
            false
        }
        Err(err) => {
            shared.counters.failed_renewals.add(1);
            log_event!(shared.log, RENEWAL_FAILED; "error" => err.to_string());
            true
        }
    }
}

/// Handles a conflicting renewal according to the stored row.
fn resolve_renewal_conflict(shared: &Arc<Shared>, current: Option<&Row>) {
    let has_joined = lock(&shared.lease).joined_ms.is_some();
    let Some(row) = current else {
        if has_joined {
            // The row was removed as stale. Other instances take its absence as proof that this process owns no pools
            // and uses no slots.
            shared.counters.fences.add(1);
            log_event!(shared.log, FENCED);
            relinquish_all(shared);
        }
        lock(&shared.lease).version = 0;
        return;
    };
    let content = rows::decode::<InstanceRow>(row).ok();
    let is_own = content
        .as_ref()
        .is_some_and(|content| content.incarnation == shared.cfg.incarnation);
    let is_fenced = content.is_some_and(|content| content.fenced);
    if has_joined && !is_own {
        log_event!(shared.log, REPLACED);
        lock(&shared.lease).replaced = true;
        relinquish_all(shared);
        return;
    }
    if is_own && is_fenced {
        // Relinquish everything before the row is rewritten without the fence mark: other instances take the rewritten
        // row as proof that this process owns no pools and uses no slots.
        shared.counters.fences.add(1);
        log_event!(shared.log, FENCED);
        relinquish_all(shared);
    }
    // Otherwise, an earlier renewal took effect and its answer was lost, or the row is from a previous process.
    lock(&shared.lease).version = row.version;
}

fn relinquish_all(shared: &Arc<Shared>) {
    {
        let mut lease = lock(&shared.lease);
        lease.renewed_ms = None;
        lease.joined_ms = None;
    }
    ownership::end_all(shared);
    slots::suspend_share(shared);
}

/// Scans the control rows until a stop is requested, and updates peers, settings, pools and slots from them.
pub(crate) async fn scan_loop(shared: Arc<Shared>) {
    while !shared.stop.is_requested() {
        scan(&shared).await;
        sleep_ms(shared.cfg.timings.scan_ms).await;
    }
}

async fn scan(shared: &Arc<Shared>) {
    let begun_ms = shared.now_ms();
    let prefixes = [INSTANCES, POOLS, SETTLED, SLOTS, SETTINGS_HEAD, DRAINS];
    let read = with_timeout("scan", shared.table.scan(&prefixes)).await;
    let rows = match read {
        Ok(rows) => rows,
        Err(err) => {
            shared.counters.failed_scans.add(1);
            log_event!(shared.log, SCAN_FAILED; "error" => err.to_string());
            return;
        }
    };
    let now_ms = shared.now_ms();
    let max_gap_ms = shared.cfg.timings.lease_ms / 2;
    let (head, instances) = {
        let mut view = lock(&shared.view);
        view.observe(&rows, begun_ms, now_ms, max_gap_ms);
        for key in &view.unreadable {
            log_event!(shared.log, ROW_UNREADABLE; "key" => key.as_str());
        }
        let row =
            |(id, seen): (&_, &crate::view::ObservedInstance)| (Clone::clone(id), seen.row.clone());
        (view.head.clone(), view.instances.iter().map(row).collect())
    };
    peers::update_peers(shared, &instances);
    settings::sync_with_head(shared, head.as_ref()).await;
    ownership::check_pools(shared);
    slots::check_members(shared, begun_ms);
    remove_stale_row(shared).await;
}

/// Reads the platform's list of instances until a stop is requested.
pub(crate) async fn list_loop(shared: Arc<Shared>) {
    while !shared.stop.is_requested() {
        match with_timeout("list", shared.instance_list.list()).await {
            Ok(listed) => {
                backends::merge(&shared, &listed);
                *lock(&shared.platform_list) = Arc::new(listed);
            }
            Err(err) => log_event!(shared.log, LIST_FAILED; "error" => err.to_string()),
        }
        sleep_ms(shared.cfg.timings.list_ms).await;
    }
}
