//! Logging of the numbered events of the event catalogue.

/// Logs an event as `[E<number>] <text>` at the event's level.
macro_rules! log_event {
    ($event:expr, $($arg:tt)+) => {{
        let event: masticdock_core::event::Event = $event;
        log::log!(
            $crate::event_log::level(event),
            "[E{}] {}",
            event.number,
            format_args!($($arg)+)
        );
    }};
}

pub(crate) use log_event;
use masticdock_core::event::{Event, EventLevel};

pub(crate) const fn level(event: Event) -> log::Level {
    match event.level {
        EventLevel::Error => log::Level::Error,
        EventLevel::Warn => log::Level::Warn,
        EventLevel::Info => log::Level::Info,
    }
}

/// Limits an event that any request may cause to one log line per second.
#[derive(Debug, Default)]
pub(crate) struct Throttle(std::sync::atomic::AtomicU64);

impl Throttle {
    /// Returns true for the first call within the second of `now_ms`.
    pub(crate) fn allows(&self, now_ms: u64) -> bool {
        // Seconds are counted from 1, so that the initial value 0 means that no call was made yet.
        let second = now_ms / 1_000 + 1;
        self.0.swap(second, std::sync::atomic::Ordering::Relaxed) != second
    }
}
