//! Refusal of callers without the shared key or with a wrong token.

use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::PathBuf;
use std::time::Duration;

use masticdock_bench::fleet::{Fleet, FleetPlan};
use serde_json::{Value as Json, json};

const COUNT_TIMEOUT: Duration = Duration::from_secs(30);

/// Posts an empty object and returns the status and the body.
fn post(addr: SocketAddr, path: &str, token: &str) -> (u16, String) {
    let response = attohttpc::post(format!("http://{addr}{path}"))
        .header("Authorization", format!("Bearer {token}"))
        .json(&json!({}))
        .unwrap()
        .send()
        .unwrap();
    (response.status().as_u16(), response.text().unwrap())
}

/// Returns the address of the first agent for requests.
fn traffic_addr(fleet: &Fleet) -> SocketAddr {
    let list: Json = fleet.control_get("fleet", "/vms").unwrap();
    let vms = list["vms"].as_array().unwrap();
    let addr = vms.iter().find_map(|vm| vm["traffic_addr"].as_str());
    addr.unwrap().parse().unwrap()
}

/// Guards against a wrong token that is accepted, echoed or not counted.
#[test]
fn wrong_tokens_are_refused_and_counted() {
    const TOKEN: &str = "a-wrong-token-of-sufficient-length";
    let mut fleet = Fleet::start(FleetPlan::default()).unwrap();
    fleet.wait_all_ready().unwrap();
    // A caller is authenticated against a configuration, so there must be one.
    fleet
        .put(vec![
            masticdock_bench::fleet::operators::workspace("a", "another-token").unwrap(),
        ])
        .unwrap();
    let entry = fleet.entries()[0];
    let agent = traffic_addr(&fleet);
    for (addr, path) in [
        (entry.operators, "/v1/changes"),
        (entry.callers, "/v1/assistant"),
        (agent, "/v1/run/assistant"),
    ] {
        let (status, text) = post(addr, path, TOKEN);
        assert_eq!(status, 401, "{path}: {text}");
        assert!(!text.contains(TOKEN));
    }
    for (name, series) in [
        ("entry-0", "masticdock_operator_refused_total"),
        ("entry-0", "masticdock_entry_requests_total"),
        ("vm-0", "masticdock_agent_requests_total"),
    ] {
        assert!(fleet.metric(name, series).unwrap() >= 1.0, "{series}");
    }
    for name in ["entry-0", "vm-0"] {
        let log = fleet.folder().join(format!("{name}.log"));
        assert!(!std::fs::read_to_string(log).unwrap().contains(TOKEN));
    }
}

/// Guards against processes that accept peers with another key, and against
/// refusals that nobody can see.
#[test]
fn peers_with_another_key_are_refused_and_counted() {
    let key = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("other-{}.key", std::process::id()));
    let mut file = std::fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(&key)
        .unwrap();
    writeln!(file, "{}", "a5".repeat(32)).unwrap();
    let mut fleet = Fleet::start(FleetPlan {
        agent_settings: json!({ "security": { "peer_key_file": key } }),
        ..FleetPlan::default()
    })
    .unwrap();
    for series in [
        "masticdock_gossip_refused_total",
        "masticdock_rpc_refused_total",
    ] {
        fleet
            .wait_until(series, COUNT_TIMEOUT, |fleet| {
                let count = |fleet: &mut Fleet, name| fleet.metric(name, series).unwrap_or(0.0);
                count(fleet, "entry-0") + count(fleet, "vm-0") >= 1.0
            })
            .unwrap();
    }
    std::fs::remove_file(key).unwrap();
}
