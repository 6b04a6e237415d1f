//! HTTP server of the platform stand-in.

use {
    crate::{
        faults::FaultInjector,
        listener::{Reply, RequestHandler, ServerHandle, listen},
        platform::memory::{CallError, MemoryPlatform, PlatformCall, PlatformReply},
    },
    async_trait::async_trait,
    percent_encoding::percent_decode_str,
    ragwortreel_http::{Method, Request, Response, json_response, parse_json},
    ragwortreel_model::Zone,
    ragwortreel_platform::{
        InstancesResponse, MAX_TXN_BYTES, RowResponse, RowsResponse, ZONE_HEADER,
    },
    serde::Serialize,
    std::{io, net::SocketAddr, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// Largest body of a transaction. JSON escapes a byte of a value with up to six bytes; the rest is for field names and
/// punctuation.
const MAX_TXN_JSON_BYTES: usize = 8 * MAX_TXN_BYTES;

struct PlatformHandler(Arc<MemoryPlatform>);

/// Starts the HTTP server of a platform; port 0 selects a free port.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub fn serve_platform(addr: SocketAddr, platform: Arc<MemoryPlatform>) -> io::Result<ServerHandle> {
    listen(addr, Arc::new(PlatformHandler(platform)))
}

#[async_trait]
impl RequestHandler for PlatformHandler {
    async fn handle(&self, req: Request) -> Reply {
        if req.path_only() == "/standin/counts" {
            return Reply::Respond(json(&self.0.counts()));
        }
        let call = match parse_call(&req) {
            Ok(call) => call,
            Err(status) => return Reply::Respond(Response::new(status)),
        };
        let zone = caller_zone(&req);
        match self.0.call_from(zone.as_ref(), call).await {
            Ok(reply @ PlatformReply::Instances(_)) => {
                Reply::Respond(conditional_response(&req, to_response(reply)))
            }
            Ok(reply) => Reply::Respond(to_response(reply)),
            Err(CallError::Unavailable) => Reply::Respond(Response::new(503)),
            Err(CallError::RateLimited) => Reply::Respond(Response::new(429)),
            Err(CallError::TooLarge) => Reply::Respond(Response::new(413)),
            Err(CallError::RequestLost | CallError::ReplyLost) => Reply::Silent,
        }
    }

    fn faults(&self) -> &FaultInjector {
        self.0.faults()
    }
}

/// Availability zone of the caller, from the header [`ZONE_HEADER`].
pub(crate) fn caller_zone(req: &Request) -> Option<Zone> {
    Zone::new(req.headers.get(ZONE_HEADER)?).ok()
}

/// Percent-decoded values of a query parameter.
pub(crate) fn query_values<'a>(req: &'a Request, name: &'a str) -> impl Iterator<Item = Arc<str>> {
    let pairs = req.query().unwrap_or_default().split('&');
    pairs.filter_map(move |pair| {
        let value = pair.strip_prefix(name)?.strip_prefix('=')?;
        let value = percent_decode_str(value).decode_utf8().ok()?;
        Some(Arc::from(&*value))
    })
}

// Parses the call of a request; an error is the status of the response.
fn parse_call(req: &Request) -> Result<PlatformCall, u16> {
    match (req.method, req.path_only()) {
        (Method::Post, "/table/txn") => parse_json(&req.body, MAX_TXN_JSON_BYTES)
            .map(PlatformCall::Commit)
            .map_err(|_| 400),
        (Method::Get, "/table/get") => query_values(req, "key")
            .next()
            .map(PlatformCall::Get)
            .ok_or(400),
        (Method::Get, "/table/scan") => {
            Ok(PlatformCall::Scan(query_values(req, "prefix").collect()))
        }
        (Method::Get, "/instances") => Ok(PlatformCall::List),
        (method, path) => {
            let key = path.strip_prefix("/objects/").ok_or(404_u16)?;
            let key = percent_decode_str(key).decode_utf8().map_err(|_| 400_u16)?;
            let key = Arc::from(&*key);
            match method {
                Method::Put => Ok(PlatformCall::PutObject(key, req.body.clone())),
                Method::Get => Ok(PlatformCall::GetObject(key)),
                Method::Delete => Ok(PlatformCall::DeleteObject(key)),
                _ => Err(405),
            }
        }
    }
}

fn json<T: Serialize>(value: &T) -> Response {
    json_response(200, value).unwrap_or_else(|_| Response::new(500))
}

/// Adds the entity tag to a response; replaces it by status 304 if `if-none-match` has the same tag.
fn conditional_response(req: &Request, response: Response) -> Response {
    let tag = format!("\"{:016x}\"", xxh3_64(&response.body));
    let is_unchanged = req.headers.get("if-none-match") == Some(tag.as_str());
    let response = if is_unchanged {
        Response::new(304)
    } else {
        response
    };
    response.with_header("etag", tag)
}

fn to_response(reply: PlatformReply) -> Response {
    match reply {
        PlatformReply::Txn(outcome) => json(&outcome),
        PlatformReply::Row(row) => json(&RowResponse { row }),
        PlatformReply::Rows(rows) => json(&RowsResponse { rows }),
        PlatformReply::Object(Some(object)) => Response::new(200).with_body(object),
        PlatformReply::Object(None) => Response::new(404),
        PlatformReply::Done => Response::new(204),
        PlatformReply::Instances(instances) => json(&InstancesResponse { instances }),
    }
}
