//! Operator endpoints of an entry instance: drain, burn counts, metrics and readiness.

use {
    crate::{burn::BurnCounter, jobs_api, telemetry::Telemetry},
    async_trait::async_trait,
    ragwortreel_caller::{Admin, ApiError, ApiErrorKind, DrainTarget},
    ragwortreel_control::Control,
    ragwortreel_entry::generated::{BurnCountsRequest, DrainRequest},
    ragwortreel_model::InstanceId,
    ragwortreel_runtime::{Stop, spawn},
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// Implements the operator endpoints with the parts of an entry instance.
pub struct DaemonAdmin {
    instance: InstanceId,
    control: Control,
    telemetry: Arc<Telemetry>,
    burn: Arc<BurnCounter>,
    can_route: Arc<AtomicBool>,
    stop: Stop,
}

impl DaemonAdmin {
    #[must_use]
    pub fn new(
        instance: InstanceId,
        control: Control,
        telemetry: Arc<Telemetry>,
        burn: Arc<BurnCounter>,
        can_route: Arc<AtomicBool>,
        stop: Stop,
    ) -> Self {
        Self {
            instance,
            control,
            telemetry,
            burn,
            can_route,
            stop,
        }
    }
}

impl DaemonAdmin {
    /// Sends a drain to another entry instance, because operators reach instances only through the load balancer.
    async fn drain_peer(&self, instance: &InstanceId) -> Result<(), ApiError> {
        let not_found = || ApiError::new(ApiErrorKind::NotFound, format!("no instance {instance}"));
        let peer = self.control.peer(instance).ok_or_else(not_found)?;
        let req = DrainRequest {
            instance: instance.to_string(),
        };
        match peer.drain(req).await {
            Ok(reply) if reply.accepted => Ok(()),
            Ok(_) => Err(not_found()),
            Err(err) if err.is_not_run() => {
                Err(ApiError::new(ApiErrorKind::Unavailable, err.to_string()))
            }
            Err(err) => Err(ApiError::new(ApiErrorKind::Unknown, err.to_string())),
        }
    }
}

#[async_trait]
impl Admin for DaemonAdmin {
    async fn drain(&self, target: DrainTarget) -> Result<(), ApiError> {
        match target {
            DrainTarget::Worker(worker) => self
                .control
                .set_worker_drained(&worker, true)
                .await
                .map_err(|err| jobs_api::api_error(&err)),
            DrainTarget::Instance(instance) if instance == self.instance => {
                self.stop.request();
                Ok(())
            }
            DrainTarget::Instance(instance) => self.drain_peer(&instance).await,
        }
    }

    async fn burn_counts(&self) -> Vec<u8> {
        let mut counts = self.burn.counts();
        let members = self.control.members();
        let live_peers = members
            .iter()
            .filter(|member| !member.is_self && member.link.answers_heartbeats);
        // All peers are queried concurrently, so unresponsive ones delay the report by one timeout in total.
        let replies: Vec<_> = live_peers
            .filter_map(|member| self.control.peer(&member.instance))
            .map(|peer| spawn(async move { peer.burn_counts(BurnCountsRequest {}).await }))
            .collect();
        for reply in replies {
            let reply = reply.await.ok();
            if let Some(peer_counts) =
                reply.and_then(|reply| serde_json::from_slice(&reply.counts_json).ok())
            {
                counts.merge(&peer_counts);
            }
        }
        serde_json::to_vec(&counts).unwrap_or_default()
    }

    fn metrics(&self) -> Vec<u8> {
        self.telemetry.encode()
    }

    fn ready(&self) -> Result<(), String> {
        if self.stop.is_requested() {
            return Err("the instance is stopping".to_owned());
        }
        if !self.control.is_ready() {
            return Err("the newest settings were not read from the table service yet".to_owned());
        }
        if self.control.settings().version == 0 {
            return Err("the cell has no settings yet".to_owned());
        }
        if !self.can_route.load(Ordering::Acquire) {
            return Err("the instance has no slots of backend servers yet".to_owned());
        }
        Ok(())
    }
}
