//! Validation of the fields of a single resource.

use std::fmt;

use compact_str::CompactString;

use super::{Resource, Rollout, Service};

/// Kind of a [`ResourceError`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum ResourceErrorKind {
    /// There is no such kind of resource.
    UnknownKind,
    /// A field is out of range.
    OutOfRange,
    /// A field refers to a resource that does not exist.
    MissingReference,
    /// The resource conflicts with another resource.
    Conflict,
}

/// Error returned for a resource that is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResourceError {
    kind: ResourceErrorKind,
    field: CompactString,
    message: CompactString,
    tip: CompactString,
}

impl ResourceError {
    /// Creates an error about `field`.
    #[must_use]
    pub fn new(
        kind: ResourceErrorKind,
        field: impl Into<CompactString>,
        message: impl Into<CompactString>,
        tip: impl Into<CompactString>,
    ) -> Self {
        Self {
            kind,
            field: field.into(),
            message: message.into(),
            tip: tip.into(),
        }
    }

    /// Returns the kind of the error.
    #[must_use]
    pub const fn kind(&self) -> ResourceErrorKind {
        self.kind
    }

    /// Returns the name of the invalid field.
    #[must_use]
    pub fn field(&self) -> &str {
        &self.field
    }

    /// Returns a suggestion for a correction.
    #[must_use]
    pub fn tip(&self) -> &str {
        &self.tip
    }
}

impl fmt::Display for ResourceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "field `{}`: {}; tip: {}",
            self.field, self.message, self.tip
        )
    }
}

impl std::error::Error for ResourceError {}

/// Maximum timeout of a request: one hour.
const TIMEOUT_MS_MAX: u64 = 3_600_000;

pub(super) fn check(resource: &Resource) -> Result<(), ResourceError> {
    match resource {
        Resource::Rollout(rollout) => check_rollout(rollout),
        Resource::Service(service) => check_service(service),
        Resource::Version(version) => check_size(version.size_bytes.0),
        Resource::Adapter(adapter) => check_size(adapter.size_bytes.0),
        Resource::Model(_)
        | Resource::Workspace(_)
        | Resource::VmLabels(_)
        | Resource::VmMark(_) => Ok(()),
    }
}

fn check_rollout(rollout: &Rollout) -> Result<(), ResourceError> {
    if rollout.max_load_failures == 0 {
        return Err(ResourceError::new(
            ResourceErrorKind::OutOfRange,
            "max_load_failures",
            "it is 0, so the rollout would halt before it starts",
            "use 1 or more",
        ));
    }
    Ok(())
}

fn check_service(service: &Service) -> Result<(), ResourceError> {
    if service.timeout_ms == 0 || service.timeout_ms > TIMEOUT_MS_MAX {
        return Err(ResourceError::new(
            ResourceErrorKind::OutOfRange,
            "timeout_ms",
            "it is outside 1 to 3600000",
            "use the longest time that a caller waits, for example 120000",
        ));
    }
    Ok(())
}

fn check_size(size_bytes: u64) -> Result<(), ResourceError> {
    if size_bytes == 0 {
        return Err(ResourceError::new(
            ResourceErrorKind::OutOfRange,
            "size_bytes",
            "it is 0",
            "copy the size from the manifest",
        ));
    }
    Ok(())
}
