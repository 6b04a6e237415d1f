//! Rows of claims: their keys and their JSON form.

use {
    ragwortreel_model::Workspace,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Maximum body size of a stored response in bytes; a larger response is not stored and cannot be replayed.
pub const MAX_STORED_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of header fields of a stored response.
const MAX_STORED_HEADERS: usize = 64;

/// Response that is replayed to repeats of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Names and values of the header fields, in order.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body, which need not be text.
    #[serde(with = "body")]
    pub body: Vec<u8>,
}

impl StoredResponse {
    /// Whether the response is small enough to be stored.
    #[must_use]
    pub fn fits(&self) -> bool {
        self.body.len() <= MAX_STORED_BODY_BYTES && self.headers.len() <= MAX_STORED_HEADERS
    }
}

/// Serializes a body as text if it is UTF-8, which keeps most rows readable, and in hexadecimal otherwise.
mod body {
    use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "kebab-case")]
    enum EncodedBody<'a> {
        Text(std::borrow::Cow<'a, str>),
        Hex(String),
    }

    pub fn serialize<S: Serializer>(body: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        let form = match std::str::from_utf8(body) {
            Ok(text) => EncodedBody::Text(text.into()),
            Err(_) => EncodedBody::Hex(super::to_hex(body)),
        };
        form.serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        match EncodedBody::deserialize(deserializer)? {
            EncodedBody::Text(text) => Ok(text.into_owned().into_bytes()),
            EncodedBody::Hex(hex) => {
                from_hex(&hex).ok_or_else(|| D::Error::custom("invalid hexadecimal"))
            }
        }
    }

    fn from_hex(hex: &str) -> Option<Vec<u8>> {
        let digits = hex.as_bytes();
        if !digits.len().is_multiple_of(2) {
            return None;
        }
        let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
        digits.chunks(2).map(byte).collect()
    }
}

/// Encodes bytes in lower-case hexadecimal.
pub(crate) fn to_hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::new(), |mut hex, byte| {
        // Writing to a string cannot fail.
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}

/// State of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub(crate) enum ClaimState {
    /// The holder of the claim may have sent the request, or may still send it.
    Running,
    /// The request did not run under this claim.
    Released,
    /// The request ran.
    Answered {
        /// Its response; `None` if that was too large to be stored.
        answer: Option<StoredResponse>,
    },
}

/// Content of a claim's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimRecord {
    /// Number of claims of this key so far, from 1.
    pub attempt: u32,
    /// Identifier of the holder, unique to each attempt to claim.
    pub holder: Arc<str>,
    /// Digest of the request, see [`request_digest`](super::request_digest).
    pub digest: Arc<str>,
    /// Minute since the Unix epoch in which the claim was written; decides when the row is deleted.
    pub minute: u64,
    /// State of the request.
    #[serde(flatten)]
    pub state: ClaimState,
}

impl ClaimRecord {
    pub(crate) fn parse(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    pub(crate) fn with_state(&self, state: ClaimState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }

    pub(crate) fn to_value(&self) -> Arc<str> {
        // Serialization cannot fail for these types; an empty value would be read as a claim with an unknown outcome.
        Arc::from(serde_json::to_string(self).unwrap_or_default())
    }
}

/// Key of a claim's row. It contains the digest of the caller's key, which may have any length and content.
pub(crate) fn claim_key(workspace: &Workspace, key: &str) -> Arc<str> {
    use sha2::{Digest, Sha256};
    let digest = to_hex(&Sha256::digest(key.as_bytes()));
    Arc::from(format!("once/{workspace}/{digest}"))
}

/// Key prefix of the index rows of all claims written in a minute.
pub(crate) fn minute_prefix(minute: u64) -> String {
    format!("once-age/{minute:010}/")
}

/// Key of a claim's index row under its minute.
pub(crate) fn index_key(minute: u64, claim_key: &str) -> Arc<str> {
    Arc::from(format!("{}{claim_key}", minute_prefix(minute)))
}

/// Key of the claim that an index row refers to.
pub(crate) fn claim_key_of_index_key<'a>(index_key: &'a str, prefix: &str) -> Option<&'a str> {
    index_key.strip_prefix(prefix)
}
