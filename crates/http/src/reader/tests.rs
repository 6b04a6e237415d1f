//! Differential tests of the reader against a simple strict reference parser that has the whole input at once.
//!
//! The inputs are arbitrary bytes, and messages assembled from valid and invalid parts. The reader receives them in
//! segments of arbitrary sizes.

use {
    super::{MessageReader, ReadError, ReadLimits},
    crate::{
        Method, Request, Response,
        codec::{decode_request, decode_response, encode_request_head, encode_response_head},
    },
    futures_lite::{AsyncRead, future},
    http_types::Url,
    proptest::{prelude::*, sample::select, test_runner::RngSeed},
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
        pin::Pin,
        task::{Context, Poll},
    },
};

const MAX_BODY_BYTES: usize = 64;
const MAX_HEAD_BYTES: usize = 400;

/// Input that arrives in segments; each read is pending once before it returns a segment.
struct Segments {
    bytes: Vec<u8>,
    pos: usize,
    sizes: Vec<usize>,
    polls: usize,
}

impl AsyncRead for Segments {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.polls += 1;
        if self.polls % 2 == 1 {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let size = self.sizes[self.polls / 2 % self.sizes.len()];
        let count = size.min(buf.len()).min(self.bytes.len() - self.pos);
        buf[..count].copy_from_slice(&self.bytes[self.pos..self.pos + count]);
        self.pos += count;
        Poll::Ready(Ok(count))
    }
}

fn reader(bytes: &[u8], sizes: &[usize]) -> MessageReader<Segments> {
    let segments = Segments {
        bytes: bytes.to_vec(),
        pos: 0,
        sizes: sizes.to_vec(),
        polls: 0,
    };
    let limits = ReadLimits {
        max_head_bytes: MAX_HEAD_BYTES,
        max_body_bytes: MAX_BODY_BYTES,
        timeouts: None,
    };
    MessageReader::new(segments, limits)
}

/// Requests that the reader accepts, up to the first invalid one.
fn accepted_requests(bytes: &[u8], sizes: &[usize]) -> Vec<Request> {
    let mut reader = reader(bytes, sizes);
    let next = async |reader: &mut MessageReader<Segments>| {
        let head = reader.request_head().await?;
        let body = reader.body(head.framing).await?;
        Ok::<_, ReadError>(decode_request(head, &body)?)
    };
    let mut found = Vec::new();
    while let Ok(request) = future::block_on(next(&mut reader)) {
        found.push(request);
    }
    found
}

/// Response that the reader accepts, if it is valid.
fn accepted_response(bytes: &[u8], sizes: &[usize]) -> Option<Response> {
    let mut reader = reader(bytes, sizes);
    let response = async {
        let head = reader.response_head(Method::Get).await?;
        let body = reader.body(head.framing).await?;
        Ok::<_, ReadError>(decode_response(head, &body)?)
    };
    future::block_on(response).ok()
}

/// Start line, fields, body and the bytes after the message.
type Message<'a> = (&'a str, Vec<(String, String)>, Vec<u8>, &'a [u8]);

/// Parses one message with the reference parser; `needs_length` is set for responses.
fn reference_message(bytes: &[u8], needs_length: bool) -> Option<Message<'_>> {
    let end = bytes.windows(4).position(|four| four == b"\r\n\r\n")?;
    let (head, rest) = (std::str::from_utf8(&bytes[..end]).ok()?, &bytes[end + 4..]);
    let visible = |c: char| c == '\t' || (' '..='~').contains(&c);
    let mut lines = head.split("\r\n");
    let start = lines.next()?;
    let mut fields = Vec::new();
    for line in lines {
        let (name, value) = line.split_once(':')?;
        let token = |c: char| c.is_ascii_alphanumeric() || "!#$%&'*+-.^_`|~".contains(c);
        if name.is_empty() || !name.chars().all(token) || !value.chars().all(visible) {
            return None;
        }
        let value = value.trim_matches([' ', '\t']);
        fields.push((name.to_ascii_lowercase(), value.to_owned()));
    }
    if end + 4 > MAX_HEAD_BYTES || !start.chars().all(visible) {
        return None;
    }
    let values_of = |name: &str| -> Vec<&str> {
        let found = fields.iter().filter(|(field, _)| field == name);
        found.map(|(_, value)| value.as_str()).collect()
    };
    let (body, rest) = match (
        &values_of("content-length")[..],
        &values_of("transfer-encoding")[..],
    ) {
        ([], []) if !needs_length => (Vec::new(), rest),
        ([length], []) if !length.is_empty() && length.chars().all(|c| c.is_ascii_digit()) => {
            let length: usize = length.parse().ok()?;
            let body = rest.get(..length)?;
            (body.to_vec(), &rest[length..])
        }
        ([], [coding]) if coding.eq_ignore_ascii_case("chunked") => reference_chunks(rest)?,
        _ => return None,
    };
    (body.len() <= MAX_BODY_BYTES).then_some((start, fields, body, rest))
}

/// Returns the body of a chunked message and the bytes after it.
fn reference_chunks(mut rest: &[u8]) -> Option<(Vec<u8>, &[u8])> {
    let mut body = Vec::new();
    let line = |rest: &mut &'_ [u8]| -> Option<String> {
        let end = rest.windows(2).position(|two| two == b"\r\n")?;
        let line = String::from_utf8(rest[..end].to_vec()).ok()?;
        *rest = &rest[end + 2..];
        let clean = line.chars().all(|c| c == '\t' || (' '..='~').contains(&c));
        (clean && line.len() <= 256).then_some(line)
    };
    loop {
        let size = line(&mut rest)?;
        let digits = size.split(';').next()?;
        if digits.len() > 8 || !digits.chars().all(|c| c.is_ascii_hexdigit()) {
            return None;
        }
        let size = usize::from_str_radix(digits, 16).ok()?;
        if size == 0 {
            break;
        }
        body.extend_from_slice(rest.get(..size)?);
        rest = rest.get(size..)?.strip_prefix(b"\r\n")?;
    }
    loop {
        let trailer = line(&mut rest)?;
        if trailer.is_empty() {
            return Some((body, rest));
        }
        reference_message(format!("x\r\n{trailer}\r\n\r\n").as_bytes(), false)?;
    }
}

/// Whether the reference parser accepts a value of the Host field.
fn reference_host(host: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:[]".contains(c);
    host.chars().all(allowed) && Url::parse(&format!("http://{host}/")).is_ok()
}

/// Method, target and body of the requests that the reference parser accepts, up to the first invalid one.
fn reference_requests(mut bytes: &[u8]) -> Vec<(String, String, Vec<u8>)> {
    let mut found = Vec::new();
    while let Some((start, fields, body, rest)) = reference_message(bytes, false) {
        let parts: Vec<&str> = start.split(' ').collect();
        let [method, target, "HTTP/1.1"] = parts[..] else {
            break;
        };
        let hosts: Vec<_> = fields.iter().filter(|(name, _)| name == "host").collect();
        let expected = |value: &str| value.eq_ignore_ascii_case("100-continue");
        let expect = fields.iter().find(|(name, _)| name == "expect");
        if !["GET", "POST", "HEAD"].contains(&method)
            || !target.starts_with('/')
            || !target.chars().all(|c| c.is_ascii_graphic())
            || hosts.len() != 1
            || !reference_host(&hosts[0].1)
            || expect.is_some_and(|(_, value)| !expected(value))
        {
            break;
        }
        found.push((method.to_owned(), target.to_owned(), body));
        bytes = rest;
    }
    found
}

/// Valid and invalid start lines, most of them with a Host field.
const START_LINES: &[&str] = &[
    "POST / HTTP/1.1\r\nhost: a\r\n",
    "POST /c HTTP/1.1\r\nHost:a\r\n",
    "GET / HTTP/1.1\r\n",
    "GET /a b HTTP/1.1\r\nhost: a\r\n",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 299 \r\n",
];
/// Valid and invalid header fields.
const FIELDS: &[&str] = &[
    "content-length: 3\r\n",
    "Content-Length:3\r\n",
    "content-length: 03\r\n",
    "content-length: +3\r\n",
    "content-length: 3, 3\r\n",
    "content-length: 70\r\n",
    "transfer-encoding: chunked\r\n",
    "Transfer-Encoding: Chunked\r\n",
    "transfer-encoding: gzip\r\n",
    "expect: 100-continue\r\n",
    "connection: close, x\r\n",
    "x: y\t z \r\n",
    "x : y\r\n",
    " x: y\r\n",
    "x\r\n",
    "x: \0\r\n",
    "x: y\n",
    "x: y\r",
];
/// Valid and invalid parts of bodies.
const BODIES: &[&str] = &[
    "abc",
    "3\r\nabc\r\n",
    "3;e=f\r\nabc\r\n",
    "A\r\n0123456789\r\n",
    "0\r\n\r\n",
    "0\r\nt: u\r\n\r\n",
    "2\r\nabc\r\n",
    "3\r\nabcde",
    "3\nabc\r\n",
    "+3\r\nabc\r\n",
    "000000003\r\nabc\r\n",
    "40\r\n",
    "0\r\nt u\r\n\r\n",
    "ffffffffffffffffff\r\n",
];

/// One message of valid and invalid parts. The first two start lines, which are valid requests, are drawn
/// more often.
fn message() -> impl Strategy<Value = Vec<u8>> {
    let draw = |list: &'static [&str]| prop_oneof![select(&list[..2]), select(list)];
    let fields = prop::collection::vec(select(FIELDS), 0..3);
    let bodies = prop_oneof![
        Just(vec!["abc"]),
        // The last chunk, `BODIES[4]`, makes a complete chunked body more likely.
        (select(BODIES), select(BODIES)).prop_map(|(first, second)| vec![first, second, BODIES[4]]),
        prop::collection::vec(select(BODIES), 0..4),
    ];
    (draw(START_LINES), fields, bodies).prop_map(|(start, fields, bodies)| {
        [start, &fields.concat(), "\r\n", &bodies.concat()]
            .concat()
            .into_bytes()
    })
}

/// Sequences of messages, single messages with arbitrary bytes inserted, and arbitrary bytes.
fn input() -> impl Strategy<Value = Vec<u8>> {
    let noise = || prop::collection::vec(any::<u8>(), 1..4);
    prop_oneof![
        8 => prop::collection::vec(message(), 1..4).prop_map(|messages| messages.concat()),
        2 => (message(), any::<prop::sample::Index>(), noise()).prop_map(|(mut bytes, at, noise)| {
            let at = at.index(bytes.len());
            bytes.splice(at..at, noise);
            bytes
        }),
        1 => prop::collection::vec(any::<u8>(), 0..200),
    ]
}

fn sizes() -> impl Strategy<Value = Vec<usize>> {
    prop::collection::vec(1_usize..40, 1..6)
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 4000,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    // Guards against request smuggling: requests whose boundaries or bodies the reader and the reference parser
    // determine differently.
    #[test]
    fn requests_match_the_reference_parser(bytes in input(), sizes in sizes()) {
        let accepted: Vec<_> = accepted_requests(&bytes, &sizes)
            .into_iter()
            .map(|request| (request.method.to_string(), request.path, request.body))
            .collect();
        prop_assert_eq!(accepted, reference_requests(&bytes));
    }

    // Guards against a response whose status or body the reader and the reference parser determine differently.
    #[test]
    fn responses_match_the_reference_parser(bytes in input(), sizes in sizes()) {
        let reference = reference_message(&bytes, true).and_then(|(start, _, body, _)| {
            let status = start.strip_prefix("HTTP/1.1 ")?.split(' ').next()?;
            Some((status.parse::<u16>().ok()?, body))
        });
        let accepted = accepted_response(&bytes, &sizes);
        prop_assert_eq!(accepted.map(|response| (response.status, response.body)), reference);
    }

    // Guards against encoded messages that decode to different ones.
    #[test]
    fn encoded_messages_decode_to_the_originals(
        path in "/[!-~]{0,20}",
        value in "([!-~]([ -~]{0,10}[!-~])?)?",
        body in prop::collection::vec(any::<u8>(), 0..MAX_BODY_BYTES),
        status in 200_u16..600,
        sizes in sizes(),
    ) {
        let request = Request::post(path, body.clone()).with_header("host", "a").with_header("x", &*value);
        let peer = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let mut bytes = encode_request_head(&request, peer).expect("valid");
        bytes.extend_from_slice(&body);
        let mut read = accepted_requests(&bytes, &sizes);
        prop_assert_eq!(read.len(), 1);
        let read = read.remove(0);
        prop_assert_eq!(read.headers.get("x"), Some(&*value));
        prop_assert_eq!((read.path, read.body), (request.path, request.body));

        let response = Response::new(status).with_header("x", &*value).with_body(body.clone());
        let mut bytes = encode_response_head(&response, Method::Get, false).expect("valid");
        bytes.extend_from_slice(&body);
        let read = accepted_response(&bytes, &sizes).expect("valid");
        prop_assert_eq!((read.status, read.headers.get("x")), (status, Some(&*value)));
        if status != 204 && status != 304 {
            prop_assert_eq!(read.body, body);
        }
    }
}
