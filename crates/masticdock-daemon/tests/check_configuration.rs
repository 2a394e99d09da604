//! Exit statuses and output of `masticdockd check-configuration FILE`.

use std::path::PathBuf;
use std::process::{Command, Output};

use serde_json::{Value, json};

fn write(name: &str, configuration: &Value) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, configuration.to_string()).unwrap();
    path.display().to_string()
}

fn check(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_masticdockd"))
        .arg("check-configuration")
        .args(args)
        .output()
        .unwrap()
}

fn configuration(version: u64, prefix: &str) -> Value {
    json!({
        "version": version, "services": [{ "name": "drafts" }],
        "tenants": [{ "name": "alpenruh", "api-keys": ["secret-key"] }],
        "routes": [{
            "name": "notes", "host": "a.example", "prefix": prefix, "kind": "idempotent",
            "timeout-ms": 800, "goal-ms": 300, "service": "drafts", "allowed-regions": [],
        }],
    })
}

/// Guards against a check that passes an invalid configuration, and against one that hides
/// what is to change.
#[test]
fn a_configuration_is_checked_and_compared() {
    let in_force = write("in-force.json", &configuration(6, "/notes/"));
    let valid = write("valid.json", &configuration(7, "/menus/"));
    let output = check(&[&valid, "--in-force", &in_force]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains("change: route `notes` changed"), "{text}");
    let invalid = write("invalid.json", &configuration(7, "/notes"));
    let output = check(&[&invalid]);
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.starts_with("error: prefix `/notes`"), "{text}");
    let broken = write("broken.json", &json!({ "version": "seven" }));
    assert_eq!(check(&[&broken]).status.code(), Some(2));
}
