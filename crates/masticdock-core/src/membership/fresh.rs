//! Records that still have to be spread.

use std::collections::HashMap;
use std::hash::Hash;

/// Sends of one record beyond one for each doubling of the fleet.
///
/// A process that is sent `k` copies on average misses a record with
/// probability `e^-k`: with 16 copies among 3,100 processes, 0.0004 processes
/// miss an update. Three copies for each doubling cost 2.4 times the bytes.
const SENDS_EXTRA: u32 = 4;

/// Returns how often a process sends one fresh record in a fleet of `members`.
#[must_use]
pub const fn send_limit(members: usize) -> u32 {
    let doublings = usize::BITS - members.leading_zeros();
    doublings + SENDS_EXTRA
}

/// Keys of fresh records with the number of times each was sent.
#[derive(Debug, Clone)]
pub struct FreshQueue<K> {
    sent: HashMap<K, Entry>,
    next_order: u64,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    count: u32,
    order: u64,
}

impl<K> Default for FreshQueue<K> {
    fn default() -> Self {
        Self {
            sent: HashMap::new(),
            next_order: 0,
        }
    }
}

impl<K: Clone + Eq + Hash> FreshQueue<K> {
    /// Adds a record, or starts it anew when it changed.
    pub fn refresh(&mut self, key: K) {
        self.next_order += 1;
        let entry = Entry {
            count: 0,
            order: self.next_order,
        };
        self.sent.insert(key, entry);
    }

    /// Returns true when the record still has to be spread.
    pub fn contains(&self, key: &K) -> bool {
        self.sent.contains_key(key)
    }

    /// Returns true when nothing has to be spread.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    /// Returns the number of records to be spread.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sent.len()
    }

    /// Takes the least-sent records whose sizes fit into `room`, newest first,
    /// and counts one send of each; a record sent `limit` times is dropped.
    pub fn take(&mut self, room: usize, limit: u32, size: impl Fn(&K) -> usize) -> Vec<K> {
        let mut order: Vec<(u32, u64, K)> = Vec::with_capacity(self.sent.len());
        for (key, entry) in &self.sent {
            order.push((entry.count, u64::MAX - entry.order, key.clone()));
        }
        order.sort_unstable_by_key(|(count, age, _)| (*count, *age));
        let mut left = room;
        let mut taken = Vec::new();
        for (_, _, key) in order {
            let needed = size(&key);
            if needed > left {
                continue;
            }
            left -= needed;
            self.count_send(&key, limit);
            taken.push(key);
        }
        taken
    }

    fn count_send(&mut self, key: &K, limit: u32) {
        let Some(entry) = self.sent.get_mut(key) else {
            return;
        };
        entry.count += 1;
        if entry.count >= limit {
            self.sent.remove(key);
        }
    }
}
