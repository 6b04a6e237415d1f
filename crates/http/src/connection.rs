//! One client connection, with one request at a time.

use {
    crate::{
        ClientError, ClientErrorCause, ClientLimits, DeadlineTimer, ExchangeStep, MessageError,
        Method, ReadError, Request, Response, Sent,
        codec::{decode_response, encode_request_head},
        reader::{MessageReader, ReadLimits},
        stream::{Progress, Stream},
    },
    async_io::Async,
    futures_lite::AsyncWriteExt,
    ragwortreel_runtime::{timeout_at, traffic::HTTP_CLIENT},
    std::{
        io, mem,
        net::{SocketAddr, TcpStream},
        sync::Arc,
        time::Instant,
    },
};

/// Bodies up to this size are sent in one write together with the head.
const JOINED_BODY_BYTES: usize = 32 * 1024;
/// Most interim (1xx) responses before the final one.
const MAX_INTERIM: usize = 8;

/// A client connection; dropping it closes the socket.
///
/// A failed or cancelled exchange makes the connection unusable, so a late response never meets another request.
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
    /// Returns an error when the connection is not open by the deadline or within the limit's connect time.
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
        let until = deadline.min(Instant::now() + limits.connect_timeout);
        let io = match timeout_at(until, Async::<TcpStream>::connect(peer)).await {
            Ok(io) => io.and_then(|io| Stream::new(io, &HTTP_CLIENT)),
            Err(_) => return Err(fail(ClientErrorCause::Deadline)),
        };
        let io = io.map_err(|err| fail(ClientErrorCause::Io(err)))?;
        let limits = ReadLimits {
            max_head_bytes: limits.max_head_bytes,
            max_body_bytes: limits.max_body_bytes,
            times: None,
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

    /// Count of the bytes that moved; it can be watched while an exchange runs.
    #[must_use]
    pub fn progress(&self) -> Arc<Progress> {
        Arc::clone(self.reader.io().progress())
    }

    /// Whether the last exchange left the connection fit for another one.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.usable
    }

    /// Whether the connection is fit for a request: still open, and without surplus bytes.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let pending = self.socket().peek(&mut [0]);
        let quiet = matches!(pending, Err(err) if err.kind() == io::ErrorKind::WouldBlock);
        self.usable && quiet && !self.reader.has_buffered()
    }

    /// Waits on an idle connection until the server sends something or closes it.
    pub async fn readable(&self) {
        // An error is a disturbance as well.
        let _ = self.reader.io().readable().await;
    }

    /// Sends a request and reads its whole response.
    ///
    /// # Errors
    ///
    /// Returns an error when no complete response arrives by the deadline; it tells whether any byte was sent.
    pub async fn exchange(
        &mut self,
        request: &Request,
        deadline: Instant,
    ) -> Result<Response, ClientError> {
        self.step = ExchangeStep::Encode;
        self.sent = Sent::Nothing;
        if !self.usable {
            return Err(self.error(ClientErrorCause::Closed));
        }
        // Set again at the end, so that a dropped future leaves the connection unusable.
        self.usable = false;
        // Taken out, because the exchange borrows the connection; a dropped future leaves an unused one behind.
        let mut timer = mem::take(&mut self.timer);
        let result = timer.timeout_at(deadline, self.run(request)).await;
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

    async fn run(&mut self, request: &Request) -> Result<(Response, bool), ClientErrorCause> {
        let mut head =
            encode_request_head(request, self.peer).map_err(ClientErrorCause::InvalidRequest)?;
        self.step = ExchangeStep::Write;
        let joined = request.body.len() <= JOINED_BODY_BYTES;
        if joined {
            head.extend_from_slice(&request.body);
        }
        let mut written = self.write(&head).await;
        if written.is_ok() && !joined {
            written = self.write(&request.body).await;
        }
        match written {
            Ok(()) => self.read_response(request.method).await,
            Err(err) if self.sent == Sent::Nothing => Err(ClientErrorCause::Io(err)),
            // A server that refuses a body answers and closes before it has read all of it.
            Err(err) => match self.read_response(request.method).await {
                Ok((response, _)) => Ok((response, false)),
                Err(_) => Err(ClientErrorCause::Io(err)),
            },
        }
    }

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

    async fn read_response(
        &mut self,
        method: Method,
    ) -> Result<(Response, bool), ClientErrorCause> {
        self.step = ExchangeStep::Wait;
        self.reader.wait().await?;
        self.step = ExchangeStep::Head;
        for _ in 0..=MAX_INTERIM {
            let head = self.reader.response_head(method).await?;
            match head.status {
                101 => return Err(MessageError::Malformed("upgrade was not asked for").into()),
                100..=199 => continue,
                _ => {}
            }
            self.step = ExchangeStep::Body;
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

impl From<ReadError> for ClientErrorCause {
    fn from(err: ReadError) -> Self {
        match err {
            ReadError::Message(refusal) => Self::Response(refusal),
            ReadError::Closed | ReadError::Truncated => Self::Closed,
            ReadError::Io(err) => Self::Io(err),
        }
    }
}

impl From<MessageError> for ClientErrorCause {
    fn from(refusal: MessageError) -> Self {
        Self::Response(refusal)
    }
}
