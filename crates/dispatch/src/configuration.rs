//! Configuration in force, and the loop that keeps it up to date.

use {
    crate::{
        Cell, CellMetrics,
        api::{CellRoutes, ConfigRead, ConfigResponse},
        cell::STORE_RETRY_MS,
        events::{CONFIGURATION_APPLIED, CONFIGURATION_NOT_APPLIED},
    },
    ragwortreel_platform::FeedError,
    ragwortreel_runtime::{Logger, Stop, lock, log_event, sleep_ms},
    ragwortreel_workflow::{JobRequest, LimitError},
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering::Relaxed},
        },
        time::Duration,
    },
};

#[cfg(test)]
mod tests;

/// Long-poll timeout for changes of the configuration in a cell without workspaces.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Read that returned a configuration, as logged with its effect.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ReadDetails {
    /// Version of the configuration's row.
    pub(crate) row_version: u64,
    /// Version of the store after which changes are followed.
    pub(crate) store_version: u64,
    /// Number of changes that the response left out because the same row changed again.
    pub(crate) superseded: usize,
    /// Time from the call to its response, in ms.
    pub(crate) took_ms: u64,
    /// Size of the configuration.
    pub(crate) bytes: usize,
    /// Bytes received for the read, by all copies of its calls.
    pub(crate) received_bytes: u64,
}

/// Configuration in force.
pub(crate) struct Configuration {
    routes: Mutex<Arc<CellRoutes>>,
    /// Version of the last configuration that was not applied, so that it is logged only once.
    refused_version: AtomicU64,
    /// Number of reads without a change since the last configuration was applied.
    unchanged_reads: AtomicU64,
    metrics: Arc<CellMetrics>,
    log: Logger,
}

impl Configuration {
    pub(crate) fn new(metrics: Arc<CellMetrics>, log: Logger) -> Self {
        Self {
            routes: Mutex::default(),
            refused_version: AtomicU64::new(u64::MAX),
            unchanged_reads: AtomicU64::new(0),
            metrics,
            log,
        }
    }

    pub(crate) fn routes(&self) -> Arc<CellRoutes> {
        Arc::clone(&lock(&self.routes))
    }

    /// Checks that a job can run under the limit of its workspace.
    ///
    /// # Errors
    ///
    /// Returns the first step that cannot start until the limit is raised.
    pub(crate) fn check_limit(&self, job: &JobRequest) -> Result<(), LimitError> {
        let routes = self.routes();
        let workspaces = routes.workspaces.as_ref();
        let policy = (job.workspace.as_ref()).and_then(|it| workspaces?.get(it));
        policy.map_or(Ok(()), |policy| job.check_limit(policy))
    }

    /// Applies a configuration with a higher version than the one in force. Returns whether the configuration is in
    /// force now: one of the same version is if it has the same content.
    #[must_use]
    pub(crate) fn apply(&self, routes: CellRoutes, read: ReadDetails) -> bool {
        let mut current = lock(&self.routes);
        if routes == **current {
            return true;
        }
        // The operators did not raise the version, or a delayed response is older than the configuration in force.
        if routes.version <= current.version {
            if self.refused_version.swap(routes.version, Relaxed) != routes.version {
                log_event!(self.log, CONFIGURATION_NOT_APPLIED; "version" => routes.version,
                    "current_version" => current.version, "row_version" => read.row_version,
                    "superseded" => read.superseded);
            }
            return false;
        }
        self.refused_version.store(u64::MAX, Relaxed);
        log_event!(self.log, CONFIGURATION_APPLIED; "version" => routes.version,
            "former_version" => current.version, "row_version" => read.row_version,
            "store_version" => read.store_version, "superseded" => read.superseded,
            "took_ms" => read.took_ms, "bytes" => read.bytes,
            "received_bytes" => read.received_bytes,
            "unchanged_reads" => self.unchanged_reads.swap(0, Relaxed));
        self.metrics.set_configuration(routes.version);
        *current = Arc::new(routes);
        true
    }

    fn record_unchanged(&self) {
        self.unchanged_reads.fetch_add(1, Relaxed);
    }
}

/// Applies the response to a call that was sent at this time, in ms, and counts it by its result.
fn apply_response(cell: &Cell, response: ConfigResponse, sent_ms: u64) {
    let details = ReadDetails {
        row_version: response.row_version,
        store_version: response.store_version,
        superseded: response.superseded,
        bytes: response.bytes,
        received_bytes: response.received_bytes,
        took_ms: cell.freshness.now_ms().saturating_sub(sent_ms),
    };
    let result = match response.read {
        ConfigRead::Unchanged => {
            cell.configuration.record_unchanged();
            cell.freshness.record_unchanged(sent_ms);
            "unchanged"
        }
        ConfigRead::Readable(routes) => {
            if cell.configuration.apply(routes, details) {
                cell.freshness.record_readable(sent_ms);
                "in-force"
            } else {
                cell.freshness.record_unreadable();
                "not-applied"
            }
        }
        ConfigRead::Unreadable => {
            cell.freshness.record_unreadable();
            "unreadable"
        }
    };
    cell.deps.metrics.record_configuration_read(result);
}

/// Keeps the configuration and the proof of its age up to date.
pub(crate) async fn follow(cell: Arc<Cell>, stop: Stop) {
    let mut after = None;
    while !stop.is_requested() {
        let source = &cell.deps.source;
        let poll_timeout = match cell.routes().workspaces {
            Some(_) => cell.freshness.poll_wait(),
            None => POLL_TIMEOUT,
        };
        let sent_ms = cell.freshness.now_ms();
        let result = match after {
            None => source.routes().await.map_err(FeedError::Failed),
            Some(after) => source.next_routes(after, poll_timeout).await,
        };
        match result {
            Ok(response) => {
                cell.health.record_success("read configuration");
                after = Some(response.store_version);
                apply_response(&cell, response, sent_ms);
                if !cell.has_routes() {
                    sleep_ms(STORE_RETRY_MS).await;
                }
            }
            Err(FeedError::HistoryGone) => {
                cell.deps.metrics.record_configuration_read("history-gone");
                after = None;
            }
            Err(FeedError::TooLarge) => {
                cell.health.record_success("read configuration");
                cell.deps.metrics.record_configuration_read("too-large");
                after = None;
            }
            Err(FeedError::Failed(err)) => {
                cell.health.record_failure("read configuration", &err);
                cell.deps.metrics.record_configuration_read("failed");
                // The lost response may have held a change, so the whole configuration is read again.
                after = None;
                sleep_ms(STORE_RETRY_MS).await;
            }
        }
        cell.access().log_proof_changes();
    }
}
