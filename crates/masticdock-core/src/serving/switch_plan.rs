//! Schedule by which the upstreams of a model switch to a new version of its weights.
//!
//! An upstream accepts no requests while it drains and loads, so the switches are
//! spread over time. All agents compute the same schedule from the same list of
//! upstreams and the time at which they learnt of the version, without coordination.

use crate::ids::UpstreamId;
use crate::rendezvous;
use crate::units::MonoMs;

use super::directory::Upstream;
use super::versions::VersionNumber;

/// Times of a rolling switch, relative to when the version was learnt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwitchTiming {
    /// Time of the first switch, in milliseconds; chunks are fetched before.
    pub first_switch_ms: u64,
    /// Time of the last switch, in milliseconds; no request starts on the older
    /// version afterwards.
    pub last_switch_ms: u64,
    /// Time for fetching the last third of a newer version's chunks, in milliseconds.
    pub newer_version_wait_ms: u64,
}

impl Default for SwitchTiming {
    /// Returns times for a link that transfers one copy of the weights in 2 s and all
    /// copies in about 3 s; a version has to be in force after 8 s.
    fn default() -> Self {
        Self {
            first_switch_ms: 3_000,
            last_switch_ms: 7_200,
            newer_version_wait_ms: 1_000,
        }
    }
}

/// Computes when the upstreams of one model switch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SwitchPlan {
    /// Times of a rolling switch.
    pub timing: SwitchTiming,
}

impl SwitchPlan {
    /// Returns when the upstream `own` switches to `version`.
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

    /// Returns `upstreams` in the order in which they switch to `version`, for callers
    /// that need the times of many upstreams.
    #[must_use]
    pub fn switch_order<'a>(
        upstreams: &'a [&'a Upstream],
        version: VersionNumber,
    ) -> Vec<&'a Upstream> {
        let key = version.0.to_le_bytes();
        let ranked = rendezvous::rank(&key, upstreams, |upstream| upstream.id.as_str());
        ranked.into_iter().copied().collect()
    }

    /// Returns when the upstream at `position` of `count` switches to the version that
    /// was learnt at `learnt_at`.
    #[must_use]
    pub fn switch_at_position(
        &self,
        position: usize,
        count: usize,
        learnt_at: MonoMs,
        deadline: Option<MonoMs>,
    ) -> MonoMs {
        let first = learnt_at.plus_ms(self.timing.first_switch_ms);
        let mut last = learnt_at.plus_ms(self.timing.last_switch_ms);
        if let Some(deadline) = deadline {
            // A version between the held one and this one may be due earlier.
            last = last.min(MonoMs(deadline.0.saturating_sub(DEADLINE_MARGIN_MS)));
        }
        let span_ms = last.since_ms(first);
        first.plus_ms(span_ms * position as u64 / count.max(1) as u64)
    }

    /// Returns true when a switch that is due at `due_at` can wait for the last chunks
    /// of a newer version, so that the upstream switches only once.
    #[must_use]
    pub const fn can_wait_for_newer(&self, now: MonoMs, due_at: MonoMs) -> bool {
        now.0 + self.timing.newer_version_wait_ms + DEADLINE_MARGIN_MS <= due_at.0
    }
}

/// Margin between the last switch and the deadline of the switches, in milliseconds.
const DEADLINE_MARGIN_MS: u64 = 1_000;
