//! Asks agents for the state of their engines and takes it over.

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

/// Time between two rounds of hellos; an agent forgets an entry after three.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two looks for upstreams that joined.
const LOOK_INTERVAL: Duration = Duration::from_millis(150);

/// Follows the reports of agents for ever.
pub(crate) async fn run(entry: Rc<Entry>) {
    let address = SocketAddr::new(entry.settings.ip, entry.settings.peer_port);
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => socket,
        Err(error) => {
            log::error!(event = "listener.failed", address:% = address, error:% = error; "cannot take reports of agents; rows of upstreams are used alone");
            return;
        }
    };
    let mut hellos = interval(HELLO_INTERVAL);
    hellos.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut greeted: HashSet<IpAddr> = HashSet::new();
    let mut look = interval(LOOK_INTERVAL);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut bytes = [0; 64];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut bytes) => {
                let Ok((length, from)) = received else {
                    // The error of an earlier datagram; the next call waits again.
                    continue;
                };
                if let Some(Datagram::Report(report)) = decode(&bytes[..length]) {
                    take_over(&entry, from.ip(), report);
                }
                continue;
            }
            _ = hellos.tick() => {
                greeted.clear();
            }
            _ = look.tick() => {}
            () = entry.versions_changed.notified() => greeted.clear(),
        }
        let hello = encode(&Datagram::Hello(hello(&entry)));
        for ip in engine_ips(&entry) {
            if greeted.insert(ip) {
                let agent = SocketAddr::new(ip, entry.settings.peer_port);
                // A full send buffer loses one hello; the next round repeats it.
                let _ = socket.try_send_to(&hello, agent);
            }
        }
    }
}

fn hello(entry: &Entry) -> Hello {
    let catalog = entry.catalog.borrow();
    Hello {
        resumable: catalog
            .configuration
            .as_ref()
            .is_some_and(|configuration| configuration.engine_streams_resumable()),
        versions: catalog.newest_versions(),
    }
}

/// Returns the VMs of upstreams with an agent.
fn engine_ips(entry: &Entry) -> Vec<IpAddr> {
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

fn take_over(entry: &Entry, ip: IpAddr, report: AgentReport) {
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
        let was_away = previous.is_some_and(|(previous, _)| !previous.reachable);
        if report.reachable && was_away {
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
            "an agent reports a change of its engine"
        );
    }
}
