//! HTTP form of the platform's services.

use {
    crate::{
        faults::FaultSwitch,
        listener::{Listening, Reply, Role, listen},
        platform::memory::{Answer, Call, MemoryPlatform, NoAnswer},
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

/// JSON takes up to six bytes for a byte of a value, and keys and punctuation come on top.
const MAX_TXN_JSON_BYTES: usize = 8 * MAX_TXN_BYTES;

struct PlatformRole(Arc<MemoryPlatform>);

/// Serves the platform at an address.
///
/// # Errors
///
/// Returns an error when the address cannot be bound.
pub fn serve_platform(addr: SocketAddr, platform: Arc<MemoryPlatform>) -> io::Result<Listening> {
    listen(addr, Arc::new(PlatformRole(platform)))
}

#[async_trait]
impl Role for PlatformRole {
    async fn answer(&self, req: Request) -> Reply {
        if req.path_only() == "/standin/counts" {
            return Reply::Respond(json(&self.0.counts()));
        }
        let call = match to_call(&req) {
            Ok(call) => call,
            Err(status) => return Reply::Respond(Response::new(status)),
        };
        let zone = zone_of(&req);
        match self.0.call_from(zone.as_ref(), call).await {
            Ok(answer @ Answer::Instances(_)) => {
                Reply::Respond(unless_unchanged(&req, to_response(answer)))
            }
            Ok(answer) => Reply::Respond(to_response(answer)),
            Err(NoAnswer::Down) => Reply::Respond(Response::new(503)),
            Err(NoAnswer::OverLimit) => Reply::Respond(Response::new(429)),
            Err(NoAnswer::TooLarge) => Reply::Respond(Response::new(413)),
            Err(NoAnswer::Silent | NoAnswer::Lost) => Reply::Silent,
        }
    }

    fn faults(&self) -> &FaultSwitch {
        self.0.faults()
    }
}

/// Zone that a request names.
pub(crate) fn zone_of(req: &Request) -> Option<Zone> {
    Zone::new(req.headers.get(ZONE_HEADER)?).ok()
}

/// Decoded values of a query's parameter.
pub(crate) fn parameters<'a>(req: &'a Request, name: &'a str) -> impl Iterator<Item = Arc<str>> {
    let pairs = req.query().unwrap_or_default().split('&');
    pairs.filter_map(move |pair| {
        let value = pair.strip_prefix(name)?.strip_prefix('=')?;
        let value = percent_decode_str(value).decode_utf8().ok()?;
        Some(Arc::from(&*value))
    })
}

fn to_call(req: &Request) -> Result<Call, u16> {
    match (req.method, req.path_only()) {
        (Method::Post, "/table/txn") => parse_json(&req.body, MAX_TXN_JSON_BYTES)
            .map(Call::Commit)
            .map_err(|_| 400),
        (Method::Get, "/table/get") => parameters(req, "key").next().map(Call::Get).ok_or(400),
        (Method::Get, "/table/scan") => Ok(Call::Scan(parameters(req, "prefix").collect())),
        (Method::Get, "/instances") => Ok(Call::List),
        (method, path) => {
            let key = path.strip_prefix("/objects/").ok_or(404_u16)?;
            let key = percent_decode_str(key).decode_utf8().map_err(|_| 400_u16)?;
            let key = Arc::from(&*key);
            match method {
                Method::Put => Ok(Call::PutObject(key, req.body.clone())),
                Method::Get => Ok(Call::GetObject(key)),
                Method::Delete => Ok(Call::DeleteObject(key)),
                _ => Err(405),
            }
        }
    }
}

fn json<T: Serialize>(value: &T) -> Response {
    json_response(200, value).unwrap_or_else(|_| Response::new(500))
}

/// Answers 304 when the client names the entity tag of the response that it would get.
fn unless_unchanged(req: &Request, response: Response) -> Response {
    let tag = format!("\"{:016x}\"", xxh3_64(&response.body));
    let is_unchanged = req.headers.get("if-none-match") == Some(tag.as_str());
    let response = if is_unchanged {
        Response::new(304)
    } else {
        response
    };
    response.with_header("etag", tag)
}

fn to_response(answer: Answer) -> Response {
    match answer {
        Answer::Txn(outcome) => json(&outcome),
        Answer::Row(row) => json(&RowResponse { row }),
        Answer::Rows(rows) => json(&RowsResponse { rows }),
        Answer::Object(Some(object)) => Response::new(200).with_body(object),
        Answer::Object(None) => Response::new(404),
        Answer::Done => Response::new(204),
        Answer::Instances(instances) => json(&InstancesResponse { instances }),
    }
}
