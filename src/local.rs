//! What other entry instances ask of this instance's request routing.

use {
    crate::{burn::BurnCounter, forward, service_call::ServiceRouter},
    async_trait::async_trait,
    ragwortreel_caller::CallReply,
    ragwortreel_control::{Control, Load, LocalRequests},
    ragwortreel_entry::generated::{ForwardedRequest, ForwardedResponse},
    ragwortreel_model::{InstanceId, Outcome},
    ragwortreel_routing::{Router, RouterFigures, SlotLimits, slot_shares},
    ragwortreel_runtime::Stop,
    std::{collections::BTreeMap, sync::Arc},
};

/// Request routing as seen by other entry instances.
pub struct LocalService {
    instance: InstanceId,
    services: ServiceRouter,
    router: Router,
    control: Control,
    burn: Arc<BurnCounter>,
    stop: Stop,
}

impl LocalService {
    /// Makes the view.
    #[must_use]
    pub fn new(
        instance: InstanceId,
        services: ServiceRouter,
        router: Router,
        control: Control,
        burn: Arc<BurnCounter>,
        stop: Stop,
    ) -> Self {
        Self {
            instance,
            services,
            router,
            control,
            burn,
            stop,
        }
    }
}

impl LocalService {
    /// Slots of this zone's backend servers that this instance could use now, by service.
    fn free_slots(&self, figures: &RouterFigures) -> BTreeMap<String, u32> {
        let mut free = BTreeMap::new();
        for backend in self.control.backends().iter() {
            let Some(figures) = figures
                .backends
                .get(backend.id.as_str())
                .filter(|figures| !figures.ejected)
            else {
                continue;
            };
            let service = format!("{}/{}", backend.team, backend.service);
            *free.entry(service).or_default() += figures.limit.saturating_sub(figures.in_use);
        }
        free
    }
}

#[async_trait]
impl LocalRequests for LocalService {
    async fn forward(&self, req: ForwardedRequest) -> ForwardedResponse {
        let reply = match forward::decode_request(req) {
            Ok(call) => self.services.call_here(call).await,
            Err(problem) => CallReply {
                outcome: Outcome::NotRun,
                response: None,
                reason: Arc::from(problem),
                retry_after_ms: None,
            },
        };
        forward::encode_reply(reply)
    }

    fn still_held(&self, _epoch: u64) -> BTreeMap<String, u32> {
        let limits = SlotLimits::of(&self.control.settings().settings.cell);
        let members = self.control.slot_shares_input().members;
        let excess = |(backend, used): (&Arc<str>, &u32)| {
            let share = slot_shares(&members, backend, limits)
                .get(&self.instance)
                .copied()
                .unwrap_or_default();
            (*used > share.slots).then(|| (backend.to_string(), used - share.slots))
        };
        self.router
            .slots_in_use()
            .iter()
            .filter_map(excess)
            .collect()
    }

    fn drain(&self) {
        self.stop.request();
    }

    fn burn_counts(&self) -> Vec<u8> {
        serde_json::to_vec(&self.burn.counts()).unwrap_or_default()
    }

    fn load(&self) -> Load {
        let figures = self.router.figures();
        Load {
            in_flight: figures.in_flight,
            queued: figures.queued,
            free_slots: self.free_slots(&figures),
        }
    }
}
