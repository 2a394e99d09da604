//! Subscribes to the agents' reports on their engines and applies them.

use std::collections::HashSet;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use masticdock_core::ids::UpstreamId;
use masticdock_core::serving::AgentReport;
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use super::state::Entry;
use crate::clock;
use crate::datagram::{Datagram, Hello, decode, encode};

/// Interval between rounds of hellos; an agent removes an entry after three rounds
/// without one.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between checks for upstreams that joined.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Sends hellos to the agents and applies their reports; returns only if the socket
/// cannot be bound.
pub(crate) async fn run(entry: Rc<Entry>) {
    let address = SocketAddr::new(entry.settings.ip, entry.settings.peer_port);
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => socket,
        Err(error) => {
            log::error!(event = "listener.failed", address:% = address, error:% = error; "cannot receive agents' reports; only upstream rows are used");
            return;
        }
    };
    let mut hello_timer = interval(HELLO_INTERVAL);
    hello_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut hello_sent_to: HashSet<IpAddr> = HashSet::new();
    let mut join_timer = interval(JOIN_CHECK_INTERVAL);
    join_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut bytes = [0; 64];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut bytes) => {
                let Ok((length, from)) = received else {
                    // The error concerns an earlier datagram; receiving continues.
                    continue;
                };
                if let Some(Datagram::Report(report)) = decode(&bytes[..length]) {
                    apply_report(&entry, from.ip(), report);
                }
                continue;
            }
            _ = hello_timer.tick() => {
                hello_sent_to.clear();
            }
            _ = join_timer.tick() => {}
            () = entry.version_declared.notified() => hello_sent_to.clear(),
        }
        let hello = encode(&Datagram::Hello(build_hello(&entry)));
        for ip in agent_ips(&entry) {
            if hello_sent_to.insert(ip) {
                let agent = SocketAddr::new(ip, entry.settings.peer_port);
                // A full send buffer drops the hello; the next round sends another.
                let _ = socket.try_send_to(&hello, agent);
            }
        }
    }
}

fn build_hello(entry: &Entry) -> Hello {
    let catalog = entry.catalog.borrow();
    Hello {
        resumable: catalog
            .configuration
            .as_ref()
            .is_some_and(|configuration| configuration.engine_streams_resumable()),
        versions: catalog.newest_versions(),
    }
}

/// Returns the addresses of the VMs whose upstream has an engine and thus an agent.
fn agent_ips(entry: &Entry) -> Vec<IpAddr> {
    let catalog = entry.catalog.borrow();
    let Some(configuration) = &catalog.configuration else {
        return Vec::new();
    };
    catalog
        .directory
        .iter()
        .filter(|upstream| {
            configuration
                .services
                .get(&upstream.service)
                .is_some_and(|service| service.engine.is_some())
        })
        .map(|upstream| upstream.address.ip())
        .collect()
}

fn apply_report(entry: &Entry, ip: IpAddr, report: AgentReport) {
    let id: Option<UpstreamId> = {
        let catalog = entry.catalog.borrow();
        catalog
            .directory
            .iter()
            .find(|upstream| upstream.address.ip() == ip)
            .map(|upstream| upstream.id.clone())
    };
    let Some(id) = id else {
        return;
    };
    let now = clock::now();
    let previous = entry.reports.borrow_mut().insert(id.clone(), (report, now));
    entry.with_load(&id, |load| {
        load.set_entry_count(report.entries);
        load.record_report(report.running + report.queued, report.pending_prefills, now);
        let was_unreachable = previous.is_some_and(|(previous, _)| !previous.reachable);
        if report.reachable && was_unreachable {
            load.record_recovery(now);
        }
    });
    let changed = previous.is_none_or(|(previous, _)| {
        previous.version != report.version
            || previous.switching != report.switching
            || previous.reachable != report.reachable
    });
    if changed {
        log::info!(
            event = "upstream.reported",
            upstream = id.as_str(),
            weights = report.version.map_or(0, |version| version.0),
            switching = report.switching,
            reachable = report.reachable,
            running = report.running,
            queued = report.queued;
            "an agent reported a change of its engine's state"
        );
    }
}
