//! Pulls configuration changes from a member that holds a higher revision.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use masticdock_core::config_log::ConfigState;
use masticdock_core::ids::Revision;
use masticdock_core::units::MonoMs;

use super::{ControlHandle, ControlMsg};
use crate::net::rpc::{PeerReply, PeerRequest, RpcError, RpcHandle};

/// Timeout of one call to a peer; a quarter of the 6 s within which a change must be in force.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a higher revision may stay unapplied before the table is read as well.
const TABLE_READ_DELAY_MS: u64 = 1_500;

/// Tracks the highest known revision and pulls it, with at most one call in flight.
pub(super) struct ConfigPull {
    rpc: RpcHandle,
    control: ControlHandle,
    best: Option<(SocketAddr, Revision)>,
    in_flight: bool,
    lagging_since: Option<MonoMs>,
    table_read_due: Arc<AtomicBool>,
}

impl ConfigPull {
    /// Creates the puller; `table_read_due` is read by the table reader.
    pub(super) const fn new(
        rpc: RpcHandle,
        control: ControlHandle,
        table_read_due: Arc<AtomicBool>,
    ) -> Self {
        Self {
            rpc,
            control,
            best: None,
            in_flight: false,
            lagging_since: None,
            table_read_due,
        }
    }

    /// Records that a member holds a higher revision.
    pub(super) fn observe(&mut self, peer: SocketAddr, revision: Revision) {
        if self.best.is_none_or(|(_, best)| revision >= best) {
            self.best = Some((peer, revision));
        }
    }

    /// Requests a read of the table after a gap in the received changes.
    pub(super) fn note_gap(&self) {
        self.table_read_due.store(true, Ordering::Relaxed);
    }

    /// Records that the call in flight ended.
    pub(super) const fn note_call_ended(&mut self, failed: bool) {
        self.in_flight = false;
        if failed {
            // Gossip that carries a higher revision names the next peer to ask.
            self.best = None;
        }
    }

    /// Starts a call if a member is known to hold a revision above `held`.
    ///
    /// Also requests a read of the table when the higher revision has stayed unapplied for
    /// [`TABLE_READ_DELAY_MS`].
    pub(super) fn tick(&mut self, held: Revision, adopted: bool, now: MonoMs) {
        if self.best.is_some_and(|(_, revision)| revision <= held) {
            self.best = None;
            self.lagging_since = None;
            self.table_read_due.store(false, Ordering::Relaxed);
        }
        let Some((peer, _)) = self.best else {
            return;
        };
        let since = *self.lagging_since.get_or_insert(now);
        if now.since_ms(since) >= TABLE_READ_DELAY_MS {
            self.table_read_due.store(true, Ordering::Relaxed);
        }
        // Until a configuration was adopted, changes cannot be applied: the table reader adopts one
        // from the table or, while that is unavailable, from several peers.
        if self.in_flight || !adopted {
            return;
        }
        self.in_flight = true;
        let call = PeerCall {
            rpc: self.rpc.clone(),
            control: self.control.clone(),
            peer,
        };
        call.request_changes(held);
    }
}

#[derive(Clone)]
struct PeerCall {
    rpc: RpcHandle,
    control: ControlHandle,
    peer: SocketAddr,
}

impl PeerCall {
    fn request_changes(self, held: Revision) {
        let call = self.clone();
        let on_reply = move |reply| call.on_changes(reply);
        let request = PeerRequest::ChangesSince(held);
        self.rpc
            .call(self.peer, request, PULL_TIMEOUT, Box::new(on_reply));
    }

    fn on_changes(self, reply: Result<PeerReply, RpcError>) {
        match reply {
            Ok(PeerReply::Changes {
                changes,
                complete: true,
                ..
            }) => {
                self.control.send(ControlMsg::Changes(changes));
                self.report_end(false);
            }
            Ok(PeerReply::Changes { .. }) => self.request_configuration(),
            other => self.report_failure(&other),
        }
    }

    fn request_configuration(self) {
        let call = self.clone();
        let on_reply = move |reply| call.on_configuration(reply);
        let request = PeerRequest::Configuration;
        self.rpc
            .call(self.peer, request, PULL_TIMEOUT, Box::new(on_reply));
    }

    fn on_configuration(self, reply: Result<PeerReply, RpcError>) {
        match reply {
            Ok(PeerReply::Configuration { head, resources }) => {
                let state = ConfigState::from_resources(head, resources);
                self.control.send(ControlMsg::Adopted(state));
                self.report_end(false);
            }
            other => self.report_failure(&other),
        }
    }

    fn report_failure(&self, reply: &Result<PeerReply, RpcError>) {
        match reply {
            Ok(_) => log::debug!("{} sent a reply that does not match the request", self.peer),
            Err(error) => log::debug!("cannot pull the configuration: {error}"),
        }
        self.report_end(true);
    }

    fn report_end(&self, failed: bool) {
        self.control.send(ControlMsg::PullEnded { failed });
    }
}
