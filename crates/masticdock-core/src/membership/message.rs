//! Content of gossip datagrams.

use std::net::SocketAddr;

use compact_str::CompactString;

use super::{Member, MemberStatus};
use crate::ids::{BootEpoch, Revision};
use crate::limiter::DemandRecord;
use crate::poison::CrashRecord;

/// Kind of a gossip datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GossipKind {
    /// Asks for an ack.
    Ping,
    /// Acknowledges the ping with this sequence number.
    Ack(u64),
    /// Asks the receiver to ping the member at this address and to relay its ack.
    PingReq(SocketAddr),
    /// Carries queued records and needs no answer.
    Push,
}

/// New status of a member whose other fields the receiver already knows.
///
/// A version that changes on 1,800 VMs causes thousands of these updates; each
/// takes a third of the bytes of a whole [`Member`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusUpdate {
    /// Id of the member.
    pub id: CompactString,
    /// Boot epoch of the process that published the status.
    pub boot_epoch: BootEpoch,
    /// New status; `services` is not sent, and the receiver keeps the value it holds.
    pub status: MemberStatus,
}

/// One gossip datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipMessage {
    /// Id of the sender.
    pub from: CompactString,
    /// Sequence number of the sender; an ack carries that of the ping.
    pub seq: u64,
    /// Kind of the datagram.
    pub kind: GossipKind,
    /// Revision of the configuration that is in force at the sender.
    pub revision: Revision,
    /// Whole records of members that changed.
    pub updates: Vec<Member>,
    /// Statuses that changed.
    pub statuses: Vec<StatusUpdate>,
    /// New crash records.
    pub crashes: Vec<CrashRecord>,
    /// New demand records of entries.
    pub demands: Vec<DemandRecord>,
}

/// Datagram to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Content of the datagram.
    pub message: GossipMessage,
}
