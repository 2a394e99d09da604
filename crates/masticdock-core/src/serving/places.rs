//! Division of an engine's free places among the entries that send to it.
//!
//! Load pattern: more requests arrive than the engines can serve, and many entries learn
//! at the same moment that one place is free. If each of them sent a request, the engine
//! would queue one for each entry, and all of them would be late. The agent beside the
//! engine therefore divides the free places among the entries with each report, and
//! entries take turns.
//!
//! Load pattern: an engine returns empty while all others are full. It has many free
//! slots, but reads prompts one after another, so places are limited by unread prompts
//! as well.
//!
//! Load pattern: an engine is slow for some tenths of a second, because its machine is
//! shared. The prompts that it usually reads between two passes make all streams that run
//! there pause for longer than their objective, so it gets fewer places meanwhile.

use super::slowness::Slowness;

/// Limits on the places of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlaceRules {
    /// Maximum number of queued requests, beyond the slots.
    pub queue_max: u32,
    /// Time that the unread prompts at an engine may take, in milliseconds; about half of
    /// the shortest latency objective.
    pub prefill_budget_ms: u64,
    /// Share of the pause objective that a pass may take, in percent. The rest is for prompts
    /// longer than the mean, and for an engine that becomes slow while it reads.
    pub pause_percent: u64,
}

impl Default for PlaceRules {
    fn default() -> Self {
        Self {
            queue_max: 1,
            prefill_budget_ms: 240,
            pause_percent: 80,
        }
    }
}

/// Load of an engine, as its agent reads it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineRoom {
    /// Number of requests that the engine processes concurrently.
    pub slots: u32,
    /// Requests that run or wait.
    pub total: u32,
    /// Requests whose prompt is probably unread.
    pub pending_prefills: u32,
    /// Prefill time of a prompt of mean length, in milliseconds.
    pub mean_prefill_ms: u64,
    /// Duration of a pass of a full batch, in milliseconds.
    pub full_pass_ms: u64,
    /// Smallest pause objective of the streams there, in milliseconds, if they have one.
    pub pause_objective_ms: Option<u64>,
    /// By how much work takes longer than usual, if the engine tells that.
    pub slowness: Option<Slowness>,
}

impl EngineRoom {
    /// Returns how many requests may be sent to the engine until the next report.
    #[must_use]
    pub fn free_places(&self, rules: &PlaceRules) -> u32 {
        let places = self.slots.saturating_add(rules.queue_max);
        let places = places.saturating_sub(self.total);
        let prefills_max = self.prefill_budget_ms(rules) / self.mean_prefill_ms.max(1);
        // One prompt may always be read, however long it takes.
        let prefills_max = u32::try_from(prefills_max).unwrap_or(u32::MAX).max(1);
        places.min(prefills_max.saturating_sub(self.pending_prefills))
    }

    /// Returns the time that unread prompts may take at the usual speed, in milliseconds.
    fn prefill_budget_ms(&self, rules: &PlaceRules) -> u64 {
        let percent = self
            .slowness
            .map_or(100, |slowness| slowness.percent().max(100));
        let at_usual_speed = |time_ms: u64| time_ms.saturating_mul(100) / u64::from(percent);
        let budget_ms = at_usual_speed(rules.prefill_budget_ms);
        let Some(pause_ms) = self.pause_objective_ms else {
            return budget_ms;
        };
        let pass_ms = at_usual_speed(pause_ms.saturating_mul(rules.pause_percent) / 100);
        budget_ms.min(pass_ms.saturating_sub(self.full_pass_ms))
    }
}

/// Order in which the entries get places; moves on with each division.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlaceRotation {
    next: usize,
}

impl PlaceRotation {
    /// Divides `free` places among `entries` entries, as evenly as possible. The entries
    /// that get one more change with each division.
    pub fn divide(&mut self, free: u32, entries: usize) -> Vec<u32> {
        if entries == 0 {
            return Vec::new();
        }
        let free = free as usize;
        let mut places = vec![u32::try_from(free / entries).unwrap_or(u32::MAX); entries];
        let extra = free % entries;
        for offset in 0..extra {
            places[(self.next + offset) % entries] += 1;
        }
        self.next = (self.next + extra) % entries;
        places
    }
}
