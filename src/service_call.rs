//! Requests to services: admission, attempts at backend servers, forwarding to other zones, at-most-once execution.

use {
    crate::{
        burn::BurnCounter,
        forward::Forwarder,
        telemetry::Telemetry,
        transport::{Reply, Target, Transport},
    },
    async_trait::async_trait,
    ragwortreel_caller::{CallReply, ServiceCall, ServiceCalls},
    ragwortreel_control::VersionedSettings,
    ragwortreel_http::{Method, Request, Response},
    ragwortreel_model::{Clock, Outcome, ServiceSettings, WorkClass},
    ragwortreel_platform::idempotency::{
        ClaimOutcome, IdempotencyClaims, StoredResponse, request_digest,
    },
    ragwortreel_routing::{
        BackendId, Permit, Refusal, RefusalReason, RequestInfo, RequestResult, Router,
    },
    ragwortreel_runtime::{Stop, spawn, timeout_at},
    std::{
        future::Future,
        sync::{Arc, PoisonError, RwLock},
        time::{Duration, Instant},
    },
};

/// Header that marks an answer that was stored by an earlier request with the same key.
const REPLAYED_HEADER: &str = "ragwortreel-replayed";
/// Path segments that distinguish routes of a service when run times are learned.
const ROUTE_SEGMENTS: usize = 2;
/// Longest text of a route.
const MAX_ROUTE_BYTES: usize = 64;

/// Components that all requests share.
pub struct ServiceRouterDeps {
    /// Admission and choice of backend servers.
    pub router: Router,
    /// Connections to backend servers.
    pub transport: Arc<dyn Transport>,
    /// Claims of non-idempotent requests.
    pub once: IdempotencyClaims,
    /// Requests to other instances.
    pub forwarder: Arc<dyn Forwarder>,
    /// Clock of the router.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub telemetry: Arc<Telemetry>,
    /// Counts for the burn report.
    pub burn: Arc<BurnCounter>,
    /// A graceful stop waits for requests in flight.
    pub stop: Stop,
}

/// Carries out requests to services; clones share it.
///
/// Each request runs in a task of its own, to its end even when its caller goes away: the backend server may still be
/// working on it, so its slot must stay taken.
#[derive(Clone)]
pub struct ServiceRouter {
    shared: Arc<Shared>,
}

struct Shared {
    parts: ServiceRouterDeps,
    settings: RwLock<Arc<VersionedSettings>>,
}

/// A request with what was found out about it.
struct Planned {
    call: ServiceCall,
    service: ServiceSettings,
    info: RequestInfo,
    deadline: Instant,
    silent_after: Duration,
}

/// Last attempt of a request, and whether any attempt may have run.
#[derive(Default)]
struct Attempts {
    count: u32,
    avoid: Vec<BackendId>,
    may_have_run: bool,
    reason: Arc<str>,
    last_answer: Option<Response>,
}

impl ServiceRouter {
    /// Makes a router with the settings in force.
    #[must_use]
    pub fn new(parts: ServiceRouterDeps, settings: Arc<VersionedSettings>) -> Self {
        Self {
            shared: Arc::new(Shared {
                parts,
                settings: RwLock::new(settings),
            }),
        }
    }

    /// Takes over newer settings.
    pub fn update_settings(&self, settings: Arc<VersionedSettings>) {
        self.shared.parts.router.update_settings(&settings.settings);
        *self
            .shared
            .settings
            .write()
            .unwrap_or_else(PoisonError::into_inner) = settings;
    }

    /// Carries out a request that another zone forwarded; it is not forwarded again.
    pub async fn call_local(&self, call: ServiceCall) -> CallReply {
        self.detached(|shared| async move {
            match shared.service_of(&call) {
                Ok((service, silent_after)) => {
                    let planned = shared.plan(call, service, silent_after);
                    shared.attempt(&planned, false).await
                }
                Err(reply) => reply,
            }
        })
        .await
    }

    /// Runs a request to its end, whether or not this future is dropped.
    async fn detached<F>(&self, run: impl FnOnce(Arc<Shared>) -> F) -> CallReply
    where
        F: Future<Output = CallReply> + Send + 'static,
    {
        let in_flight = self.shared.parts.stop.guard();
        let (tx, rx) = async_channel::bounded(1);
        let request = run(Arc::clone(&self.shared));
        spawn(async move {
            // There is room for the one reply; the caller may be gone.
            let _ = tx.try_send(request.await);
            drop(in_flight);
        })
        .detach();
        rx.recv()
            .await
            .unwrap_or_else(|_| unknown("the request's task ended"))
    }
}

#[async_trait]
impl ServiceCalls for ServiceRouter {
    async fn call(&self, call: ServiceCall) -> CallReply {
        self.detached(|shared| async move { shared.call(call).await })
            .await
    }
}

impl Shared {
    /// Settings of the called service, and the time after which its connections count as silent.
    fn service_of(&self, call: &ServiceCall) -> Result<(ServiceSettings, Duration), CallReply> {
        let settings = Arc::clone(&self.settings.read().unwrap_or_else(PoisonError::into_inner));
        let workspace = settings.settings.workspaces.get(&call.workspace);
        let Some(service) = workspace.and_then(|workspace| workspace.services.get(&call.service))
        else {
            let reason = format!(
                "no service {} of workspace {}",
                call.service, call.workspace
            );
            return Err(not_run(reason, None));
        };
        let silent_after = Duration::from_millis(settings.settings.cell.silent_after_ms);
        Ok((service.clone(), silent_after))
    }

    fn plan(&self, call: ServiceCall, service: ServiceSettings, silent_after: Duration) -> Planned {
        let deadline_ms = call
            .deadline_ms
            .unwrap_or(service.deadline_ms)
            .min(service.deadline_ms);
        let deadline = call.arrived + Duration::from_millis(deadline_ms);
        let left_ms = deadline
            .saturating_duration_since(Instant::now())
            .as_millis();
        let left_ms = u64::try_from(left_ms).unwrap_or(u64::MAX);
        let is_safe = matches!(call.method, Method::Get | Method::Head | Method::Options);
        let info = RequestInfo {
            workspace: call.workspace.clone(),
            service: call.service.clone(),
            caller: call.caller.clone(),
            route: route_of(&call),
            class: Some(service.class),
            cost_hint_ms: None,
            deadline_ms: self.parts.clock.now_ms() + left_ms,
            idempotent: service.idempotent || is_safe,
        };
        Planned {
            call,
            service,
            info,
            deadline,
            silent_after,
        }
    }

    /// Runs a non-idempotent request with a key at most once, over all instances and repeats.
    async fn attempt_once(&self, planned: &Planned, key: &str) -> CallReply {
        let call = &planned.call;
        let path = format!("{}/{}{}", call.workspace, call.service, call.path);
        let digest = request_digest(call.method.as_ref(), &path, &call.body);
        let begin = self
            .parts
            .once
            .claim(&call.caller, key, &digest, planned.deadline)
            .await;
        let claim = match begin {
            ClaimOutcome::Run(claim) => claim,
            ClaimOutcome::Replay(answer) => return replayed(answer),
            ClaimOutcome::Unknown => {
                return unknown("an earlier request with this key may have run");
            }
            ClaimOutcome::Mismatch => {
                return not_run("the idempotency key was used for another request", None);
            }
            ClaimOutcome::Unavailable { problem } => return not_run(&*problem, None),
        };
        let reply = self.attempt(planned, true).await;
        match (reply.outcome, &reply.response) {
            (Outcome::Answered, Some(response)) => {
                // The caller has its answer even when storing it takes too long; a repeat then gets unknown.
                let _ = timeout_at(planned.deadline, claim.complete(stored(response))).await;
            }
            (Outcome::NotRun, _) => {
                let _ = timeout_at(planned.deadline, claim.release()).await;
            }
            _ => {}
        }
        reply
    }

    /// Has another instance carry out a request when the router suggests one; `None` when that did not run it.
    async fn forward(&self, planned: &Planned) -> Option<CallReply> {
        let to = self.parts.router.forward_target(&planned.info)?;
        let forwarder = &self.parts.forwarder;
        forwarder
            .forward(&to, &planned.call, planned.deadline)
            .await
    }

    /// Attempts a request at backend servers of this zone, and at other instances when they answer sooner.
    async fn attempt(&self, planned: &Planned, may_forward: bool) -> CallReply {
        let mut attempts = Attempts::default();
        if may_forward && let Some(reply) = self.forward(planned).await {
            return reply;
        }
        loop {
            let admitted = if attempts.count == 0 {
                self.parts.router.admit(planned.info.clone()).await
            } else {
                self.parts
                    .router
                    .admit_retry(planned.info.clone(), &attempts.avoid)
                    .await
            };
            let permit = match admitted {
                Ok(permit) => permit,
                Err(refusal) => {
                    return self.refused(planned, attempts, &refusal, may_forward).await;
                }
            };
            if let Some(reply) = self.attempt_at(planned, permit, &mut attempts).await {
                return reply;
            }
        }
    }

    /// One attempt at one backend server; `None` asks for a further one.
    async fn attempt_at(
        &self,
        planned: &Planned,
        permit: Permit,
        attempts: &mut Attempts,
    ) -> Option<CallReply> {
        let Planned {
            call,
            info,
            deadline,
            ..
        } = planned;
        let class = permit.class();
        self.parts.telemetry.record_queue_wait(
            &call.caller,
            class,
            Duration::from_millis(permit.waited_ms()),
        );
        let target = Target {
            address: permit.address(),
            class,
            silent_after: planned.silent_after,
            resendable: info.idempotent,
        };
        let backend = permit.backend().clone();
        let reply = self
            .parts
            .transport
            .send(target, request_of(call), *deadline, permit.watch())
            .await;
        attempts.count += 1;
        let (result, label, proven_not_run) = match reply {
            Reply::Answered(response) if response.status < 500 => {
                permit.finish(RequestResult::Answered);
                self.parts
                    .telemetry
                    .record_attempt(&call.caller, "answered");
                return Some(answered(response));
            }
            Reply::Answered(response) => {
                attempts.last_answer = Some(response);
                (RequestResult::ServerError, "server-error", false)
            }
            Reply::NotRun(reason) => {
                attempts.reason = reason;
                let result = if permit.is_valid() {
                    RequestResult::ConnectionFailed
                } else {
                    RequestResult::Abandoned
                };
                (result, "not-run", true)
            }
            Reply::Unknown(reason) => {
                attempts.reason = reason;
                attempts.may_have_run = true;
                (failure(&permit, *deadline), "unknown", false)
            }
        };
        permit.finish(result);
        self.parts.telemetry.record_attempt(&call.caller, label);
        attempts.avoid.push(backend);
        let may_retry = attempts.count < planned.service.max_attempts
            && Instant::now() < *deadline
            && self
                .parts
                .router
                .retry_allowed(info, attempts.count, proven_not_run);
        if may_retry {
            None
        } else {
            Some(attempts.take_reply(None))
        }
    }

    async fn refused(
        &self,
        planned: &Planned,
        mut attempts: Attempts,
        refusal: &Refusal,
        may_forward: bool,
    ) -> CallReply {
        let other_may_help = matches!(
            refusal.reason,
            RefusalReason::NoBackend | RefusalReason::NoLease | RefusalReason::Deadline
        );
        let is_open = !attempts.may_have_run && attempts.last_answer.is_none();
        if may_forward
            && other_may_help
            && is_open
            && let Some(reply) = self.forward(planned).await
        {
            return reply;
        }
        if attempts.reason.is_empty() {
            attempts.reason = Arc::from(refusal.to_string());
        }
        attempts.take_reply(Some(refusal.retry_after_ms))
    }

    async fn call(&self, call: ServiceCall) -> CallReply {
        let planned = match self.service_of(&call) {
            Ok((service, silent_after)) => self.plan(call, service, silent_after),
            Err(reply) => {
                self.record(None, &call, &reply);
                return reply;
            }
        };
        let key = planned
            .call
            .idempotency_key
            .clone()
            .filter(|_| !planned.info.idempotent);
        let reply = match key {
            Some(key) => self.attempt_once(&planned, &key).await,
            None => self.attempt(&planned, true).await,
        };
        self.record(Some(&planned), &planned.call, &reply);
        reply
    }

    fn record(&self, planned: Option<&Planned>, call: &ServiceCall, reply: &CallReply) {
        let took = call.arrived.elapsed();
        let class = planned.map_or(WorkClass::Short, |planned| planned.service.class);
        self.parts
            .telemetry
            .record_request(&call.caller, class, reply.outcome, took);
        let Some(planned) = planned else { return };
        let slo = &planned.service.slo;
        let is_ok = reply
            .response
            .as_ref()
            .is_some_and(|response| response.status < 500);
        let good = is_ok && took <= Duration::from_millis(slo.latency_ms);
        self.parts
            .burn
            .count(&call.workspace, &call.service, slo, good);
    }
}

impl Attempts {
    fn take_reply(&mut self, retry_after_ms: Option<u64>) -> CallReply {
        if let Some(response) = self.last_answer.take() {
            return answered(response);
        }
        if self.may_have_run {
            return unknown(&*self.reason);
        }
        not_run(&*self.reason, retry_after_ms)
    }
}

/// Method and first path segments; run times are learned by it.
fn route_of(call: &ServiceCall) -> Arc<str> {
    let path = call
        .path
        .split_once('?')
        .map_or(&*call.path, |(path, _query)| path);
    let segments = path
        .split('/')
        .filter(|segment| !segment.is_empty())
        .take(ROUTE_SEGMENTS);
    // Numbers are mostly identifiers; one route for each would learn nothing.
    let segments = segments.map(|segment| {
        if segment.contains(|c: char| c.is_ascii_digit()) {
            "*"
        } else {
            segment
        }
    });
    let route = format!("{} {}", call.method, segments.collect::<Vec<_>>().join("/"));
    route
        .chars()
        .take(MAX_ROUTE_BYTES)
        .collect::<String>()
        .into()
}

/// How an attempt without a known outcome ended, as far as it tells about the backend server.
fn failure(permit: &Permit, deadline: Instant) -> RequestResult {
    if !permit.is_valid() {
        RequestResult::Abandoned
    } else if Instant::now() >= deadline {
        RequestResult::TimedOut
    } else {
        RequestResult::ConnectionFailed
    }
}

fn request_of(call: &ServiceCall) -> Request {
    Request {
        method: call.method,
        path: call.path.to_string(),
        headers: call.headers.clone(),
        body: call.body.clone(),
    }
}

fn answered(response: Response) -> CallReply {
    CallReply {
        outcome: Outcome::Answered,
        response: Some(response),
        reason: Arc::from(""),
        retry_after_ms: None,
    }
}

fn not_run(reason: impl AsRef<str>, retry_after_ms: Option<u64>) -> CallReply {
    CallReply {
        outcome: Outcome::NotRun,
        response: None,
        reason: Arc::from(reason.as_ref()),
        retry_after_ms,
    }
}

fn unknown(reason: impl AsRef<str>) -> CallReply {
    let reason = Arc::from(reason.as_ref());
    CallReply {
        outcome: Outcome::Unknown,
        response: None,
        reason,
        retry_after_ms: None,
    }
}

fn stored(response: &Response) -> StoredResponse {
    let headers = response
        .headers
        .iter()
        .map(|(name, value)| (Arc::from(name), Arc::from(value)));
    StoredResponse {
        status: response.status,
        headers: headers.collect(),
        body: response.body.clone(),
    }
}

fn replayed(answer: StoredResponse) -> CallReply {
    let mut response = Response::new(answer.status).with_body(answer.body);
    for (name, value) in &answer.headers {
        response.headers.append(name, &**value);
    }
    response.headers.insert(REPLAYED_HEADER, "true");
    answered(response)
}
