//! Tests of encoding and decoding gossip datagrams.

use compact_str::CompactString;
use masticdock_core::ids::{BootEpoch, Incarnation, Revision};
use masticdock_core::limiter::DemandRecord;
use masticdock_core::membership::{
    GossipKind, GossipMessage, Liveness, Member, MemberStatus, Phase, Role, StatusUpdate,
};
use masticdock_core::poison::{CrashRecord, Fingerprint};
use masticdock_core::units::UnixMs;
use masticdock_wire::{decode_gossip, encode_gossip};

fn message(kind: GossipKind) -> GossipMessage {
    let member = Member {
        id: CompactString::const_new("vm-itagui-7"),
        role: Role::Agent,
        liveness: Liveness::Suspect,
        incarnation: Incarnation(3),
        boot_epoch: BootEpoch(1_796_000_000_000),
        region: "itagui".parse().unwrap(),
        zone: "itagui-a".parse().unwrap(),
        peer_addr: "127.0.0.1:7401".parse().unwrap(),
        traffic_addr: Some("127.0.0.1:7402".parse().unwrap()),
        status: MemberStatus {
            seq: 9,
            phase: Phase::Loading,
            serving_version: Some("grind-v3".parse().unwrap()),
            leaving: true,
            services: vec!["assistant".parse().unwrap()],
            failed: Some(("r1".parse().unwrap(), "grind-v4".parse().unwrap())),
        },
    };
    GossipMessage {
        from: CompactString::const_new("entry-1"),
        seq: 77,
        kind,
        revision: Revision(13_000),
        statuses: vec![StatusUpdate {
            id: member.id.clone(),
            boot_epoch: member.boot_epoch,
            status: MemberStatus {
                services: Vec::new(),
                ..member.status.clone()
            },
        }],
        updates: vec![member],
        crashes: vec![CrashRecord {
            fingerprint: Fingerprint([7; 16]),
            vm: CompactString::const_new("vm-2"),
            at_unix_ms: UnixMs(1_796_000_000_123),
        }],
        demands: vec![DemandRecord {
            entry: CompactString::const_new("entry-1"),
            workspace: "alpenruh".parse().unwrap(),
            seq: 4,
            rate_milli: 2_500,
            in_progress: 6,
        }],
    }
}

/// Guards against a field that is written but not read back.
#[test]
fn every_gossip_kind_round_trips() {
    let address = "127.0.0.1:9".parse().unwrap();
    let kinds = [
        GossipKind::Ping,
        GossipKind::Ack(5),
        GossipKind::PingReq(address),
        GossipKind::Push,
    ];
    for kind in kinds {
        let sent = message(kind);
        assert_eq!(decode_gossip(&encode_gossip(&sent)).unwrap(), sent);
    }
}

/// Guards against a panic of the UDP thread on truncated or corrupt datagrams.
#[test]
fn corrupt_datagrams_do_not_panic() {
    let encoded = encode_gossip(&message(GossipKind::Ping));
    for len in 0..encoded.len() {
        let _ = decode_gossip(&encoded[..len]);
        let mut flipped = encoded.clone();
        flipped[len] ^= 0xff;
        let _ = decode_gossip(&flipped);
    }
}
