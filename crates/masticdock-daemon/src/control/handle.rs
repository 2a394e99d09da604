//! Messages to the control thread and hooks that run on it.

use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam::channel::{Receiver, Sender, unbounded};
use masticdock_core::config_log::{AcceptedChange, ConfigState};
use masticdock_core::limiter::DemandRecord;
use masticdock_core::membership::{GossipMessage, Member, MemberStatus};
use masticdock_core::poison::CrashRecord;
use masticdock_core::units::MonoMs;
use masticdock_platform::FleetList;

use super::{Snapshot, SnapshotCell};

/// Message to the control thread from the traffic threads.
#[derive(Debug)]
pub(crate) enum ControlMsg {
    /// An engine crashed while it ran a request; spread by gossip.
    Crash(CrashRecord),
    /// Demand of a workspace at this entry; spread by gossip.
    Demand(DemandRecord),
    /// A change that this process saw accepted by the table.
    Accepted(AcceptedChange),
    /// The process was asked to stop: publish `leaving` and tell the others.
    Leave,
    /// A whole configuration, read from the table or from a peer.
    Adopted(ConfigState),
    /// Changes in order, read from the table or from a peer.
    Changes(Vec<AcceptedChange>),
    /// A pull of configuration from a peer ended.
    PullEnded {
        /// True when the peer gave no usable answer.
        failed: bool,
    },
    /// An authentic gossip datagram arrived.
    Gossip(SocketAddr, GossipMessage),
    /// Members known to another process.
    Members(Vec<Member>),
    /// The process is idle and stops now: tell the others that it is gone.
    Left,
    /// The fleet view changed.
    Fleet(FleetList),
}

/// Sends messages to the control thread and reads its snapshots.
#[derive(Debug, Clone)]
pub(crate) struct ControlHandle {
    pub(crate) sender: Sender<ControlMsg>,
    pub(crate) snapshots: Arc<SnapshotCell>,
}

impl ControlHandle {
    /// Makes a handle and the receiver that the control thread reads.
    ///
    /// The handle exists before the thread, so parts that the thread calls can hold it.
    pub(crate) fn channel() -> (Self, Receiver<ControlMsg>) {
        let (sender, receiver) = unbounded();
        let snapshots = Arc::new(SnapshotCell::default());
        (Self { sender, snapshots }, receiver)
    }

    /// Sends a message; a control thread that ended is no error during a stop.
    pub(crate) fn send(&self, message: ControlMsg) {
        if self.sender.send(message).is_err() {
            log::debug!("the control thread has ended");
        }
    }

    /// Returns the newest snapshot.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshots.load()
    }
}

/// What a hook on the control thread sees.
#[derive(Debug)]
pub(crate) struct TickContext<'a> {
    /// Monotonic time of this tick.
    pub(crate) now: MonoMs,
    /// Control state at this tick.
    pub(crate) snapshot: &'a Arc<Snapshot>,
}

/// Runs on the control thread at each tick and must not block.
///
/// A returned status replaces the own one (its `seq`, `leaving` and `services`
/// are filled in by the control thread) and is spread by gossip.
pub(crate) type TickHook = Box<dyn FnMut(&TickContext<'_>) -> Option<MemberStatus> + Send>;
