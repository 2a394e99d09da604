//! Pulling of configuration from a member that holds a higher revision.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use masticdock_core::config_log::ConfigState;
use masticdock_core::ids::Revision;
use masticdock_core::units::MonoMs;

use super::{ControlHandle, ControlMsg};
use crate::net::rpc::{PeerReply, PeerRequest, RpcError, RpcHandle};

/// Time that a peer has to answer; a third of the 6 s within which a change is in force.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time behind a higher revision after which the table is asked as well.
const BEHIND_MS: u64 = 1_500;

/// Pulls at most one answer at a time.
pub(super) struct ConfigPull {
    rpc: RpcHandle,
    control: ControlHandle,
    best: Option<(SocketAddr, Revision)>,
    in_flight: bool,
    behind_since: Option<MonoMs>,
    behind: Arc<AtomicBool>,
}

impl ConfigPull {
    /// `behind` is read by the table reader.
    pub(super) const fn new(
        rpc: RpcHandle,
        control: ControlHandle,
        behind: Arc<AtomicBool>,
    ) -> Self {
        Self {
            rpc,
            control,
            best: None,
            in_flight: false,
            behind_since: None,
            behind,
        }
    }

    /// Notes that a member holds a higher revision.
    pub(super) fn offer(&mut self, peer: SocketAddr, revision: Revision) {
        if self.best.is_none_or(|(_, best)| revision >= best) {
            self.best = Some((peer, revision));
        }
    }

    /// Notes a gap in the changes that arrived by another way.
    pub(super) fn note_gap(&self) {
        self.behind.store(true, Ordering::Relaxed);
    }

    /// Notes that the call in flight ended.
    pub(super) const fn ended(&mut self, failed: bool) {
        self.in_flight = false;
        if failed {
            // The next gossip with a higher revision names another peer.
            self.best = None;
        }
    }

    /// Starts a call when a higher revision than `held` is known.
    pub(super) fn tick(&mut self, held: Revision, adopted: bool, now: MonoMs) {
        if self.best.is_some_and(|(_, revision)| revision <= held) {
            self.best = None;
            self.behind_since = None;
            self.behind.store(false, Ordering::Relaxed);
        }
        let Some((peer, _)) = self.best else {
            return;
        };
        let since = *self.behind_since.get_or_insert(now);
        if now.since_ms(since) >= BEHIND_MS {
            self.behind.store(true, Ordering::Relaxed);
        }
        // A process that has adopted nothing adopts from several peers or the table.
        if self.in_flight || !adopted {
            return;
        }
        self.in_flight = true;
        let call = Call {
            rpc: self.rpc.clone(),
            control: self.control.clone(),
            peer,
        };
        call.changes_since(held);
    }
}

#[derive(Clone)]
struct Call {
    rpc: RpcHandle,
    control: ControlHandle,
    peer: SocketAddr,
}

impl Call {
    fn changes_since(self, held: Revision) {
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
                self.end(false);
            }
            Ok(PeerReply::Changes { .. }) => self.whole_configuration(),
            other => self.fail(&other),
        }
    }

    fn whole_configuration(self) {
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
                self.end(false);
            }
            other => self.fail(&other),
        }
    }

    fn fail(&self, reply: &Result<PeerReply, RpcError>) {
        match reply {
            Ok(_) => log::debug!("{} answered another call", self.peer),
            Err(error) => log::debug!("configuration was not pulled: {error}"),
        }
        self.end(true);
    }

    fn end(&self, failed: bool) {
        self.control.send(ControlMsg::PullEnded { failed });
    }
}
