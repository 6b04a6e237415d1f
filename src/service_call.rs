//! Execution of requests to services: admission, attempts at backend servers, forwarding to other entry instances, and
//! at-most-once execution of requests with an idempotency key.

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

/// Response header that marks the stored answer of an earlier request with the same idempotency key.
const REPLAYED_HEADER: &str = "ragwortreel-replayed";
/// Number of leading path segments that identify a route of a service in the run-time estimates.
const ROUTE_SEGMENTS: usize = 2;
/// Maximum length of a route's name, in characters.
const MAX_ROUTE_CHARS: usize = 64;

/// Components that the request execution uses.
pub struct ServiceRouterDeps {
    /// Admits requests and chooses backend servers.
    pub router: Router,
    /// Sends requests to backend servers.
    pub transport: Arc<dyn Transport>,
    /// Claims on idempotency keys, for at-most-once execution.
    pub claims: IdempotencyClaims,
    /// Forwards requests to other instances.
    pub forwarder: Arc<dyn Forwarder>,
    /// Clock in which the router's deadlines are given.
    pub clock: Arc<dyn Clock>,
    /// Metrics of requests and attempts.
    pub telemetry: Arc<Telemetry>,
    /// Request counts for the burn-rate report.
    pub burn: Arc<BurnCounter>,
    /// Holds a guard per request in flight, which a graceful shutdown waits for.
    pub stop: Stop,
}

/// Executes requests to services; clones share the state.
///
/// Each request runs to its end in a separate task, even if its caller disconnects. The backend server may still be
/// processing it, so its slot must stay in use.
#[derive(Clone)]
pub struct ServiceRouter {
    shared: Arc<Shared>,
}

struct Shared {
    deps: ServiceRouterDeps,
    settings: RwLock<Arc<VersionedSettings>>,
}

/// A request with its settings and its deadline.
struct PlannedRequest {
    call: ServiceCall,
    service: ServiceSettings,
    info: RequestInfo,
    deadline: Instant,
    silent_after: Duration,
}

/// State of a request's attempts so far.
#[derive(Default)]
struct Attempts {
    count: u32,
    /// Backend servers that earlier attempts used; retries avoid them.
    tried: Vec<BackendId>,
    /// Whether an attempt had an unknown outcome.
    may_have_run: bool,
    /// Reason why the last attempt was not answered.
    reason: Arc<str>,
    /// Last response with a status of 500 or above.
    server_error: Option<Response>,
}

impl ServiceRouter {
    /// Creates a service router with the settings in force.
    #[must_use]
    pub fn new(deps: ServiceRouterDeps, settings: Arc<VersionedSettings>) -> Self {
        Self {
            shared: Arc::new(Shared {
                deps,
                settings: RwLock::new(settings),
            }),
        }
    }

    /// Applies newer settings to the router and to later requests.
    pub fn update_settings(&self, settings: Arc<VersionedSettings>) {
        self.shared.deps.router.update_settings(&settings.settings);
        *self
            .shared
            .settings
            .write()
            .unwrap_or_else(PoisonError::into_inner) = settings;
    }

    /// Executes a request that another instance forwarded; it is not forwarded again.
    pub async fn call_local(&self, call: ServiceCall) -> CallReply {
        self.run_detached(|shared| async move {
            match shared.find_service(&call) {
                Ok((service, silent_after)) => {
                    let planned = shared.plan(call, service, silent_after);
                    shared.run_attempts(&planned, false).await
                }
                Err(reply) => reply,
            }
        })
        .await
    }

    /// Runs a request to its end in a separate task, even if this future is dropped.
    async fn run_detached<F>(&self, run: impl FnOnce(Arc<Shared>) -> F) -> CallReply
    where
        F: Future<Output = CallReply> + Send + 'static,
    {
        let in_flight = self.shared.deps.stop.guard();
        let (tx, rx) = async_channel::bounded(1);
        let request = run(Arc::clone(&self.shared));
        spawn(async move {
            // The channel has capacity for the reply, so sending fails only if the caller has disconnected.
            let _ = tx.try_send(request.await);
            drop(in_flight);
        })
        .detach();
        rx.recv()
            .await
            .unwrap_or_else(|_| unknown_reply("the request's task ended"))
    }
}

#[async_trait]
impl ServiceCalls for ServiceRouter {
    async fn call(&self, call: ServiceCall) -> CallReply {
        self.run_detached(|shared| async move { shared.call(call).await })
            .await
    }
}

impl Shared {
    /// Returns the settings of the called service and the time after which its connections count as silent.
    fn find_service(&self, call: &ServiceCall) -> Result<(ServiceSettings, Duration), CallReply> {
        let settings = Arc::clone(&self.settings.read().unwrap_or_else(PoisonError::into_inner));
        let workspace = settings.settings.workspaces.get(&call.workspace);
        let Some(service) = workspace.and_then(|workspace| workspace.services.get(&call.service))
        else {
            let reason = format!(
                "no service {} of workspace {}",
                call.service, call.workspace
            );
            return Err(not_run_reply(reason, None));
        };
        let silent_after = Duration::from_millis(settings.settings.cell.silent_after_ms);
        Ok((service.clone(), silent_after))
    }

    /// Computes the deadline and the routing information of a request.
    fn plan(
        &self,
        call: ServiceCall,
        service: ServiceSettings,
        silent_after: Duration,
    ) -> PlannedRequest {
        let deadline_ms = call
            .deadline_ms
            .unwrap_or(service.deadline_ms)
            .min(service.deadline_ms);
        let deadline = call.arrived + Duration::from_millis(deadline_ms);
        let remaining_ms = deadline
            .saturating_duration_since(Instant::now())
            .as_millis();
        let remaining_ms = u64::try_from(remaining_ms).unwrap_or(u64::MAX);
        let is_safe_method = matches!(call.method, Method::Get | Method::Head | Method::Options);
        let info = RequestInfo {
            workspace: call.workspace.clone(),
            service: call.service.clone(),
            caller: call.caller.clone(),
            route: route_name(&call),
            class: Some(service.class),
            cost_hint_ms: None,
            deadline_ms: self.deps.clock.now_ms() + remaining_ms,
            idempotent: service.idempotent || is_safe_method,
        };
        PlannedRequest {
            call,
            service,
            info,
            deadline,
            silent_after,
        }
    }

    /// Runs a non-idempotent request with an idempotency key at most once over all instances and retries.
    async fn call_at_most_once(&self, planned: &PlannedRequest, key: &str) -> CallReply {
        let call = &planned.call;
        let path = format!("{}/{}{}", call.workspace, call.service, call.path);
        let digest = request_digest(call.method.as_ref(), &path, &call.body);
        let claimed = self
            .deps
            .claims
            .claim(&call.caller, key, &digest, planned.deadline)
            .await;
        let claim = match claimed {
            ClaimOutcome::Run(claim) => claim,
            ClaimOutcome::Replay(response) => return replayed_reply(response),
            ClaimOutcome::Unknown => {
                return unknown_reply("an earlier request with this key may have run");
            }
            ClaimOutcome::Mismatch => {
                return not_run_reply("the idempotency key was used for another request", None);
            }
            ClaimOutcome::Unavailable { problem } => return not_run_reply(&*problem, None),
        };
        let reply = self.run_attempts(planned, true).await;
        match (reply.outcome, &reply.response) {
            (Outcome::Answered, Some(response)) => {
                // The caller gets the answer even if storing it times out; a retry then gets an unknown outcome.
                let _ = timeout_at(
                    planned.deadline,
                    claim.complete(to_stored_response(response)),
                )
                .await;
            }
            (Outcome::NotRun, _) => {
                let _ = timeout_at(planned.deadline, claim.release()).await;
            }
            _ => {}
        }
        reply
    }

    /// Forwards a request to the instance that the router suggests. Returns `None` if there is none or it did not run
    /// the request.
    async fn forward(&self, planned: &PlannedRequest) -> Option<CallReply> {
        let to = self.deps.router.forward_target(&planned.info)?;
        let forwarder = &self.deps.forwarder;
        forwarder
            .forward(&to, &planned.call, planned.deadline)
            .await
    }

    /// Executes a request at another instance if that is expected to respond sooner, otherwise at backend servers of
    /// this zone.
    async fn run_attempts(&self, planned: &PlannedRequest, may_forward: bool) -> CallReply {
        let mut attempts = Attempts::default();
        if may_forward && let Some(reply) = self.forward(planned).await {
            return reply;
        }
        loop {
            let admitted = if attempts.count == 0 {
                self.deps.router.admit(planned.info.clone()).await
            } else {
                self.deps
                    .router
                    .admit_retry(planned.info.clone(), &attempts.tried)
                    .await
            };
            let permit = match admitted {
                Ok(permit) => permit,
                Err(refusal) => {
                    return self
                        .reply_to_refusal(planned, attempts, &refusal, may_forward)
                        .await;
                }
            };
            if let Some(reply) = self.attempt_at(planned, permit, &mut attempts).await {
                return reply;
            }
        }
    }

    /// Sends a request to one backend server. Returns `None` if it should be retried.
    async fn attempt_at(
        &self,
        planned: &PlannedRequest,
        permit: Permit,
        attempts: &mut Attempts,
    ) -> Option<CallReply> {
        let PlannedRequest {
            call,
            info,
            deadline,
            ..
        } = planned;
        let class = permit.class();
        self.deps.telemetry.record_queue_wait(
            &call.caller,
            class,
            Duration::from_millis(permit.waited_ms()),
        );
        let target = Target {
            address: permit.address(),
            class,
            silent_after: planned.silent_after,
            retryable: info.idempotent,
        };
        let backend = permit.backend().clone();
        let reply = self
            .deps
            .transport
            .send(target, backend_request(call), *deadline, permit.watch())
            .await;
        attempts.count += 1;
        let (result, label, proven_not_run) = match reply {
            Reply::Answered(response) if response.status < 500 => {
                permit.finish(RequestResult::Answered);
                self.deps.telemetry.record_attempt(&call.caller, "answered");
                return Some(answered_reply(response));
            }
            Reply::Answered(response) => {
                attempts.server_error = Some(response);
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
                (failed_result(&permit, *deadline), "unknown", false)
            }
        };
        permit.finish(result);
        self.deps.telemetry.record_attempt(&call.caller, label);
        attempts.tried.push(backend);
        let may_retry = attempts.count < planned.service.max_attempts
            && Instant::now() < *deadline
            && self
                .deps
                .router
                .retry_allowed(info, attempts.count, proven_not_run);
        if may_retry {
            None
        } else {
            Some(attempts.take_reply(None))
        }
    }

    /// Forwards a refused request if another instance may be able to run it; otherwise returns the reply to the caller.
    async fn reply_to_refusal(
        &self,
        planned: &PlannedRequest,
        mut attempts: Attempts,
        refusal: &Refusal,
        may_forward: bool,
    ) -> CallReply {
        let may_run_elsewhere = matches!(
            refusal.reason,
            RefusalReason::NoBackend | RefusalReason::NoLease | RefusalReason::Deadline
        );
        let no_attempt_ran = !attempts.may_have_run && attempts.server_error.is_none();
        if may_forward
            && may_run_elsewhere
            && no_attempt_ran
            && let Some(reply) = self.forward(planned).await
        {
            return reply;
        }
        if attempts.reason.is_empty() {
            attempts.reason = Arc::from(refusal.to_string());
        }
        attempts.take_reply(Some(refusal.retry_after_ms))
    }

    /// Executes the request of a caller and records its result.
    async fn call(&self, call: ServiceCall) -> CallReply {
        let planned = match self.find_service(&call) {
            Ok((service, silent_after)) => self.plan(call, service, silent_after),
            Err(reply) => {
                self.record_result(None, &call, &reply);
                return reply;
            }
        };
        let key = planned
            .call
            .idempotency_key
            .clone()
            .filter(|_| !planned.info.idempotent);
        let reply = match key {
            Some(key) => self.call_at_most_once(&planned, &key).await,
            None => self.run_attempts(&planned, true).await,
        };
        self.record_result(Some(&planned), &planned.call, &reply);
        reply
    }

    /// Records the result in the metrics and in the burn-rate counts.
    fn record_result(
        &self,
        planned: Option<&PlannedRequest>,
        call: &ServiceCall,
        reply: &CallReply,
    ) {
        let took = call.arrived.elapsed();
        let class = planned.map_or(WorkClass::Short, |planned| planned.service.class);
        self.deps
            .telemetry
            .record_request(&call.caller, class, reply.outcome, took);
        let Some(planned) = planned else { return };
        let slo = &planned.service.slo;
        let is_ok = reply
            .response
            .as_ref()
            .is_some_and(|response| response.status < 500);
        let good = is_ok && took <= Duration::from_millis(slo.latency_ms);
        self.deps
            .burn
            .count(&call.workspace, &call.service, slo, good);
    }
}

impl Attempts {
    /// Returns the reply to the caller after the last attempt.
    fn take_reply(&mut self, retry_after_ms: Option<u64>) -> CallReply {
        if let Some(response) = self.server_error.take() {
            return answered_reply(response);
        }
        if self.may_have_run {
            return unknown_reply(&*self.reason);
        }
        not_run_reply(&*self.reason, retry_after_ms)
    }
}

/// Name of the request's route, by which run times are estimated: the method and the first path segments.
fn route_name(call: &ServiceCall) -> Arc<str> {
    let path = call
        .path
        .split_once('?')
        .map_or(&*call.path, |(path, _query)| path);
    let segments = path
        .split('/')
        .filter(|segment| !segment.is_empty())
        .take(ROUTE_SEGMENTS);
    // Segments with digits are mostly identifiers. With one route per identifier, no route would get enough samples.
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
        .take(MAX_ROUTE_CHARS)
        .collect::<String>()
        .into()
}

/// Result of an attempt with an unknown outcome, for the health tracking of the backend server.
fn failed_result(permit: &Permit, deadline: Instant) -> RequestResult {
    if !permit.is_valid() {
        RequestResult::Abandoned
    } else if Instant::now() >= deadline {
        RequestResult::TimedOut
    } else {
        RequestResult::ConnectionFailed
    }
}

fn backend_request(call: &ServiceCall) -> Request {
    Request {
        method: call.method,
        path: call.path.to_string(),
        headers: call.headers.clone(),
        body: call.body.clone(),
    }
}

fn answered_reply(response: Response) -> CallReply {
    CallReply {
        outcome: Outcome::Answered,
        response: Some(response),
        reason: Arc::from(""),
        retry_after_ms: None,
    }
}

fn not_run_reply(reason: impl AsRef<str>, retry_after_ms: Option<u64>) -> CallReply {
    CallReply {
        outcome: Outcome::NotRun,
        response: None,
        reason: Arc::from(reason.as_ref()),
        retry_after_ms,
    }
}

fn unknown_reply(reason: impl AsRef<str>) -> CallReply {
    let reason = Arc::from(reason.as_ref());
    CallReply {
        outcome: Outcome::Unknown,
        response: None,
        reason,
        retry_after_ms: None,
    }
}

fn to_stored_response(response: &Response) -> StoredResponse {
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

fn replayed_reply(stored: StoredResponse) -> CallReply {
    let mut response = Response::new(stored.status).with_body(stored.body);
    for (name, value) in &stored.headers {
        response.headers.append(name, &**value);
    }
    response.headers.insert(REPLAYED_HEADER, "true");
    answered_reply(response)
}
