//! Timer that is reused for all timeouts of a connection.
//!
//! Registering a timer wakes the reactor thread, which costs several system calls. The deadlines of a connection
//! usually move forward with each request and are seldom reached. A timer therefore stays registered for an earlier
//! deadline, and is registered again only when it fires or when a new deadline is earlier.

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

/// A timer for successive deadlines of one task.
#[derive(Debug)]
pub struct DeadlineTimer {
    timer: Timer,
    // Instant for which the timer is registered, no later than the current deadline; `None` if it is not registered.
    registered_for: Option<Instant>,
}

impl Default for DeadlineTimer {
    fn default() -> Self {
        Self {
            timer: Timer::never(),
            registered_for: None,
        }
    }
}

impl DeadlineTimer {
    /// Runs a future until it completes or the deadline is reached.
    ///
    /// # Errors
    ///
    /// Returns [`Elapsed`] if the deadline is reached first.
    pub async fn timeout_at<T>(
        &mut self,
        deadline: Instant,
        future: impl Future<Output = T>,
    ) -> Result<T, Elapsed> {
        self.timeout_when(|| deadline, future).await
    }

    /// Runs a future until it completes or the deadline is reached, which may be put off while the future runs.
    ///
    /// # Errors
    ///
    /// Returns [`Elapsed`] if the deadline is reached first.
    pub async fn timeout_when<T>(
        &mut self,
        deadline: impl Fn() -> Instant,
        future: impl Future<Output = T>,
    ) -> Result<T, Elapsed> {
        let mut future = pin!(future);
        poll_fn(|cx| match future.as_mut().poll(cx) {
            Poll::Ready(output) => Poll::Ready(Ok(output)),
            Poll::Pending => self.poll_deadline(deadline(), cx).map(|()| Err(Elapsed)),
        })
        .await
    }

    /// Waits until the deadline is reached.
    pub async fn sleep_until(&mut self, deadline: Instant) {
        poll_fn(|cx| self.poll_deadline(deadline, cx)).await;
    }

    /// Completes when the deadline is reached; registers the timer if needed.
    fn poll_deadline(&mut self, deadline: Instant, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            if self.registered_for.is_none_or(|at| at > deadline) {
                self.timer.set_at(deadline);
                self.registered_for = Some(deadline);
            }
            ready!(Pin::new(&mut self.timer).poll(cx));
            self.registered_for = None;
            if Instant::now() >= deadline {
                return Poll::Ready(());
            }
        }
    }
}
