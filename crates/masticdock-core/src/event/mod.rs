//! Catalogue of the numbered log events.
//!
//! The numbers are stable, because scripts and runbooks refer to them. Each
//! range of 1000 numbers belongs to one part of the system. `docs/EVENTS.md` is
//! generated from this catalogue.

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
    /// A failure on which an operator may have to act.
    Error,
    /// A degradation that the system tolerates.
    Warn,
    /// A normal change of state.
    Info,
}

impl EventLevel {
    /// Returns the name of the level as written in logs.
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
    /// Stable number, logged as `[E<number>]`.
    pub number: u16,
    /// Level at which the event is logged.
    pub level: EventLevel,
    /// Description of what happened.
    pub meaning: &'static str,
    /// Recommended action for an operator, or `none`.
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

const EVENTS_BY_RANGE: [&[Event]; 8] = [
    process::ALL,
    config::ALL,
    membership::ALL,
    transfer::ALL,
    switching::ALL,
    request::ALL,
    operator::ALL,
    platform::ALL,
];

/// Returns all events in the order of their numbers.
#[must_use]
pub fn catalogue() -> Vec<Event> {
    let mut events: Vec<Event> = EVENTS_BY_RANGE.concat();
    events.sort_by_key(|event| event.number);
    events
}

/// Returns the event with the number.
#[must_use]
pub fn find(number: u16) -> Option<Event> {
    catalogue().into_iter().find(|event| event.number == number)
}

/// Defines a constant for each event of one range, and `ALL`, the list of these constants.
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
