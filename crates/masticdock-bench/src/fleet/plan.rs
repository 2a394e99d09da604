//! What a fleet consists of.

use masticdock_core::resource::Labels;
use masticdock_standins::engine::EngineOptions;
use serde_json::{Value as Json, json};

/// Upstream beside an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Upstream {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// Place of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
}

impl Place {
    /// Makes a place; `zone` is prefixed with the region.
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
    /// Id of the VM and name of its agent process.
    pub id: String,
    /// Place.
    pub place: Place,
    /// Labels in the fleet view.
    pub labels: Labels,
    /// Upstream.
    pub upstream: Upstream,
    /// Services that the upstream answers for.
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

/// Link between a region and the platform's services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionLink {
    /// Region whose processes reach the platform through the link.
    pub region: String,
    /// Rate of each direction, for all its traffic together; 0 means no limit.
    pub rate_bytes_per_s: u64,
    /// Time that each read is held back, in milliseconds.
    pub latency_ms: u64,
}

/// Plan of a fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetPlan {
    /// Places of the entries, which are named `entry-0` and so on.
    pub entries: Vec<Place>,
    /// The VMs.
    pub agents: Vec<AgentPlan>,
    /// Rate of the origin; 0 means no limit.
    pub origin_rate_bytes_per_s: u64,
    /// Lag of the fleet view, in milliseconds.
    pub fleet_lag_ms: u64,
    /// Behaviour of all engines at their start.
    pub engine: EngineOptions,
    /// Time that a plain service works on a request, in milliseconds.
    pub plain_work_ms: u64,
    /// Links between regions and the platform; other regions reach it directly.
    pub region_links: Vec<RegionLink>,
    /// Fields merged into the settings of every process, for example `{"gossip": {..}}`.
    pub settings: Json,
    /// Fields merged into the settings of agents.
    pub agent_settings: Json,
    /// Fields merged into the settings of entries.
    pub entry_settings: Json,
    /// Value of `RUST_LOG` of all processes.
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
    /// Plans entries and engine VMs that are spread evenly over `places`.
    ///
    /// # Panics
    ///
    /// Panics when `places` is empty.
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
