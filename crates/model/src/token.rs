//! Digests of bearer tokens.
//!
//! Settings and memory hold only digests, so that a token cannot leak from a log line, an error or a dump.

use {
    sha2::{Digest, Sha256},
    std::fmt::Write as _,
};

/// Returns the SHA-256 digest of a token in lower-case hexadecimal.
#[must_use]
pub fn token_digest(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest
        .iter()
        .fold(String::with_capacity(64), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        })
}
