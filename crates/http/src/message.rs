//! Requests and responses with whole bodies.

use std::str::FromStr;

pub use http_types::Method;

/// Header fields in the order of the message, with lower-case names.
///
/// Several fields may have the same name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<(String, String)>,
}

impl Headers {
    /// No fields.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Value of the first field of this name; `name` is in lower case.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(field, _)| field == name)
            .map(|(_, value)| value.as_str())
    }

    /// Values of all fields of this name; `name` is in lower case.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.iter()
            .filter(move |(field, _)| *field == name)
            .map(|(_, value)| value)
    }

    /// Whether a field of this name exists.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.get(name).is_some()
    }

    /// Adds a field after all others.
    pub fn append(&mut self, name: &str, value: impl Into<String>) {
        self.fields.push((name.to_ascii_lowercase(), value.into()));
    }

    /// Replaces all fields of this name by one.
    pub fn insert(&mut self, name: &str, value: impl Into<String>) {
        let name = name.to_ascii_lowercase();
        self.remove(&name);
        self.fields.push((name, value.into()));
    }

    /// Removes all fields of this name; `name` is in lower case.
    pub fn remove(&mut self, name: &str) {
        self.fields.retain(|(field, _)| field != name);
    }

    /// Keeps the fields for which the predicate on the name is true.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.fields.retain(|(field, _)| keep(field));
    }

    /// All fields in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.fields
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Number of fields.
    #[must_use]
    pub fn len(&self) -> usize {
        self.fields.len()
    }

    /// Whether there is no field.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.fields.is_empty()
    }
}

/// A request with its whole body.
///
/// Fields that concern one connection only (`connection`, `transfer-encoding`, `expect` and the like) are absent from
/// received requests, and the length is always that of `body` when sending.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Raw request target with the query, beginning with `/`.
    pub path: String,
    /// Header fields.
    pub headers: Headers,
    /// Whole body.
    pub body: Vec<u8>,
}

impl Request {
    /// A request without body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Headers::new(),
            body: Vec::new(),
        }
    }

    /// A GET request.
    pub fn get(path: impl Into<String>) -> Self {
        Self::new(Method::Get, path)
    }

    /// A POST request with a body.
    pub fn post(path: impl Into<String>, body: impl Into<Vec<u8>>) -> Self {
        Self::new(Method::Post, path).with_body(body)
    }

    /// Replaces the body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// Adds a header field.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.append(name, value);
        self
    }

    /// The target without the query.
    #[must_use]
    pub fn path_only(&self) -> &str {
        self.path
            .split_once('?')
            .map_or(&self.path, |(path, _)| path)
    }

    /// The query without the question mark.
    #[must_use]
    pub fn query(&self) -> Option<&str> {
        self.path.split_once('?').map(|(_, query)| query)
    }
}

/// A response with its whole body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Status code, 200 to 599 when received.
    pub status: u16,
    /// Header fields.
    pub headers: Headers,
    /// Whole body.
    pub body: Vec<u8>,
}

impl Response {
    /// A response without body.
    #[must_use]
    pub fn new(status: u16) -> Self {
        Self {
            status,
            headers: Headers::new(),
            body: Vec::new(),
        }
    }

    /// A plain text response.
    pub fn text(status: u16, body: impl Into<String>) -> Self {
        Self::new(status)
            .with_header("content-type", "text/plain; charset=utf-8")
            .with_body(body.into())
    }

    /// Replaces the body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// Adds a header field.
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

/// The method of this name, if it is a registered one.
pub(crate) fn method_of(name: &str) -> Option<Method> {
    // `Method::from_str` also accepts other spellings, but method names are case-sensitive.
    Method::from_str(name)
        .ok()
        .filter(|method| method.as_ref() == name)
}
