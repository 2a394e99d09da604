//! Probes under way and the order in which members are probed.

use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use rand::Rng;
use rand::seq::SliceRandom;

use crate::units::MonoMs;

/// One probe that waits for its ack.
#[derive(Debug, Clone)]
pub(super) struct Probe {
    pub(super) target: CompactString,
    pub(super) sent: MonoMs,
    /// True once other members were asked to probe the target.
    pub(super) indirect: bool,
}

/// Ping sent on behalf of another member.
#[derive(Debug, Clone)]
pub(super) struct Relay {
    pub(super) requester: SocketAddr,
    pub(super) requester_seq: u64,
    pub(super) sent: MonoMs,
}

/// Probes and relays under way.
#[derive(Debug, Default)]
pub(super) struct Probes {
    pub(super) pending: HashMap<u64, Probe>,
    pub(super) relays: HashMap<u64, Relay>,
    order: Vec<CompactString>,
}

impl Probes {
    /// Returns the next member to probe; each is probed once a round, in random order.
    pub(super) fn next_target(
        &mut self,
        candidates: impl Fn() -> Vec<CompactString>,
        still_wanted: impl Fn(&str) -> bool,
        rng: &mut impl Rng,
    ) -> Option<CompactString> {
        for _ in 0..2 {
            while let Some(id) = self.order.pop() {
                if still_wanted(&id) {
                    return Some(id);
                }
            }
            self.order = candidates();
            self.order.shuffle(rng);
        }
        None
    }

    /// Returns true when a probe of `id` is under way.
    pub(super) fn is_probing(&self, id: &str) -> bool {
        self.pending.values().any(|probe| probe.target == id)
    }

    /// Moves all points in time forward after this process was paused.
    pub(super) fn shift(&mut self, by_ms: u64) {
        for probe in self.pending.values_mut() {
            probe.sent = probe.sent.plus_ms(by_ms);
        }
        for relay in self.relays.values_mut() {
            relay.sent = relay.sent.plus_ms(by_ms);
        }
    }
}
