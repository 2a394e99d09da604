//! Snapshots of the errors of `masticdockd check FILE` and of starts with invalid settings.

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

fn output_text(output: &Output, dir: &Path) -> String {
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    let status = output.status.code().unwrap_or(-1);
    let text = format!("status {status}\n{stdout}{stderr}");
    text.replace(&format!("{}/", dir.display()), "")
}

/// Writes a settings file for one test and returns its directory and path.
fn write(name: &str, text: &str) -> (PathBuf, String) {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join(format!("{name}.yaml"));
    std::fs::write(&path, text).unwrap();
    let path = path.display().to_string();
    (dir, path)
}

/// Runs `masticdockd check` on `text` with `from` replaced by `to`.
fn check(name: &str, text: &str, from: &str, to: &str) -> String {
    assert!(text.contains(from), "`{from}` is not in the example");
    let (dir, path) = write(name, &text.replace(from, to));
    output_text(&masticdockd(&["check", &path]), &dir)
}

/// Guards against example files that are not valid settings.
#[test]
fn examples_are_valid() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for role in ["entry", "agent"] {
        let path = dir.join(format!("{role}.yaml")).display().to_string();
        let text = output_text(&masticdockd(&["check", &path]), &dir);
        assert_eq!(
            text,
            format!("status 0\n{role}.yaml: valid settings of role {role}\n")
        );
    }
}

/// Guards against a misspelt or missing field that is ignored or reported without its line.
#[test]
fn unknown_and_missing_fields_are_reported() {
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

/// Guards against a value in another unit that is accepted as if it were in the field's unit.
#[test]
fn values_with_a_wrong_unit_are_rejected() {
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

/// Guards against invalid values that would fail only later, in the running process.
#[test]
fn values_out_of_range_are_rejected() {
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

/// Guards against two values that are valid separately but not in combination.
#[test]
fn contradictory_values_are_rejected() {
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

/// Guards against a process that starts with the settings of another role or of none.
#[test]
fn wrong_and_missing_roles_are_rejected() {
    insta::assert_snapshot!(
        "unknown_role",
        check("unknown_role", ENTRY, "role: entry", "role: entrance")
    );
    insta::assert_snapshot!("no_role", check("no_role", ENTRY, "role: entry\n", ""));
    let (dir, path) = write("other_role", ENTRY);
    let text = output_text(&masticdockd(&["agent", &path]), &dir);
    assert!(text.starts_with("status 2\n"), "{text}");
    // The log line begins with a time stamp, which is cut off.
    let message = text.split_once("cli] ").map(|(_, message)| message);
    insta::assert_snapshot!("other_role", message.unwrap_or_default());
}

/// Guards against errors on unreadable or malformed files that lack the path or the line.
#[test]
fn unreadable_files_are_reported() {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = dir.join("absent.yaml").display().to_string();
    let text = output_text(&masticdockd(&["check", &path]), &dir);
    insta::assert_snapshot!("absent_file", text);
    insta::assert_snapshot!(
        "broken_yaml",
        check("broken_yaml", ENTRY, "node:\n", "node: [\n")
    );
}

/// Guards against a start with a key file that other users can read, and against logging
/// the key.
#[test]
fn key_file_open_to_other_users_prevents_the_start() {
    const KEY: &str = "a-key-that-no-log-may-show";
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let key = dir.join("open.key");
    std::fs::write(&key, KEY).unwrap();
    std::fs::set_permissions(&key, Permissions::from_mode(0o644)).unwrap();
    let key = key.display().to_string();
    for (role, text) in [("entry", ENTRY), ("agent", AGENT)] {
        let text = text.replace("/etc/masticdock/peer.key", &key);
        let (_, path) = write(&format!("open_key_{role}"), &text);
        let text = output_text(&masticdockd(&[role, &path]), &dir);
        assert!(text.starts_with("status 1\n"), "{text}");
        assert!(text.contains("open.key is open to other users"), "{text}");
        assert!(text.contains("tip: run `chmod o= open.key`"), "{text}");
        assert!(!text.contains(KEY));
    }
}
