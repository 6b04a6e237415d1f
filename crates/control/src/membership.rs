//! The own row's renewal and the scan of the control rows.

use {
    crate::{
        backends,
        events::{FENCED, LIST_FAILED, RENEWAL_FAILED, REPLACED, ROW_UNREADABLE, SCAN_FAILED},
        ownership, peers,
        rows::{self, DRAINS, INSTANCES, InstanceRow, POOLS, SETTINGS_HEAD, SETTLED, SLOTS},
        settings,
        shared::Shared,
        slots,
        store::limited,
    },
    ragwortreel_platform::{Row, Txn, TxnOutcome},
    ragwortreel_runtime::{lock, log_event, sleep_ms},
    std::sync::Arc,
};

/// Attempts at one renewal before the next one is due.
const RENEWAL_ATTEMPTS: u32 = 4;

/// Renews the own row until the stop; the row is removed by [`crate::Control::leave`].
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
            .lease_until_ms()
            .is_none_or(|until_ms| until_ms <= begun_ms + shared.cfg.timings.lease_ms / 2)
        {
            slots::confirm_by_members(&shared).await;
            slots::ask_releases(&shared);
        }
        sleep_ms(shared.cfg.timings.renewal_ms).await;
    }
    if shared.is_leaving() && lock(&shared.owners).is_empty() {
        remove_own_row(&shared).await;
    }
}

/// Removes the row after a planned stop; if this fails the others remove it when it is old.
async fn remove_own_row(shared: &Shared) {
    let key = rows::instance_key(&shared.cfg.instance);
    let version = lock(&shared.lease).version;
    let txn = Txn {
        checks: vec![rows::check(&key, version)],
        writes: vec![rows::delete(&key)],
    };
    let _ = limited("remove row", shared.table.commit(txn)).await;
}

/// Removes the rows of instances that ended long ago and that no other row names.
async fn remove_old_rows(shared: &Shared) {
    let now_ms = shared.now_ms();
    let Some((key, version)) =
        lock(&shared.view).old_instance(now_ms, shared.cfg.timings.stale_row_ttl_ms)
    else {
        return;
    };
    let txn = Txn {
        checks: vec![rows::check(&key, version)],
        writes: vec![rows::delete(&key)],
    };
    // Another instance may remove it first; then the check does not hold.
    let _ = limited("remove old row", shared.table.commit(txn)).await;
}

/// Tries once to renew the row; returns whether no further try is of use now.
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
    match limited("renew", shared.table.commit(txn)).await {
        Ok(TxnOutcome::Committed { versions }) => {
            let mut lease = lock(&shared.lease);
            lease.version = versions.first().copied().unwrap_or(version + 1);
            lease.renewed_ms = Some(sent_ms);
            lease.joined_ms.get_or_insert(sent_ms);
            drop(lease);
            slots::renewed(shared, sent_ms);
            true
        }
        Ok(TxnOutcome::Conflict { current }) => {
            adopt_own_row(shared, current.first());
            false
        }
        Err(err) => {
            shared.counters.failed_renewals.add(1);
            log_event!(shared.log, RENEWAL_FAILED; "error" => err.to_string());
            true
        }
    }
}

/// Finds out from the own row why a renewal conflicted.
fn adopt_own_row(shared: &Arc<Shared>, current: Option<&Row>) {
    let started = lock(&shared.lease).joined_ms.is_some();
    let Some(row) = current else {
        if started {
            // The row was removed as that of a process that ended long ago, which others take for the proof that it
            // holds nothing.
            shared.counters.fences.add(1);
            log_event!(shared.log, FENCED);
            give_up_everything(shared);
        }
        lock(&shared.lease).version = 0;
        return;
    };
    let content = rows::decode::<InstanceRow>(row).ok();
    let own = content
        .as_ref()
        .is_some_and(|content| content.incarnation == shared.cfg.incarnation);
    let fenced = content.is_some_and(|content| content.fenced);
    if started && !own {
        log_event!(shared.log, REPLACED);
        lock(&shared.lease).replaced = true;
        give_up_everything(shared);
        return;
    }
    if own && fenced {
        // Everything is given up before the row is rewritten without the mark, because the others take the rewritten
        // row as the proof of it.
        shared.counters.fences.add(1);
        log_event!(shared.log, FENCED);
        give_up_everything(shared);
    }
    // Otherwise an earlier renewal took effect and its answer was lost, or the row is of an earlier process.
    lock(&shared.lease).version = row.version;
}

fn give_up_everything(shared: &Arc<Shared>) {
    {
        let mut lease = lock(&shared.lease);
        lease.renewed_ms = None;
        lease.joined_ms = None;
    }
    ownership::drop_all(shared);
    slots::drop_share(shared);
}

/// Reads the control rows until the stop and hands them to those who act on them.
pub(crate) async fn scan_loop(shared: Arc<Shared>) {
    while !shared.stop.is_requested() {
        scan(&shared).await;
        sleep_ms(shared.cfg.timings.scan_ms).await;
    }
}

async fn scan(shared: &Arc<Shared>) {
    let begun_ms = shared.now_ms();
    let prefixes = [INSTANCES, POOLS, SETTLED, SLOTS, SETTINGS_HEAD, DRAINS];
    let read = limited("scan", shared.table.scan(&prefixes)).await;
    let rows = match read {
        Ok(rows) => rows,
        Err(err) => {
            shared.counters.failed_scans.add(1);
            log_event!(shared.log, SCAN_FAILED; "error" => err.to_string());
            return;
        }
    };
    let now_ms = shared.now_ms();
    let longest_gap_ms = shared.cfg.timings.lease_ms / 2;
    let (head, instances) = {
        let mut view = lock(&shared.view);
        view.observe(&rows, begun_ms, now_ms, longest_gap_ms);
        for key in &view.unreadable {
            log_event!(shared.log, ROW_UNREADABLE; "key" => key.as_str());
        }
        let row = |(id, seen): (&_, &crate::view::Observed)| (Clone::clone(id), seen.row.clone());
        (view.head.clone(), view.instances.iter().map(row).collect())
    };
    peers::follow(shared, &instances);
    settings::follow_head(shared, head.as_ref()).await;
    ownership::check_pools(shared);
    slots::check(shared, begun_ms);
    remove_old_rows(shared).await;
}

/// Reads the platform's list until the stop.
pub(crate) async fn list_loop(shared: Arc<Shared>) {
    while !shared.stop.is_requested() {
        match limited("list", shared.list.list()).await {
            Ok(listed) => {
                backends::merge(&shared, &listed);
                *lock(&shared.listed) = Arc::new(listed);
            }
            Err(err) => log_event!(shared.log, LIST_FAILED; "error" => err.to_string()),
        }
        sleep_ms(shared.cfg.timings.list_ms).await;
    }
}
