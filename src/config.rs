//! The resolved configuration of a daemon.
//!
//! A daemon's settings file is parsed and checked once; after that no code looks at the file. What all instances share
//! is not in this file but in the settings tree, which lives in the platform's table service.

use {
    crate::error::Error,
    ragwortreel_model::{InstanceId, Settings, SettingsError, Zone},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fs, net::SocketAddr, path::Path, sync::Arc},
};

/// Settings of one daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of this instance, unique in the cell.
    pub instance: InstanceId,
    /// Availability zone that this instance stands in.
    pub zone: Zone,
    /// Address for callers and operators.
    pub caller_address: SocketAddr,
    /// Address for other entry instances.
    pub entry_address: SocketAddr,
    /// Addresses of the platform's services.
    pub platform: PlatformConfig,
    /// All availability zones of the cell, each with its region.
    pub zones: BTreeMap<Zone, Arc<str>>,
    /// Pools that the workers of a zone are divided into; the same on all instances of the cell.
    #[serde(default = "default_pools_per_zone")]
    pub pools_per_zone: u32,
    /// Executor threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Least severe level that is logged: `debug`, `info`, `warning` or `error`.
    #[serde(default)]
    pub log_level: LogLevel,
    /// Longest time that a graceful stop waits for requests in flight, in ms.
    #[serde(default = "default_stop_ms")]
    pub stop_ms: u64,
    /// Tree that is written when the table service holds none yet.
    #[serde(default)]
    pub initial_settings: Option<Settings>,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformConfig {
    /// Transactional table service.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// List of instances.
    pub instances: SocketAddr,
}

/// Least severe level that is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Everything.
    Debug,
    /// Normal operation and worse.
    #[default]
    Info,
    /// What an operator should look at.
    Warning,
    /// What needs an operator.
    Error,
}

impl LogLevel {
    /// The level for the logger.
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

/// Most executor threads; an entry instance is small.
const MAX_THREADS: usize = 64;
/// Most pools of a zone; each has an owner loop and a journal.
const MAX_POOLS_PER_ZONE: u32 = 64;
/// Longest configurable graceful stop.
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
    /// Reads and checks a daemon's settings file.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be read, or names the path in the document and what was expected there.
    pub fn load(path: &Path) -> Result<Self, Error> {
        load_file(path, Self::parse)
    }

    /// Parses and checks a document.
    ///
    /// # Errors
    ///
    /// Returns the path of the first unknown key, wrong type or impossible value.
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
/// Returns an error that names the file.
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
/// Returns an error that names the file, and the path in it where something else was expected.
pub fn load_file<T>(
    path: &Path,
    parse: impl FnOnce(&[u8]) -> Result<T, SettingsError>,
) -> Result<T, Error> {
    parse(&read_file(path)?).map_err(Error::settings(path))
}
