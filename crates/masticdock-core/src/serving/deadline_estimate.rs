//! Distinguishes callers that return after a rejection from new ones.
//!
//! The deadlines of a route's callers vary by about 15 in 100. A request with a much
//! shorter deadline has spent the difference on an earlier attempt and its retry
//! delay. A few callers with long deadlines must not make all others look like
//! returning ones, so the reference is a high quantile and not the maximum.

/// Quantile of the deadlines that is estimated.
const DEADLINE_QUANTILE: f64 = 0.9;
/// Maximum change of the estimate by one request, as a share of the estimate.
const STEP_SHARE: f64 = 0.02;
/// Share of the estimate below which a deadline belongs to a returning caller.
const RETURNING_DEADLINE_SHARE: f64 = 0.82;

/// Running estimate of a high quantile of the deadlines of one route's callers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DeadlineEstimate {
    estimate_ms: f64,
}

impl DeadlineEstimate {
    /// Updates the estimate with a request; returns true when its caller is returning
    /// after a rejection.
    #[allow(clippy::cast_precision_loss)]
    pub fn is_returning(&mut self, deadline_ms: u64) -> bool {
        let deadline_ms = deadline_ms as f64;
        if self.estimate_ms <= 0.0 {
            self.estimate_ms = deadline_ms;
        }
        // Steps up are nine times as large as steps down, so the estimate settles
        // where nine in ten deadlines lie below it.
        let step_ms = self.estimate_ms * STEP_SHARE;
        self.estimate_ms += if deadline_ms > self.estimate_ms {
            (step_ms * DEADLINE_QUANTILE).min(deadline_ms - self.estimate_ms)
        } else {
            -step_ms * (1.0 - DEADLINE_QUANTILE)
        };
        deadline_ms < self.estimate_ms * RETURNING_DEADLINE_SHARE
    }
}
