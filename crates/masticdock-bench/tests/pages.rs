//! `docs/METRICS.md` against the metrics of running processes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use masticdock_bench::fleet::{AgentPlan, Fleet, FleetPlan, Place, Upstream, operators};
use masticdock_core::resource::{Model, Resource, Rollout, ServiceKind};
use serde_json::json;

const TOKEN: &str = "page-workspace-token";
const SERVE_TIMEOUT: Duration = Duration::from_mins(1);

fn start() -> Fleet {
    let mut plan = FleetPlan::spread(&[Place::new("r1", "a")], 1, 1);
    plan.agents.push(AgentPlan {
        id: "desk".to_owned(),
        upstream: Upstream::Plain,
        services: vec!["orders".to_owned()],
        labels: [("fleet".into(), "desk".into())].into(),
        ..AgentPlan::default()
    });
    Fleet::start(plan).unwrap()
}

fn configure(fleet: &mut Fleet) {
    let version = fleet.publish_generated("assistant", "v1", 1 << 20, 256 << 10);
    let rollout = json!({
        "name": "first", "selector": "fleet=assistant", "version": "v1",
    });
    let rollout: Rollout = serde_json::from_value(rollout).unwrap();
    fleet
        .put(vec![
            Resource::Model(Model {
                name: "assistant".parse().unwrap(),
                description: "".into(),
            }),
            version.unwrap(),
            operators::service("assistant", ServiceKind::Engine, true).unwrap(),
            operators::service("orders", ServiceKind::Plain, false).unwrap(),
            operators::workspace("page", TOKEN).unwrap(),
            Resource::Rollout(rollout),
        ])
        .unwrap();
}

fn call(fleet: &Fleet, service: &str) -> u16 {
    let url = format!("http://{}/v1/{service}", fleet.entries()[0].callers);
    let response = attohttpc::post(url)
        .header("Authorization", format!("Bearer {TOKEN}"))
        .header("Idempotency-Key", "page-1")
        .json(&json!({"prompt": "p", "max_tokens": 2, "stream": true}))
        .unwrap()
        .send();
    response.map_or(0, |response| response.status().as_u16())
}

/// One metric as documented.
#[derive(Debug, Default)]
struct Metric {
    kind: String,
    meaning: String,
    labels: BTreeSet<String>,
    roles: BTreeSet<&'static str>,
}

/// Adds the metrics of one scrape in the Prometheus text format.
fn collect(text: &str, role: &'static str, metrics: &mut BTreeMap<String, Metric>) {
    let mut name = String::new();
    for line in text.lines() {
        if let Some(rest) = line.strip_prefix("# HELP ") {
            let (found, meaning) = rest.split_once(' ').unwrap();
            found.clone_into(&mut name);
            let metric = metrics.entry(name.clone()).or_default();
            meaning
                .trim_end_matches('.')
                .clone_into(&mut metric.meaning);
            metric.roles.insert(role);
            continue;
        }
        let metric = metrics.get_mut(&name).unwrap();
        if let Some(rest) = line.strip_prefix("# TYPE ") {
            rest.rsplit(' ')
                .next()
                .unwrap()
                .clone_into(&mut metric.kind);
            continue;
        }
        let Some((_, labels)) = line.split_once('{') else {
            continue;
        };
        let labels = labels.split('"').step_by(2);
        let labels = labels.filter_map(|part| part.trim_start_matches(',').strip_suffix('='));
        let labels = labels.filter(|label| *label != "le").map(str::to_owned);
        metric.labels.extend(labels);
    }
}

fn render(metrics: &BTreeMap<String, Metric>) -> String {
    let mut text = "# Metrics\n\n\
        Each process answers `GET /metrics` on `node.status_addr` in the Prometheus text format. \
        This page is made from the metrics of running processes: run \
        `UPDATE_DOCS=1 cargo test -p masticdock-bench --test pages` after a change.\n\n\
        | metric | type | labels | role | meaning |\n|---|---|---|---|---|\n"
        .to_owned();
    for (name, metric) in metrics {
        let labels: Vec<&str> = metric.labels.iter().map(String::as_str).collect();
        let roles: Vec<&str> = metric.roles.iter().copied().collect();
        writeln!(
            text,
            "| `{name}` | {} | {} | {} | {} |",
            metric.kind,
            labels.join(", "),
            roles.join(", "),
            metric.meaning
        )
        .unwrap();
    }
    text
}

/// Returns the metric names that stand as literals in the sources below `folder`.
fn names_in_sources(folder: &Path, names: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            names_in_sources(&path, names);
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap();
        let literals = text.split('"').skip(1).step_by(2);
        let is_name = |literal: &&str| {
            literal.starts_with("masticdock_")
                && literal.chars().all(|c| c.is_ascii_lowercase() || c == '_')
        };
        names.extend(literals.filter(is_name).map(str::to_owned));
    }
}

/// Guards against a fleet whose parts do not work together, and against a page
/// that no longer lists the metrics of the processes.
#[test]
fn whole_path_and_its_metrics() {
    let mut fleet = start();
    fleet.wait_all_ready().unwrap();
    configure(&mut fleet);
    for service in ["assistant", "orders"] {
        fleet
            .wait_until("requests are answered", SERVE_TIMEOUT, |fleet| {
                call(fleet, service) == 200
            })
            .unwrap();
    }
    let mut metrics = BTreeMap::new();
    for (name, role) in [("entry-0", "entry"), ("vm-0", "agent"), ("desk", "agent")] {
        collect(&fleet.metrics(name).unwrap(), role, &mut metrics);
    }
    let text = render(&metrics);
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = root.join("docs/METRICS.md");
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(&page, &text).unwrap();
    }
    assert_eq!(std::fs::read_to_string(page).unwrap_or_default(), text);
    let mut names = BTreeSet::new();
    names_in_sources(&root.join("crates/masticdock-daemon/src"), &mut names);
    for name in names {
        assert!(metrics.contains_key(&name), "{name} was not seen");
    }
}
