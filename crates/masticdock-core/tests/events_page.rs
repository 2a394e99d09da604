//! Tests that `docs/EVENTS.md` matches the catalogue of events.

use std::fmt::Write;
use std::path::Path;

use masticdock_core::event;

fn render_page() -> String {
    let mut text = "# Events\n\n\
        Log lines of numbered events contain `[E<number>]`; numbers do not change. \
        `masticdock explain 1100` prints a row. This page is generated from the code: run \
        `UPDATE_DOCS=1 cargo test -p masticdock-core --test events_page` after a change.\n\n\
        | event | level | meaning | what to do |\n|---|---|---|---|\n"
        .to_owned();
    for event in event::catalogue() {
        writeln!(
            text,
            "| E{} | {} | {} | {} |",
            event.number,
            event.level.as_str(),
            event.meaning,
            event.action
        )
        .unwrap();
    }
    text
}

/// Guards against a page that is out of date because an event changed in the code alone.
#[test]
fn events_page_matches_the_catalogue() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    let text = render_page();
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(&path, &text).unwrap();
    }
    assert_eq!(std::fs::read_to_string(path).unwrap_or_default(), text);
}

/// Guards against two events with the same number, which scripts could not tell apart.
#[test]
fn event_numbers_are_unique_and_four_digits_long() {
    let numbers: Vec<u16> = event::catalogue()
        .iter()
        .map(|event| event.number)
        .collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    assert!(
        numbers
            .iter()
            .all(|number| (1_000..10_000).contains(number))
    );
}
