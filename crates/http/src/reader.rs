//! Validating reader between the socket and async-h1.
//!
//! It buffers bytes that belong to later messages, so that pipelined requests are answered in order, and checks each
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

/// Free buffer space for each read of heads and chunk lines.
const READ_BUFFER_BYTES: usize = 4096;
/// Maximum number of bytes added to a body's buffer for each read, so that a large declared length alone allocates
/// little.
const MAX_BODY_GROWTH_BYTES: usize = 64 * 1024;
/// Maximum number of hexadecimal digits of a chunk size; enough for any accepted body.
const MAX_CHUNK_SIZE_DIGITS: usize = 8;
/// Longest chunk size line or trailer line, without its line end.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Maximum total length of the size lines and trailer lines of a body; bounds the work that tiny chunks can cause.
const MAX_CHUNK_OVERHEAD_BYTES: usize = 1024 * 1024;
/// Largest buffer that is kept between messages; a larger one is freed when it is empty.
const MAX_IDLE_BUFFER_BYTES: usize = 16 * 1024;

/// Timeouts for reading a message.
#[derive(Debug, Clone, Copy)]
pub struct ReadTimeouts {
    /// Time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// Time for a complete body.
    pub body_timeout: Duration,
    /// Time that a body may take in addition to what the minimum rate allows.
    pub body_rate_grace: Duration,
    /// Minimum average rate of a body in bytes per second.
    pub min_body_bytes_per_s: u32,
}

/// Limits for reading messages.
#[derive(Debug, Clone, Copy)]
pub struct ReadLimits {
    /// Largest head in bytes.
    pub max_head_bytes: usize,
    /// Largest body in bytes.
    pub max_body_bytes: usize,
    /// Timeouts; `None` if the caller limits the duration of the whole exchange.
    pub timeouts: Option<ReadTimeouts>,
}

/// Reads complete messages from a connection.
#[derive(Debug)]
pub struct MessageReader<R> {
    io: R,
    // Bytes `pos..end` have been received but not yet consumed.
    buf: Vec<u8>,
    pos: usize,
    end: usize,
    limits: ReadLimits,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    /// Creates a reader with an empty buffer.
    pub fn new(io: R, limits: ReadLimits) -> Self {
        Self {
            io,
            buf: Vec::new(),
            pos: 0,
            end: 0,
            limits,
        }
    }

    /// Returns the underlying connection.
    pub fn io(&self) -> &R {
        &self.io
    }

    /// Returns the underlying connection for writing or closing; messages must be read through this reader.
    pub fn io_mut(&mut self) -> &mut R {
        &mut self.io
    }

    /// Whether bytes have been received but not yet consumed.
    pub fn has_buffered(&self) -> bool {
        self.pos < self.end
    }

    /// Waits for the first byte of the next message.
    pub async fn wait(&mut self) -> Result<(), ReadError> {
        if !self.has_buffered() && self.fill(None).await? == 0 {
            return Err(ReadError::Closed);
        }
        Ok(())
    }

    /// Reads and validates the head of a request.
    pub async fn request_head(&mut self) -> Result<RequestHead, ReadError> {
        let end = self.find_head().await?;
        let head = parse_request_head(&self.buf[self.pos..end])?;
        self.consume(end - self.pos);
        Ok(head)
    }

    /// Reads and validates the head of a response to a request with this method.
    pub async fn response_head(&mut self, method: Method) -> Result<ResponseHead, ReadError> {
        let end = self.find_head().await?;
        let head = parse_response_head(&self.buf[self.pos..end], method)?;
        self.consume(end - self.pos);
        Ok(head)
    }

    /// Reads a complete body and removes its chunked coding.
    pub async fn body(&mut self, framing: Framing) -> Result<Vec<u8>, ReadError> {
        let mut body = Vec::new();
        let started = Instant::now();
        match framing {
            Framing::None => {}
            Framing::Length(length) => {
                let length = usize::try_from(length).unwrap_or(usize::MAX);
                self.append_exactly(&mut body, length, started).await?;
            }
            Framing::Chunked => self.read_chunks(&mut body, started).await?,
        }
        Ok(body)
    }

    /// Buffers a complete head and returns the index in `buf` at which it ends.
    async fn find_head(&mut self) -> Result<usize, ReadError> {
        self.wait().await?;
        let deadline = self
            .limits
            .timeouts
            .map(|timeouts| Instant::now() + timeouts.head_timeout);
        let mut scanned = 0;
        loop {
            let buffered = self.buffered();
            let end = head_end(buffered, scanned)?;
            if end.unwrap_or(buffered.len()) > self.limits.max_head_bytes {
                return Err(MessageError::HeadTooLarge.into());
            }
            if let Some(end) = end {
                return Ok(self.pos + end);
            }
            scanned = buffered.len();
            if self.fill(deadline).await? == 0 {
                return Err(ReadError::Truncated);
            }
        }
    }

    /// Reads the chunks and the trailer of a chunked body.
    async fn read_chunks(&mut self, body: &mut Vec<u8>, started: Instant) -> Result<(), ReadError> {
        let mut overhead = 0;
        loop {
            let line = self
                .read_chunk_line(&mut overhead, body.len(), started)
                .await?;
            let size = parse_chunk_size(&line)?;
            if size == 0 {
                break;
            }
            self.append_exactly(body, size, started).await?;
            self.fill_at_least(2, body.len(), started).await?;
            if !self.buffered().starts_with(b"\r\n") {
                return Err(Malformed("chunk without an end").into());
            }
            self.consume(2);
        }
        let trailer_start = overhead;
        loop {
            let line = self
                .read_chunk_line(&mut overhead, body.len(), started)
                .await?;
            if line.is_empty() {
                return Ok(());
            }
            check_trailer_line(&line)?;
            if overhead - trailer_start > self.limits.max_head_bytes {
                return Err(MessageError::HeadTooLarge.into());
            }
        }
    }

    /// Reads a chunk size line or trailer line and returns it without its line end.
    async fn read_chunk_line(
        &mut self,
        overhead: &mut usize,
        received: usize,
        started: Instant,
    ) -> Result<Vec<u8>, ReadError> {
        let mut scanned = 0;
        loop {
            let buffered = self.buffered();
            if let Some(at) = buffered[scanned..].iter().position(|byte| *byte == b'\n') {
                let line = buffered[..scanned + at].strip_suffix(b"\r");
                let line = line.ok_or(Malformed("bare LF"))?.to_vec();
                if line.contains(&b'\r') {
                    return Err(Malformed("bare CR").into());
                }
                self.consume(line.len() + 2);
                *overhead += line.len() + 2;
                if line.len() > MAX_CHUNK_LINE_BYTES || *overhead > MAX_CHUNK_OVERHEAD_BYTES {
                    return Err(Malformed("chunk lines too long").into());
                }
                return Ok(line);
            }
            scanned = buffered.len();
            if scanned > MAX_CHUNK_LINE_BYTES + 1 {
                return Err(Malformed("chunk line too long").into());
            }
            self.fill_body(received, started).await?;
        }
    }

    /// Reads exactly `count` bytes and appends them to `body`.
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
            let deadline = self.body_deadline(start, started);
            body.resize(start + missing.min(MAX_BODY_GROWTH_BYTES), 0);
            let read = read_with_deadline(&mut self.io, &mut body[start..], deadline).await?;
            body.truncate(start + read);
            if read == 0 {
                return Err(ReadError::Truncated);
            }
            missing -= read;
        }
        Ok(())
    }

    /// Reads until at least `count` bytes are buffered.
    async fn fill_at_least(
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
        let deadline = self.body_deadline(received, started);
        match self.fill(deadline).await? {
            0 => Err(ReadError::Truncated),
            _ => Ok(()),
        }
    }

    /// Deadline of the next read of a body of which `received` bytes have arrived.
    fn body_deadline(&self, received: usize, started: Instant) -> Option<Instant> {
        let timeouts = self.limits.timeouts?;
        let rate_allowance_ms = u64::try_from(received)
            .unwrap_or(u64::MAX)
            .saturating_mul(1000)
            / u64::from(timeouts.min_body_bytes_per_s.max(1));
        let rate_limit = timeouts.body_rate_grace + Duration::from_millis(rate_allowance_ms);
        Some(started + rate_limit.min(timeouts.body_timeout))
    }

    fn buffered(&self) -> &[u8] {
        &self.buf[self.pos..self.end]
    }

    /// Reads more bytes into the buffer and returns their number, 0 at the end of the stream.
    ///
    /// Cancel-safe: no bytes are lost when the future is dropped.
    async fn fill(&mut self, deadline: Option<Instant>) -> Result<usize, ReadError> {
        self.buf.copy_within(self.pos..self.end, 0);
        self.end -= self.pos;
        self.pos = 0;
        if self.buf.len() < self.end + READ_BUFFER_BYTES {
            self.buf.resize(self.end + READ_BUFFER_BYTES, 0);
        }
        let read = read_with_deadline(&mut self.io, &mut self.buf[self.end..], deadline).await?;
        self.end += read;
        Ok(read)
    }

    fn consume(&mut self, count: usize) {
        self.pos += count;
        if self.pos == self.end && self.buf.len() > MAX_IDLE_BUFFER_BYTES {
            self.buf = Vec::new();
            (self.pos, self.end) = (0, 0);
        }
    }
}

async fn read_with_deadline<R: AsyncRead + Unpin>(
    io: &mut R,
    buf: &mut [u8],
    deadline: Option<Instant>,
) -> Result<usize, ReadError> {
    match deadline {
        None => Ok(io.read(buf).await?),
        Some(deadline) => Ok(timeout_at(deadline, io.read(buf))
            .await
            .map_err(|_| MessageError::TooSlow)??),
    }
}

/// Parses a chunk size line and ignores chunk extensions.
fn parse_chunk_size(line: &[u8]) -> Result<usize, MessageError> {
    let digits = line.iter().take_while(|byte| byte.is_ascii_hexdigit());
    let digits = &line[..digits.count()];
    let rest = &line[digits.len()..];
    if digits.is_empty() || digits.len() > MAX_CHUNK_SIZE_DIGITS {
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
