//! Findings in a configuration before it is sent, and what differs from the one in force.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use compact_str::{CompactString, ToCompactString};

use crate::ids::is_header_value;

/// Route as it is declared.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DeclaredRoute {
    /// Name, for logs.
    pub name: CompactString,
    /// Host that the route matches.
    pub host: CompactString,
    /// Path prefix that the route matches.
    pub prefix: CompactString,
    /// Services with their weights.
    pub backends: Vec<(CompactString, f64)>,
    /// Time within which the final response is due, in milliseconds.
    pub timeout_ms: f64,
    /// Latency objective, in milliseconds.
    pub objective_ms: Option<f64>,
    /// Maximum number of upstreams that one request is sent to.
    pub attempts_max: Option<u32>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Regions that may serve the route; all if empty.
    pub allowed_regions: Vec<CompactString>,
}

/// Workspace as it is declared.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DeclaredWorkspace {
    /// Name.
    pub name: CompactString,
    /// API keys of its callers.
    pub keys: Vec<CompactString>,
    /// Priority that overrides that of the route.
    pub priority: Option<u8>,
    /// Regions that may serve the workspace; all if empty.
    pub allowed_regions: Vec<CompactString>,
}

/// Limits as they are declared.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DeclaredLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes_max: u64,
    /// Maximum size of a request body, in bytes.
    pub body_bytes_max: u64,
    /// Timeout for receiving a request head, in milliseconds.
    pub head_timeout_ms: f64,
    /// Idle timeout of a connection, in milliseconds.
    pub idle_timeout_ms: f64,
}

/// Configuration as it is declared, with what a node would skip or replace.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DeclaredConfiguration {
    /// Version.
    pub version: u64,
    /// Routes.
    pub routes: Vec<DeclaredRoute>,
    /// Names of the services.
    pub services: Vec<CompactString>,
    /// Workspaces; `None` if requests need no API key.
    pub workspaces: Option<Vec<DeclaredWorkspace>>,
    /// Limits, if any.
    pub limits: Option<DeclaredLimits>,
}

/// How severe a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Requests fail, or never reach what is declared for them.
    Error,
    /// Probably not what was meant.
    Warning,
}

/// One finding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// How severe it is.
    pub severity: Severity,
    /// What is found, with a tip.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(f, "{severity}: {}", self.text)
    }
}

/// Findings in the order of severity.
#[derive(Debug, Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn error(&mut self, text: String) {
        let severity = Severity::Error;
        self.0.push(Finding { severity, text });
    }

    fn warning(&mut self, text: String) {
        let severity = Severity::Warning;
        self.0.push(Finding { severity, text });
    }
}

/// Checks a configuration; errors come first.
#[must_use]
pub fn check_configuration(configuration: &DeclaredConfiguration) -> Vec<Finding> {
    let mut findings = Findings::default();
    check_matches(configuration, &mut findings);
    for route in &configuration.routes {
        check_route(configuration, route, &mut findings);
    }
    check_services(configuration, &mut findings);
    check_workspaces(configuration, &mut findings);
    if let Some(limits) = &configuration.limits {
        check_limits(limits, &mut findings);
    }
    findings.0.sort_by_key(|finding| finding.severity);
    findings.0
}

/// Finds routes of which no request is ever matched.
fn check_matches(configuration: &DeclaredConfiguration, findings: &mut Findings) {
    let mut first: BTreeMap<(CompactString, &str), &str> = BTreeMap::new();
    for route in &configuration.routes {
        let key = (route.host.to_ascii_lowercase(), route.prefix.as_str());
        if let Some(other) = first.get(&key) {
            findings.error(format!(
                "route `{}` never matches: route `{other}` has the same host and prefix; tip: remove one of them",
                route.name
            ));
            continue;
        }
        first.insert(key, &route.name);
    }
}

fn check_route(
    configuration: &DeclaredConfiguration,
    route: &DeclaredRoute,
    findings: &mut Findings,
) {
    let name = &route.name;
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        findings.error(format!(
            "prefix `{}` of route `{name}` does not begin and end with a slash; tip: write `/{}/`",
            route.prefix,
            route.prefix.trim_matches('/')
        ));
    }
    if !route.backends.iter().any(|(_, weight)| *weight > 0.0) {
        findings.error(format!(
            "route `{name}` has no service with a weight above 0; tip: name one"
        ));
    }
    for (service, _) in &route.backends {
        if !configuration.services.contains(service) {
            findings.error(format!(
                "route `{name}` names the service `{service}`, which is not listed; tip: add it to the services"
            ));
        }
    }
    let objective_ms = route.objective_ms.unwrap_or(route.timeout_ms);
    if route.timeout_ms < objective_ms {
        findings.error(format!(
            "the timeout of route `{name}`, {} ms, is shorter than its objective, {objective_ms} ms; tip: raise the timeout",
            route.timeout_ms
        ));
    }
    if route.attempts_max == Some(0) {
        findings.warning(format!(
            "route `{name}` allows 0 attempts, which counts as 1; tip: write 1"
        ));
    }
    for workspace in configuration.workspaces.iter().flatten() {
        let shared = |region| workspace.allowed_regions.contains(region);
        let both_limited =
            !route.allowed_regions.is_empty() && !workspace.allowed_regions.is_empty();
        if both_limited && !route.allowed_regions.iter().any(shared) {
            findings.error(format!(
                "no region may serve route `{name}` for workspace `{}`; tip: allow a common region",
                workspace.name
            ));
        }
    }
}

fn check_services(configuration: &DeclaredConfiguration, findings: &mut Findings) {
    let routes = configuration.routes.iter();
    let backends = routes.flat_map(|route| &route.backends);
    let reached: BTreeSet<&CompactString> = backends.map(|(service, _)| service).collect();
    let mut listed = BTreeSet::new();
    for service in &configuration.services {
        if !listed.insert(service) {
            findings.error(format!(
                "service `{service}` is listed twice; tip: remove one of the entries"
            ));
        } else if !reached.contains(service) {
            findings.warning(format!(
                "no route reaches service `{service}`; tip: remove it unless it is an origin of weights"
            ));
        }
    }
}

fn check_workspaces(configuration: &DeclaredConfiguration, findings: &mut Findings) {
    let mut holders: BTreeMap<&str, &str> = BTreeMap::new();
    for workspace in configuration.workspaces.iter().flatten() {
        if workspace.name.is_empty() || !is_header_value(&workspace.name) {
            findings.error(format!(
                "requests cannot carry the name {:?} of a workspace, so none of it is served; tip: leave out control characters and spaces at its ends",
                workspace.name
            ));
        }
        if workspace.keys.is_empty() {
            findings.warning(format!(
                "workspace `{}` has no API key, so no request belongs to it; tip: add a key",
                workspace.name
            ));
        }
        for key in &workspace.keys {
            if let Some(other) = holders.insert(key, &workspace.name) {
                findings.error(format!(
                    "the key `{}` of workspace `{}` belongs to workspace `{other}` as well; tip: remove one of them",
                    abbreviate(key),
                    workspace.name
                ));
            }
        }
    }
}

fn check_limits(limits: &DeclaredLimits, findings: &mut Findings) {
    let values = [
        ("size of request heads", limits.head_bytes_max == 0),
        ("size of request bodies", limits.body_bytes_max == 0),
        ("head timeout", limits.head_timeout_ms < 1.0),
        ("idle timeout", limits.idle_timeout_ms < 1.0),
    ];
    for (name, is_zero) in values {
        if is_zero {
            findings.error(format!(
                "the limit on the {name} is 0; tip: set a positive one"
            ));
        }
    }
    if limits.idle_timeout_ms < limits.head_timeout_ms {
        findings.warning(format!(
            "the idle timeout, {} ms, is shorter than the head timeout, {} ms; tip: raise it",
            limits.idle_timeout_ms, limits.head_timeout_ms
        ));
    }
}

/// Returns what a configuration changes, one line each, without whole keys.
#[must_use]
pub fn compare_configurations(
    in_force: &DeclaredConfiguration,
    new: &DeclaredConfiguration,
) -> Vec<String> {
    let mut lines = Vec::new();
    if new.version <= in_force.version {
        lines.push(format!(
            "version {} does not follow version {}",
            new.version, in_force.version
        ));
    }
    let route = |route: &DeclaredRoute| (route.name.clone(), format!("{route:?}"));
    let routes = |of: &DeclaredConfiguration| of.routes.iter().map(route).collect();
    compare("route", &routes(in_force), &routes(new), &mut lines);
    let service = |name: &CompactString| (name.clone(), String::new());
    let services = |of: &DeclaredConfiguration| of.services.iter().map(service).collect();
    compare("service", &services(in_force), &services(new), &mut lines);
    let workspace = |of: &DeclaredWorkspace| (of.name.clone(), format!("{of:?}"));
    let workspaces = |of: &DeclaredConfiguration| {
        let declared = of.workspaces.iter().flatten();
        declared.map(workspace).collect()
    };
    compare(
        "workspace",
        &workspaces(in_force),
        &workspaces(new),
        &mut lines,
    );
    compare_keys(in_force, new, &mut lines);
    if in_force.limits != new.limits {
        lines.push("limits changed".to_owned());
    }
    lines
}

fn compare(
    kind: &str,
    before: &BTreeMap<CompactString, String>,
    after: &BTreeMap<CompactString, String>,
    lines: &mut Vec<String>,
) {
    for (name, value) in after {
        match before.get(name) {
            None => lines.push(format!("{kind} `{name}` added")),
            Some(previous) if previous != value => lines.push(format!("{kind} `{name}` changed")),
            Some(_) => {}
        }
    }
    for name in before.keys() {
        if !after.contains_key(name) {
            lines.push(format!("{kind} `{name}` removed"));
        }
    }
}

fn compare_keys(
    in_force: &DeclaredConfiguration,
    new: &DeclaredConfiguration,
    lines: &mut Vec<String>,
) {
    let keys = |of: &DeclaredConfiguration| -> BTreeSet<CompactString> {
        let declared = of.workspaces.iter().flatten();
        declared
            .flat_map(|workspace| workspace.keys.clone())
            .collect()
    };
    let (before, after) = (keys(in_force), keys(new));
    for key in after.difference(&before) {
        lines.push(format!("key `{}` added", abbreviate(key)));
    }
    for key in before.difference(&after) {
        lines.push(format!("key `{}` removed", abbreviate(key)));
    }
}

/// Returns the first characters of a key.
fn abbreviate(key: &str) -> CompactString {
    let shown: String = key.chars().take(4).collect();
    format!("{shown}…").to_compact_string()
}
