//! The pool of connections to one backend server.

use {
    crate::{
        NotRunReason, PoolLimits, PoolStats, SendOptions, SendResult, Slot, UnknownReason,
        state::{Job, Place, Shared},
        task::ConnectionTask,
    },
    ragwortreel_http::Request,
    ragwortreel_runtime::{Logger, sleep_ms, spawn},
    std::{net::SocketAddr, sync::Arc, time::Instant},
};

/// Pause while a connection is being closed; closing takes microseconds.
const CLOSING_MS: u64 = 1;

/// Connections to one backend server; shared by reference.
pub struct BackendPool {
    shared: Arc<Shared>,
}

impl BackendPool {
    /// Makes a pool without connections.
    #[must_use]
    pub fn new(peer: SocketAddr, limits: PoolLimits, log: Logger) -> Self {
        Self {
            shared: Arc::new(Shared::new(peer, limits, log)),
        }
    }

    /// Address of the backend server.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.shared.peer
    }

    /// Counts of the pool.
    #[must_use]
    pub fn stats(&self) -> PoolStats {
        self.shared.stats()
    }

    /// Changes the most connections, when this instance's share of the backend server changes.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.shared.set_max_connections(max_connections);
    }

    /// Sends a request and waits for its whole response until the deadline.
    ///
    /// The request is sent at most once: another connection is used only when no byte was sent on the first. It is
    /// not queued here; when all connections are in use it ends at once. Dropping the future does not end the
    /// exchange.
    pub async fn send(&self, request: Request, terms: SendOptions) -> SendResult {
        self.send_job(request, terms, None).await
    }

    /// Like [`BackendPool::send`], but ends the exchange and closes its connection when the slot is lost.
    ///
    /// The result comes after the connection no longer counts as open.
    pub async fn send_in_slot(
        &self,
        request: Request,
        terms: SendOptions,
        slot: Arc<dyn Slot>,
    ) -> SendResult {
        self.send_job(request, terms, Some(slot)).await
    }

    async fn send_job(
        &self,
        request: Request,
        terms: SendOptions,
        slot: Option<Arc<dyn Slot>>,
    ) -> SendResult {
        let peer = self.shared.peer;
        let (reply, reply_rx) = async_channel::bounded(1);
        let job = Job {
            request,
            terms,
            slot,
            reply,
        };
        loop {
            if self.shared.stop.is_requested() {
                return SendResult::NotRun(NotRunReason::Draining { peer });
            }
            if Instant::now() >= terms.deadline {
                return SendResult::NotRun(NotRunReason::Expired { peer });
            }
            match self.shared.place(terms.class) {
                Place::Idle(job_tx) => {
                    // There is room, because an idle connection is taken for one request at a time.
                    if job_tx.try_send(job).is_err() {
                        return SendResult::NotRun(NotRunReason::Draining { peer });
                    }
                    break;
                }
                Place::New(permit) => {
                    let task = ConnectionTask::new(Arc::clone(&self.shared), permit);
                    spawn(task.run(job)).detach();
                    break;
                }
                Place::Soon => sleep_ms(CLOSING_MS).await,
                Place::Busy(connections) => {
                    return SendResult::NotRun(NotRunReason::Busy { peer, connections });
                }
            }
        }
        let result = reply_rx.recv().await;
        result.unwrap_or(SendResult::Unknown(UnknownReason::TaskEnded { peer }))
    }

    /// Refuses new requests, ends idle connections and waits until all requests in flight have their results.
    pub async fn drain(&self) {
        self.shared.stop.request();
        self.shared.stop.drained().await;
    }
}

impl Drop for BackendPool {
    fn drop(&mut self) {
        self.shared.stop.request();
    }
}
