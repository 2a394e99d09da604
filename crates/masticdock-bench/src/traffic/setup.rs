//! Fleet and configuration of the measurement.

use std::net::SocketAddr;
use std::time::Duration;

use masticdock_core::resource::{Labels, Model, Resource, Rollout, ServiceKind};
use masticdock_core::units::Share;
use masticdock_standins::engine::EngineOptions;
use serde_json::{Value as Json, json};

use crate::fleet::operators::{service, workspace};
use crate::fleet::{AgentPlan, Fleet, FleetPlan, Place, Upstream};

/// Engine VMs.
pub(super) const ENGINES: usize = 6;
/// VMs with a plain service.
pub(super) const PLAINS: usize = 3;
/// Entries.
pub(super) const ENTRIES: usize = 2;
/// Version that all engines serve.
pub(super) const VERSION: &str = "v1";
/// Token of the callers.
pub(super) const TOKEN: &str = "bench-caller-token";

/// Time until all engines serve.
const SERVING_TIMEOUT: Duration = Duration::from_mins(1);

/// Returns the name of an engine VM.
pub(super) fn engine_vm(index: usize) -> String {
    format!("vm-{index}")
}

/// Returns the name of a VM with a plain service.
pub(super) fn plain_vm(index: usize) -> String {
    format!("shop-{index}")
}

/// Engines with tokens of 2 ms.
pub(super) fn engine_options() -> EngineOptions {
    EngineOptions {
        token_interval_ms: 2,
        batch: 64,
        root_unchecked: true,
        ..EngineOptions::default()
    }
}

/// Returns the plan of the fleet.
pub(super) fn plan() -> FleetPlan {
    let places = [Place::new("wien", "a"), Place::new("tirol", "a")];
    let mut plan = FleetPlan::spread(&places, ENTRIES, ENGINES);
    for index in 0..PLAINS {
        plan.agents.push(AgentPlan {
            id: plain_vm(index),
            place: places[index % places.len()].clone(),
            labels: Labels::from([("fleet".into(), "shop".into())]),
            upstream: Upstream::Plain,
            services: vec!["orders".to_owned(), "lookup".to_owned()],
        });
    }
    plan.engine = engine_options();
    plan.log_level = String::from("warn,masticdockd=info");
    plan
}

/// Puts the configuration and waits until every engine serves.
pub(super) fn prepare(fleet: &mut Fleet) -> anyhow::Result<()> {
    fleet.wait_all_ready()?;
    log::info!("all processes are ready");
    let version = fleet.publish_generated("assistant", VERSION, 256 << 10, 64 << 10)?;
    fleet.put(vec![
        workspace("alpenruh", TOKEN)?,
        Resource::Model(Model {
            name: "assistant".parse()?,
            description: "".into(),
        }),
        service("assistant", ServiceKind::Engine, true)?,
        service("orders", ServiceKind::Plain, false)?,
        service("lookup", ServiceKind::Plain, true)?,
        version,
    ])?;
    fleet.put(vec![Resource::Rollout(Rollout {
        name: "assistant".parse()?,
        selector: "fleet=assistant".into(),
        version: VERSION.parse()?,
        adapters: Vec::new(),
        min_serving_share: Share::from_milli(0),
        origin_weighting: Share::from_milli(0),
        max_load_failures: 20,
        paused: false,
        previous_version: None,
    })])?;
    for index in 0..ENGINES {
        wait_serving(fleet, &engine_vm(index))?;
    }
    log::info!("all engines serve");
    wait_routed(fleet)
}

/// Waits until the agent of an engine VM serves.
pub(super) fn wait_serving(fleet: &mut Fleet, vm: &str) -> anyhow::Result<()> {
    let engine = format!("engine-{vm}");
    let agent = vm.to_owned();
    fleet.wait_until("an engine serves", SERVING_TIMEOUT, |fleet| {
        let status = fleet.control_get::<Json>(&engine, "/status");
        let ready = status.is_ok_and(|status| status["state"] == "ready");
        let series = r#"masticdock_switch_phase{phase="serving"}"#;
        ready && fleet.metric(&agent, series).is_ok_and(|value| value > 0.0)
    })
}

/// Waits until each entry routes to every service.
fn wait_routed(fleet: &mut Fleet) -> anyhow::Result<()> {
    let entries: Vec<SocketAddr> = fleet.entries().iter().map(|one| one.callers).collect();
    fleet.wait_until("the entries route", SERVING_TIMEOUT, |_| {
        entries.iter().all(|entry| {
            let assistant = json!({ "prompt": "ready", "max_tokens": 1 });
            answers(*entry, "assistant", &assistant) && answers(*entry, "lookup", &json!({}))
        })
    })
}

fn answers(entry: SocketAddr, service: &str, body: &Json) -> bool {
    let sent = attohttpc::post(format!("http://{entry}/v1/{service}"))
        .header("Authorization", format!("Bearer {TOKEN}"))
        .read_timeout(Duration::from_secs(5))
        .text(body.to_string())
        .send();
    sent.is_ok_and(|response| response.is_success())
}

/// Addresses that callers use.
#[derive(Debug, Clone)]
pub(super) struct Sites {
    /// Callers' addresses of the entries.
    pub(super) entries: Vec<SocketAddr>,
    /// Addresses of the engines themselves.
    pub(super) engines: Vec<SocketAddr>,
    /// Addresses of the plain services themselves.
    pub(super) plains: Vec<SocketAddr>,
}

/// Returns the addresses of a fleet.
pub(super) fn sites(fleet: &Fleet) -> anyhow::Result<Sites> {
    let engine = |index| fleet.control(&format!("engine-{}", engine_vm(index)));
    let plain = |index| fleet.control(&format!("plain-{}", plain_vm(index)));
    Ok(Sites {
        entries: fleet.entries().iter().map(|one| one.callers).collect(),
        engines: (0..ENGINES).map(engine).collect::<anyhow::Result<_>>()?,
        plains: (0..PLAINS).map(plain).collect::<anyhow::Result<_>>()?,
    })
}
