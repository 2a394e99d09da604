//! Sizes, rates and shares.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Error returned when text or a number is not a valid size, rate or share.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("invalid {what} `{text}`; {tip}")]
pub struct ParseQuantityError {
    what: &'static str,
    text: String,
    tip: &'static str,
}

/// Units with their sizes in bytes; `B` is last, because the other suffixes end with it.
const BYTE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

fn parse_bytes(text: &str) -> Option<u64> {
    for (suffix, factor) in BYTE_UNITS {
        let Some(number) = text.strip_suffix(suffix) else {
            continue;
        };
        let number: u64 = number.trim().parse().ok()?;
        return number.checked_mul(factor);
    }
    text.parse().ok()
}

fn format_bytes(bytes: u64, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    for (suffix, factor) in BYTE_UNITS {
        if bytes >= factor && bytes.is_multiple_of(factor) {
            return write!(f, "{} {suffix}", bytes / factor);
        }
    }
    write!(f, "{bytes} B")
}

/// Size in bytes.
///
/// # Examples
///
/// ```
/// use masticdock_core::units::ByteCount;
///
/// let size: ByteCount = "4 MiB".parse().unwrap();
/// assert_eq!(size, ByteCount(4 << 20));
/// assert_eq!(size.to_string(), "4 MiB");
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ByteCount(pub u64);

impl fmt::Display for ByteCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        format_bytes(self.0, f)
    }
}

impl FromStr for ByteCount {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_bytes(text)
            .map(Self)
            .ok_or_else(|| ParseQuantityError {
                what: "size",
                text: text.to_owned(),
                tip: "write a whole number with B, KiB, MiB or GiB, for example `4 MiB`",
            })
    }
}

/// Rate in bytes per second; 0 means no limit.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BytesPerSecond(pub u64);

impl BytesPerSecond {
    /// Returns `share` of the rate.
    ///
    /// Multiplies quotient and remainder of the division by 1000 separately, so
    /// that the product does not overflow.
    #[must_use]
    pub fn scaled(self, share: Share) -> Self {
        Self(self.0 / 1000 * u64::from(share.0) + self.0 % 1000 * u64::from(share.0) / 1000)
    }
}

impl fmt::Display for BytesPerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        format_bytes(self.0, f)?;
        f.write_str("/s")
    }
}

impl FromStr for BytesPerSecond {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix("/s").unwrap_or(text);
        parse_bytes(number.trim())
            .map(Self)
            .ok_or_else(|| ParseQuantityError {
                what: "rate",
                text: text.to_owned(),
                tip: "write a whole number with B/s, KiB/s, MiB/s or GiB/s, for example `3 MiB/s`",
            })
    }
}

/// Rate in requests per second, stored in thousandths.
///
/// # Examples
///
/// ```
/// use masticdock_core::units::RequestRate;
///
/// let rate: RequestRate = "1.5".parse().unwrap();
/// assert_eq!(rate, RequestRate::from_milli(1_500));
/// assert_eq!(rate.to_string(), "1.5/s");
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Creates a rate from thousandths of a request per second.
    #[must_use]
    pub const fn from_milli(milli: u64) -> Self {
        Self(milli)
    }

    /// Returns the rate in thousandths of a request per second.
    #[must_use]
    pub const fn as_milli(self) -> u64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    #[allow(clippy::cast_precision_loss)]
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0 as f64 / 1_000.0)
    }
}

impl FromStr for RequestRate {
    type Err = ParseQuantityError;

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix("/s").unwrap_or(text).trim();
        let rate = number.parse::<f64>().ok();
        rate.filter(|rate| rate.is_finite() && *rate >= 0.0)
            .map(|rate| Self((rate * 1_000.0).round() as u64))
            .ok_or_else(|| ParseQuantityError {
                what: "rate",
                text: text.to_owned(),
                tip: "write a number of requests per second, for example `1.5`",
            })
    }
}

/// Fraction from 0 to 1, stored in thousandths (0 to 1000).
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "f64", into = "f64")]
pub struct Share(u16);

impl Share {
    /// The fraction 1.
    pub const WHOLE: Self = Self(1000);

    /// Creates a share from thousandths; values above 1000 are capped at 1000.
    #[must_use]
    pub const fn from_milli(milli: u16) -> Self {
        Self(if milli > 1000 { 1000 } else { milli })
    }

    /// Returns the share in thousandths.
    #[must_use]
    pub const fn as_milli(self) -> u16 {
        self.0
    }

    /// Returns the share as a fraction from 0 to 1.
    #[must_use]
    pub fn as_fraction(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

impl TryFrom<f64> for Share {
    type Error = ParseQuantityError;

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the range is checked before the cast"
    )]
    fn try_from(fraction: f64) -> Result<Self, Self::Error> {
        if !(0.0..=1.0).contains(&fraction) {
            return Err(ParseQuantityError {
                what: "share",
                text: fraction.to_string(),
                tip: "write a fraction from 0 to 1, for example 0.8",
            });
        }
        Ok(Self((fraction * 1000.0).round() as u16))
    }
}

impl From<Share> for f64 {
    fn from(share: Share) -> Self {
        share.as_fraction()
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{} %", self.0 / 10, self.0 % 10)
    }
}

impl FromStr for Share {
    type Err = ParseQuantityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let Ok(fraction) = text.parse::<f64>() else {
            return Err(ParseQuantityError {
                what: "share",
                text: text.to_owned(),
                tip: "write a fraction from 0 to 1, for example 0.8",
            });
        };
        Self::try_from(fraction)
    }
}
