//! Tells entries the state of the engine.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::{CompactString, ToCompactString};
use masticdock_adapter::DeclaredVersion;
use masticdock_core::serving::{AgentReport, EntryStagger, VersionNumber};
use masticdock_core::transfer::ChunkSet;
use masticdock_core::units::MonoMs;
use tokio::net::UdpSocket;
use tokio::time::{Instant, timeout_at};

use super::state::Agent;
use crate::clock;
use crate::datagram::{DATAGRAM_BYTES_MAX, Datagram, decode, encode};

/// Time after its last hello in which an entry is told, in milliseconds.
const SUBSCRIPTION_MS: u64 = 3_500;
/// Shortest time between two reports of load alone.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);

/// Tells entries for ever.
pub(crate) async fn run(agent: Rc<Agent>) {
    let address = SocketAddr::new(agent.settings.ip, agent.settings.peer_port);
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => socket,
        Err(error) => {
            log::error!(
                event = "listener.failed",
                address:% = address,
                error:% = error;
                "cannot tell entries the state of the engine"
            );
            return;
        }
    };
    let mut entries: BTreeMap<SocketAddr, MonoMs> = BTreeMap::new();
    let mut told: Option<AgentReport> = None;
    let mut turns: Option<EntryStagger> = None;
    let mut load_due = Instant::now();
    let mut announcer = Announcer::new();
    let mut bytes = [0; DATAGRAM_BYTES_MAX];
    loop {
        let wake = tokio::select! {
            received = socket.recv_from(&mut bytes) => Some(received),
            () = agent.changed.notified() => None,
            () = tokio::time::sleep_until(load_due), if load_due > Instant::now() => None,
            () = announcer.due() => None,
        };
        announcer.run(&agent, &socket);
        let report = agent.report_for_entries();
        if let Some(Ok((length, entry))) = wake
            && let Some(Datagram::Hello(hello)) = decode(&bytes[..length])
        {
            let now = clock::now();
            agent.hello_at.set(now);
            if !hello.resumable {
                agent.unresumable_at.set(now);
            }
            learn(&agent, &hello.versions, now);
            if entries.insert(entry, now).is_none() {
                send(&socket, entry, report, turns.as_ref()).await;
            }
            entries.retain(|_, hello_at| now.since_ms(*hello_at) < SUBSCRIPTION_MS);
            let count = u32::try_from(entries.len()).unwrap_or(u32::MAX);
            agent.entries.set(count);
        } else if let Some(Ok((length, peer))) = wake
            && let Some(Datagram::HeldChunks(version, held)) = decode(&bytes[..length])
        {
            let mut peers = agent.peer_pieces.borrow_mut();
            peers.insert(peer.ip(), (version, held));
            agent.peers_changed.notify_one();
            continue;
        }
        let urgent = told.is_none_or(|told| {
            told.version != report.version
                || told.switching != report.switching
                || told.reachable != report.reachable
        });
        let due = told != Some(report) && Instant::now() >= load_due;
        if !urgent && !due {
            continue;
        }
        if is_usable(&report) && !told.as_ref().is_some_and(is_usable) {
            turns = order_entries(&agent, &entries);
        }
        for entry in entries.keys() {
            send(&socket, *entry, report, turns.as_ref()).await;
        }
        told = Some(report);
        load_due = Instant::now() + LOAD_INTERVAL;
    }
}

/// Shortest time between two announcements of pieces.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(60);
/// Time after which an announcement is repeated, since datagrams get lost.
const ANNOUNCE_AGAIN: Duration = Duration::from_millis(300);

/// Tells the agents of the region which pieces of the newest version are here.
struct Announcer {
    told: Option<(VersionNumber, ChunkSet)>,
    told_at: Instant,
    next_at: Instant,
}

impl Announcer {
    fn new() -> Self {
        Self {
            told: None,
            told_at: Instant::now(),
            next_at: Instant::now(),
        }
    }

    /// Waits until an announcement may be due; for ever while nothing is fetched.
    async fn due(&self) {
        if self.told.is_none() {
            return std::future::pending().await;
        }
        tokio::time::sleep_until(self.next_at).await;
    }

    fn run(&mut self, agent: &Agent, socket: &UdpSocket) {
        let Some(pieces) = agent.newest_in_memory() else {
            self.told = None;
            return;
        };
        let now = (pieces.version, pieces.held_set());
        if self.told.is_some() {
            let changed = self.told.as_ref() != Some(&now);
            let interval = if changed {
                ANNOUNCE_INTERVAL
            } else {
                ANNOUNCE_AGAIN
            };
            self.next_at = self.told_at + interval;
            if Instant::now() < self.next_at {
                return;
            }
        }
        let Some(goal) = agent.model_goal() else {
            return;
        };
        let bytes = encode(&Datagram::HeldChunks(now.0, now.1.clone()));
        for peer in agent.peers(&goal, now.0) {
            if peer.pieces.region == agent.settings.region {
                // A lost datagram is repeated.
                let _ = socket.try_send_to(&bytes, peer.agent);
            }
        }
        self.told = Some(now);
        self.told_at = Instant::now();
        self.next_at = self.told_at + ANNOUNCE_AGAIN;
    }
}

/// Takes over versions that an entry knows.
fn learn(agent: &Agent, versions: &[(DeclaredVersion, u64)], now: MonoMs) {
    let mut catalog = agent.catalog.borrow_mut();
    let mut newer = false;
    for (declared, age_ms) in versions {
        let learnt_at = MonoMs(now.0.saturating_sub(*age_ms));
        newer |= catalog.learn_version(declared, learnt_at, "entry");
    }
    drop(catalog);
    if newer {
        agent.changed.notify_waiters();
    }
}

/// Returns true when entries may send to the engine.
const fn is_usable(report: &AgentReport) -> bool {
    report.reachable && !report.switching && report.version.is_some()
}

/// Orders the entries that are told; `None` before the engine's speed is known.
fn order_entries(agent: &Agent, entries: &BTreeMap<SocketAddr, MonoMs>) -> Option<EntryStagger> {
    let engine = agent.model_goal()?.engine;
    let names: Vec<CompactString> = entries
        .keys()
        .map(ToCompactString::to_compact_string)
        .collect();
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let step_ms = engine.mean_prefill_ms() as u64;
    Some(EntryStagger::new(&names, step_ms, clock::now()))
}

async fn send(
    socket: &UdpSocket,
    entry: SocketAddr,
    mut report: AgentReport,
    turns: Option<&EntryStagger>,
) {
    let wait_ms = turns.map_or(0, |turns| {
        turns.start_delay_ms(&entry.to_compact_string(), clock::now())
    });
    report.start_delay_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
    let bytes = encode(&Datagram::Report(report));
    let sent = timeout_at(
        Instant::now() + Duration::from_millis(20),
        socket.send_to(&bytes, entry),
    );
    if let Ok(Err(error)) = sent.await {
        log::warn!(
            event = "report.unsent",
            entry:% = entry,
            error:% = error;
            "cannot send a report to an entry; the next one follows"
        );
    }
}
