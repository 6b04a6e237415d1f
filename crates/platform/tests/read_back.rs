//! Read-back of conditional writes whose responses were lost.

use {
    ragwortreel_platform::{
        Check, PlatformError, ReadBackOutcome, TableService, Txn, Write, read_back,
    },
    ragwortreel_runtime::{block_on, sleep_ms},
    ragwortreel_standins::{Faults, MemoryPlatform, Outage},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

fn put(version: u64, value: &str) -> Txn {
    let key: Arc<str> = Arc::from("k");
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

async fn read_back_row(
    platform: &MemoryPlatform,
    version: u64,
    marker: &str,
) -> Result<ReadBackOutcome, PlatformError> {
    let deadline = Instant::now() + Duration::from_millis(200);
    read_back(platform, "k", version, marker, deadline).await
}

// Guards against a write that took effect but is reported as not applied.
#[test]
fn applied_write_is_found_by_its_marker() {
    block_on(async {
        let platform = MemoryPlatform::new();
        platform.faults().set(Faults {
            lost_answers_ppm: 1_000_000,
            ..Faults::default()
        });
        assert!(platform.commit(put(0, "by a.1")).await.is_err());
        platform.faults().clear();
        let found = read_back_row(&platform, 0, "a.1").await.expect("read");
        assert!(matches!(found, ReadBackOutcome::Applied(row) if row.version == 1));
        let other = read_back_row(&platform, 0, "b.1").await.expect("read");
        assert!(matches!(other, ReadBackOutcome::Superseded(Some(_))));
    });
}

// Guards against a write that is reported as superseded while it can still take effect.
#[test]
fn late_write_is_pending_until_another_write_supersedes_it() {
    block_on(async {
        let platform = MemoryPlatform::new();
        platform.faults().set(Faults {
            late_writes_ppm: 1_000_000,
            late_write_ms: 200,
            ..Faults::default()
        });
        // The delay of the late write is random. With the fixed seed of this platform it is above 0 ms, so the first
        // read comes before the write takes effect.
        assert!(platform.commit(put(0, "by a.1")).await.is_err());
        platform.faults().clear();
        let early = read_back_row(&platform, 0, "a.1").await.expect("read");
        assert_eq!(early, ReadBackOutcome::Pending(None));
        platform.commit(put(0, "by a.2")).await.expect("commit");
        sleep_ms(300).await;
        let late = read_back_row(&platform, 0, "a.1").await.expect("read");
        assert!(matches!(late, ReadBackOutcome::Superseded(Some(row)) if &*row.value == "by a.2"));
    });
}

// Guards against retries when the table refuses the read, and against an unlimited wait when it does not answer.
#[test]
fn read_back_fails_in_an_outage() {
    block_on(async {
        let platform = MemoryPlatform::new();
        for (outage, min_ms) in [(Outage::Refuse, 0), (Outage::Silent, 100)] {
            platform.faults().update(|f| f.outage = Some(outage));
            let started = Instant::now();
            assert!(read_back_row(&platform, 0, "a.1").await.is_err());
            let elapsed = started.elapsed();
            assert!(elapsed >= Duration::from_millis(min_ms) && elapsed < Duration::from_secs(1));
        }
    });
}
