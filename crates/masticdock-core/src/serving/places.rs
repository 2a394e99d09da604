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

/// Limits on the places of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlaceRules {
    /// Maximum number of queued requests, beyond the slots.
    pub queue_max: u32,
    /// Time that the unread prompts at an engine may take, in milliseconds; about half of
    /// the shortest latency objective.
    pub prefill_budget_ms: u64,
}

impl Default for PlaceRules {
    fn default() -> Self {
        Self {
            queue_max: 1,
            prefill_budget_ms: 240,
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
}

impl EngineRoom {
    /// Returns how many requests may be sent to the engine until the next report.
    #[must_use]
    pub fn free_places(&self, rules: &PlaceRules) -> u32 {
        let places = self.slots.saturating_add(rules.queue_max);
        let places = places.saturating_sub(self.total);
        let prefills_max = rules.prefill_budget_ms / self.mean_prefill_ms.max(1);
        // One prompt may always be read, however long it takes.
        let prefills_max = u32::try_from(prefills_max).unwrap_or(u32::MAX).max(1);
        places.min(prefills_max.saturating_sub(self.pending_prefills))
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
