//! Token bucket that limits the request rate of one workspace at one entry.

use crate::units::MonoMs;

/// One token, which pays for one request, in millionths.
///
/// A rate in thousandths of a request per second adds a whole number of
/// millionths each millisecond, so refilling never rounds.
const MICRO_PER_TOKEN: u64 = 1_000_000;

/// Allows requests at a given rate, with bursts of up to one second of that rate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestTokenBucket {
    tokens_micro: u64,
    refilled_at: MonoMs,
}

impl RequestTokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn full(rate_milli: u64, now: MonoMs) -> Self {
        Self {
            tokens_micro: capacity_micro(rate_milli),
            refilled_at: now,
        }
    }

    /// Takes the token of one request; `rate_milli` is in thousandths of a request per second.
    ///
    /// # Errors
    ///
    /// Returns the time in milliseconds until a token is available.
    pub fn try_take(&mut self, rate_milli: u64, now: MonoMs) -> Result<(), u64> {
        let gained_micro = now.since_ms(self.refilled_at).saturating_mul(rate_milli);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens_micro = self
            .tokens_micro
            .saturating_add(gained_micro)
            .min(capacity_micro(rate_milli));
        if self.tokens_micro >= MICRO_PER_TOKEN {
            self.tokens_micro -= MICRO_PER_TOKEN;
            return Ok(());
        }
        if rate_milli == 0 {
            return Err(1_000);
        }
        Err((MICRO_PER_TOKEN - self.tokens_micro).div_ceil(rate_milli))
    }
}

/// Returns the tokens that one second adds; at least one unless the rate is 0, so
/// that rates below one request per second allow requests at all.
fn capacity_micro(rate_milli: u64) -> u64 {
    if rate_milli == 0 {
        return 0;
    }
    rate_milli.saturating_mul(1_000).max(MICRO_PER_TOKEN)
}
