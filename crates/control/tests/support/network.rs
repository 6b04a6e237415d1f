//! Calls between entry instances in one process, with cuts in either direction.

use {
    super::Gate,
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

type Listener = (Arc<Gate>, Arc<dyn EntryService>);

#[derive(Default)]
pub struct Network {
    listeners: Mutex<BTreeMap<SocketAddr, Listener>>,
    cuts: Mutex<BTreeSet<(SocketAddr, SocketAddr)>>,
}

impl Network {
    pub fn listen(&self, address: SocketAddr, gate: &Arc<Gate>, service: Arc<dyn EntryService>) {
        let listener = (Arc::clone(gate), service);
        self.listeners.lock().unwrap().insert(address, listener);
    }

    pub fn close(&self, address: SocketAddr) {
        self.listeners.lock().unwrap().remove(&address);
    }

    /// Loses all messages from one address to another.
    pub fn cut(&self, from: SocketAddr, to: SocketAddr) {
        self.cuts.lock().unwrap().insert((from, to));
    }

    pub fn heal(&self) {
        self.cuts.lock().unwrap().clear();
    }

    fn is_cut(&self, from: SocketAddr, to: SocketAddr) -> bool {
        self.cuts.lock().unwrap().contains(&(from, to))
    }

    pub fn connector(self: &Arc<Self>, from: SocketAddr, gate: &Arc<Gate>) -> Connector {
        Connector {
            network: Arc::clone(self),
            gate: Arc::clone(gate),
            from,
        }
    }
}

pub struct Connector {
    network: Arc<Network>,
    gate: Arc<Gate>,
    from: SocketAddr,
}

impl PeerConnector for Connector {
    fn connect(&self, address: SocketAddr) -> Arc<dyn EntryPeer> {
        Arc::new(Peer {
            network: Arc::clone(&self.network),
            gate: Arc::clone(&self.gate),
            from: self.from,
            to: address,
        })
    }
}

struct Peer {
    network: Arc<Network>,
    gate: Arc<Gate>,
    from: SocketAddr,
    to: SocketAddr,
}

impl Peer {
    fn lost(&self, step: &'static str) -> EntryError {
        EntryError::Unknown {
            step,
            peer: self.to,
            problem: "no answer".into(),
        }
    }

    fn listener(&self, step: &'static str) -> Result<Listener, EntryError> {
        if self.network.is_cut(self.from, self.to) {
            return Err(self.lost(step));
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

macro_rules! peer {
    ($($name:ident($req:ident) -> $reply:ident;)*) => {
        #[async_trait]
        impl EntryPeer for Peer {
            $(async fn $name(&self, req: $req) -> Result<$reply, EntryError> {
                self.gate.pass().await;
                let (gate, service) = self.listener(stringify!($name))?;
                let served = gate.carry(async move { service.$name(req).await });
                let reply = ragwortreel_runtime::timeout_ms(1_000, served).await;
                let reply = reply.map_err(|_| self.lost(stringify!($name)))?;
                if self.network.is_cut(self.to, self.from) {
                    return Err(self.lost(stringify!($name)));
                }
                Ok(reply)
            })*
        }
    };
}

peer! {
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
