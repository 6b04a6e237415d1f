//! Settings of an instance on the platform.
//!
//! The platform fills in `platform/settings.json.template` from its own fields; this module defines the keys of the
//! resulting file.

use {
    crate::{
        config::{LogLevel, load_file},
        error::Error,
    },
    ragwortreel_model::{InstanceId, SettingsError, Zone},
    serde::Deserialize,
    std::{net::SocketAddr, path::Path},
};

/// Settings of one instance on the platform.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellSettings {
    /// Name of the instance, unique in the cell.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Address of the HTTP interface for callers.
    pub caller_address: SocketAddr,
    /// Address of the readiness endpoint that the platform probes.
    pub ready_address: SocketAddr,
    /// Address for RPCs from other instances.
    pub helper_address: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics_address: SocketAddr,
    /// Address and rate limits of the platform's store.
    pub store: StoreSettings,
    /// Address of the advice service, which determines the workers that may run a step; `None` if no queue requests
    /// advice.
    pub advice_address: Option<SocketAddr>,
    /// Processor time available to the instance, in cores.
    pub cpu_share: f64,
    /// Bandwidth of the instance's network link, in Mbit/s.
    pub link_mbit_s: f64,
    /// Longest time for which a worker keeps a task without a heartbeat, in ms.
    pub lease_ms: u64,
    /// Time after which every instance must refuse a withdrawn key, in ms; `None` if the acceptance of keys does not
    /// expire.
    pub key_revocation_ms: Option<u64>,
    /// Time from SIGTERM until the platform kills the process, in s.
    pub stop_s: f64,
    /// Minimum severity of log lines.
    #[serde(default)]
    pub log_level: LogLevel,
}

/// Address and rate limits of the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Maximum write calls per second of all instances together.
    pub writes_per_s: f64,
    /// Maximum read calls per second of all instances together.
    pub reads_per_s: f64,
}

/// Minimum lease, in ms. With a shorter one, the leases of running tasks would expire during a takeover by another
/// instance.
const MIN_LEASE_MS: u64 = 4_000;

/// Minimum time after which a withdrawn key must be refused, in ms. In a shorter one, a single slow response of the store
/// would stop the acceptance of all keys.
const MIN_KEY_REVOCATION_MS: u64 = 1_000;

impl CellSettings {
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
        let settings: Self = ragwortreel_model::parse_json(json)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        if self.lease_ms < MIN_LEASE_MS {
            return Err(SettingsError::new("lease_ms", "expected at least 4000"));
        }
        if (self.key_revocation_ms).is_some_and(|ms| ms < MIN_KEY_REVOCATION_MS) {
            return Err(SettingsError::new(
                "key_revocation_ms",
                "expected at least 1000",
            ));
        }
        if self.stop_s <= 0.0 {
            return Err(SettingsError::new("stop_s", "expected above 0"));
        }
        if self.cpu_share <= 0.0 {
            return Err(SettingsError::new("cpu_share", "expected above 0"));
        }
        if self.link_mbit_s <= 0.0 {
            return Err(SettingsError::new("link_mbit_s", "expected above 0"));
        }
        let rates = [
            ("store.writes_per_s", self.store.writes_per_s),
            ("store.reads_per_s", self.store.reads_per_s),
        ];
        for (path, rate) in rates {
            if rate < 1.0 {
                return Err(SettingsError::new(path, "expected at least 1"));
            }
        }
        Ok(())
    }
}
