use {
    super::PooledTransport,
    crate::transport::{Reply, Target, Transport},
    ragwortreel_http::Request,
    ragwortreel_model::{InstanceId, ManualClock, ServiceName, WorkClass, Workspace, Zone},
    ragwortreel_routing::{BackendServer, RequestInfo, Router, RouterConfig, Share, SlotShares},
    ragwortreel_runtime::{block_on, discard_logger},
    std::{
        collections::BTreeMap,
        io::{Read, Write},
        net::{Ipv4Addr, SocketAddr, TcpListener},
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Starts a backend server that answers each request and keeps the connection open.
fn start_backend() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for mut socket in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || {
                let mut buf = [0; 4_096];
                while socket.read(&mut buf).is_ok_and(|read| read > 0) {
                    let _ = socket.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
                }
            });
        }
    });
    address
}

/// A router with one slot and eight connections for the backend server at `address`.
fn router_with_backend(address: SocketAddr) -> Router {
    let zone = Zone::new("riga-a").expect("a name");
    let instance = InstanceId::new("e1").expect("a name");
    let config = RouterConfig::new(instance, zone.clone(), 1);
    let router = Router::new(config, Arc::new(ManualClock::default()));
    router.update_backends(vec![BackendServer {
        id: "b1".into(),
        zone,
        address,
        workspace: Workspace::new("alpha").expect("a name"),
        service: ServiceName::new("quotes").expect("a name"),
        draining: false,
    }]);
    let share = Share {
        slots: 1,
        long_slots: 1,
        connections: 8,
    };
    router.update_shares(SlotShares {
        by_backend: BTreeMap::from([("b1".into(), share)]),
        valid_until_ms: u64::MAX,
        excess_until_ms: None,
    });
    router
}

/// Guards against idle connections above a reduced share that stay open until the next request.
#[test]
fn reduced_share_closes_idle_connections_immediately() {
    let address = start_backend();
    let router = router_with_backend(address);
    let transport = PooledTransport::new(discard_logger());
    transport.set_limits(BTreeMap::from([(address, 8)]));
    block_on(async {
        let request = RequestInfo {
            workspace: Workspace::new("alpha").expect("a name"),
            service: ServiceName::new("quotes").expect("a name"),
            caller: Workspace::new("alpha").expect("a name"),
            route: "GET ".into(),
            class: Some(WorkClass::Short),
            cost_hint_ms: None,
            deadline_ms: 5_000,
            idempotent: true,
        };
        let permit = router.admit(request).await.expect("a slot");
        let target = Target {
            address,
            class: WorkClass::Short,
            silent_after: Duration::from_secs(2),
            retryable: false,
        };
        let deadline = Instant::now() + Duration::from_secs(5);
        let reply = transport
            .send(target, Request::get("/"), deadline, permit.watch())
            .await;
        assert!(matches!(reply, Reply::Answered(_)), "{reply:?}");
    });
    assert_eq!(transport.open_connections()[&address], 1);
    transport.set_limits(BTreeMap::new());
    let end = Instant::now() + Duration::from_secs(1);
    while transport.open_connections()[&address] > 0 {
        assert!(
            Instant::now() < end,
            "the idle connection is still open after 1 s"
        );
        thread::sleep(Duration::from_millis(5));
    }
}
