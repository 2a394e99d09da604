//! Snapshots of help and error output, and exit statuses.

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

/// Renders exit status, standard output and standard error, with `folder` replaced.
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

/// Writes a file that is unique to the test.
fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let mut file = std::fs::File::create(&path).expect("the folder is writable");
    file.write_all(text.as_bytes()).expect("the disk has room");
    path
}

mod help {
    use super::{masticdock, transcript};

    #[test]
    fn top_level() {
        insta::assert_snapshot!(transcript(&masticdock(&["--help"]), ""));
    }

    #[test]
    fn apply() {
        insta::assert_snapshot!(transcript(&masticdock(&["apply", "--help"]), ""));
    }

    #[test]
    fn rollout() {
        insta::assert_snapshot!(transcript(&masticdock(&["rollout", "--help"]), ""));
    }

    #[test]
    fn vm() {
        insta::assert_snapshot!(transcript(&masticdock(&["vm", "--help"]), ""));
    }
}

mod errors {
    use super::{file, masticdock, transcript};

    /// Guards against a call without a server that fails without a tip.
    #[test]
    fn no_server() {
        insta::assert_snapshot!(transcript(&masticdock(&["get", "rollout"]), ""));
    }

    /// Guards against an unknown kind that is answered without the known ones.
    #[test]
    fn unknown_kind() {
        insta::assert_snapshot!(transcript(&masticdock(&["get", "rolout"]), ""));
    }

    /// Guards against a refused connection that is reported as an unknown outcome.
    #[test]
    fn refused_connection() {
        let token = file("refused.token", "secret");
        let token = token.to_str().expect("UTF-8");
        // Port 9 (discard) has no listener on loopback.
        let server = "http://127.0.0.1:9";
        let output = masticdock(&["get", "rollout", "--server", server, "--token-file", token]);
        insta::assert_snapshot!(transcript(&output, ""));
    }

    /// Applies a file to a server that does not answer.
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

    /// Guards against a typing error in a field name that is silently ignored.
    #[test]
    fn unknown_field() {
        let output = apply(
            "unknown-field",
            "kind: rollout\nname: a\nselecter: x=1\nversion: v1\n",
        );
        insta::assert_snapshot!(transcript(&output, env!("CARGO_TARGET_TMPDIR")));
    }

    /// Guards against a value out of range that reaches the entry.
    #[test]
    fn out_of_range() {
        let output = apply(
            "out-of-range",
            "kind: rollout\nname: a\nselector: x=1\nversion: v1\nmax_load_failures: 0\n",
        );
        insta::assert_snapshot!(transcript(&output, env!("CARGO_TARGET_TMPDIR")));
    }

    /// Guards against a wrong event number that is answered with an empty page.
    #[test]
    fn unknown_event() {
        insta::assert_snapshot!(transcript(&masticdock(&["explain", "999"]), ""));
    }
}

mod explain {
    use super::{masticdock, transcript};

    #[test]
    fn known_event() {
        insta::assert_snapshot!(transcript(&masticdock(&["explain", "4000"]), ""));
    }
}

mod manifest {
    use super::{file, masticdock, transcript};

    /// Guards against a manifest that differs between two runs over the same weights.
    #[test]
    fn same_weights_give_the_same_digest() {
        let weights = "0123456789".repeat(1_000);
        insta::assert_snapshot!(manifest_of("weights", &weights, "1KiB"));
    }

    fn manifest_of(name: &str, weights: &str, chunk_size: &str) -> String {
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

    /// Guards against a manifest without chunks, which agents refuse.
    #[test]
    fn empty_weights() {
        insta::assert_snapshot!(manifest_of("empty", "", "1KiB"));
    }

    /// Guards against a manifest that is published and then refused by every agent.
    #[test]
    fn too_many_chunks() {
        insta::assert_snapshot!(manifest_of("many", &"x".repeat(10_000), "1B"));
    }
}

mod trace {
    use super::{file, masticdock, transcript};

    const LOG: &str = r#"not a line of ours
{"event":"request.ended","level":"info","mono_ms":61300,"node":"front-1","outcome":"answered","request_id":"r-1","status":200,"text":"a request ended","unix_ms":1300,"upstream":"i-2"}
{"event":"attempt.broken","level":"warn","mono_ms":61100,"node":"front-1","reason":"reset","request_id":"r-1","text":"a response broke off or is not one","unix_ms":1100,"upstream":"i-1"}
{"event":"request.ended","level":"info","mono_ms":61200,"node":"front-1","request_id":"r-2","text":"a request ended","unix_ms":1200}
"#;

    /// Guards against lines of other requests, or lines out of order.
    #[test]
    fn the_way_of_one_request_in_order() {
        let log = file("entry.log", LOG);
        let log = log.to_str().expect("UTF-8");
        insta::assert_snapshot!(transcript(&masticdock(&["trace", "r-1", log]), ""));
    }

    #[test]
    fn an_id_that_no_line_names() {
        let log = file("other.log", LOG);
        let log = log.to_str().expect("UTF-8");
        insta::assert_snapshot!(transcript(&masticdock(&["trace", "r-9", log]), ""));
    }
}
