//! Content of a claim's row.

use {
    ragwortreel_model::Workspace,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Largest body of a stored answer; larger ones are not stored, and repeats of their requests get no replay.
pub const MAX_STORED_BODY_BYTES: usize = 64 * 1024;
/// Most header fields of a stored answer.
const MAX_STORED_HEADERS: usize = 64;

/// Answer that is replayed to repeats of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: Vec<(Arc<str>, Arc<str>)>,
    /// Body.
    #[serde(with = "body")]
    pub body: Vec<u8>,
}

impl StoredResponse {
    /// Whether it is small enough to be stored.
    #[must_use]
    pub fn fits(&self) -> bool {
        self.body.len() <= MAX_STORED_BODY_BYTES && self.headers.len() <= MAX_STORED_HEADERS
    }
}

/// Bodies are mostly text, which is kept readable; others are kept in hexadecimal.
mod body {
    use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "kebab-case")]
    enum Form<'a> {
        Text(std::borrow::Cow<'a, str>),
        Hex(String),
    }

    pub fn serialize<S: Serializer>(body: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        let form = match std::str::from_utf8(body) {
            Ok(text) => Form::Text(text.into()),
            Err(_) => Form::Hex(super::to_hex(body)),
        };
        form.serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        match Form::deserialize(deserializer)? {
            Form::Text(text) => Ok(text.into_owned().into_bytes()),
            Form::Hex(hex) => from_hex(&hex).ok_or_else(|| D::Error::custom("invalid hexadecimal")),
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

/// Bytes in lower-case hexadecimal.
pub(crate) fn to_hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::new(), |mut hex, byte| {
        // Writing to a string cannot fail.
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}

/// What became of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub(crate) enum ClaimState {
    /// The holder of the claim may have sent the request.
    Running,
    /// The request certainly did not run under this claim.
    Released,
    /// The request ran.
    Answered {
        /// Its answer, unless that was too large.
        answer: Option<StoredResponse>,
    },
}

/// A claim's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ClaimRecord {
    /// Number of the claim of this key, from 1.
    pub attempt: u32,
    /// Names the holder, unique for each attempt to claim.
    pub holder: Arc<str>,
    /// Digest of the request.
    pub digest: Arc<str>,
    /// Wall-clock minute of the claim, which decides when the row is removed.
    pub minute: u64,
    /// What became of the request.
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
        // The types hold nothing that JSON cannot express; an empty value would be read as a claim without result.
        Arc::from(serde_json::to_string(self).unwrap_or_default())
    }
}

/// Key of a claim's row. The caller's key may hold any bytes and have any length, so its digest stands in for it.
pub(crate) fn claim_key(workspace: &Workspace, key: &str) -> Arc<str> {
    use sha2::{Digest, Sha256};
    let digest = to_hex(&Sha256::digest(key.as_bytes()));
    Arc::from(format!("once/{workspace}/{digest}"))
}

/// Prefix of the rows that list the claims of a minute.
pub(crate) fn minute_prefix(minute: u64) -> String {
    format!("once-age/{minute:010}/")
}

/// Key of the row that lists a claim under its minute.
pub(crate) fn age_key(minute: u64, claim_key: &str) -> Arc<str> {
    Arc::from(format!("{}{claim_key}", minute_prefix(minute)))
}

/// Key of the claim that an age row lists.
pub(crate) fn claim_of_age_key<'a>(age_key: &'a str, prefix: &str) -> Option<&'a str> {
    age_key.strip_prefix(prefix)
}
