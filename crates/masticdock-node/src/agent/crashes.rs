//! Confirms crashes of the engine on this VM, keeps those of upstreams without an agent
//! that entries confirmed, and tells all entries.

use std::net::SocketAddr;

use masticdock_adapter::EngineReport;
use masticdock_core::serving::{CrashRecord, UpstreamProcess};
use masticdock_core::units::MonoMs;
use tokio::net::UdpSocket;

use super::state::Agent;
use crate::clock;
use crate::datagram::{Crash, Datagram, Refuted, Suspects, encode};

/// Time after a crash in which it is sent again with each hello of an entry, in
/// milliseconds, since datagrams can be lost.
const RESEND_MS: u64 = 20_000;

/// Records whether the engine answers, and as which process.
pub(crate) fn record_engine(agent: &Agent, report: Option<&EngineReport>) {
    // 0 stands for a process whose start time is unknown.
    let running = report.map(|report| report.started_at_ms.unwrap_or(0));
    let now = clock::now();
    if !agent.crashes.borrow_mut().record_engine(running, now) {
        return;
    }
    if let Some(record) = agent.crashes.borrow().records().last() {
        log::warn!(
            event = "crash.confirmed",
            started_at_ms = record.id.started_at_ms,
            age_ms = now.since_ms(record.at),
            suspects = record.suspects.len();
            "the engine crashed while it ran requests"
        );
    }
    agent.crashes_changed.notify_one();
}

/// Records which request an entry suspects of a crash.
pub(crate) fn record_suspects(agent: &Agent, report: &Suspects) {
    let mut crashes = agent.crashes.borrow_mut();
    if crashes.record_suspects(report.started_at_ms, &report.suspects, clock::now()) {
        agent.crashes_changed.notify_one();
    }
}

/// Records a crash that an entry has confirmed, so that the other entries learn of it.
pub(crate) fn record_crash(agent: &Agent, crash: &Crash) {
    let now = clock::now();
    let record = crash.to_record(now);
    if agent.kept_crashes.borrow_mut().record(&record, now) {
        agent.crashes_changed.notify_one();
    }
}

/// Records which suspects an entry has refuted, and tells the other entries.
pub(crate) fn record_refuted(
    agent: &Agent,
    socket: &UdpSocket,
    sender: SocketAddr,
    refuted: &Refuted,
) {
    let UpstreamProcess { vm, .. } = refuted.id;
    let changed = if vm == agent.settings.ip {
        let mut crashes = agent.crashes.borrow_mut();
        crashes.record_refuted(refuted.id, &refuted.features)
    } else {
        let mut kept = agent.kept_crashes.borrow_mut();
        kept.record_refuted(refuted.id, &refuted.features)
    };
    if !changed {
        return;
    }
    // An entry that misses this refutes the suspect by a success of its own.
    send_to_others(agent, socket, sender, &Datagram::Refuted(refuted.clone()));
}

/// Sends a datagram of an entry to all other known entries.
pub(crate) fn send_to_others(
    agent: &Agent,
    socket: &UdpSocket,
    sender: SocketAddr,
    datagram: &Datagram,
) {
    let bytes = encode(datagram);
    for entry in agent.entries.borrow().keys() {
        if *entry != sender {
            // Lost datagrams are repeated by their sender or do not matter.
            let _ = socket.try_send_to(&bytes, *entry);
        }
    }
}

/// Sends the recent crashes to all known entries.
pub(crate) fn send_recent_to_all(agent: &Agent, socket: &UdpSocket) {
    let entries: Vec<SocketAddr> = agent.entries.borrow().keys().copied().collect();
    for entry in entries {
        send_crashes(agent, socket, entry, false);
    }
}

/// Sends the recent crashes to an entry, or all of them if it may know none.
pub(crate) fn send_crashes(agent: &Agent, socket: &UdpSocket, entry: SocketAddr, all: bool) {
    let now = clock::now();
    let (crashes, kept) = (agent.crashes.borrow(), agent.kept_crashes.borrow());
    for record in crashes.records().chain(kept.iter()) {
        if all || now.since_ms(record.at) < RESEND_MS {
            send_crash(socket, entry, record, now);
        }
    }
}

fn send_crash(socket: &UdpSocket, entry: SocketAddr, record: &CrashRecord, now: MonoMs) {
    for crash in Crash::of_record(record, now) {
        // A lost datagram is made up for with the next hello of the entry.
        let _ = socket.try_send_to(&encode(&Datagram::Crash(crash)), entry);
    }
}
