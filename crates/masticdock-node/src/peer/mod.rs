//! Datagrams between entries and agents.
//!
//! An entry says hello to each agent once a second; the agent sends its
//! engine's state to those that said hello lately. A lost datagram is replaced
//! by the next one.

use masticdock_core::serving::{AgentReport, VersionNumber};

/// First bytes of a hello; the last one is the version of the format.
const HELLO: [u8; 4] = *b"mdh1";
/// First bytes of a report.
const REPORT: [u8; 4] = *b"mdr1";
/// Length of a report in bytes.
const REPORT_LEN: usize = 17;
const SWITCHING: u8 = 1;
const REACHABLE: u8 = 2;

/// A datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Datagram {
    /// An entry wants reports.
    Hello,
    /// An agent reports its engine.
    Report(AgentReport),
}

/// Encodes a datagram.
pub(crate) fn encode(datagram: Datagram) -> Vec<u8> {
    let report = match datagram {
        Datagram::Hello => return HELLO.to_vec(),
        Datagram::Report(report) => report,
    };
    let mut bytes = Vec::with_capacity(REPORT_LEN);
    bytes.extend_from_slice(&REPORT);
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
    bytes
}

/// Decodes a datagram; `None` for foreign bytes.
pub(crate) fn decode(bytes: &[u8]) -> Option<Datagram> {
    if bytes == HELLO {
        return Some(Datagram::Hello);
    }
    let rest = bytes.strip_prefix(&REPORT)?;
    let rest: &[u8; REPORT_LEN - 4] = rest.try_into().ok()?;
    let version = u64::from_le_bytes(rest[4..12].try_into().ok()?);
    Some(Datagram::Report(AgentReport {
        running: u16::from_le_bytes([rest[0], rest[1]]).into(),
        queued: u16::from_le_bytes([rest[2], rest[3]]).into(),
        version: (version > 0).then_some(VersionNumber(version)),
        switching: rest[12] & SWITCHING != 0,
        reachable: rest[12] & REACHABLE != 0,
    }))
}
