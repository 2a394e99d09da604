//! Describes the processes of a fleet and their settings.

use masticdock_core::resource::Labels;
use masticdock_standins::engine::EngineOptions;
use serde_json::{Value as Json, json};

/// Kind of upstream that runs on the VM of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Upstream {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// Region and availability zone of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Name of the region.
    pub region: String,
    /// Name of the availability zone.
    pub zone: String,
}

impl Place {
    /// Creates a place; its zone is named `<region>-<zone>`.
    #[must_use]
    pub fn new(region: &str, zone: &str) -> Self {
        Self {
            region: region.to_owned(),
            zone: format!("{region}-{zone}"),
        }
    }
}

/// One VM: an agent and its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AgentPlan {
    /// Id of the VM, which is also the name of its agent process.
    pub id: String,
    /// Region and zone of the VM.
    pub place: Place,
    /// Labels of the VM in the fleet view.
    pub labels: Labels,
    /// Kind of upstream on the VM.
    pub upstream: Upstream,
    /// Names of the services that the upstream serves.
    pub services: Vec<String>,
}

impl Default for AgentPlan {
    fn default() -> Self {
        Self {
            id: "vm-0".to_owned(),
            place: Place::new("r1", "a"),
            labels: Labels::from([("fleet".into(), "assistant".into())]),
            upstream: Upstream::Engine,
            services: vec!["assistant".to_owned()],
        }
    }
}

/// Emulated network link between a region and the platform's services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionLink {
    /// Region whose processes reach the platform through the link.
    pub region: String,
    /// Bandwidth of each direction, shared by all connections; 0 means no limit.
    pub rate_bytes_per_s: u64,
    /// Delay added to each read, in milliseconds.
    pub latency_ms: u64,
}

/// Composition and settings of a fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetPlan {
    /// Places of the entries, which are named `entry-0`, `entry-1` and so on.
    pub entries: Vec<Place>,
    /// VMs, each with an agent and an upstream.
    pub agents: Vec<AgentPlan>,
    /// Bandwidth of the origin; 0 means no limit.
    pub origin_rate_bytes_per_s: u64,
    /// Delay until the fleet view shows a change, in milliseconds.
    pub fleet_lag_ms: u64,
    /// Initial options of all engines.
    pub engine: EngineOptions,
    /// Processing time of a request in a plain service, in milliseconds.
    pub plain_work_ms: u64,
    /// Links between regions and the platform; regions without one connect directly.
    pub region_links: Vec<RegionLink>,
    /// Fields merged into the settings of all entries and agents, for example `{"gossip": {..}}`.
    pub settings: Json,
    /// Fields merged into the settings of agents.
    pub agent_settings: Json,
    /// Fields merged into the settings of entries.
    pub entry_settings: Json,
    /// Value of `RUST_LOG` for all processes.
    pub log_level: String,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            entries: vec![Place::new("r1", "a")],
            agents: vec![AgentPlan::default()],
            origin_rate_bytes_per_s: 0,
            fleet_lag_ms: 0,
            engine: EngineOptions::default(),
            plain_work_ms: 0,
            region_links: Vec::new(),
            settings: json!({}),
            agent_settings: json!({}),
            entry_settings: json!({}),
            log_level: "info".to_owned(),
        }
    }
}

impl FleetPlan {
    /// Returns a plan that distributes entries and engine VMs evenly over `places`.
    ///
    /// # Panics
    ///
    /// Panics if `places` is empty and any entry or agent is planned.
    #[must_use]
    pub fn spread(places: &[Place], entries: usize, agents: usize) -> Self {
        let place = |index: usize| places[index % places.len()].clone();
        Self {
            entries: (0..entries).map(place).collect(),
            agents: (0..agents)
                .map(|index| AgentPlan {
                    id: format!("vm-{index}"),
                    place: place(index),
                    ..AgentPlan::default()
                })
                .collect(),
            ..Self::default()
        }
    }
}
