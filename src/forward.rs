//! Requests that another instance carries out.

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

/// Shortest time left for which forwarding is worth a try.
const MIN_LEFT: Duration = Duration::from_millis(5);

/// Sends requests to other instances.
#[async_trait]
pub trait Forwarder: Send + Sync {
    /// Has a request carried out by another instance; `None` when that did not run it.
    async fn forward(
        &self,
        to: &InstanceId,
        call: &ServiceCall,
        deadline: Instant,
    ) -> Option<CallReply>;
}

/// Forwards over the entry link.
#[derive(Default)]
pub struct PeerForwarder {
    control: OnceLock<Control>,
}

impl PeerForwarder {
    /// Connects the forwarder to the control part, which is made later.
    pub fn connect(&self, control: Control) {
        // A second call has no effect; there is one control part in a daemon.
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
            .filter(|left| *left >= MIN_LEFT)?;
        let peer = control.peer(to)?;
        let req = encode(call, left);
        match peer.forward_request(req).await {
            Ok(res) => decode(res),
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

fn encode(call: &ServiceCall, left: Duration) -> ForwardedRequest {
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

/// The reply of the other instance; `None` when it did not run the request, so that the own refusal stands.
fn decode(res: ForwardedResponse) -> Option<CallReply> {
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
    // An answer with an impossible status is not a whole answer.
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

/// Reads a request that another instance forwarded.
///
/// # Errors
///
/// Returns what is wrong with it.
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

/// Writes the reply to a forwarded request.
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
