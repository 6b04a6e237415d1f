//! HTTP client for workers.
//!
//! Status 409 with the highest epoch seen by the worker means that the sender is fenced; the other statuses from 400 to
//! 429 and status 503 mean that the call had no effect. After any other failure the outcome is unknown, unless no byte
//! of the request was sent. After a timeout all idle connections to the worker are closed, because established
//! connections can hang while new ones work.

use {
    crate::{
        api::{
            HeartbeatReply, HeartbeatRequest, StartReply, StartRequest, TaskCommand, WorkerClient,
            WorkerConnector, WorkerError,
        },
        events,
    },
    async_trait::async_trait,
    ragwortreel_http::{
        Client, ClientError, ClientLimits, Method, Response, Sent, json_request, parse_json,
    },
    ragwortreel_model::{Epoch, Zone},
    ragwortreel_runtime::{Logger, log_event},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Maximum size of a response body, enough for a report of several thousand tasks.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of idle connections to each worker: one for heartbeats, one for commands.
const MAX_IDLE_CONNECTIONS: usize = 2;
/// Time after which an idle connection is closed instead of reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Request header with the availability zone of the sending instance.
const ZONE_HEADER: &str = "ragwortreel-zone";

/// Timeouts of calls to a worker.
#[derive(Debug, Clone, Copy)]
pub struct WorkerTimeouts {
    /// Timeout of a heartbeat, well below [`TASK_LEASE_MS`](crate::TASK_LEASE_MS), so that several heartbeats fit into
    /// a lease.
    pub heartbeat: Duration,
    /// Timeout of any other call.
    pub command: Duration,
}

impl Default for WorkerTimeouts {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            command: Duration::from_secs(2),
        }
    }
}

/// [`WorkerConnector`] that creates HTTP clients, each with its own connections.
#[derive(Clone)]
pub struct HttpWorkerConnector {
    zone: Zone,
    timeouts: WorkerTimeouts,
    log: Logger,
}

impl HttpWorkerConnector {
    /// Creates a connector for an instance in `zone`; the clients log failed calls to `log`.
    #[must_use]
    pub fn new(zone: Zone, timeouts: WorkerTimeouts, log: Logger) -> Self {
        Self {
            zone,
            timeouts,
            log,
        }
    }
}

impl WorkerConnector for HttpWorkerConnector {
    fn connect(&self, address: SocketAddr) -> Arc<dyn WorkerClient> {
        Arc::new(HttpWorkerClient {
            connector: self.clone(),
            peer: address,
            client: Client::new(ClientLimits {
                max_body_bytes: MAX_RESPONSE_BYTES,
                max_idle_per_address: MAX_IDLE_CONNECTIONS,
                idle_timeout: IDLE_TIMEOUT,
                ..ClientLimits::default()
            }),
        })
    }
}

struct HttpWorkerClient {
    connector: HttpWorkerConnector,
    peer: SocketAddr,
    client: Client,
}

/// Body of a response with status 409.
#[derive(Deserialize)]
struct FencedBody {
    seen: Epoch,
}

/// Parameters of a call to a worker.
#[derive(Clone, Copy)]
struct Call {
    step: &'static str,
    path: &'static str,
    epoch: Epoch,
    timeout: Duration,
}

impl HttpWorkerClient {
    fn command_call(&self, step: &'static str, path: &'static str, epoch: Epoch) -> Call {
        Call {
            step,
            path,
            epoch,
            timeout: self.connector.timeouts.command,
        }
    }

    /// Sends a request and logs a failure.
    async fn send<T: Serialize + Sync>(
        &self,
        call: Call,
        body: &T,
    ) -> Result<Response, WorkerError> {
        let result = self.send_without_logging(call, body).await;
        let log = &self.connector.log;
        match &result {
            Ok(_) => {}
            Err(err @ WorkerError::Fenced { .. }) => {
                log_event!(log, events::WORKER_FENCED; "problem" => err.to_string());
            }
            Err(err) => {
                log_event!(log, events::WORKER_COMMAND_FAILED; "problem" => err.to_string());
            }
        }
        result
    }

    /// Sends a request and maps statuses and transport errors to [`WorkerError`].
    async fn send_without_logging<T: Serialize + Sync>(
        &self,
        call: Call,
        body: &T,
    ) -> Result<Response, WorkerError> {
        let req = json_request(Method::Post, call.path, body)
            .map_err(|err| self.not_done(call, &err.to_string()))?;
        let req = req.with_header(ZONE_HEADER, self.connector.zone.as_str());
        let deadline = Instant::now() + call.timeout;
        let response = self.client.send(self.peer, req, deadline).await;
        let response = response.map_err(|err| self.client_error(call, &err))?;
        match response.status {
            200..=299 => Ok(response),
            409 => Err(self.fenced(call, &response)),
            status @ (400..=429 | 503) => Err(self.not_done(call, &format!("status {status}"))),
            status => Err(self.unknown(call, &format!("status {status}"))),
        }
    }

    async fn send_and_parse<T: Serialize + Sync, R: DeserializeOwned>(
        &self,
        call: Call,
        body: &T,
    ) -> Result<R, WorkerError> {
        let response = self.send(call, body).await?;
        parse_json(&response.body, MAX_RESPONSE_BYTES)
            .map_err(|err| self.unknown(call, &err.to_string()))
    }

    async fn send_command(&self, call: Call, req: &TaskCommand) -> Result<(), WorkerError> {
        self.send(call, req).await.map(drop)
    }

    /// Converts a response with status 409 to `Fenced`, or to `NotDone` when its body does not contain the highest
    /// epoch that the worker has seen.
    fn fenced(&self, call: Call, response: &Response) -> WorkerError {
        match parse_json::<FencedBody>(&response.body, MAX_RESPONSE_BYTES) {
            Ok(FencedBody { seen }) => WorkerError::Fenced {
                step: call.step,
                peer: self.peer,
                epoch: call.epoch,
                seen,
            },
            Err(err) => self.not_done(call, &format!("status 409: {err}")),
        }
    }

    fn client_error(&self, call: Call, err: &ClientError) -> WorkerError {
        let problem = format!("{}: {}", err.step, err.cause);
        match err.sent {
            Sent::Nothing => self.not_done(call, &problem),
            Sent::Maybe => self.unknown(call, &problem),
        }
    }

    fn not_done(&self, call: Call, problem: &str) -> WorkerError {
        WorkerError::NotDone {
            step: call.step,
            peer: self.peer,
            problem: Arc::from(problem),
        }
    }

    fn unknown(&self, call: Call, problem: &str) -> WorkerError {
        WorkerError::Unknown {
            step: call.step,
            peer: self.peer,
            problem: Arc::from(problem),
        }
    }
}

#[async_trait]
impl WorkerClient for HttpWorkerClient {
    async fn heartbeat(&self, req: &HeartbeatRequest) -> Result<HeartbeatReply, WorkerError> {
        let call = Call {
            timeout: self.connector.timeouts.heartbeat,
            ..self.command_call("heartbeat", "/v1/heartbeat", req.epoch)
        };
        self.send_and_parse(call, req).await
    }

    async fn start(&self, req: &StartRequest) -> Result<StartReply, WorkerError> {
        let call = self.command_call("start", "/v1/start", req.epoch);
        let reply: StartReply = self.send_and_parse(call, req).await?;
        if reply.taken.len() != req.runs.len() {
            let problem = format!(
                "expected the results of {} runs, found {}",
                req.runs.len(),
                reply.taken.len()
            );
            return Err(self.unknown(call, &problem));
        }
        Ok(reply)
    }

    async fn stop(&self, req: &TaskCommand) -> Result<(), WorkerError> {
        let call = self.command_call("stop", "/v1/stop", req.epoch);
        self.send_command(call, req).await
    }

    async fn checkpoint(&self, req: &TaskCommand) -> Result<(), WorkerError> {
        let call = self.command_call("checkpoint", "/v1/checkpoint", req.epoch);
        self.send_command(call, req).await
    }

    async fn throttle(&self, req: &TaskCommand) -> Result<(), WorkerError> {
        let call = self.command_call("throttle", "/v1/throttle", req.epoch);
        self.send_command(call, req).await
    }
}
