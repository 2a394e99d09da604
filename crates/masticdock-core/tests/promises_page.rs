//! Tests that every test named in `docs/PROMISES.md` exists.

use std::fs;
use std::path::{Path, PathBuf};

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Appends the contents of all Rust files below `folder` to `text`.
fn read_sources(folder: &Path, text: &mut String) {
    for entry in fs::read_dir(folder).expect("the folder exists") {
        let path = entry.expect("the entry is readable").path();
        if path.is_dir() {
            read_sources(&path, text);
            continue;
        }
        if path.extension().is_some_and(|extension| extension == "rs") {
            text.push_str(&fs::read_to_string(&path).expect("the file is readable"));
        }
    }
}

/// Returns the names in backticks that look like test names: at least two underscores.
fn named_tests(page: &str) -> Vec<&str> {
    let mut names = Vec::new();
    for name in page.split('`').skip(1).step_by(2) {
        let is_name = name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_');
        if is_name && name.matches('_').count() >= 2 {
            names.push(name);
        }
    }
    names
}

/// Guards against a promise whose test was renamed or removed.
#[test]
fn every_test_named_on_the_promises_page_exists() {
    let page = repository_root().join("docs/PROMISES.md");
    let page = fs::read_to_string(page).expect("the page exists");
    let mut sources = String::new();
    for folder in ["crates", "platform"] {
        read_sources(&repository_root().join(folder), &mut sources);
    }
    let names = named_tests(&page);
    assert!(
        names.len() > 30,
        "the page names only {} tests",
        names.len()
    );
    for name in names {
        let definition = format!("fn {name}(");
        let follows_attribute = sources
            .match_indices(&definition)
            .any(|(at, _)| sources[..at].trim_end().ends_with(']'));
        assert!(follows_attribute, "there is no test `{name}`");
    }
}
