//! Process-wide counters of sent and received bytes, by kind of connection.

use {
    futures_lite::{AsyncRead, AsyncWrite},
    std::{
        io,
        pin::Pin,
        sync::atomic::{AtomicU64, Ordering},
        task::{Context, Poll, ready},
    },
};

/// Bytes sent and received over one kind of connection since the process started.
#[derive(Debug, Default)]
pub struct TrafficCounter {
    sent: AtomicU64,
    received: AtomicU64,
}

/// Traffic of outgoing HTTP/1.1 connections to the platform, workers and backend servers.
pub static HTTP_CLIENT: TrafficCounter = TrafficCounter::new();
/// Traffic of incoming HTTP/1.1 connections from callers and operators.
pub static HTTP_SERVER: TrafficCounter = TrafficCounter::new();
/// Traffic of connections between entry instances, outgoing and incoming.
pub static ENTRY_LINK: TrafficCounter = TrafficCounter::new();

impl TrafficCounter {
    const fn new() -> Self {
        Self {
            sent: AtomicU64::new(0),
            received: AtomicU64::new(0),
        }
    }

    /// Adds to the number of sent bytes.
    pub fn count_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Adds to the number of received bytes.
    pub fn count_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Number of bytes sent.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Number of bytes received.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// Stream wrapper that adds the bytes read and written to a [`TrafficCounter`].
#[derive(Debug)]
pub struct CountedStream<S> {
    io: S,
    traffic: &'static TrafficCounter,
}

impl<S> CountedStream<S> {
    /// Wraps a stream whose bytes are added to `traffic`.
    pub const fn new(io: S, traffic: &'static TrafficCounter) -> Self {
        Self { io, traffic }
    }

    /// Returns the wrapped stream.
    pub const fn get_ref(&self) -> &S {
        &self.io
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        self.traffic.count_received(read);
        Poll::Ready(Ok(read))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.io).poll_write(cx, buf))?;
        self.traffic.count_sent(written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_close(cx)
    }
}
