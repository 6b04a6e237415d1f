//! Conversion of validated messages through `async-h1` and `http-types`.
//!
//! Decoding passes a complete, validated message with a declared length to `async-h1` and rejects it unless `async-h1`
//! reads the same method or status and body. The target and the fields are taken from the validated head, because
//! `http-types` normalises targets, loses the order of fields and gives a response without a `date` field a malformed
//! one. Encoding takes the fields from `async-h1` and writes the start line itself, because `http-types` supports only
//! registered status codes.

use {
    crate::{
        Headers, MessageError,
        MessageError::Malformed,
        Method, Request, Response,
        head::{RequestHead, ResponseHead, is_connection_field, is_field_value, is_host},
        head::{is_origin_form, is_token},
    },
    async_h1::{client, server},
    futures_lite::{AsyncBufRead, AsyncRead, AsyncReadExt, AsyncWrite},
    http_types::{Body, StatusCode, Url},
    std::{
        fmt::Write as _,
        future::Future,
        io,
        net::SocketAddr,
        pin::{Pin, pin},
        sync::{Arc, OnceLock},
        task::{Context, Poll, Waker},
    },
};

/// Reason why a message cannot be sent.
pub type EncodeError = &'static str;

/// Polls a future once and returns its output; the futures read from memory and are never pending.
///
/// Polling them here keeps the large futures of `async-h1` out of the connection tasks.
fn poll_once<T>(future: impl Future<Output = T>) -> Option<T> {
    let mut cx = Context::from_waker(Waker::noop());
    match pin!(future).poll(&mut cx) {
        Poll::Ready(output) => Some(output),
        Poll::Pending => None,
    }
}

/// Decodes a request from its validated head and its body.
pub fn decode_request(head: RequestHead, body: &[u8]) -> Result<Request, MessageError> {
    let start = format!("{} / HTTP/1.1\r\n", head.method);
    let message = Message::new(start, &head.headers, body);
    let decoded = poll_once(server::decode(message)).and_then(Result::ok);
    let (mut request, body_reader) = decoded
        .flatten()
        .ok_or(Malformed("head not accepted by async-h1"))?;
    if request.method() != head.method {
        return Err(Malformed("method read differently by async-h1"));
    }
    let body = read_body(request.take_body())?;
    drop(body_reader);
    Ok(Request {
        method: head.method,
        path: head.path,
        headers: head.headers,
        body,
    })
}

/// Decodes a response from its validated head and its body.
pub fn decode_response(head: ResponseHead, body: &[u8]) -> Result<Response, MessageError> {
    let registered = registered_status(head.status);
    let start = format!("HTTP/1.1 {} \r\n", u16::from(registered));
    let message = Message::new(start, &head.headers, body);
    let mut response = poll_once(client::decode(message))
        .and_then(Result::ok)
        .ok_or(Malformed("head not accepted by async-h1"))?;
    if response.status() != registered {
        return Err(Malformed("status read differently by async-h1"));
    }
    let body = read_body(response.take_body())?;
    Ok(Response {
        status: head.status,
        headers: head.headers,
        body,
    })
}

fn read_body(mut body: Body) -> Result<Vec<u8>, MessageError> {
    let expected = body.len().unwrap_or(0);
    let mut bytes = Vec::with_capacity(expected);
    poll_once(body.read_to_end(&mut bytes))
        .and_then(Result::ok)
        .ok_or(Malformed("body not accepted by async-h1"))?;
    if bytes.len() != expected {
        return Err(Malformed("body read differently by async-h1"));
    }
    Ok(bytes)
}

/// Encodes the head of a request; the caller sends the body unchanged after it.
pub fn encode_request_head(request: &Request, peer: SocketAddr) -> Result<Vec<u8>, EncodeError> {
    if !is_origin_form(&request.path) {
        return Err("target is not in origin form");
    }
    if request.method == Method::Connect {
        return Err("CONNECT is not supported");
    }
    check_fields(&request.headers)?;
    let mut inner = http_types::Request::new(request.method, placeholder_url());
    inner.set_body(Body::from_reader(EmptyBody, Some(request.body.len())));
    inner.remove_header("content-type");
    for (name, value) in end_to_end_fields(&request.headers) {
        inner.append_header(name, value);
    }
    match request.headers.get("host") {
        None => drop(inner.insert_header("host", peer.to_string())),
        Some(host) if is_host(host) => {}
        Some(_) => return Err("invalid host"),
    }
    let start = format!("{} {} HTTP/1.1\r\n", request.method, request.path);
    let encoder = client::Encoder::new(inner);
    encode_head(encoder, &start)
}

/// Encodes the head of a response to a request with this method; the caller sends the body, if the response has one,
/// unchanged after it.
pub fn encode_response_head(
    response: &Response,
    method: Method,
    close: bool,
) -> Result<Vec<u8>, EncodeError> {
    if !(200..600).contains(&response.status) {
        return Err("status is not 200 to 599");
    }
    check_fields(&response.headers)?;
    let registered = registered_status(response.status);
    let mut inner = http_types::Response::new(registered);
    let declared = declared_length(response, method)?;
    inner.set_body(Body::from_reader(EmptyBody, Some(declared.unwrap_or(0))));
    inner.remove_header("content-type");
    for (name, value) in end_to_end_fields(&response.headers) {
        inner.append_header(name, value);
    }
    if close {
        inner.insert_header("connection", "close");
    }
    let mut start = String::with_capacity(32);
    let reason = match StatusCode::try_from(response.status) {
        Ok(status) => status.canonical_reason(),
        Err(_) => "",
    };
    let _ = write!(start, "HTTP/1.1 {} {reason}\r\n", response.status);
    let encoder = server::Encoder::new(inner, method);
    let mut head = encode_head(encoder, &start)?;
    if declared.is_none() {
        remove_line(&mut head, b"\r\ncontent-length: 0\r\n");
    }
    Ok(head)
}

/// Whether a response with this status to a request with this method has a body.
pub fn has_body(status: u16, method: Method) -> bool {
    method != Method::Head && !matches!(status, 100..=199 | 204 | 304)
}

/// Value for `content-length`; `None` if the status does not allow the field or the length is unknown.
fn declared_length(response: &Response, method: Method) -> Result<Option<usize>, EncodeError> {
    if has_body(response.status, method) {
        return Ok(Some(response.body.len()));
    }
    if response.status == 204 {
        return Ok(None);
    }
    let declared = response.headers.get("content-length").map(str::parse);
    match declared {
        Some(Ok(length)) => Ok(Some(length)),
        Some(Err(_)) => Err("invalid content-length"),
        None if response.body.is_empty() => Ok(None),
        None => Ok(Some(response.body.len())),
    }
}

/// Reads the head from an encoder and replaces its start line.
fn encode_head(mut encoder: impl AsyncRead + Unpin, start: &str) -> Result<Vec<u8>, EncodeError> {
    let mut head = Vec::with_capacity(512);
    // The placeholder body is empty, so the encoder returns only the head.
    poll_once(encoder.read_to_end(&mut head))
        .and_then(Result::ok)
        .ok_or("head not accepted by async-h1")?;
    let end = head.iter().position(|byte| *byte == b'\n');
    let end = end.ok_or("head not accepted by async-h1")?;
    head.splice(..=end, start.bytes());
    Ok(head)
}

/// Removes a header line; `line` includes the line ends before and after it, one of which is kept.
fn remove_line(head: &mut Vec<u8>, line: &[u8]) {
    let found = head.windows(line.len()).position(|window| window == line);
    if let Some(at) = found {
        head.drain(at..at + line.len() - 2);
    }
}

fn check_fields(headers: &Headers) -> Result<(), EncodeError> {
    let valid = |(name, value): (&str, &str)| {
        is_token(name.as_bytes()) && is_field_value(value.as_bytes()) && value.trim_ascii() == value
    };
    if headers.iter().all(valid) {
        return Ok(());
    }
    Err("invalid header field")
}

/// Iterates over the fields that are sent as given; the connection and the body determine the others.
fn end_to_end_fields(headers: &Headers) -> impl Iterator<Item = (&str, &str)> {
    headers
        .iter()
        .filter(|(name, _)| !is_connection_field(name) && *name != "content-length")
}

/// Returns the status itself if `http-types` supports it, otherwise a general status of the same class.
fn registered_status(status: u16) -> StatusCode {
    let general = match status {
        200..=299 => StatusCode::Ok,
        300..=399 => StatusCode::MultipleChoice,
        400..=499 => StatusCode::BadRequest,
        _ => StatusCode::InternalServerError,
    };
    StatusCode::try_from(status).unwrap_or(general)
}

fn placeholder_url() -> Url {
    static PLACEHOLDER: OnceLock<Url> = OnceLock::new();
    PLACEHOLDER
        .get_or_init(|| Url::parse("http://placeholder/").expect("the constant is a valid URL"))
        .clone()
}

/// A validated message in memory, readable by `async-h1`.
#[derive(Debug, Clone)]
struct Message {
    // Shared, because `async-h1` clones its connection to write to it.
    bytes: Arc<Vec<u8>>,
    pos: usize,
}

impl Message {
    fn new(start: String, headers: &Headers, body: &[u8]) -> Self {
        let mut bytes = start.into_bytes();
        for (name, value) in headers.iter().filter(|(name, _)| *name != "content-length") {
            for part in [name, ": ", value, "\r\n"] {
                bytes.extend_from_slice(part.as_bytes());
            }
        }
        let length = format!("content-length: {}\r\n\r\n", body.len());
        bytes.extend_from_slice(length.as_bytes());
        bytes.extend_from_slice(body);
        Self {
            bytes: Arc::new(bytes),
            pos: 0,
        }
    }
}

impl AsyncRead for Message {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let unread = &self.bytes[self.pos..];
        let count = unread.len().min(buf.len());
        buf[..count].copy_from_slice(&unread[..count]);
        self.pos += count;
        Poll::Ready(Ok(count))
    }
}

// `async-h1` requires a writer only to answer `expect: 100-continue`, and a validated head does not contain this field.
impl AsyncWrite for Message {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Empty reader in place of a body that is written separately.
#[derive(Debug)]
struct EmptyBody;

impl AsyncRead for EmptyBody {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(0))
    }
}

impl AsyncBufRead for EmptyBody {
    fn poll_fill_buf(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Poll::Ready(Ok(&[]))
    }

    fn consume(self: Pin<&mut Self>, _: usize) {}
}
