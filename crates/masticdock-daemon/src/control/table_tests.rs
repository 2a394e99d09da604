//! Tests of configuration reads from a table that holds rows of another writer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticdock_core::ids::Revision;
use masticdock_core::resource::Resource;
use masticdock_platform::{HttpSettings, TableClient};
use serde_json::{Value, json};

use super::table_reader::TableReader;
use super::{ConfigTable, ControlHandle, ControlMsg, Snapshot, tests};
use crate::request_http::{HandlerLimits, Listener, respond};

/// Starts a table with these log rows, resource rows and head.
fn spawn_table(log: Vec<String>, resources: Vec<String>, head: u64) -> ConfigTable {
    let limits = HandlerLimits {
        body_bytes_max: 1 << 20,
        header_bytes_max: 1 << 16,
        requests_max: 16,
    };
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = Listener::spawn("table", addr, limits, move |mut request| {
        let call: Value = serde_json::from_reader(request.as_reader()).expect("a call");
        let values = &call["ExpressionAttributeValues"];
        let rows = match values[":pk"]["S"].as_str() {
            Some("log") => &log,
            Some(_) => &resources,
            None => {
                let item = format!(r#"{{"Item": {{{KEY}, "revision": {{"N": "{head}"}}}}}}"#);
                return respond(request, 200, "a/b", &[], item.into_bytes());
            }
        };
        let after = values[":after"]["S"].as_str().unwrap_or_default();
        let is_after = |row: &&String| {
            let sk = row
                .split("\"sk\": {\"S\": \"")
                .nth(1)
                .and_then(|text| text.split('"').next());
            sk.expect("a sort key") > after
        };
        let limit = usize::try_from(call["Limit"].as_u64().expect("a limit")).expect("a size");
        let page: Vec<&str> = rows
            .iter()
            .filter(is_after)
            .take(limit)
            .map(String::as_str)
            .collect();
        let page = format!(r#"{{"Items": [{}]}}"#, page.join(","));
        respond(request, 200, "a/b", &[], page.into_bytes());
    });
    let url = format!("http://{}", listener.expect("a listener").addr());
    ConfigTable::new(TableClient::new(url, "masticdock", HttpSettings::default()))
}

const KEY: &str = r#""pk": {"S": "config"}, "sk": {"S": "head"}"#;

/// Returns a row with a sort key and further attributes.
fn row(sk: &str, attributes: &str) -> String {
    format!(r#"{{"pk": {{"S": "p"}}, "sk": {{"S": "{sk}"}}{attributes}}}"#)
}

fn body(value: &Value) -> String {
    format!(
        r#", "revision": {{"N": "1"}}, "body": {{"S": {}}}"#,
        json!(value.to_string())
    )
}

fn log_row(revision: u64) -> String {
    let change = json!({
        "revision": revision, "change_id": format!("c-{revision}"), "operator": "ana",
        "accepted_at_unix_ms": 0, "changes": [],
    });
    row(&format!("{revision:020}"), &body(&change))
}

/// Returns rows with these sort keys that another writer left.
fn odd_rows(sks: [&str; 6]) -> Vec<String> {
    let nested = "[".repeat(5_000) + &"]".repeat(5_000);
    let odd = [
        String::new(),
        format!(r#", "revision": {{"N": "1"}}, "body": {{"S": "{nested}"}}"#),
        format!(r#", "revision": {{"N": "1"}}, "body": {nested}"#),
        r#", "revision": {"N": "99999999999999999999999"}, "body": {"S": "{}"}"#.to_owned(),
        r#", "revision": {"N": 1e999}, "body": {"M": {}}"#.to_owned(),
        body(&json!({ "kind": "service", "name": "x", "timeout_ms": -1 })),
    ];
    sks.iter().zip(odd).map(|(sk, odd)| row(sk, &odd)).collect()
}

/// Guards against a log that is no longer followed because of rows of another writer.
#[test]
fn odd_rows_in_the_log_are_passed_over() {
    let mut log = vec![log_row(1)];
    log.extend(odd_rows([
        "00000000000000000001a",
        "00000000000000000001b",
        "00000000000000000001c",
        "00000000000000000001d",
        "00000000000000000001e",
        "00000000000000000001f",
    ]));
    log.extend((2..=450).map(log_row));
    log.extend(odd_rows(["a", "b", "c", "d", "e", "f"]));
    let table = spawn_table(log, Vec::new(), 450);
    let changes = table.log_after(Revision(0)).expect("changes");
    let revisions: Vec<u64> = changes.iter().map(|change| change.revision.0).collect();
    assert_eq!(revisions, (1..=450).collect::<Vec<_>>());
}

/// Guards against a process that never adopts a configuration because of rows of another writer.
#[test]
fn odd_rows_among_the_resources_are_passed_over() {
    let workspace = json!({
        "kind": "workspace", "name": "alpenruh",
        "token_digest": masticdock_core::ids::Digest::of(b"token"),
    });
    let mut resources = odd_rows(["a", "b", "c", "d", "e", "f"]);
    resources.push(row("workspace/alpenruh", &body(&workspace)));
    let above_head = body(&workspace).replace("\"1\"", "\"18446744073709551615\"");
    resources.push(row("workspace/z", &above_head));
    let table = spawn_table(Vec::new(), resources, 7);
    let state = table.adopt().expect("a configuration");
    assert_eq!(state.revision(), Revision(7));
    let kept: Vec<&Resource> = state.iter().map(|(_, stored)| &stored.resource).collect();
    assert_eq!(kept.len(), 1, "{kept:?}");
}

/// Guards against a configuration that stands still because the log row of a change was replaced by
/// another writer.
#[test]
fn a_change_whose_log_row_is_odd_is_adopted_from_the_resources() {
    let log = vec![log_row(2), row("00000000000000000003", ""), log_row(4)];
    let (control, messages) = ControlHandle::channel();
    let reader = TableReader {
        table: spawn_table(log, Vec::new(), 4),
        interval: Duration::ZERO,
        control,
        rpc: tests::rpc(Vec::new()).0,
        own_id: "own".into(),
        table_read_due: Arc::default(),
    };
    let snapshot = Snapshot {
        config: Arc::new(tests::config(1)),
        adopted: true,
        ..Snapshot::default()
    };
    reader.read_once(&snapshot).expect("a read");
    let message = messages.try_recv().expect("a message");
    let ControlMsg::Adopted(state) = message else {
        panic!("no adoption");
    };
    assert_eq!(state.revision(), Revision(4));
}

/// Guards against a head of another writer that no later change can exceed, so that none is in force.
#[test]
fn a_head_out_of_range_is_not_adopted() {
    let table = spawn_table(Vec::new(), Vec::new(), u64::MAX);
    let adopted = table.adopt().map(|state| state.revision());
    assert!(adopted.is_err(), "{adopted:?}");
}
