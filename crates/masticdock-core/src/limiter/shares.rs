//! Shares of a limit between entries.

use crate::units::MonoMs;

/// Part of a limit that is split evenly, in percent; it lets an entry start
/// serving a workspace before its demand is known elsewhere.
const EVEN_PERCENT: u64 = 10;

/// Returns the share of entry `own` in a limit of `total` units.
///
/// `demands` names each live entry once with its demand. Every entry that knows
/// the same demands computes the same split, and the shares sum to `total`.
#[must_use]
pub fn entry_share(total: u64, demands: &[(&str, u64)], own: &str) -> u64 {
    let count = demands.len() as u64;
    if !demands.iter().any(|(entry, _)| *entry == own) || count == 0 {
        return 0;
    }
    let demand: u64 = demands.iter().map(|(_, demand)| demand).sum();
    let even = if demand == 0 {
        total
    } else {
        total * EVEN_PERCENT / 100
    };
    let by_demand = total - even;
    let mut parts = Vec::with_capacity(demands.len());
    let mut given: u64 = 0;
    for (entry, own_demand) in demands {
        // Scaled by both divisors, so that no part is rounded before the split.
        let scaled = u128::from(even) * u128::from(demand.max(1))
            + u128::from(by_demand) * u128::from(*own_demand) * u128::from(count);
        let divisor = u128::from(count) * u128::from(demand.max(1));
        let whole = u64::try_from(scaled / divisor).unwrap_or(total);
        given += whole;
        parts.push((scaled % divisor, *entry, whole));
    }
    // The largest remainders get the units that rounding left over.
    parts.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    let mut left = total - given;
    for (_, entry, whole) in parts {
        let extra = u64::from(left > 0);
        left -= extra;
        if entry == own {
            return whole + extra;
        }
    }
    0
}

/// Length of the window over which demand is measured, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Measures the demand of a workspace at one entry, refused requests included:
/// an entry whose share is used up asks for more by what it refuses.
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    window_start: MonoMs,
    arrivals: u64,
    refused: u32,
    last_rate_milli: u64,
    last_refused: u32,
    in_flight: u32,
}

impl DemandMeter {
    /// Counts an arrival.
    pub fn record_arrival(&mut self, now: MonoMs) {
        self.roll(now);
        self.arrivals += 1;
    }

    /// Counts a request that was refused for want of concurrency.
    pub fn record_rejection(&mut self, now: MonoMs) {
        self.roll(now);
        self.refused = self.refused.saturating_add(1);
    }

    /// Counts a request as in progress.
    pub const fn begin_request(&mut self) {
        self.in_flight = self.in_flight.saturating_add(1);
    }

    /// Counts a request as ended.
    pub const fn end_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the requests in progress.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the arrivals per second over the last whole window, in thousandths.
    pub fn rate_milli(&mut self, now: MonoMs) -> u64 {
        self.roll(now);
        self.last_rate_milli
    }

    /// Returns the concurrency that callers ask for.
    pub fn concurrency_demand(&mut self, now: MonoMs) -> u32 {
        self.roll(now);
        self.in_flight.saturating_add(self.last_refused)
    }

    fn roll(&mut self, now: MonoMs) {
        let elapsed_ms = now.since_ms(self.window_start);
        if elapsed_ms < WINDOW_MS {
            return;
        }
        let idle = elapsed_ms >= 2 * WINDOW_MS;
        self.last_rate_milli = if idle {
            0
        } else {
            self.arrivals * 1_000_000 / elapsed_ms
        };
        self.last_refused = if idle { 0 } else { self.refused };
        self.arrivals = 0;
        self.refused = 0;
        self.window_start = now;
    }
}
