//! What other entry instances ask of this instance's request routing.

use {
    crate::{forward, service_call::ServiceRouter},
    async_trait::async_trait,
    ragwortreel_caller::CallReply,
    ragwortreel_control::{Control, Load, LocalRequests},
    ragwortreel_entry::generated::{ForwardedRequest, ForwardedResponse},
    ragwortreel_model::Outcome,
    ragwortreel_routing::{Router, SlotLimits, slot_shares},
    std::{collections::BTreeMap, sync::Arc},
};

/// Request routing as seen by other entry instances.
pub struct LocalService {
    services: Arc<ServiceRouter>,
    router: Router,
    control: Control,
}

impl LocalService {
    /// Makes the view.
    #[must_use]
    pub fn new(services: Arc<ServiceRouter>, router: Router, control: Control) -> Self {
        Self { services, router, control }
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
        let me = self.control.instance();
        let excess = |(backend, used): (&Arc<str>, &u32)| {
            let share = slot_shares(&members, backend, limits).get(me).copied().unwrap_or_default();
            (*used > share.slots).then(|| (backend.to_string(), used - share.slots))
        };
        self.router.slots_in_use().iter().filter_map(excess).collect()
    }

    fn load(&self) -> Load {
        let figures = self.router.figures();
        Load { in_flight: figures.in_flight(), queued: figures.queued(), free_slots: figures.free_slots() }
    }
}
