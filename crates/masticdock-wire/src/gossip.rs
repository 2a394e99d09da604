//! Encoding and decoding of gossip datagrams.

use compact_str::{CompactString, ToCompactString};
use masticdock_core::ids::{BootEpoch, Revision};
use masticdock_core::limiter::DemandRecord;
use masticdock_core::membership::{GossipKind, GossipMessage, Member, MemberStatus, StatusUpdate};
use masticdock_core::poison::{CrashRecord, Fingerprint};
use masticdock_core::units::UnixMs;

use crate::member::{phase_from_wire, phase_to_wire};
use crate::peer_capnp::{crash_record, demand_record, gossip, status_update};
use crate::{WireError, read_member, text, write_member};

/// Maximum number of words to which a datagram may unpack; bounds the work that a malicious
/// datagram can cause.
const TRAVERSAL_WORDS_MAX: usize = 8_192;

fn list_len(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

/// Encodes a datagram in the packed format of Cap'n Proto.
#[must_use]
pub fn encode_gossip(message: &GossipMessage) -> Vec<u8> {
    let mut builder = capnp::message::Builder::new_default();
    let mut root: gossip::Builder<'_> = builder.init_root();
    root.set_from(message.from.as_str());
    root.set_seq(message.seq);
    root.set_revision(message.revision.0);
    match message.kind {
        GossipKind::Ping => root.reborrow().init_kind().set_ping(()),
        GossipKind::Ack(seq) => root.reborrow().init_kind().set_ack(seq),
        GossipKind::PingReq(addr) => {
            let addr = addr.to_compact_string();
            root.reborrow().init_kind().set_ping_req(addr.as_str());
        }
        GossipKind::Push => root.reborrow().init_kind().set_push(()),
    }
    write_updates(&message.updates, root.reborrow());
    write_statuses(&message.statuses, root.reborrow());
    write_crashes(&message.crashes, root.reborrow());
    write_demands(&message.demands, root);
    let mut bytes = Vec::new();
    // Writing to a `Vec` cannot fail.
    let _ = capnp::serialize_packed::write_message(&mut bytes, &builder);
    bytes
}

fn write_updates(updates: &[Member], root: gossip::Builder<'_>) {
    if updates.is_empty() {
        return;
    }
    let len = list_len(updates.len());
    let mut list = root.init_updates(len);
    for (index, member) in (0..len).zip(updates) {
        write_member(member, list.reborrow().get(index));
    }
}

fn write_statuses(statuses: &[StatusUpdate], root: gossip::Builder<'_>) {
    if statuses.is_empty() {
        return;
    }
    let len = list_len(statuses.len());
    let mut list = root.init_statuses(len);
    for (index, update) in (0..len).zip(statuses) {
        write_status(update, list.reborrow().get(index));
    }
}

fn write_status(update: &StatusUpdate, mut record: status_update::Builder<'_>) {
    let status = &update.status;
    record.set_id(update.id.as_str());
    record.set_boot_epoch(update.boot_epoch.0);
    record.set_seq(status.seq);
    record.set_phase(phase_to_wire(status.phase));
    record.set_leaving(status.leaving);
    if let Some(version) = &status.serving_version {
        record.set_serving_version(version.as_str());
    }
    if let Some((rollout, version)) = &status.failed {
        record.set_failed_rollout(rollout.as_str());
        record.set_failed_version(version.as_str());
    }
}

fn read_status(record: status_update::Reader<'_>) -> Result<StatusUpdate, WireError> {
    let rollout = text::parse_optional("failedRollout", record.get_failed_rollout())?;
    let version = text::parse_optional("failedVersion", record.get_failed_version())?;
    Ok(StatusUpdate {
        id: CompactString::new(text::read("id", record.get_id())?),
        boot_epoch: BootEpoch(record.get_boot_epoch()),
        status: MemberStatus {
            seq: record.get_seq(),
            phase: phase_from_wire(record.get_phase()?),
            serving_version: text::parse_optional("servingVersion", record.get_serving_version())?,
            leaving: record.get_leaving(),
            services: Vec::new(),
            failed: rollout.zip(version),
        },
    })
}

fn write_crashes(crashes: &[CrashRecord], root: gossip::Builder<'_>) {
    if crashes.is_empty() {
        return;
    }
    let len = list_len(crashes.len());
    let mut list = root.init_crashes(len);
    for (index, crash) in (0..len).zip(crashes) {
        let mut record = list.reborrow().get(index);
        record.set_fingerprint(&crash.fingerprint.0);
        record.set_vm(crash.vm.as_str());
        record.set_at_unix_ms(crash.at_unix_ms.0);
    }
}

fn write_demands(demands: &[DemandRecord], root: gossip::Builder<'_>) {
    if demands.is_empty() {
        return;
    }
    let len = list_len(demands.len());
    let mut list = root.init_demands(len);
    for (index, demand) in (0..len).zip(demands) {
        let mut record = list.reborrow().get(index);
        record.set_entry(demand.entry.as_str());
        record.set_workspace(demand.workspace.as_str());
        record.set_seq(demand.seq);
        record.set_rate_milli(demand.rate_milli);
        record.set_in_progress(demand.in_progress);
    }
}

/// Decodes a datagram in the packed format of Cap'n Proto.
///
/// # Errors
///
/// Fails when the bytes are not a gossip datagram or a field is malformed.
pub fn decode_gossip(bytes: &[u8]) -> Result<GossipMessage, WireError> {
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(TRAVERSAL_WORDS_MAX));
    let message = capnp::serialize_packed::read_message(bytes, options)?;
    let root: gossip::Reader<'_> = message.get_root()?;
    let mut updates = Vec::new();
    for update in root.get_updates()? {
        updates.push(read_member(update)?);
    }
    let mut statuses = Vec::new();
    for status in root.get_statuses()? {
        statuses.push(read_status(status)?);
    }
    let mut crashes = Vec::new();
    for crash in root.get_crashes()? {
        crashes.push(read_crash(crash)?);
    }
    let mut demands = Vec::new();
    for demand in root.get_demands()? {
        demands.push(read_demand(demand)?);
    }
    Ok(GossipMessage {
        from: CompactString::new(text::read("from", root.get_from())?),
        seq: root.get_seq(),
        kind: read_kind(root)?,
        revision: Revision(root.get_revision()),
        updates,
        statuses,
        crashes,
        demands,
    })
}

fn read_kind(root: gossip::Reader<'_>) -> Result<GossipKind, WireError> {
    Ok(match root.get_kind().which()? {
        gossip::kind::Ping(()) => GossipKind::Ping,
        gossip::kind::Ack(seq) => GossipKind::Ack(seq),
        gossip::kind::PingReq(addr) => GossipKind::PingReq(text::parse("pingReq", addr)?),
        gossip::kind::Push(()) => GossipKind::Push,
    })
}

fn read_crash(record: crash_record::Reader<'_>) -> Result<CrashRecord, WireError> {
    let bytes = record.get_fingerprint()?;
    let Ok(fingerprint) = bytes.try_into() else {
        return Err(WireError::invalid("fingerprint", &"expected 16 bytes"));
    };
    Ok(CrashRecord {
        fingerprint: Fingerprint(fingerprint),
        vm: CompactString::new(text::read("vm", record.get_vm())?),
        at_unix_ms: UnixMs(record.get_at_unix_ms()),
    })
}

fn read_demand(record: demand_record::Reader<'_>) -> Result<DemandRecord, WireError> {
    Ok(DemandRecord {
        entry: CompactString::new(text::read("entry", record.get_entry())?),
        workspace: text::parse("workspace", record.get_workspace())?,
        seq: record.get_seq(),
        rate_milli: record.get_rate_milli(),
        in_progress: record.get_in_progress(),
    })
}
