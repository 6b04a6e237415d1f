//! Sleeping and time limits.

use {
    async_io::Timer,
    derive_more::{Display, Error},
    futures_lite::future,
    rustix::time::{ClockId, clock_gettime},
    std::{
        future::Future,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// A time limit passed before the future ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("timeout")]
pub struct Elapsed;

/// Waits for a time.
pub async fn sleep(duration: Duration) {
    Timer::after(duration).await;
}

/// Waits for a number of milliseconds.
pub async fn sleep_ms(duration_ms: u64) {
    sleep(Duration::from_millis(duration_ms)).await;
}

/// Runs a future for at most a time; the future is dropped when the time has passed.
///
/// # Errors
///
/// Returns [`Elapsed`] when the time passes first.
pub async fn timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Result<T, Elapsed> {
    timeout_at(Instant::now() + limit, future).await
}

/// Runs a future for at most a number of milliseconds.
///
/// # Errors
///
/// Returns [`Elapsed`] when the time passes first.
pub async fn timeout_ms<T>(limit_ms: u64, future: impl Future<Output = T>) -> Result<T, Elapsed> {
    timeout(Duration::from_millis(limit_ms), future).await
}

/// Runs a future until an instant at the latest.
///
/// # Errors
///
/// Returns [`Elapsed`] when the instant comes first.
pub async fn timeout_at<T>(
    deadline: Instant,
    future: impl Future<Output = T>,
) -> Result<T, Elapsed> {
    future::or(async { Ok(future.await) }, async {
        Timer::at(deadline).await;
        Err(Elapsed)
    })
    .await
}

/// Time since the machine's start in ms, the time of a suspension included.
///
/// Leases are checked against this clock, because the monotonic one stands still while a machine is suspended.
#[must_use]
pub fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let ms = Duration::new(
        u64::try_from(time.tv_sec).unwrap_or(0),
        u32::try_from(time.tv_nsec).unwrap_or(0),
    );
    u64::try_from(ms.as_millis()).unwrap_or(u64::MAX)
}

/// Time of day in minutes since 1970.
#[must_use]
pub fn unix_minute() -> u64 {
    unix_ms() / 60_000
}

/// Time of day in ms since 1970.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
