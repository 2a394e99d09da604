//! A test cluster whose entries and agents share one published snapshot, and its HTTP client.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crossbeam::channel::Receiver;
use masticdock_core::config_log::{ConfigState, StoredResource};
use masticdock_core::ids::{BootEpoch, Digest, Incarnation, Revision, VersionId};
use masticdock_core::membership::{Liveness, Member, MemberStatus, Phase, Role};
use masticdock_core::problem::{Problem, RunState};
use serde_json::{Value, json};

use super::fakes::{FakeEngine, FakeService, FakeTable, lock, loopback};
use crate::agent::{GateState, ServingGate, proxy};
use crate::control::{ControlHandle, ControlMsg, Snapshot};
use crate::entry::callers;
use crate::metrics::Metrics;
use crate::request_http::{
    AGENT_EVENT_BYTES_MAX, EventReader, RequestAuthKey, StreamEvent, header_name,
};
use crate::settings::{AgentSettings, EntrySettings};

/// Maximum time to wait for a condition or a response.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until `condition` holds; panics with `what` after [`WAIT_TIMEOUT`].
pub(super) fn eventually(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out while waiting for: {what}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// An agent's proxy and its serving gate.
pub(super) struct Agent {
    pub(super) proxy: proxy::Handle,
    pub(super) gate: Arc<ServingGate>,
}

/// The table and the snapshot that all entries and agents of a test use.
pub(super) struct TestCluster {
    pub(super) table: Arc<FakeTable>,
    pub(super) control: ControlHandle,
    pub(super) messages: Receiver<ControlMsg>,
    members: Mutex<Vec<Member>>,
    pub(super) requests: Value,
}

/// Bearer token of the only workspace.
pub(super) const TOKEN: &str = "alpenruh-token";

fn resources() -> Vec<StoredResource> {
    let digest = Digest::of(TOKEN.as_bytes());
    let resources = json!([
        { "kind": "workspace", "name": "alpenruh", "token_digest": digest },
        { "kind": "service", "name": "assistant", "upstream": "engine", "timeout_ms": 120_000 },
        { "kind": "service", "name": "orders", "upstream": "plain", "idempotent": false },
    ]);
    let resources: Vec<_> = serde_json::from_value(resources).expect("valid resources");
    let stored = |resource| StoredResource {
        revision: Revision(1),
        resource,
    };
    resources.into_iter().map(stored).collect()
}

impl TestCluster {
    pub(super) fn new() -> Self {
        let (control, messages) = ControlHandle::channel();
        let cluster = Self {
            table: FakeTable::spawn(),
            control,
            messages,
            members: Mutex::default(),
            requests: json!({ "stall_timeout_ms": 1_500 }),
        };
        cluster.publish();
        cluster
    }

    /// Publishes a snapshot with the current members.
    pub(super) fn publish(&self) {
        self.control.snapshots.publish(Snapshot {
            config: Arc::new(ConfigState::from_resources(Revision(1), resources())),
            members: Arc::new(lock(&self.members).clone()),
            ..Snapshot::default()
        });
    }

    fn common_settings(&self, role: &str, id: &str) -> Value {
        let url = format!("http://{}", self.table.addr);
        json!({
            "role": role,
            "node": {
                "id": id, "region": "tirol", "zone": "tirol-1",
                "peer_addr": loopback(), "status_addr": loopback(),
            },
            "platform": {
                "table_url": url, "object_store_url": url, "origin_url": url,
                "fleet_view_url": url, "timeout_ms": 500,
            },
            "security": { "peer_key_file": "unused" },
        })
    }

    fn agent(&self, id: &str, engine: bool, upstream: SocketAddr, state: GateState) -> Agent {
        let service = if engine { "assistant" } else { "orders" };
        let mut settings = self.common_settings("agent", id);
        settings["traffic_addr"] = json!(loopback());
        settings["weights_addr"] = json!(loopback());
        settings["upstream"] = json!({
            "engine": engine, "url": format!("http://{upstream}"), "services": [service],
        });
        let settings: AgentSettings = serde_json::from_value(settings).expect("valid settings");
        let gate = ServingGate::new();
        gate.set_state(state.clone());
        let proxy = proxy::spawn(proxy::Context {
            settings: Arc::new(settings),
            peer_key: RequestAuthKey::derive(b"key"),
            gate: Arc::clone(&gate),
            control: self.control.clone(),
            metrics: Metrics::new(),
        });
        let proxy = proxy.expect("a proxy");
        let version = match state {
            GateState::Serving(version) => version,
            GateState::NotServing | GateState::Draining => None,
        };
        self.publish_agent(id, proxy.addr(), service, version);
        Agent { proxy, gate }
    }

    /// Publishes an agent that takes requests of a service at an address.
    pub(super) fn publish_agent(
        &self,
        id: &str,
        addr: SocketAddr,
        service: &str,
        version: Option<VersionId>,
    ) {
        lock(&self.members).push(member(id, addr, service, version));
        self.publish();
    }

    /// Starts an agent in front of a fake engine and publishes it.
    pub(super) fn engine_agent(&self, id: &str, engine: &FakeEngine) -> Agent {
        let version: VersionId = engine.version.parse().expect("a version");
        self.agent(id, true, engine.addr, GateState::Serving(Some(version)))
    }

    /// Starts an agent in front of the engine at an address and publishes it with version `v1`.
    pub(super) fn engine_agent_at(&self, id: &str, engine: SocketAddr) -> Agent {
        let version = "v1".parse().expect("a version");
        self.agent(id, true, engine, GateState::Serving(Some(version)))
    }

    /// Starts an agent in front of a fake plain service and publishes it.
    pub(super) fn plain_agent(&self, id: &str, plain: &FakeService) -> Agent {
        self.plain_agent_at(id, plain.addr)
    }

    /// Starts an agent in front of the plain service at an address and publishes it.
    pub(super) fn plain_agent_at(&self, id: &str, plain: SocketAddr) -> Agent {
        self.agent(id, false, plain, GateState::Serving(None))
    }

    /// Starts the callers' listener of an entry.
    pub(super) fn entry(&self, id: &str) -> callers::Handle {
        let mut settings = self.common_settings("entry", id);
        settings["callers_addr"] = json!(loopback());
        settings["operators_addr"] = json!(loopback());
        settings["operator_tokens_file"] = json!("unused");
        settings["requests"] = self.requests.clone();
        let settings: EntrySettings = serde_json::from_value(settings).expect("valid settings");
        let handle = callers::spawn(callers::Context {
            settings: Arc::new(settings),
            auth_key: RequestAuthKey::derive(b"key"),
            control: self.control.clone(),
            metrics: Metrics::new(),
        });
        handle.expect("a listener")
    }

    /// Publishes a snapshot in which the agent is dead.
    pub(super) fn mark_dead(&self, id: &str) {
        for member in lock(&self.members).iter_mut() {
            if member.id == id {
                member.liveness = Liveness::Dead;
            }
        }
        self.publish();
    }
}

fn member(id: &str, addr: SocketAddr, service: &str, version: Option<VersionId>) -> Member {
    Member {
        id: id.into(),
        role: Role::Agent,
        liveness: Liveness::Alive,
        incarnation: Incarnation(0),
        boot_epoch: BootEpoch(1),
        region: "tirol".parse().expect("a region"),
        zone: "tirol-1".parse().expect("a zone"),
        peer_addr: loopback(),
        traffic_addr: Some(addr),
        status: MemberStatus {
            phase: Phase::Serving,
            serving_version: version,
            services: vec![service.parse().expect("a service")],
            ..MemberStatus::default()
        },
    }
}

/// A complete response.
#[derive(Debug)]
pub(super) struct Response {
    pub(super) status: u16,
    pub(super) version: Option<String>,
    pub(super) body: Value,
}

impl Response {
    /// Returns the slug of the problem and whether the request may have run.
    pub(super) fn problem(&self) -> (&'static str, RunState) {
        let problem: Problem = serde_json::from_value(self.body.clone()).expect("a problem");
        (problem.kind.slug(), problem.run_state)
    }
}

/// Builds an authenticated request to a service.
pub(super) fn request(entry: SocketAddr, service: &str) -> attohttpc::RequestBuilder {
    attohttpc::post(format!("http://{entry}/v1/{service}"))
        .read_timeout(WAIT_TIMEOUT)
        .header(header_name::AUTHORIZATION, format!("Bearer {TOKEN}"))
}

/// Sends a request with a JSON body and reads the complete response.
pub(super) fn send_json(builder: attohttpc::RequestBuilder, body: &Value) -> Response {
    let response = builder.text(body.to_string()).send().expect("an answer");
    let (status, headers, reader) = response.split();
    let text = reader.text_utf8().expect("a whole body");
    let version = headers
        .get(header_name::VERSION)
        .and_then(|text| text.to_str().ok());
    Response {
        status: status.as_u16(),
        version: version.map(str::to_owned),
        body: serde_json::from_str(&text).expect("a JSON body"),
    }
}

/// Sends a non-idempotent request to the plain service.
pub(super) fn post_order(entry: &callers::Handle, key: &str) -> Response {
    let builder = request(entry.addr(), "orders").header(header_name::IDEMPOTENCY_KEY, key);
    send_json(builder, &json!({ "pillows": 40 }))
}

/// Sends a completion request and reads the complete response.
pub(super) fn post_prompt(entry: &callers::Handle, prompt: &str) -> Response {
    let body = json!({ "prompt": prompt, "max_tokens": 6 });
    send_json(request(entry.addr(), "assistant"), &body)
}

/// Content of the server-sent events that a caller received.
#[derive(Debug, Default)]
pub(super) struct StreamResult {
    pub(super) text: String,
    pub(super) versions: Vec<String>,
    pub(super) problem: Option<Problem>,
    pub(super) done: bool,
}

/// Sends a completion request and reads the response as server-sent events.
pub(super) fn stream_completion(entry: &callers::Handle, max_tokens: u64) -> StreamResult {
    let body = json!({ "prompt": "p", "max_tokens": max_tokens, "stream": true });
    let response = request(entry.addr(), "assistant")
        .text(body.to_string())
        .send();
    let mut reader = EventReader::new(
        response.expect("an answer").split().2,
        AGENT_EVENT_BYTES_MAX,
    );
    let mut result = StreamResult::default();
    loop {
        match reader.next_event().expect("an event") {
            StreamEvent::Token(token) => {
                result.text.push_str(&token.text);
                let version = token.version.to_string();
                if result.versions.last() != Some(&version) {
                    result.versions.push(version);
                }
            }
            StreamEvent::Problem(problem) => {
                result.problem = Some(*problem);
                return result;
            }
            StreamEvent::Done => {
                result.done = true;
                return result;
            }
            StreamEvent::Heartbeat | StreamEvent::Response(_) => {}
        }
    }
}
