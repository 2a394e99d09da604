//! `docs/LOGS.md` against the events and metrics in the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read_sources(folder: &Path, text: &mut String) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            read_sources(&path, text);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&fs::read_to_string(&path).unwrap());
        }
    }
}

/// Returns what stands between `before` and the next quotation mark.
fn quoted_after(text: &str, before: &str) -> BTreeSet<String> {
    text.split(before)
        .skip(1)
        .filter_map(|rest| rest.split('"').next())
        .map(str::to_owned)
        .collect()
}

/// Returns the names in the first column of the page's tables.
fn documented(page: &str) -> BTreeSet<String> {
    page.lines()
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next())
        .map(str::to_owned)
        .collect()
}

/// Guards against a log line or metric that nobody can look up, or a page that
/// names one which is gone.
#[test]
fn the_page_lists_every_event_and_metric() {
    let mut sources = String::new();
    read_sources(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        &mut sources,
    );
    let mut named = quoted_after(&sources, "event = \"");
    named.insert("log.dropped".to_owned());
    named.extend(
        quoted_after(&sources, "\"masticdock_")
            .into_iter()
            .map(|name| format!("masticdock_{name}")),
    );
    let page = fs::read_to_string(repository().join("docs/LOGS.md")).unwrap();
    let listed = documented(&page);
    let missing: Vec<_> = named.difference(&listed).collect();
    let gone: Vec<_> = listed.difference(&named).collect();
    assert!(
        missing.is_empty() && gone.is_empty(),
        "missing {missing:?}, gone {gone:?}"
    );
}

/// Guards against a deploy file that sends engineers to the wrong address.
#[test]
fn the_deploy_file_names_the_port_of_the_metrics() {
    let deploy = fs::read_to_string(repository().join("deploy/system.toml")).unwrap();
    let source = fs::read_to_string(repository().join("crates/masticdock-node/src/metrics/mod.rs"));
    assert!(source.unwrap().contains("const PORT: u16 = 9_464;"));
    assert!(deploy.contains("metrics = \"9464/metrics\""));
}
