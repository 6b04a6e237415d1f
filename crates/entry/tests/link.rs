//! Calls over TCP connections on the loopback interface, including connections that break or stop carrying data.

use {
    async_io::Async,
    async_trait::async_trait,
    futures_lite::{AsyncReadExt, AsyncWriteExt},
    ragwortreel_entry::{
        EntryClient, EntryError, EntryPeer, EntryServer, EntryService, PeerTimeouts,
        generated::{
            BurnCountsReply, BurnCountsRequest, ConfirmSlotEpochReply, ConfirmSlotEpochRequest,
            DrainReply, DrainRequest, ForwardedRequest, ForwardedResponse, HeartbeatReply,
            HeartbeatRequest, JobMessage, JobReference, JobReply, ReleaseSlotsReply,
            ReleaseSlotsRequest, SettingsTree, SettingsVersion,
        },
    },
    ragwortreel_runtime::{Stop, block_on, discard_logger, sleep_ms, spawn},
    std::{
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Service that replies after a delay and counts the calls that it ran.
#[derive(Default)]
struct Echo {
    delay_ms: AtomicU64,
    calls: AtomicU64,
}

impl Echo {
    async fn run(&self) {
        self.calls.fetch_add(1, Ordering::SeqCst);
        sleep_ms(self.delay_ms.load(Ordering::SeqCst)).await;
    }
}

#[async_trait]
impl EntryService for Echo {
    async fn heartbeat(&self, req: HeartbeatRequest) -> HeartbeatReply {
        self.run().await;
        HeartbeatReply {
            instance: req.instance,
            ..HeartbeatReply::default()
        }
    }
    async fn push_settings(&self, tree: SettingsTree) -> SettingsVersion {
        self.run().await;
        SettingsVersion {
            version: tree.version,
        }
    }
    async fn pull_settings(&self, _: SettingsVersion) -> SettingsTree {
        SettingsTree::default()
    }
    async fn confirm_slot_epoch(&self, _: ConfirmSlotEpochRequest) -> ConfirmSlotEpochReply {
        ConfirmSlotEpochReply::default()
    }
    async fn release_slots(&self, _: ReleaseSlotsRequest) -> ReleaseSlotsReply {
        ReleaseSlotsReply::default()
    }
    async fn forward_request(&self, req: ForwardedRequest) -> ForwardedResponse {
        self.run().await;
        ForwardedResponse {
            body: req.body,
            ..ForwardedResponse::default()
        }
    }
    async fn submit_job(&self, _: JobMessage) -> JobReply {
        JobReply::default()
    }
    async fn cancel_job(&self, _: JobReference) -> JobReply {
        JobReply::default()
    }
    async fn describe_job(&self, _: JobReference) -> JobReply {
        JobReply::default()
    }
    async fn drain(&self, _: DrainRequest) -> DrainReply {
        DrainReply::default()
    }
    async fn burn_counts(&self, _: BurnCountsRequest) -> BurnCountsReply {
        BurnCountsReply::default()
    }
}

struct Server {
    address: SocketAddr,
    echo: Arc<Echo>,
    stop: Stop,
    ended: Arc<AtomicBool>,
}

fn serve(address: SocketAddr) -> Server {
    let server = EntryServer::bind(address).expect("binds");
    let address = server.local_addr().expect("has an address");
    let (echo, stop, ended) = (Arc::new(Echo::default()), Stop::new(), Arc::default());
    let serving = server.serve(Arc::clone(&echo) as _, discard_logger(), stop.clone());
    let flag: Arc<AtomicBool> = Arc::clone(&ended);
    spawn(async move {
        serving.await;
        flag.store(true, Ordering::SeqCst);
    })
    .detach();
    Server {
        address,
        echo,
        stop,
        ended,
    }
}

fn loopback_any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn client(address: SocketAddr) -> EntryClient {
    EntryClient::new(address, PeerTimeouts::default())
}

fn heartbeat(instance: &str) -> HeartbeatRequest {
    HeartbeatRequest {
        instance: instance.to_owned(),
        ..HeartbeatRequest::default()
    }
}

/// TCP proxy that can stop forwarding data on its open connections without closing them.
struct SilencingProxy {
    address: SocketAddr,
    /// Stops the forwarding on the connections that were accepted before it is set.
    silence: Arc<AtomicBool>,
}

fn start_proxy(server: SocketAddr) -> SilencingProxy {
    let listener = Async::<TcpListener>::bind(loopback_any_port()).expect("binds");
    let address = listener.get_ref().local_addr().expect("has an address");
    let silence = Arc::new(AtomicBool::new(false));
    let silence_flag = Arc::clone(&silence);
    spawn(async move {
        while let Ok((downstream, _)) = listener.accept().await {
            let upstream = Async::<TcpStream>::connect(server).await.expect("connects");
            // Connections that are accepted after `silence` is set still forward data.
            let silenced = if silence_flag.load(Ordering::SeqCst) {
                Arc::default()
            } else {
                Arc::clone(&silence_flag)
            };
            let (downstream, upstream) = (Arc::new(downstream), Arc::new(upstream));
            for (from, to) in [(&downstream, &upstream), (&upstream, &downstream)] {
                let (from, to) = (Arc::clone(from), Arc::clone(to));
                let silenced = Arc::clone(&silenced);
                spawn(async move {
                    let mut buf = [0; 4096];
                    while let Ok(len @ 1..) = (&*from).read(&mut buf).await {
                        if !silenced.load(Ordering::SeqCst)
                            && (&*to).write_all(&buf[..len]).await.is_err()
                        {
                            break;
                        }
                    }
                })
                .detach();
            }
        }
    })
    .detach();
    SilencingProxy { address, silence }
}

#[test]
fn concurrent_calls_get_their_own_replies() {
    let server = serve(loopback_any_port());
    let client = Arc::new(client(server.address));
    block_on(async {
        let calls: Vec<_> = (0..100)
            .map(|index| {
                let client = Arc::clone(&client);
                spawn(async move {
                    let name = format!("i{index}");
                    client
                        .heartbeat(heartbeat(&name))
                        .await
                        .map(|reply| reply.instance == name)
                })
            })
            .collect();
        for call in calls {
            assert_eq!(call.await, Ok(true));
        }
        let tree = SettingsTree {
            version: 7,
            sha256: vec![0; 32],
            json: vec![b' '; 4 * 1024 * 1024],
        };
        assert_eq!(
            client.push_settings(tree).await.map(|reply| reply.version),
            Ok(7)
        );
    });
}

/// A message over the size limit must be refused before it is sent: otherwise it uses the peer's memory, and its call
/// is reported as possibly run.
#[test]
fn oversized_messages_are_refused_and_not_run() {
    let server = serve(loopback_any_port());
    let client = client(server.address);
    block_on(async {
        let result = client.heartbeat(heartbeat(&"x".repeat(5_000))).await;
        assert!(result.is_err_and(|err| err.is_not_run()));
        let tree = SettingsTree {
            json: vec![0; 5 * 1024 * 1024],
            ..SettingsTree::default()
        };
        assert!(
            client
                .push_settings(tree)
                .await
                .is_err_and(|err| err.is_not_run())
        );
        assert_eq!(server.echo.calls.load(Ordering::SeqCst), 0);
    });
}

/// Guards against reporting a call during the reconnect backoff as a refused connection: only a refused connection
/// proves that the peer's process has ended.
#[test]
fn refused_connection_is_distinguished_from_backoff() {
    let address = unused_address();
    let client = client(address);
    block_on(async {
        let first = client.heartbeat(heartbeat("a")).await;
        assert!(
            matches!(first, Err(EntryError::Refused { .. })),
            "{first:?}"
        );
        let second = client.heartbeat(heartbeat("a")).await;
        assert!(
            matches!(second, Err(EntryError::NotSent { .. })),
            "{second:?}"
        );
        let server = serve(address);
        sleep_ms(200).await;
        let third = client.heartbeat(heartbeat("a")).await;
        assert!(third.is_ok(), "{third:?}");
        server.stop.request();
    });
}

fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind(loopback_any_port()).expect("binds");
    listener.local_addr().expect("has an address")
}

/// Guards against reporting a call as not run when its request was sent but no reply arrived: it may have run.
#[test]
fn timeout_after_sending_is_unknown() {
    let server = serve(loopback_any_port());
    server.echo.delay_ms.store(60_000, Ordering::SeqCst);
    let client = client(server.address);
    block_on(async {
        let result = client.heartbeat(heartbeat("a")).await;
        assert!(
            matches!(result, Err(EntryError::Unknown { .. })),
            "{result:?}"
        );
        assert_eq!(server.echo.calls.load(Ordering::SeqCst), 1);
    });
}

/// Guards against keeping a connection that no longer carries data while new connections work: it must be
/// replaced within 3 s.
#[test]
fn silent_connection_is_replaced() {
    let server = serve(loopback_any_port());
    let proxy = start_proxy(server.address);
    let client = client(proxy.address);
    block_on(async {
        client
            .heartbeat(heartbeat("a"))
            .await
            .expect("heartbeat failed");
        proxy.silence.store(true, Ordering::SeqCst);
        let since = Instant::now();
        while client.heartbeat(heartbeat("a")).await.is_err() {
            assert!(
                since.elapsed() < Duration::from_secs(4),
                "the silent connection was not replaced"
            );
            sleep_ms(20).await;
        }
        assert!(
            since.elapsed() <= Duration::from_secs(3),
            "{:?}",
            since.elapsed()
        );
    });
}

/// Guards against a planned stop that aborts calls in flight.
#[test]
fn stop_finishes_calls_in_flight() {
    let server = serve(loopback_any_port());
    server.echo.delay_ms.store(300, Ordering::SeqCst);
    let client = Arc::new(client(server.address));
    block_on(async {
        let requester = Arc::clone(&client);
        let call = spawn(async move {
            let req = ForwardedRequest {
                body: vec![1, 2, 3],
                deadline_ms: 5_000,
                ..ForwardedRequest::default()
            };
            requester.forward_request(req).await
        });
        while server.echo.calls.load(Ordering::SeqCst) == 0 {
            sleep_ms(5).await;
        }
        server.stop.request();
        assert_eq!(call.await.map(|reply| reply.body), Ok(vec![1, 2, 3]));
        let since = Instant::now();
        while !server.ended.load(Ordering::SeqCst) {
            assert!(
                since.elapsed() < Duration::from_secs(5),
                "the server did not stop"
            );
            sleep_ms(10).await;
        }
    });
}

/// Operators read these texts in log lines and in the replies of the HTTP interface.
#[test]
fn errors_name_the_step_the_peer_and_the_problem() {
    let (step, peer) = ("drain", SocketAddr::from(([10, 0, 0, 1], 7)));
    let refused = EntryError::Refused { step, peer };
    assert_eq!(
        refused.to_string(),
        "drain at 10.0.0.1:7: connection refused"
    );
    let problem = "timeout".into();
    let not_sent = EntryError::NotSent {
        step,
        peer,
        problem,
    };
    assert_eq!(
        not_sent.to_string(),
        "drain at 10.0.0.1:7: not sent: timeout"
    );
    let problem = "timeout".into();
    let unknown = EntryError::Unknown {
        step,
        peer,
        problem,
    };
    assert_eq!(
        unknown.to_string(),
        "drain at 10.0.0.1:7: outcome unknown: timeout"
    );
}
