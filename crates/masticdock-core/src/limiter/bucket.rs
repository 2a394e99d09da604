//! Token bucket of one workspace at one entry.

use crate::units::MonoMs;

/// One request in the unit of the bucket: thousandths of a thousandth, so that
/// a rate in thousandths per second fills whole units each millisecond.
const REQUEST_UNITS: u64 = 1_000_000;

/// Allows requests at a rate, with bursts of up to one second's worth.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestTokenBucket {
    units: u64,
    filled_at: MonoMs,
}

impl RequestTokenBucket {
    /// Makes a full bucket.
    #[must_use]
    pub fn full(rate_milli: u64, now: MonoMs) -> Self {
        Self {
            units: capacity(rate_milli),
            filled_at: now,
        }
    }

    /// Takes one request at a rate in thousandths of requests per second.
    ///
    /// # Errors
    ///
    /// Returns the time until the next request is allowed, in milliseconds.
    pub fn try_take(&mut self, rate_milli: u64, now: MonoMs) -> Result<(), u64> {
        let gained = now.since_ms(self.filled_at).saturating_mul(rate_milli);
        self.filled_at = self.filled_at.max(now);
        self.units = self.units.saturating_add(gained).min(capacity(rate_milli));
        if self.units >= REQUEST_UNITS {
            self.units -= REQUEST_UNITS;
            return Ok(());
        }
        if rate_milli == 0 {
            return Err(1_000);
        }
        Err((REQUEST_UNITS - self.units).div_ceil(rate_milli))
    }
}

/// Returns one second's worth, and room for one request at least.
fn capacity(rate_milli: u64) -> u64 {
    if rate_milli == 0 {
        return 0;
    }
    rate_milli.saturating_mul(1_000).max(REQUEST_UNITS)
}
