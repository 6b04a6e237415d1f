//! Timer that is reused for all time limits of a connection.
//!
//! Registering a timer wakes the thread that waits for sockets, at the cost of several system calls. Limits of a
//! connection usually move forward with each request and seldom pass. An timer therefore stays registered for an
//! earlier limit, and is registered anew only when it fires or when a limit is earlier.

use {
    async_io::Timer,
    ragwortreel_runtime::Elapsed,
    std::{
        future::{Future, poll_fn},
        pin::{Pin, pin},
        task::{Context, Poll, ready},
        time::Instant,
    },
};

/// A timer for successive time limits of one task.
#[derive(Debug)]
pub struct DeadlineTimer {
    timer: Timer,
    // Instant for which the timer is registered; at most the current limit.
    armed: Option<Instant>,
}

impl Default for DeadlineTimer {
    fn default() -> Self {
        Self {
            timer: Timer::never(),
            armed: None,
        }
    }
}

impl DeadlineTimer {
    /// Runs a future until an instant at the latest.
    ///
    /// # Errors
    ///
    /// Returns [`Elapsed`] when the instant comes first.
    pub async fn timeout_at<T>(
        &mut self,
        until: Instant,
        future: impl Future<Output = T>,
    ) -> Result<T, Elapsed> {
        let mut future = pin!(future);
        poll_fn(|cx| match future.as_mut().poll(cx) {
            Poll::Ready(output) => Poll::Ready(Ok(output)),
            Poll::Pending => self.poll_reached(until, cx).map(|()| Err(Elapsed)),
        })
        .await
    }

    /// Waits until an instant.
    pub async fn sleep_until(&mut self, until: Instant) {
        poll_fn(|cx| self.poll_reached(until, cx)).await;
    }

    fn poll_reached(&mut self, until: Instant, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if self.armed.is_none_or(|armed| armed > until) {
                self.timer.set_at(until);
                self.armed = Some(until);
            }
            ready!(Pin::new(&mut self.timer).poll(cx));
            self.armed = None;
            if Instant::now() >= until {
                return Poll::Ready(());
            }
        }
    }
}
