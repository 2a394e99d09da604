//! Tells callers that return after a rejection from new ones.
//!
//! Callers of a route mostly wait equally long, so the deadline that most
//! requests carry is that of a first attempt. One that carries less has spent
//! the rest on an earlier attempt. A few callers wait longer than most; they
//! must not make all others look as if they returned.

/// Votes that the usual deadline can save up; bounds how long another one that
/// became usual takes to be believed.
const VOTES_MAX: u32 = 50;
/// Part of the usual deadline, as a divisor, by which a deadline may fall short
/// before its caller counts as returning.
const SHORTFALL_DIVISOR: u64 = 100;

/// Usual deadline of the callers of one route, by majority vote.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UsualDeadline {
    usual_ms: u64,
    votes: u32,
}

impl UsualDeadline {
    /// Counts a request and returns true when its caller returns.
    pub fn is_returning(&mut self, deadline_ms: u64) -> bool {
        if deadline_ms == self.usual_ms {
            self.votes = (self.votes + 1).min(VOTES_MAX);
        } else if self.votes > 0 {
            self.votes -= 1;
        } else {
            self.usual_ms = deadline_ms;
            self.votes = 1;
        }
        deadline_ms + self.usual_ms / SHORTFALL_DIVISOR < self.usual_ms
    }
}
