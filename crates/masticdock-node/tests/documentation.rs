//! Checks that `docs/LOGS.md` and the deploy file match the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn append_sources(directory: &Path, text: &mut String) {
    for entry in fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            append_sources(&path, text);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&fs::read_to_string(&path).unwrap());
        }
    }
}

/// Returns the texts between each `before` and the next quotation mark.
fn quoted_after(text: &str, before: &str) -> BTreeSet<String> {
    text.split(before)
        .skip(1)
        .filter_map(|rest| rest.split('"').next())
        .map(str::to_owned)
        .collect()
}

/// Returns the names in the first column of the tables of a page.
fn documented_names(page: &str) -> BTreeSet<String> {
    page.lines()
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next())
        .map(str::to_owned)
        .collect()
}

/// Guards against a log event or metric that the page does not document, and against a
/// page that documents a removed one.
#[test]
fn logs_page_lists_every_event_and_metric() {
    let mut sources = String::new();
    for folder in ["crates/masticdock-node/src", "platform/src"] {
        append_sources(&repository_root().join(folder), &mut sources);
    }
    let mut used_names = quoted_after(&sources, "event = \"");
    used_names.insert("log.dropped".to_owned());
    used_names.extend(
        quoted_after(&sources, "\"masticdock_")
            .into_iter()
            .map(|name| format!("masticdock_{name}")),
    );
    let page = fs::read_to_string(repository_root().join("docs/LOGS.md")).unwrap();
    let documented = documented_names(&page);
    let undocumented: Vec<_> = used_names.difference(&documented).collect();
    let stale: Vec<_> = documented.difference(&used_names).collect();
    assert!(
        undocumented.is_empty() && stale.is_empty(),
        "undocumented {undocumented:?}, stale {stale:?}"
    );
}

/// Guards against a deploy file whose port for metrics differs from the one that is
/// served.
#[test]
fn deploy_file_names_the_metrics_port() {
    let deploy = fs::read_to_string(repository_root().join("deploy/system.toml")).unwrap();
    let source =
        fs::read_to_string(repository_root().join("crates/masticdock-node/src/metrics/mod.rs"));
    assert!(source.unwrap().contains("const PORT: u16 = 9_464;"));
    assert!(deploy.contains("metrics = \"9464/metrics\""));
}
