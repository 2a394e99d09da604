//! Datagrams between entries and agents.
//!
//! An entry says hello to each agent once a second and when a version is
//! declared, and names the newest versions; the agent sends its engine's state
//! to those that said hello lately. A lost datagram is replaced by the next one.

use masticdock_adapter::DeclaredVersion;
use masticdock_core::serving::{AgentReport, VersionNumber};
use masticdock_core::transfer::ChunkSet;

/// First bytes of a hello; the last one is the version of the format.
const HELLO_MAGIC: [u8; 4] = *b"mdh1";
/// First bytes of a list of pieces.
const HELD_CHUNKS_MAGIC: [u8; 4] = *b"mdp1";
/// First bytes of a report.
const REPORT_MAGIC: [u8; 4] = *b"mdr2";
/// Length of a report without its first bytes.
const REPORT_BODY_BYTES: usize = 21;
const SWITCHING_FLAG: u8 = 1;
const REACHABLE_FLAG: u8 = 2;
/// Longest datagram, in bytes; one packet carries it.
pub(crate) const DATAGRAM_BYTES_MAX: usize = 1_200;

/// A datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Datagram {
    /// An entry wants reports.
    Hello(Hello),
    /// An agent reports its engine.
    Report(AgentReport),
    /// An agent tells the agents of its region which pieces it holds.
    HeldChunks(VersionNumber, ChunkSet),
}

/// What an entry tells agents.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Hello {
    /// True when every stream of an engine can be resumed elsewhere.
    pub(crate) resumable: bool,
    /// Newest declared versions, each with its age in milliseconds.
    pub(crate) versions: Vec<(DeclaredVersion, u64)>,
}

/// Encodes a datagram; versions that do not fit are left to the store.
pub(crate) fn encode(datagram: &Datagram) -> Vec<u8> {
    match datagram {
        Datagram::Hello(hello) => encode_hello(hello),
        Datagram::Report(report) => encode_report(report),
        Datagram::HeldChunks(version, chunks) => encode_held_chunks(*version, chunks),
    }
}

fn encode_hello(hello: &Hello) -> Vec<u8> {
    let mut bytes = HELLO_MAGIC.to_vec();
    bytes.push(u8::from(hello.resumable));
    for (declared, age_ms) in &hello.versions {
        let name = declared.model.as_str().as_bytes();
        let Ok(length) = u8::try_from(name.len()) else {
            continue;
        };
        if bytes.len() + 17 + name.len() > DATAGRAM_BYTES_MAX {
            break;
        }
        bytes.extend_from_slice(&declared.version.0.to_le_bytes());
        bytes.extend_from_slice(&age_ms.to_le_bytes());
        bytes.push(length);
        bytes.extend_from_slice(name);
    }
    bytes
}

fn encode_held_chunks(version: VersionNumber, chunks: &ChunkSet) -> Vec<u8> {
    let mut bytes = HELD_CHUNKS_MAGIC.to_vec();
    bytes.extend_from_slice(&version.0.to_le_bytes());
    let count = u16::try_from(chunks.capacity()).unwrap_or(u16::MAX);
    bytes.extend_from_slice(&count.to_le_bytes());
    bytes.extend_from_slice(&chunks.to_bytes());
    bytes
}

fn decode_held_chunks(bytes: &[u8]) -> Option<Datagram> {
    let (version, rest) = bytes.split_first_chunk::<8>()?;
    let (count, rest) = rest.split_first_chunk::<2>()?;
    let chunks = ChunkSet::from_bytes(u16::from_le_bytes(*count).into(), rest);
    Some(Datagram::HeldChunks(
        VersionNumber(u64::from_le_bytes(*version)),
        chunks,
    ))
}

fn encode_report(report: &AgentReport) -> Vec<u8> {
    let mut bytes = REPORT_MAGIC.to_vec();
    let saturate = |number: u32| u16::try_from(number).unwrap_or(u16::MAX);
    bytes.extend_from_slice(&saturate(report.running).to_le_bytes());
    bytes.extend_from_slice(&saturate(report.queued).to_le_bytes());
    // Versions start at 1, so 0 stands for none.
    let version = report.version.map_or(0, |version| version.0);
    bytes.extend_from_slice(&version.to_le_bytes());
    let mut flags = 0;
    if report.switching {
        flags |= SWITCHING_FLAG;
    }
    if report.reachable {
        flags |= REACHABLE_FLAG;
    }
    bytes.push(flags);
    bytes.extend_from_slice(&saturate(report.link_delay_ms).to_le_bytes());
    bytes.extend_from_slice(&saturate(report.entries).to_le_bytes());
    bytes.extend_from_slice(&saturate(report.start_delay_ms).to_le_bytes());
    bytes.extend_from_slice(&saturate(report.pending_prefills).to_le_bytes());
    bytes
}

/// Decodes a datagram; `None` for foreign bytes.
pub(crate) fn decode(bytes: &[u8]) -> Option<Datagram> {
    if let Some(rest) = bytes.strip_prefix(&HELLO_MAGIC) {
        return decode_hello(rest).map(Datagram::Hello);
    }
    if let Some(rest) = bytes.strip_prefix(&HELD_CHUNKS_MAGIC) {
        return decode_held_chunks(rest);
    }
    let rest: &[u8; REPORT_BODY_BYTES] = bytes.strip_prefix(&REPORT_MAGIC)?.try_into().ok()?;
    let version = u64::from_le_bytes(rest[4..12].try_into().ok()?);
    Some(Datagram::Report(AgentReport {
        running: u16::from_le_bytes([rest[0], rest[1]]).into(),
        queued: u16::from_le_bytes([rest[2], rest[3]]).into(),
        version: (version > 0).then_some(VersionNumber(version)),
        switching: rest[12] & SWITCHING_FLAG != 0,
        reachable: rest[12] & REACHABLE_FLAG != 0,
        link_delay_ms: u16::from_le_bytes([rest[13], rest[14]]).into(),
        entries: u16::from_le_bytes([rest[15], rest[16]]).into(),
        start_delay_ms: u16::from_le_bytes([rest[17], rest[18]]).into(),
        pending_prefills: u16::from_le_bytes([rest[19], rest[20]]).into(),
    }))
}

fn decode_hello(bytes: &[u8]) -> Option<Hello> {
    let (resumable, mut rest) = bytes.split_first()?;
    let mut versions = Vec::new();
    while !rest.is_empty() {
        let (version, tail) = rest.split_first_chunk::<8>()?;
        let (age_ms, tail) = tail.split_first_chunk::<8>()?;
        let (length, tail) = tail.split_first()?;
        let (name, tail) = tail.split_at_checked(usize::from(*length))?;
        rest = tail;
        let declared = DeclaredVersion {
            model: std::str::from_utf8(name).ok()?.parse().ok()?,
            version: VersionNumber(u64::from_le_bytes(*version)),
        };
        versions.push((declared, u64::from_le_bytes(*age_ms)));
    }
    Some(Hello {
        resumable: *resumable == 1,
        versions,
    })
}
