//! Division of a workspace's limit among entries, and measurement of demand.

use crate::units::MonoMs;

/// Part of a limit that is divided evenly among entries, in percent.
///
/// It lets an entry serve a workspace before the other entries know its demand.
const EVEN_SHARE_PERCENT: u64 = 10;

/// Returns the share of `own_entry` in `limit`.
///
/// `demands` lists each live entry once with its demand. Entries that know the
/// same demands compute the same division, and the shares add up to `limit`.
/// An entry that is not listed gets 0.
#[must_use]
pub fn entry_share(limit: u64, demands: &[(&str, u64)], own_entry: &str) -> u64 {
    let count = demands.len() as u64;
    if !demands.iter().any(|(entry, _)| *entry == own_entry) || count == 0 {
        return 0;
    }
    let demand: u64 = demands.iter().map(|(_, demand)| demand).sum();
    let even = if demand == 0 {
        limit
    } else {
        limit * EVEN_SHARE_PERCENT / 100
    };
    let by_demand = limit - even;
    let mut remainders = Vec::with_capacity(demands.len());
    let mut assigned: u64 = 0;
    for (entry, entry_demand) in demands {
        // Multiplied by both divisors, so that rounding happens once, in the division below.
        let scaled = u128::from(even) * u128::from(demand.max(1))
            + u128::from(by_demand) * u128::from(*entry_demand) * u128::from(count);
        let divisor = u128::from(count) * u128::from(demand.max(1));
        let whole = u64::try_from(scaled / divisor).unwrap_or(limit);
        assigned += whole;
        remainders.push((scaled % divisor, *entry, whole));
    }
    // Rounding down leaves units unassigned; the largest remainders get them.
    remainders.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    let mut unassigned = limit - assigned;
    for (_, entry, whole) in remainders {
        let extra = u64::from(unassigned > 0);
        unassigned -= extra;
        if entry == own_entry {
            return whole + extra;
        }
    }
    0
}

const DEMAND_WINDOW_MS: u64 = 1_000;

/// Measures the demand of a workspace at one entry.
///
/// Rejected requests count as demand, so an entry that rejects requests because
/// its share is used up gets a larger share.
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    window_start: MonoMs,
    arrivals: u64,
    rejected: u32,
    last_rate_milli: u64,
    last_rejected: u32,
    in_flight: u32,
}

impl DemandMeter {
    /// Counts a request that arrived, whether it is admitted or not.
    pub fn record_arrival(&mut self, now: MonoMs) {
        self.roll_window(now);
        self.arrivals += 1;
    }

    /// Counts a request that was rejected at the concurrency limit.
    pub fn record_rejection(&mut self, now: MonoMs) {
        self.roll_window(now);
        self.rejected = self.rejected.saturating_add(1);
    }

    /// Counts an admitted request as in flight.
    pub const fn begin_request(&mut self) {
        self.in_flight = self.in_flight.saturating_add(1);
    }

    /// Counts a request as no longer in flight.
    pub const fn end_request(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the arrivals per second in the last complete window, in thousandths.
    pub fn rate_milli(&mut self, now: MonoMs) -> u64 {
        self.roll_window(now);
        self.last_rate_milli
    }

    /// Returns the requests in flight plus those rejected in the last complete window.
    pub fn concurrency_demand(&mut self, now: MonoMs) -> u32 {
        self.roll_window(now);
        self.in_flight.saturating_add(self.last_rejected)
    }

    fn roll_window(&mut self, now: MonoMs) {
        let elapsed_ms = now.since_ms(self.window_start);
        if elapsed_ms < DEMAND_WINDOW_MS {
            return;
        }
        let idle = elapsed_ms >= 2 * DEMAND_WINDOW_MS;
        self.last_rate_milli = if idle {
            0
        } else {
            self.arrivals * 1_000_000 / elapsed_ms
        };
        self.last_rejected = if idle { 0 } else { self.rejected };
        self.arrivals = 0;
        self.rejected = 0;
        self.window_start = now;
    }
}
