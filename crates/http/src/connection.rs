//! One client connection, with one request at a time.

use {
    crate::{
        Alarm, Cause, ClientError, ClientLimits, Method, ReadError, Refusal, Request, Response,
        Sent, Step,
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
    alarm: Alarm,
    peer: SocketAddr,
    usable: bool,
    step: Step,
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
            step: Step::Connect,
            peer,
            sent: Sent::Nothing,
            cause,
        };
        let until = deadline.min(Instant::now() + limits.connect_time);
        let io = match timeout_at(until, Async::<TcpStream>::connect(peer)).await {
            Ok(io) => io.and_then(|io| Stream::new(io, &HTTP_CLIENT)),
            Err(_) => return Err(fail(Cause::Deadline)),
        };
        let io = io.map_err(|err| fail(Cause::Io(err)))?;
        let limits = ReadLimits {
            max_head_bytes: limits.max_head_bytes,
            max_body_bytes: limits.max_body_bytes,
            times: None,
        };
        Ok(Self {
            reader: MessageReader::new(io, limits),
            alarm: Alarm::default(),
            peer,
            usable: true,
            step: Step::Encode,
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
    pub fn is_quiet(&self) -> bool {
        let pending = self.socket().peek(&mut [0]);
        let quiet = matches!(pending, Err(err) if err.kind() == io::ErrorKind::WouldBlock);
        self.usable && quiet && !self.reader.has_buffered()
    }

    /// Waits on an idle connection until the server sends something or closes it.
    pub async fn disturbed(&self) {
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
        self.step = Step::Encode;
        self.sent = Sent::Nothing;
        if !self.usable {
            return Err(self.error(Cause::Closed));
        }
        // Set again at the end, so that a dropped future leaves the connection unusable.
        self.usable = false;
        // Taken out, because the exchange borrows the connection; a dropped future leaves an unused one behind.
        let mut alarm = mem::take(&mut self.alarm);
        let result = alarm.limit(deadline, self.run(request)).await;
        self.alarm = alarm;
        match result {
            Ok(Ok((response, reusable))) => {
                self.usable = reusable && !self.reader.has_buffered();
                Ok(response)
            }
            Ok(Err(cause)) => Err(self.error(cause)),
            Err(_) => Err(self.error(Cause::Deadline)),
        }
    }

    async fn run(&mut self, request: &Request) -> Result<(Response, bool), Cause> {
        let mut head = encode_request_head(request, self.peer).map_err(Cause::InvalidRequest)?;
        self.step = Step::Write;
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
            Err(err) if self.sent == Sent::Nothing => Err(Cause::Io(err)),
            // A server that refuses a body answers and closes before it has read all of it.
            Err(err) => match self.read_response(request.method).await {
                Ok((response, _)) => Ok((response, false)),
                Err(_) => Err(Cause::Io(err)),
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

    async fn read_response(&mut self, method: Method) -> Result<(Response, bool), Cause> {
        self.step = Step::Wait;
        self.reader.wait().await?;
        self.step = Step::Head;
        for _ in 0..=MAX_INTERIM {
            let head = self.reader.response_head(method).await?;
            match head.status {
                101 => return Err(Refusal::Malformed("upgrade was not asked for").into()),
                100..=199 => continue,
                _ => {}
            }
            self.step = Step::Body;
            let reusable = !head.close;
            let body = self.reader.body(head.framing).await?;
            let response = decode_response(head, &body)?;
            return Ok((response, reusable));
        }
        Err(Refusal::Malformed("too many interim responses").into())
    }

    fn error(&self, cause: Cause) -> ClientError {
        ClientError {
            step: self.step,
            peer: self.peer,
            sent: self.sent,
            cause,
        }
    }
}

impl From<ReadError> for Cause {
    fn from(err: ReadError) -> Self {
        match err {
            ReadError::Refused(refusal) => Self::Response(refusal),
            ReadError::Closed | ReadError::Cut => Self::Closed,
            ReadError::Io(err) => Self::Io(err),
        }
    }
}

impl From<Refusal> for Cause {
    fn from(refusal: Refusal) -> Self {
        Self::Response(refusal)
    }
}
