//! Encoding of the UDP datagrams that entries and agents exchange.
//!
//! An entry sends a hello to each agent once a second, and additionally when a version
//! is declared; the hello carries the newest declared versions. An agent sends reports
//! of its engine to the entries whose hello is recent. Datagrams are not acknowledged:
//! the next one replaces a lost one.

use masticdock_adapter::DeclaredVersion;
use masticdock_core::serving::{AgentReport, VersionNumber};
use masticdock_core::transfer::ChunkSet;

/// Prefix of a hello; its last byte is the format version.
const HELLO_MAGIC: [u8; 4] = *b"mdh1";
/// Prefix of an announcement of held chunks.
const HELD_CHUNKS_MAGIC: [u8; 4] = *b"mdp1";
/// Prefix of a report.
const REPORT_MAGIC: [u8; 4] = *b"mdr2";
/// Length of a report without its prefix, in bytes.
const REPORT_BODY_BYTES: usize = 21;
const SWITCHING_FLAG: u8 = 1;
const REACHABLE_FLAG: u8 = 2;
/// Maximum length of a datagram, in bytes; it fits into one packet.
pub(crate) const DATAGRAM_BYTES_MAX: usize = 1_200;

/// Datagram between an entry and an agent, or between two agents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Datagram {
    /// Subscription of an entry to the reports of an agent.
    Hello(Hello),
    /// Report of an agent on its engine.
    Report(AgentReport),
    /// Announcement to the agents of the same region of the chunks that an agent holds.
    HeldChunks(VersionNumber, ChunkSet),
}

/// Content of a hello.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Hello {
    /// True if every stream of an engine can be resumed on another upstream.
    pub(crate) resumable: bool,
    /// Newest declared version of each model, with its age in milliseconds.
    pub(crate) versions: Vec<(DeclaredVersion, u64)>,
}

/// Encodes a datagram. Versions of a hello that exceed the maximum length are omitted;
/// agents read them from the store.
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
    // Versions start at 1, so 0 encodes the absence of a version.
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

/// Decodes a datagram; returns `None` if the format is unknown or invalid.
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
