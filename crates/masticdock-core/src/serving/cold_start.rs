//! Share of one entry in the requests that a cold upstream tolerates.
//!
//! Load pattern: an upstream returns empty while all others are loaded, alone or with its
//! whole availability zone, and is the best choice of every entry at the same moment. While
//! it is cold it tolerates only a few requests a second and may crash at more. Each entry
//! spaces its requests by the time in which the tolerated rate allows one to each entry, and
//! begins at a random point of that time.
//!
//! Load pattern: requests wait for a connection while the link of the upstream is slow and
//! are sent together once it is not. A send that is claimed counts for a short time only.

use crate::units::{MonoMs, RequestRate};

/// Time over which a cold upstream counts requests, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// Time for which a claimed send may wait for its connection, in milliseconds.
const CLAIM_MS: u64 = 100;
/// Longest time for which an entry may make up for a request that it did not send, in
/// milliseconds.
const CATCH_UP_MAX_MS: f64 = 250.0;
/// Standard deviations of the number of entries that happen to send once more than on
/// average in a window.
const PHASE_DEVIATIONS: f64 = 5.0;
/// Part of the tolerated rate that is used where the bounds leave no margin.
const RATE_SHARE_MIN: f64 = 0.25;
/// Number of entries that is assumed for each known one until an entry is counted.
const UNCOUNTED_FACTOR: u32 = 2;

/// How the upstreams of a service behave after a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdStartProfile {
    /// Time for which an upstream is cold after a start, in milliseconds.
    pub duration_ms: u64,
    /// Rate that a cold upstream tolerates from all entries together.
    pub rate: RequestRate,
}

/// Limits on the requests that a cold upstream gets in one second from all entries together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStartBounds {
    /// Multiple of the tolerated rate.
    pub over: f64,
    /// Requests beyond that multiple.
    pub slack: f64,
}

impl Default for ColdStartBounds {
    fn default() -> Self {
        Self {
            over: 1.0,
            slack: 0.0,
        }
    }
}

/// Returns the number of entries among which an entry divides the tolerated rate; `known` is
/// the number that it knows, and `counted` is false until the others count it as well.
#[must_use]
pub const fn sharing_entries(known: u32, counted: bool) -> u32 {
    let known = if known == 0 { 1 } else { known };
    if counted {
        return known;
    }
    known.saturating_mul(UNCOUNTED_FACTOR)
}

/// Pace at which one entry may send requests to a cold upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStartPace {
    duration_ms: u64,
    /// Time between two requests of the entry, in milliseconds.
    spacing_ms: f64,
    /// Time for which the entry may make up for a request that it did not send, in
    /// milliseconds.
    catch_up_ms: f64,
}

impl ColdStartPace {
    /// Returns the pace of each of `entries` entries.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn new(profile: ColdStartProfile, bounds: ColdStartBounds, entries: u32) -> Self {
        let entries = f64::from(entries.max(1));
        let tolerated = (profile.rate.as_milli().max(1)) as f64 / 1_000.0;
        // Each entry may send once more in a window than on average, depending on its phase.
        let phase_margin = entries.min(PHASE_DEVIATIONS * entries.sqrt() / 2.0);
        let allowed = tolerated * bounds.over + bounds.slack - phase_margin;
        let window_ms = WINDOW_MS as f64;
        let claim_ms = CLAIM_MS as f64;
        let rate_max = allowed * window_ms / (window_ms + claim_ms);
        let rate = rate_max.clamp(tolerated * RATE_SHARE_MIN, tolerated);
        let catch_up_ms = allowed / rate * window_ms - window_ms - claim_ms;
        Self {
            duration_ms: profile.duration_ms,
            spacing_ms: entries * 1_000.0 / rate,
            catch_up_ms: catch_up_ms.clamp(0.0, CATCH_UP_MAX_MS),
        }
    }
}

/// Share of one entry in the requests to one upstream while that is cold.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdStartShare {
    /// When the upstream started or returned last.
    began_at: Option<MonoMs>,
    /// Until when the upstream says that it is cold.
    told_until: MonoMs,
    /// True from a failed connection until the next response.
    unreachable: bool,
    /// When the latest connection failed.
    failed_at: Option<MonoMs>,
    /// When the present coldness was noticed, and the part of the spacing by which this
    /// entry begins later.
    phase: (MonoMs, f64),
    /// Earliest time of the next request, in milliseconds.
    next_send_ms: f64,
}

impl ColdStartShare {
    /// Records that the upstream started or returned; `draw` is a random number in 0..1.
    pub fn record_start(&mut self, now: MonoMs, draw: f64) {
        self.began_at = Some(now);
        self.unreachable = false;
        self.phase = (now, draw);
    }

    /// Records how long the upstream says that it stays cold; `draw` is a random number in
    /// 0..1. Returns true if that tells of a new coldness.
    pub fn record_cold_left(&mut self, left_ms: u64, now: MonoMs, draw: f64) -> bool {
        let is_new = left_ms > 0 && now >= self.told_until;
        self.told_until = now.plus_ms(left_ms);
        if is_new {
            self.phase = (now, draw);
        }
        is_new
    }

    /// Records a failed connection: the upstream may be starting again.
    pub const fn record_unreachable(&mut self, now: MonoMs) {
        self.unreachable = true;
        self.failed_at = Some(now);
    }

    /// Records that the upstream responds. Returns true if it returned by that.
    pub fn record_response(&mut self, now: MonoMs, draw: f64) -> bool {
        let returned = self.unreachable;
        if returned {
            self.record_start(now, draw);
        }
        returned
    }

    /// Returns when the latest connection failed.
    #[must_use]
    pub const fn failed_at(&self) -> Option<MonoMs> {
        self.failed_at
    }

    /// Returns whether the upstream counts as cold.
    #[must_use]
    pub fn is_cold(&self, duration_ms: u64, now: MonoMs) -> bool {
        let began = |at: MonoMs| now.since_ms(at) < duration_ms;
        self.unreachable || now < self.told_until || self.began_at.is_some_and(began)
    }

    /// Returns when a cold upstream may get the next request of this entry, if that lies in
    /// the future.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn blocked_until(&self, pace: &ColdStartPace, now: MonoMs) -> Option<MonoMs> {
        if !self.is_cold(pace.duration_ms, now) {
            return None;
        }
        let next_ms = self.next_send_ms.max(self.first_send_ms(pace));
        (next_ms > now.0 as f64).then(|| MonoMs(next_ms.ceil() as u64))
    }

    /// Claims a request that is about to be sent; returns false if the share is used. Claims
    /// are recorded while the upstream is not cold as well, since it may become so at any
    /// moment.
    pub fn try_claim(&mut self, pace: &ColdStartPace, now: MonoMs) -> bool {
        if self.blocked_until(pace, now).is_some() {
            return false;
        }
        self.record_send(pace, now);
        true
    }

    #[allow(clippy::cast_precision_loss)]
    fn record_send(&mut self, pace: &ColdStartPace, now: MonoMs) {
        let now_ms = now.0 as f64;
        let mut earliest_ms = self.next_send_ms.max(now_ms - pace.catch_up_ms);
        if self.is_cold(pace.duration_ms, now) {
            earliest_ms = earliest_ms.max(self.first_send_ms(pace));
        }
        let next_ms = earliest_ms + pace.spacing_ms;
        self.next_send_ms = next_ms.min(now_ms + pace.spacing_ms.max(WINDOW_MS as f64));
    }

    /// Returns whether a request that was claimed at `claimed_at` may be sent now. One that
    /// waited too long for its connection needs a new claim.
    pub fn may_send(&mut self, pace: &ColdStartPace, claimed_at: MonoMs, now: MonoMs) -> bool {
        let is_fresh = now.since_ms(claimed_at) <= CLAIM_MS;
        is_fresh || !self.is_cold(pace.duration_ms, now) || self.try_claim(pace, now)
    }

    /// Returns when this entry may send its first request to the cold upstream. Entries that
    /// learn of it at the same moment begin at different times.
    #[allow(clippy::cast_precision_loss)]
    fn first_send_ms(&self, pace: &ColdStartPace) -> f64 {
        let (noticed_at, draw) = self.phase;
        noticed_at.0 as f64 + draw * pace.spacing_ms
    }
}

/// Weight of a new sample: about four samples reflect a change.
const SLOWDOWN_SAMPLE_WEIGHT: f64 = 0.3;
/// Largest sample, so that a single outlier does not exclude cold upstreams.
const SLOWDOWN_SAMPLE_MAX: f64 = 4.0;

/// Factor by which cold upstreams of a service are slower than warm ones. It is kept between
/// their starts, so that the first requests after one are placed by it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSlowdown(f64);

impl Default for ColdSlowdown {
    fn default() -> Self {
        Self(1.0)
    }
}

impl ColdSlowdown {
    /// Records the time to the first event at a cold upstream, and the time predicted for a
    /// warm one.
    pub fn record(&mut self, first_event_ms: f64, predicted_ms: f64) {
        let sample = (first_event_ms / predicted_ms.max(1.0)).clamp(1.0, SLOWDOWN_SAMPLE_MAX);
        self.0 += SLOWDOWN_SAMPLE_WEIGHT * (sample - self.0);
    }

    /// Returns the factor, which is at least 1.
    #[must_use]
    pub const fn factor(self) -> f64 {
        self.0
    }
}
