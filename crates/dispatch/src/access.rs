//! Access of callers to queues and jobs.
//!
//! In a cell with workspaces, a caller of a queue that is not public needs a key of a workspace, and a job belongs to
//! the workspace that submitted it. A key is accepted or refused only while the configuration in force is proven to be
//! the newest one (see [`KeyFreshness`](crate::KeyFreshness)): an unknown key may be new, and a known one withdrawn.
//! Keys are compared by digest and never stored or logged.

use {
    crate::{
        CellMetrics, KeyFreshness,
        api::{CellRoutes, Route},
        configuration::Configuration,
        events::{KEY_PROOF_LOST, KEY_PROOF_REGAINED, UNKNOWN_KEY},
        key_freshness::FreshnessChange,
    },
    ragwortreel_model::{Workspace, token_digest},
    ragwortreel_platform::SendCondition,
    ragwortreel_runtime::{Logger, lock, log_event},
    std::{
        fmt,
        sync::{Arc, Mutex},
    },
};

/// Minimum interval between two log lines about unknown keys, in ms.
const UNKNOWN_KEY_LOG_INTERVAL_MS: u64 = 1_000;

/// Caller of a request.
#[derive(Clone, PartialEq, Eq)]
pub enum Caller {
    /// Caller in a cell without workspaces, who may access all jobs.
    Unrestricted,
    /// Caller of a public queue, who may access jobs without a workspace.
    Public,
    /// Caller with a key of a workspace, who may access its jobs and those without a workspace.
    Workspace {
        /// Workspace that the key belongs to.
        workspace: Workspace,
        /// Digest of the key.
        key_digest: Arc<str>,
    },
}

/// Leaves out the digest of the key.
impl fmt::Debug for Caller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unrestricted => f.write_str("Unrestricted"),
            Self::Public => f.write_str("Public"),
            Self::Workspace { workspace, .. } => f
                .debug_struct("Workspace")
                .field("workspace", workspace)
                .finish_non_exhaustive(),
        }
    }
}

impl Caller {
    /// Workspace to which the jobs of this caller belong.
    #[must_use]
    pub fn workspace(&self) -> Option<&Workspace> {
        match self {
            Self::Unrestricted | Self::Public => None,
            Self::Workspace { workspace, .. } => Some(workspace),
        }
    }

    /// Whether the caller may access a job of this workspace; `None` is a job without a workspace.
    #[must_use]
    pub fn may_access(&self, owner: Option<&Workspace>) -> bool {
        match self {
            Self::Unrestricted => true,
            Self::Public | Self::Workspace { .. } => owner.is_none() || owner == self.workspace(),
        }
    }
}

/// Reason why a request is not allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccessError {
    /// The request has no key, or a key of no workspace.
    UnknownKey,
    /// The configuration is not proven to be the newest one, so it is unknown whether the key is valid.
    StaleProof,
}

/// Decides about a request with the configuration in force, whose proof is fresh or not; `token` is the caller's key.
///
/// # Errors
///
/// Returns an error if the queue requires a key and the key is unknown, or the proof is not fresh.
pub fn authorize(
    routes: &CellRoutes,
    is_fresh: bool,
    route: &Route,
    token: Option<&str>,
) -> Result<Caller, AccessError> {
    if routes.workspaces.is_none() {
        return Ok(Caller::Unrestricted);
    }
    if route.public {
        return Ok(Caller::Public);
    }
    if !is_fresh {
        return Err(AccessError::StaleProof);
    }
    let digest = token_digest(token.ok_or(AccessError::UnknownKey)?);
    // The map is keyed by digest, so the time of a lookup can reveal parts of a digest but not of a key.
    let workspace = routes.keys.get(&digest).ok_or(AccessError::UnknownKey)?;
    Ok(Caller::Workspace {
        workspace: workspace.clone(),
        key_digest: digest.into(),
    })
}

/// Lines about unknown keys that were left out.
#[derive(Debug, Default)]
struct UnknownKeyLog {
    logged_ms: Option<u64>,
    suppressed: u64,
}

/// Access control of an instance.
pub struct AccessControl {
    configuration: Arc<Configuration>,
    freshness: Arc<KeyFreshness>,
    unknown_keys: Mutex<UnknownKeyLog>,
    metrics: Arc<CellMetrics>,
    log: Logger,
}

impl AccessControl {
    pub(crate) fn new(
        configuration: Arc<Configuration>,
        freshness: Arc<KeyFreshness>,
        metrics: Arc<CellMetrics>,
        log: Logger,
    ) -> Self {
        Self {
            configuration,
            freshness,
            unknown_keys: Mutex::default(),
            metrics,
            log,
        }
    }

    /// Whether keys can be accepted, or none are needed.
    pub(crate) fn is_ready(&self) -> bool {
        self.configuration.routes().workspaces.is_none() || self.freshness.is_fresh()
    }

    /// Identifies the caller of a request to a queue; `token` is the caller's key.
    ///
    /// # Errors
    ///
    /// Returns an error if the queue requires a key and the key is unknown, or the proof is not fresh.
    pub fn authorize(&self, route: &Route, token: Option<&str>) -> Result<Caller, AccessError> {
        // The proof is read first, so that it is never newer than the configuration in which the key is looked up.
        let is_fresh = self.freshness.is_fresh();
        let result = authorize(&self.configuration.routes(), is_fresh, route, token);
        if let Err(err) = result {
            self.record(&route.policy.name, err);
        }
        result
    }

    /// Checks again that a caller may act, right before an effect that its key allows.
    ///
    /// # Errors
    ///
    /// Returns an error if the key has been withdrawn meanwhile, the proof is no longer fresh, or the caller needed no key
    /// and the cell has got workspaces since.
    pub(crate) fn recheck(&self, caller: &Caller) -> Result<(), AccessError> {
        let result = self.check(caller);
        if let Err(err) = result {
            self.record(caller.workspace().map_or("", Workspace::as_str), err);
        }
        result
    }

    /// Condition of a queued transaction of a caller; `None` for callers who need no access.
    pub(crate) fn send_condition(self: &Arc<Self>, caller: &Caller) -> Option<SendCondition> {
        if *caller == Caller::Unrestricted {
            return None;
        }
        let access = Arc::clone(self);
        let caller = caller.clone();
        Some(Arc::new(move || access.check(&caller).is_ok()))
    }

    fn check(&self, caller: &Caller) -> Result<(), AccessError> {
        let is_fresh = self.freshness.is_fresh();
        let routes = self.configuration.routes();
        if routes.workspaces.is_none() {
            return Ok(());
        }
        match caller {
            Caller::Public => Ok(()),
            // The cell has got workspaces since the request arrived. Its key, if any, was not read, so it is unknown
            // whether the caller has access.
            Caller::Unrestricted => Err(AccessError::StaleProof),
            Caller::Workspace { .. } if !is_fresh => Err(AccessError::StaleProof),
            Caller::Workspace {
                workspace,
                key_digest,
            } if routes.keys.get(&**key_digest) == Some(workspace) => Ok(()),
            Caller::Workspace { .. } => Err(AccessError::UnknownKey),
        }
    }

    fn record(&self, subject: &str, err: AccessError) {
        match err {
            AccessError::UnknownKey => {
                self.metrics.record_unknown_key();
                self.log_unknown_key(subject);
            }
            AccessError::StaleProof => {
                self.metrics.record_stale_proof();
                self.log_proof_changes();
            }
        }
    }

    fn log_unknown_key(&self, subject: &str) {
        let now_ms = self.freshness.now_ms();
        let mut sampled = lock(&self.unknown_keys);
        let is_recent =
            |logged_ms: u64| now_ms.saturating_sub(logged_ms) < UNKNOWN_KEY_LOG_INTERVAL_MS;
        if sampled.logged_ms.is_some_and(is_recent) {
            sampled.suppressed += 1;
            return;
        }
        sampled.logged_ms = Some(now_ms);
        let suppressed = std::mem::take(&mut sampled.suppressed);
        log_event!(self.log, UNKNOWN_KEY; "queue_or_workspace" => subject.to_owned(), "left_out" => suppressed);
    }

    /// Logs when the proof is lost, and when it is fresh again.
    pub(crate) fn log_proof_changes(&self) {
        if self.configuration.routes().workspaces.is_none() {
            return;
        }
        match self.freshness.take_change() {
            None => {}
            Some(FreshnessChange::Lost { age_ms }) => {
                log_event!(self.log, KEY_PROOF_LOST; "age_ms" => age_ms);
            }
            Some(FreshnessChange::Regained { lost_for_ms }) => {
                log_event!(self.log, KEY_PROOF_REGAINED; "lost_for_ms" => lost_for_ms);
            }
        }
    }
}
