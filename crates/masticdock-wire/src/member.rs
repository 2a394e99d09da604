//! Conversion of member updates to and from messages.

use compact_str::{CompactString, ToCompactString};
use masticdock_core::ids::{BootEpoch, Incarnation};
use masticdock_core::membership::{Liveness, Member, MemberStatus, Phase, Role};

use crate::peer_capnp::{MemberRole, MemberState, VmPhase, member_update};
use crate::{WireError, text};

/// Writes a member to a message.
pub fn write_member(member: &Member, mut builder: member_update::Builder<'_>) {
    builder.set_id(member.id.as_str());
    builder.set_role(role_to_wire(member.role));
    builder.set_state(liveness_to_wire(member.liveness));
    builder.set_incarnation(member.incarnation.0);
    builder.set_boot_epoch(member.boot_epoch.0);
    builder.set_region(member.region.as_str());
    builder.set_zone(member.zone.as_str());
    builder.set_peer_addr(member.peer_addr.to_compact_string().as_str());
    if let Some(addr) = member.traffic_addr {
        builder.set_traffic_addr(addr.to_compact_string().as_str());
    }
    write_status(&member.status, builder);
}

fn write_status(status: &MemberStatus, mut builder: member_update::Builder<'_>) {
    builder.set_status_seq(status.seq);
    builder.set_phase(phase_to_wire(status.phase));
    if let Some(version) = &status.serving_version {
        builder.set_serving_version(version.as_str());
    }
    builder.set_leaving(status.leaving);
    if let Some((rollout, version)) = &status.failed {
        builder.set_failed_rollout(rollout.as_str());
        builder.set_failed_version(version.as_str());
    }
    let count = u32::try_from(status.services.len()).unwrap_or(u32::MAX);
    let mut services = builder.init_services(count);
    for (index, service) in (0..count).zip(&status.services) {
        services.set(index, service.as_str());
    }
}

/// Reads a member from a message.
///
/// # Errors
///
/// Fails when a field is malformed; the error names the first such field.
pub fn read_member(reader: member_update::Reader<'_>) -> Result<Member, WireError> {
    let id = text::read("id", reader.get_id())?;
    if id.is_empty() {
        return Err(WireError::invalid("id", &"must not be empty"));
    }
    Ok(Member {
        id: CompactString::new(id),
        role: role_from_wire(reader.get_role()?),
        liveness: liveness_from_wire(reader.get_state()?),
        incarnation: Incarnation(reader.get_incarnation()),
        boot_epoch: BootEpoch(reader.get_boot_epoch()),
        region: text::parse("region", reader.get_region())?,
        zone: text::parse("zone", reader.get_zone())?,
        peer_addr: text::parse("peerAddr", reader.get_peer_addr())?,
        traffic_addr: text::parse_optional("trafficAddr", reader.get_traffic_addr())?,
        status: read_status(reader)?,
    })
}

fn read_status(reader: member_update::Reader<'_>) -> Result<MemberStatus, WireError> {
    let mut services = Vec::new();
    for service in reader.get_services()? {
        services.push(text::parse("services", service)?);
    }
    let failed_rollout = text::parse_optional("failedRollout", reader.get_failed_rollout())?;
    let failed_version = text::parse_optional("failedVersion", reader.get_failed_version())?;
    Ok(MemberStatus {
        seq: reader.get_status_seq(),
        phase: phase_from_wire(reader.get_phase()?),
        serving_version: text::parse_optional("servingVersion", reader.get_serving_version())?,
        leaving: reader.get_leaving(),
        services,
        failed: failed_rollout.zip(failed_version),
    })
}

const fn role_to_wire(role: Role) -> MemberRole {
    match role {
        Role::Entry => MemberRole::Entry,
        Role::Agent => MemberRole::Agent,
    }
}

const fn role_from_wire(role: MemberRole) -> Role {
    match role {
        MemberRole::Entry => Role::Entry,
        MemberRole::Agent => Role::Agent,
    }
}

const fn liveness_to_wire(liveness: Liveness) -> MemberState {
    match liveness {
        Liveness::Alive => MemberState::Alive,
        Liveness::Suspect => MemberState::Suspect,
        Liveness::Dead => MemberState::Dead,
        Liveness::Left => MemberState::Left,
    }
}

const fn liveness_from_wire(state: MemberState) -> Liveness {
    match state {
        MemberState::Alive => Liveness::Alive,
        MemberState::Suspect => Liveness::Suspect,
        MemberState::Dead => Liveness::Dead,
        MemberState::Left => Liveness::Left,
    }
}

pub(crate) const fn phase_to_wire(phase: Phase) -> VmPhase {
    match phase {
        Phase::Idle => VmPhase::Idle,
        Phase::Fetching => VmPhase::Fetching,
        Phase::Verified => VmPhase::Verified,
        Phase::Draining => VmPhase::Draining,
        Phase::Loading => VmPhase::Loading,
        Phase::Serving => VmPhase::Serving,
        Phase::Failed => VmPhase::Failed,
    }
}

pub(crate) const fn phase_from_wire(phase: VmPhase) -> Phase {
    match phase {
        VmPhase::Idle => Phase::Idle,
        VmPhase::Fetching => Phase::Fetching,
        VmPhase::Verified => Phase::Verified,
        VmPhase::Draining => Phase::Draining,
        VmPhase::Loading => Phase::Loading,
        VmPhase::Serving => Phase::Serving,
        VmPhase::Failed => Phase::Failed,
    }
}
