//! Slowness that upstreams tell: by how much work takes longer than usual on their
//! machine at the moment.
//!
//! Load pattern: upstreams share their machines with others. For some tenths of a second
//! work takes two or three times as long on some of them, and requests placed as usual are
//! late there, while the other upstreams have room. The time to the first event of earlier
//! requests shows it only after it ended.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

use crate::units::MonoMs;

/// Factor by which work takes longer than usual, in percent; 100 is usual.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slowness(u16);

/// Reason why a figure is no slowness.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
pub enum SlownessError {
    /// The figure is not a number.
    #[error("the slowness is not a number; an upstream tells a percentage, 100 as usual")]
    NotANumber,
    /// The figure is out of range.
    #[error("the slowness {0} is not between 10 and 5,000 percent")]
    OutOfRange(f64),
}

/// Percentages that are accepted. An upstream that is slower than the maximum hardly
/// works at all, and one that is quicker than the minimum would attract every request.
const PERCENT_RANGE: (f64, f64) = (10.0, 5_000.0);

impl Slowness {
    /// Creates a slowness from a percentage.
    ///
    /// # Errors
    ///
    /// Returns an error if the percentage is not a number or out of range.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn from_percent(percent: f64) -> Result<Self, SlownessError> {
        if percent.is_nan() {
            return Err(SlownessError::NotANumber);
        }
        let (min, max) = PERCENT_RANGE;
        if !(min..=max).contains(&percent) {
            return Err(SlownessError::OutOfRange(percent));
        }
        Ok(Self(percent.round() as u16))
    }

    /// Returns the percentage.
    #[must_use]
    pub const fn percent(self) -> u16 {
        self.0
    }

    /// Returns the factor; 1 is usual.
    #[must_use]
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

impl fmt::Display for Slowness {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}%", self.0)
    }
}

impl FromStr for Slowness {
    type Err = SlownessError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let percent = text.trim().parse();
        Self::from_percent(percent.map_err(|_| SlownessError::NotANumber)?)
    }
}

/// Half-life of a slowness told in an answer, in milliseconds; nothing tells that it ended.
const ANSWER_HALF_LIFE_MS: f64 = 300.0;
/// Age from which a slowness told by an agent no longer counts, in milliseconds. The agent
/// sends each change, so the latest one holds until datagrams are lost.
const REPORT_AGE_MAX_MS: u64 = 1_000;

/// Minimum interval between two log lines about invalid figures of one upstream, in
/// milliseconds; each of its answers may contain one.
const INVALID_LOG_INTERVAL_MS: u64 = 10_000;

/// Latest slowness that an upstream or its agent told.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ToldSlowness {
    by_answer: Option<(Slowness, MonoMs)>,
    by_report: Option<(Slowness, MonoMs)>,
    invalid_logged_at: Option<MonoMs>,
}

impl ToldSlowness {
    /// Records a slowness that an answer told.
    pub fn record_answer(&mut self, slowness: Slowness, now: MonoMs) {
        self.by_answer = Some((slowness, now));
    }

    /// Records what the report of an agent tells.
    pub fn record_report(&mut self, slowness: Option<Slowness>, now: MonoMs) {
        self.by_report = slowness.map(|slowness| (slowness, now));
    }

    /// Records an invalid figure, which is ignored; returns whether to log it.
    pub fn record_invalid(&mut self, now: MonoMs) -> bool {
        let is_due = self
            .invalid_logged_at
            .is_none_or(|at| now.since_ms(at) >= INVALID_LOG_INTERVAL_MS);
        if is_due {
            self.invalid_logged_at = Some(now);
        }
        is_due
    }

    /// Returns the factor by which the upstream is slower than usual, as far as it told;
    /// `None` if nothing recent is known.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn factor(&self, now: MonoMs) -> Option<f64> {
        if let Some((slowness, at)) = self.by_report
            && now.since_ms(at) < REPORT_AGE_MAX_MS
        {
            return Some(slowness.factor());
        }
        let (slowness, at) = self.by_answer?;
        let decay = 0.5_f64.powf(now.since_ms(at) as f64 / ANSWER_HALF_LIFE_MS);
        Some(1.0 + (slowness.factor() - 1.0) * decay)
    }
}
