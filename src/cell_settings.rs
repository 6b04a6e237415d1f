//! Settings of an instance on the platform.
//!
//! The platform fills in `platform/settings.json.template` from its own fields; after that only these names are used.

use {
    crate::{
        config::{LogLevel, load_file},
        error::Error,
    },
    ragwortreel_model::{InstanceId, SettingsError, Zone},
    serde::Deserialize,
    std::{net::SocketAddr, path::Path},
};

/// Settings of one instance.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellSettings {
    /// Name of this instance, unique in the cell.
    pub instance: InstanceId,
    /// Availability zone that this instance stands in.
    pub zone: Zone,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address at which the platform asks whether the instance is ready.
    pub ready_address: SocketAddr,
    /// Address for other instances.
    pub helper_address: SocketAddr,
    /// Address that serves the metrics.
    pub metrics_address: SocketAddr,
    /// The platform's store.
    pub store: StoreSettings,
    /// Address of the advice service; absent where no queue needs advice.
    pub advice_address: Option<SocketAddr>,
    /// Part of a core that this instance has.
    pub cpu_share: f64,
    /// Bandwidth of this instance's link, in Mbit/s.
    pub link_mbit_s: f64,
    /// Longest time for which a worker keeps a task without being asked, in ms.
    pub lease_ms: u64,
    /// Time from a request to stop until the process is killed, in s.
    pub stop_s: f64,
    /// Least severe level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
}

/// The platform's store and its rates.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address.
    pub address: SocketAddr,
    /// Writing calls a second that all instances together may make.
    pub writes_per_s: f64,
    /// Reading calls a second that all instances together may make.
    pub reads_per_s: f64,
}

/// Shortest lease; below it a worker's tasks would lapse while another instance takes over.
const MIN_LEASE_MS: u64 = 4_000;

impl CellSettings {
    /// Reads and checks a settings file.
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
        let settings: Self = ragwortreel_model::parse_json(json)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        if self.lease_ms < MIN_LEASE_MS {
            return Err(SettingsError::new("lease_ms", "expected at least 4000"));
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
