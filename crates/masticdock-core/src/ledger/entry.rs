//! Stored entry of one request key.

use std::fmt;
use std::str::FromStr;

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::ids::VmId;
use crate::poison::Fingerprint;

/// Maximum size of the body of a stored response. For a larger response the entry
/// records only that the request ran.
pub const RESPONSE_BYTES_MAX: usize = 64 << 10;

/// Unique identifier of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimId(CompactString);

impl ClaimId {
    /// Creates a claim id from 128 random bits.
    #[must_use]
    pub fn from_random(bits: u128) -> Self {
        Self(format_compact!("{bits:032x}"))
    }

    /// Returns the claim id as 32 hexadecimal digits.
    #[must_use]
    pub fn as_str(&self) -> &str {
        self.0.as_str()
    }
}

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for ClaimId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self::from_random)
    }
}

/// Response to a request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: CompactString,
    /// Version that served the request; `None` for plain services.
    pub version: Option<CompactString>,
    /// Body.
    pub body: String,
}

/// State of a request key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryState {
    /// An agent is running the request or is about to run it.
    Claimed,
    /// The request ran; `None` if its response was too large to store.
    Done(Option<StoredResponse>),
    /// The claim was released before the request ran.
    Released,
}

impl EntryState {
    /// Returns the name under which the state is stored.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Claimed => "claimed",
            Self::Done(_) => "done",
            Self::Released => "released",
        }
    }
}

/// Entry of one request key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerEntry {
    /// Claim that wrote the entry.
    pub claim: ClaimId,
    /// VM of the agent that claimed the key.
    pub vm: VmId,
    /// Fingerprint of the request that the key belongs to.
    pub fingerprint: Fingerprint,
    /// State of the key.
    pub state: EntryState,
}

impl LedgerEntry {
    /// Creates the entry of a new claim.
    #[must_use]
    pub const fn claimed(claim: ClaimId, vm: VmId, fingerprint: Fingerprint) -> Self {
        Self {
            claim,
            vm,
            fingerprint,
            state: EntryState::Claimed,
        }
    }

    /// Returns the entry after the request ran.
    #[must_use]
    pub fn done(&self, response: StoredResponse) -> Self {
        let fits = response.body.len() <= RESPONSE_BYTES_MAX;
        Self {
            state: EntryState::Done(fits.then_some(response)),
            ..self.clone()
        }
    }

    /// Returns the entry after the claim was released.
    ///
    /// `new_claim` must be a new id for each write. If a tag occurred twice, a delayed
    /// claim that is conditional on it could still take effect.
    #[must_use]
    pub fn released(&self, new_claim: ClaimId) -> Self {
        Self {
            claim: new_claim,
            state: EntryState::Released,
            ..self.clone()
        }
    }

    /// Returns the tag, which is unique for each combination of state and claim.
    #[must_use]
    pub fn tag(&self) -> CompactString {
        format_compact!("{}/{}", self.state.as_str(), self.claim)
    }

    /// Returns the names and values of the stored attributes.
    #[must_use]
    pub fn to_attributes(&self) -> Vec<(&'static str, String)> {
        let mut attributes = vec![
            ("tag", self.tag().to_string()),
            ("claim", self.claim.to_string()),
            ("vm", self.vm.to_string()),
            ("state", self.state.as_str().to_owned()),
            ("fingerprint", self.fingerprint.to_string()),
        ];
        let EntryState::Done(Some(response)) = &self.state else {
            return attributes;
        };
        attributes.push(("status", response.status.to_string()));
        attributes.push(("content_type", response.content_type.to_string()));
        attributes.push(("body", response.body.clone()));
        if let Some(version) = &response.version {
            attributes.push(("version", version.to_string()));
        }
        attributes
    }

    /// Parses the stored attributes. Returns `None` if one is missing or malformed.
    pub fn from_attributes<'a>(text: impl Fn(&str) -> Option<&'a str>) -> Option<Self> {
        let state = match text("state")? {
            "claimed" => EntryState::Claimed,
            "released" => EntryState::Released,
            "done" => EntryState::Done(stored_response(&text)),
            _ => return None,
        };
        Some(Self {
            claim: text("claim")?.parse().ok()?,
            vm: text("vm")?.parse().ok()?,
            fingerprint: text("fingerprint")?.parse().ok()?,
            state,
        })
    }
}

fn stored_response<'a>(text: &impl Fn(&str) -> Option<&'a str>) -> Option<StoredResponse> {
    Some(StoredResponse {
        status: text("status")?.parse().ok()?,
        content_type: CompactString::new(text("content_type")?),
        version: text("version").map(CompactString::new),
        // The table protocol may omit an empty text attribute.
        body: text("body").unwrap_or("").to_owned(),
    })
}
