//! Shares crashes of engines with their agents, and rejects requests that cause them.

use std::cell::{OnceCell, RefCell};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use masticdock_adapter::CallerHead;
use masticdock_core::ids::{ServiceId, WorkspaceId};
use masticdock_core::serving::{
    CrashHistory, CrashId, CrashRecord, RefutedSuspects, RequestFeature, RequestFeatures, Upstream,
};
use masticdock_core::units::MonoMs;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::request::Call;
use super::state::Entry;
use crate::clock;
use crate::datagram::{Crash, Datagram, Refuted, Suspects, encode};
use crate::metrics::metrics;

/// Pauses before each sending of a report of suspects, since datagrams can be lost.
const REPORT_PAUSES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(150),
    Duration::from_millis(250),
];

/// Crashes that the entry knows of, and its socket for datagrams to agents.
#[derive(Debug, Default)]
pub(crate) struct SharedCrashes {
    history: RefCell<CrashHistory>,
    socket: OnceCell<Rc<UdpSocket>>,
}

impl SharedCrashes {
    /// Sets the socket from which reports are sent.
    pub(crate) fn set_socket(&self, socket: Rc<UdpSocket>) {
        // The socket is bound once.
        let _ = self.socket.set(socket);
    }

    /// Sends a datagram to the agent on a VM; a lost one is repeated or does not matter.
    fn send(&self, bytes: &[u8], agent: SocketAddr) {
        if let Some(socket) = self.socket.get() {
            let _ = socket.try_send_to(bytes, agent);
        }
    }

    /// Returns the feature for which a request must not be sent, if it has one.
    pub(crate) fn blocked_feature(&self, call: &Call) -> Option<RequestFeature> {
        let mut history = self.history.borrow_mut();
        for blocked in history.refresh(clock::now()) {
            metrics().blocked_features.inc();
            log::warn!(
                event = "feature.blocked",
                feature:% = format_args!("{:016x}", blocked.suspect.feature.0),
                depth = blocked.suspect.depth,
                crashes = blocked.crashes;
                "requests with a common feature crash engines and are rejected from now on"
            );
        }
        history.blocked(&call.features)
    }
}

/// Returns the features of a request by which crashes are compared.
pub(crate) fn request_features(
    head: &CallerHead,
    service: &ServiceId,
    method: &str,
    path: &str,
    workspace: Option<&WorkspaceId>,
    body: &[u8],
) -> RequestFeatures {
    let parts = head
        .prompt_parts
        .iter()
        .map(|part| RequestFeature::of_part(service, part))
        .collect();
    let whole = RequestFeature::of_request(service, method, path, workspace, body);
    RequestFeatures::new(parts, whole)
}

/// Reports a request whose connection broke to the agent of the upstream, which knows
/// whether the engine crashed.
pub(crate) fn report_suspects(entry: &Rc<Entry>, call: &Call, upstream: &Upstream) {
    if !call.runs_on_engine() {
        return;
    }
    let bytes = encode(&Datagram::Suspects(Suspects {
        started_at_ms: upstream.started_at_ms,
        suspects: call.features.suspects(),
    }));
    let agent = SocketAddr::new(upstream.address.ip(), entry.settings.peer_port);
    let entry = Rc::clone(entry);
    spawn_local(async move {
        for pause in REPORT_PAUSES {
            sleep(pause).await;
            entry.crashes.send(&bytes, agent);
        }
    });
}

/// Records that an engine wrote on a request without a crash, and tells the agents whose
/// crashes this request cannot have caused.
pub(crate) fn record_success(entry: &Entry, call: &Call, sent_at: MonoMs) {
    if !call.runs_on_engine() {
        return;
    }
    let mut history = entry.crashes.history.borrow_mut();
    for refuted in history.record_success(&call.features, sent_at, clock::now()) {
        let bytes = encode(&Datagram::Refuted(Refuted {
            started_at_ms: refuted.id.started_at_ms,
            features: refuted.features,
        }));
        let agent = SocketAddr::new(refuted.id.vm, entry.settings.peer_port);
        entry.crashes.send(&bytes, agent);
    }
}

/// Records that another entry has refuted suspects of a crash on `vm`.
pub(crate) fn record_refuted(entry: &Entry, vm: IpAddr, refuted: Refuted) {
    let refuted = RefutedSuspects {
        id: CrashId {
            vm,
            started_at_ms: refuted.started_at_ms,
        },
        features: refuted.features,
    };
    let mut history = entry.crashes.history.borrow_mut();
    history.record_refuted(&refuted, clock::now());
}

/// Records a crash that the agent on `vm` has confirmed.
pub(crate) fn record_crash(entry: &Entry, vm: IpAddr, crash: Crash) {
    let now = clock::now();
    let record = CrashRecord {
        id: CrashId {
            vm,
            started_at_ms: crash.started_at_ms,
        },
        at: MonoMs(now.0.saturating_sub(crash.age_ms.into())),
        suspects: crash.suspects,
        reviewed: crash.reviewed,
    };
    if !entry.crashes.history.borrow_mut().record(&record, now) {
        return;
    }
    metrics().crashes.inc();
    log::info!(
        event = "crash.recorded",
        vm:% = vm,
        started_at_ms = crash.started_at_ms,
        age_ms = crash.age_ms,
        suspects = record.suspects.len();
        "an agent confirmed a crash of its engine"
    );
}
