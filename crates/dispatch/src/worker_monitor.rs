//! The loop that watches one worker: it keeps what runs there alive, and learns what ended.
//!
//! The worker answers a heartbeat when something ends, or after a while. Ends are acknowledged by the next heartbeat, which is sent
//! only after they are stored.

use {
    crate::{
        api::{HeartbeatRequest, HeartbeatResponse, WorkerEndpoint, WorkerError},
        events::{RUN_FAILED, RUN_INTERRUPTED, WORKER_LOST, WORKER_REACHED, WORKER_REPLACED},
        orders::{ClockReading, Order, WorkerHandle, send_orders},
        term::Term,
    },
    async_channel::Receiver,
    ragwortreel_model::WorkerId,
    ragwortreel_runtime::{boot_ms, lock, log_event, sleep_ms, timeout_ms},
    ragwortreel_workflow::{EndCause, EndedRun, HeartbeatReport},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Pauses after heartbeats that were not answered, in ms; the last one is repeated.
const PAUSES_MS: [u64; 4] = [50, 150, 300, 600];
/// Longest time to wait for ends to be stored before the worker is kept alive by another heartbeat, in ms.
const STORED_WAIT_MS: u64 = 1_500;

struct Watch {
    term: Arc<Term>,
    to: WorkerEndpoint,
    handle: WorkerHandle,
    started_ms: Option<u64>,
    acked_end: u64,
    failures: usize,
}

/// Watches a worker until the term or the worker's life is over.
pub(crate) async fn run_worker(
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
    let orders = term.spawn_task("orders", sender);
    let mut watch = Watch {
        term: Arc::clone(&term),
        to,
        handle,
        started_ms: None,
        acked_end: 0,
        failures: 0,
    };
    while !term.is_over() && lock(&term.scheduler).has_worker(&worker) {
        if !watch.step().await {
            break;
        }
    }
    drop(orders);
    lock(&term.workers).remove(&worker);
    term.workers_changed.fetch_add(1, Ordering::Release);
}

impl Watch {
    /// Looks once; false when the worker's life is over.
    async fn step(&mut self) -> bool {
        let timing = &self.term.cell.cfg.timing;
        if !self.term.may_keep() {
            sleep_ms(PAUSES_MS[0]).await;
            return true;
        }
        let sent_ms = boot_ms();
        let clock = *lock(&self.handle.clock);
        // A worker that does not answer is only asked: an order to keep its tasks might arrive, and its lease would never
        // be over.
        let keep = clock.filter(|_| self.failures == 0);
        let lease_expires_ms = keep.map(|clock| clock.at(sent_ms) + timing.lease_ms);
        let is_first = keep.is_none();
        let order = HeartbeatRequest {
            lease_expires_ms,
            acked_end: self.acked_end,
            wait: if is_first {
                Duration::ZERO
            } else {
                let max_wait_ms = lock(&self.term.scheduler).max_heartbeat_wait_ms(&self.to.worker);
                timing
                    .heartbeat_wait
                    .min(Duration::from_millis(max_wait_ms))
            },
        };
        let lease_until_ms = sent_ms + timing.lease_bound_ms();
        if lease_expires_ms.is_some() {
            lock(&self.term.scheduler).extend_lease(&self.to.worker, lease_until_ms);
        }
        let result = self.term.cell.deps.workers.heartbeat(&self.to, order).await;
        match result {
            Ok(answer) => {
                let read_ms = boot_ms();
                *lock(&self.handle.clock) = Some(ClockReading {
                    worker_ms: answer.clock_ms,
                    read_ms,
                });
                let is_known = self.started_ms.is_some() && self.failures == 0;
                self.note_life(&answer);
                if !is_known {
                    log_event!(self.term.cell.deps.log, WORKER_REACHED;
                        "worker" => self.to.worker.to_string(),
                        "running" => answer.running.len(), "failures" => self.failures);
                }
                self.answered(answer, sent_ms, lease_until_ms).await;
                true
            }
            Err(err) => self.failed(&err).await,
        }
    }

    /// Notes a new life under the same name; its ends are numbered anew.
    ///
    /// Orders that were on their way when it began may have started tasks there, so the list of this answer decides what
    /// of the former life's runs is gone.
    fn note_life(&mut self, answer: &HeartbeatResponse) {
        let former = self.started_ms.replace(answer.started_ms);
        if former.is_some_and(|former| former != answer.started_ms) {
            self.replaced();
            self.acked_end = 0;
        }
    }

    fn replaced(&self) {
        log_event!(self.term.cell.deps.log, WORKER_REPLACED;
            "worker" => self.to.worker.to_string(), "term" => self.term.number);
    }

    async fn answered(&mut self, answer: HeartbeatResponse, sent_ms: u64, lease_until_ms: u64) {
        self.failures = 0;
        let has_ends = !answer.ended.is_empty();
        self.log_ends(&answer.ended);
        let report = HeartbeatReport {
            sent_ms,
            lease_until_ms,
            running: answer.running,
            ended: answer.ended,
        };
        lock(&self.term.scheduler).heartbeat(&self.to.worker, report, boot_ms());
        self.term.wake();
        if !has_ends {
            return;
        }
        let stored = self.term.journal.when_stored();
        // The channel closes when the ends are stored.
        if timeout_ms(STORED_WAIT_MS, stored.recv()).await.is_ok() && !self.term.is_over() {
            self.acked_end = answer.last_end;
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

    /// Notes a heartbeat without an answer; false when the worker's life is over.
    async fn failed(&mut self, err: &WorkerError) -> bool {
        match err {
            WorkerError::OtherIncarnation { .. } => {
                self.replaced();
                lock(&self.term.scheduler).remove_worker(&self.to.worker, boot_ms());
                self.term.wake();
                return false;
            }
            WorkerError::Fenced { .. } => {
                self.term.depose("a worker has seen a later leader");
                return false;
            }
            _ => {}
        }
        if self.failures == 0 {
            self.term.cell.deps.metrics.worker_lost();
            log_event!(self.term.cell.deps.log, WORKER_LOST;
                "worker" => self.to.worker.to_string(), "problem" => err.to_string());
        }
        lock(&self.term.scheduler).mark_unreachable(&self.to.worker);
        self.term.wake();
        let pause = PAUSES_MS[self.failures.min(PAUSES_MS.len() - 1)];
        self.failures += 1;
        sleep_ms(pause).await;
        true
    }
}
