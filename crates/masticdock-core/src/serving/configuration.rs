//! The operators' configuration as a process routes by it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use compact_str::CompactString;

use crate::ids::{ModelId, ServiceId, WorkspaceId, ZoneId};

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answers with a series of events.
    Stream {
        /// True when another upstream may continue after the last event delivered.
        resumable: bool,
    },
}

impl RequestKind {
    /// Returns true when the request may run again after an attempt of unknown outcome.
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

/// One of the services that a route splits its requests over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Service that runs the requests.
    pub service: ServiceId,
    /// Share of the requests, relative to the other backends of the route.
    pub weight: u32,
}

/// A route of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: CompactString,
    /// Host that the route answers for, in lower case.
    pub host: CompactString,
    /// Beginning of the paths that the route takes; ends with a slash.
    pub prefix: CompactString,
    /// Whether requests may run again.
    pub kind: RequestKind,
    /// Services behind the route; never empty.
    pub backends: Vec<Backend>,
    /// Longest time for a final answer, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective, in milliseconds; streams: until the first event.
    pub objective_ms: u64,
    /// Most upstreams that one request may be sent to.
    pub attempts_max: u32,
    /// Rank of the requests; 0 is the most urgent.
    pub priority: u8,
    /// True when requests need no API key.
    pub anonymous: bool,
}

/// Cost model of a service's engines, in the units of the service's parameters.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProfile {
    /// Models that the engines serve.
    pub models: Vec<ModelId>,
    /// Requests that an engine decodes at once.
    pub slots: u32,
    /// Token steps of one pass while some request decodes.
    pub steps_per_pass: u32,
    /// Fixed time of one token step, in milliseconds.
    pub step_ms: f64,
    /// Further time of a step for each decoding request, in milliseconds.
    pub step_per_request_ms: f64,
    /// Further time of a step for 1,000 tokens of context, in milliseconds.
    pub step_per_context_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Mean prompt, in tokens.
    pub prompt_tokens_mean: f64,
    /// Mean answer, in tokens.
    pub answer_tokens_mean: f64,
    /// Layers of the model.
    pub layers: u32,
    /// Pieces that the weights of one version are cut into.
    pub chunk_count: usize,
}

impl EngineProfile {
    /// Returns the time of one pass with `running` requests, in milliseconds.
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

    /// Returns the time to read a prompt, in milliseconds.
    #[must_use]
    pub fn prefill_ms(&self, prompt_tokens: f64) -> f64 {
        if self.prefill_tokens_per_ms <= 0.0 {
            return 0.0;
        }
        prompt_tokens / self.prefill_tokens_per_ms
    }

    /// Returns the time to read a mean prompt, in milliseconds.
    #[must_use]
    pub fn mean_prefill_ms(&self) -> f64 {
        self.prefill_ms(self.prompt_tokens_mean)
    }

    /// Returns the time of a mean request in a full batch, in milliseconds.
    #[must_use]
    pub fn service_ms(&self) -> f64 {
        let steps = self.answer_tokens_mean / f64::from(self.steps_per_pass.max(1));
        let decode_ms = steps * self.pass_ms(self.slots);
        // Prompts of the other requests are read between the steps.
        decode_ms + f64::from(self.slots) * self.mean_prefill_ms()
    }
}

/// Where the weights of all versions come from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// Address that serves manifests and pieces.
    pub address: SocketAddr,
    /// Availability zone of the origin, when known.
    pub zone: Option<ZoneId>,
}

/// A service of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// Parameters of the engines, when upstreams run a model.
    pub engine: Option<EngineProfile>,
    /// Source of weights, when the service is one.
    pub origin: Option<Origin>,
}

/// What callers may send and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Longest request head, in bytes.
    pub head_bytes_max: usize,
    /// Longest request body, in bytes.
    pub body_bytes_max: usize,
    /// Longest time for a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest time that a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for RequestLimits {
    /// Applies until the first configuration is known.
    fn default() -> Self {
        Self {
            head_bytes_max: 16_384,
            body_bytes_max: 4 << 20,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A workspace as requests are attributed to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub id: WorkspaceId,
    /// Rank that replaces the route's, when the workspace has one.
    pub priority: Option<u8>,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Version; increases in uneven steps.
    pub version: u64,
    /// Routes by host, longest prefix first.
    routes: HashMap<CompactString, Vec<Route>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Workspaces by API key.
    workspaces: HashMap<CompactString, Workspace>,
    /// True when requests carry API keys.
    pub keys_required: bool,
    /// What callers may send.
    pub limits: RequestLimits,
}

/// How a request was matched against the configuration.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RouteMatch<'a> {
    /// A route takes the request.
    Route {
        /// The route.
        route: &'a Route,
        /// Workspace of the caller; `None` on anonymous routes.
        workspace: Option<&'a Workspace>,
    },
    /// No route begins the path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
}

impl Configuration {
    /// Makes a configuration of the routes, services and keys given.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        keys: Option<Vec<(CompactString, Workspace)>>,
        limits: RequestLimits,
    ) -> Self {
        let mut by_host: HashMap<CompactString, Vec<Route>> = HashMap::new();
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
            workspaces: keys.unwrap_or_default().into_iter().collect(),
            limits,
        }
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Finds the route of a request and the workspace of its key.
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
        if !self.keys_required || route.anonymous {
            return RouteMatch::Route {
                route,
                workspace: None,
            };
        }
        match key.and_then(|key| self.workspaces.get(key)) {
            Some(workspace) => RouteMatch::Route {
                route,
                workspace: Some(workspace),
            },
            None => RouteMatch::UnknownKey,
        }
    }

    /// Returns true when every request that may reach an engine is a stream that
    /// can be resumed elsewhere.
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

    /// Returns the first origin of weights.
    #[must_use]
    pub fn origin(&self) -> Option<&Origin> {
        self.services
            .values()
            .find_map(|service| service.origin.as_ref())
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
    /// Chooses a service by weight; `draw` is uniform in 0..1.
    #[must_use]
    pub fn choose_service(&self, draw: f64) -> &ServiceId {
        let total: u32 = self.backends.iter().map(|backend| backend.weight).sum();
        let mut rest = draw * f64::from(total);
        for backend in &self.backends {
            rest -= f64::from(backend.weight);
            if rest < 0.0 {
                return &backend.service;
            }
        }
        &self.backends[self.backends.len() - 1].service
    }
}

/// Strips the port and folds the case of a `Host` header.
fn host_name(host: &str) -> CompactString {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    CompactString::new(name.to_ascii_lowercase())
}
