//! Sending of queued transactions in batches.

use {
    super::{
        CONDITION_FAILED, MAX_BATCH_WINDOW, MIN_BATCH_WINDOW, Shared, Waiter, count, not_done,
    },
    crate::{
        api::{PlatformError, Txn, TxnOutcome},
        txn_batch::TxnBatch,
    },
    async_channel::Receiver,
    ragwortreel_runtime::{spawn, timeout_at},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Instant,
    },
};

// Collects queued transactions into batches and sends each one.
pub(super) async fn send_batches(shared: Arc<Shared>, queue_rx: Receiver<(Txn, Waiter)>) {
    let mut window = MIN_BATCH_WINDOW;
    let mut leftover = None;
    loop {
        let first = match leftover.take() {
            Some(first) => first,
            None => match queue_rx.recv().await {
                Ok(first) => first,
                Err(_) => return,
            },
        };
        let mut batch = TxnBatch::default();
        batch.push(first.0, first.1);
        leftover = fill_batch(&mut batch, &queue_rx, Instant::now() + window).await;
        // `send` drops the transactions whose deadline passes during these waits.
        let permit = Arc::clone(&shared.in_flight).acquire_arc().await;
        shared.write_rate.acquire().await;
        if leftover.is_none() {
            leftover = fill_batch(&mut batch, &queue_rx, Instant::now()).await;
        }
        window = if shared.write_rate.is_nearly_exhausted() {
            (window * 2).min(MAX_BATCH_WINDOW)
        } else {
            (window / 2).max(MIN_BATCH_WINDOW)
        };
        let shared = Arc::clone(&shared);
        spawn(async move {
            send(&shared, batch).await;
            drop(permit);
        })
        .detach();
    }
}

// Fills the batch until `until`; returns a transaction that does not fit.
async fn fill_batch(
    batch: &mut TxnBatch<Waiter>,
    queue_rx: &Receiver<(Txn, Waiter)>,
    until: Instant,
) -> Option<(Txn, Waiter)> {
    while !batch.is_full() {
        let next = match queue_rx.try_recv() {
            Ok(next) => next,
            Err(_) if Instant::now() >= until => return None,
            Err(_) => timeout_at(until, queue_rx.recv()).await.ok()?.ok()?,
        };
        if !batch.accepts(&next.0) {
            return Some(next);
        }
        batch.push(next.0, next.1);
    }
    None
}

async fn send(shared: &Arc<Shared>, mut batch: TxnBatch<Waiter>) {
    let now = Instant::now();
    // The reply to a caller that has given up is ignored.
    let is_expired = |waiter: &Waiter| {
        waiter.deadline <= now || waiter.reply_tx.is_closed() || !waiter.mark_sent()
    };
    let expired = batch.remove_if(is_expired);
    for waiter in expired {
        waiter.reply(Err(not_done("commit", "the deadline passed in the queue")));
    }
    let mut batches = vec![batch];
    let mut is_first = true;
    while let Some(mut batch) = batches.pop() {
        let is_resend = !std::mem::take(&mut is_first);
        if is_resend {
            shared.write_rate.acquire().await;
        }
        // The conflict of a batch may be with an earlier copy of it, which then has taken effect.
        let may_be_stored = is_resend && shared.cfg.hedge_ms.is_some();
        if let Err(err) = shared.check_breaker("commit") {
            reply_all(batch, &err.after_effect(may_be_stored));
            continue;
        }
        for waiter in batch.remove_if(|waiter| !waiter.may_be_sent()) {
            let err = not_done("commit", CONDITION_FAILED);
            waiter.reply(Err(err.after_effect(may_be_stored)));
        }
        if batch.is_empty() {
            continue;
        }
        count(&shared.counters.writes);
        let transactions = batch.len() as u64;
        (shared.counters.transactions).fetch_add(transactions, Ordering::Relaxed);
        let call = shared.commit(batch.txn(), || batch.tags().all(Waiter::may_be_sent));
        let result = shared.call("commit", shared.call_deadline(), call).await;
        match result {
            Ok(outcome) => batches.extend(reply_outcome(shared, batch, outcome)),
            // One transaction at fault has the whole batch refused.
            Err(PlatformError::Refused { .. }) if batch.len() > 1 => {
                count(&shared.counters.split_batches);
                batches.extend(batch.split_in_half());
            }
            Err(err) => reply_all(batch, &err.after_effect(may_be_stored)),
        }
    }
}

fn reply_outcome(
    shared: &Shared,
    batch: TxnBatch<Waiter>,
    outcome: TxnOutcome,
) -> Vec<TxnBatch<Waiter>> {
    let is_split = batch.len() > 1 && matches!(outcome, TxnOutcome::Conflict { .. });
    if is_split {
        count(&shared.counters.split_batches);
    }
    let split = batch.split_outcome(outcome);
    for (waiter, outcome) in split.completed {
        waiter.reply(Ok(outcome));
    }
    split.resend
}

fn reply_all(batch: TxnBatch<Waiter>, err: &PlatformError) {
    for waiter in batch.into_tags() {
        waiter.reply(Err(err.clone()));
    }
}
