//! Configuration of an entry instance.
//!
//! The file is parsed and validated once at startup. It holds the settings of one instance; the settings that all
//! instances share are in the settings tree, which is stored in the platform's table service.

use {
    crate::error::Error,
    ragwortreel_model::{InstanceId, Settings, SettingsError, Zone},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, sync::Arc},
};

/// Settings of one entry instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of the instance, unique in the cell.
    pub instance: InstanceId,
    /// Availability zone of the instance; must be one of `zones`.
    pub zone: Zone,
    /// Address of the HTTP interface for callers and operators.
    pub caller_address: SocketAddr,
    /// Address for RPCs from other entry instances.
    pub entry_address: SocketAddr,
    /// Addresses of the platform's services used by the instance.
    pub platform: PlatformConfig,
    /// All availability zones of the cell with their regions.
    pub zones: BTreeMap<Zone, Arc<str>>,
    /// Number of pools into which the workers of each zone are divided; must be the same on all instances of the cell.
    #[serde(default = "default_pools_per_zone")]
    pub pools_per_zone: u32,
    /// Number of executor threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Minimum severity of log lines: `debug`, `info`, `warning` or `error`.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Maximum time that a graceful shutdown waits for requests in flight, in ms.
    #[serde(default = "default_stop_ms")]
    pub stop_ms: u64,
    /// Settings tree that is written if the table service holds none.
    #[serde(default)]
    pub initial_settings: Option<Settings>,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformConfig {
    /// Address of the transactional table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the list of workers, backend servers and other instances.
    pub instances: SocketAddr,
}

/// Minimum severity of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// All log lines.
    Debug,
    /// Normal operation, warnings and errors.
    #[default]
    Info,
    /// Conditions that an operator should look at, and errors.
    Warning,
    /// Only conditions that need action by an operator.
    Error,
}

impl LogLevel {
    /// Converts to the level type of the logger.
    #[must_use]
    pub const fn level(self) -> ragwortreel_runtime::Level {
        match self {
            Self::Debug => ragwortreel_runtime::Level::Debug,
            Self::Info => ragwortreel_runtime::Level::Info,
            Self::Warning => ragwortreel_runtime::Level::Warning,
            Self::Error => ragwortreel_runtime::Level::Error,
        }
    }
}

/// Maximum number of executor threads; an entry instance needs few.
const MAX_THREADS: usize = 64;
/// Maximum number of pools per zone; the owner of a pool runs a task and writes a journal for it.
const MAX_POOLS_PER_ZONE: u32 = 64;
const MAX_STOP_MS: u64 = 3_600_000;

const fn default_pools_per_zone() -> u32 {
    1
}

const fn default_threads() -> usize {
    2
}

const fn default_stop_ms() -> u64 {
    30_000
}

impl Config {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or is invalid; the latter names the key and the expected value.
    pub fn load(path: &Path) -> Result<Self, Error> {
        load_file(path, Self::parse)
    }

    /// Parses and validates a JSON document.
    ///
    /// # Errors
    ///
    /// Returns the path of the first unknown key, wrong type or invalid value.
    pub fn parse(json: &[u8]) -> Result<Self, SettingsError> {
        let config: Self = ragwortreel_model::parse_json(json)?;
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> Result<(), SettingsError> {
        if !self.zones.contains_key(&self.zone) {
            return Err(SettingsError::new(
                "zone",
                &format!("{} is not listed in zones", self.zone),
            ));
        }
        if self.caller_address == self.entry_address && self.caller_address.port() != 0 {
            return Err(SettingsError::new(
                "entry_address",
                "expected another address than caller_address",
            ));
        }
        if self.pools_per_zone == 0 || self.pools_per_zone > MAX_POOLS_PER_ZONE {
            return Err(SettingsError::new("pools_per_zone", "expected 1 to 64"));
        }
        if self.threads == 0 || self.threads > MAX_THREADS {
            return Err(SettingsError::new("threads", "expected 1 to 64"));
        }
        if self.stop_ms > MAX_STOP_MS {
            return Err(SettingsError::new("stop_ms", "expected at most 3600000"));
        }
        self.initial_settings.as_ref().map_or(Ok(()), |tree| {
            tree.check().map_err(|err| {
                SettingsError::new(&format!("initial_settings.{}", err.path), &err.problem)
            })
        })
    }
}

/// Reads a whole file.
///
/// # Errors
///
/// Returns [`Error::Read`] with the path if the file cannot be read.
pub fn read_file(path: &Path) -> Result<Vec<u8>, Error> {
    fs::read(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })
}

/// Reads a file and parses it.
///
/// # Errors
///
/// Returns an error that names the file and, if parsing fails, the key and the expected value.
pub fn load_file<T>(
    path: &Path,
    parse: impl FnOnce(&[u8]) -> Result<T, SettingsError>,
) -> Result<T, Error> {
    parse(&read_file(path)?).map_err(Error::settings(path))
}
