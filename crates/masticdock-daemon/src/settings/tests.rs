//! Tests of the list of fields and of `docs/SETTINGS.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};

use serde_json::Value as Json;

use super::fields::{FIELDS, flatten, unit_of};
use super::locate::line_of;
use super::{Settings, load};

const COMMON: &str = "
node: {id: a, region: r, zone: z, peer_addr: '127.0.0.1:1', status_addr: '127.0.0.1:2'}
platform: {table_url: 'http://a', object_store_url: 'http://a', origin_url: 'http://a', fleet_view_url: 'http://a'}
security: {peer_key_file: a}
";
const ENTRY: &str = "
role: entry
callers_addr: '127.0.0.1:3'
operators_addr: '127.0.0.1:4'
operator_tokens_file: b
";
const AGENT: &str = "
role: agent
traffic_addr: '127.0.0.1:3'
weights_addr: '127.0.0.1:4'
upstream: {engine: false, url: 'http://a', services: [a]}
";

/// Loads settings that hold only the required fields.
fn load_minimal(role: &str) -> Settings {
    // Tests run concurrently, so each call uses its own file.
    static CALLS: AtomicU32 = AtomicU32::new(0);
    let call = CALLS.fetch_add(1, Ordering::Relaxed);
    let name = format!("masticdock-minimal-{}-{call}.yaml", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, format!("{role}{COMMON}")).unwrap();
    let settings = load(&path).unwrap();
    std::fs::remove_file(path).unwrap();
    settings
}

fn is_required(path: &str) -> bool {
    let present = |text: &str| {
        let yaml: Json = serde_yaml_ng::from_str(text).unwrap();
        let pointer = format!("/{}", path.replace('.', "/"));
        yaml.pointer(&pointer).is_some()
    };
    [COMMON, ENTRY, AGENT].into_iter().any(present)
}

fn render_page() -> String {
    let values = [flatten(&load_minimal(ENTRY)), flatten(&load_minimal(AGENT))];
    let mut text = "# Settings\n\n\
        Settings are YAML. `masticdockd check FILE` names the first error with its line. Unknown fields are refused. \
        `examples/` has one file for each role. This page is made from the code: run \
        `UPDATE_DOCS=1 cargo test -p masticdock-daemon` after a change.\n\n\
        Fields end with their unit: `_ms` milliseconds, `_bytes` bytes, `_per_s` per second, `_percent` percent; a `_share` is a fraction from 0 to 1.\n\n\
        | field | role | unit | default | range | meaning |\n|---|---|---|---|---|---|\n"
        .to_owned();
    for field in FIELDS {
        let (roles, default) = match values.each_ref().map(|values| values.get(field.path)) {
            [Some(entry), Some(agent)] => {
                assert!(field.path == "role" || entry == agent);
                ("both", entry)
            }
            [Some(entry), None] => ("entry", entry),
            [None, Some(agent)] => ("agent", agent),
            [None, None] => panic!("{} is not a field", field.path),
        };
        let default = if is_required(field.path) {
            "required".to_owned()
        } else {
            format!("`{default}`").replace('"', "")
        };
        let range = match field.range {
            Some((min, max)) => format!("{min} to {max}"),
            None if field.path.ends_with("_share") => "0 to 1".to_owned(),
            None => String::new(),
        };
        let unit = unit_of(field.path).unwrap_or_default();
        writeln!(
            text,
            "| `{}` | {roles} | {unit} | {default} | {range} | {} |",
            field.path, field.meaning
        )
        .unwrap();
    }
    text
}

/// Guards against a `docs/SETTINGS.md` that differs from what the code accepts.
#[test]
fn settings_page_matches_the_code() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let text = render_page();
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(&path, &text).unwrap();
    }
    assert_eq!(std::fs::read_to_string(path).unwrap_or_default(), text);
}

/// Guards against a field that is missing from the list, and thus has neither a range check
/// nor documentation.
#[test]
fn every_field_is_listed_once() {
    let listed: Vec<&str> = FIELDS.iter().map(|field| field.path).collect();
    let mut known = BTreeMap::new();
    for role in [ENTRY, AGENT] {
        known.extend(flatten(&load_minimal(role)));
    }
    let unique: BTreeSet<&str> = listed.iter().copied().collect();
    assert_eq!(unique.len(), listed.len());
    assert!(known.keys().map(String::as_str).eq(unique));
    for field in FIELDS {
        let number = known[field.path].is_u64() && !field.path.ends_with("_bytes_per_s");
        assert_eq!(field.range.is_some(), number, "{}", field.path);
    }
}

/// Guards against reporting the line of a field of the same name in another section.
#[test]
fn line_is_found_in_the_section_of_the_field() {
    let text = "a:\n  x: 1\n# b:\n\nb:\n  # x:\n  y: 2\n  x: 3\nx: 4\n";
    assert_eq!(line_of(text, "a.x"), Some(2));
    assert_eq!(line_of(text, "b.x"), Some(8));
    assert_eq!(line_of(text, "x"), Some(9));
    assert_eq!(line_of(text, "a.y"), Some(1));
    assert_eq!(line_of(text, "c"), None);
}
