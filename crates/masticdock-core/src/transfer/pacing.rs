//! Rate limits of chunk data on links.

use crate::units::{BytesPerSecond, MonoMs};

/// Size of the burst after an idle period, as the time that it takes at the mean
/// rate.
const BURST_MS: u64 = 100;

/// Rate that all VMs of a region share for sending chunks to another region:
/// half of the slowest cross-region link, which carries 25 Mbit/s for all traffic.
const CROSS_REGION_BYTES_PER_S: u64 = 1_560_000;
/// Minimum rate of one sender. An equal split among many senders would make the
/// one with the most to send delay the whole transfer.
const SENDER_BYTES_PER_S_MIN: u64 = 125_000;
/// Maximum rate of all senders together, below the rate of the slowest link. Many
/// senders rarely send at the same time, but after a loss of power they do.
const SENDERS_BYTES_PER_S_MAX: u64 = 3_000_000;

/// Returns the rate at which each of `senders` VMs of a region may send chunks
/// to another region.
///
/// Chunks sent at a higher rate would delay the cross-region requests that share
/// the link.
#[must_use]
pub fn cross_region_rate(senders: usize) -> BytesPerSecond {
    let senders = senders.max(1) as u64;
    let share = CROSS_REGION_BYTES_PER_S / senders;
    let share_max = SENDERS_BYTES_PER_S_MAX / senders;
    BytesPerSecond(share.max(SENDER_BYTES_PER_S_MIN).min(share_max))
}

/// Token bucket that limits the mean rate of the bytes sent.
///
/// A message may be sent whenever the level of the bucket is not negative, even
/// if the message is larger than the burst. Sending it then makes the level
/// negative, which delays later messages, so no message is too large to send.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: BytesPerSecond,
    /// Level in thousandths of a byte, so that low rates lose nothing to rounding.
    level_milli: i128,
    refilled_at: MonoMs,
}

impl TokenBucket {
    /// Creates a bucket. A rate of 0 means no limit.
    #[must_use]
    pub const fn new(rate: BytesPerSecond, now: MonoMs) -> Self {
        Self {
            rate,
            level_milli: 0,
            refilled_at: now,
        }
    }

    /// Replaces the rate. A negative level is kept.
    pub fn set_rate(&mut self, rate: BytesPerSecond, now: MonoMs) {
        self.refill(now);
        self.rate = rate;
    }

    fn refill(&mut self, now: MonoMs) {
        let elapsed_ms = i128::from(now.since_ms(self.refilled_at));
        let rate = i128::from(self.rate.0);
        let burst = rate * i128::from(BURST_MS);
        // Bytes per second times milliseconds gives thousandths of a byte.
        self.level_milli = (self.level_milli + rate * elapsed_ms).min(burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns the time until the next message may be sent, in milliseconds.
    pub fn wait_ms(&mut self, now: MonoMs) -> u64 {
        if self.rate.0 == 0 {
            return 0;
        }
        self.refill(now);
        if self.level_milli >= 0 {
            return 0;
        }
        let rate = i128::from(self.rate.0);
        u64::try_from((-self.level_milli + rate - 1) / rate).unwrap_or(u64::MAX)
    }

    /// Removes the bytes of a message that is sent now from the bucket.
    pub fn take(&mut self, bytes: u64, now: MonoMs) {
        if self.rate.0 == 0 {
            return;
        }
        self.refill(now);
        self.level_milli -= i128::from(bytes) * 1_000;
    }
}

/// Spaces messages so that a link never queues more than one of them.
///
/// Unlike [`TokenBucket`], it allows no burst after an idle period, so other
/// traffic on the link waits for at most one message.
#[derive(Debug, Clone, Copy)]
pub struct LinkPacer {
    rate: BytesPerSecond,
    idle_at: MonoMs,
}

impl LinkPacer {
    /// Creates a pacer. A rate of 0 means no limit.
    #[must_use]
    pub const fn new(rate: BytesPerSecond) -> Self {
        Self {
            rate,
            idle_at: MonoMs(0),
        }
    }

    /// Returns the time until the next message may be sent, in milliseconds.
    #[must_use]
    pub const fn wait_ms(&self, now: MonoMs) -> u64 {
        self.idle_at.since_ms(now)
    }

    /// Records a message that is sent now and occupies the link until it is
    /// transmitted.
    pub fn take(&mut self, bytes: u64, now: MonoMs) {
        if self.rate.0 == 0 {
            return;
        }
        let transmit_ms = bytes.saturating_mul(1_000).div_ceil(self.rate.0);
        self.idle_at = self.idle_at.max(now).plus_ms(transmit_ms);
    }
}
