//! Strict parser of message heads.
//!
//! To prevent request smuggling, it rejects every form that two HTTP implementations could interpret differently: line
//! ends other than CR LF, line folding, spaces before a colon, control characters, several or signed lengths, and a
//! length together with a transfer coding.

use {
    crate::{
        Headers, MessageError, MessageError::Malformed, Method, limits::MAX_HEADER_FIELDS,
        message::parse_method,
    },
    std::str,
};

/// Maximum number of digits of `content-length`; allows lengths up to a petabyte and cannot overflow `u64`.
const MAX_LENGTH_DIGITS: usize = 15;

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body.
    None,
    /// The body has this many bytes.
    Length(u64),
    /// The body is in chunked transfer coding.
    Chunked,
}

/// Validated head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Registered method other than CONNECT.
    pub method: Method,
    /// Target in origin form, beginning with `/`.
    pub path: String,
    /// Fields without the connection-specific ones.
    pub headers: Headers,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the client asked to close the connection after the response.
    pub close: bool,
    /// Whether the client waits for status 100 before it sends the body.
    pub expects_continue: bool,
}

/// Validated head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code, 100 to 599.
    pub status: u16,
    /// Fields without the connection-specific ones.
    pub headers: Headers,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the server closes the connection after the response.
    pub close: bool,
}

/// Finds the end of a head; bytes before `from` were scanned by an earlier call.
///
/// # Errors
///
/// Returns an error for a CR or LF outside a CR LF pair, so that a malformed head is rejected at once instead of after
/// the timeout.
pub fn head_end(bytes: &[u8], from: usize) -> Result<Option<usize>, MessageError> {
    for index in from.saturating_sub(1)..bytes.len() {
        match bytes[index] {
            b'\n' if index == 0 || bytes[index - 1] != b'\r' => return Err(Malformed("bare LF")),
            b'\r' if bytes.get(index + 1).is_some_and(|next| *next != b'\n') => {
                return Err(Malformed("bare CR"));
            }
            b'\n' if index == 1 => return Err(Malformed("empty line before the head")),
            b'\n' if index >= 3 && bytes[index - 2] == b'\n' => return Ok(Some(index + 1)),
            _ => {}
        }
    }
    Ok(None)
}

/// Parses and validates the head of a request, including the empty line at its end.
///
/// # Errors
///
/// Returns an error if the head is malformed, ambiguous or not supported.
pub fn parse_request_head(bytes: &[u8]) -> Result<RequestHead, MessageError> {
    let mut lines = head_lines(bytes)?;
    let (method, target) = parse_request_line(lines.next().unwrap_or_default())?;
    let fields = parse_fields(lines)?;
    let host = single_value(&fields, "host", "Host must be given exactly once")?
        .ok_or(Malformed("Host is missing"))?;
    if !is_host(host) {
        return Err(Malformed("invalid Host"));
    }
    let path = origin_form(target, host)?;
    let framing = request_framing(&fields)?;
    let expects_continue = match fields.get("expect") {
        None => false,
        Some(value) if value.eq_ignore_ascii_case("100-continue") => framing != Framing::None,
        Some(_) => return Err(MessageError::Expectation),
    };
    let close = has_connection_option(&fields, "close");
    let mut headers = remove_connection_fields(fields);
    headers.remove("content-length");
    Ok(RequestHead {
        method,
        path,
        headers,
        framing,
        close,
        expects_continue,
    })
}

/// Parses and validates the head of a response to a request with this method.
///
/// # Errors
///
/// Returns an error if the head is malformed, ambiguous or not supported.
pub fn parse_response_head(bytes: &[u8], method: Method) -> Result<ResponseHead, MessageError> {
    let mut lines = head_lines(bytes)?;
    let status = parse_status_line(lines.next().unwrap_or_default())?;
    let fields = parse_fields(lines)?;
    let bodiless = method == Method::Head || matches!(status, 100..=199 | 204 | 304);
    let declared = declared_framing(&fields)?;
    let framing = match declared {
        _ if bodiless => Framing::None,
        Some(framing) => framing,
        None => return Err(Malformed("response without a length")),
    };
    let close = has_connection_option(&fields, "close");
    let mut headers = remove_connection_fields(fields);
    if !bodiless {
        headers.remove("content-length");
    }
    Ok(ResponseHead {
        status,
        headers,
        framing,
        close,
    })
}

/// Validates one field line in the trailer of a chunked body.
///
/// # Errors
///
/// Returns an error if the line is not a valid header field.
pub fn check_trailer_line(line: &[u8]) -> Result<(), MessageError> {
    parse_field(line).map(|_| ())
}

/// Whether the text is a token, the syntax of methods and field names.
pub fn is_token(text: &[u8]) -> bool {
    !text.is_empty() && text.iter().all(|byte| TOKEN_BYTES[usize::from(*byte)])
}

/// Whether the bytes are a valid field value; http-types supports only ASCII.
pub fn is_field_value(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| matches!(byte, b'\t' | b' '..=b'~'))
}

/// Whether the text is a valid request target in origin form.
pub fn is_origin_form(target: &str) -> bool {
    target.starts_with('/') && target.bytes().all(|byte| matches!(byte, b'!'..=b'~'))
}

/// Whether the text is a valid value of the Host field.
pub fn is_host(text: &str) -> bool {
    let allowed = |byte: u8| {
        byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':' | b'[' | b']')
    };
    !text.is_empty() && text.bytes().all(allowed)
}

/// Whether each byte may occur in a token; a table, because every byte of every field name is looked up.
const TOKEN_BYTES: [bool; 256] = {
    let mut table = [false; 256];
    let mut byte = 0_u8;
    while byte < 128 {
        table[byte as usize] = byte.is_ascii_alphanumeric()
            || matches!(
                byte,
                b'!' | b'#'
                    | b'$'
                    | b'%'
                    | b'&'
                    | b'\''
                    | b'*'
                    | b'+'
                    | b'-'
                    | b'.'
                    | b'^'
                    | b'_'
                    | b'`'
                    | b'|'
                    | b'~'
            );
        byte += 1;
    }
    table
};

/// Iterates over the lines of a head without line ends and without the final empty line.
fn head_lines(bytes: &[u8]) -> Result<impl Iterator<Item = &[u8]>, MessageError> {
    let text = bytes
        .strip_suffix(b"\r\n\r\n")
        .ok_or(Malformed("head without an end"))?;
    Ok(text
        .split(|byte| *byte == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line)))
}

fn parse_request_line(line: &[u8]) -> Result<(Method, &str), MessageError> {
    let line = str::from_utf8(line).map_err(|_| Malformed("invalid request line"))?;
    let mut parts = line.split(' ');
    let (Some(method), Some(target), Some(version), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(Malformed("invalid request line"));
    };
    if !is_token(method.as_bytes()) {
        return Err(Malformed("invalid method"));
    }
    check_version(version)?;
    let method = parse_method(method).filter(|method| *method != Method::Connect);
    Ok((method.ok_or(MessageError::Method)?, target))
}

fn parse_status_line(line: &[u8]) -> Result<u16, MessageError> {
    let line = str::from_utf8(line).map_err(|_| Malformed("invalid status line"))?;
    let (version, rest) = line
        .split_once(' ')
        .ok_or(Malformed("invalid status line"))?;
    check_version(version)?;
    let (code, reason) = rest.split_once(' ').unwrap_or((rest, ""));
    if !is_field_value(reason.as_bytes()) {
        return Err(Malformed("invalid reason"));
    }
    let digits = code.len() == 3 && code.bytes().all(|byte| byte.is_ascii_digit());
    code.parse()
        .ok()
        .filter(|code| digits && (100..600).contains(code))
        .ok_or(Malformed("invalid status code"))
}

fn check_version(version: &str) -> Result<(), MessageError> {
    match version.as_bytes() {
        b"HTTP/1.1" => Ok(()),
        [b'H', b'T', b'T', b'P', b'/', b'0'..=b'9', b'.', b'0'..=b'9'] => {
            Err(MessageError::Version)
        }
        _ => Err(Malformed("invalid version")),
    }
}

fn parse_fields<'a>(lines: impl Iterator<Item = &'a [u8]>) -> Result<Headers, MessageError> {
    let mut fields = Headers::new();
    for line in lines {
        if fields.len() == MAX_HEADER_FIELDS {
            return Err(MessageError::HeadTooLarge);
        }
        let (name, value) = parse_field(line)?;
        fields.append(name, value);
    }
    Ok(fields)
}

fn parse_field(line: &[u8]) -> Result<(&str, &str), MessageError> {
    if matches!(line.first(), Some(b' ' | b'\t')) {
        return Err(Malformed("line folding"));
    }
    let colon = line.iter().position(|byte| *byte == b':');
    let (name, value) = line.split_at(colon.ok_or(Malformed("field without a colon"))?);
    let value = &value[1..];
    if !is_token(name) {
        return Err(Malformed("invalid field name"));
    }
    if !is_field_value(value) {
        return Err(Malformed("invalid field value"));
    }
    let text = |bytes| str::from_utf8(bytes).map_err(|_| Malformed("invalid field"));
    // Validated before trimming, because trimming would also remove invalid form feeds.
    Ok((text(name)?, text(value.trim_ascii())?))
}

/// Returns the value of a field that may occur at most once; `problem` is the error text otherwise.
fn single_value<'a>(
    fields: &'a Headers,
    name: &'a str,
    problem: &'static str,
) -> Result<Option<&'a str>, MessageError> {
    let mut values = fields.get_all(name);
    let first = values.next();
    if values.next().is_some() {
        return Err(Malformed(problem));
    }
    Ok(first)
}

/// Converts the target to origin form; the host of an absolute-form target must equal the Host field.
fn origin_form(target: &str, host: &str) -> Result<String, MessageError> {
    let path = match target.strip_prefix("http://") {
        Some(rest) => {
            let slash = rest.find('/').ok_or(Malformed("target without a path"))?;
            let (authority, path) = rest.split_at(slash);
            if !authority.eq_ignore_ascii_case(host) {
                return Err(Malformed("Host differs from the target"));
            }
            path
        }
        None => target,
    };
    if !is_origin_form(path) {
        return Err(Malformed("invalid target"));
    }
    Ok(path.to_owned())
}

fn request_framing(fields: &Headers) -> Result<Framing, MessageError> {
    match declared_framing(fields)? {
        None | Some(Framing::Length(0)) => Ok(Framing::None),
        Some(framing) => Ok(framing),
    }
}

fn declared_framing(fields: &Headers) -> Result<Option<Framing>, MessageError> {
    let length = single_value(fields, "content-length", "several lengths")?;
    let coding = single_value(fields, "transfer-encoding", "several transfer codings")?;
    match (length, coding) {
        (None, None) => Ok(None),
        (Some(length), None) => parse_length(length).map(|length| Some(Framing::Length(length))),
        (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (None, Some(_)) => Err(Malformed("unknown transfer coding")),
        (Some(_), Some(_)) => Err(Malformed("length beside a transfer coding")),
    }
}

fn parse_length(text: &str) -> Result<u64, MessageError> {
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !digits || text.len() > MAX_LENGTH_DIGITS {
        return Err(Malformed("invalid length"));
    }
    text.parse().map_err(|_| Malformed("invalid length"))
}

fn has_connection_option(fields: &Headers, option: &str) -> bool {
    fields
        .get_all("connection")
        .flat_map(|value| value.split(','))
        .any(|item| item.trim().eq_ignore_ascii_case(option))
}

/// Removes connection-specific fields, including those that the Connection field lists.
fn remove_connection_fields(mut fields: Headers) -> Headers {
    // A Connection field cannot remove the length or the host, because they define the message.
    let listed: Vec<String> = fields
        .get_all("connection")
        .flat_map(|value| value.split(','))
        .map(|item| item.trim().to_ascii_lowercase())
        .filter(|item| item != "content-length" && item != "host")
        .collect();
    fields.retain(|name| {
        !is_connection_field(name) && !listed.iter().any(|listed_name| listed_name == name)
    });
    fields
}

/// Whether a field is connection-specific (hop-by-hop).
pub fn is_connection_field(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "expect"
            | "keep-alive"
            | "proxy-connection"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
    )
}
