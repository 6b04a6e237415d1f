//! The pool of connections to one backend server.

use {
    crate::{
        NotRunReason, PoolLimits, PoolStats, SendOptions, SendResult, Slot, UnknownReason,
        state::{Checkout, PendingRequest, Shared},
        task::ConnectionTask,
    },
    ragwortreel_http::Request,
    ragwortreel_runtime::{Logger, sleep_ms, spawn},
    std::{net::SocketAddr, sync::Arc, time::Instant},
};

/// Delay before another attempt while a connection is being closed; closing takes only microseconds.
const CLOSING_RETRY_MS: u64 = 1;

/// Pool of connections to one backend server; shared by reference.
pub struct BackendPool {
    shared: Arc<Shared>,
}

impl BackendPool {
    /// Creates a pool without connections.
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

    /// Current connection counts.
    #[must_use]
    pub fn stats(&self) -> PoolStats {
        self.shared.stats()
    }

    /// Sets the maximum number of connections after a change of this instance's share of the backend server.
    ///
    /// Surplus idle connections close at once, surplus busy ones after their requests.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.shared.set_max_connections(max_connections);
    }

    /// Sends a request and waits for the complete response until the deadline.
    ///
    /// The request is sent at most once: another connection is tried only if no byte was sent on the first. Requests
    /// are not queued; if all connections are in use, the call returns [`NotRunReason::Busy`] at once. Dropping the
    /// future does not abort the exchange.
    pub async fn send(&self, request: Request, options: SendOptions) -> SendResult {
        self.send_optional_slot(request, options, None).await
    }

    /// Like [`BackendPool::send`], but aborts the exchange and closes its connection if the slot is lost.
    ///
    /// The call then returns after the connection has stopped counting as open.
    pub async fn send_in_slot(
        &self,
        request: Request,
        options: SendOptions,
        slot: Arc<dyn Slot>,
    ) -> SendResult {
        self.send_optional_slot(request, options, Some(slot)).await
    }

    async fn send_optional_slot(
        &self,
        request: Request,
        options: SendOptions,
        slot: Option<Arc<dyn Slot>>,
    ) -> SendResult {
        let peer = self.shared.peer;
        let (reply_tx, reply_rx) = async_channel::bounded(1);
        let pending = PendingRequest {
            request,
            options,
            slot,
            reply_tx,
        };
        loop {
            if self.shared.stop.is_requested() {
                return SendResult::NotRun(NotRunReason::Draining { peer });
            }
            if Instant::now() >= options.deadline {
                return SendResult::NotRun(NotRunReason::Expired { peer });
            }
            match self.shared.check_out(options.class) {
                Checkout::Idle(request_tx) => {
                    // The channel has capacity, because an idle connection is taken for one request at a time.
                    if request_tx.try_send(pending).is_err() {
                        return SendResult::NotRun(NotRunReason::Draining { peer });
                    }
                    break;
                }
                Checkout::New(permit) => {
                    let task = ConnectionTask::new(Arc::clone(&self.shared), permit);
                    spawn(task.run(pending)).detach();
                    break;
                }
                Checkout::Closing => sleep_ms(CLOSING_RETRY_MS).await,
                Checkout::Exhausted(connections) => {
                    return SendResult::NotRun(NotRunReason::Busy { peer, connections });
                }
            }
        }
        let result = reply_rx.recv().await;
        result.unwrap_or(SendResult::Unknown(UnknownReason::TaskEnded { peer }))
    }

    /// Rejects new requests, closes idle connections, and waits until the requests in flight have ended.
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
