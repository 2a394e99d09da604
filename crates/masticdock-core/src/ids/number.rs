//! Monotonically increasing numbers.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next higher number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

number_type!(
    /// Number of an accepted configuration; 0 means no configuration.
    Revision
);
number_type!(
    /// Fencing number of a lease or of an order to an engine.
    ///
    /// An order with a lower number than one seen before is stale and is rejected.
    Fence
);
number_type!(
    /// Start time of a process in milliseconds since the Unix epoch; identifies one run of it.
    BootEpoch
);
number_type!(
    /// Number that a member increments to refute a suspicion that it has failed.
    Incarnation
);
number_type!(
    /// Incarnation of the store's contents: a store that comes back from an older copy begins
    /// the next one.
    StoreEra
);
number_type!(
    /// Version number of a model's weights; starts at 1 and increases.
    VersionNumber
);
