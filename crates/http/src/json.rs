//! JSON bodies with limits on size and depth.

use {
    crate::{Method, Request, Response},
    derive_more::{Display, Error},
    serde::{Serialize, de::DeserializeOwned},
};

/// Basic size limit of JSON bodies, from which callers derive the `max_bytes` of [`parse_json`].
pub const MAX_JSON_BYTES: usize = 1024 * 1024;
/// Deepest nesting that [`parse_json`] accepts; bounds the stack that the parser uses.
pub const MAX_JSON_DEPTH: usize = 32;

/// Reason why a JSON body is rejected or cannot be written.
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
    /// The body is not valid JSON or does not match the expected type.
    #[display("{_0}")]
    Invalid(serde_json::Error),
}

/// Parses a JSON body of at most `max_bytes` bytes.
///
/// # Errors
///
/// Returns an error if the body is too large, is nested too deeply or does not match the expected type.
pub fn parse_json<T: DeserializeOwned>(body: &[u8], max_bytes: usize) -> Result<T, JsonError> {
    if body.len() > max_bytes {
        return Err(JsonError::TooLarge {
            bytes: body.len(),
            limit: max_bytes,
        });
    }
    if nesting_depth(body) > MAX_JSON_DEPTH {
        return Err(JsonError::TooDeep);
    }
    serde_json::from_slice(body).map_err(JsonError::Invalid)
}

/// Greatest nesting depth of arrays and objects; brackets within strings are ignored.
fn nesting_depth(body: &[u8]) -> usize {
    let (mut depth, mut deepest) = (0_usize, 0);
    let (mut in_string, mut escaped) = (false, false);
    for byte in body {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => {
                depth += 1;
                deepest = deepest.max(depth);
            }
            b']' | b'}' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    deepest
}

/// Creates a request with a JSON body and the matching `content-type`.
///
/// # Errors
///
/// Returns an error if the value cannot be serialized as JSON.
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

/// Creates a response with a JSON body and the matching `content-type`.
///
/// # Errors
///
/// Returns an error if the value cannot be serialized as JSON.
pub fn json_response<T: Serialize + ?Sized>(status: u16, value: &T) -> Result<Response, JsonError> {
    let body = serde_json::to_vec(value).map_err(JsonError::Invalid)?;
    Ok(Response::new(status)
        .with_header("content-type", "application/json")
        .with_body(body))
}
