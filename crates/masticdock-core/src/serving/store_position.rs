//! Position in the sequence of changes of the store.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Incarnation of the store's contents: a store that comes back from an older copy begins
/// the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreEra(pub u64);

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for StoreEra {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Version of the store in its era. Versions of different eras are not comparable, since a
/// new era gives the lost versions out again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StorePosition {
    /// Era of the version; `None` if the store names none.
    pub era: Option<StoreEra>,
    /// Version of the whole store.
    pub version: u64,
}
