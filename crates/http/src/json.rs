//! JSON bodies with limits on size and depth.

use {
    crate::{Method, Request, Response},
    derive_more::{Display, Error},
    serde::{Serialize, de::DeserializeOwned},
};

/// Largest JSON body that [`parse_json`] accepts by default.
pub const MAX_JSON_BYTES: usize = 1024 * 1024;
/// Deepest nesting that is accepted; bounds the stack that the parser uses.
pub const MAX_JSON_DEPTH: usize = 32;

/// A JSON body that is not accepted.
#[derive(Debug, Display, Error)]
pub enum JsonError {
    /// The body is larger than the limit.
    #[display("JSON of {bytes} bytes is over the limit of {limit}")]
    TooLarge {
        /// Size in bytes.
        bytes: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// The nesting is deeper than the limit.
    #[display("JSON is nested deeper than {MAX_JSON_DEPTH}")]
    TooDeep,
    /// The body is not JSON of the expected form.
    #[display("{_0}")]
    Invalid(serde_json::Error),
}

/// Parses a JSON body of at most `max_bytes` bytes.
///
/// # Errors
///
/// Returns an error when the body is too large, nested too deeply or not of the expected form.
pub fn parse_json<T: DeserializeOwned>(body: &[u8], max_bytes: usize) -> Result<T, JsonError> {
    if body.len() > max_bytes {
        return Err(JsonError::TooLarge {
            bytes: body.len(),
            limit: max_bytes,
        });
    }
    if depth(body) > MAX_JSON_DEPTH {
        return Err(JsonError::TooDeep);
    }
    serde_json::from_slice(body).map_err(JsonError::Invalid)
}

/// Deepest nesting of arrays and objects outside strings.
fn depth(body: &[u8]) -> usize {
    let (mut now, mut deepest) = (0_usize, 0);
    let (mut in_string, mut escaped) = (false, false);
    for byte in body {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => {
                now += 1;
                deepest = deepest.max(now);
            }
            b']' | b'}' if !in_string => now = now.saturating_sub(1),
            _ => {}
        }
    }
    deepest
}

/// A request with a JSON body.
///
/// # Errors
///
/// Returns an error when the value cannot be written as JSON.
pub fn json_request<T: Serialize + ?Sized>(
    method: Method,
    path: impl Into<String>,
    value: &T,
) -> Result<Request, JsonError> {
    let body = serde_json::to_vec(value).map_err(JsonError::Invalid)?;
    Ok(Request::new(method, path)
        .with_header("content-type", "application/json")
        .with_body(body))
}

/// A response with a JSON body.
///
/// # Errors
///
/// Returns an error when the value cannot be written as JSON.
pub fn json_response<T: Serialize + ?Sized>(status: u16, value: &T) -> Result<Response, JsonError> {
    let body = serde_json::to_vec(value).map_err(JsonError::Invalid)?;
    Ok(Response::new(status)
        .with_header("content-type", "application/json")
        .with_body(body))
}
