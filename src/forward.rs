//! Forwarding of requests to other entry instances, and the conversion to and from the RPC messages.

use {
    async_trait::async_trait,
    ragwortreel_caller::{CallReply, ServiceCall},
    ragwortreel_control::Control,
    ragwortreel_entry::generated::{ForwardedRequest, ForwardedResponse, Header},
    ragwortreel_http::{Headers, Method, Response},
    ragwortreel_model::{InstanceId, Outcome, ServiceName, Workspace},
    std::{
        str::FromStr,
        sync::{Arc, OnceLock},
        time::{Duration, Instant},
    },
};

/// Minimum remaining time before the deadline for which a request is forwarded.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// Forwards requests to other instances.
#[async_trait]
pub trait Forwarder: Send + Sync {
    /// Forwards a request to the instance `to`. Returns `None` if that instance did not run it.
    async fn forward(
        &self,
        to: &InstanceId,
        call: &ServiceCall,
        deadline: Instant,
    ) -> Option<CallReply>;
}

/// Forwards requests over the links between entry instances.
#[derive(Default)]
pub struct PeerForwarder {
    control: OnceLock<Control>,
}

impl PeerForwarder {
    /// Sets the control plane, which provides the links. Until then every request counts as not run.
    pub fn connect(&self, control: Control) {
        // A second call has no effect; an instance has one control plane.
        let _ = self.control.set(control);
    }
}

#[async_trait]
impl Forwarder for PeerForwarder {
    async fn forward(
        &self,
        to: &InstanceId,
        call: &ServiceCall,
        deadline: Instant,
    ) -> Option<CallReply> {
        let control = self.control.get()?;
        let left = deadline
            .checked_duration_since(Instant::now())
            .filter(|left| *left >= MIN_TIME_LEFT)?;
        let peer = control.peer(to)?;
        let req = encode_request(call, left);
        match peer.forward_request(req).await {
            Ok(res) => decode_reply(res),
            Err(err) if err.is_not_run() => None,
            Err(err) => Some(CallReply {
                outcome: Outcome::Unknown,
                response: None,
                reason: Arc::from(err.to_string()),
                retry_after_ms: None,
            }),
        }
    }
}

fn encode_request(call: &ServiceCall, left: Duration) -> ForwardedRequest {
    let headers = call.headers.iter().map(|(name, value)| Header {
        name: name.to_owned(),
        value: value.to_owned(),
    });
    ForwardedRequest {
        workspace: call.workspace.to_string(),
        service: call.service.to_string(),
        caller: call.caller.to_string(),
        method: call.method.to_string(),
        path: call.path.to_string(),
        headers: headers.collect(),
        body: call.body.clone(),
        deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        class: String::new(),
        idempotency_key: call
            .idempotency_key
            .as_deref()
            .unwrap_or_default()
            .to_owned(),
    }
}

/// Converts the reply of the other instance. Returns `None` if it did not run the request, so that the caller gets the
/// refusal of this instance.
fn decode_reply(res: ForwardedResponse) -> Option<CallReply> {
    let outcome = match res.outcome.as_str() {
        "answered" => Outcome::Answered,
        "not-run" => return None,
        _ => Outcome::Unknown,
    };
    let status = u16::try_from(res.status)
        .ok()
        .filter(|status| (200..600).contains(status));
    let response = status.map(|status| Response {
        status,
        headers: decode_headers(&res.headers),
        body: res.body,
    });
    // A response with an invalid status is incomplete, so its outcome is unknown.
    let outcome = if response.is_some() {
        outcome
    } else {
        Outcome::Unknown
    };
    Some(CallReply {
        outcome,
        response,
        reason: Arc::from(res.reason),
        retry_after_ms: None,
    })
}

fn decode_headers(fields: &[Header]) -> Headers {
    let mut headers = Headers::new();
    for field in fields {
        headers.append(&field.name, &*field.value);
    }
    headers
}

/// Converts a request that another instance forwarded.
///
/// # Errors
///
/// Returns a description of the first invalid field. The reply to the forwarding instance contains this text.
pub fn decode_request(req: ForwardedRequest) -> Result<ServiceCall, String> {
    let workspace = Workspace::new(&req.workspace).map_err(|err| err.to_string())?;
    let caller = if req.caller.is_empty() {
        Ok(workspace.clone())
    } else {
        Workspace::new(&req.caller)
    };
    Ok(ServiceCall {
        workspace,
        service: ServiceName::new(&req.service).map_err(|err| err.to_string())?,
        caller: caller.map_err(|err| err.to_string())?,
        method: Method::from_str(&req.method).map_err(|err| err.to_string())?,
        path: Arc::from(req.path),
        headers: decode_headers(&req.headers),
        body: req.body,
        deadline_ms: Some(req.deadline_ms),
        arrived: Instant::now(),
        idempotency_key: Some(Arc::from(req.idempotency_key))
            .filter(|key: &Arc<str>| !key.is_empty()),
    })
}

/// Converts the reply to a forwarded request. Without a response, the status is 0.
#[must_use]
pub fn encode_reply(reply: CallReply) -> ForwardedResponse {
    let (status, headers, body) = match reply.response {
        Some(response) => (u32::from(response.status), response.headers, response.body),
        None => (0, Headers::new(), Vec::new()),
    };
    let headers = headers.iter().map(|(name, value)| Header {
        name: name.to_owned(),
        value: value.to_owned(),
    });
    ForwardedResponse {
        outcome: reply.outcome.to_string(),
        status,
        headers: headers.collect(),
        body,
        retry_after_ms: reply.retry_after_ms.unwrap_or(0),
        reason: reply.reason.to_string(),
    }
}
