//! Token bucket that paces bytes.

use crate::units::{BytesPerSecond, MonoMs};

/// Time whose bytes may be sent at once after a pause, in milliseconds.
const BURST_MS: u64 = 100;

/// Bytes a second that all VMs of a region together send to another one: half of
/// what the thinnest link between regions carries for all traffic (25 Mbit/s).
const REGION_BYTES_PER_S: u64 = 1_560_000;
/// Least rate of one VM, in bytes a second: with an equal split of many the VM
/// that sends most holds all up. 24 of them, the most of a region seen, together
/// stay below the rate of the link.
const SHARE_BYTES_PER_S_MIN: u64 = 125_000;

/// Returns the rate at which each of `senders` VMs of a region sends to another
/// region. Requests that cross between regions queue behind what goes beyond.
#[must_use]
pub fn cross_region_rate(senders: usize) -> BytesPerSecond {
    let share = REGION_BYTES_PER_S / senders.max(1) as u64;
    BytesPerSecond(share.max(SHARE_BYTES_PER_S_MIN))
}

/// Lets bytes through at a mean rate.
///
/// A message larger than the burst is let through when the bucket holds
/// anything, and is paid for afterwards, so no message is too large to pass.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: BytesPerSecond,
    /// Bytes in thousandths, so that slow rates lose nothing to rounding.
    level_milli: i128,
    filled_at: MonoMs,
}

impl TokenBucket {
    /// Makes a bucket; a rate of 0 means no limit.
    #[must_use]
    pub const fn new(rate: BytesPerSecond, now: MonoMs) -> Self {
        Self {
            rate,
            level_milli: 0,
            filled_at: now,
        }
    }

    /// Replaces the rate; what was sent before is still paid for.
    pub fn set_rate(&mut self, rate: BytesPerSecond, now: MonoMs) {
        self.fill(now);
        self.rate = rate;
    }

    fn fill(&mut self, now: MonoMs) {
        let elapsed_ms = i128::from(now.since_ms(self.filled_at));
        let rate = i128::from(self.rate.0);
        let burst = rate * i128::from(BURST_MS);
        // Bytes per second times milliseconds is thousandths of bytes.
        self.level_milli = (self.level_milli + rate * elapsed_ms).min(burst);
        self.filled_at = self.filled_at.max(now);
    }

    /// Returns the time until the next message may be sent, in milliseconds.
    pub fn wait_ms(&mut self, now: MonoMs) -> u64 {
        if self.rate.0 == 0 {
            return 0;
        }
        self.fill(now);
        if self.level_milli >= 0 {
            return 0;
        }
        let rate = i128::from(self.rate.0);
        u64::try_from((-self.level_milli + rate - 1) / rate).unwrap_or(u64::MAX)
    }

    /// Takes the bytes of a message that is sent now.
    pub fn take(&mut self, bytes: u64, now: MonoMs) {
        if self.rate.0 == 0 {
            return;
        }
        self.fill(now);
        self.level_milli -= i128::from(bytes) * 1_000;
    }
}

/// Spaces messages so that a link never queues more than one of them.
///
/// Unlike [`TokenBucket`] it saves nothing up during a pause, so other traffic
/// of the link waits for one message at most.
#[derive(Debug, Clone, Copy)]
pub struct LinkPacer {
    rate: BytesPerSecond,
    free_at: MonoMs,
}

impl LinkPacer {
    /// Makes a pacer; a rate of 0 means no limit.
    #[must_use]
    pub const fn new(rate: BytesPerSecond) -> Self {
        Self {
            rate,
            free_at: MonoMs(0),
        }
    }

    /// Returns the time until the next message may be sent, in milliseconds.
    #[must_use]
    pub const fn wait_ms(&self, now: MonoMs) -> u64 {
        self.free_at.since_ms(now)
    }

    /// Takes the time of a message that is sent now.
    pub fn take(&mut self, bytes: u64, now: MonoMs) {
        if self.rate.0 == 0 {
            return;
        }
        let took_ms = bytes.saturating_mul(1_000).div_ceil(self.rate.0);
        self.free_at = self.free_at.max(now).plus_ms(took_ms);
    }
}
