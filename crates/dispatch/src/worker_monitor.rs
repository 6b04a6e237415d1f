//! Monitoring of one worker: heartbeats extend the lease of its runs and collect the ends of runs.
//!
//! The worker answers a heartbeat when a run ends, or after a while. Ends are acknowledged by the next heartbeat, which
//! is sent only after they are stored.

use {
    crate::{
        api::{HeartbeatRequest, HeartbeatResponse, WorkerEndpoint, WorkerError},
        events::{RUN_FAILED, RUN_INTERRUPTED, WORKER_LOST, WORKER_REACHED, WORKER_REPLACED},
        orders::{ClockSample, Order, WorkerHandle, send_orders},
        term::Term,
    },
    async_channel::Receiver,
    ragwortreel_model::WorkerId,
    ragwortreel_runtime::{boot_ms, lock, log_event, sleep_ms, timeout_ms},
    ragwortreel_workflow::{EndCause, EndedRun, HeartbeatReport, Incarnation},
    std::{
        mem,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Retry delays after failed heartbeats, in ms; the last one repeats.
const RETRY_BACKOFF_MS: [u64; 4] = [50, 150, 300, 600];
/// Longest time to wait for ends to be stored before the next heartbeat extends the lease, in ms.
const STORE_WAIT_MS: u64 = 1_500;

struct WorkerMonitor {
    term: Arc<Term>,
    to: WorkerEndpoint,
    handle: WorkerHandle,
    /// Whether the worker ever answered this monitor.
    has_answered: bool,
    /// Incarnation that answered last, if it told.
    incarnation: Option<Incarnation>,
    /// Sequence number of the last end of a run that is stored.
    acked_end: u64,
    /// Number of consecutive failed heartbeats.
    failures: usize,
}

/// Monitors a worker until the term is over, or the scheduler removes the worker.
pub(crate) async fn monitor_worker(
    term: Arc<Term>,
    worker: WorkerId,
    handle: WorkerHandle,
    orders_rx: Receiver<Order>,
) {
    let to = WorkerEndpoint {
        worker: worker.clone(),
        address: handle.address,
        fencing_token: u64::from(term.number),
    };
    let sender = send_orders(Arc::clone(&term), to.clone(), handle.clone(), orders_rx);
    let order_sender = term.spawn_task("orders", sender);
    let mut monitor = WorkerMonitor {
        term: Arc::clone(&term),
        to,
        handle,
        has_answered: false,
        incarnation: None,
        acked_end: 0,
        failures: 0,
    };
    while !term.is_over() && lock(&term.scheduler).has_worker(&worker) {
        if !monitor.send_heartbeat().await {
            break;
        }
    }
    if monitor.is_replaced() {
        // The channel is closed, so the task ends once each of the remaining orders has an outcome.
        order_sender.detach();
        return;
    }
    drop(order_sender);
    lock(&term.unanswered).remove(&worker);
    lock(&term.workers).remove(&worker);
    term.workers_changed.fetch_add(1, Ordering::Release);
}

impl WorkerMonitor {
    /// Whether the worker is listed with another address, so that another monitor calls it.
    fn is_replaced(&self) -> bool {
        let workers = lock(&self.term.workers);
        let current = workers.get(&self.to.worker);
        current.is_some_and(|current| !current.is_same(&self.handle))
    }

    /// Sends a heartbeat; returns false when another incarnation of the worker answers, the monitor is replaced, or another
    /// instance leads.
    async fn send_heartbeat(&mut self) -> bool {
        let timing = &self.term.cell.cfg.timing;
        // As for a start, the lease counts from a time before the check.
        let (sent_ms, lease) = self.handle.lease_now(timing);
        if !self.term.may_extend_leases() {
            sleep_ms(RETRY_BACKOFF_MS[0]).await;
            return true;
        }
        // The lease of a worker that does not answer is not extended: the request might still arrive, and the lease
        // would never expire. Its clock is unknown until it answers.
        let req = HeartbeatRequest {
            lease_expires_ms: lease.map(|lease| lease.expires_ms),
            acked_end: self.acked_end,
            wait: if lease.is_none() {
                Duration::ZERO
            } else {
                let max_wait_ms = lock(&self.term.scheduler).max_heartbeat_wait_ms(&self.to.worker);
                timing
                    .heartbeat_wait
                    .min(Duration::from_millis(max_wait_ms))
            },
        };
        if let Some(lease) = lease {
            lock(&self.term.scheduler).extend_lease(&self.to.worker, lease.until_ms);
        }
        let result = self.term.cell.deps.workers.heartbeat(&self.to, req).await;
        if self.is_replaced() {
            return false;
        }
        match result {
            Ok(response) => {
                let local_ms = boot_ms();
                let is_known = self.has_answered && self.failures == 0;
                // Also for an answer that is ignored: the next heartbeat must not acknowledge ends by the former numbers.
                self.check_incarnation(&response);
                if !self.may_extend_lease().await {
                    return true;
                }
                *lock(&self.handle.clock) = Some(ClockSample {
                    worker_ms: response.clock_ms,
                    local_ms,
                });
                if !is_known {
                    log_event!(self.term.cell.deps.log, WORKER_REACHED;
                        "worker" => self.to.worker.to_string(),
                        "running" => response.running.len(), "failures" => self.failures);
                }
                // A worker may take orders of an earlier leader until it has received this heartbeat.
                let lease_until_ms = lease.map_or_else(
                    || local_ms + self.term.cell.cfg.timing.lease_bound_ms(),
                    |lease| lease.until_ms,
                );
                self.handle_response(response, sent_ms, lease_until_ms)
                    .await;
                true
            }
            Err(err) => self.handle_failure(&err).await,
        }
    }

    /// Records an answer. Waits until the stored row of workers that do not answer no longer names this one; returns false
    /// if that takes too long, and the answer is to be ignored.
    async fn may_extend_lease(&self) -> bool {
        if !lock(&self.term.unanswered).remove(&self.to.worker) {
            return true;
        }
        let stored = self.term.journal.when_stored();
        timeout_ms(STORE_WAIT_MS, stored.recv()).await.is_ok() && !self.term.is_over()
    }

    /// Detects a new incarnation under the same name, whose ends are numbered from 1 again.
    ///
    /// Orders that were in transit at its start may have started tasks there, so the runs that this response lists
    /// decide which runs of the former incarnation are lost.
    fn check_incarnation(&mut self, response: &HeartbeatResponse) {
        let had_answered = mem::replace(&mut self.has_answered, true);
        let former = mem::replace(&mut self.incarnation, response.incarnation);
        if had_answered && former != response.incarnation {
            self.log_replaced();
            self.acked_end = 0;
        }
    }

    fn log_replaced(&self) {
        log_event!(self.term.cell.deps.log, WORKER_REPLACED;
            "worker" => self.to.worker.to_string(), "term" => self.term.number);
    }

    async fn handle_response(
        &mut self,
        response: HeartbeatResponse,
        sent_ms: u64,
        lease_until_ms: u64,
    ) {
        self.failures = 0;
        let has_ends = !response.ended.is_empty();
        self.log_ends(&response.ended);
        let report = HeartbeatReport {
            sent_ms,
            lease_until_ms,
            incarnation: response.incarnation,
            running: response.running,
            ended: response.ended,
            has_more_ends: response.has_more_ends,
        };
        let lacks_entry = {
            let mut scheduler = lock(&self.term.scheduler);
            scheduler.heartbeat(&self.to.worker, report, boot_ms());
            scheduler.lacks_entry(&self.to.worker)
        };
        if lacks_entry {
            self.term.request_list();
        }
        self.term.wake();
        if !has_ends {
            return;
        }
        let stored = self.term.journal.when_stored();
        // The channel closes when the ends are stored.
        if timeout_ms(STORE_WAIT_MS, stored.recv()).await.is_ok() && !self.term.is_over() {
            self.acked_end = response.last_end;
        }
    }

    fn log_ends(&self, ended: &[EndedRun]) {
        let log = &self.term.cell.deps.log;
        for end in ended {
            let worker = &self.to.worker;
            match end.cause {
                EndCause::Done => {}
                EndCause::Failed => {
                    log_event!(log, RUN_FAILED; "task" => end.task.to_string(),
                        "run" => end.run, "worker" => worker.to_string());
                }
                EndCause::Interrupted => {
                    log_event!(log, RUN_INTERRUPTED; "task" => end.task.to_string(),
                        "run" => end.run, "worker" => worker.to_string());
                }
            }
        }
    }

    /// Handles a failed heartbeat; returns false when another incarnation of the worker answers or another instance
    /// leads.
    async fn handle_failure(&mut self, err: &WorkerError) -> bool {
        match err {
            WorkerError::OtherIncarnation { .. } => {
                self.log_replaced();
                lock(&self.term.scheduler).remove_worker(&self.to.worker, boot_ms());
                self.term.wake();
                return false;
            }
            WorkerError::Fenced { .. } => {
                self.term.step_down("a worker has seen a later leader");
                return false;
            }
            _ => {}
        }
        if self.failures == 0 {
            self.term.cell.deps.metrics.record_worker_lost();
            log_event!(self.term.cell.deps.log, WORKER_LOST;
                "worker" => self.to.worker.to_string(), "problem" => err.to_string());
        }
        // The next incarnation has another clock.
        let now_ms = self.handle.forget_clock();
        let timing = &self.term.cell.cfg.timing;
        lock(&self.term.unanswered).record_silence(&self.to.worker, now_ms, timing);
        lock(&self.term.scheduler).mark_unreachable(&self.to.worker);
        self.term.wake();
        let backoff_ms = RETRY_BACKOFF_MS[self.failures.min(RETRY_BACKOFF_MS.len() - 1)];
        self.failures += 1;
        sleep_ms(backoff_ms).await;
        true
    }
}
