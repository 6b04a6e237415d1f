//! Authentication of bearer tokens.
//!
//! The settings hold only SHA-256 digests of tokens. The operator's digest is compared in constant time, so that the
//! response time does not reveal how many characters match.

use {
    ragwortreel_model::{Settings, Workspace, token_digest},
    std::{
        collections::BTreeMap,
        sync::{Arc, PoisonError, RwLock},
    },
};

/// Authenticated sender of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Principal {
    /// Operator with access to all workspaces.
    Operator,
    /// Workspace with access to its own settings and jobs only.
    Workspace(Workspace),
}

impl Principal {
    /// Returns whether the principal has access to the workspace's settings and jobs.
    #[must_use]
    pub fn can_access(&self, workspace: &Workspace) -> bool {
        match self {
            Self::Operator => true,
            Self::Workspace(own) => own == workspace,
        }
    }
}

/// Authenticates bearer tokens against the digests in the settings.
#[derive(Debug, Default)]
pub struct Authenticator {
    digests: RwLock<Arc<Digests>>,
}

#[derive(Debug, Default)]
struct Digests {
    operator: String,
    workspaces: BTreeMap<String, Workspace>,
}

impl Authenticator {
    /// Creates an authenticator that rejects every token until [`update`](Self::update) is called.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the digests by those of a settings tree.
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
        *self.digests.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(digests);
    }

    /// Returns the principal whose token is in the value of an `authorization` header, if there is one.
    #[must_use]
    pub fn authenticate(&self, authorization: Option<&str>) -> Option<Principal> {
        let token = authorization?.strip_prefix("Bearer ")?;
        let digest = token_digest(token);
        let digests = Arc::clone(&self.digests.read().unwrap_or_else(PoisonError::into_inner));
        if constant_time_eq(&digest, &digests.operator) {
            return Some(Principal::Operator);
        }
        // The map is keyed by digest, so the time of a lookup can reveal parts of a digest but not of a token.
        digests
            .workspaces
            .get(&digest)
            .cloned()
            .map(Principal::Workspace)
    }
}

fn constant_time_eq(a: &str, b: &str) -> bool {
    let differences = a
        .bytes()
        .zip(b.bytes())
        .fold(0, |acc, (x, y)| acc | (x ^ y));
    a.len() == b.len() && differences == 0
}
