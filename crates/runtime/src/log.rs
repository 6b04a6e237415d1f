//! Numbered log events.
//!
//! A package declares its events with [`events!`](crate::events) and writes them with
//! [`log_event!`](crate::log_event). The catalogue in `docs/events.md` lists every number; a test holds the two
//! together. Number ranges: runtime 1000, http 1100, platform 1200, worker 1300, backend 1400, entry 1500, control
//! 1600, caller 1700, daemon 1800, routing 1900, placement 2000, dispatch 2100, platform adapter 2200.

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

/// A kind of log event.
#[derive(Debug, Clone, Copy)]
pub struct Event {
    /// Number, unique in the program.
    pub number: u32,
    /// Severity.
    pub level: Level,
    /// Message.
    pub message: &'static str,
}

/// Declares the events of a package and a list of them all.
#[macro_export]
macro_rules! events {
    ($($name:ident = $number:literal, $level:ident, $message:literal;)*) => {
        $(
            #[doc = $message]
            pub const $name: $crate::Event =
                $crate::Event { number: $number, level: $crate::Level::$level, message: $message };
        )*
        /// All events of this package.
        pub const ALL: &[$crate::Event] = &[$($name),*];
    };
}

/// Writes an event with its number and key-value pairs.
#[macro_export]
macro_rules! log_event {
    ($log:expr, $event:expr $(; $($key:literal => $value:expr),* $(,)?)?) => {
        $crate::slog::log!($log, $event.level, "", "{}", $event.message;
            "event" => $event.number $(, $($key => $value),*)?)
    };
}

/// Logger that writes one JSON object a line to standard error, without blocking the caller.
pub fn json_logger(level: Level) -> Logger {
    let json = slog_json::Json::default(io::stderr()).fuse();
    let drain = slog_async::Async::new(json).chan_size(4096).build().fuse();
    Logger::root(drain.filter_level(level).fuse(), o!())
}

/// Bytes that may wait to be written; further lines are dropped and counted.
const MAX_WAITING_BYTES: usize = 256 * 1024;
/// Time between two writes; one write for many lines costs one system call.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

#[cfg(test)]
mod tests;

/// Lines that wait to be written.
#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Buffer between the loggers and the thread that writes.
#[derive(Debug, Clone, Default)]
struct LineBuffer {
    waiting: Arc<Mutex<Waiting>>,
}

impl LineBuffer {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        lock(&self.waiting)
    }

    /// Takes the lines that wait, with one about those that were dropped.
    fn take(&self) -> Vec<u8> {
        let Waiting { mut bytes, dropped } = mem::take(&mut *self.lock());
        if dropped > 0 {
            let ts = unix_ms();
            let line = format!(
                "{{\"ts\":{ts},\"level\":\"WARN\",\"event\":1001,\"dropped_lines\":{dropped}}}\n"
            );
            bytes.extend_from_slice(line.as_bytes());
        }
        bytes
    }

    /// Writes what waits, for as long as the process runs.
    fn write_forever(&self, mut out: impl Write) {
        let mut begun = Vec::new();
        loop {
            thread::sleep(FLUSH_INTERVAL);
            self.write_once(&mut out, &mut begun);
        }
    }

    /// Writes as much as the output takes. What it does not take stays in `begun` and goes first the next time, so that no
    /// line is cut by another one.
    fn write_once(&self, out: &mut impl Write, begun: &mut Vec<u8>) {
        if begun.is_empty() {
            *begun = self.take();
        }
        let mut written = 0;
        while written < begun.len() {
            match out.write(&begun[written..]) {
                Ok(count) if count > 0 => written += count,
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) if err.kind() == ErrorKind::WouldBlock => break,
                // Nothing can be reported when the log itself cannot be written.
                Ok(_) | Err(_) => written = begun.len(),
            }
        }
        begun.drain(..written);
        let _ = out.flush();
    }
}

impl Write for LineBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut waiting = self.lock();
        if waiting.bytes.len() + line.len() > MAX_WAITING_BYTES {
            waiting.dropped += u64::from(line.ends_with(b"\n"));
        } else {
            waiting.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Collects one line and hands it over whole, so that a dropped line is dropped whole.
struct WholeLines<W> {
    out: W,
    line: Vec<u8>,
}

impl<W: Write> Write for WholeLines<W> {
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

/// Logger that writes one JSON object a line to standard output, in bounded memory and without blocking the caller.
///
/// # Errors
///
/// Returns an error when the operating system refuses the writing thread.
pub fn stdout_logger(level: Level) -> io::Result<Logger> {
    let buffer = LineBuffer::default();
    let writer = buffer.clone();
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || writer.write_forever(io::stdout()))?;
    let lines = WholeLines {
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

/// Logger that writes nothing.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
