//! Loop of the control thread.

use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError};
use masticdock_core::membership::Member;
use masticdock_platform::{HttpSettings, TableClient};

use super::state::ControlState;
use super::{
    ConfigTable, ControlHandle, ControlMsg, TickContext, TickHook, fleet_reader, mono_now,
    table_reader,
};
use crate::net::rpc::RpcHandle;
use crate::settings::{GossipSettings, NodeSettings, PlatformSettings};

/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// What the control thread is made of.
pub(crate) struct ControlParts {
    /// Who and where this process is.
    pub(crate) node: NodeSettings,
    /// Where the platform's services are.
    pub(crate) platform: PlatformSettings,
    /// Timing of gossip and probes.
    pub(crate) gossip: GossipSettings,
    /// Key that all masticdock processes share.
    pub(crate) peer_key: [u8; 32],
    /// This process as a member.
    pub(crate) own: Member,
    /// Calls to other processes; `None` while RPC is not available.
    pub(crate) rpc: Option<RpcHandle>,
    /// Hooks that run at each tick, in order.
    pub(crate) hooks: Vec<TickHook>,
}

/// Starts the control thread and the threads that read the platform.
///
/// # Errors
///
/// Fails when a thread cannot be started.
pub(crate) fn spawn(
    parts: ControlParts,
    handle: ControlHandle,
    receiver: Receiver<ControlMsg>,
) -> anyhow::Result<ControlHandle> {
    let http = HttpSettings {
        timeout_ms: parts.platform.timeout_ms,
    };
    let table = TableClient::new(
        parts.platform.table_url.clone(),
        parts.platform.table_name.clone(),
        http,
    );
    let interval = Duration::from_millis(parts.platform.head_poll_interval_ms);
    table_reader::spawn(ConfigTable::new(table), interval, handle.clone())?;
    fleet_reader::spawn(&parts.platform, handle.clone())?;
    let mut control = ControlLoop {
        state: ControlState::new(parts.own),
        hooks: parts.hooks,
        handle: handle.clone(),
    };
    control.publish();
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control.run(&receiver))?;
    Ok(handle)
}

struct ControlLoop {
    state: ControlState,
    hooks: Vec<TickHook>,
    handle: ControlHandle,
}

impl ControlLoop {
    fn run(&mut self, receiver: &Receiver<ControlMsg>) {
        let mut next_tick = Instant::now();
        loop {
            match receiver.recv_deadline(next_tick) {
                Ok(message) => self.on_message(message),
                Err(RecvTimeoutError::Timeout) => {
                    self.tick();
                    next_tick = Instant::now() + TICK_INTERVAL;
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn on_message(&mut self, message: ControlMsg) {
        match message {
            ControlMsg::Crash(crash) => self.state.add_crash(crash),
            ControlMsg::Demand(demand) => self.state.add_demand(demand),
            ControlMsg::Accepted(change) => self.state.apply(vec![change]),
            ControlMsg::Leave => self.state.leave(),
            ControlMsg::Adopted(config) => self.state.adopt(config),
            ControlMsg::Changes(changes) => self.state.apply(changes),
            ControlMsg::Fleet(fleet) => self.state.set_fleet(fleet),
        }
    }

    fn tick(&mut self) {
        self.publish();
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
        self.publish();
    }

    fn publish(&mut self) {
        if let Some(snapshot) = self.state.take_snapshot() {
            self.handle.snapshots.publish(snapshot);
        }
    }
}
