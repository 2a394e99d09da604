//! Declared versions of a model's weights, and when each has to be in force.

pub use crate::ids::VersionNumber;
use crate::units::MonoMs;

use super::observation::ChangeAge;

/// Limits of a deployment on the time until a declared version is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionLimits {
    /// Time after which a declared version has to be in force, in milliseconds.
    pub in_force_ms: u64,
    /// Time for which a process that starts, or runs again after a pause, is excused, in
    /// milliseconds.
    pub excused_ms: u64,
}

impl VersionLimits {
    /// Returns the time from which a version counts as declared that was read at `read_at`. It
    /// is the earliest possible one, but no earlier than needed: older versions may be used
    /// while the process is excused.
    #[must_use]
    pub fn declared_at(&self, read_at: MonoMs, age: ChangeAge) -> MonoMs {
        let earliest = MonoMs(read_at.0.saturating_sub(age.max_ms));
        let Some(running_since) = age.running_since else {
            return earliest;
        };
        let excused_until = running_since.plus_ms(self.excused_ms);
        let needed = MonoMs(excused_until.0.saturating_sub(self.in_force_ms));
        earliest.max(needed).min(read_at)
    }
}

/// Delays of requests on their way to an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PathDelays {
    /// Longest recent wait for a response, beyond the predicted time at the engine, in
    /// milliseconds.
    pub longest_wait_ms: u64,
    /// Delay behind chunks of weights on the upstream's link, as its agent reports it, in
    /// milliseconds.
    pub link_delay_ms: u64,
}

/// Times before the expiry of a version at which requests to it end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BeginMargins {
    /// Shortest time before the expiry from which no request is sent, in milliseconds.
    pub send_min_ms: u64,
    /// Longest time before the expiry from which no request is sent, in milliseconds; a
    /// wait can have other causes than the way, and upstreams left too early are missed.
    pub send_max_ms: u64,
    /// Time for a request to begin beyond its delay on the way, in milliseconds.
    pub begin_ms: u64,
    /// Time before the expiry at which a request that has not begun is cancelled, in
    /// milliseconds; covers the network delay of the cancellation and the age of the
    /// declaration when it was read.
    pub cancel_ms: u64,
}

impl Default for BeginMargins {
    /// Returns margins for versions that expire some seconds after a declaration and
    /// requests that usually begin within 0.4 s.
    fn default() -> Self {
        Self {
            send_min_ms: 1_000,
            send_max_ms: 2_500,
            begin_ms: 600,
            cancel_ms: 400,
        }
    }
}

impl BeginMargins {
    /// Returns the time before the expiry from which no request is sent, in milliseconds.
    fn send_ms(&self, delays: PathDelays) -> u64 {
        let delay_ms = delays.longest_wait_ms.max(delays.link_delay_ms);
        self.begin_ms
            .saturating_add(delay_ms)
            .clamp(self.send_min_ms, self.send_max_ms.max(self.send_min_ms))
    }
}

/// Limits on the start of a request on a version that expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BeginWindow {
    /// Time from which the request must not be sent.
    pub send_until: MonoMs,
    /// Time at which the request is cancelled if it has not begun.
    pub cancel_at: MonoMs,
}

impl BeginWindow {
    /// Returns true while a request may be sent.
    #[must_use]
    pub fn may_send(&self, now: MonoMs) -> bool {
        now < self.send_until
    }
}

/// Versions of one model, in the order in which this process learnt of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionTimeline {
    learnt: Vec<(VersionNumber, MonoMs)>,
    /// Time after which a declared version has to be in force, in milliseconds.
    in_force_ms: u64,
}

/// Duration up to which a running fetch is abandoned at once for a newer version, in
/// milliseconds: less than a third of the chunks has arrived by then.
const NEW_FETCH_MAX_MS: u64 = 1_000;
/// Age of the newest version from which the fetch of an older one is abandoned, in
/// milliseconds: the fetch had at least 5 s, and the newest version has to be in
/// force after 8 s.
const OLDER_FETCH_MAX_MS: u64 = 4_500;

/// Version that upstreams hold before the first declaration.
const FIRST_VERSION: VersionNumber = VersionNumber(1);

impl VersionTimeline {
    /// Creates a timeline without declared versions.
    #[must_use]
    pub const fn new(in_force_ms: u64) -> Self {
        Self {
            learnt: Vec::new(),
            in_force_ms,
        }
    }

    /// Records a declared version; returns false when it or a newer one is known.
    pub fn declare(&mut self, version: VersionNumber, now: MonoMs) -> bool {
        if version <= self.newest() && !self.learnt.is_empty() {
            return false;
        }
        self.learnt.push((version, now));
        true
    }

    /// Returns the newest declared version, or the first version before any declaration.
    #[must_use]
    pub fn newest(&self) -> VersionNumber {
        self.learnt
            .last()
            .map_or(FIRST_VERSION, |(version, _)| *version)
    }

    /// Returns when this process learnt of a declared version.
    #[must_use]
    pub fn learnt_at(&self, version: VersionNumber) -> Option<MonoMs> {
        let (_, at) = self.learnt.iter().find(|(learnt, _)| *learnt == version)?;
        Some(*at)
    }

    /// Returns true when the fetch of `version`, which started at `fetching_since`, is to
    /// be abandoned for the newest version. Agents learn of versions at the same time
    /// and so decide alike; none waits for chunks that the others have dropped.
    #[must_use]
    pub fn is_superseded(
        &self,
        version: VersionNumber,
        fetching_since: MonoMs,
        now: MonoMs,
    ) -> bool {
        let newest = self.newest();
        let Some(newest_at) = self.learnt_at(newest).filter(|_| newest > version) else {
            return false;
        };
        let is_new_fetch = now.since_ms(fetching_since) < NEW_FETCH_MAX_MS;
        is_new_fetch || now.since_ms(newest_at) >= OLDER_FETCH_MAX_MS
    }

    /// Returns the time from which requests must not start on `held`, if a newer version
    /// is declared.
    #[must_use]
    pub fn begin_until(&self, held: VersionNumber) -> Option<MonoMs> {
        let (_, at) = self.learnt.iter().find(|(version, _)| *version > held)?;
        Some(at.plus_ms(self.in_force_ms))
    }

    /// Returns the limits on the start of requests at an upstream that holds `held`, if a
    /// newer version is declared.
    #[must_use]
    pub fn begin_window(
        &self,
        held: VersionNumber,
        delays: PathDelays,
        margins: &BeginMargins,
    ) -> Option<BeginWindow> {
        let until = self.begin_until(held)?;
        Some(BeginWindow {
            send_until: MonoMs(until.0.saturating_sub(margins.send_ms(delays))),
            cancel_at: MonoMs(until.0.saturating_sub(margins.cancel_ms)),
        })
    }
}
