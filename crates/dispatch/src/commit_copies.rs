//! Copies of a transaction of the journal that gets no response.
//!
//! A silence of the store that is longer than the start window stops starts, so copies are sent until one is answered.
//! Of all copies only one takes effect; the others fail their condition and find the row of that one.

use {
    ragwortreel_platform::{PlatformError, ResponseTimes, TxnOutcome, hedge_bounded},
    ragwortreel_runtime::boot_ms,
    std::{iter, time::Duration},
};

/// Shortest time after which a transaction without a response is sent again, in ms. The next copies follow after twice
/// and then each after four times the delay. Within the shortest start window of 450 ms, the third copy is answered
/// while responses take up to 40 ms, and the fourth one while they take up to 6 ms.
const MIN_HEDGE_MS: u64 = 50;
/// Size that adds a millisecond to the first delay, in bytes. A link of 10 Mbit/s transfers 1,250 bytes in this time, and
/// base64 makes a value a third larger. Without this term, a transaction of 500 KB on such a link gets three copies.
const BYTES_PER_MS: u64 = 900;
/// Most pending copies of a transaction; bounds the load on a store that is silent for longer than a call's timeout.
const MAX_PENDING_COPIES: usize = 8;

/// Sends a transaction, and copies of it until one is answered or the term is over. Returns the outcome and the time
/// from which the renewal in it counts, in ms.
///
/// `first_sent_ms` is the time at which the transaction was sent first, which may be before this call; `bytes` is the size
/// of its values.
///
/// # Errors
///
/// Returns the error of the last copy if all pending copies have failed.
pub async fn commit_with_copies<F: Future<Output = Result<TxnOutcome, PlatformError>>>(
    first_sent_ms: u64,
    bytes: usize,
    response_times: &ResponseTimes,
    is_over: impl Fn() -> bool,
    mut send: impl FnMut() -> F,
) -> Result<(u64, TxnOutcome), PlatformError> {
    let transfer_ms = bytes as u64 / BYTES_PER_MS;
    let first_ms = response_times.hedge_after_ms(MIN_HEDGE_MS + transfer_ms);
    let later = iter::from_fn(|| (!is_over()).then_some(4 * first_ms));
    let delays_ms = [first_ms, 2 * first_ms].into_iter().chain(later);
    let answer = hedge_bounded(delays_ms, MAX_PENDING_COPIES, |_| {
        let sent_ms = boot_ms();
        let call = response_times.measure(Duration::ZERO, send());
        async move { Ok((sent_ms, call.await?)) }
    });
    let (sent_ms, outcome) = answer.await?;
    let counts_from_ms = match outcome {
        TxnOutcome::Committed { .. } => sent_ms,
        // An earlier copy may have taken effect, at the earliest when the first one was sent. Other instances may have
        // seen it then.
        TxnOutcome::Conflict { .. } => first_sent_ms,
    };
    Ok((counts_from_ms, outcome))
}
