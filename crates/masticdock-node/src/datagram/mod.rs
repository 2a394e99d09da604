//! Encoding of the UDP datagrams that entries and agents exchange.
//!
//! An entry sends a hello to each agent once a second, and additionally when a version
//! is declared; the hello carries what an agent needs from the store. An agent sends
//! reports of its engine to the entries whose hello is recent. Datagrams are not
//! acknowledged: the next one replaces a lost one. Those about crashes are repeated.

mod crashes;
mod hello;

use masticdock_core::serving::{AgentReport, Slowness, VersionNumber};
use masticdock_core::transfer::ChunkSet;

pub(crate) use crashes::{Crash, Limited, Refuted, Suspects};
pub(crate) use hello::{ConfiguredTarget, Hello};

/// Prefix of an announcement of held chunks.
const HELD_CHUNKS_MAGIC: [u8; 4] = *b"mdp1";
/// Prefix of a report.
const REPORT_MAGIC: [u8; 4] = *b"mdr4";
/// Length of a report without its prefix, in bytes.
const REPORT_BODY_BYTES: usize = 30;
/// Encodes that the number of places is unknown.
const UNKNOWN_PLACES: u8 = u8::MAX;
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
    /// Report of an entry on a request that a crash may have interrupted.
    Suspects(Suspects),
    /// Crash that an agent or an entry has confirmed.
    Crash(Crash),
    /// Suspects of a crash that an entry has refuted.
    Refuted(Refuted),
    /// Limit that an upstream named.
    Limited(Limited),
}

/// Encodes a datagram. Versions of a hello that exceed the maximum length are omitted;
/// agents read them from the store.
pub(crate) fn encode(datagram: &Datagram) -> Vec<u8> {
    match datagram {
        Datagram::Hello(hello) => hello.encode(),
        Datagram::Report(report) => encode_report(report),
        Datagram::HeldChunks(version, chunks) => encode_held_chunks(*version, chunks),
        Datagram::Suspects(suspects) => suspects.encode(),
        Datagram::Crash(crash) => crash.encode(),
        Datagram::Refuted(refuted) => refuted.encode(),
        Datagram::Limited(limited) => limited.encode(),
    }
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
    bytes.extend_from_slice(&saturate(report.pending_prefills).to_le_bytes());
    // 0 encodes an unknown start time.
    bytes.extend_from_slice(&report.started_at_ms.unwrap_or(0).to_le_bytes());
    let places = report.places.map_or(UNKNOWN_PLACES, |places| {
        u8::try_from(places)
            .unwrap_or(u8::MAX)
            .min(UNKNOWN_PLACES - 1)
    });
    bytes.push(places);
    // 0 encodes an unknown slowness.
    let slowness = report.slowness.map_or(0, Slowness::percent);
    bytes.extend_from_slice(&slowness.to_le_bytes());
    bytes
}

/// Decodes a datagram; returns `None` if the format is unknown or invalid.
pub(crate) fn decode(bytes: &[u8]) -> Option<Datagram> {
    if let Some(hello) = Hello::decode(bytes) {
        return Some(Datagram::Hello(hello));
    }
    if let Some(rest) = bytes.strip_prefix(&HELD_CHUNKS_MAGIC) {
        return decode_held_chunks(rest);
    }
    if let Some(datagram) = decode_crash(bytes) {
        return Some(datagram);
    }
    let rest: &[u8; REPORT_BODY_BYTES] = bytes.strip_prefix(&REPORT_MAGIC)?.try_into().ok()?;
    let version = u64::from_le_bytes(rest[4..12].try_into().ok()?);
    let started_at_ms = u64::from_le_bytes(rest[19..27].try_into().ok()?);
    Some(Datagram::Report(AgentReport {
        running: u16::from_le_bytes([rest[0], rest[1]]).into(),
        queued: u16::from_le_bytes([rest[2], rest[3]]).into(),
        version: (version > 0).then_some(VersionNumber(version)),
        switching: rest[12] & SWITCHING_FLAG != 0,
        reachable: rest[12] & REACHABLE_FLAG != 0,
        link_delay_ms: u16::from_le_bytes([rest[13], rest[14]]).into(),
        entries: u16::from_le_bytes([rest[15], rest[16]]).into(),
        pending_prefills: u16::from_le_bytes([rest[17], rest[18]]).into(),
        started_at_ms: (started_at_ms > 0).then_some(started_at_ms),
        places: (rest[27] != UNKNOWN_PLACES).then_some(rest[27].into()),
        slowness: Slowness::from_percent(u16::from_le_bytes([rest[28], rest[29]]).into()).ok(),
    }))
}

fn decode_crash(bytes: &[u8]) -> Option<Datagram> {
    Suspects::decode(bytes)
        .map(Datagram::Suspects)
        .or_else(|| Crash::decode(bytes).map(Datagram::Crash))
        .or_else(|| Refuted::decode(bytes).map(Datagram::Refuted))
        .or_else(|| Limited::decode(bytes).map(Datagram::Limited))
}
