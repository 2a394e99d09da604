//! Names of resources, VMs, entries and operators.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Deserializer, Serialize};

use super::ParseIdError;

/// Maximum length of a name, in bytes; bounds the size of gossip datagrams.
pub const NAME_LEN_MAX: usize = 128;

fn validate(what: &'static str, text: &str) -> Result<CompactString, ParseIdError> {
    let name = validate_external(what, text)?;
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
    Ok(name)
}

/// Returns whether the value of an HTTP header can carry a name unchanged: it holds no control
/// characters, and receivers remove spaces around it.
#[must_use]
pub fn is_header_value(name: &str) -> bool {
    let is_control = |byte: u8| (byte < b' ' && byte != b'\t') || byte == 0x7f;
    name.trim_matches([' ', '\t']) == name && !name.bytes().any(is_control)
}

/// Name that another system may have chosen, by its own rules.
///
/// The rules of [`FromStr`] are those for the names of our own resources, which occur in
/// selectors and commands. A name that another system chose is taken as it is.
pub trait ExternalName: Sized {
    /// Creates a name from any text that is not empty.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is empty.
    fn from_external(text: &str) -> Result<Self, ParseIdError>;
}

/// Name that is decoded by the rules of [`ExternalName`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct External<T>(pub T);

impl<'de, T: ExternalName> Deserialize<'de> for External<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = CompactString::deserialize(deserializer)?;
        let name = T::from_external(&text).map_err(serde::de::Error::custom)?;
        Ok(Self(name))
    }
}

fn validate_external(what: &'static str, text: &str) -> Result<CompactString, ParseIdError> {
    if text.is_empty() {
        return Err(ParseIdError::new(what, text, "it is empty", "give a name"));
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
                validate($what, text).map(Self)
            }
        }

        impl ExternalName for $name {
            fn from_external(text: &str) -> Result<Self, ParseIdError> {
                validate_external($what, text).map(Self)
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
    /// Name of a VM that runs an upstream and its agent.
    VmId, "VM id"
);
name_type!(
    /// Name of an entry process.
    EntryId, "entry id"
);
name_type!(
    /// Name of a region.
    RegionId, "region"
);
name_type!(
    /// Name of an availability zone.
    ZoneId, "availability zone"
);
name_type!(
    /// Name of a workspace, the unit of limits and authentication.
    WorkspaceId, "workspace"
);
name_type!(
    /// Name of a service that callers address.
    ServiceId, "service"
);
name_type!(
    /// Name of one incarnation of an upstream of a service.
    UpstreamId, "upstream id"
);
name_type!(
    /// Name of a model.
    ModelId, "model"
);
name_type!(
    /// Name of a version of a model.
    VersionId, "version"
);
name_type!(
    /// Name of an adapter of a base version.
    AdapterId, "adapter"
);
name_type!(
    /// Name of a rollout.
    RolloutId, "rollout"
);
name_type!(
    /// Name of an operator.
    OperatorId, "operator"
);
name_type!(
    /// Id of a configuration change, generated by the client that proposes it.
    ChangeId, "change id"
);
name_type!(
    /// Value of an `Idempotency-Key` header.
    RequestKey, "idempotency key"
);
