//! When each upstream of a model changes to a new version of its weights.
//!
//! An upstream accepts nothing while it finishes its requests and loads, so the
//! upstreams take turns. All agents compute the same turns from the same list
//! and the time at which they learnt the version; no agreement is needed.

use crate::ids::UpstreamId;
use crate::rendezvous;
use crate::units::MonoMs;

use super::directory::Upstream;
use super::versions::VersionNumber;

/// Times of a change, counted from the moment at which a version was learnt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwitchTiming {
    /// Start of the first turn, in milliseconds; pieces arrive before.
    pub first_ms: u64,
    /// Start of the last turn, in milliseconds; no request begins on the older
    /// version after it.
    pub last_ms: u64,
    /// Time for the last third of a newer version's pieces, in milliseconds.
    pub newer_wait_ms: u64,
}

impl Default for SwitchTiming {
    /// A copy takes 2 s on an agent's link and all copies about 3 s; a version
    /// has to be in force after 8 s.
    fn default() -> Self {
        Self {
            first_ms: 3_000,
            last_ms: 7_200,
            newer_wait_ms: 1_000,
        }
    }
}

/// Turns of the upstreams of one model.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SwitchPlan {
    /// Times of a change.
    pub timing: SwitchTiming,
}

impl SwitchPlan {
    /// Returns when `own` changes to `version`.
    #[must_use]
    pub fn switch_at(
        &self,
        own: &UpstreamId,
        upstreams: &[UpstreamId],
        version: VersionNumber,
        learnt_at: MonoMs,
        deadline: Option<MonoMs>,
    ) -> MonoMs {
        let key = version.0.to_le_bytes();
        let position = rendezvous::position(&key, upstreams, UpstreamId::as_str, own.as_str());
        self.switch_at_position(position.unwrap_or(0), upstreams.len(), learnt_at, deadline)
    }

    /// Returns `upstreams` in the order in which they change to `version`, for who
    /// needs the turns of many.
    #[must_use]
    pub fn switch_order<'a>(
        upstreams: &'a [&'a Upstream],
        version: VersionNumber,
    ) -> Vec<&'a Upstream> {
        let key = version.0.to_le_bytes();
        let ranked = rendezvous::rank(&key, upstreams, |upstream| upstream.id.as_str());
        ranked.into_iter().copied().collect()
    }

    /// Returns when the upstream at `position` of `count` changes to the version
    /// that was learnt at `learnt_at`.
    #[must_use]
    pub fn switch_at_position(
        &self,
        position: usize,
        count: usize,
        learnt_at: MonoMs,
        deadline: Option<MonoMs>,
    ) -> MonoMs {
        let first = learnt_at.plus_ms(self.timing.first_ms);
        let mut last = learnt_at.plus_ms(self.timing.last_ms);
        if let Some(deadline) = deadline {
            // An older version may be due before this one.
            last = last.min(MonoMs(deadline.0.saturating_sub(DUE_MARGIN_MS)));
        }
        let span_ms = last.since_ms(first);
        first.plus_ms(span_ms * position as u64 / count.max(1) as u64)
    }

    /// Returns true when a change that is due at `due_at` can wait for the last
    /// pieces of a newer version, which then replaces both.
    #[must_use]
    pub const fn can_wait_for_newer(&self, now: MonoMs, due_at: MonoMs) -> bool {
        now.0 + self.timing.newer_wait_ms + DUE_MARGIN_MS <= due_at.0
    }
}

/// Time kept between the last turn and the moment at which a change is due, in
/// milliseconds.
const DUE_MARGIN_MS: u64 = 1_000;
