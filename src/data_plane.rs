//! Data plane of an entry instance, as used by its control plane and by other entry instances.

use {
    crate::{
        burn::BurnCounter, forward, pooled_transport::PooledTransport, service_call::ServiceRouter,
    },
    async_trait::async_trait,
    ragwortreel_caller::CallReply,
    ragwortreel_control::{Backend, Control, DataPlane, Load},
    ragwortreel_entry::generated::{ForwardedRequest, ForwardedResponse},
    ragwortreel_model::{Clock, Outcome},
    ragwortreel_routing::{BackendId, BackendUsage, Router, RouterMetrics, SlotShares},
    ragwortreel_runtime::Stop,
    std::{collections::BTreeMap, sync::Arc},
};

/// Implements [`DataPlane`] with the request routing and the connection pools of this instance.
pub struct LocalDataPlane {
    services: ServiceRouter,
    router: Router,
    transport: Arc<PooledTransport>,
    control: Control,
    burn: Arc<BurnCounter>,
    stop: Stop,
    clock: Arc<dyn Clock>,
}

impl LocalDataPlane {
    #[must_use]
    pub fn new(
        services: ServiceRouter,
        router: Router,
        transport: Arc<PooledTransport>,
        control: Control,
        burn: Arc<BurnCounter>,
        stop: Stop,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            services,
            router,
            transport,
            control,
            burn,
            stop,
            clock,
        }
    }
}

impl LocalDataPlane {
    /// Free slots of the zone's backend servers for this instance, by `workspace/service`; ejected servers are omitted.
    fn free_slots(&self, metrics: &RouterMetrics) -> BTreeMap<String, u32> {
        let mut free = BTreeMap::new();
        for backend in self.control.backends().iter() {
            let Some(metrics) = metrics
                .backends
                .get(backend.id.as_str())
                .filter(|metrics| !metrics.ejected)
            else {
                continue;
            };
            let service = format!("{}/{}", backend.workspace, backend.service);
            *free.entry(service).or_default() += metrics.limit.saturating_sub(metrics.in_use);
        }
        free
    }
}

#[async_trait]
impl DataPlane for LocalDataPlane {
    async fn serve_forwarded(&self, req: ForwardedRequest) -> ForwardedResponse {
        let reply = match forward::decode_request(req) {
            Ok(call) => self.services.call_local(call).await,
            Err(problem) => CallReply {
                outcome: Outcome::NotRun,
                response: None,
                reason: Arc::from(problem),
                retry_after_ms: None,
            },
        };
        forward::encode_reply(reply)
    }

    fn apply_shares(&self, shares: &SlotShares) {
        self.router.update_shares(shares.clone());
        let is_valid = self.clock.now_ms() < shares.valid_until_ms;
        let limit = |backend: &Backend| {
            let share = shares.by_backend.get(backend.id.as_str());
            let connections = share
                .filter(|_| is_valid)
                .map_or(0, |share| share.connections);
            (backend.address, connections)
        };
        let backends = self.control.backends();
        self.transport
            .set_limits(backends.iter().map(limit).collect());
    }

    fn in_use(&self) -> BTreeMap<BackendId, BackendUsage> {
        let mut in_use: BTreeMap<BackendId, BackendUsage> = BTreeMap::new();
        for (id, slots) in self.router.slots_in_use() {
            in_use.entry(id).or_default().slots = slots;
        }
        let open = self.transport.open_connections();
        for backend in self.control.backends().iter() {
            if let Some(connections) = open.get(&backend.address) {
                let id = BackendId::from(backend.id.as_str());
                in_use.entry(id).or_default().connections = *connections;
            }
        }
        in_use
    }

    fn drain(&self) {
        self.stop.request();
    }

    fn burn_counts(&self) -> Vec<u8> {
        serde_json::to_vec(&self.burn.counts()).unwrap_or_default()
    }

    fn load(&self) -> Load {
        let metrics = self.router.metrics();
        Load {
            in_flight: metrics.in_flight,
            queued: metrics.queued,
            free_slots: self.free_slots(&metrics),
        }
    }
}
