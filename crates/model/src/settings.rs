//! The settings tree: a section for the cell and a section for each workspace.
//!
//! The tree is read from a JSON document. [`Settings::parse`] rejects unknown keys, wrong types and values out of
//! range; its error gives the path in the tree and what was expected there.

use {
    crate::{Resources, ServiceName, Workspace},
    derive_more::{Display, Error},
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Maximum size of a settings document in bytes.
pub const MAX_SETTINGS_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of workspaces in a cell.
pub const MAX_WORKSPACES: usize = 4096;

/// Class of a request, by which requests are queued and limited so that long ones do not block short ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkClass {
    /// Served before the other classes.
    #[display("urgent")]
    Urgent,
    /// Short requests.
    #[display("short")]
    Short,
    /// Long requests; the number of slots that they may use at once is limited.
    #[display("long")]
    Long,
}

/// Root of the settings tree.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Settings of the cell as a whole.
    #[serde(default)]
    pub cell: CellSettings,
    /// Settings of each workspace.
    #[serde(default)]
    pub workspaces: BTreeMap<Workspace, WorkspaceSettings>,
}

/// Settings of the cell, which apply to all workspaces.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CellSettings {
    /// SHA-256 of the operators' bearer token in lower-case hexadecimal; empty for no token.
    pub operator_token_sha256: String,
    /// Concurrent requests allowed at each backend server.
    pub slots_per_backend: u32,
    /// Connections allowed to each backend server, at least `slots_per_backend`.
    pub connections_per_backend: u32,
    /// Maximum number of slots of a backend server that long requests may use at once.
    pub long_slot_limit: u32,
    /// Retries allowed for every 100 requests.
    pub retry_budget_percent: u32,
    /// Time without progress after which an open connection is considered unresponsive, in ms.
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

/// Settings of one workspace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkspaceSettings {
    /// SHA-256 of the workspace's bearer token in lower-case hexadecimal; empty for no token.
    pub token_sha256: String,
    /// Fair-share weight relative to the other workspaces.
    pub weight: u32,
    /// Maximum resources that the workspace's tasks may use at once.
    pub quota: Resources,
    /// Maximum number of queued and running jobs.
    pub max_jobs: u32,
    /// Rate limit of the workspace's requests in requests per second; 0 for no limit.
    pub requests_per_s: u32,
    /// Maximum number of requests queued at one entry instance.
    pub max_queued_requests: u32,
    /// Settings of the services that the workspace offers.
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

/// Settings of a service that callers reach through the entry instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceSettings {
    /// Class of the service's requests.
    pub class: WorkClass,
    /// Whether every request, regardless of its method, may be executed more than once.
    pub idempotent: bool,
    /// Default time limit of a request that specifies none, in ms.
    pub deadline_ms: u64,
    /// Maximum number of attempts for one request, including the first.
    pub max_attempts: u32,
    /// Maximum size of a response body in bytes.
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

/// Service-level objective of a service, the basis of its error budget burn rate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SloSettings {
    /// Target share of requests answered within `latency_ms`, in percent.
    pub answered_percent: f64,
    /// Latency up to which an answer meets the objective, in ms.
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

/// An invalid settings tree.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{path}: {problem}")]
pub struct SettingsError {
    /// Path in the tree, such as `workspaces.alpha.weight`.
    pub path: String,
    /// What was found and what was expected.
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
    /// Parses and validates a JSON document.
    ///
    /// # Errors
    ///
    /// Returns the path of the first unknown key, wrong type or value out of range, and what was expected.
    pub fn parse(json: &[u8]) -> Result<Self, SettingsError> {
        let settings: Self = parse_json(json)?;
        settings.check()?;
        Ok(settings)
    }

    /// Validates the value ranges that the types do not enforce.
    ///
    /// # Errors
    ///
    /// Returns the path of the first value that is out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.cell.check()?;
        if self.workspaces.len() > MAX_WORKSPACES {
            return Err(SettingsError::new(
                "workspaces",
                "expected at most 4096 workspaces",
            ));
        }
        for (workspace, settings) in &self.workspaces {
            settings.check(&format!("workspaces.{workspace}"))?;
        }
        self.check_tokens()
    }

    /// Rejects a token digest that occurs twice: a shared token would let one workspace act as another or as an
    /// operator.
    fn check_tokens(&self) -> Result<(), SettingsError> {
        let mut digests = BTreeSet::from([self.cell.operator_token_sha256.as_str()]);
        for (workspace, settings) in &self.workspaces {
            let digest = settings.token_sha256.as_str();
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
    /// Creates an error at a path in the tree.
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
        self.services.iter().try_for_each(|(service, settings)| {
            settings.check(&format!("{path}.services.{service}"))
        })
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
