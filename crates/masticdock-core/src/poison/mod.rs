//! Requests that crash the upstreams that run them.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::units::UnixMs;

/// Identifies a request by workspace, service and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 16]);

/// States that an engine crashed while it ran a request and its agent lived on.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// VM whose engine crashed.
    pub vm: CompactString,
    /// Time of the crash.
    pub at_unix_ms: UnixMs,
}
