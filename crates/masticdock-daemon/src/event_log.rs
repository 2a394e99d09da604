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
