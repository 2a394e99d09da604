//! Tests of datagram encoding and authentication.

use compact_str::{CompactString, format_compact};
use masticdock_core::ids::{BootEpoch, Incarnation, Revision};
use masticdock_core::membership::{
    GossipKind, GossipMessage, Liveness, Member, MemberStatus, Role,
};

use super::datagram::{DATAGRAM_BYTES_MAX, OpenError, open, seal_to_fit};

const KEY: [u8; 32] = [7; 32];

fn message(updates: usize) -> GossipMessage {
    let member = |index: usize| Member {
        id: format_compact!("vm-{index:060}"),
        role: Role::Agent,
        liveness: Liveness::Alive,
        incarnation: Incarnation(u64::MAX - 1),
        boot_epoch: BootEpoch(u64::MAX / 3),
        region: "r".parse().unwrap(),
        zone: "z".parse().unwrap(),
        peer_addr: "127.0.0.1:9".parse().unwrap(),
        traffic_addr: None,
        status: MemberStatus::default(),
    };
    GossipMessage {
        from: CompactString::const_new("a"),
        seq: 1,
        kind: GossipKind::Ping,
        revision: Revision(4),
        updates: (0..updates).map(member).collect(),
        statuses: Vec::new(),
        crashes: Vec::new(),
        demands: Vec::new(),
    }
}

/// Guards against members forged by a process without the shared key.
#[test]
fn datagram_with_another_key_is_rejected() {
    let datagram = seal_to_fit(&[8; 32], &message(1));
    assert!(matches!(open(&KEY, &datagram), Err(OpenError::Mac)));
}

/// Guards against accepting a datagram that was corrupted in transit.
#[test]
fn corrupt_datagram_is_rejected() {
    let datagram = seal_to_fit(&KEY, &message(1));
    for index in 0..datagram.len() {
        let mut corrupt = datagram.clone();
        corrupt[index] ^= 1;
        assert!(matches!(open(&KEY, &corrupt), Err(OpenError::Mac)));
    }
}

/// Guards against datagrams so long that networks fragment or drop them.
#[test]
fn datagram_never_exceeds_the_size_limit() {
    let datagram = seal_to_fit(&KEY, &message(40));
    assert!(datagram.len() <= DATAGRAM_BYTES_MAX);
    let opened = open(&KEY, &datagram).unwrap();
    assert!(!opened.updates.is_empty() && opened.updates.len() < 40);
    assert_eq!(opened.revision, Revision(4));
}
