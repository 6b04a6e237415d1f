//! Numbered log events and the loggers that write them as JSON lines.
//!
//! A package declares its events with [`events!`](crate::events) and logs them with
//! [`log_event!`](crate::log_event). `docs/events.md` lists all events; a test compares it with the declarations.
//! Number ranges: runtime 1000, http 1100, platform 1200, worker 1300, backend 1400, entry 1500, control 1600, caller
//! 1700, daemon 1800, routing 1900, placement 2000, dispatch 2100, platform adapter 2200.

use {
    crate::{lock, unix_ms},
    slog::{Drain, FnValue, Logger, PushFnValue, o},
    std::{
        io::{self, ErrorKind, Write},
        mem,
        sync::{Arc, Mutex, MutexGuard},
        thread,
        time::Duration,
    },
};

pub use slog::Level;

/// Declaration of a log event.
#[derive(Debug, Clone, Copy)]
pub struct Event {
    /// Event number, unique across all packages.
    pub number: u32,
    /// Severity of the event.
    pub level: Level,
    /// Message text of the log line.
    pub message: &'static str,
}

/// Declares the log events of a package as constants, and `ALL`, a list of them.
#[macro_export]
macro_rules! events {
    ($($name:ident = $number:literal, $level:ident, $message:literal;)*) => {
        $(
            #[doc = $message]
            pub const $name: $crate::Event =
                $crate::Event { number: $number, level: $crate::Level::$level, message: $message };
        )*
        /// All log events of this package.
        pub const ALL: &[$crate::Event] = &[$($name),*];
    };
}

/// Logs an event with its number and optional key-value pairs.
#[macro_export]
macro_rules! log_event {
    ($log:expr, $event:expr $(; $($key:literal => $value:expr),* $(,)?)?) => {
        $crate::slog::log!($log, $event.level, "", "{}", $event.message;
            "event" => $event.number $(, $($key => $value),*)?)
    };
}

/// Creates a logger that writes JSON lines to standard error without blocking the caller.
///
/// Lines are dropped while the channel to the writing thread is full; a later line reports their number.
pub fn json_logger(level: Level) -> Logger {
    let json = slog_json::Json::default(io::stderr()).fuse();
    let drain = slog_async::Async::new(json).chan_size(4096).build().fuse();
    Logger::root(drain.filter_level(level).fuse(), o!())
}

/// Maximum number of buffered bytes; lines beyond it are dropped and counted.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Interval between writes to the output; writing many lines at once saves system calls.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

#[cfg(test)]
mod tests;

/// Buffered lines and the number of lines dropped since the last write.
#[derive(Debug, Default)]
struct PendingLines {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Buffer between the threads that log and the thread that writes the output; clones share it.
#[derive(Debug, Clone, Default)]
struct LineBuffer {
    pending: Arc<Mutex<PendingLines>>,
}

impl LineBuffer {
    fn lock(&self) -> MutexGuard<'_, PendingLines> {
        lock(&self.pending)
    }

    /// Takes the buffered lines; appends a line with the number of dropped lines, if any.
    fn take_lines(&self) -> Vec<u8> {
        let PendingLines { mut bytes, dropped } = mem::take(&mut *self.lock());
        if dropped > 0 {
            let ts = unix_ms();
            let line = format!(
                "{{\"ts\":{ts},\"level\":\"WARN\",\"event\":1001,\"dropped_lines\":{dropped}}}\n"
            );
            bytes.extend_from_slice(line.as_bytes());
        }
        bytes
    }

    /// Writes the buffered lines to the output at a fixed interval; never returns.
    fn run_writer(&self, mut out: impl Write) {
        let mut unwritten = Vec::new();
        loop {
            thread::sleep(FLUSH_INTERVAL);
            self.write_available(&mut out, &mut unwritten);
        }
    }

    /// Writes as many bytes as the output accepts without blocking. The rest stays in `unwritten` and is written first
    /// by the next call, so that lines are not interleaved.
    fn write_available(&self, out: &mut impl Write, unwritten: &mut Vec<u8>) {
        if unwritten.is_empty() {
            *unwritten = self.take_lines();
        }
        let mut written = 0;
        while written < unwritten.len() {
            match out.write(&unwritten[written..]) {
                Ok(count) if count > 0 => written += count,
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) if err.kind() == ErrorKind::WouldBlock => break,
                // The error cannot be logged because the log itself is not writable; the lines are discarded.
                Ok(_) | Err(_) => written = unwritten.len(),
            }
        }
        unwritten.drain(..written);
        let _ = out.flush();
    }
}

impl Write for LineBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut pending = self.lock();
        if pending.bytes.len() + line.len() > MAX_BUFFERED_BYTES {
            pending.dropped += u64::from(line.ends_with(b"\n"));
        } else {
            pending.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writer that passes on complete lines only, so that the buffer never drops a part of a line.
struct WholeLineWriter<W> {
    out: W,
    line: Vec<u8>,
}

impl<W: Write> Write for WholeLineWriter<W> {
    fn write(&mut self, part: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(part);
        if self.line.ends_with(b"\n") {
            let line = mem::take(&mut self.line);
            self.out.write_all(&line)?;
        }
        Ok(part.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }
}

/// Creates a logger that writes JSON lines to standard output in bounded memory and without blocking the caller.
///
/// Lines that do not fit into the buffer are dropped; event 1001 reports their number.
///
/// # Errors
///
/// Returns an error when the operating system cannot create the thread that writes the output.
pub fn stdout_logger(level: Level) -> io::Result<Logger> {
    let buffer = LineBuffer::default();
    let writer = buffer.clone();
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || writer.run_writer(io::stdout()))?;
    let lines = WholeLineWriter {
        out: buffer,
        line: Vec::new(),
    };
    let json = slog_json::Json::new(lines)
        .add_key_value(o!(
            "ts" => FnValue(|_| unix_ms()),
            "level" => FnValue(|record| record.level().as_short_str()),
            "msg" => PushFnValue(|record, out| out.emit(record.msg())),
        ))
        .build();
    let drain = Mutex::new(json).filter_level(level).fuse();
    Ok(Logger::root(drain, o!()))
}

/// Creates a logger that discards all events.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
