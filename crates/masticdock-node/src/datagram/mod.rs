//! Datagrams between entries and agents.
//!
//! An entry says hello to each agent once a second and when a version is
//! declared, and names the newest versions; the agent sends its engine's state
//! to those that said hello lately. A lost datagram is replaced by the next one.

use masticdock_adapter::DeclaredVersion;
use masticdock_core::serving::{AgentReport, VersionNumber};
use masticdock_core::transfer::ChunkSet;

/// First bytes of a hello; the last one is the version of the format.
const HELLO: [u8; 4] = *b"mdh1";
/// First bytes of a list of pieces.
const HAVE: [u8; 4] = *b"mdp1";
/// First bytes of a report.
const REPORT: [u8; 4] = *b"mdr2";
/// Length of a report without its first bytes.
const REPORT_LEN: usize = 21;
const SWITCHING: u8 = 1;
const REACHABLE: u8 = 2;
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
        Datagram::HeldChunks(version, pieces) => encode_have(*version, pieces),
    }
}

fn encode_hello(hello: &Hello) -> Vec<u8> {
    let mut bytes = HELLO.to_vec();
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

fn encode_have(version: VersionNumber, pieces: &ChunkSet) -> Vec<u8> {
    let mut bytes = HAVE.to_vec();
    bytes.extend_from_slice(&version.0.to_le_bytes());
    let count = u16::try_from(pieces.capacity()).unwrap_or(u16::MAX);
    bytes.extend_from_slice(&count.to_le_bytes());
    bytes.extend_from_slice(&pieces.to_bytes());
    bytes
}

fn decode_have(bytes: &[u8]) -> Option<Datagram> {
    let (version, rest) = bytes.split_first_chunk::<8>()?;
    let (count, rest) = rest.split_first_chunk::<2>()?;
    let pieces = ChunkSet::from_bytes(u16::from_le_bytes(*count).into(), rest);
    Some(Datagram::HeldChunks(
        VersionNumber(u64::from_le_bytes(*version)),
        pieces,
    ))
}

fn encode_report(report: &AgentReport) -> Vec<u8> {
    let mut bytes = REPORT.to_vec();
    let narrow = |number: u32| u16::try_from(number).unwrap_or(u16::MAX);
    bytes.extend_from_slice(&narrow(report.running).to_le_bytes());
    bytes.extend_from_slice(&narrow(report.queued).to_le_bytes());
    // Versions start at 1, so 0 stands for none.
    let version = report.version.map_or(0, |version| version.0);
    bytes.extend_from_slice(&version.to_le_bytes());
    let mut flags = 0;
    if report.switching {
        flags |= SWITCHING;
    }
    if report.reachable {
        flags |= REACHABLE;
    }
    bytes.push(flags);
    bytes.extend_from_slice(&narrow(report.link_delay_ms).to_le_bytes());
    bytes.extend_from_slice(&narrow(report.entries).to_le_bytes());
    bytes.extend_from_slice(&narrow(report.start_delay_ms).to_le_bytes());
    bytes.extend_from_slice(&narrow(report.pending_prefills).to_le_bytes());
    bytes
}

/// Decodes a datagram; `None` for foreign bytes.
pub(crate) fn decode(bytes: &[u8]) -> Option<Datagram> {
    if let Some(rest) = bytes.strip_prefix(&HELLO) {
        return decode_hello(rest).map(Datagram::Hello);
    }
    if let Some(rest) = bytes.strip_prefix(&HAVE) {
        return decode_have(rest);
    }
    let rest: &[u8; REPORT_LEN] = bytes.strip_prefix(&REPORT)?.try_into().ok()?;
    let version = u64::from_le_bytes(rest[4..12].try_into().ok()?);
    Some(Datagram::Report(AgentReport {
        running: u16::from_le_bytes([rest[0], rest[1]]).into(),
        queued: u16::from_le_bytes([rest[2], rest[3]]).into(),
        version: (version > 0).then_some(VersionNumber(version)),
        switching: rest[12] & SWITCHING != 0,
        reachable: rest[12] & REACHABLE != 0,
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
        let (version, after) = rest.split_first_chunk::<8>()?;
        let (age_ms, after) = after.split_first_chunk::<8>()?;
        let (length, after) = after.split_first()?;
        let (name, after) = after.split_at_checked(usize::from(*length))?;
        rest = after;
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
