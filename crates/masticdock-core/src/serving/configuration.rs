//! Configuration declared by operators, in the form used to route requests.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

use compact_str::CompactString;

use crate::ids::{ModelId, ServiceId, WorkspaceId, ZoneId};

use super::cold_start::ColdStartProfile;
use super::eligibility::AllowedRegions;
use super::priorities::prioritized_services;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Responds with a stream of events.
    Stream {
        /// True when another upstream can resume the stream after the last delivered event.
        resumable: bool,
    },
}

impl RequestKind {
    /// Returns true when the request can be retried after an attempt with an unknown outcome.
    #[must_use]
    pub const fn is_safe_to_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns true when the response is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One of the services that share the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Service that runs the requests.
    pub service: ServiceId,
    /// Weight relative to the other backends of the route.
    pub weight: u32,
}

/// Maps requests with a host and path prefix to backends.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: CompactString,
    /// Host that the route matches, in lower case.
    pub host: CompactString,
    /// Path prefix that the route matches; ends with a slash.
    pub prefix: CompactString,
    /// Whether requests may run more than once.
    pub kind: RequestKind,
    /// Services behind the route; empty if its requests cannot be served.
    pub backends: Vec<Backend>,
    /// Time within which the final response is due, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective, in milliseconds; for streams, the time to the first event.
    pub objective_ms: u64,
    /// Longest pause between events of a stream that counts as in time, in milliseconds;
    /// `None` if the route names none.
    pub pause_objective_ms: Option<u64>,
    /// Maximum number of upstreams that one request is sent to.
    pub attempts_max: u32,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// True when requests need no API key.
    pub anonymous: bool,
    /// Regions in which the requests may be served.
    pub allowed_regions: AllowedRegions,
}

/// Cost model of a service's engines, taken from the parameters of the service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Models that the engines serve.
    pub models: Vec<ModelId>,
    /// Number of requests that an engine decodes concurrently (its batch size).
    pub slots: u32,
    /// Token steps in one pass while at least one request is decoding.
    pub steps_per_pass: u32,
    /// Fixed duration of one token step, in milliseconds.
    pub step_ms: f64,
    /// Additional duration of a step per decoding request, in milliseconds.
    pub step_per_request_ms: f64,
    /// Additional duration of a step per 1,000 tokens of context, in milliseconds.
    pub step_per_context_ms: f64,
    /// Prompt tokens processed per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Mean prompt length, in tokens.
    pub prompt_tokens_mean: f64,
    /// Mean output length, in tokens.
    pub answer_tokens_mean: f64,
    /// Number of layers of the model.
    pub layers: u32,
    /// Number of chunks that the weights of one version are split into.
    pub chunk_count: usize,
}

impl EngineProfile {
    /// Returns the duration of one pass with `running` decoding requests, in milliseconds.
    #[must_use]
    pub fn pass_ms(&self, running: u32) -> f64 {
        let running = f64::from(running);
        let context_k =
            running * (self.prompt_tokens_mean + self.answer_tokens_mean / 2.0) / 1_000.0;
        f64::from(self.steps_per_pass)
            * (self.step_ms
                + self.step_per_request_ms * running
                + self.step_per_context_ms * context_k)
    }

    /// Returns the prefill time of a prompt, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, prompt_tokens: f64) -> f64 {
        if self.prefill_tokens_per_ms <= 0.0 {
            return 0.0;
        }
        prompt_tokens / self.prefill_tokens_per_ms
    }

    /// Returns the prefill time of a prompt of mean length, in milliseconds.
    #[must_use]
    pub fn mean_prefill_ms(&self) -> f64 {
        self.prefill_ms(self.prompt_tokens_mean)
    }

    /// Returns the service time of a mean request in a full batch, in milliseconds.
    #[must_use]
    pub fn service_ms(&self) -> f64 {
        let steps = self.answer_tokens_mean / f64::from(self.steps_per_pass.max(1));
        let decode_ms = steps * self.pass_ms(self.slots);
        // Prefills of the other requests in the batch run between the decode steps.
        decode_ms + f64::from(self.slots) * self.mean_prefill_ms()
    }
}

/// Origin server of the weights of all versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// Address that serves manifests and chunks.
    pub address: SocketAddr,
    /// Availability zone of the origin, when known.
    pub zone: Option<ZoneId>,
}

/// What an agent has to know of the configuration: the model that the engine on its VM
/// serves, and where the weights come from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelTarget {
    /// Model that the engine serves.
    pub model: ModelId,
    /// Number of requests that the engine processes concurrently.
    pub slots: u32,
    /// Number of layers of the model.
    pub layers: u32,
    /// Number of chunks that the weights of one version are split into.
    pub chunk_count: usize,
    /// Prefill time of a prompt of mean length, in milliseconds.
    pub mean_prefill_ms: u64,
    /// Duration of a pass of a full batch, in milliseconds.
    pub full_pass_ms: u64,
    /// Smallest pause objective of the routes to the engine; `None` if no route names one.
    pub pause_objective_ms: Option<u64>,
    /// Origin of the weights.
    pub origin: Origin,
}

/// A service of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// Parameters of the engines; `None` when the upstreams run no model.
    pub engine: Option<EngineProfile>,
    /// Origin of weights; `None` unless the service is one.
    pub origin: Option<Origin>,
    /// Behaviour of its upstreams after a start; `None` if they tolerate any rate.
    pub cold_start: Option<ColdStartProfile>,
}

/// Size and time limits for the requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes_max: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes_max: usize,
    /// Timeout for receiving a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Idle timeout of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    /// Returns the limits that apply until the first configuration is known.
    fn default() -> Self {
        Self {
            head_bytes_max: 16_384,
            body_bytes_max: 4 << 20,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A workspace that requests are attributed to by their API key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub id: WorkspaceId,
    /// Priority that overrides the priority of the route.
    pub priority: Option<u8>,
    /// Regions in which the requests of the workspace may be served.
    pub allowed_regions: AllowedRegions,
}

/// What of a configuration cannot be read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UnreadableEntries {
    /// Number of routes, services, workspaces and limits that cannot be read.
    pub count: usize,
    /// API keys of workspaces that cannot be read.
    pub keys: HashSet<CompactString>,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Version; increases, not always by one.
    pub version: u64,
    /// Routes by host, longest prefix first.
    pub(super) routes: HashMap<CompactString, Vec<Route>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Workspaces by API key.
    pub(super) workspaces: HashMap<CompactString, Workspace>,
    /// Smallest pause objective of the routes to each service, in milliseconds.
    pause_objectives_ms: HashMap<ServiceId, u64>,
    /// True when requests carry API keys.
    pub keys_required: bool,
    /// Services whose routes have different priorities.
    prioritized: BTreeSet<ServiceId>,
    /// Limits for the requests of callers.
    pub limits: RequestLimits,
    /// Entries that cannot be read; the others are in force without them.
    pub unreadable: UnreadableEntries,
}

/// Result of matching a request against the configuration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RouteMatch<'a> {
    /// A route matches the request.
    Route {
        /// The route.
        route: &'a Route,
        /// Workspace of the caller; `None` on anonymous routes.
        workspace: Option<&'a Workspace>,
    },
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The configuration allows the request, but the entry of its route cannot be read.
    UnreadableRoute,
    /// The configuration has the API key, but the entry of its workspace cannot be read.
    UnreadableWorkspace,
}

impl Configuration {
    /// Creates a configuration; without `keys`, requests need no API key.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        keys: Option<Vec<(CompactString, Workspace)>>,
        limits: RequestLimits,
    ) -> Self {
        let prioritized = prioritized_services(&routes);
        let mut by_host: HashMap<CompactString, Vec<Route>> = HashMap::new();
        let pause_objectives_ms = smallest_pause_objectives(&routes);
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            routes: by_host,
            services: services
                .into_iter()
                .map(|service| (service.id.clone(), service))
                .collect(),
            keys_required: keys.is_some(),
            prioritized,
            workspaces: keys.unwrap_or_default().into_iter().collect(),
            pause_objectives_ms,
            limits,
            unreadable: UnreadableEntries::default(),
        }
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns the route that matches a request and the workspace of its API key.
    #[must_use]
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> RouteMatch<'_> {
        let host = host_name(host);
        let routes = self
            .routes
            .get(host.as_str())
            .map_or(&[][..], Vec::as_slice);
        let Some(route) = routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
        else {
            return RouteMatch::NoRoute;
        };
        if route.backends.is_empty() {
            return RouteMatch::UnreadableRoute;
        }
        if !self.keys_required || route.anonymous {
            return RouteMatch::Route {
                route,
                workspace: None,
            };
        }
        let Some(key) = key else {
            return RouteMatch::UnknownKey;
        };
        if let Some(workspace) = self.workspaces.get(key) {
            return RouteMatch::Route {
                route,
                workspace: Some(workspace),
            };
        }
        if self.unreadable.keys.contains(key) {
            return RouteMatch::UnreadableWorkspace;
        }
        RouteMatch::UnknownKey
    }

    /// Returns true when every route to an engine serves streams that can be resumed
    /// on another upstream.
    #[must_use]
    pub fn engine_streams_resumable(&self) -> bool {
        let reaches_engine = |route: &Route| {
            route.backends.iter().any(|backend| {
                let service = self.services.get(&backend.service);
                service.is_some_and(|service| service.engine.is_some())
            })
        };
        self.routes
            .values()
            .flatten()
            .filter(|route| reaches_engine(route))
            .all(|route| {
                route.kind == RequestKind::Stream { resumable: true } && route.attempts_max > 1
            })
    }

    /// Returns the smallest pause objective of the routes to `service`, in milliseconds.
    #[must_use]
    pub fn pause_objective_ms(&self, service: &ServiceId) -> Option<u64> {
        self.pause_objectives_ms.get(service).copied()
    }

    /// Returns whether the routes of a service have different priorities.
    #[must_use]
    pub fn is_prioritized(&self, service: &ServiceId) -> bool {
        self.prioritized.contains(service)
    }

    /// Returns the first origin of weights.
    #[must_use]
    pub fn origin(&self) -> Option<&Origin> {
        self.services
            .values()
            .find_map(|service| service.origin.as_ref())
    }

    /// Returns what the agents beside the engines of `service` have to know; `None` if
    /// its upstreams run no model or the weights have no origin.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn model_target(&self, service: &ServiceId) -> Option<ModelTarget> {
        let engine = self.services.get(service)?.engine.as_ref()?;
        Some(ModelTarget {
            model: engine.models.first()?.clone(),
            slots: engine.slots,
            layers: engine.layers,
            chunk_count: engine.chunk_count,
            mean_prefill_ms: engine.mean_prefill_ms() as u64,
            full_pass_ms: engine.pass_ms(engine.slots) as u64,
            pause_objective_ms: self.pause_objective_ms(service),
            origin: self.origin()?.clone(),
        })
    }

    /// Returns the engine parameters of the service that serves `model`.
    #[must_use]
    pub fn engine_of(&self, model: &ModelId) -> Option<&EngineProfile> {
        self.services
            .values()
            .filter_map(|service| service.engine.as_ref())
            .find(|engine| engine.models.contains(model))
    }
}

impl Route {
    /// Chooses a service at random by weight; `draw` is uniformly distributed in 0..1.
    #[must_use]
    pub fn choose_service(&self, draw: f64) -> &ServiceId {
        let weights = self.backends.iter().map(|backend| backend.weight);
        let total: f64 = weights.map(f64::from).sum();
        let mut remaining = draw * total;
        for backend in &self.backends {
            remaining -= f64::from(backend.weight);
            if remaining < 0.0 {
                return &backend.service;
            }
        }
        &self.backends[self.backends.len() - 1].service
    }
}

/// Returns the smallest pause objective of the routes to each service.
fn smallest_pause_objectives(routes: &[Route]) -> HashMap<ServiceId, u64> {
    let mut smallest_ms: HashMap<ServiceId, u64> = HashMap::new();
    for route in routes {
        let Some(pause_ms) = route.pause_objective_ms else {
            continue;
        };
        for backend in &route.backends {
            let known_ms = smallest_ms
                .entry(backend.service.clone())
                .or_insert(pause_ms);
            *known_ms = (*known_ms).min(pause_ms);
        }
    }
    smallest_ms
}

/// Returns the host of a `Host` header in lower case, without the port.
fn host_name(host: &str) -> CompactString {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    CompactString::new(name.to_ascii_lowercase())
}
