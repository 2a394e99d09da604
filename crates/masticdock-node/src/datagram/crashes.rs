//! Datagrams about upstreams: their crashes, which requests entries suspect and refute, and
//! limits that upstreams name.

use std::net::{IpAddr, Ipv6Addr};

use masticdock_core::serving::{CrashRecord, RequestFeature, Suspect, UpstreamProcess};
use masticdock_core::units::{MonoMs, RequestRate};

use super::DATAGRAM_BYTES_MAX;

/// Prefix of a report of suspects.
const SUSPECTS_MAGIC: [u8; 4] = *b"mds1";
/// Prefix of a confirmed crash.
const CRASH_MAGIC: [u8; 4] = *b"mdc2";
/// Prefix of refuted suspects.
const REFUTED_MAGIC: [u8; 4] = *b"mdf2";
/// Prefix of a limit.
const LIMITED_MAGIC: [u8; 4] = *b"mdl1";
/// Length of an encoded suspect, in bytes.
const SUSPECT_BYTES: usize = 9;
/// Length of an encoded feature, in bytes.
const FEATURE_BYTES: usize = 8;
/// Length of the fields before the suspects or features, in bytes.
const HEAD_BYTES_MAX: usize = 33;
/// Maximum number of suspects or features in a datagram.
const SUSPECTS_MAX: usize = (DATAGRAM_BYTES_MAX - HEAD_BYTES_MAX) / SUSPECT_BYTES;

/// Report of an entry that the connection of a request to the engine broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Suspects {
    /// Start time of the engine's process, in milliseconds since the Unix epoch, if the
    /// entry knows it.
    pub(crate) started_at_ms: Option<u64>,
    /// Features of the request.
    pub(crate) suspects: Vec<Suspect>,
}

/// Confirmed crash of an upstream. A crash with many suspects takes several datagrams, which
/// the receiver merges.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Crash {
    /// Process that crashed.
    pub(crate) id: UpstreamProcess,
    /// Time since the crash, in milliseconds.
    pub(crate) age_ms: u32,
    /// True once an entry has refuted one of the suspects.
    pub(crate) reviewed: bool,
    /// Possible causes.
    pub(crate) suspects: Vec<Suspect>,
}

/// Suspects of a crash that an entry has refuted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Refuted {
    /// Process that crashed.
    pub(crate) id: UpstreamProcess,
    /// Features of requests that succeeded after the crash.
    pub(crate) features: Vec<RequestFeature>,
}

/// Limit that an upstream named in an answer to an entry. Agents pass it on to all entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Limited {
    /// Process that named the limit.
    pub(crate) process: UpstreamProcess,
    /// Requests a second that it takes from all entries together.
    pub(crate) rate: RequestRate,
}

impl Limited {
    pub(super) fn encode(self) -> Vec<u8> {
        let mut bytes = LIMITED_MAGIC.to_vec();
        put_process(&mut bytes, self.process);
        bytes.extend_from_slice(&self.rate.as_milli().to_le_bytes());
        bytes
    }

    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let (process, rest) = take_process(bytes.strip_prefix(&LIMITED_MAGIC)?)?;
        let rate = u64::from_le_bytes(rest.try_into().ok()?);
        Some(Self {
            process,
            rate: RequestRate::from_milli(rate),
        })
    }
}

impl Suspects {
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut bytes = SUSPECTS_MAGIC.to_vec();
        // 0 encodes an unknown start time.
        bytes.extend_from_slice(&self.started_at_ms.unwrap_or(0).to_le_bytes());
        put_suspects(&mut bytes, &self.suspects);
        bytes
    }

    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let (started_at_ms, rest) = take_u64(bytes.strip_prefix(&SUSPECTS_MAGIC)?)?;
        Some(Self {
            started_at_ms: (started_at_ms > 0).then_some(started_at_ms),
            suspects: read_suspects(rest)?,
        })
    }
}

impl Crash {
    /// Returns the datagrams of a crash; one without suspects needs none.
    pub(crate) fn of_record(record: &CrashRecord, now: MonoMs) -> impl Iterator<Item = Self> {
        let age_ms = u32::try_from(now.since_ms(record.at)).unwrap_or(u32::MAX);
        let chunks = record.suspects.chunks(SUSPECTS_MAX);
        chunks.map(move |suspects| Self {
            id: record.id,
            age_ms,
            reviewed: record.reviewed,
            suspects: suspects.to_vec(),
        })
    }

    /// Returns the crash as a record that was received at `now`.
    pub(crate) fn to_record(&self, now: MonoMs) -> CrashRecord {
        CrashRecord {
            id: self.id,
            at: MonoMs(now.0.saturating_sub(self.age_ms.into())),
            suspects: self.suspects.clone(),
            reviewed: self.reviewed,
        }
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        let mut bytes = CRASH_MAGIC.to_vec();
        put_process(&mut bytes, self.id);
        bytes.extend_from_slice(&self.age_ms.to_le_bytes());
        bytes.push(self.reviewed.into());
        put_suspects(&mut bytes, &self.suspects);
        bytes
    }

    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let (id, rest) = take_process(bytes.strip_prefix(&CRASH_MAGIC)?)?;
        let (age_ms, rest) = rest.split_first_chunk()?;
        let (reviewed, rest) = rest.split_first()?;
        Some(Self {
            id,
            age_ms: u32::from_le_bytes(*age_ms),
            reviewed: *reviewed != 0,
            suspects: read_suspects(rest)?,
        })
    }
}

impl Refuted {
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut bytes = REFUTED_MAGIC.to_vec();
        put_process(&mut bytes, self.id);
        for feature in self.features.iter().take(SUSPECTS_MAX) {
            bytes.extend_from_slice(&feature.0.to_le_bytes());
        }
        bytes
    }

    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let (id, rest) = take_process(bytes.strip_prefix(&REFUTED_MAGIC)?)?;
        let (features, rest) = rest.as_chunks::<FEATURE_BYTES>();
        rest.is_empty().then(|| Self {
            id,
            features: features
                .iter()
                .map(|feature| RequestFeature(u64::from_le_bytes(*feature)))
                .collect(),
        })
    }
}

fn put_process(bytes: &mut Vec<u8>, id: UpstreamProcess) {
    let vm = match id.vm {
        IpAddr::V4(vm) => vm.to_ipv6_mapped(),
        IpAddr::V6(vm) => vm,
    };
    bytes.extend_from_slice(&vm.octets());
    bytes.extend_from_slice(&id.started_at_ms.to_le_bytes());
}

fn take_process(bytes: &[u8]) -> Option<(UpstreamProcess, &[u8])> {
    let (vm, rest) = bytes.split_first_chunk::<16>()?;
    let (started_at_ms, rest) = take_u64(rest)?;
    let vm = Ipv6Addr::from(*vm).to_canonical();
    Some((UpstreamProcess { vm, started_at_ms }, rest))
}

fn put_suspects(bytes: &mut Vec<u8>, suspects: &[Suspect]) {
    for suspect in suspects.iter().take(SUSPECTS_MAX) {
        bytes.extend_from_slice(&suspect.feature.0.to_le_bytes());
        bytes.push(suspect.depth);
    }
}

/// Decodes suspects; returns `None` if bytes are left over.
fn read_suspects(bytes: &[u8]) -> Option<Vec<Suspect>> {
    let (encoded, rest) = bytes.as_chunks::<SUSPECT_BYTES>();
    if !rest.is_empty() {
        return None;
    }
    let mut suspects = Vec::with_capacity(encoded.len());
    for suspect in encoded {
        let (feature, rest) = take_u64(suspect)?;
        suspects.push(Suspect {
            feature: RequestFeature(feature),
            depth: *rest.first()?,
        });
    }
    Some(suspects)
}

fn take_u64(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let (taken, rest) = bytes.split_first_chunk()?;
    Some((u64::from_le_bytes(*taken), rest))
}
