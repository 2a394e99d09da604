//! Start-up and event loop of the control thread.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError};
use masticdock_core::event;
use masticdock_core::membership::{Member, MembershipEvent, Swim, SwimConfig};
use masticdock_platform::{HttpSettings, TableClient};

use super::config_pull::ConfigPull;
use super::gauges::ControlGauges;
use super::state::ControlState;
use super::table_reader::TableReader;
use super::{
    ConfigTable, ControlHandle, ControlMsg, TickContext, TickHook, fleet_reader, member_sync,
    mono_now, unix_now,
};
use crate::event_log::log_event;
use crate::metrics::Metrics;
use crate::net::gossip::{self, GossipSender};
use crate::net::rpc::RpcHandle;
use crate::settings::{GossipSettings, NodeSettings, PlatformSettings};

/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Dependencies and settings of the control thread.
pub(crate) struct ControlParts {
    /// Identity, location and addresses of this process.
    pub(crate) node: NodeSettings,
    /// Addresses of the platform's services.
    pub(crate) platform: PlatformSettings,
    /// Intervals and limits of gossip and probes.
    pub(crate) gossip: GossipSettings,
    /// Key shared by all masticdock processes.
    pub(crate) peer_key: [u8; 32],
    /// Member record of this process.
    pub(crate) own: Member,
    /// Handle for calls to other processes.
    pub(crate) rpc: RpcHandle,
    /// Metrics registry of the process.
    pub(crate) metrics: Metrics,
    /// Hooks that run at each tick, in this order.
    pub(crate) hooks: Vec<TickHook>,
}

/// Starts the control thread, the gossip thread, and the threads that read the configuration table,
/// the fleet view and the member list of a peer.
///
/// # Errors
///
/// Fails when the UDP address cannot be bound or a thread cannot be started.
pub(crate) fn spawn(
    parts: ControlParts,
    handle: ControlHandle,
    receiver: Receiver<ControlMsg>,
) -> anyhow::Result<ControlHandle> {
    let table_read_due = Arc::new(AtomicBool::new(false));
    spawn_readers(&parts, &handle, &table_read_due)?;
    let to_control = handle.clone();
    let sender = gossip::spawn(
        parts.node.peer_addr,
        parts.peer_key,
        parts.rpc.counters(),
        parts.metrics.registry(),
        move |from, message| to_control.send(ControlMsg::Gossip(from, message)),
    )?;
    let config = swim_config(&parts.gossip);
    let swim = Swim::new(config, parts.own, rand::random());
    let mut control = ControlLoop {
        state: ControlState::new(swim),
        hooks: parts.hooks,
        pull: ConfigPull::new(parts.rpc, handle.clone(), table_read_due),
        gauges: ControlGauges::register(parts.metrics.registry())?,
        sender,
        handle: handle.clone(),
    };
    control.publish();
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control.run(&receiver))?;
    Ok(handle)
}

fn spawn_readers(
    parts: &ControlParts,
    handle: &ControlHandle,
    table_read_due: &Arc<AtomicBool>,
) -> anyhow::Result<()> {
    let platform = &parts.platform;
    let reader = TableReader {
        table: config_table(platform),
        interval: Duration::from_millis(platform.head_poll_interval_ms),
        control: handle.clone(),
        rpc: parts.rpc.clone(),
        own_id: parts.own.id.clone(),
        table_read_due: Arc::clone(table_read_due),
    };
    reader.spawn()?;
    fleet_reader::spawn(platform, parts.own.id.clone(), handle.clone())?;
    member_sync::spawn(
        parts.rpc.clone(),
        parts.node.seed_addrs.clone(),
        parts.own.id.to_string(),
        handle.clone(),
    )
}

/// Returns a client for the configuration rows of the table service.
pub(crate) fn config_table(platform: &PlatformSettings) -> ConfigTable {
    let http = HttpSettings {
        timeout_ms: platform.timeout_ms,
    };
    ConfigTable::new(TableClient::new(
        platform.table_url.clone(),
        platform.table_name.clone(),
        http,
    ))
}

fn swim_config(settings: &GossipSettings) -> SwimConfig {
    let count = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
    SwimConfig {
        push_interval_ms: settings.push_interval_ms,
        push_fanout: count(settings.push_fanout),
        probe_interval_ms: settings.probe_interval_ms,
        probe_timeout_ms: settings.probe_timeout_ms,
        indirect_probes: count(settings.indirect_probes),
        suspicion_ms: settings.suspicion_ms,
        ..SwimConfig::default()
    }
}

struct ControlLoop {
    state: ControlState,
    hooks: Vec<TickHook>,
    pull: ConfigPull,
    gauges: ControlGauges,
    sender: GossipSender,
    handle: ControlHandle,
}

impl ControlLoop {
    fn run(&mut self, receiver: &Receiver<ControlMsg>) {
        let mut next_tick = Instant::now();
        loop {
            // A due tick runs before the next message, so that a steady stream of messages cannot
            // delay it.
            if Instant::now() >= next_tick {
                self.tick();
                next_tick = Instant::now() + TICK_INTERVAL;
            }
            match receiver.recv_deadline(next_tick) {
                Ok(message) => self.on_message(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn on_message(&mut self, message: ControlMsg) {
        match message {
            ControlMsg::Gossip(from, message) => {
                let replies = self.state.swim.receive(from, message, mono_now());
                self.sender.send(&replies);
            }
            ControlMsg::Members(members) => {
                for member in &members {
                    self.state.swim.merge_update(member, mono_now());
                }
            }
            ControlMsg::Crash(crash) => self.state.swim.add_crash(crash),
            ControlMsg::Demand(demand) => self.state.swim.add_demand(demand),
            ControlMsg::Accepted(change) => self.apply(vec![change]),
            ControlMsg::Changes(changes) => self.apply(changes),
            ControlMsg::Adopted(config) => self.state.adopt(config),
            ControlMsg::PullEnded { failed } => self.pull.note_call_ended(failed),
            ControlMsg::Fleet(fleet) => self.state.set_fleet(fleet),
            ControlMsg::Leave => self.state.leave(),
            ControlMsg::Left => {
                let datagrams = self.state.swim.leave();
                self.sender.send(&datagrams);
            }
        }
    }

    fn apply(&mut self, changes: Vec<masticdock_core::config_log::AcceptedChange>) {
        if !self.state.apply(changes) {
            self.pull.note_gap();
        }
    }

    fn tick(&mut self) {
        let now = mono_now();
        let outgoing = self.state.swim.tick(now);
        self.sender.send(&outgoing);
        self.state.swim.prune_crashes(unix_now());
        for membership_event in self.state.swim.take_events() {
            self.on_membership_event(membership_event);
        }
        let (revision, adopted) = (self.state.revision(), self.state.is_adopted());
        self.pull.tick(revision, adopted, now);
        self.publish();
        self.run_hooks();
        self.publish();
    }

    fn run_hooks(&mut self) {
        let snapshot = self.handle.snapshot();
        let context = TickContext {
            now: mono_now(),
            snapshot: &snapshot,
        };
        for hook in &mut self.hooks {
            if let Some(status) = hook(&context) {
                self.state.set_own_status(status);
            }
        }
    }

    fn on_membership_event(&mut self, membership_event: MembershipEvent) {
        match membership_event {
            MembershipEvent::Dead(id) => log_event!(event::MEMBER_DEAD, "{id} answers no probes"),
            MembershipEvent::RegionPartitioned(region) => {
                log_event!(
                    event::REGION_UNREACHABLE,
                    "most of region {region} is unreachable"
                );
            }
            MembershipEvent::RegionReconnected(region) => {
                log_event!(
                    event::REGION_REACHABLE,
                    "region {region} is reachable again"
                );
            }
            MembershipEvent::HigherRevision { peer, revision } => self.pull.observe(peer, revision),
            MembershipEvent::OwnLeaving => self.state.set_fleet_leaving(),
        }
    }

    fn publish(&mut self) {
        if let Some(snapshot) = self.state.take_snapshot(mono_now()) {
            self.gauges.set(&snapshot);
            self.handle.snapshots.publish(snapshot);
        }
    }
}
