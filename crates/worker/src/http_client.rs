//! HTTP client for workers.
//!
//! Status 409 with the highest seen epoch means fenced; 400 to 429 and 503 mean that nothing was done. Any other
//! failure after a byte was sent leaves the outcome unknown. After a time limit all idle connections to the worker are
//! given up, because open connections can go silent while new ones work.

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

/// Largest response: a report of several thousand tasks.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Idle connections kept for each worker: one for heartbeats, one for commands.
const MAX_IDLE: usize = 2;
/// Time after which an idle connection is not used again.
const IDLE_TIME: Duration = Duration::from_secs(15);
const ZONE_HEADER: &str = "ragwortreel-zone";

/// Time limits of calls to a worker.
#[derive(Debug, Clone, Copy)]
pub struct WorkerTimeouts {
    /// Limit of a heartbeat, well below the lease, so that several fit into it.
    pub heartbeat: Duration,
    /// Limit of any other command.
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

/// Makes clients, each with connections of its own.
#[derive(Clone)]
pub struct HttpWorkerConnector {
    zone: Zone,
    timeouts: WorkerTimeouts,
    log: Logger,
}

impl HttpWorkerConnector {
    /// Makes a connector for an instance in a zone; failed commands are logged.
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
        Arc::new(HttpWorker {
            connector: self.clone(),
            peer: address,
            client: Client::new(ClientLimits {
                max_body_bytes: MAX_RESPONSE_BYTES,
                max_idle_per_address: MAX_IDLE,
                idle_timeout: IDLE_TIME,
                ..ClientLimits::default()
            }),
        })
    }
}

struct HttpWorker {
    connector: HttpWorkerConnector,
    peer: SocketAddr,
    client: Client,
}

/// Body of a response with status 409.
#[derive(Deserialize)]
struct FencedBody {
    seen: Epoch,
}

/// A call to a worker, as errors name it.
#[derive(Clone, Copy)]
struct Call {
    step: &'static str,
    path: &'static str,
    epoch: Epoch,
    limit: Duration,
}

impl HttpWorker {
    fn command(&self, step: &'static str, path: &'static str, epoch: Epoch) -> Call {
        Call {
            step,
            path,
            epoch,
            limit: self.connector.timeouts.command,
        }
    }

    async fn send<T: Serialize + Sync>(
        &self,
        call: Call,
        body: &T,
    ) -> Result<Response, WorkerError> {
        let result = self.send_unlogged(call, body).await;
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

    async fn send_unlogged<T: Serialize + Sync>(
        &self,
        call: Call,
        body: &T,
    ) -> Result<Response, WorkerError> {
        let req = json_request(Method::Post, call.path, body)
            .map_err(|err| self.not_done(call, &err.to_string()))?;
        let req = req.with_header(ZONE_HEADER, self.connector.zone.as_str());
        let deadline = Instant::now() + call.limit;
        let response = self.client.send(self.peer, req, deadline).await;
        let response = response.map_err(|err| self.client_error(call, &err))?;
        match response.status {
            200..=299 => Ok(response),
            409 => Err(self.fenced(call, &response)),
            status @ (400..=429 | 503) => Err(self.not_done(call, &format!("status {status}"))),
            status => Err(self.unknown(call, &format!("status {status}"))),
        }
    }

    async fn ask<T: Serialize + Sync, R: DeserializeOwned>(
        &self,
        call: Call,
        body: &T,
    ) -> Result<R, WorkerError> {
        let response = self.send(call, body).await?;
        parse_json(&response.body, MAX_RESPONSE_BYTES)
            .map_err(|err| self.unknown(call, &err.to_string()))
    }

    async fn order(&self, call: Call, req: &TaskCommand) -> Result<(), WorkerError> {
        self.send(call, req).await.map(drop)
    }

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
impl WorkerClient for HttpWorker {
    async fn heartbeat(&self, req: &HeartbeatRequest) -> Result<HeartbeatReply, WorkerError> {
        let call = Call {
            limit: self.connector.timeouts.heartbeat,
            ..self.command("heartbeat", "/v1/heartbeat", req.epoch)
        };
        self.ask(call, req).await
    }

    async fn start(&self, req: &StartRequest) -> Result<StartReply, WorkerError> {
        let call = self.command("start", "/v1/start", req.epoch);
        let reply: StartReply = self.ask(call, req).await?;
        if reply.taken.len() != req.runs.len() {
            return Err(self.unknown(call, "the reply is for another number of runs"));
        }
        Ok(reply)
    }

    async fn stop(&self, req: &TaskCommand) -> Result<(), WorkerError> {
        let call = self.command("stop", "/v1/stop", req.epoch);
        self.order(call, req).await
    }

    async fn checkpoint(&self, req: &TaskCommand) -> Result<(), WorkerError> {
        let call = self.command("checkpoint", "/v1/checkpoint", req.epoch);
        self.order(call, req).await
    }

    async fn throttle(&self, req: &TaskCommand) -> Result<(), WorkerError> {
        let call = self.command("throttle", "/v1/throttle", req.epoch);
        self.order(call, req).await
    }
}
