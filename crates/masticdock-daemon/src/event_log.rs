//! Logging of numbered events.

/// Logs an event of the catalogue as `[E<number>] <text>` at the event's level.
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

/// Lets one event of a kind through each second, for those that every request may cause.
#[derive(Debug, Default)]
pub(crate) struct Throttle(std::sync::atomic::AtomicU64);

impl Throttle {
    /// Returns true for the first call in the second of `now_ms`.
    pub(crate) fn allows(&self, now_ms: u64) -> bool {
        // The first second is 1, so that 0 means never.
        let second = now_ms / 1_000 + 1;
        self.0.swap(second, std::sync::atomic::Ordering::Relaxed) != second
    }
}
