//! Server of the calls between entry instances, over HTTP/2.

use {
    crate::{
        MAX_HEARTBEAT_BYTES, MAX_MESSAGE_BYTES,
        api::{EntryService, HelperService},
        connection::HyperExecutor,
        events::{ACCEPT_FAILED, CONNECTION_BROKEN, CONNECTION_REFUSED},
        generated::{
            AdviseReply, AdviseRequest, BurnCountsReply, BurnCountsRequest, ConfirmSlotEpochReply,
            ConfirmSlotEpochRequest, DrainReply, DrainRequest, ForwardedRequest, ForwardedResponse,
            HandRowsReply, HandRowsRequest, HeartbeatReply, HeartbeatRequest, JobMessage,
            JobReference, JobReply, JobStatesReply, JobStatesRequest, ReleaseSlotsReply,
            ReleaseSlotsRequest, SettingsTree, SettingsVersion,
            entry_server::{Entry, EntryServer as GeneratedServer},
            helper_server::{Helper, HelperServer},
        },
    },
    async_io::Async,
    async_trait::async_trait,
    futures_lite::future,
    hyper::{
        body::Incoming, rt::bounds::Http2ServerConnExec, server::conn::http2::Builder,
        service::service_fn,
    },
    ragwortreel_runtime::{
        Logger, Stop, catch_panic, log_event, sleep, spawn, timeout,
        traffic::{CountedStream, ENTRY_LINK},
    },
    smol_hyper::rt::{FuturesIo, SmolTimer},
    std::{
        future::Future,
        net::{SocketAddr, TcpListener, TcpStream},
        pin::pin,
        sync::Arc,
        time::Duration,
    },
    tonic::{Request, Response, Status, body::Body},
    tower_service::Service,
};

/// Limit of open connections: two from each instance of the largest planned cell, which has 1,160.
const MAX_CONNECTIONS: usize = 2_400;
/// Limit of calls in flight on one connection.
const MAX_STREAMS: u32 = 256;
/// Interval between the pings that probe a connection. The client's pings, one each second, detect a silent connection;
/// the server's pings only close connections whose peer no longer exists.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(15);
/// Timeout of a ping, after which the connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for calls in flight to finish after a stop was requested.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed accept, whose usual cause is that no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Listening socket for the connections of other entry instances.
#[derive(Debug)]
pub struct EntryServer {
    listener: Async<TcpListener>,
}

#[derive(Clone)]
struct EntryHandler {
    service: Arc<dyn EntryService>,
}

#[derive(Clone)]
struct HelperHandler {
    service: Arc<dyn HelperService>,
}

impl EntryServer {
    /// Binds the listening socket; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn bind(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self {
            listener: Async::<TcpListener>::bind(address)?,
        })
    }

    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// Returns an error when the operating system does not report the address.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.get_ref().local_addr()
    }

    /// Serves the calls of [`EntryService`] until the stop is requested, then waits up to 10 s for calls in flight to
    /// finish.
    pub async fn serve(self, service: Arc<dyn EntryService>, log: Logger, stop: Stop) {
        let handler = EntryHandler { service };
        let serve = move |stream, stop| serve_entry(stream, handler.clone(), stop);
        self.accept_loop(serve, log, stop).await;
    }

    /// Serves the calls between the cell's leader and the other instances until the stop is requested, then waits up to
    /// 10 s for calls in flight to finish.
    pub async fn serve_helper(self, service: Arc<dyn HelperService>, log: Logger, stop: Stop) {
        let handler = HelperHandler { service };
        let serve = move |stream, stop| {
            let service = HelperServer::new(handler.clone());
            let service = service_fn(move |req: http::Request<Incoming>| {
                service.clone().call(req.map(Body::new))
            });
            serve_connection(stream, service, stop)
        };
        self.accept_loop(serve, log, stop).await;
    }

    async fn accept_loop<F>(
        self,
        serve: impl Fn(Async<TcpStream>, Stop) -> F,
        log: Logger,
        stop: Stop,
    ) where
        F: Future<Output = Result<(), hyper::Error>> + Send + 'static,
    {
        // Never requested; its guards count the open connections.
        let connections = Stop::new();
        loop {
            let accepted = future::or(async { Some(self.listener.accept().await) }, async {
                stop.requested().await;
                None
            });
            let (stream, peer) = match accepted.await {
                None => break,
                Some(Ok(accepted)) => accepted,
                Some(Err(err)) => {
                    log_event!(log, ACCEPT_FAILED; "error" => err.to_string());
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            if connections.guards() >= MAX_CONNECTIONS {
                log_event!(log, CONNECTION_REFUSED; "peer" => peer.to_string());
                continue;
            }
            let guard = connections.guard();
            let log = log.clone();
            let connection = serve(stream, stop.clone());
            spawn(async move {
                if let Err(err) = connection.await {
                    log_event!(log, CONNECTION_BROKEN; "peer" => peer.to_string(), "error" => err.to_string());
                }
                drop(guard);
            })
            .detach();
        }
        drop(self.listener);
        let _ = timeout(DRAIN_TIMEOUT, connections.drained()).await;
    }
}

async fn serve_entry(
    stream: Async<TcpStream>,
    handler: EntryHandler,
    stop: Stop,
) -> Result<(), hyper::Error> {
    let with_size_limit = |bytes| {
        GeneratedServer::new(handler.clone())
            .max_decoding_message_size(bytes)
            .max_encoding_message_size(bytes)
    };
    let (heartbeats, others) = (
        with_size_limit(MAX_HEARTBEAT_BYTES),
        with_size_limit(MAX_MESSAGE_BYTES),
    );
    let service = service_fn(move |req: http::Request<Incoming>| {
        let is_heartbeat = req.uri().path().ends_with("/Heartbeat");
        let mut server = if is_heartbeat {
            heartbeats.clone()
        } else {
            others.clone()
        };
        server.call(req.map(Body::new))
    });
    serve_connection(stream, service, stop).await
}

async fn serve_connection<S>(
    stream: Async<TcpStream>,
    service: S,
    stop: Stop,
) -> Result<(), hyper::Error>
where
    S: hyper::service::Service<http::Request<Incoming>, Response = http::Response<Body>>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    HyperExecutor: Http2ServerConnExec<S::Future, Body>,
{
    let _ = stream.get_ref().set_nodelay(true);
    let mut connection = pin!(
        Builder::new(HyperExecutor)
            .timer(SmolTimer::new())
            .max_concurrent_streams(MAX_STREAMS)
            .keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .max_header_list_size(16 * 1024)
            .serve_connection(
                FuturesIo::new(CountedStream::new(stream, &ENTRY_LINK)),
                service
            )
    );
    let ended = future::or(async { Some(connection.as_mut().await) }, async {
        stop.requested().await;
        None
    });
    if let Some(result) = ended.await {
        return result;
    }
    connection.as_mut().graceful_shutdown();
    timeout(DRAIN_TIMEOUT, connection).await.unwrap_or(Ok(()))
}

macro_rules! impl_entry {
    ($($name:ident($req:ident) -> $reply:ident;)*) => {
        #[async_trait]
        impl Entry for EntryHandler {
            $(async fn $name(&self, req: Request<$req>) -> Result<Response<$reply>, Status> {
                Ok(Response::new(self.service.$name(req.into_inner()).await))
            })*
        }
    };
}

impl_entry! {
    heartbeat(HeartbeatRequest) -> HeartbeatReply;
    push_settings(SettingsTree) -> SettingsVersion;
    pull_settings(SettingsVersion) -> SettingsTree;
    confirm_slot_epoch(ConfirmSlotEpochRequest) -> ConfirmSlotEpochReply;
    release_slots(ReleaseSlotsRequest) -> ReleaseSlotsReply;
    forward_request(ForwardedRequest) -> ForwardedResponse;
    submit_job(JobMessage) -> JobReply;
    cancel_job(JobReference) -> JobReply;
    describe_job(JobReference) -> JobReply;
    drain(DrainRequest) -> DrainReply;
    burn_counts(BurnCountsRequest) -> BurnCountsReply;
}

/// Runs a handler; a panic in it fails only this call, with status `INTERNAL`.
async fn catch_handler_panic<T>(reply: impl Future<Output = T>) -> Result<Response<T>, Status> {
    let reply = catch_panic(reply).await.map_err(Status::internal)?;
    Ok(Response::new(reply))
}

#[async_trait]
impl Helper for HelperHandler {
    async fn advise(&self, req: Request<AdviseRequest>) -> Result<Response<AdviseReply>, Status> {
        catch_handler_panic(self.service.advise(req.into_inner())).await
    }

    async fn job_states(
        &self,
        req: Request<JobStatesRequest>,
    ) -> Result<Response<JobStatesReply>, Status> {
        catch_handler_panic(self.service.job_states(req.into_inner())).await
    }

    async fn hand_rows(
        &self,
        req: Request<HandRowsRequest>,
    ) -> Result<Response<HandRowsReply>, Status> {
        catch_handler_panic(self.service.hand_rows(req.into_inner())).await
    }
}
