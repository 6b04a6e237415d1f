//! The settings tree: one branch for the cell and one for each workspace.
//!
//! A tree comes in as JSON. [`Settings::parse`] refuses unknown keys, wrong types and impossible values, and names
//! the path in the tree and what was expected there.

use {
    crate::{Resources, ServiceName, Workspace},
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Largest accepted settings document.
pub const MAX_SETTINGS_BYTES: usize = 4 * 1024 * 1024;
/// Most workspaces in one cell.
pub const MAX_WORKSPACES: usize = 4096;

/// Class of a request, which keeps short and long work apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkClass {
    /// Answered first.
    #[display("urgent")]
    Urgent,
    /// Short work.
    #[display("short")]
    Short,
    /// Long work, kept from delaying short work.
    #[display("long")]
    Long,
}

/// The whole tree.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Settings of the cell.
    #[serde(default)]
    pub cell: CellSettings,
    /// One branch a workspace.
    #[serde(default)]
    pub workspaces: BTreeMap<Workspace, WorkspaceSettings>,
}

/// Settings that concern no single workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CellSettings {
    /// SHA-256 of the operators' bearer token, in hexadecimal.
    pub operator_token_sha256: String,
    /// Slots of each backend server.
    pub slots_per_backend: u32,
    /// Connections of each backend server.
    pub connections_per_backend: u32,
    /// Most slots of a backend server that long work may use at once.
    pub long_slot_limit: u32,
    /// Retries allowed for each hundred requests.
    pub retry_budget_percent: u32,
    /// Time without progress after which an open connection counts as silent, in ms.
    pub silent_after_ms: u64,
}

impl Default for CellSettings {
    fn default() -> Self {
        Self {
            operator_token_sha256: String::new(),
            slots_per_backend: 8,
            connections_per_backend: 64,
            long_slot_limit: 6,
            retry_budget_percent: 10,
            silent_after_ms: 2_000,
        }
    }
}

/// Branch of one workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkspaceSettings {
    /// SHA-256 of the workspace's bearer token, in hexadecimal.
    pub token_sha256: String,
    /// Share of the cell relative to other workspaces.
    pub weight: u32,
    /// Most resources that the workspace's tasks may hold at once.
    pub quota: Resources,
    /// Most jobs of the workspace that may be queued or running.
    pub max_jobs: u32,
    /// Requests a second that the workspace may send; 0 for no limit.
    pub requests_per_s: u32,
    /// Requests that may wait at one entry instance.
    pub max_queued_requests: u32,
    /// Services that the workspace offers.
    pub services: BTreeMap<ServiceName, ServiceSettings>,
}

impl Default for WorkspaceSettings {
    fn default() -> Self {
        Self {
            token_sha256: String::new(),
            weight: 100,
            quota: Resources::new(64_000, 256 * 1024, 64),
            max_jobs: 1_000,
            requests_per_s: 0,
            max_queued_requests: 256,
            services: BTreeMap::new(),
        }
    }
}

/// Settings of one service that is called through the entry instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceSettings {
    /// Class of its requests.
    pub class: WorkClass,
    /// Whether every request may safely run twice, whatever its method.
    pub idempotent: bool,
    /// Deadline of a request that brings none, in ms.
    pub deadline_ms: u64,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Largest response body in bytes.
    pub max_response_bytes: u64,
    /// Service-level objective.
    pub slo: SloSettings,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            class: WorkClass::Short,
            idempotent: false,
            deadline_ms: 2_000,
            max_attempts: 3,
            max_response_bytes: 8 * 1024 * 1024,
            slo: SloSettings::default(),
        }
    }
}

/// Objective that the burn report measures a service against.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SloSettings {
    /// Share of requests that must be answered in time, in percent.
    pub answered_percent: f64,
    /// Time within which an answer counts, in ms.
    pub latency_ms: u64,
}

impl Default for SloSettings {
    fn default() -> Self {
        Self {
            answered_percent: 99.0,
            latency_ms: 500,
        }
    }
}

/// A settings tree that cannot be accepted.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{path}: {problem}")]
pub struct SettingsError {
    /// Path in the tree, such as `workspaces.alpha.weight`.
    pub path: String,
    /// What is wrong and what was expected.
    pub problem: String,
}

/// Parses a settings document into a type that denies unknown fields.
///
/// # Errors
///
/// Returns the path of the first unknown key or wrong type, and what was expected.
pub fn parse_json<T: serde::de::DeserializeOwned>(json: &[u8]) -> Result<T, SettingsError> {
    if json.len() > MAX_SETTINGS_BYTES {
        return Err(SettingsError::new(".", "expected at most 4 MiB"));
    }
    let mut deserializer = serde_json::Deserializer::from_slice(json);
    let value = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|err| SettingsError::new(&err.path().to_string(), &err.inner().to_string()))?;
    deserializer
        .end()
        .map_err(|err| SettingsError::new(".", &err.to_string()))?;
    Ok(value)
}

impl Settings {
    /// Parses and checks a JSON document.
    ///
    /// # Errors
    ///
    /// Returns the path of the first unknown key, wrong type or impossible value, and what was expected.
    pub fn parse(json: &[u8]) -> Result<Self, SettingsError> {
        let settings: Self = parse_json(json)?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks the values that the types alone do not exclude.
    ///
    /// # Errors
    ///
    /// Returns the path of the first impossible value.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.cell.check()?;
        if self.workspaces.len() > MAX_WORKSPACES {
            return Err(SettingsError::new(
                "workspaces",
                "expected at most 4096 workspaces",
            ));
        }
        for (workspace, branch) in &self.workspaces {
            branch.check(&format!("workspaces.{workspace}"))?;
        }
        self.check_tokens()
    }

    /// A token must belong to one principal only, or one workspace could act as another.
    fn check_tokens(&self) -> Result<(), SettingsError> {
        let mut digests = BTreeSet::from([self.cell.operator_token_sha256.as_str()]);
        for (workspace, branch) in &self.workspaces {
            let digest = branch.token_sha256.as_str();
            if !digest.is_empty() && !digests.insert(digest) {
                let path = format!("workspaces.{workspace}.token_sha256");
                return Err(SettingsError::new(
                    &path,
                    "the token belongs to another workspace or to the operators",
                ));
            }
        }
        Ok(())
    }
}

impl SettingsError {
    /// Makes an error.
    #[must_use]
    pub fn new(path: &str, problem: &str) -> Self {
        Self {
            path: path.to_owned(),
            problem: problem.to_owned(),
        }
    }
}

fn check_range(path: &str, key: &str, value: u64, min: u64, max: u64) -> Result<(), SettingsError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(SettingsError::new(
        &format!("{path}.{key}"),
        &format!("{value} is out of range, expected {min} to {max}"),
    ))
}

fn check_digest(path: &str, key: &str, digest: &str) -> Result<(), SettingsError> {
    let is_hex = digest.len() == 64
        && digest
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    if digest.is_empty() || is_hex {
        return Ok(());
    }
    Err(SettingsError::new(
        &format!("{path}.{key}"),
        "expected 64 lower-case hexadecimal digits",
    ))
}

impl CellSettings {
    fn check(&self) -> Result<(), SettingsError> {
        let path = "cell";
        check_digest(path, "operator_token_sha256", &self.operator_token_sha256)?;
        check_range(
            path,
            "slots_per_backend",
            self.slots_per_backend.into(),
            1,
            1024,
        )?;
        let slots = u64::from(self.slots_per_backend);
        check_range(
            path,
            "connections_per_backend",
            self.connections_per_backend.into(),
            slots,
            65_536,
        )?;
        check_range(
            path,
            "long_slot_limit",
            self.long_slot_limit.into(),
            1,
            slots,
        )?;
        check_range(
            path,
            "retry_budget_percent",
            self.retry_budget_percent.into(),
            0,
            100,
        )?;
        check_range(path, "silent_after_ms", self.silent_after_ms, 100, 60_000)
    }
}

impl WorkspaceSettings {
    fn check(&self, path: &str) -> Result<(), SettingsError> {
        check_digest(path, "token_sha256", &self.token_sha256)?;
        check_range(path, "weight", self.weight.into(), 1, 1_000_000)?;
        check_range(path, "max_jobs", self.max_jobs.into(), 0, 1_000_000)?;
        check_range(
            path,
            "max_queued_requests",
            self.max_queued_requests.into(),
            1,
            1_000_000,
        )?;
        self.services
            .iter()
            .try_for_each(|(service, branch)| branch.check(&format!("{path}.services.{service}")))
    }
}

impl ServiceSettings {
    fn check(&self, path: &str) -> Result<(), SettingsError> {
        check_range(path, "deadline_ms", self.deadline_ms, 1, 24 * 3_600_000)?;
        check_range(path, "max_attempts", self.max_attempts.into(), 1, 10)?;
        check_range(
            path,
            "max_response_bytes",
            self.max_response_bytes,
            1,
            1 << 30,
        )?;
        check_range(
            path,
            "slo.latency_ms",
            self.slo.latency_ms,
            1,
            24 * 3_600_000,
        )?;
        if self.slo.answered_percent > 0.0 && self.slo.answered_percent < 100.0 {
            return Ok(());
        }
        Err(SettingsError::new(
            &format!("{path}.slo.answered_percent"),
            "expected above 0 and below 100",
        ))
    }
}
