//! HTTP client of the platform, against an in-memory platform that is served on a loopback socket.

use {
    ragwortreel_model::{InstanceId, Zone},
    ragwortreel_platform::{
        Check, HttpPlatform, InstanceList, InstanceState, ListedInstance, ListedRole,
        MAX_TXN_BYTES, ObjectStore, PlatformError, TableService, Txn, TxnOutcome, Write,
    },
    ragwortreel_runtime::block_on,
    ragwortreel_standins::{
        Faults, Limits, Listening, MemoryPlatform, Outage, platform::serve_platform,
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

struct Setup {
    platform: Arc<MemoryPlatform>,
    listening: Listening,
    client: HttpPlatform,
}

fn setup() -> Setup {
    let platform = MemoryPlatform::with_limits(Limits::NONE, 5);
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let listening = serve_platform(addr, Arc::clone(&platform)).expect("listen");
    let zone = Zone::new("riga-a").expect("valid name");
    let client = HttpPlatform::new(listening.addr(), zone, Duration::from_millis(200));
    Setup {
        platform,
        listening,
        client,
    }
}

fn put(key: &str, version: u64, value: &str) -> Txn {
    let key: Arc<str> = Arc::from(key);
    Txn {
        checks: vec![Check {
            key: Arc::clone(&key),
            version,
        }],
        writes: vec![Write {
            key,
            value: Some(Arc::from(value)),
        }],
    }
}

fn is_unknown<T>(result: &Result<T, PlatformError>) -> bool {
    matches!(result, Err(PlatformError::Unknown { .. }))
}

fn is_not_done<T>(result: &Result<T, PlatformError>) -> bool {
    matches!(result, Err(PlatformError::NotDone { .. }))
}

// Guards against keys or values that are encoded or decoded wrongly, and against misread responses.
#[test]
fn rows_and_objects_are_transferred_unchanged() {
    block_on(async {
        let Setup {
            client,
            listening: _listening,
            ..
        } = setup();
        let key = "a/b c&d=é?#%";
        let committed = client.commit(put(key, 0, "\"v\"\n")).await.expect("commit");
        assert_eq!(committed, TxnOutcome::Committed { versions: vec![1] });
        let row = TableService::get(&client, key).await.expect("get");
        let row = row.expect("row");
        assert_eq!((&*row.key, &*row.value, row.version), (key, "\"v\"\n", 1));
        let rows = client.scan(&["a/b c", "x"]).await.expect("scan");
        assert_eq!(rows, std::slice::from_ref(&row));
        let conflict = client.commit(put(key, 7, "w")).await.expect("commit");
        assert_eq!(conflict, TxnOutcome::Conflict { current: vec![row] });
        let absent = TableService::get(&client, "none").await.expect("get");
        assert!(absent.is_none());

        let object = vec![0, 255, 10];
        client.put(key, object.clone()).await.expect("put");
        let read = ObjectStore::get(&client, key).await.expect("get");
        assert_eq!(read, Some(object));
        client.delete(key).await.expect("delete");
        let gone = ObjectStore::get(&client, key).await.expect("get");
        assert!(gone.is_none());
        assert!(client.list().await.expect("list").is_empty());
    });
}

// Guards against a write that is reported as not done although it may have taken effect, and against one that is
// reported as unknown although it certainly had no effect.
#[test]
fn failures_state_whether_the_call_had_an_effect() {
    block_on(async {
        let Setup {
            platform,
            listening,
            client,
        } = setup();
        let large = "x".repeat(MAX_TXN_BYTES + 1);
        assert!(is_not_done(&client.commit(put("large", 0, &large)).await));

        platform
            .faults()
            .update(|f| f.outage = Some(Outage::Refuse));
        assert!(is_not_done(&client.commit(put("refused", 0, "v")).await));

        platform.faults().set(Faults {
            lost_answers_ppm: 1_000_000,
            ..Faults::default()
        });
        assert!(is_unknown(&client.commit(put("lost", 0, "v")).await));
        assert!(platform.peek("lost").is_some());

        platform.faults().set(Faults {
            truncated_ppm: 1_000_000,
            ..Faults::default()
        });
        assert!(is_unknown(&client.commit(put("cut", 0, "v")).await));
        assert!(platform.peek("cut").is_some());
        assert!(is_unknown(&TableService::get(&client, "cut").await));

        platform.faults().set(Faults {
            cut_zones: [Zone::new("riga-a").expect("valid name")].into(),
            ..Faults::default()
        });
        assert!(is_unknown(&client.commit(put("zone", 0, "v")).await));
        assert!(platform.peek("zone").is_none());

        platform.faults().clear();
        listening.stop();
        let gone = loop {
            // The listening socket closes shortly after the stop.
            let result = client.commit(put("gone", 0, "v")).await;
            if is_not_done(&result) {
                break result;
            }
        };
        assert!(is_not_done(&gone));
    });
}

// Guards against calls that keep failing on open connections that no longer respond while new connections work.
#[test]
fn silent_connections_are_replaced_after_one_timeout() {
    block_on(async {
        let Setup {
            platform,
            client,
            listening: _listening,
        } = setup();
        client.commit(put("first", 0, "v")).await.expect("commit");
        platform
            .faults()
            .update(|f| f.silence_open_connections = true);
        assert!(is_unknown(&client.commit(put("silent", 0, "v")).await));
        let started = Instant::now();
        client.commit(put("next", 0, "v")).await.expect("commit");
        assert!(started.elapsed() < Duration::from_millis(150));
        assert!(platform.peek("silent").is_none());
    });
}

// Guards against a cached list that is returned after the list has changed, and against an error on status 304.
#[test]
fn changed_instance_list_replaces_the_cached_one() {
    let Setup {
        platform, client, ..
    } = &setup();
    let id = InstanceId::new("entry-1").expect("valid name");
    let listed = |state| ListedInstance {
        id: id.clone(),
        zone: Zone::new("riga-a").expect("valid name"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        state,
        role: ListedRole::Entry,
    };
    block_on(async {
        platform.put_instance(listed(InstanceState::Live));
        for _ in 0..2 {
            assert_eq!(
                client.list().await.expect("answered"),
                [listed(InstanceState::Live)]
            );
        }
        platform.set_instance_state(&id, InstanceState::Leaving);
        assert_eq!(
            client.list().await.expect("answered"),
            [listed(InstanceState::Leaving)]
        );
    });
}
