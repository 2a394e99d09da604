//! Probes in flight and the order in which members are probed.

use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use rand::Rng;
use rand::seq::SliceRandom;

use crate::units::MonoMs;

/// Probe that waits for its ack.
#[derive(Debug, Clone)]
pub(super) struct Probe {
    pub(super) target: CompactString,
    pub(super) sent_at: MonoMs,
    /// True once other members were asked to ping the target.
    pub(super) indirect_requested: bool,
}

/// Ping sent at the request of another member, to which its ack is relayed.
#[derive(Debug, Clone)]
pub(super) struct Relay {
    pub(super) requester: SocketAddr,
    pub(super) requester_seq: u64,
    pub(super) sent_at: MonoMs,
}

/// Probes and relayed pings in flight, by sequence number.
#[derive(Debug, Default)]
pub(super) struct Probes {
    pub(super) pending: HashMap<u64, Probe>,
    pub(super) relays: HashMap<u64, Relay>,
    probe_order: Vec<CompactString>,
}

impl Probes {
    /// Returns the next member to probe.
    ///
    /// Each member is probed once per round, and each round is in a new random order.
    pub(super) fn next_target(
        &mut self,
        candidates: impl Fn() -> Vec<CompactString>,
        is_eligible: impl Fn(&str) -> bool,
        rng: &mut impl Rng,
    ) -> Option<CompactString> {
        for _ in 0..2 {
            while let Some(id) = self.probe_order.pop() {
                if is_eligible(&id) {
                    return Some(id);
                }
            }
            self.probe_order = candidates();
            self.probe_order.shuffle(rng);
        }
        None
    }

    /// Returns true when a probe of `id` is in flight.
    pub(super) fn is_probing(&self, id: &str) -> bool {
        self.pending.values().any(|probe| probe.target == id)
    }

    /// Shifts all send times by the length of a pause of this process, so that the
    /// pause does not count towards timeouts.
    pub(super) fn shift_times(&mut self, by_ms: u64) {
        for probe in self.pending.values_mut() {
            probe.sent_at = probe.sent_at.plus_ms(by_ms);
        }
        for relay in self.relays.values_mut() {
            relay.sent_at = relay.sent_at.plus_ms(by_ms);
        }
    }
}
