//! Requests and responses whose bodies are held completely in memory.

use std::str::FromStr;

pub use http_types::Method;

/// Header fields in message order; names are stored in lower case, and several fields may share one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<(String, String)>,
}

impl Headers {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the value of the first field with this name, which must be given in lower case.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(field, _)| field == name)
            .map(|(_, value)| value.as_str())
    }

    /// Iterates over the values of all fields with this name, which must be given in lower case.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.iter()
            .filter(move |(field, _)| *field == name)
            .map(|(_, value)| value)
    }

    /// Whether a field with this name exists; it must be given in lower case.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    /// Appends a field and keeps others of the same name.
    pub fn append(&mut self, name: &str, value: impl Into<String>) {
        self.fields.push((name.to_ascii_lowercase(), value.into()));
    }

    /// Removes all fields of this name and appends the new one.
    pub fn insert(&mut self, name: &str, value: impl Into<String>) {
        let name = name.to_ascii_lowercase();
        self.remove(&name);
        self.fields.push((name, value.into()));
    }

    /// Removes all fields with this name, which must be given in lower case.
    pub fn remove(&mut self, name: &str) {
        self.fields.retain(|(field, _)| field != name);
    }

    /// Keeps only the fields whose lower-case name satisfies the predicate.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.fields.retain(|(field, _)| keep(field));
    }

    /// Iterates over names and values in message order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.fields
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Number of fields, counting repeated names.
    #[must_use]
    pub fn len(&self) -> usize {
        self.fields.len()
    }

    /// Whether the list has no fields.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.fields.is_empty()
    }
}

/// A request with its complete body.
///
/// Received requests contain no connection-specific fields (`connection`, `transfer-encoding`, `expect` and similar).
/// When a request is sent, these fields are dropped and `content-length` is set to the length of `body`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Request method; CONNECT is not supported.
    pub method: Method,
    /// Request target in origin form: path and query, beginning with `/`, not percent-decoded.
    pub path: String,
    /// Header fields; connection-specific ones are ignored when sending.
    pub headers: Headers,
    /// Complete body after removal of the transfer coding.
    pub body: Vec<u8>,
}

impl Request {
    /// Creates a request without header fields or body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Headers::new(),
            body: Vec::new(),
        }
    }

    /// Creates a GET request without header fields or body.
    pub fn get(path: impl Into<String>) -> Self {
        Self::new(Method::Get, path)
    }

    /// Creates a POST request without header fields.
    pub fn post(path: impl Into<String>, body: impl Into<Vec<u8>>) -> Self {
        Self::new(Method::Post, path).with_body(body)
    }

    /// Returns the message with its body replaced.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// Returns the message with a header field appended.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.append(name, value);
        self
    }

    /// Returns the part of the target before the question mark.
    #[must_use]
    pub fn path_only(&self) -> &str {
        self.path
            .split_once('?')
            .map_or(&self.path, |(path, _)| path)
    }

    /// Returns the part of the target after the question mark.
    #[must_use]
    pub fn query(&self) -> Option<&str> {
        self.path.split_once('?').map(|(_, query)| query)
    }
}

/// A response with its complete body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Status code, 200 to 599.
    pub status: u16,
    /// Header fields; connection-specific ones are ignored when sending.
    pub headers: Headers,
    /// Complete body after removal of the transfer coding.
    pub body: Vec<u8>,
}

impl Response {
    /// Creates a response without header fields or body.
    #[must_use]
    pub fn new(status: u16) -> Self {
        Self {
            status,
            headers: Headers::new(),
            body: Vec::new(),
        }
    }

    /// Creates a `text/plain` response.
    pub fn text(status: u16, body: impl Into<String>) -> Self {
        Self::new(status)
            .with_header("content-type", "text/plain; charset=utf-8")
            .with_body(body.into())
    }

    /// Returns the message with its body replaced.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// Returns the message with a header field appended.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.append(name, value);
        self
    }

    /// Whether the status is 200 to 299.
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Parses the name of a registered method.
pub(crate) fn parse_method(name: &str) -> Option<Method> {
    // `Method::from_str` also accepts other spellings, but method names are case-sensitive.
    Method::from_str(name)
        .ok()
        .filter(|method| method.as_ref() == name)
}
