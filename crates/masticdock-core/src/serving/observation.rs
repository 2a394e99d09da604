//! What a process knows of a table that it polls, and how old a change can be that it
//! reads.
//!
//! Limits of operators run from the moment at which the store accepted a change, which a
//! process does not learn. It knows the time up to which it had all changes.

use std::time::Duration;

use crate::units::MonoMs;

use super::pauses::Pause;
use super::poll_pace::{IMMEDIATE_REPLY, change_age};

/// Time without a poll from which it counts as a gap, in which operators can write several
/// configurations.
const POLL_GAP_MIN: Duration = Duration::from_secs(1);

/// Reply to a poll.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollReply {
    /// When the poll was sent.
    pub sent_at: MonoMs,
    /// When the reply was read, without the time that its body took.
    pub read_at: MonoMs,
    /// Pause of the process that ended after the poll was sent.
    pub pause: Option<Pause>,
}

/// How old the changes in a reply can be.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ChangeAge {
    /// Greatest age when they were read, in milliseconds.
    pub max_ms: u64,
    /// Time from which the process ran, if it did not while a change may have been made: its
    /// start or the end of a pause.
    pub running_since: Option<MonoMs>,
    /// True if earlier changes of the same rows may have been missed.
    pub follows_gap: bool,
}

impl ChangeAge {
    /// Returns the age of what a process reads first, which may have been there for any time.
    /// The process can have read it since `running_since`.
    #[must_use]
    pub const fn unknown(running_since: MonoMs) -> Self {
        Self {
            max_ms: u64::MAX,
            running_since: Some(running_since),
            follows_gap: true,
        }
    }
}

/// Time up to which a process knows all changes of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableObservation {
    /// `None` after the store did not answer, since limits start anew when it returns.
    known_until: Option<MonoMs>,
}

impl TableObservation {
    /// Creates the observation of a process that begins to poll.
    #[must_use]
    pub const fn new(now: MonoMs) -> Self {
        Self {
            known_until: Some(now),
        }
    }

    /// Returns the time after which changes may have been missed, unless the store was away.
    #[must_use]
    pub const fn known_until(&self) -> Option<MonoMs> {
        self.known_until
    }

    /// Returns whether rows may have changed more than once, over more than the usual pause
    /// between polls, before a poll that is sent now. It returns only their last change.
    #[must_use]
    pub fn has_gap(&self, sent_at: MonoMs) -> bool {
        self.known_until
            .is_none_or(|known_until| sent_at.since(known_until) > POLL_GAP_MIN)
    }

    /// Returns the greatest age that changes in a reply can have when it was read.
    #[must_use]
    pub fn change_age(&self, reply: &PollReply) -> Duration {
        let Some(pause) = reply.pause else {
            let unpolled = self.known_until.map(|at| reply.sent_at.since(at));
            return change_age(reply.read_at.since(reply.sent_at), unpolled);
        };
        // A poll that was open for a while before the pause had no change to return.
        let open_for = pause.began_at.since(reply.sent_at);
        let known_until = match self.known_until {
            Some(at) if open_for <= IMMEDIATE_REPLY => at.min(pause.began_at),
            _ => pause.began_at,
        };
        reply.read_at.since(known_until) + IMMEDIATE_REPLY / 2
    }

    /// Records a reply, after its changes were applied.
    pub fn record_reply(&mut self, reply: &PollReply) {
        // During a pause, the store may have sent the reply at any time.
        let known_until = reply
            .pause
            .map_or(reply.read_at, |pause| pause.began_at.max(reply.sent_at));
        self.known_until = Some(known_until);
    }

    /// Records a poll that failed. `paused` tells whether this process paused shortly
    /// before, so that the poll may have failed although the store answered.
    pub fn record_failure(&mut self, paused: bool) {
        if !paused {
            self.known_until = None;
        }
    }

    /// Records a pause of the process while no poll was open.
    pub fn record_pause(&mut self, pause: &Pause) {
        self.known_until.get_or_insert(pause.began_at);
    }
}
