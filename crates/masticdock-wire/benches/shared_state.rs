//! Measures the cost of the state that all members share: gossip traffic, time and memory of the
//! membership view, and time to apply configuration changes, at several fleet sizes.
//!
//! `cargo bench -p masticdock-wire --bench shared_state` prints the tables of
//! docs/MEASUREMENTS.md.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Instant;

use compact_str::format_compact;
use masticdock_core::config_log::{AcceptedChange, ConfigState, StoredResource};
use masticdock_core::ids::{BootEpoch, Revision};
use masticdock_core::membership::{
    FleetMember, GossipKind, GossipMessage, Member, MemberStatus, MembershipEvent,
    OutgoingDatagram, Phase, Role, Swim, SwimConfig,
};
use masticdock_core::resource::{Labels, Resource, ResourceChange, VmLabels};
use masticdock_core::units::{MonoMs, UnixMs};
use masticdock_wire::{decode_gossip, encode_gossip};

/// Bytes that the MAC, the UDP header and the IPv4 header add to each datagram.
const OVERHEAD_BYTES: usize = 32 + 28;
const STEP_MS: u64 = 50;

fn addr(index: usize) -> SocketAddr {
    let port = u16::try_from(10_000 + index).expect("the sizes are small");
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn fleet_member(index: usize) -> FleetMember {
    FleetMember {
        id: format_compact!("vm-itagui-{index:04}"),
        role: Role::Agent,
        leaving: false,
        region: format!("region-{}", index % 2).parse().expect("valid"),
        zone: format!("region-{}-{}", index % 2, index % 7)
            .parse()
            .expect("valid"),
        peer_addr: addr(index),
        traffic_addr: Some(addr(index)),
    }
}

fn status(phase: Phase) -> MemberStatus {
    MemberStatus {
        phase,
        serving_version: Some("grind-assistant-v12".parse().expect("valid")),
        services: vec!["assistant".parse().expect("valid")],
        ..MemberStatus::default()
    }
}

fn member(index: usize) -> Member {
    Member {
        boot_epoch: BootEpoch(1_796_000_000_000 + index as u64),
        status: status(Phase::Serving),
        ..fleet_member(index).to_member()
    }
}

struct Network {
    now_ms: u64,
    swims: BTreeMap<SocketAddr, Swim>,
    bytes: u64,
    datagrams: u64,
}

impl Network {
    fn new(count: usize) -> Self {
        let members: Vec<Member> = (0..count).map(member).collect();
        let fleet_members: Vec<FleetMember> = (0..count).map(fleet_member).collect();
        let mut swims = BTreeMap::new();
        for own in &members {
            let seed = u64::from(own.peer_addr.port());
            let mut swim = Swim::new(SwimConfig::default(), own.clone(), seed);
            swim.set_fleet(&fleet_members);
            for other in &members {
                swim.merge_update(other, MonoMs(0));
            }
            swims.insert(own.peer_addr, swim);
        }
        let mut network = Self {
            now_ms: 0,
            swims,
            bytes: 0,
            datagrams: 0,
        };
        // Runs until the updates queued at the start are no longer pushed.
        network.run(60);
        while network.run(5).1 > count as u64 * 5 * 2 + 10 {}
        network
    }

    fn deliver(&mut self, from: SocketAddr, outgoing: Vec<OutgoingDatagram>) {
        let mut pending: Vec<(SocketAddr, OutgoingDatagram)> =
            outgoing.into_iter().map(|out| (from, out)).collect();
        while let Some((from, out)) = pending.pop() {
            self.bytes += (encode_gossip(&out.message).len() + OVERHEAD_BYTES) as u64;
            self.datagrams += 1;
            let Some(swim) = self.swims.get_mut(&out.to) else {
                continue;
            };
            for reply in swim.receive(from, out.message, MonoMs(self.now_ms)) {
                pending.push((out.to, reply));
            }
            // The change itself is fetched by RPC, which is not counted here.
            for event in swim.take_events() {
                if let MembershipEvent::HigherRevision { revision, .. } = event {
                    swim.set_revision(revision);
                }
            }
        }
    }

    /// Runs the network for `seconds` of simulated time; returns the total number of bytes and of
    /// datagrams sent by all members.
    fn run(&mut self, seconds: u64) -> (u64, u64) {
        let before = (self.bytes, self.datagrams);
        for _ in 0..seconds * 1_000 / STEP_MS {
            self.now_ms += STEP_MS;
            for address in self.swims.keys().copied().collect::<Vec<_>>() {
                let Some(swim) = self.swims.get_mut(&address) else {
                    continue;
                };
                let outgoing = swim.tick(MonoMs(self.now_ms));
                self.deliver(address, outgoing);
            }
        }
        (self.bytes - before.0, self.datagrams - before.1)
    }
}

#[allow(clippy::cast_precision_loss)]
fn per_node(bytes: u64, nodes: usize) -> f64 {
    bytes as f64 / nodes as f64
}

fn measure_gossip_bytes(count: usize) {
    const SECONDS: u64 = 20;
    const CHANGES: u64 = 5;
    let mut network = Network::new(count);
    let idle = network.run(SECONDS).0;
    let mut revisions = 0;
    for revision in 1..=CHANGES {
        let first = network.swims.values_mut().next().expect("not empty");
        first.set_revision(Revision(revision));
        revisions += network.run(SECONDS).0 - idle;
    }
    let swim_count = network.swims.values().count();
    let mut statuses = 0;
    for number in 0..CHANGES {
        let first = network.swims.values_mut().next().expect("not empty");
        let phase = if number % 2 == 0 {
            Phase::Fetching
        } else {
            Phase::Serving
        };
        first.set_own_status(status(phase));
        statuses += network.run(SECONDS).0.saturating_sub(idle);
    }
    // Simulates a rollout: a tenth of the members change their status at the same time.
    for swim in network.swims.values_mut().take(count / 10) {
        swim.set_own_status(status(Phase::Draining));
    }
    let burst = network.run(2 * SECONDS).0.saturating_sub(2 * idle);
    #[allow(clippy::cast_precision_loss)]
    let changes = CHANGES as f64;
    #[allow(clippy::cast_precision_loss)]
    let changed_members = (count / 10) as f64;
    #[allow(clippy::cast_precision_loss)]
    let seconds = SECONDS as f64;
    println!(
        "| {swim_count} | {:.0} | {:.0} | {:.0} | {:.0} |",
        per_node(idle, count) / seconds,
        per_node(revisions, count) / changes,
        per_node(statuses, count) / changes,
        per_node(burst, count) / changed_members,
    );
}

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_u64) * 4_096
}

fn mean_micros(rounds: u32, mut operation: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    for round in 0..rounds {
        operation(round);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

/// Acknowledges the pings of a tick on behalf of the other members.
fn acknowledge(swim: &mut Swim, outgoing: Vec<OutgoingDatagram>, now_ms: u64) {
    for out in outgoing {
        if out.message.kind != GossipKind::Ping {
            continue;
        }
        let found = swim.members().find(|member| member.peer_addr == out.to);
        let Some(from) = found.map(|member| member.id.clone()) else {
            continue;
        };
        let ack = GossipMessage {
            from,
            kind: GossipKind::Ack(out.message.seq),
            updates: Vec::new(),
            ..out.message
        };
        swim.receive(out.to, ack, MonoMs(now_ms));
    }
}

/// Returns a membership view of `count` members with an empty push queue, and the simulated time
/// in milliseconds.
fn full_view(count: usize) -> (Swim, u64) {
    let fleet_members: Vec<FleetMember> = (0..count).map(fleet_member).collect();
    let mut swim = Swim::new(SwimConfig::default(), member(0), 1);
    swim.set_fleet(&fleet_members);
    for index in 1..count {
        swim.merge_update(&member(index), MonoMs(0));
    }
    let mut now_ms = 0;
    for _ in 0..10_000 {
        if swim.push_queue_is_empty() {
            break;
        }
        now_ms += 200;
        let outgoing = swim.tick(MonoMs(now_ms));
        acknowledge(&mut swim, outgoing, now_ms);
    }
    (swim, now_ms)
}

/// Measures the resident memory of a membership view, per member; the views are leaked, because
/// reuse of freed memory would lower the result.
fn memory_per_member(count: usize) -> u64 {
    const COPIES: usize = 8;
    let before = resident_bytes();
    for _ in 0..COPIES {
        std::mem::forget(full_view(count).0);
    }
    (resident_bytes() - before) / (COPIES * count) as u64
}

fn measure_node(count: usize) {
    let per_member = memory_per_member(count);
    let (mut swim, mut now_ms) = full_view(count);
    let tick = mean_micros(2_000, |_| {
        now_ms += STEP_MS;
        let outgoing = swim.tick(MonoMs(now_ms));
        acknowledge(&mut swim, outgoing, now_ms);
    });
    let mut update = member(count / 2);
    let push = mean_micros(500, |round| {
        update.status.seq += u64::from(round) + 1;
        swim.merge_update(&update, MonoMs(now_ms));
        now_ms += 200;
        let outgoing = swim.tick(MonoMs(now_ms));
        acknowledge(&mut swim, outgoing, now_ms);
    });
    let datagram = encode_gossip(&GossipMessage {
        from: member(1).id,
        seq: 1,
        kind: GossipKind::Ping,
        revision: Revision(1),
        updates: (1..4).map(member).collect(),
        statuses: Vec::new(),
        crashes: Vec::new(),
        demands: Vec::new(),
    });
    let receive = mean_micros(2_000, |_| {
        let message = decode_gossip(&datagram).expect("just encoded");
        black_box(swim.receive(addr(1), message, MonoMs(now_ms)));
    });
    let copy = mean_micros(100, |_| {
        let list: Vec<Member> = swim.members().cloned().collect();
        black_box(list);
    });
    // All other members stop answering: the region is partitioned and its members stay suspect.
    for _ in 0..2_000 {
        now_ms += STEP_MS;
        black_box(swim.tick(MonoMs(now_ms)));
    }
    let partitioned_tick = mean_micros(500, |_| {
        now_ms += STEP_MS;
        black_box(swim.tick(MonoMs(now_ms)));
    });
    println!(
        "| {count} | {per_member} | {tick:.1} | {push:.0} | {receive:.1} | {copy:.0} | {partitioned_tick:.0} |"
    );
}

fn change(revision: u64, index: usize) -> AcceptedChange {
    let labels: Labels = [("fleet".into(), "assistant".into())].into();
    AcceptedChange {
        revision: Revision(revision),
        change_id: format!("change-{revision}").parse().expect("valid"),
        operator: "ana".parse().expect("valid"),
        accepted_at_unix_ms: UnixMs(revision),
        changes: vec![ResourceChange::Put(Resource::VmLabels(VmLabels {
            name: format!("vm-itagui-{index:05}").parse().expect("valid"),
            labels,
        }))],
    }
}

fn apply(count: usize) {
    let mut resources = Vec::new();
    for index in 0..count {
        let ResourceChange::Put(resource) = change(1, index).changes.remove(0) else {
            continue;
        };
        resources.push(StoredResource {
            revision: Revision(1),
            resource,
        });
    }
    let mut state = ConfigState::from_resources(Revision(1), resources);
    let mut revision = 1;
    let in_place = mean_micros(1_000, |round| {
        revision += 1;
        let change = change(revision, round as usize % count);
        black_box(state.apply(&change));
    });
    let copied = mean_micros(50, |round| {
        revision += 1;
        let mut next = state.clone();
        black_box(next.apply(&change(revision, round as usize % count)));
        state = next;
    });
    println!("| {count} | {in_place:.1} | {copied:.0} |");
}

fn main() {
    // `cargo bench` passes `--bench`; without it, as in `cargo test`, nothing is measured.
    if !std::env::args().any(|argument| argument == "--bench") {
        return;
    }
    println!(
        "| members | B per member | tick µs | tick with a push µs | receive µs \
         | copy of the list µs | tick while cut off µs |"
    );
    println!("|---|---|---|---|---|---|---|");
    for count in [100, 400, 1_000, 3_100] {
        measure_node(count);
    }
    println!("\n| members | idle B/s | B per revision | B per update | B per update in a burst |");
    println!("|---|---|---|---|---|");
    for count in [25, 100, 400] {
        measure_gossip_bytes(count);
    }
    println!("\n| resources | apply µs | copy and apply µs |");
    println!("|---|---|---|");
    for count in [100, 1_000, 10_000] {
        apply(count);
    }
}
