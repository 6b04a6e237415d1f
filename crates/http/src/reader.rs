//! Guarding reader between the socket and async-h1.
//!
//! It holds the bytes that belong to later messages, so that pipelined requests are answered in order, and counts each
//! body against its declared length.

use {
    crate::{
        MessageError,
        MessageError::Malformed,
        Method, ReadError,
        head::{
            Framing, RequestHead, ResponseHead, check_trailer_line, head_end, parse_request_head,
            parse_response_head,
        },
    },
    futures_lite::{AsyncRead, AsyncReadExt},
    ragwortreel_runtime::timeout_at,
    std::time::{Duration, Instant},
};

/// Bytes that are read at once between messages and in heads.
const READ_BYTES: usize = 4096;
/// Bytes by which a body's buffer grows; bounds what a declared length alone can allocate.
const BODY_STEP_BYTES: usize = 64 * 1024;
/// Most digits of a chunk size; enough for any accepted body.
const MAX_CHUNK_DIGITS: usize = 8;
/// Longest chunk size line or trailer line.
const MAX_LINE_BYTES: usize = 256;
/// Most bytes of size lines and trailers beside each body; bounds the work that tiny chunks can cause.
const MAX_CHUNK_OVERHEAD_BYTES: usize = 1024 * 1024;
/// Buffer capacity that is kept between messages.
const KEPT_BUFFER_BYTES: usize = 16 * 1024;

/// Time limits for reading a message.
#[derive(Debug, Clone, Copy)]
pub struct ReadTimes {
    /// Time for a head from its first byte.
    pub head_timeout: Duration,
    /// Time for a body.
    pub body_timeout: Duration,
    /// Time before the minimum rate applies.
    pub body_rate_grace: Duration,
    /// Minimum rate of a body in bytes a second.
    pub min_body_bytes_per_s: u32,
}

/// Limits for reading messages.
#[derive(Debug, Clone, Copy)]
pub struct ReadLimits {
    /// Largest head in bytes.
    pub max_head_bytes: usize,
    /// Largest body in bytes.
    pub max_body_bytes: usize,
    /// Time limits; `None` where the caller limits the whole exchange.
    pub times: Option<ReadTimes>,
}

/// Reads whole messages from a connection.
#[derive(Debug)]
pub struct MessageReader<R> {
    io: R,
    // Bytes `pos..end` have arrived and are not yet part of a message.
    buf: Vec<u8>,
    pos: usize,
    end: usize,
    limits: ReadLimits,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    /// Makes a reader without buffered bytes.
    pub fn new(io: R, limits: ReadLimits) -> Self {
        Self {
            io,
            buf: Vec::new(),
            pos: 0,
            end: 0,
            limits,
        }
    }

    /// The connection.
    pub fn io(&self) -> &R {
        &self.io
    }

    /// The connection, for writing.
    pub fn io_mut(&mut self) -> &mut R {
        &mut self.io
    }

    /// Whether bytes have arrived that are not yet part of a message.
    pub fn has_buffered(&self) -> bool {
        self.pos < self.end
    }

    /// Waits for the first byte of a message.
    pub async fn wait(&mut self) -> Result<(), ReadError> {
        if !self.has_buffered() && self.fill(None).await? == 0 {
            return Err(ReadError::Closed);
        }
        Ok(())
    }

    /// Reads the head of a request.
    pub async fn request_head(&mut self) -> Result<RequestHead, ReadError> {
        let end = self.find_head().await?;
        let head = parse_request_head(&self.buf[self.pos..end])?;
        self.consume(end - self.pos);
        Ok(head)
    }

    /// Reads the head of a response to a request of this method.
    pub async fn response_head(&mut self, method: Method) -> Result<ResponseHead, ReadError> {
        let end = self.find_head().await?;
        let head = parse_response_head(&self.buf[self.pos..end], method)?;
        self.consume(end - self.pos);
        Ok(head)
    }

    /// Reads a whole body.
    pub async fn body(&mut self, framing: Framing) -> Result<Vec<u8>, ReadError> {
        let mut body = Vec::new();
        let started = Instant::now();
        match framing {
            Framing::None => {}
            Framing::Length(length) => {
                let length = usize::try_from(length).unwrap_or(usize::MAX);
                self.append_exactly(&mut body, length, started).await?;
            }
            Framing::Chunked => self.chunks(&mut body, started).await?,
        }
        Ok(body)
    }

    /// Index of the end of the buffered head.
    async fn find_head(&mut self) -> Result<usize, ReadError> {
        self.wait().await?;
        let until = self
            .limits
            .times
            .map(|times| Instant::now() + times.head_timeout);
        let mut seen = 0;
        loop {
            let unread = self.unread();
            let end = head_end(unread, seen)?;
            if end.unwrap_or(unread.len()) > self.limits.max_head_bytes {
                return Err(MessageError::HeadTooLarge.into());
            }
            if let Some(end) = end {
                return Ok(self.pos + end);
            }
            seen = unread.len();
            if self.fill(until).await? == 0 {
                return Err(ReadError::Truncated);
            }
        }
    }

    async fn chunks(&mut self, body: &mut Vec<u8>, started: Instant) -> Result<(), ReadError> {
        let mut overhead = 0;
        loop {
            let line = self.line(&mut overhead, body.len(), started).await?;
            let size = parse_chunk_size(&line)?;
            if size == 0 {
                break;
            }
            self.append_exactly(body, size, started).await?;
            self.need(2, body.len(), started).await?;
            if !self.unread().starts_with(b"\r\n") {
                return Err(Malformed("chunk without an end").into());
            }
            self.consume(2);
        }
        let before = overhead;
        loop {
            let line = self.line(&mut overhead, body.len(), started).await?;
            if line.is_empty() {
                return Ok(());
            }
            check_trailer_line(&line)?;
            if overhead - before > self.limits.max_head_bytes {
                return Err(MessageError::HeadTooLarge.into());
            }
        }
    }

    /// Reads one line of a chunked body, without its end.
    async fn line(
        &mut self,
        overhead: &mut usize,
        received: usize,
        started: Instant,
    ) -> Result<Vec<u8>, ReadError> {
        let mut seen = 0;
        loop {
            let unread = self.unread();
            if let Some(at) = unread[seen..].iter().position(|byte| *byte == b'\n') {
                let line = unread[..seen + at].strip_suffix(b"\r");
                let line = line.ok_or(Malformed("bare LF"))?.to_vec();
                if line.contains(&b'\r') {
                    return Err(Malformed("bare CR").into());
                }
                self.consume(line.len() + 2);
                *overhead += line.len() + 2;
                if line.len() > MAX_LINE_BYTES || *overhead > MAX_CHUNK_OVERHEAD_BYTES {
                    return Err(Malformed("chunk lines too long").into());
                }
                return Ok(line);
            }
            seen = unread.len();
            if seen > MAX_LINE_BYTES + 1 {
                return Err(Malformed("chunk line too long").into());
            }
            self.fill_body(received, started).await?;
        }
    }

    /// Moves exactly `count` bytes to the end of `body`.
    async fn append_exactly(
        &mut self,
        body: &mut Vec<u8>,
        count: usize,
        started: Instant,
    ) -> Result<(), ReadError> {
        if count > self.limits.max_body_bytes.saturating_sub(body.len()) {
            return Err(MessageError::BodyTooLarge.into());
        }
        let buffered = count.min(self.end - self.pos);
        body.extend_from_slice(&self.buf[self.pos..self.pos + buffered]);
        self.consume(buffered);
        let mut missing = count - buffered;
        while missing > 0 {
            let start = body.len();
            let until = self.body_until(start, started);
            body.resize(start + missing.min(BODY_STEP_BYTES), 0);
            let read = read_until(&mut self.io, &mut body[start..], until).await?;
            body.truncate(start + read);
            if read == 0 {
                return Err(ReadError::Truncated);
            }
            missing -= read;
        }
        Ok(())
    }

    /// Waits until `count` bytes of a body are buffered.
    async fn need(
        &mut self,
        count: usize,
        received: usize,
        started: Instant,
    ) -> Result<(), ReadError> {
        while self.end - self.pos < count {
            self.fill_body(received, started).await?;
        }
        Ok(())
    }

    async fn fill_body(&mut self, received: usize, started: Instant) -> Result<(), ReadError> {
        let until = self.body_until(received, started);
        match self.fill(until).await? {
            0 => Err(ReadError::Truncated),
            _ => Ok(()),
        }
    }

    /// Instant at which a body with `received` bytes so far is too slow.
    fn body_until(&self, received: usize, started: Instant) -> Option<Instant> {
        let times = self.limits.times?;
        let earned = u64::try_from(received)
            .unwrap_or(u64::MAX)
            .saturating_mul(1000)
            / u64::from(times.min_body_bytes_per_s.max(1));
        let by_rate = times.body_rate_grace + Duration::from_millis(earned);
        Some(started + by_rate.min(times.body_timeout))
    }

    fn unread(&self) -> &[u8] {
        &self.buf[self.pos..self.end]
    }

    /// Reads more bytes into the buffer; 0 is the end of the connection.
    ///
    /// No byte is lost when the future is dropped.
    async fn fill(&mut self, until: Option<Instant>) -> Result<usize, ReadError> {
        self.buf.copy_within(self.pos..self.end, 0);
        self.end -= self.pos;
        self.pos = 0;
        if self.buf.len() < self.end + READ_BYTES {
            self.buf.resize(self.end + READ_BYTES, 0);
        }
        let read = read_until(&mut self.io, &mut self.buf[self.end..], until).await?;
        self.end += read;
        Ok(read)
    }

    fn consume(&mut self, count: usize) {
        self.pos += count;
        if self.pos == self.end && self.buf.len() > KEPT_BUFFER_BYTES {
            self.buf = Vec::new();
            (self.pos, self.end) = (0, 0);
        }
    }
}

async fn read_until<R: AsyncRead + Unpin>(
    io: &mut R,
    buf: &mut [u8],
    until: Option<Instant>,
) -> Result<usize, ReadError> {
    match until {
        None => Ok(io.read(buf).await?),
        Some(until) => Ok(timeout_at(until, io.read(buf))
            .await
            .map_err(|_| MessageError::TooSlow)??),
    }
}

/// Parses a chunk's size line; extensions are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<usize, MessageError> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit());
    let digits = &line[..digits.count()];
    let rest = &line[digits.len()..];
    if digits.is_empty() || digits.len() > MAX_CHUNK_DIGITS {
        return Err(Malformed("invalid chunk size"));
    }
    if !rest.is_empty() && (rest[0] != b';' || !crate::head::is_field_value(rest)) {
        return Err(Malformed("invalid chunk extension"));
    }
    let digits = std::str::from_utf8(digits).map_err(|_| Malformed("invalid chunk size"))?;
    usize::from_str_radix(digits, 16).map_err(|_| Malformed("invalid chunk size"))
}

#[cfg(test)]
mod tests;
