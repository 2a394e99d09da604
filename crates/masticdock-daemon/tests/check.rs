//! `masticdockd check FILE` and start with wrong settings, as snapshots.

use std::fs::Permissions;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const ENTRY: &str = include_str!("../../../examples/entry.yaml");
const AGENT: &str = include_str!("../../../examples/agent.yaml");

fn masticdockd(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_masticdockd"))
        .args(args)
        .env("NO_COLOR", "1")
        .output()
        .unwrap()
}

fn text_of(output: &Output, folder: &Path) -> String {
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    let status = output.status.code().unwrap_or(-1);
    let text = format!("status {status}\n{stdout}{stderr}");
    text.replace(&format!("{}/", folder.display()), "")
}

/// Writes a settings file for one test and returns its folder and path.
fn write(name: &str, text: &str) -> (PathBuf, String) {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(format!("{name}.yaml"));
    std::fs::write(&path, text).unwrap();
    let path = path.display().to_string();
    (folder, path)
}

/// Checks `text` with one piece replaced.
fn check(name: &str, text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "`{from}` is not in the example");
    let (folder, path) = write(name, &text.replace(from, to));
    text_of(&masticdockd(&["check", &path]), &folder)
}

/// Guards against examples that do not start.
#[test]
fn examples_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for role in ["entry", "agent"] {
        let path = folder.join(format!("{role}.yaml")).display().to_string();
        let text = text_of(&masticdockd(&["check", &path]), &folder);
        assert_eq!(
            text,
            format!("status 0\n{role}.yaml: valid settings of role {role}\n")
        );
    }
}

/// Guards against a misspelt field that is ignored or named without its line.
#[test]
fn unknown_fields() {
    insta::assert_snapshot!(
        "unknown_field",
        check("unknown_field", ENTRY, "  attempts_max", "  attemps_max")
    );
    insta::assert_snapshot!(
        "unknown_field_without_unit",
        check(
            "unknown_field_without_unit",
            AGENT,
            "slot_lease_ms",
            "slot_lease"
        )
    );
    insta::assert_snapshot!(
        "field_of_other_role",
        check("field_of_other_role", ENTRY, "callers_addr", "traffic_addr")
    );
    insta::assert_snapshot!(
        "missing_field",
        check("missing_field", AGENT, "  zone: tirol-a\n", "")
    );
}

/// Guards against a unit that is read as another one.
#[test]
fn bad_units() {
    insta::assert_snapshot!(
        "time_with_unit",
        check(
            "time_with_unit",
            AGENT,
            "slot_lease_ms: 15000",
            "slot_lease_ms: 15s"
        )
    );
    insta::assert_snapshot!(
        "rate_with_unit",
        check("rate_with_unit", AGENT, ": 125000000", ": 1 Gbit/s")
    );
    insta::assert_snapshot!(
        "share_in_percent",
        check(
            "share_in_percent",
            AGENT,
            "weights_share: 0.8",
            "weights_share: 80"
        )
    );
    insta::assert_snapshot!(
        "share_with_sign",
        check(
            "share_with_sign",
            AGENT,
            "weights_share: 0.8",
            "weights_share: 80%"
        )
    );
}

/// Guards against values that a running process would only stumble over later.
#[test]
fn values_out_of_range() {
    insta::assert_snapshot!(
        "out_of_range",
        check("out_of_range", ENTRY, "attempts_max: 4", "attempts_max: 0")
    );
    insta::assert_snapshot!(
        "https",
        check("https", ENTRY, "origin_url: http:", "origin_url: https:")
    );
    insta::assert_snapshot!(
        "open_weights",
        check("open_weights", AGENT, "127.0.0.1:7404", "10.2.0.27:7404")
    );
    insta::assert_snapshot!(
        "no_service",
        check("no_service", AGENT, "[assistant]", "[]")
    );
    insta::assert_snapshot!(
        "unreachable_peer_addr",
        check(
            "unreachable_peer_addr",
            ENTRY,
            "10.1.0.11:7401",
            "0.0.0.0:7401"
        )
    );
    insta::assert_snapshot!(
        "invalid_id",
        check("invalid_id", ENTRY, "entry-wien-a-1", "entry wien")
    );
}

/// Guards against two values that are valid alone and wrong together.
#[test]
fn contradictions() {
    let gossip = "gossip:\n  probe_interval_ms: 500\n  probe_timeout_ms: 600\nhttp:";
    insta::assert_snapshot!(
        "probe_timeout",
        check("probe_timeout", ENTRY, "http:\n", &format!("{gossip}\n"))
    );
    insta::assert_snapshot!(
        "same_address",
        check("same_address", ENTRY, "10.1.0.11:8081", "10.1.0.11:8080")
    );
    insta::assert_snapshot!(
        "fenced_plain_service",
        check(
            "fenced_plain_service",
            AGENT,
            "engine: true",
            "engine: false"
        )
    );
    insta::assert_snapshot!(
        "one_file_for_two_secrets",
        check(
            "one_file_for_two_secrets",
            ENTRY,
            "operator.tokens",
            "peer.key"
        )
    );
}

/// Guards against a process that starts with settings of the other role.
#[test]
fn wrong_roles() {
    insta::assert_snapshot!(
        "unknown_role",
        check("unknown_role", ENTRY, "role: entry", "role: entrance")
    );
    insta::assert_snapshot!("no_role", check("no_role", ENTRY, "role: entry\n", ""));
    let (folder, path) = write("other_role", ENTRY);
    let text = text_of(&masticdockd(&["agent", &path]), &folder);
    assert!(text.starts_with("status 2\n"), "{text}");
    // A log line begins with its time.
    let message = text.split_once("cli] ").map(|(_, message)| message);
    insta::assert_snapshot!("other_role", message.unwrap_or_default());
}

/// Guards against files that cannot be read or parsed without a path and a line.
#[test]
fn unreadable_files() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join("absent.yaml").display().to_string();
    let text = text_of(&masticdockd(&["check", &path]), &folder);
    insta::assert_snapshot!("absent_file", text);
    insta::assert_snapshot!(
        "broken_yaml",
        check("broken_yaml", ENTRY, "node:\n", "node: [\n")
    );
}

/// Guards against a start with a key that other users can read, and against the
/// key in the log.
#[test]
fn open_key_file_stops_the_start() {
    const KEY: &str = "a-key-that-no-log-may-show";
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let key = folder.join("open.key");
    std::fs::write(&key, KEY).unwrap();
    std::fs::set_permissions(&key, Permissions::from_mode(0o644)).unwrap();
    let key = key.display().to_string();
    for (role, text) in [("entry", ENTRY), ("agent", AGENT)] {
        let text = text.replace("/etc/masticdock/peer.key", &key);
        let (_, path) = write(&format!("open_key_{role}"), &text);
        let text = text_of(&masticdockd(&[role, &path]), &folder);
        assert!(text.starts_with("status 1\n"), "{text}");
        assert!(text.contains("open.key is open to other users"), "{text}");
        assert!(text.contains("tip: run `chmod o= open.key`"), "{text}");
        assert!(!text.contains(KEY));
    }
}
