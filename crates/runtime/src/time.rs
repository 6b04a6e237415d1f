//! Sleeping, timeouts and clock readings.

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

/// Error of a timeout that expired before the future completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("timeout")]
pub struct Elapsed;

/// Waits for a duration.
pub async fn sleep(duration: Duration) {
    Timer::after(duration).await;
}

/// Waits for a number of milliseconds.
pub async fn sleep_ms(duration_ms: u64) {
    sleep(Duration::from_millis(duration_ms)).await;
}

/// Runs a future with a timeout; the future is dropped when the timeout expires.
///
/// # Errors
///
/// Returns [`Elapsed`] when the timeout expires before the future completes.
pub async fn timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Result<T, Elapsed> {
    timeout_at(Instant::now() + limit, future).await
}

/// Runs a future with a timeout in milliseconds; the future is dropped when the timeout expires.
///
/// # Errors
///
/// Returns [`Elapsed`] when the timeout expires before the future completes.
pub async fn timeout_ms<T>(limit_ms: u64, future: impl Future<Output = T>) -> Result<T, Elapsed> {
    timeout(Duration::from_millis(limit_ms), future).await
}

/// Runs a future with a deadline; the future is dropped when the deadline passes.
///
/// # Errors
///
/// Returns [`Elapsed`] when the deadline passes before the future completes.
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

/// Time since the machine booted in ms, including time in suspension (`CLOCK_BOOTTIME`).
///
/// For leases that must also expire while the machine is suspended, when the monotonic clock does not advance.
#[must_use]
pub fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let ms = Duration::new(
        u64::try_from(time.tv_sec).unwrap_or(0),
        u32::try_from(time.tv_nsec).unwrap_or(0),
    );
    u64::try_from(ms.as_millis()).unwrap_or(u64::MAX)
}

/// Unix time in whole minutes.
#[must_use]
pub fn unix_minute() -> u64 {
    unix_ms() / 60_000
}

/// Unix time in ms; 0 when the system clock is set before 1970.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
