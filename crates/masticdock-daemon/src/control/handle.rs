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

/// Message to the control thread.
#[derive(Debug)]
pub(crate) enum ControlMsg {
    /// An engine crashed while it ran a request; the record spreads by gossip.
    Crash(CrashRecord),
    /// Demand of a workspace at this entry; the record spreads by gossip.
    Demand(DemandRecord),
    /// A change that this process has seen accepted by the table.
    Accepted(AcceptedChange),
    /// The process was asked to stop: publishes `leaving` to other threads and members.
    Leave,
    /// A whole configuration, read from the table or from a peer.
    Adopted(ConfigState),
    /// Changes in order, read from the table or from a peer.
    Changes(Vec<AcceptedChange>),
    /// A call that pulled configuration from a peer ended.
    PullEnded {
        /// True when the peer sent no usable answer.
        failed: bool,
    },
    /// A gossip datagram with a valid MAC arrived from this address.
    Gossip(SocketAddr, GossipMessage),
    /// Members read from another process.
    Members(Vec<Member>),
    /// The process is idle and stops now: tells the other members that it has left.
    Left,
    /// A new list was read from the fleet view.
    Fleet(FleetList),
}

/// Sends messages to the control thread and reads its snapshots.
#[derive(Debug, Clone)]
pub(crate) struct ControlHandle {
    pub(crate) sender: Sender<ControlMsg>,
    pub(crate) snapshots: Arc<SnapshotCell>,
}

impl ControlHandle {
    /// Creates a handle and the receiver that the control thread reads.
    ///
    /// The handle exists before the thread starts, so that components which the thread calls can
    /// hold it.
    pub(crate) fn channel() -> (Self, Receiver<ControlMsg>) {
        let (sender, receiver) = unbounded();
        let snapshots = Arc::new(SnapshotCell::default());
        (Self { sender, snapshots }, receiver)
    }

    /// Sends a message; drops it if the control thread has ended, which is normal during shutdown.
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

/// Context of a [`TickHook`].
#[derive(Debug)]
pub(crate) struct TickContext<'a> {
    /// Monotonic time of this tick.
    pub(crate) now: MonoMs,
    /// Control state at this tick.
    pub(crate) snapshot: &'a Arc<Snapshot>,
}

/// Callback that runs on the control thread at each tick; must not block.
///
/// A returned status replaces that of this process and spreads by gossip; the control thread fills
/// in `seq`, `leaving` and `services`.
pub(crate) type TickHook = Box<dyn FnMut(&TickContext<'_>) -> Option<MemberStatus> + Send>;
