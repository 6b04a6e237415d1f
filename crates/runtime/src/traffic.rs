//! Bytes that this process has sent and received, by kind of link.

use {
    futures_lite::{AsyncRead, AsyncWrite},
    std::{
        io,
        pin::Pin,
        sync::atomic::{AtomicU64, Ordering},
        task::{Context, Poll, ready},
    },
};

/// Bytes of one kind of link since the start of the process.
#[derive(Debug, Default)]
pub struct TrafficCounter {
    sent: AtomicU64,
    received: AtomicU64,
}

/// Connections that this process opens over HTTP/1.1: platform, workers, backend servers.
pub static HTTP_CLIENT: TrafficCounter = TrafficCounter::new();
/// Connections of callers and operators.
pub static HTTP_SERVER: TrafficCounter = TrafficCounter::new();
/// Connections between entry instances, both ways.
pub static ENTRY_LINK: TrafficCounter = TrafficCounter::new();

impl TrafficCounter {
    const fn new() -> Self {
        Self {
            sent: AtomicU64::new(0),
            received: AtomicU64::new(0),
        }
    }

    /// Counts sent bytes.
    pub fn count_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts received bytes.
    pub fn count_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes sent.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Bytes received.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}

/// A stream whose bytes are counted.
#[derive(Debug)]
pub struct CountedStream<S> {
    io: S,
    traffic: &'static TrafficCounter,
}

impl<S> CountedStream<S> {
    /// Counts the stream's bytes as those of a kind of link.
    pub const fn new(io: S, traffic: &'static TrafficCounter) -> Self {
        Self { io, traffic }
    }

    /// The stream.
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
