//! Sends reports of the engine and its crashes to entries, and announces held chunks to
//! agents.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use masticdock_adapter::DeclaredVersion;
use masticdock_core::serving::{AgentReport, EngineRoom, PlaceRotation, PlaceRules, VersionNumber};
use masticdock_core::transfer::ChunkSet;
use masticdock_core::units::MonoMs;
use tokio::net::UdpSocket;
use tokio::time::{Instant, timeout_at};

use super::crashes;
use super::state::Agent;
use crate::datagram::{DATAGRAM_BYTES_MAX, Datagram, Hello, decode, encode};
use crate::{clock, pauses};

/// Minimum interval between two reports in which only the load differs.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Interval after which free places are divided again although the load did not change.
const DIVIDE_INTERVAL: Duration = Duration::from_millis(300);

/// Interval at which an unchanged report is sent again while the engine takes no requests.
/// Entries that missed it, or whose last report is stale, would rely on the engine's row.
const UNUSABLE_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Delay before a changed crash is sent, in which suspects of several entries arrive.
const CRASH_SEND_DELAY: Duration = Duration::from_millis(30);

/// Waits until `at`, or forever if there is no such time.
async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

/// Sends reports and announcements; returns only if the socket cannot be bound.
pub(crate) async fn run(agent: Rc<Agent>) {
    let address = SocketAddr::new(agent.settings.ip, agent.settings.peer_port);
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => socket,
        Err(error) => {
            log::error!(
                event = "listener.failed",
                address:% = address,
                error:% = error;
                "cannot bind the datagram socket; entries receive no reports of the engine"
            );
            return;
        }
    };
    let mut last_sent: Option<AgentReport> = None;
    let mut rotation = PlaceRotation::default();
    let mut divide_at: Option<Instant> = None;
    let mut load_due_at = Instant::now();
    let mut repeat_at: Option<Instant> = None;
    let mut announcer = Announcer::new();
    let mut send_crashes_at: Option<Instant> = None;
    let mut bytes = [0; DATAGRAM_BYTES_MAX];
    loop {
        let wake = tokio::select! {
            received = socket.recv_from(&mut bytes) => Some(received),
            () = agent.changed.notified() => None,
            () = tokio::time::sleep_until(load_due_at), if load_due_at > Instant::now() => None,
            () = announcer.wait_until_due() => None,
            () = wait_until(divide_at) => None,
            () = wait_until(repeat_at) => None,
            () = agent.crashes_changed.notified() => {
                send_crashes_at.get_or_insert_with(|| Instant::now() + CRASH_SEND_DELAY);
                None
            }
            () = wait_until(send_crashes_at) => {
                send_crashes_at = None;
                crashes::send_recent_to_all(&agent, &socket);
                None
            }
        };
        announcer.announce_if_due(&agent, &socket);
        let report = agent.report_for_entries();
        if let Some(Ok((length, sender))) = wake {
            match decode(&bytes[..length]) {
                Some(Datagram::Hello(hello)) => {
                    let is_new = record_hello(&agent, sender, &hello);
                    if is_new {
                        send_report(&socket, sender, report).await;
                    }
                    crashes::send_crashes(&agent, &socket, sender, is_new || hello.starting);
                }
                Some(Datagram::HeldChunks(version, held)) => {
                    let mut peers = agent.peer_chunks.borrow_mut();
                    peers.insert(sender.ip(), (version, held));
                    agent.peers_changed.notify_one();
                    continue;
                }
                Some(Datagram::Suspects(report)) => crashes::record_suspects(&agent, &report),
                Some(Datagram::Refuted(refuted)) => {
                    crashes::record_refuted(&agent, &socket, sender, &refuted);
                }
                Some(Datagram::Crash(crash)) => crashes::record_crash(&agent, &crash),
                Some(limited @ Datagram::Limited(_)) => {
                    crashes::send_to_others(&agent, &socket, sender, &limited);
                }
                Some(Datagram::Report(_)) | None => {}
            }
        }
        let urgent = last_sent.is_none_or(|last_sent| {
            last_sent.version != report.version
                || last_sent.switching != report.switching
                || last_sent.reachable != report.reachable
        });
        let due = last_sent != Some(report) && Instant::now() >= load_due_at
            || divide_at.is_some_and(|at| Instant::now() >= at)
            || repeat_at.is_some_and(|at| Instant::now() >= at);
        if !urgent && !due {
            continue;
        }
        let entries: Vec<SocketAddr> = agent.entries.borrow().keys().copied().collect();
        let places = free_places(&agent, &report).map(|free| rotation.divide(free, entries.len()));
        for (index, entry) in entries.into_iter().enumerate() {
            let granted = places.as_ref().map(|places| places[index]);
            let report = AgentReport {
                places: granted,
                ..report
            };
            send_report(&socket, entry, report).await;
        }
        // Places that nobody uses go to other entries after a while.
        let is_short = places.is_some_and(|places| places.contains(&0) && places.contains(&1));
        divide_at = is_short.then(|| Instant::now() + DIVIDE_INTERVAL);
        let is_unusable = report.switching || !report.reachable;
        repeat_at = is_unusable.then(|| Instant::now() + UNUSABLE_REPORT_INTERVAL);
        last_sent = Some(report);
        load_due_at = Instant::now() + LOAD_REPORT_INTERVAL;
    }
}

/// Minimum interval between two announcements of held chunks.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(60);
/// Interval after which an unchanged announcement is sent again, since datagrams can be
/// lost.
const REANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// Announces the held chunks of the newest version to the agents of the region.
struct Announcer {
    last_announced: Option<(VersionNumber, ChunkSet)>,
    announced_at: Instant,
    next_at: Instant,
}

impl Announcer {
    fn new() -> Self {
        Self {
            last_announced: None,
            announced_at: Instant::now(),
            next_at: Instant::now(),
        }
    }

    /// Waits until an announcement may be due; waits forever while no version is being
    /// fetched.
    async fn wait_until_due(&self) {
        if self.last_announced.is_none() {
            return std::future::pending().await;
        }
        tokio::time::sleep_until(self.next_at).await;
    }

    fn announce_if_due(&mut self, agent: &Agent, socket: &UdpSocket) {
        let Some(chunks) = agent.newest_in_memory() else {
            self.last_announced = None;
            return;
        };
        let current = (chunks.version, chunks.held_set());
        if self.last_announced.is_some() {
            let changed = self.last_announced.as_ref() != Some(&current);
            let interval = if changed {
                ANNOUNCE_INTERVAL
            } else {
                REANNOUNCE_INTERVAL
            };
            self.next_at = self.announced_at + interval;
            if Instant::now() < self.next_at {
                return;
            }
        }
        let Some(target) = agent.target_model() else {
            return;
        };
        let bytes = encode(&Datagram::HeldChunks(current.0, current.1.clone()));
        for peer in agent.peers(&target, current.0) {
            if peer.chunk_peer.region == agent.settings.region {
                // A lost datagram is made up for by the next announcement.
                let _ = socket.try_send_to(&bytes, peer.agent);
            }
        }
        self.last_announced = Some(current);
        self.announced_at = Instant::now();
        self.next_at = self.announced_at + REANNOUNCE_INTERVAL;
    }
}

/// Time after a pause of the process in which hellos from before its end are read, in
/// milliseconds.
const QUEUED_HELLOS_MS: u64 = 200;

/// Records a hello; returns true if the entry was not known.
fn record_hello(agent: &Agent, entry: SocketAddr, hello: &Hello) -> bool {
    let now = clock::now();
    let had_target = agent.target_model().is_some();
    let is_new = agent.record_hello(entry, hello, now);
    record_versions(agent, &hello.versions, now);
    if !had_target {
        agent.changed.notify_waiters();
    }
    is_new
}

/// Records the versions of a hello.
fn record_versions(agent: &Agent, versions: &[(DeclaredVersion, u64)], now: MonoMs) {
    // A hello that arrived during a pause is as old as the pause at most.
    let queued_since = MonoMs(now.0.saturating_sub(QUEUED_HELLOS_MS));
    let heard_at = pauses::after(queued_since).map_or(now, |pause| pause.began_at);
    let mut catalog = agent.catalog.borrow_mut();
    let mut newer = false;
    for (declared, age_ms) in versions {
        let learnt_at = MonoMs(heard_at.0.saturating_sub(*age_ms));
        newer |= catalog.record_version(declared, learnt_at, "entry");
    }
    drop(catalog);
    if newer {
        agent.changed.notify_waiters();
    }
}

/// Returns the number of requests that all entries together may send to the engine until
/// the next report; `None` while its slots are unknown.
fn free_places(agent: &Agent, report: &AgentReport) -> Option<u32> {
    let target = agent.target_model()?;
    let room = EngineRoom {
        slots: target.slots,
        total: report.running.saturating_add(report.queued),
        pending_prefills: report.pending_prefills,
        mean_prefill_ms: target.mean_prefill_ms,
        full_pass_ms: target.full_pass_ms,
        pause_objective_ms: target.pause_objective_ms,
        slowness: report.slowness,
    };
    Some(room.free_places(&PlaceRules::default()))
}

async fn send_report(socket: &UdpSocket, entry: SocketAddr, report: AgentReport) {
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
            "cannot send a report to an entry; the next report replaces it"
        );
    }
}
