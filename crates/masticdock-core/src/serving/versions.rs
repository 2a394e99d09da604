//! Declared versions of a model's weights and the time each has to be in force.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use crate::units::MonoMs;

/// Version of a model's weights; starts at 1 and increases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionNumber(pub u64);

impl fmt::Display for VersionNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for VersionNumber {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Versions of one model in the order in which this process learnt them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionTimeline {
    learnt: Vec<(VersionNumber, MonoMs)>,
    /// Time in which a version has to be in force, in milliseconds.
    in_force_ms: u64,
}

/// Time of a fetch up to which it gives way to a newer version, in milliseconds:
/// less than a third of the pieces has arrived by then.
const GIVES_WAY_MS: u64 = 1_000;
/// Age of the newest version from which an unfinished older one is given up, in
/// milliseconds: it had 5 s at least, and the newest has to be in force after 8 s.
const GIVEN_UP_MS: u64 = 4_500;

/// Version that upstreams hold before any is declared.
const FIRST_VERSION: VersionNumber = VersionNumber(1);

impl VersionTimeline {
    /// Makes a timeline without declared versions.
    #[must_use]
    pub const fn new(in_force_ms: u64) -> Self {
        Self {
            learnt: Vec::new(),
            in_force_ms,
        }
    }

    /// Records a declared version; returns false when a newer one is known.
    pub fn declare(&mut self, version: VersionNumber, now: MonoMs) -> bool {
        if version <= self.newest() && !self.learnt.is_empty() {
            return false;
        }
        self.learnt.push((version, now));
        true
    }

    /// Returns the newest declared version.
    #[must_use]
    pub fn newest(&self) -> VersionNumber {
        self.learnt
            .last()
            .map_or(FIRST_VERSION, |(version, _)| *version)
    }

    /// Returns when a declared version was learnt.
    #[must_use]
    pub fn learnt_at(&self, version: VersionNumber) -> Option<MonoMs> {
        let (_, at) = self.learnt.iter().find(|(learnt, _)| *learnt == version)?;
        Some(*at)
    }

    /// Returns true when a version that is fetched since `fetching_since` gives
    /// way to the newest one. Agents learn versions at the same time and so decide
    /// alike; none waits for pieces which the others dropped.
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
        let just_begun = now.since_ms(fetching_since) < GIVES_WAY_MS;
        just_begun || now.since_ms(newest_at) >= GIVEN_UP_MS
    }

    /// Returns when requests must no longer begin on `held`, if a newer version is declared.
    #[must_use]
    pub fn begin_until(&self, held: VersionNumber) -> Option<MonoMs> {
        let (_, at) = self.learnt.iter().find(|(version, _)| *version > held)?;
        Some(at.plus_ms(self.in_force_ms))
    }
}
