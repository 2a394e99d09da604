//! Snapshot tests of help texts, output, error messages and exit statuses.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output};

fn masticdock(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_masticdock"));
    command
        .args(args)
        .env_remove("MASTICDOCK_SERVER")
        .env_remove("MASTICDOCK_TOKEN_FILE")
        .env("NO_COLOR", "1");
    command.output().expect("the binary starts")
}

/// Returns exit status, standard output and standard error as one text, with the
/// path `folder` replaced by `FOLDER`.
fn transcript(output: &Output, folder: &str) -> String {
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    let text = format!(
        "status: {}\n--- stdout\n{stdout}--- stderr\n{stderr}",
        output.status.code().unwrap_or(-1)
    );
    if folder.is_empty() {
        return text;
    }
    text.replace(folder, "FOLDER")
}

/// Writes a file to the temporary folder; `name` has to be unique among the tests.
fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let mut file = std::fs::File::create(&path).expect("the folder is writable");
    file.write_all(text.as_bytes()).expect("the disk has room");
    path
}

mod help {
    use super::{masticdock, transcript};

    /// Guards against an unnoticed change of commands, global options or exit statuses.
    #[test]
    fn top_level() {
        insta::assert_snapshot!(transcript(&masticdock(&["--help"]), ""));
    }

    /// Guards against an unnoticed change of the options of `apply`.
    #[test]
    fn apply() {
        insta::assert_snapshot!(transcript(&masticdock(&["apply", "--help"]), ""));
    }

    /// Guards against an unnoticed change of the subcommands of `rollout`.
    #[test]
    fn rollout() {
        insta::assert_snapshot!(transcript(&masticdock(&["rollout", "--help"]), ""));
    }

    /// Guards against an unnoticed change of the subcommands of `vm`.
    #[test]
    fn vm() {
        insta::assert_snapshot!(transcript(&masticdock(&["vm", "--help"]), ""));
    }
}

mod errors {
    use super::{file, masticdock, transcript};

    /// Guards against a missing server address that is reported without a tip.
    #[test]
    fn missing_server_is_reported_with_a_tip() {
        insta::assert_snapshot!(transcript(&masticdock(&["get", "rollout"]), ""));
    }

    /// Guards against an unknown kind that is reported without the list of known kinds.
    #[test]
    fn unknown_kind_lists_known_kinds() {
        insta::assert_snapshot!(transcript(&masticdock(&["get", "rolout"]), ""));
    }

    /// Guards against a refused connection that is reported as an unknown outcome.
    #[test]
    fn refused_connection_is_unavailable() {
        let token = file("refused.token", "secret");
        let token = token.to_str().expect("UTF-8");
        // Port 9 (discard) has no listener on loopback.
        let server = "http://127.0.0.1:9";
        let output = masticdock(&["get", "rollout", "--server", server, "--token-file", token]);
        insta::assert_snapshot!(transcript(&output, ""));
    }

    /// Applies a file to a server that refuses connections.
    fn apply(name: &str, text: &str) -> std::process::Output {
        let path = file(&format!("{name}.yaml"), text);
        let token = file(&format!("{name}.token"), "secret");
        masticdock(&[
            "apply",
            "-f",
            path.to_str().expect("UTF-8"),
            "--server",
            "http://127.0.0.1:9",
            "--token-file",
            token.to_str().expect("UTF-8"),
        ])
    }

    /// Guards against a misspelled field name that is silently ignored.
    #[test]
    fn unknown_field_gets_a_suggestion() {
        let output = apply(
            "unknown-field",
            "kind: rollout\nname: a\nselecter: x=1\nversion: v1\n",
        );
        insta::assert_snapshot!(transcript(&output, env!("CARGO_TARGET_TMPDIR")));
    }

    /// Guards against an out-of-range value that is sent to the entry.
    #[test]
    fn out_of_range_value_is_rejected() {
        let output = apply(
            "out-of-range",
            "kind: rollout\nname: a\nselector: x=1\nversion: v1\nmax_load_failures: 0\n",
        );
        insta::assert_snapshot!(transcript(&output, env!("CARGO_TARGET_TMPDIR")));
    }

    /// Guards against an unknown event number that prints nothing and exits with status 0.
    #[test]
    fn unknown_event_is_not_found() {
        insta::assert_snapshot!(transcript(&masticdock(&["explain", "999"]), ""));
    }
}

mod explain {
    use super::{masticdock, transcript};

    /// Guards against an event that is printed without its meaning or action.
    #[test]
    fn known_event_prints_meaning_and_action() {
        insta::assert_snapshot!(transcript(&masticdock(&["explain", "4000"]), ""));
    }
}

mod manifest {
    use super::{file, masticdock, transcript};

    /// Guards against a manifest that differs between two runs over the same weights.
    #[test]
    fn same_weights_give_the_same_digest() {
        let weights = "0123456789".repeat(1_000);
        insta::assert_snapshot!(create_manifest("weights", &weights, "1KiB"));
    }

    fn create_manifest(name: &str, weights: &str, chunk_size: &str) -> String {
        let weights = file(&format!("{name}.bin"), weights);
        let to = file(&format!("{name}.json"), "");
        let args = [
            "manifest",
            weights.to_str().expect("UTF-8"),
            "--object",
            "models/a",
            "--chunk-size",
            chunk_size,
            "--to",
            to.to_str().expect("UTF-8"),
        ];
        transcript(&masticdock(&args), env!("CARGO_TARGET_TMPDIR"))
    }

    /// Guards against a manifest without chunks, which agents reject.
    #[test]
    fn empty_weights_file_is_rejected() {
        insta::assert_snapshot!(create_manifest("empty", "", "1KiB"));
    }

    /// Guards against a published manifest that every agent rejects for its chunk count.
    #[test]
    fn too_many_chunks_are_rejected() {
        insta::assert_snapshot!(create_manifest("many", &"x".repeat(10_000), "1B"));
    }
}

mod trace {
    use super::{file, masticdock, transcript};

    const LOG: &str = r#"not a line of ours
{"event":"request.ended","level":"info","mono_ms":61300,"node":"front-1","outcome":"answered","request_id":"r-1","status":200,"text":"a request ended","unix_ms":1300,"upstream":"i-2"}
{"event":"attempt.broken","level":"warn","mono_ms":61100,"node":"front-1","reason":"reset","request_id":"r-1","text":"a response broke off or is not one","unix_ms":1100,"upstream":"i-1"}
{"event":"request.ended","level":"info","mono_ms":61200,"node":"front-1","request_id":"r-2","text":"a request ended","unix_ms":1200}
"#;

    /// Guards against a trace with lines of other requests or lines out of order.
    #[test]
    fn lines_of_one_request_are_printed_in_order() {
        let log = file("entry.log", LOG);
        let log = log.to_str().expect("UTF-8");
        insta::assert_snapshot!(transcript(&masticdock(&["trace", "r-1", log]), ""));
    }

    /// Guards against a trace without lines that exits with status 0.
    #[test]
    fn unknown_request_id_is_not_found() {
        let log = file("other.log", LOG);
        let log = log.to_str().expect("UTF-8");
        insta::assert_snapshot!(transcript(&masticdock(&["trace", "r-9", log]), ""));
    }
}
