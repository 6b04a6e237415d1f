//! Numbered log events.
//!
//! A package declares its events with [`events!`](crate::events) and writes them with
//! [`log_event!`](crate::log_event). The catalogue in `docs/events.md` lists every number; a test holds the two
//! together. Number ranges: runtime 1000, http 1100, platform 1200, worker 1300, backend 1400, entry 1500, control
//! 1600, caller 1700, daemon 1800, routing 1900, placement 2000.

use {
    slog::{Drain, Logger, o},
    std::io,
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

/// Logger that writes nothing.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
