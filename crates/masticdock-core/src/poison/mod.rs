//! Poison requests: requests that crash the engines that run them.

mod tracker;

pub use tracker::{CrashTracker, PoisonPolicy, PoisonVerdict};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::field_hash::hash_fields;
use crate::units::UnixMs;

/// Hash of a request's workspace, service and body, which identifies the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 16]);

/// Crash of an engine while it ran a request, recorded by its agent, which survived.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Fingerprint of the request that was running.
    pub fingerprint: Fingerprint,
    /// VM whose engine crashed.
    pub vm: CompactString,
    /// Time of the crash.
    pub at_unix_ms: UnixMs,
}

impl Fingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn of(workspace: &str, service: &str, body: &[u8]) -> Self {
        let fields = [workspace.as_bytes(), service.as_bytes(), body];
        Self(hash_fields(&fields))
    }
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl std::str::FromStr for Fingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bits = u128::from_str_radix(text, 16)?;
        Ok(Self(bits.to_be_bytes()))
    }
}
