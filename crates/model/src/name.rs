//! Validated names of workspaces, zones, instances, workers, jobs and services.
//!
//! A name is an immutable, reference-counted string. It is validated when it is created or deserialized: 1 to 128 ASCII
//! letters, digits, `-`, `_` and `.`, so that table keys, URL paths and log lines can contain it without escaping.

use {
    derive_more::{Display, Error},
    serde::{Deserialize, Deserializer, Serialize},
    std::sync::Arc,
};

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// An invalid name.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("name {name:?} must be 1 to {MAX_NAME_BYTES} ASCII letters, digits, '-', '_' or '.'")]
pub struct NameError {
    /// Rejected text, truncated to [`MAX_NAME_BYTES`] characters.
    pub name: String,
}

fn check_name(text: &str) -> Result<(), NameError> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed) {
        return Ok(());
    }
    Err(NameError {
        name: text.chars().take(MAX_NAME_BYTES).collect(),
    })
}

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from a text after validating it.
            ///
            /// # Errors
            ///
            /// Returns an error when the text is empty, longer than [`MAX_NAME_BYTES`] or contains a character other
            /// than ASCII letters, digits, `-`, `_` and `.`.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
                Self::new(&text).map_err(serde::de::Error::custom)
            }
        }
    )*};
}

name_types! {
    /// Name of a workspace.
    Workspace;
    /// Name of an availability zone.
    Zone;
    /// Name of an instance in the platform's list: an entry instance, a worker or a backend server.
    InstanceId;
    /// Name of a worker.
    WorkerId;
    /// Name of a rack.
    Rack;
    /// Name of a pool, a set of workers that is owned by one entry instance at a time.
    Pool;
    /// Identifier of a job.
    JobId;
    /// Name of a service that backend servers offer.
    ServiceName;
}
