//! Names of resources, machines and people.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::ParseIdError;

/// Longest accepted name, in bytes; keeps gossip datagrams small.
pub const NAME_LEN_MAX: usize = 128;

fn check(what: &'static str, text: &str) -> Result<CompactString, ParseIdError> {
    if text.is_empty() {
        return Err(ParseIdError::new(what, text, "it is empty", "give a name"));
    }
    if text.len() > NAME_LEN_MAX {
        return Err(ParseIdError::new(
            what,
            text,
            "it is longer than 128 bytes",
            "shorten it",
        ));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':' | '@');
    if !text.chars().all(allowed) {
        return Err(ParseIdError::new(
            what,
            text,
            "it holds a character other than letters, digits, `-`, `_`, `.`, `:` and `@`",
            "replace the character, for example by `-`",
        ));
    }
    Ok(CompactString::new(text))
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(self.0.as_str())
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check($what, text).map(Self)
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = ParseIdError;

            fn try_from(text: CompactString) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for CompactString {
            fn from(id: $name) -> Self {
                id.0
            }
        }
    };
}

name_type!(
    /// Names a VM that runs an upstream and its agent.
    VmId, "VM id"
);
name_type!(
    /// Names an entry process.
    EntryId, "entry id"
);
name_type!(
    /// Names a region.
    RegionId, "region"
);
name_type!(
    /// Names an availability zone.
    ZoneId, "availability zone"
);
name_type!(
    /// Names a workspace, the unit of limits and authentication.
    WorkspaceId, "workspace"
);
name_type!(
    /// Names a service that callers address.
    ServiceId, "service"
);
name_type!(
    /// Names one incarnation of an upstream of a service.
    UpstreamId, "upstream id"
);
name_type!(
    /// Names a model.
    ModelId, "model"
);
name_type!(
    /// Names a version of a model.
    VersionId, "version"
);
name_type!(
    /// Names an adapter of a base version.
    AdapterId, "adapter"
);
name_type!(
    /// Names a rollout.
    RolloutId, "rollout"
);
name_type!(
    /// Names an operator.
    OperatorId, "operator"
);
name_type!(
    /// Identifies a configuration change; made by the client that proposes it.
    ChangeId, "change id"
);
name_type!(
    /// Carries the value of an `Idempotency-Key` header.
    RequestKey, "idempotency key"
);
