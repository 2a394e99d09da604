//! Shares crashes of upstreams through agents, and rejects requests that cause them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use masticdock_adapter::{CallError, CallerHead};
use masticdock_core::ids::{ServiceId, WorkspaceId};
use masticdock_core::serving::{
    CrashHistory, CrashRecord, RefutedSuspects, RequestFeature, RequestFeatures, Suspect, Upstream,
    UpstreamProcess,
};
use masticdock_core::units::MonoMs;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::agents::{relays, send_repeatedly};
use super::request::Call;
use super::state::Entry;
use crate::clock;
use crate::datagram::{Crash, Datagram, Refuted, Suspects, encode};
use crate::metrics::metrics;

/// Pauses before each attempt to connect to an upstream whose connection broke. Its port may
/// close shortly after its connections.
pub(super) const PROBE_PAUSES: [Duration; 2] =
    [Duration::from_millis(20), Duration::from_millis(150)];
/// Maximum time of such an attempt.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Crashes that the entry knows of.
#[derive(Debug, Default)]
pub(crate) struct SharedCrashes {
    history: RefCell<CrashHistory>,
    /// Requests that a possible crash interrupted, while it is being confirmed.
    unconfirmed: RefCell<HashMap<UpstreamProcess, Vec<Suspect>>>,
}

impl SharedCrashes {
    /// Returns whether a request may be sent to another upstream after a failed attempt.
    pub(crate) fn allows_retry(&self, call: &Call) -> bool {
        self.refresh();
        self.history.borrow().allows_retry(&call.features)
    }

    /// Returns the feature for which a request must not be sent, if it has one.
    pub(crate) fn blocked_feature(&self, call: &Call) -> Option<RequestFeature> {
        self.refresh();
        self.history.borrow().blocked(&call.features)
    }

    /// Evaluates the crashes if they have changed.
    fn refresh(&self) {
        let mut history = self.history.borrow_mut();
        for blocked in history.refresh(clock::now()) {
            metrics().blocked_features.inc();
            log::warn!(
                event = "feature.blocked",
                feature:% = format_args!("{:016x}", blocked.suspect.feature.0),
                depth = blocked.suspect.depth,
                crashes = blocked.crashes;
                "requests with a common feature crash upstreams and are rejected from now on"
            );
        }
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
/// whether the engine crashed. The entry checks an upstream without an agent itself.
pub(crate) fn report_suspects(entry: &Rc<Entry>, call: &Call, upstream: &Upstream) {
    if !call.runs_on_engine() {
        confirm_crash(entry, call, upstream);
        return;
    }
    let report = Datagram::Suspects(Suspects {
        started_at_ms: upstream.started_at_ms,
        suspects: call.features.suspects(),
    });
    let agent = SocketAddr::new(upstream.address.ip(), entry.settings.peer_port);
    spawn_local(send_repeatedly(Rc::clone(entry), report, vec![agent]));
}

/// Records a crash of an upstream without an agent if its port is closed, and tells the
/// agents that keep its crashes.
fn confirm_crash(entry: &Rc<Entry>, call: &Call, upstream: &Upstream) {
    let id = upstream.process();
    let suspects = call.features.suspects();
    let mut unconfirmed = entry.crashes.unconfirmed.borrow_mut();
    if let Some(interrupted) = unconfirmed.get_mut(&id) {
        interrupted.extend(suspects);
        return;
    }
    unconfirmed.insert(id, suspects);
    let agents = relays(entry, id.vm);
    let (entry, upstream, at) = (Rc::clone(entry), upstream.clone(), clock::now());
    spawn_local(async move {
        let is_gone = is_gone(&entry, &upstream).await;
        let suspects = entry.crashes.unconfirmed.borrow_mut().remove(&id);
        if !is_gone {
            return;
        }
        let record = CrashRecord {
            id,
            at,
            suspects: suspects.unwrap_or_default(),
            reviewed: false,
        };
        record_crash(&entry, &record);
        for crash in Crash::of_record(&record, clock::now()) {
            let report = Datagram::Crash(crash);
            spawn_local(send_repeatedly(Rc::clone(&entry), report, agents.clone()));
        }
    });
}

/// Returns whether an upstream refuses connections. An unreachable one does not answer, and
/// one that lost a response or reset a connection accepts others.
async fn is_gone(entry: &Entry, upstream: &Upstream) -> bool {
    for pause in PROBE_PAUSES {
        sleep(pause).await;
        match entry.pools.open(upstream.address, PROBE_TIMEOUT).await {
            Ok(connection) => {
                entry.pools.put_back(&upstream.id, connection, None);
                return false;
            }
            Err(CallError::Connect(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return true;
            }
            Err(_) => {}
        }
    }
    false
}

/// Records that an upstream ran a request without a crash, and tells the agents that keep
/// crashes which this request cannot have caused.
pub(crate) fn record_success(entry: &Entry, call: &Call, sent_at: MonoMs) {
    let mut history = entry.crashes.history.borrow_mut();
    for refuted in history.record_success(&call.features, sent_at, clock::now()) {
        let vm = refuted.id.vm;
        let agents = if call.runs_on_engine() {
            vec![SocketAddr::new(vm, entry.settings.peer_port)]
        } else {
            relays(entry, vm)
        };
        let bytes = encode(&Datagram::Refuted(Refuted {
            id: refuted.id,
            features: refuted.features,
        }));
        for agent in agents {
            entry.agent_socket.send(&bytes, agent);
        }
    }
}

/// Records that another entry has refuted suspects of a crash.
pub(crate) fn record_refuted(entry: &Entry, refuted: Refuted) {
    let refuted = RefutedSuspects {
        id: refuted.id,
        features: refuted.features,
    };
    let mut history = entry.crashes.history.borrow_mut();
    history.record_refuted(&refuted, clock::now());
}

/// Records a confirmed crash.
pub(crate) fn record_crash(entry: &Entry, record: &CrashRecord) {
    let now = clock::now();
    if !entry.crashes.history.borrow_mut().record(record, now) {
        return;
    }
    metrics().crashes.inc();
    log::info!(
        event = "crash.recorded",
        vm:% = record.id.vm,
        started_at_ms = record.id.started_at_ms,
        age_ms = now.since_ms(record.at),
        suspects = record.suspects.len();
        "an upstream crashed while it ran requests"
    );
}
