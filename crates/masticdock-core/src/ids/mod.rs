//! Newtypes for names, digests and monotonic numbers.

mod digest;
mod name;
mod number;

pub use digest::{Digest, DigestHasher};
pub use name::{
    AdapterId, ChangeId, EntryId, External, ExternalName, ModelId, NAME_LEN_MAX, OperatorId,
    RegionId, RequestKey, RolloutId, ServiceId, UpstreamId, VersionId, VmId, WorkspaceId, ZoneId,
    is_header_value,
};
pub use number::{BootEpoch, Fence, Incarnation, Revision, StoreEra, VersionNumber};

/// Error returned when text is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("invalid {what} `{text}`: {reason}; {tip}")]
pub struct ParseIdError {
    /// Kind of identifier that was expected.
    pub what: &'static str,
    /// Rejected text, truncated to 64 characters.
    pub text: String,
    /// Reason for the rejection.
    pub reason: &'static str,
    /// Suggestion for a correction.
    pub tip: &'static str,
}

impl ParseIdError {
    pub(crate) fn new(
        what: &'static str,
        text: &str,
        reason: &'static str,
        tip: &'static str,
    ) -> Self {
        Self {
            what,
            text: text.chars().take(64).collect(),
            reason,
            tip,
        }
    }
}
