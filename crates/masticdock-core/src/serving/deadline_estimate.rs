//! Tells callers that return after a rejection from new ones.
//!
//! The deadlines of a route's callers differ by some 15 in 100. A request with
//! far less than most has spent the rest on an earlier attempt and the delay
//! that it was told. A few callers that wait longer than most must not make all
//! others look as if they returned, so the measure is a high quantile and not
//! the longest deadline.

/// Quantile of the deadlines that counts as usual.
const QUANTILE: f64 = 0.9;
/// Part of the estimate by which one request moves it at most.
const STEP: f64 = 0.02;
/// Part of the usual deadline below which a caller counts as returning.
const RETURNING_BELOW: f64 = 0.82;

/// Usual deadline of the callers of one route, estimated request by request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DeadlineEstimate {
    usual_ms: f64,
}

impl DeadlineEstimate {
    /// Counts a request and returns true when its caller returns.
    #[allow(clippy::cast_precision_loss)]
    pub fn is_returning(&mut self, deadline_ms: u64) -> bool {
        let deadline_ms = deadline_ms as f64;
        if self.usual_ms <= 0.0 {
            self.usual_ms = deadline_ms;
        }
        // Moves up for one request in ten and down for nine, so that it rests
        // where nine in ten deadlines lie below.
        let step_ms = self.usual_ms * STEP;
        self.usual_ms += if deadline_ms > self.usual_ms {
            (step_ms * QUANTILE).min(deadline_ms - self.usual_ms)
        } else {
            -step_ms * (1.0 - QUANTILE)
        };
        deadline_ms < self.usual_ms * RETURNING_BELOW
    }
}
