//! Numbered log events.
//!
//! Numbers are stable: scripts and runbooks refer to them. Each range belongs to
//! one part of the system; `docs/EVENTS.md` is the catalogue.

mod config;
mod membership;
mod operator;
mod platform;
mod process;
mod request;
mod switching;
mod transfer;

/// Level at which an event is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventLevel {
    /// Something failed and an operator may have to act.
    Error,
    /// Something is degraded and the system copes.
    Warn,
    /// A change of state worth keeping.
    Info,
}

impl EventLevel {
    /// Returns the level as written in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
        }
    }
}

/// One kind of log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Stable number.
    pub number: u16,
    /// Level.
    pub level: EventLevel,
    /// What happened.
    pub meaning: &'static str,
    /// What an operator does about it.
    pub action: &'static str,
}

pub use config::*;
pub use membership::*;
pub use operator::*;
pub use platform::*;
pub use process::*;
pub use request::*;
pub use switching::*;
pub use transfer::*;

const RANGES: [&[Event]; 8] = [
    process::ALL,
    config::ALL,
    membership::ALL,
    transfer::ALL,
    switching::ALL,
    request::ALL,
    operator::ALL,
    platform::ALL,
];

/// Returns the whole catalogue in the order of the numbers.
#[must_use]
pub fn catalogue() -> Vec<Event> {
    let mut events: Vec<Event> = RANGES.concat();
    events.sort_by_key(|event| event.number);
    events
}

/// Returns the event with `number`.
#[must_use]
pub fn find(number: u16) -> Option<Event> {
    catalogue().into_iter().find(|event| event.number == number)
}

/// Defines the events of one range and the list of all of them.
macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $meaning:literal, $action:literal;)*) => {
        use super::{Event, EventLevel};

        $($(#[$doc])* pub const $name: Event = Event {
            number: $number,
            level: EventLevel::$level,
            meaning: $meaning,
            action: $action,
        };)*

        pub(super) const ALL: &[Event] = &[$($name),*];
    };
}

use events;
