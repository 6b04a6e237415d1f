//! HTTP server of the backend server stand-in.
//!
//! The first segment of the path is the class of work, such as `short` in `/short/x`. The query can set the service
//! time (`work_ms=20`) and the size of the response (`bytes=1000`). The response echoes the nonce of the request
//! (header `x-nonce` or parameter `nonce`), so that a client detects a response to another request.

use {
    crate::{
        backend::request_log::{BackendCounts, RequestLog, RequestRecord},
        faults::{FaultInjector, Outage},
        listener::{Reply, RequestHandler, ServerHandle, listen},
        platform::{caller_zone, query_values},
    },
    async_trait::async_trait,
    ragwortreel_http::{Method, Request, Response, json_response},
    ragwortreel_model::{InstanceId, ServiceName, Workspace, Zone},
    ragwortreel_runtime::sleep_ms,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
};

/// Upper bound of the parameter `bytes`.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Service time of the requests of one class of work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTime {
    /// Minimum service time, in ms.
    pub ms: u64,
    /// Upper bound of the random time added to `ms`, in ms.
    pub jitter_ms: u64,
}

/// Service, limits and service times of a backend server.
///
/// The limits are not enforced: load beyond them is served and counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSpec {
    /// Name in the instance list.
    pub id: InstanceId,
    /// Availability zone in the instance list.
    pub zone: Zone,
    /// Workspace that owns the service.
    pub workspace: Workspace,
    /// Name of the service.
    pub service: ServiceName,
    /// Limit of concurrent requests.
    #[serde(default = "default_slots")]
    pub slots: u64,
    /// Limit of open connections.
    #[serde(default = "default_connections")]
    pub connections: u64,
    /// Service times by class of work; requests of other classes take no time.
    #[serde(default)]
    pub classes: BTreeMap<Arc<str>, ServiceTime>,
}

fn default_slots() -> u64 {
    8
}

fn default_connections() -> u64 {
    64
}

/// Backend server stand-in.
#[derive(Debug)]
pub struct Backend {
    spec: BackendSpec,
    started_at: Instant,
    log: Mutex<RequestLog>,
    faults: FaultInjector,
}

/// JSON body of a response.
#[derive(Serialize)]
struct ResponseBody<'a> {
    backend: &'a InstanceId,
    number: u64,
    nonce: Option<&'a str>,
    #[serde(skip_serializing_if = "str::is_empty")]
    padding: &'a str,
}

impl Backend {
    /// Creates a backend server; `seed` determines its random faults.
    #[must_use]
    pub fn new(spec: BackendSpec, seed: u64) -> Arc<Self> {
        Arc::new(Self {
            spec,
            started_at: Instant::now(),
            log: Mutex::default(),
            faults: FaultInjector::new(seed),
        })
    }

    fn lock(&self) -> MutexGuard<'_, RequestLog> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the service, limits and service times.
    #[must_use]
    pub fn spec(&self) -> &BackendSpec {
        &self.spec
    }

    /// Returns the fault injector.
    #[must_use]
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    /// Returns the load counters.
    #[must_use]
    pub fn counts(&self) -> BackendCounts {
        self.lock().counts
    }

    /// Returns the records of the last 200,000 requests, oldest first.
    #[must_use]
    pub fn records(&self) -> Vec<RequestRecord> {
        self.lock().records()
    }

    /// Starts the drain: later requests are served and counted in `requests_after_drain`.
    pub fn drain(&self) {
        let now_ms = self.now_ms();
        self.lock().drain_started_ms.get_or_insert(now_ms);
    }

    fn work_ms(&self, req: &Request, class: &str) -> u64 {
        let requested = query_values(req, "work_ms").next();
        if let Some(work_ms) = requested.and_then(|value| value.parse().ok()) {
            return work_ms;
        }
        let time = self.spec.classes.get(class).copied().unwrap_or_default();
        time.ms + fastrand::u64(0..=time.jitter_ms)
    }

    fn new_record(&self, req: &Request, class: &Arc<str>) -> RequestRecord {
        let nonce = req.headers.get("x-nonce").map(Arc::from);
        RequestRecord {
            number: 0,
            backend: self.spec.id.clone(),
            method: Arc::from(req.method.as_ref()),
            path: Arc::from(req.path.as_str()),
            idempotency_key: req.headers.get("idempotency-key").map(Arc::from),
            nonce: nonce.or_else(|| query_values(req, "nonce").next()),
            class: Arc::clone(class),
            started_ms: self.now_ms(),
            ended_ms: None,
        }
    }

    // Records a request, waits for its service time and builds the response. A request that has arrived is processed to
    // its end, even if its caller has disconnected or the response will be lost.
    async fn process(&self, req: &Request, added_ms: u64, fail: bool) -> Response {
        let class = class_of(req);
        let record = self.new_record(req, &class);
        let nonce = record.nonce.clone();
        let work_ms = self.work_ms(req, &class) + added_ms;
        let number = self.lock().start(record, self.spec.slots);
        if work_ms > 0 {
            sleep_ms(work_ms).await;
        }
        let now_ms = self.now_ms();
        self.lock().end(number, now_ms);
        if fail {
            return Response::text(500, "failed on request\n");
        }
        self.response(req, number, nonce.as_deref())
    }

    fn response(&self, req: &Request, number: u64, nonce: Option<&str>) -> Response {
        let bytes = query_values(req, "bytes").next();
        let bytes = bytes.and_then(|value| value.parse().ok()).unwrap_or(0);
        let padding = "x".repeat(MAX_RESPONSE_BYTES.min(bytes));
        let body = ResponseBody {
            backend: &self.spec.id,
            number,
            nonce,
            padding: &padding,
        };
        let response = json_response(200, &body).unwrap_or_else(|_| Response::new(500));
        match nonce {
            Some(nonce) => response.with_header("x-nonce", nonce),
            None => response,
        }
    }

    fn handle_control(&self, req: &Request) -> Response {
        let response = match (req.method, req.path_only()) {
            (Method::Get, "/standin/counts") => json_response(200, &self.counts()),
            (Method::Get, "/standin/records") => json_response(200, &self.records()),
            (Method::Post, "/standin/drain") => {
                self.drain();
                json_response(200, &self.counts())
            }
            _ => return Response::new(404),
        };
        response.unwrap_or_else(|_| Response::new(500))
    }
}

fn class_of(req: &Request) -> Arc<str> {
    let first = req.path_only().split('/').find(|part| !part.is_empty());
    Arc::from(first.unwrap_or("short"))
}

#[async_trait]
impl RequestHandler for Backend {
    async fn handle(&self, req: Request) -> Reply {
        if req.path_only().starts_with("/standin/") {
            return Reply::Respond(self.handle_control(&req));
        }
        let decision = self.faults.decide(caller_zone(&req).as_ref());
        match decision.outage {
            Some(Outage::Refuse) => return Reply::Close,
            Some(Outage::Silent) => return Reply::Silent,
            None => {}
        }
        if decision.delay_ms > 0 {
            sleep_ms(decision.delay_ms).await;
        }
        let slow_ms = self.faults.current().slow_ms;
        let response = self.process(&req, slow_ms, decision.fail).await;
        if decision.lose_reply {
            return Reply::Silent;
        }
        Reply::Respond(response)
    }

    fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    fn connections_changed(&self, open: u64) {
        self.lock().set_connections(open, self.spec.connections);
    }
}

/// Starts the HTTP server of a backend server; port 0 selects a free port.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub fn serve_backend(addr: SocketAddr, backend: Arc<Backend>) -> io::Result<ServerHandle> {
    listen(addr, backend)
}
