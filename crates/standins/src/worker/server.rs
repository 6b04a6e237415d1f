//! HTTP server of the worker stand-in.

use {
    crate::{
        faults::FaultInjector,
        listener::{Reply, RequestHandler, ServerHandle, listen},
        platform::caller_zone,
        worker::{
            fleet::{FakeWorker, WorkerCall, WorkerCallError, WorkerReply},
            state::CommandKind,
        },
    },
    async_trait::async_trait,
    ragwortreel_http::{MAX_JSON_BYTES, Method, Request, Response, json_response, parse_json},
    serde::{Serialize, de::DeserializeOwned},
    std::{io, net::SocketAddr, sync::Arc},
};

/// Largest body of a start request, which has many runs with payloads of up to 64 KiB.
const MAX_START_BYTES: usize = 16 * MAX_JSON_BYTES;

struct WorkerHandler(Arc<FakeWorker>);

/// Starts the HTTP server of a worker; port 0 selects a free port.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub fn serve_worker(addr: SocketAddr, worker: Arc<FakeWorker>) -> io::Result<ServerHandle> {
    listen(addr, Arc::new(WorkerHandler(worker)))
}

impl WorkerHandler {
    fn handle_control(&self, req: &Request) -> Response {
        match (req.method, req.path_only()) {
            (Method::Get, "/standin/counts") => json(200, &self.0.counts()),
            (Method::Get, "/standin/runs") => json(200, &self.0.records()),
            (Method::Post, "/standin/restart") => {
                self.0.restart();
                Response::new(204)
            }
            _ => Response::new(404),
        }
    }
}

#[async_trait]
impl RequestHandler for WorkerHandler {
    async fn handle(&self, req: Request) -> Reply {
        if req.path_only().starts_with("/standin/") {
            return Reply::Respond(self.handle_control(&req));
        }
        let call = match parse_call(&req) {
            Ok(call) => call,
            Err(status) => return Reply::Respond(Response::new(status)),
        };
        match self.0.call_from(caller_zone(&req).as_ref(), call).await {
            Ok(WorkerReply::Report(report)) => Reply::Respond(json(200, &report)),
            Ok(WorkerReply::Started(started)) => Reply::Respond(json(200, &started)),
            Ok(WorkerReply::Done) => Reply::Respond(Response::new(204)),
            Err(WorkerCallError::Fenced(fenced)) => Reply::Respond(json(409, &fenced)),
            Err(WorkerCallError::Unavailable) => Reply::Respond(Response::new(503)),
            Err(WorkerCallError::RequestLost | WorkerCallError::ReplyLost) => Reply::Silent,
        }
    }

    fn faults(&self) -> &FaultInjector {
        self.0.faults()
    }
}

fn json<T: Serialize>(status: u16, value: &T) -> Response {
    json_response(status, value).unwrap_or_else(|_| Response::new(500))
}

fn parse_body<T: DeserializeOwned>(req: &Request) -> Result<T, u16> {
    parse_json(&req.body, MAX_START_BYTES).map_err(|_| 400)
}

// Parses the command of a request; an error is the status of the response.
fn parse_call(req: &Request) -> Result<WorkerCall, u16> {
    if req.method != Method::Post {
        return Err(405);
    }
    let command = |kind| Ok(WorkerCall::Task(kind, parse_body(req)?));
    match req.path_only() {
        "/v1/heartbeat" => parse_body(req).map(WorkerCall::Heartbeat),
        "/v1/start" => parse_body(req).map(WorkerCall::Start),
        "/v1/stop" => command(CommandKind::Stop),
        "/v1/checkpoint" => command(CommandKind::Checkpoint),
        "/v1/throttle" => command(CommandKind::Throttle),
        _ => Err(404),
    }
}
