//! HTTP form of a backend server.
//!
//! The class of work is the first segment of the path, such as `/short/x`. The query can set the service time
//! (`work_ms=20`) and the size of the response (`bytes=1000`). The response repeats the request's nonce (header
//! `x-nonce` or parameter `nonce`), so that a response to another request is noticed.

use {
    crate::{
        backend::request_log::{BackendCounts, Log, RequestRecord},
        faults::{FaultInjector, Outage},
        listener::{Reply, RequestHandler, ServerHandle, listen},
        platform::{parameters, zone_of},
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

/// Largest response that a request can ask for.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Time that a request of a class takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceTime {
    /// Least time, in ms.
    pub ms: u64,
    /// Most random time on top, in ms.
    pub jitter_ms: u64,
}

/// Description of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSpec {
    /// Name.
    pub id: InstanceId,
    /// Availability zone.
    pub zone: Zone,
    /// Workspace that offers the service.
    pub workspace: Workspace,
    /// The service.
    pub service: ServiceName,
    /// Requests that it can serve at once.
    #[serde(default = "default_slots")]
    pub slots: u64,
    /// Connections that it can hold.
    #[serde(default = "default_connections")]
    pub connections: u64,
    /// Service times by class of work; other classes take no time.
    #[serde(default)]
    pub classes: BTreeMap<Arc<str>, ServiceTime>,
}

fn default_slots() -> u64 {
    8
}

fn default_connections() -> u64 {
    64
}

/// A backend server.
#[derive(Debug)]
pub struct Backend {
    spec: BackendSpec,
    origin: Instant,
    log: Mutex<Log>,
    faults: FaultInjector,
}

/// Body of a response.
#[derive(Serialize)]
struct Answer<'a> {
    backend: &'a InstanceId,
    number: u64,
    nonce: Option<&'a str>,
    #[serde(skip_serializing_if = "str::is_empty")]
    padding: &'a str,
}

impl Backend {
    /// Makes a backend server; `seed` is that of its random faults.
    #[must_use]
    pub fn new(spec: BackendSpec, seed: u64) -> Arc<Self> {
        Arc::new(Self {
            spec,
            origin: Instant::now(),
            log: Mutex::default(),
            faults: FaultInjector::new(seed),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Log> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The description.
    #[must_use]
    pub fn spec(&self) -> &BackendSpec {
        &self.spec
    }

    /// The fault switches.
    #[must_use]
    pub fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    /// Load so far.
    #[must_use]
    pub fn counts(&self) -> BackendCounts {
        self.lock().counts
    }

    /// The requests so far, at most the last 200,000.
    #[must_use]
    pub fn records(&self) -> Vec<RequestRecord> {
        self.lock().records()
    }

    /// Begins the drain: from now on new requests are counted as late.
    pub fn drain(&self) {
        let now_ms = self.now_ms();
        self.lock().drain_from_ms.get_or_insert(now_ms);
    }

    fn work_ms(&self, req: &Request, class: &str) -> u64 {
        let asked = parameters(req, "work_ms").next();
        if let Some(work_ms) = asked.and_then(|value| value.parse().ok()) {
            return work_ms;
        }
        let time = self.spec.classes.get(class).copied().unwrap_or_default();
        time.ms + fastrand::u64(0..=time.jitter_ms)
    }

    fn record(&self, req: &Request, class: &Arc<str>) -> RequestRecord {
        let nonce = req.headers.get("x-nonce").map(Arc::from);
        RequestRecord {
            number: 0,
            backend: self.spec.id.clone(),
            method: Arc::from(req.method.as_ref()),
            path: Arc::from(req.path.as_str()),
            idempotency_key: req.headers.get("idempotency-key").map(Arc::from),
            nonce: nonce.or_else(|| parameters(req, "nonce").next()),
            class: Arc::clone(class),
            started_ms: self.now_ms(),
            ended_ms: None,
        }
    }

    // Does the work of a request. A request that has arrived is worked on to its end, whether or not anyone waits.
    async fn work(&self, req: &Request, extra_ms: u64, fail: bool) -> Response {
        let class = class_of(req);
        let record = self.record(req, &class);
        let nonce = record.nonce.clone();
        let work_ms = self.work_ms(req, &class) + extra_ms;
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
        let bytes = parameters(req, "bytes").next();
        let bytes = bytes.and_then(|value| value.parse().ok()).unwrap_or(0);
        let padding = "x".repeat(MAX_RESPONSE_BYTES.min(bytes));
        let answer = Answer {
            backend: &self.spec.id,
            number,
            nonce,
            padding: &padding,
        };
        let response = json_response(200, &answer).unwrap_or_else(|_| Response::new(500));
        match nonce {
            Some(nonce) => response.with_header("x-nonce", nonce),
            None => response,
        }
    }

    fn control(&self, req: &Request) -> Response {
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
            return Reply::Respond(self.control(&req));
        }
        let decision = self.faults.decide(zone_of(&req).as_ref());
        match decision.outage {
            Some(Outage::Refuse) => return Reply::Close,
            Some(Outage::Silent) => return Reply::Silent,
            None => {}
        }
        if decision.delay_ms > 0 {
            sleep_ms(decision.delay_ms).await;
        }
        let slow_ms = self.faults.current().slow_ms;
        let response = self.work(&req, slow_ms, decision.fail).await;
        if decision.lose_answer {
            return Reply::Silent;
        }
        Reply::Respond(response)
    }

    fn faults(&self) -> &FaultInjector {
        &self.faults
    }

    fn connections_changed(&self, open: u64) {
        self.lock().connections(open, self.spec.connections);
    }
}

/// Serves a backend server at an address.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub fn serve_backend(addr: SocketAddr, backend: Arc<Backend>) -> io::Result<ServerHandle> {
    listen(addr, backend)
}
