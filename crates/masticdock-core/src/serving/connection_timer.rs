//! Timeouts of a connection from a caller.

use super::RequestLimits;
use crate::units::MonoMs;

/// Minimum time without progress after which a response counts as unread, in milliseconds.
const UNREAD_TIMEOUT_MS_MIN: u64 = 10_000;

/// What a connection from a caller is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No request has begun.
    Idle,
    /// Part of a request head has been received.
    Head,
    /// A request is being served.
    Active,
    /// The rest of a response is being sent.
    Sending,
}

/// Timeout that a connection exceeds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionTimeout {
    /// No request has begun in time.
    Idle,
    /// The rest of a request head has not been received in time.
    Head,
    /// The caller has read nothing of a response for too long.
    Unread,
}

/// Phase of a connection and the timeout that applies to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionTimer {
    phase: ConnectionPhase,
    /// When the connection entered its phase.
    since: MonoMs,
    /// Idle timeout in force at the latest response, which the caller may rely on.
    idle_timeout_ms: u64,
    /// Maximum size of a request head on this connection, in bytes.
    head_bytes_max: usize,
}

impl ConnectionTimer {
    /// Creates the timer of a connection that was accepted now.
    #[must_use]
    pub const fn new(limits: &RequestLimits, now: MonoMs) -> Self {
        Self {
            phase: ConnectionPhase::Idle,
            since: now,
            idle_timeout_ms: limits.idle_timeout_ms,
            head_bytes_max: limits.head_bytes_max,
        }
    }

    /// Returns the phase of the connection.
    #[must_use]
    pub const fn phase(&self) -> ConnectionPhase {
        self.phase
    }

    /// Returns whether the caller has read nothing of a response for some time.
    #[must_use]
    pub fn is_unread_for(&self, duration_ms: u64, now: MonoMs) -> bool {
        self.phase == ConnectionPhase::Sending && now.since_ms(self.since) >= duration_ms
    }

    /// Records that the connection enters a phase, or that the caller reads on.
    pub const fn enter(&mut self, phase: ConnectionPhase, now: MonoMs) {
        self.phase = phase;
        self.since = now;
    }

    /// Records that a response begins under the given limits.
    pub const fn respond(&mut self, limits: &RequestLimits) {
        self.idle_timeout_ms = limits.idle_timeout_ms;
    }

    /// Records the maximum size of a request head from now on.
    pub const fn set_head_bytes_max(&mut self, limits: &RequestLimits) {
        self.head_bytes_max = limits.head_bytes_max;
    }

    /// Returns whether the next request head is subject to another limit than the one that
    /// was set.
    #[must_use]
    pub fn is_outdated(&self, limits: &RequestLimits) -> bool {
        self.phase == ConnectionPhase::Idle && self.head_bytes_max != limits.head_bytes_max
    }

    /// Returns the timeout that the connection exceeds under the limits in force.
    #[must_use]
    pub fn exceeded(&self, limits: &RequestLimits, now: MonoMs) -> Option<ConnectionTimeout> {
        let age_ms = now.since_ms(self.since);
        let idle_timeout_ms = self.idle_timeout_ms.max(limits.idle_timeout_ms);
        match self.phase {
            ConnectionPhase::Idle if age_ms >= idle_timeout_ms => Some(ConnectionTimeout::Idle),
            ConnectionPhase::Head if age_ms >= limits.head_timeout_ms => {
                Some(ConnectionTimeout::Head)
            }
            ConnectionPhase::Sending if age_ms >= idle_timeout_ms.max(UNREAD_TIMEOUT_MS_MIN) => {
                Some(ConnectionTimeout::Unread)
            }
            _ => None,
        }
    }
}
