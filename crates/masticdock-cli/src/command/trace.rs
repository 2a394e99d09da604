//! `masticdock trace`.

use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::process::ExitCode;

use serde_json::{Map, Value};

use crate::cli::TraceArgs;
use crate::error::{CliError, CliErrorKind};

/// Fields that every log line has; omitted from the list of further fields.
const COMMON_FIELDS: [&str; 7] = [
    "event",
    "level",
    "mono_ms",
    "node",
    "request_id",
    "text",
    "unix_ms",
];

pub(super) fn run(args: &TraceArgs) -> Result<ExitCode, CliError> {
    let mut lines = Vec::new();
    if args.files.is_empty() {
        collect(std::io::stdin().lock(), &args.request_id, &mut lines)?;
    }
    for path in &args.files {
        let file = File::open(path).map_err(|error| {
            CliError::usage(format!("cannot open {}: {error}", path.display()))
                .with_tip("pass files that contain the standard output of entries")
        })?;
        collect(file, &args.request_id, &mut lines)?;
    }
    if lines.is_empty() {
        return Err(CliError::new(
            CliErrorKind::NotFound,
            format!("no log line for request {}", args.request_id),
        )
        .with_tip("each attempt by a caller has its own request id and reaches a single entry"));
    }
    // Lines are sorted by wall-clock time. The wall clock may jump, so lines with
    // the same time are ordered by the monotonic time of their process.
    lines.sort_by_key(|line| (u64_field(line, "unix_ms"), u64_field(line, "mono_ms")));
    let first_ms = u64_field(&lines[0], "unix_ms");
    for line in &lines {
        println!("{}", render(line, first_ms));
    }
    Ok(ExitCode::SUCCESS)
}

/// Collects the log lines of the request; lines that are not JSON objects are skipped.
fn collect(
    log: impl Read,
    request_id: &str,
    lines: &mut Vec<Map<String, Value>>,
) -> Result<(), CliError> {
    for line in BufReader::new(log).split(b'\n') {
        let line = line.map_err(|error| CliError::usage(format!("cannot read log: {error}")))?;
        let Ok(Value::Object(fields)) = serde_json::from_slice(&line) else {
            continue;
        };
        if fields.get("request_id").and_then(Value::as_str) == Some(request_id) {
            lines.push(fields);
        }
    }
    Ok(())
}

fn u64_field(line: &Map<String, Value>, field: &str) -> u64 {
    line.get(field).and_then(Value::as_u64).unwrap_or(0)
}

fn text_field<'a>(line: &'a Map<String, Value>, field: &str) -> &'a str {
    line.get(field).and_then(Value::as_str).unwrap_or("-")
}

fn render(line: &Map<String, Value>, first_ms: u64) -> String {
    let elapsed_ms = u64_field(line, "unix_ms").saturating_sub(first_ms);
    let mut fields = Vec::new();
    for (name, value) in line {
        if COMMON_FIELDS.contains(&name.as_str()) {
            continue;
        }
        let value = match value {
            Value::String(value) => value.clone(),
            other => other.to_string(),
        };
        fields.push(format!("{name}={value}"));
    }
    format!(
        "{elapsed_ms:>6} ms {} {}: {} ({})",
        text_field(line, "node"),
        text_field(line, "event"),
        text_field(line, "text"),
        fields.join(" ")
    )
}
