//! Recognition of requests that crash upstreams, by what the requests have in common.
//!
//! A part of a prompt may crash each engine that begins to write on it, so requests that
//! are never sent twice still crash one engine after another. Entries report which
//! requests a crash interrupted, the agent on the VM confirms the crash, and every entry
//! compares the confirmed crashes. An upstream without an agent is one whose crash the entry
//! confirms itself; it tells some agents, which pass it on to every entry.

mod engine;
mod history;
mod records;

pub use engine::{EngineCrashes, EngineCrashesSettings};
pub use history::{BlockedFeature, CrashHistory, CrashHistorySettings, RefutedSuspects};
pub use records::{CrashRecords, CrashRecordsSettings};

use std::net::IpAddr;

use crate::field_hash::hash_fields;
use crate::ids::{ServiceId, WorkspaceId};
use crate::units::MonoMs;

/// Time from the first event of a response within which a request counts as a possible
/// cause of a crash, in milliseconds. A request that wrote for longer is sound.
pub const CRASH_SUSPICION_MS: u64 = 300;

/// Bits of a feature that identify it among those of its service.
const FIELDS_MASK: u64 = u64::MAX >> 16;

/// Hash of something that requests have in common: a part of their prompt, or all that
/// the upstream sees of a repeated request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFeature(pub u64);

impl RequestFeature {
    /// Returns the feature of a part of a prompt.
    #[must_use]
    pub fn of_part(service: &ServiceId, part: &str) -> Self {
        Self::of(service, &[b"part", part.as_bytes()])
    }

    /// Returns the feature of a whole request, which its repeats share.
    #[must_use]
    pub fn of_request(
        service: &ServiceId,
        method: &str,
        path: &str,
        workspace: Option<&WorkspaceId>,
        body: &[u8],
    ) -> Self {
        let workspace = workspace.map_or("", WorkspaceId::as_str);
        Self::of(
            service,
            &[
                b"request",
                method.as_bytes(),
                path.as_bytes(),
                workspace.as_bytes(),
                body,
            ],
        )
    }

    fn of(service: &ServiceId, fields: &[&[u8]]) -> Self {
        let number = |fields: &[&[u8]]| u64::from_le_bytes(hash_fields(fields));
        let service = number(&[service.as_str().as_bytes()]);
        Self(service & !FIELDS_MASK | number(fields) & FIELDS_MASK)
    }

    /// Returns a number that features of the same service have in common.
    const fn service(self) -> u64 {
        self.0 & !FIELDS_MASK
    }
}

/// Features of one request, from the most general to the most specific one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestFeatures {
    parts: Vec<RequestFeature>,
    whole: RequestFeature,
}

impl RequestFeatures {
    /// Creates the features of a request from those of its parts, in order, and of the
    /// whole request.
    #[must_use]
    pub const fn new(parts: Vec<RequestFeature>, whole: RequestFeature) -> Self {
        Self { parts, whole }
    }

    /// Returns the feature of the whole request.
    #[must_use]
    pub const fn whole(&self) -> RequestFeature {
        self.whole
    }

    /// Iterates over all features.
    pub fn iter(&self) -> impl Iterator<Item = RequestFeature> {
        self.parts.iter().copied().chain([self.whole])
    }

    /// Returns the features that other requests usually share. The last part of a prompt
    /// belongs to its request or session; a request without a prompt is often repeated.
    #[must_use]
    pub fn shared(&self) -> &[RequestFeature] {
        match self.parts.split_last() {
            Some((_, shared)) => shared,
            None => std::slice::from_ref(&self.whole),
        }
    }

    /// Returns the features as possible causes of a crash.
    #[must_use]
    pub fn suspects(&self) -> Vec<Suspect> {
        let parts = self.parts.iter().zip(0..WHOLE_REQUEST_DEPTH);
        let mut suspects: Vec<Suspect> = parts
            .map(|(feature, depth)| Suspect {
                feature: *feature,
                depth,
            })
            .collect();
        suspects.push(Suspect {
            feature: self.whole,
            depth: WHOLE_REQUEST_DEPTH,
        });
        suspects
    }
}

/// Depth of a whole request, which is more specific than any part.
pub const WHOLE_REQUEST_DEPTH: u8 = u8::MAX;

/// Possible cause of a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Suspect {
    /// Feature of a request that the crash interrupted.
    pub feature: RequestFeature,
    /// Position of the part in its prompt, or [`WHOLE_REQUEST_DEPTH`].
    pub depth: u8,
}

/// Identifies a process of an upstream; it crashes once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamProcess {
    /// VM of the upstream.
    pub vm: IpAddr,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
}

/// Crash of an upstream and its possible causes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// Process that crashed.
    pub id: UpstreamProcess,
    /// Time of the crash.
    pub at: MonoMs,
    /// Possible causes.
    pub suspects: Vec<Suspect>,
    /// True once an entry has refuted one of the suspects.
    pub reviewed: bool,
}

impl CrashRecord {
    /// Adds suspects that the record does not have, up to `suspects_max` in all; returns
    /// true if it changed.
    fn add_suspects(&mut self, suspects: &[Suspect], suspects_max: usize) -> bool {
        let count = self.suspects.len();
        for suspect in suspects {
            if self.suspects.len() >= suspects_max {
                break;
            }
            if !self.has(suspect.feature) {
                self.suspects.push(*suspect);
            }
        }
        self.suspects.len() > count
    }

    /// Returns whether an upstream of the service crashed.
    fn is_of(&self, service: u64) -> bool {
        let suspect = self.suspects.first();
        suspect.is_some_and(|suspect| suspect.feature.service() == service)
    }

    fn has(&self, feature: RequestFeature) -> bool {
        self.suspects
            .iter()
            .any(|suspect| suspect.feature == feature)
    }
}
