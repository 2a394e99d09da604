//! Share of one entry in the limit that an upstream names.
//!
//! Load pattern: an upstream in need names in its answers how many requests a second it
//! takes from all entries together, which can be less than one for each entry. Every entry
//! learns of the limit from its own answers and spaces its requests by the time in which the
//! limit allows one to each entry. What it sent before it knew the limit counts as well. The
//! first entry that learns of a limit tells the others, so that not each of them sends a
//! request to learn of it.
//!
//! Load pattern: requests are rare for a while, then arrive at all entries at the same
//! moment. A request that an entry could have sent earlier may be sent late only for a short
//! time, so the entries do not save up requests for that moment.

use std::collections::VecDeque;

use crate::units::{MonoMs, RequestRate};

/// Time over which an upstream counts requests, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Length of the intervals in which sends are counted, in milliseconds.
const COUNT_INTERVAL_MS: u64 = 500;
/// Time for which an entry may make up for a request that it did not send, in milliseconds.
const CATCH_UP_MS: u64 = 1_000;
/// Lowest rate, in thousandths of a request per second. Only an answer can tell that a limit
/// has ended.
const RATE_MIN_MILLI: u64 = 50;

/// Limit on the requests to one upstream, as one entry keeps to it.
#[derive(Debug, Clone, Default)]
pub struct RateLimitShare {
    limit: Option<NamedLimit>,
    /// Start and number of the recent sends, by interval.
    sends: VecDeque<(MonoMs, u32)>,
}

/// Limit that the upstream named in its latest answer.
#[derive(Debug, Clone, Copy)]
struct NamedLimit {
    rate: RequestRate,
    named_at: MonoMs,
    /// Time between two requests of this entry, in milliseconds.
    spacing_ms: u64,
    /// Earliest time of the next request.
    next_send_at: MonoMs,
}

impl RateLimitShare {
    /// Counts a request that is sent.
    pub fn record_send(&mut self, now: MonoMs) {
        match self.sends.back_mut() {
            Some((since, count)) if now.since_ms(*since) < COUNT_INTERVAL_MS => *count += 1,
            _ => {
                self.expire_sends(now);
                self.sends.push_back((now, 1));
            }
        }
        if let Some(limit) = &mut self.limit {
            let earliest = MonoMs(now.0.saturating_sub(CATCH_UP_MS));
            limit.next_send_at = limit.next_send_at.max(earliest).plus_ms(limit.spacing_ms);
        }
    }

    /// Records the limit that the answer to a request names, which was sent at `sent_at`,
    /// or that it names none; `entries` is the number of entries that share the limit, and
    /// `draw` a random number in 0..1. Returns true if the limit changed.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn record_answer(
        &mut self,
        named: Option<RequestRate>,
        entries: u32,
        sent_at: MonoMs,
        now: MonoMs,
        draw: f64,
    ) -> bool {
        let Some(rate) = named else {
            // The answer to an earlier request may be older than the limit.
            let has_ended = self.limit.is_some_and(|limit| sent_at > limit.named_at);
            if has_ended {
                self.limit = None;
            }
            return has_ended;
        };
        let spacing_ms =
            u64::from(entries.max(1)) * 1_000_000 / rate.as_milli().max(RATE_MIN_MILLI);
        if let Some(limit) = &mut self.limit {
            let changed = limit.rate != rate;
            limit.rate = rate;
            limit.named_at = now;
            limit.spacing_ms = spacing_ms;
            limit.next_send_at = limit.next_send_at.min(now.plus_ms(WINDOW_MS + spacing_ms));
            return changed;
        }
        self.expire_sends(now);
        let sent: u32 = self.sends.iter().map(|(_, count)| count).sum();
        let excess_ms = (u64::from(sent) * spacing_ms).saturating_sub(WINDOW_MS);
        // Entries that learn of the limit at the same moment begin at different times.
        let offset_ms = (spacing_ms as f64 * draw) as u64;
        self.limit = Some(NamedLimit {
            rate,
            named_at: now,
            spacing_ms,
            next_send_at: now.plus_ms(excess_ms.min(WINDOW_MS) + offset_ms),
        });
        true
    }

    /// Records a limit that the upstream named to another entry, unless one is known. Returns
    /// true if none was.
    pub fn record_elsewhere(
        &mut self,
        rate: RequestRate,
        entries: u32,
        now: MonoMs,
        draw: f64,
    ) -> bool {
        self.limit.is_none() && self.record_answer(Some(rate), entries, now, now, draw)
    }

    /// Returns the limit that the upstream names, if it names one.
    #[must_use]
    pub fn rate(&self) -> Option<RequestRate> {
        self.limit.map(|limit| limit.rate)
    }

    /// Returns the earliest time of the next request, if it lies in the future.
    #[must_use]
    pub fn blocked_until(&self, now: MonoMs) -> Option<MonoMs> {
        let next_send_at = self.limit?.next_send_at;
        (next_send_at > now).then_some(next_send_at)
    }

    fn expire_sends(&mut self, now: MonoMs) {
        while let Some((since, _)) = self.sends.front()
            && now.since_ms(*since) >= WINDOW_MS
        {
            self.sends.pop_front();
        }
    }
}
