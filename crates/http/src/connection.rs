//! Client connection that carries one request at a time.

use {
    crate::{
        ClientError, ClientErrorCause, ClientLimits, DeadlineTimer, ExchangeStep, MessageError,
        Method, ReadError, Request, Response, Sent, Transfer,
        codec::{decode_response, encode_request_head},
        head::Framing,
        reader::{MessageReader, ReadLimits},
        stream::{Progress, Stream},
    },
    async_io::Async,
    futures_lite::AsyncWriteExt,
    ragwortreel_runtime::{timeout_at, traffic::HTTP_CLIENT},
    std::{
        future::{Future, poll_fn},
        io, mem,
        net::{SocketAddr, TcpStream},
        pin::pin,
        sync::Arc,
        time::Instant,
    },
};

/// Largest body that is sent in one write together with the head.
const MAX_COALESCED_BODY_BYTES: usize = 32 * 1024;
/// Maximum number of interim (1xx) responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// A client connection; dropping it closes the socket.
///
/// A failed or cancelled exchange makes the connection unusable, so that a late response is never matched to another
/// request.
#[derive(Debug)]
pub struct Connection {
    reader: MessageReader<Stream>,
    timer: DeadlineTimer,
    peer: SocketAddr,
    usable: bool,
    step: ExchangeStep,
    sent: Sent,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if connecting fails or takes longer than the deadline or [`ClientLimits::connect_timeout`].
    pub async fn connect(
        peer: SocketAddr,
        limits: &ClientLimits,
        deadline: Instant,
    ) -> Result<Self, ClientError> {
        let fail = |cause| ClientError {
            step: ExchangeStep::Connect,
            peer,
            sent: Sent::Nothing,
            cause,
        };
        let deadline = deadline.min(Instant::now() + limits.connect_timeout);
        let io = match timeout_at(deadline, Async::<TcpStream>::connect(peer)).await {
            Ok(io) => io.and_then(|io| Stream::new(io, &HTTP_CLIENT)),
            Err(_) => return Err(fail(ClientErrorCause::Deadline)),
        };
        let io = io.map_err(|err| fail(ClientErrorCause::Io(err)))?;
        let limits = ReadLimits {
            max_head_bytes: limits.max_head_bytes,
            max_body_bytes: limits.max_body_bytes,
            timeouts: None,
        };
        Ok(Self {
            reader: MessageReader::new(io, limits),
            timer: DeadlineTimer::default(),
            peer,
            usable: true,
            step: ExchangeStep::Encode,
            sent: Sent::Nothing,
        })
    }

    /// Address of the server.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// The connected socket, for setting its options.
    #[must_use]
    pub fn socket(&self) -> &TcpStream {
        self.reader.io().socket()
    }

    /// Counters of transferred bytes, which can be read while an exchange runs.
    #[must_use]
    pub fn progress(&self) -> Arc<Progress> {
        Arc::clone(self.reader.io().progress())
    }

    /// Whether the last exchange ended in a state that allows another one; does not check the socket.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.usable
    }

    /// Whether a request can be sent now: the connection is usable, still open and has no unread bytes.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let pending = self.socket().peek(&mut [0]);
        let nothing_pending =
            matches!(pending, Err(err) if err.kind() == io::ErrorKind::WouldBlock);
        self.usable && nothing_pending && !self.reader.has_buffered()
    }

    /// Waits until the server sends bytes or closes the connection; either makes an idle connection unusable.
    pub async fn readable(&self) {
        // After an error the connection is unusable as well.
        let _ = self.reader.io().readable().await;
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns an error when no complete response arrives by the deadline; its `sent` field says whether any
    /// byte of the request was sent.
    pub async fn exchange(
        &mut self,
        request: &Request,
        deadline: Instant,
    ) -> Result<Response, ClientError> {
        self.exchange_tracked(request, deadline, &Transfer::default())
            .await
    }

    /// Like [`Self::exchange`], and records what is received; the deadline is extended as [`Transfer`] allows.
    ///
    /// # Errors
    ///
    /// Returns an error when no complete response arrives by the extended deadline; its `sent` field says whether any
    /// byte of the request was sent.
    pub async fn exchange_tracked(
        &mut self,
        request: &Request,
        deadline: Instant,
        transfer: &Transfer,
    ) -> Result<Response, ClientError> {
        self.step = ExchangeStep::Encode;
        self.sent = Sent::Nothing;
        if !self.usable {
            return Err(self.error(ClientErrorCause::Closed));
        }
        // Restored after the exchange, so that a dropped future leaves the connection unusable.
        self.usable = false;
        // Moved out, because `send_and_receive` borrows `self`. If the future is dropped, a default timer remains,
        // which is not used any more.
        let mut timer = mem::take(&mut self.timer);
        let progress = self.progress();
        let exchange = self.send_and_receive(request, transfer);
        let exchange = record_received(transfer, &progress, exchange);
        let extended = || transfer.extended(deadline);
        let result = timer.timeout_when(extended, exchange).await;
        self.timer = timer;
        match result {
            Ok(Ok((response, reusable))) => {
                self.usable = reusable && !self.reader.has_buffered();
                Ok(response)
            }
            Ok(Err(cause)) => Err(self.error(cause)),
            Err(_) => Err(self.error(ClientErrorCause::Deadline)),
        }
    }

    /// Sends a request and reads the response; the flag says whether the connection can be reused.
    async fn send_and_receive(
        &mut self,
        request: &Request,
        transfer: &Transfer,
    ) -> Result<(Response, bool), ClientErrorCause> {
        let mut head =
            encode_request_head(request, self.peer).map_err(ClientErrorCause::InvalidRequest)?;
        self.step = ExchangeStep::Write;
        let coalesced = request.body.len() <= MAX_COALESCED_BODY_BYTES;
        if coalesced {
            head.extend_from_slice(&request.body);
        }
        let mut written = self.write(&head).await;
        if written.is_ok() && !coalesced {
            written = self.write(&request.body).await;
        }
        match written {
            Ok(()) => self.read_response(request.method, transfer).await,
            Err(err) if self.sent == Sent::Nothing => Err(ClientErrorCause::Io(err)),
            // A server that rejects a request may respond and close before it has read the whole body.
            Err(err) => match self.read_response(request.method, transfer).await {
                Ok((response, _)) => Ok((response, false)),
                Err(_) => Err(ClientErrorCause::Io(err)),
            },
        }
    }

    /// Writes all bytes and records in `sent` when the first of them has been written.
    async fn write(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let written = self.reader.io_mut().write(bytes).await?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            self.sent = Sent::Maybe;
            bytes = &bytes[written..];
        }
        Ok(())
    }

    /// Reads the final response and skips interim ones; the flag says whether the connection can be reused.
    async fn read_response(
        &mut self,
        method: Method,
        transfer: &Transfer,
    ) -> Result<(Response, bool), ClientErrorCause> {
        self.step = ExchangeStep::Wait;
        self.reader.wait().await?;
        self.step = ExchangeStep::Head;
        for _ in 0..=MAX_INTERIM_RESPONSES {
            let head = self.reader.response_head(method).await?;
            match head.status {
                101 => return Err(MessageError::Malformed("upgrade was not asked for").into()),
                100..=199 => continue,
                _ => {}
            }
            self.step = ExchangeStep::Body;
            if let Framing::Length(bytes) = head.framing {
                transfer.check_body(bytes)?;
            }
            let reusable = !head.close;
            let body = self.reader.body(head.framing).await?;
            let response = decode_response(head, &body)?;
            return Ok((response, reusable));
        }
        Err(MessageError::Malformed("too many interim responses").into())
    }

    fn error(&self, cause: ClientErrorCause) -> ClientError {
        ClientError {
            step: self.step,
            peer: self.peer,
            sent: self.sent,
            cause,
        }
    }
}

/// Runs a future and records what the connection receives meanwhile, also if the future is dropped.
async fn record_received<T>(
    transfer: &Transfer,
    progress: &Progress,
    future: impl Future<Output = T>,
) -> T {
    let mut future = pin!(future);
    let mut recorded = progress.read();
    poll_fn(|cx| {
        let output = future.as_mut().poll(cx);
        let read = progress.read();
        if read > recorded {
            transfer.record_bytes(read - recorded);
            recorded = read;
        }
        output
    })
    .await
}

impl From<ReadError> for ClientErrorCause {
    fn from(err: ReadError) -> Self {
        match err {
            ReadError::Message(err) => Self::Response(err),
            ReadError::Closed | ReadError::Truncated => Self::Closed,
            ReadError::Io(err) => Self::Io(err),
        }
    }
}

impl From<MessageError> for ClientErrorCause {
    fn from(err: MessageError) -> Self {
        Self::Response(err)
    }
}
