//! Hedged calls: a call that gets no response is sent again while the first one is still pending.
//!
//! The load: a store that loses a part of its responses for some seconds. A connection whose response is lost delivers
//! nothing further, and only a timeout shows it. With a timeout of 1.5 s, one lost response ends a term of leadership,
//! and with a third of the responses lost no instance can lead at all. A hedged call costs a fraction of the timeout.
//!
//! Only calls that may take effect twice are hedged: reads, and transactions whose second copy fails its own condition.

use {
    crate::api::PlatformError,
    ragwortreel_runtime::sleep,
    std::{
        future::{Future, poll_fn},
        pin::Pin,
        sync::{
            OnceLock,
            atomic::{AtomicU64, Ordering},
        },
        task::Poll,
        time::{Duration, Instant},
    },
};

/// Duration of the slowest recent response of a service, from which the delays of copies are computed: in a slow service,
/// copies would only add load. Each copy is measured on its own, so lost responses do not count.
#[derive(Debug, Default)]
pub struct ResponseTimes {
    /// Decays by a tenth with each response.
    slowest_ms: AtomicU64,
}

impl ResponseTimes {
    /// Records a response.
    pub fn record(&self, took: Duration) {
        let took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        let former_ms = self.slowest_ms.load(Ordering::Relaxed);
        let slowest_ms = took_ms.max(former_ms * 9 / 10);
        self.slowest_ms.store(slowest_ms, Ordering::Relaxed);
    }

    /// Time without a response after which a copy is sent, in ms: `min_ms` and twice the slowest recent response.
    #[must_use]
    pub fn hedge_after_ms(&self, min_ms: u64) -> u64 {
        min_ms.saturating_add(self.slowest_ms.load(Ordering::Relaxed).saturating_mul(2))
    }

    /// Makes a call and records its duration beyond `wait`, the time that the service was asked to wait.
    ///
    /// # Errors
    ///
    /// Returns the error of the call, whose duration is not recorded.
    pub async fn measure<T, E>(
        &self,
        wait: Duration,
        call: impl Future<Output = Result<T, E>>,
    ) -> Result<T, E> {
        let sent = Instant::now();
        let response = call.await?;
        self.record(sent.elapsed().saturating_sub(wait));
        Ok(response)
    }
}

enum Event<T> {
    /// The attempt with this index has ended.
    Ended(usize, T),
    /// The next copy is due.
    Due,
}

/// Sends a call, and another copy after each of the delays (in ms, each counted from the former copy) without a
/// response. `attempt` sends a copy and is passed its number, from 0.
///
/// # Errors
///
/// Returns the error of the last copy once all copies that were sent have failed; no further copies are sent then.
pub async fn hedge<T, E, F: Future<Output = Result<T, E>>>(
    delays_ms: &[u64],
    attempt: impl FnMut(usize) -> F,
) -> Result<T, E> {
    hedge_bounded(delays_ms.iter().copied(), usize::MAX, attempt).await
}

/// Like [`hedge`], for responses that may take long to arrive: a copy that is due while one is arriving would only divide
/// its link. `receiving_until` returns the time until which a response counts as arriving; a copy is put off until then.
///
/// # Errors
///
/// Returns the error of the last copy once all copies that were sent have failed; no further copies are sent then.
pub async fn hedge_unless_receiving<T, E, F: Future<Output = Result<T, E>>>(
    delays_ms: &[u64],
    receiving_until: impl Fn() -> Option<Instant>,
    attempt: impl FnMut(usize) -> F,
) -> Result<T, E> {
    let delays_ms = delays_ms.iter().copied();
    send_copies(delays_ms, usize::MAX, receiving_until, attempt).await
}

/// Like [`hedge`], with delays that may go on without end. A copy that is due while `max_pending` copies are pending is
/// left out.
///
/// # Errors
///
/// Returns the error of the last copy once all copies that were sent have failed; no further copies are sent then.
pub async fn hedge_bounded<T, E, F: Future<Output = Result<T, E>>>(
    delays_ms: impl IntoIterator<Item = u64>,
    max_pending: usize,
    attempt: impl FnMut(usize) -> F,
) -> Result<T, E> {
    send_copies(delays_ms, max_pending, || None, attempt).await
}

async fn send_copies<T, E, F: Future<Output = Result<T, E>>>(
    delays_ms: impl IntoIterator<Item = u64>,
    max_pending: usize,
    receiving_until: impl Fn() -> Option<Instant>,
    mut attempt: impl FnMut(usize) -> F,
) -> Result<T, E> {
    let mut pending: Vec<Pin<Box<F>>> = vec![Box::pin(attempt(0))];
    let mut delays = delays_ms.into_iter();
    let mut sent = 1;
    let mut timer = delays
        .next()
        .map(|ms| Box::pin(sleep(Duration::from_millis(ms))));
    loop {
        let event = poll_fn(|cx| {
            for (index, it) in pending.iter_mut().enumerate() {
                if let Poll::Ready(result) = it.as_mut().poll(cx) {
                    return Poll::Ready(Event::Ended(index, result));
                }
            }
            if let Some(timer) = &mut timer
                && timer.as_mut().poll(cx).is_ready()
            {
                return Poll::Ready(Event::Due);
            }
            Poll::Pending
        })
        .await;
        match event {
            Event::Ended(_, Ok(value)) => return Ok(value),
            Event::Ended(index, Err(err)) => {
                drop(pending.swap_remove(index));
                if pending.is_empty() {
                    return Err(err);
                }
            }
            Event::Due => {
                let now = Instant::now();
                if let Some(until) = receiving_until().filter(|until| *until > now) {
                    timer = Some(Box::pin(sleep(until - now)));
                    continue;
                }
                if pending.len() < max_pending {
                    pending.push(Box::pin(attempt(sent)));
                    sent += 1;
                }
                timer = delays
                    .next()
                    .map(|ms| Box::pin(sleep(Duration::from_millis(ms))));
            }
        }
    }
}

/// Like [`hedge`], for calls with an effect.
///
/// # Errors
///
/// Returns [`PlatformError::Unknown`] if any copy may have taken effect, whichever copy ended last.
pub(crate) async fn hedge_effect<T, F: Future<Output = Result<T, PlatformError>>>(
    delays_ms: &[u64],
    mut attempt: impl FnMut(usize) -> F,
) -> Result<T, PlatformError> {
    let unknown = OnceLock::new();
    let result = hedge(delays_ms, |number| {
        let call = attempt(number);
        let unknown = &unknown;
        async move {
            let result = call.await;
            if let Err(err @ PlatformError::Unknown { .. }) = &result {
                unknown.get_or_init(|| err.clone());
            }
            result
        }
    })
    .await;
    result.map_err(|err| unknown.into_inner().unwrap_or(err))
}
