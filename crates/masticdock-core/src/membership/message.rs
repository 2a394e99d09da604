//! Gossip messages.

use std::net::SocketAddr;

use compact_str::CompactString;

use super::{Member, MemberStatus};
use crate::ids::{BootEpoch, Revision};
use crate::limiter::DemandRecord;
use crate::poison::CrashRecord;

/// What a datagram asks or answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GossipKind {
    /// Asks for an ack.
    Ping,
    /// Answers the ping with this sequence number.
    Ack(u64),
    /// Asks the receiver to ping the member at this address.
    PingReq(SocketAddr),
    /// Carries fresh records and asks for nothing.
    Push,
}

/// New status of a member whose other fields the receiver knows.
///
/// A version that changes on 1,800 VMs causes thousands of these, and they take
/// a third of the bytes of a whole [`Member`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusUpdate {
    /// The member.
    pub id: CompactString,
    /// Boot that the status belongs to.
    pub boot_epoch: BootEpoch,
    /// The status; its `services` are left out and keep the value held.
    pub status: MemberStatus,
}

/// One gossip datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GossipMessage {
    /// Id of the sender.
    pub from: CompactString,
    /// Sequence number of the sender; an ack repeats that of the ping.
    pub seq: u64,
    /// What the datagram asks or answers.
    pub kind: GossipKind,
    /// Configuration revision in force at the sender.
    pub revision: Revision,
    /// Fresh members.
    pub updates: Vec<Member>,
    /// Fresh statuses.
    pub statuses: Vec<StatusUpdate>,
    /// Fresh crashes.
    pub crashes: Vec<CrashRecord>,
    /// Fresh demands of entries.
    pub demands: Vec<DemandRecord>,
}

/// Datagram to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Receiver.
    pub to: SocketAddr,
    /// Content.
    pub message: GossipMessage,
}
