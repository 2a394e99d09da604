//! Datagrams to agents, which pass some of them on to all entries.

use std::cell::OnceCell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use masticdock_core::rendezvous;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::reports;
use super::state::Entry;
use crate::datagram::{Datagram, encode};

/// Pauses before each sending of a datagram, since datagrams can be lost.
const SEND_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(150),
    Duration::from_millis(250),
];
/// Number of agents that pass a datagram on: some may be stopped, unreachable or restart at
/// the same time.
const RELAYS: usize = 3;

/// Socket for datagrams to agents.
#[derive(Debug, Default)]
pub(crate) struct AgentSocket(OnceCell<Rc<UdpSocket>>);

impl AgentSocket {
    /// Sets the socket from which datagrams are sent.
    pub(crate) fn set(&self, socket: Rc<UdpSocket>) {
        // The socket is bound once.
        let _ = self.0.set(socket);
    }

    /// Sends a datagram to an agent; a lost one is repeated or does not matter.
    pub(crate) fn send(&self, bytes: &[u8], agent: SocketAddr) {
        if let Some(socket) = self.0.get() {
            let _ = socket.try_send_to(bytes, agent);
        }
    }
}

/// Sends a datagram to agents several times.
pub(crate) async fn send_repeatedly(entry: Rc<Entry>, datagram: Datagram, agents: Vec<SocketAddr>) {
    let bytes = encode(&datagram);
    for pause in SEND_PAUSES {
        sleep(pause).await;
        for agent in &agents {
            entry.agent_socket.send(&bytes, *agent);
        }
    }
}

/// Returns the agents that pass on to all entries what concerns an upstream on `vm`; all
/// entries choose the same ones.
pub(crate) fn relays(entry: &Entry, vm: IpAddr) -> Vec<SocketAddr> {
    let ips_by_service = reports::agent_ips_by_service(entry);
    let agents: Vec<(IpAddr, String)> = ips_by_service
        .into_values()
        .flatten()
        .map(|ip| (ip, ip.to_string()))
        .collect();
    let key = vm.to_string();
    rendezvous::rank(key.as_bytes(), &agents, |(_, name)| name.as_str())
        .into_iter()
        .take(RELAYS)
        .map(|(ip, _)| SocketAddr::new(*ip, entry.settings.peer_port))
        .collect()
}
