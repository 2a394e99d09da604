//! Subscribes to the agents' reports on their engines and applies them, as well as the
//! crashes and limits that they pass on.

use std::collections::{BTreeMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use masticdock_core::ids::ServiceId;
use masticdock_core::serving::{AgentReport, Upstream};
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use super::cold_start;
use super::crashes;
use super::rate_limits;
use super::state::Entry;
use crate::clock;
use crate::datagram::{ConfiguredTarget, DATAGRAM_BYTES_MAX, Datagram, Hello, decode, encode};

/// Interval between rounds of hellos; an agent removes an entry after three rounds
/// without one.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);

/// Time from the start of the process in which hellos say so, in milliseconds: some of
/// them, or of the replies, can be lost.
const STARTING_MS: u64 = 5_000;

/// Interval between checks for upstreams that joined.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Sends hellos to the agents and applies their reports; returns only if the socket
/// cannot be bound.
pub(crate) async fn run(entry: Rc<Entry>) {
    let address = SocketAddr::new(entry.settings.ip, entry.settings.peer_port);
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Rc::new(socket),
        Err(error) => {
            log::error!(event = "listener.failed", address:% = address, error:% = error; "cannot receive agents' reports; only upstream rows are used");
            return;
        }
    };
    entry.agent_socket.set(Rc::clone(&socket));
    let mut hello_timer = interval(HELLO_INTERVAL);
    hello_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut hello_sent_to: HashSet<IpAddr> = HashSet::new();
    let mut join_timer = interval(JOIN_CHECK_INTERVAL);
    join_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut bytes = [0; DATAGRAM_BYTES_MAX];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut bytes) => {
                let Ok((length, from)) = received else {
                    // The error concerns an earlier datagram; receiving continues.
                    continue;
                };
                match decode(&bytes[..length]) {
                    Some(Datagram::Report(report)) => apply_report(&entry, from.ip(), report),
                    Some(Datagram::Crash(crash)) => {
                        crashes::record_crash(&entry, &crash.to_record(clock::now()));
                    }
                    Some(Datagram::Refuted(refuted)) => crashes::record_refuted(&entry, refuted),
                    Some(Datagram::Limited(limited)) => {
                        rate_limits::record_elsewhere(&entry, limited);
                    }
                    _ => {}
                }
                continue;
            }
            _ = hello_timer.tick() => {
                hello_sent_to.clear();
            }
            _ = join_timer.tick() => {}
            () = entry.version_declared.notified() => hello_sent_to.clear(),
        }
        for (service, ips) in agent_ips_by_service(&entry) {
            let hello = encode(&Datagram::Hello(build_hello(&entry, &service)));
            for ip in ips {
                if hello_sent_to.insert(ip) {
                    let agent = SocketAddr::new(ip, entry.settings.peer_port);
                    // A full send buffer drops the hello; the next round sends another.
                    let _ = socket.try_send_to(&hello, agent);
                }
            }
        }
    }
}

/// Returns the hello for the agents of a service.
fn build_hello(entry: &Entry, service: &ServiceId) -> Hello {
    let catalog = entry.catalog.borrow();
    let configuration = catalog.configuration.as_ref();
    let target = configuration.and_then(|configuration| {
        ConfiguredTarget::of(configuration, catalog.configuration_stamp(), service)
    });
    let poll_age_ms = catalog
        .operators_polled_at
        .map_or(u64::MAX, |polled_at| clock::now().since_ms(polled_at));
    Hello {
        resumable: configuration
            .is_some_and(|configuration| configuration.engine_streams_resumable()),
        starting: clock::uptime_ms() < STARTING_MS,
        poll_age_ms: u32::try_from(poll_age_ms).unwrap_or(u32::MAX),
        zone: entry.settings.zone.clone(),
        target,
        versions: catalog.newest_versions(),
    }
}

/// Returns the addresses of the VMs whose upstream has an engine and thus an agent, by
/// service.
pub(super) fn agent_ips_by_service(entry: &Entry) -> BTreeMap<ServiceId, Vec<IpAddr>> {
    let catalog = entry.catalog.borrow();
    let mut ips: BTreeMap<ServiceId, Vec<IpAddr>> = BTreeMap::new();
    let Some(configuration) = &catalog.configuration else {
        return ips;
    };
    for upstream in catalog.directory.iter() {
        let service = configuration.services.get(&upstream.service);
        if service.is_none_or(|service| service.engine.is_none()) {
            continue;
        }
        ips.entry(upstream.service.clone())
            .or_default()
            .push(upstream.address.ip());
    }
    ips
}

/// Applies a report to the upstreams whose rows name the agent's VM: usually one, and
/// after a restart of the engine also its former incarnation.
fn apply_report(entry: &Entry, ip: IpAddr, report: AgentReport) {
    entry.entry_count.record(report.entries, clock::now());
    let listed: Vec<Upstream> = {
        let catalog = entry.catalog.borrow();
        let on_vm = catalog.directory.iter();
        on_vm
            .filter(|upstream| upstream.address.ip() == ip)
            .cloned()
            .collect()
    };
    for upstream in listed {
        let report = report.for_incarnation(upstream.started_at_ms);
        apply_to_incarnation(entry, &upstream, report);
        if report.places != Some(0) {
            entry.admission.wake(&upstream.service);
        }
    }
}

fn apply_to_incarnation(entry: &Entry, upstream: &Upstream, report: AgentReport) {
    let now = clock::now();
    let id = &upstream.id;
    let previous = entry.reports.borrow_mut().insert(id.clone(), (report, now));
    if previous.is_some_and(|(previous, _)| report.follows_start(&previous)) {
        cold_start::record_start(entry, upstream, "agent");
    }
    entry.with_load(id, |load| {
        load.set_entry_count(report.entries);
        load.set_places(report.places, now);
        load.told_slowness.record_report(report.slowness, now);
        let total = report.running.saturating_add(report.queued);
        load.record_report(total, report.pending_prefills, now);
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
