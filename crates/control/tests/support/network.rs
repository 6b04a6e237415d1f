//! Calls between entry instances in one process, whose messages can be dropped separately in each direction.

use {
    super::FaultInjector,
    async_trait::async_trait,
    ragwortreel_entry::{
        EntryError, EntryPeer, EntryService, PeerConnector,
        generated::{
            BurnCountsReply, BurnCountsRequest, ConfirmSlotEpochReply, ConfirmSlotEpochRequest,
            DrainReply, DrainRequest, ForwardedRequest, ForwardedResponse, HeartbeatReply,
            HeartbeatRequest, JobMessage, JobReference, JobReply, ReleaseSlotsReply,
            ReleaseSlotsRequest, SettingsTree, SettingsVersion,
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
};

/// Service at an address, with the faults of its instance.
type Listener = (Arc<FaultInjector>, Arc<dyn EntryService>);

/// Connects the entry services of one process by their addresses.
#[derive(Default)]
pub struct Network {
    listeners: Mutex<BTreeMap<SocketAddr, Listener>>,
    /// Pairs of sender and receiver whose messages are dropped.
    disconnected: Mutex<BTreeSet<(SocketAddr, SocketAddr)>>,
}

impl Network {
    pub fn listen(
        &self,
        address: SocketAddr,
        injector: &Arc<FaultInjector>,
        service: Arc<dyn EntryService>,
    ) {
        let listener = (Arc::clone(injector), service);
        self.listeners.lock().unwrap().insert(address, listener);
    }

    pub fn close(&self, address: SocketAddr) {
        self.listeners.lock().unwrap().remove(&address);
    }

    /// Drops all messages from one address to another, until `reconnect_all`.
    pub fn disconnect(&self, from: SocketAddr, to: SocketAddr) {
        self.disconnected.lock().unwrap().insert((from, to));
    }

    pub fn reconnect_all(&self) {
        self.disconnected.lock().unwrap().clear();
    }

    fn is_disconnected(&self, from: SocketAddr, to: SocketAddr) -> bool {
        self.disconnected.lock().unwrap().contains(&(from, to))
    }

    pub fn connector(
        self: &Arc<Self>,
        from: SocketAddr,
        injector: &Arc<FaultInjector>,
    ) -> Connector {
        Connector {
            network: Arc::clone(self),
            injector: Arc::clone(injector),
            from,
        }
    }
}

pub struct Connector {
    network: Arc<Network>,
    injector: Arc<FaultInjector>,
    from: SocketAddr,
}

impl PeerConnector for Connector {
    fn connect(&self, address: SocketAddr) -> Arc<dyn EntryPeer> {
        Arc::new(Peer {
            network: Arc::clone(&self.network),
            injector: Arc::clone(&self.injector),
            from: self.from,
            to: address,
        })
    }
}

struct Peer {
    network: Arc<Network>,
    injector: Arc<FaultInjector>,
    from: SocketAddr,
    to: SocketAddr,
}

impl Peer {
    fn no_reply(&self, step: &'static str) -> EntryError {
        EntryError::Unknown {
            step,
            peer: self.to,
            problem: "no reply".into(),
        }
    }

    fn listener(&self, step: &'static str) -> Result<Listener, EntryError> {
        if self.network.is_disconnected(self.from, self.to) {
            return Err(self.no_reply(step));
        }
        let found = self
            .network
            .listeners
            .lock()
            .unwrap()
            .get(&self.to)
            .cloned();
        found.ok_or(EntryError::Refused {
            step,
            peer: self.to,
        })
    }
}

macro_rules! impl_entry_peer {
    ($($name:ident($req:ident) -> $reply:ident;)*) => {
        #[async_trait]
        impl EntryPeer for Peer {
            $(async fn $name(&self, req: $req) -> Result<$reply, EntryError> {
                self.injector.wait_while_paused().await;
                let (injector, service) = self.listener(stringify!($name))?;
                let served = injector.deliver(async move { service.$name(req).await });
                let reply = ragwortreel_runtime::timeout_ms(1_000, served).await;
                let reply = reply.map_err(|_| self.no_reply(stringify!($name)))?;
                if self.network.is_disconnected(self.to, self.from) {
                    return Err(self.no_reply(stringify!($name)));
                }
                Ok(reply)
            })*
        }
    };
}

impl_entry_peer! {
    heartbeat(HeartbeatRequest) -> HeartbeatReply;
    push_settings(SettingsTree) -> SettingsVersion;
    pull_settings(SettingsVersion) -> SettingsTree;
    confirm_slot_epoch(ConfirmSlotEpochRequest) -> ConfirmSlotEpochReply;
    release_slots(ReleaseSlotsRequest) -> ReleaseSlotsReply;
    forward_request(ForwardedRequest) -> ForwardedResponse;
    submit_job(JobMessage) -> JobReply;
    cancel_job(JobReference) -> JobReply;
    describe_job(JobReference) -> JobReply;
    drain(DrainRequest) -> DrainReply;
    burn_counts(BurnCountsRequest) -> BurnCountsReply;
}
