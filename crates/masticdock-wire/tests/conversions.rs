//! Tests of the conversions to messages and back.

use masticdock_core::config_log::{AcceptedChange, StoredResource};
use masticdock_core::ids::{BootEpoch, Incarnation, Revision};
use masticdock_core::membership::{Liveness, Member, MemberStatus, Phase, Role};
use masticdock_core::resource::{Model, Resource, ResourceChange};
use masticdock_core::units::UnixMs;
use masticdock_wire::peer_capnp::{change, member_update, resource};
use masticdock_wire::{
    read_change, read_member, read_stored, write_change, write_member, write_stored,
};

fn model() -> Resource {
    Resource::Model(Model {
        name: "base".parse().unwrap(),
        description: "größer".into(),
    })
}

/// Guards against a field that is lost or swapped with another in the message.
#[test]
fn member_round_trips() {
    let member = Member {
        id: "vm-1".into(),
        role: Role::Agent,
        liveness: Liveness::Suspect,
        incarnation: Incarnation(3),
        boot_epoch: BootEpoch(9),
        region: "wien".parse().unwrap(),
        zone: "wien-a".parse().unwrap(),
        peer_addr: "127.0.0.1:7400".parse().unwrap(),
        traffic_addr: Some("127.0.0.1:7401".parse().unwrap()),
        status: MemberStatus {
            seq: 5,
            phase: Phase::Loading,
            serving_version: Some("v1".parse().unwrap()),
            leaving: true,
            services: vec!["assistant".parse().unwrap(), "orders".parse().unwrap()],
            failed: Some(("r".parse().unwrap(), "v2".parse().unwrap())),
        },
    };
    let mut message = capnp::message::Builder::new_default();
    write_member(&member, message.init_root::<member_update::Builder<'_>>());
    let read = read_member(message.get_root_as_reader().unwrap()).unwrap();
    assert_eq!(read, member);
}

/// Guards against an absent value that is read back as an empty name.
#[test]
fn empty_fields_are_read_as_none() {
    let mut message = capnp::message::Builder::new_default();
    let mut builder = message.init_root::<member_update::Builder<'_>>();
    builder.set_id("e");
    builder.set_region("r");
    builder.set_zone("z");
    builder.set_peer_addr("127.0.0.1:1");
    let read = read_member(message.get_root_as_reader().unwrap()).unwrap();
    assert_eq!(read.traffic_addr, None);
    assert_eq!(read.status, MemberStatus::default());
}

/// Guards against a change or resource that loses its body in the message.
#[test]
fn configuration_round_trips() {
    let accepted = AcceptedChange {
        revision: Revision(4),
        change_id: "c-4".parse().unwrap(),
        operator: "ana".parse().unwrap(),
        accepted_at_unix_ms: UnixMs(77),
        changes: vec![ResourceChange::Put(model())],
    };
    let mut message = capnp::message::Builder::new_default();
    write_change(&accepted, message.init_root::<change::Builder<'_>>()).unwrap();
    assert_eq!(
        read_change(message.get_root_as_reader().unwrap()).unwrap(),
        accepted
    );

    let stored = StoredResource {
        revision: Revision(4),
        resource: model(),
    };
    let mut message = capnp::message::Builder::new_default();
    write_stored(&stored, message.init_root::<resource::Builder<'_>>()).unwrap();
    assert_eq!(
        read_stored(message.get_root_as_reader().unwrap()).unwrap(),
        stored
    );
}
