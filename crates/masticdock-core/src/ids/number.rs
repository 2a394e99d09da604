//! Ordered numbers that only rise.

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
    /// Numbers an accepted configuration; 0 means that none was adopted yet.
    Revision
);
number_type!(
    /// Fencing number of a lease or of an order to an engine.
    Fence
);
number_type!(
    /// Start of a process in milliseconds since the Unix epoch; tells restarts apart.
    BootEpoch
);
number_type!(
    /// Raised by a member to refute a suspicion about itself.
    Incarnation
);
