//! Bearer tokens.
//!
//! The settings hold only SHA-256 digests of tokens. The digests are compared without an early exit, so that the time
//! of a refusal does not tell how much of a token was right.

use {
    ragwortreel_model::{Settings, Workspace},
    sha2::{Digest, Sha256},
    std::{
        collections::BTreeMap,
        fmt::Write as _,
        sync::{Arc, PoisonError, RwLock},
    },
};

/// Who sent a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Principal {
    /// An operator, who may act on all workspaces.
    Operator,
    /// A workspace, which may act on its own branch and jobs only.
    Workspace(Workspace),
}

impl Principal {
    /// Whether this principal may act on what belongs to the workspace.
    #[must_use]
    pub fn can_access(&self, workspace: &Workspace) -> bool {
        match self {
            Self::Operator => true,
            Self::Workspace(own) => own == workspace,
        }
    }
}

/// SHA-256 of a token in lower-case hexadecimal.
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

/// Finds the principal of a token.
#[derive(Debug, Default)]
pub struct Authenticator {
    by_digest: RwLock<Arc<Digests>>,
}

#[derive(Debug, Default)]
struct Digests {
    operator: String,
    workspaces: BTreeMap<String, Workspace>,
}

impl Authenticator {
    /// Makes an authenticator that knows nobody.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes over the digests of a settings tree.
    pub fn update(&self, settings: &Settings) {
        let workspaces = settings
            .workspaces
            .iter()
            .filter(|(_, branch)| !branch.token_sha256.is_empty());
        let digests = Digests {
            operator: settings.cell.operator_token_sha256.clone(),
            workspaces: workspaces
                .map(|(workspace, branch)| (branch.token_sha256.clone(), workspace.clone()))
                .collect(),
        };
        *self
            .by_digest
            .write()
            .unwrap_or_else(PoisonError::into_inner) = Arc::new(digests);
    }

    /// Finds who the value of an `authorization` header belongs to.
    #[must_use]
    pub fn authenticate(&self, authorization: Option<&str>) -> Option<Principal> {
        let token = authorization?.strip_prefix("Bearer ")?;
        let digest = token_digest(token);
        let digests = Arc::clone(
            &self
                .by_digest
                .read()
                .unwrap_or_else(PoisonError::into_inner),
        );
        if equal_in_constant_time(&digest, &digests.operator) {
            return Some(Principal::Operator);
        }
        // The map is keyed by digest, so a lookup reveals at most digest prefixes, never token prefixes.
        digests
            .workspaces
            .get(&digest)
            .cloned()
            .map(Principal::Workspace)
    }
}

fn equal_in_constant_time(a: &str, b: &str) -> bool {
    let differences = a
        .bytes()
        .zip(b.bytes())
        .fold(0, |acc, (x, y)| acc | (x ^ y));
    a.len() == b.len() && differences == 0
}
