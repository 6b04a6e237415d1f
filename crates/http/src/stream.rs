//! TCP stream that counts transferred bytes.

use {
    async_io::Async,
    futures_lite::{AsyncRead, AsyncWrite},
    ragwortreel_runtime::traffic::{CountedStream, TrafficCounter},
    std::{
        io,
        net::TcpStream,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll, ready},
    },
};

/// Counters of the bytes transferred on a connection, readable while an exchange runs.
#[derive(Debug, Default)]
pub struct Progress {
    written: AtomicU64,
    read: AtomicU64,
}

impl Progress {
    /// Bytes passed to the operating system for sending since the connection opened.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Bytes received since the connection opened.
    pub fn read(&self) -> u64 {
        self.read.load(Ordering::Relaxed)
    }
}

/// Asynchronous TCP socket with byte counters.
#[derive(Debug)]
pub struct Stream {
    io: CountedStream<Async<TcpStream>>,
    progress: Arc<Progress>,
}

impl Stream {
    /// Wraps a connected socket and sets `TCP_NODELAY`, so that small messages are sent at once.
    pub fn new(io: Async<TcpStream>, traffic: &'static TrafficCounter) -> io::Result<Self> {
        io.get_ref().set_nodelay(true)?;
        Ok(Self {
            io: CountedStream::new(io, traffic),
            progress: Arc::default(),
        })
    }

    /// Returns the underlying socket.
    pub fn socket(&self) -> &TcpStream {
        self.io.get_ref().get_ref()
    }

    /// Waits until bytes have arrived or the peer has closed the connection.
    pub async fn readable(&self) -> io::Result<()> {
        self.io.get_ref().readable().await
    }

    /// Byte counters of this connection.
    pub fn progress(&self) -> &Arc<Progress> {
        &self.progress
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = ready!(Pin::new(&mut self.io).poll_read(cx, buf))?;
        self.progress.read.fetch_add(read as u64, Ordering::Relaxed);
        Poll::Ready(Ok(read))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.io).poll_write(cx, buf))?;
        self.progress
            .written
            .fetch_add(written as u64, Ordering::Relaxed);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_close(cx)
    }
}
