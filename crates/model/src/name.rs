//! Names of the things that are shared between packages.
//!
//! A name is an immutable shared string. It is checked once, when it enters the system: 1 to 128 bytes of ASCII
//! letters, digits, `-`, `_` and `.`, so that it can stand in a table key, a URL path and a log line unescaped.

use {
    derive_more::{Display, Error},
    serde::{Deserialize, Deserializer, Serialize},
    std::sync::Arc,
};

/// Longest accepted name.
pub const MAX_NAME_BYTES: usize = 128;

/// A name that cannot be accepted.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("name {name:?} must be 1 to {MAX_NAME_BYTES} ASCII letters, digits, '-', '_' or '.'")]
pub struct NameError {
    /// The refused text, cut to the longest accepted length.
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
            /// Checks the text and makes a name of it.
            ///
            /// # Errors
            ///
            /// Returns an error when the text is empty, too long or has other characters.
            pub fn new(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The name as text.
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
    /// Name of an entry instance or another machine of the platform.
    InstanceId;
    /// Name of a worker.
    WorkerId;
    /// Name of a rack.
    Rack;
    /// Name of a pool: the workers that one instance owns together.
    Pool;
    /// Identifier of a job.
    JobId;
    /// Name of a service that backend servers offer.
    ServiceName;
}
