//! Tests of the operators' API against a stand-in for the table service.

use std::fs::Permissions;
use std::os::unix::fs::PermissionsExt as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use masticdock_core::ids::Revision;
use masticdock_core::operator_api::{AuditPage, ChangeAnswer, Problem, ResourceList, VmList};
use masticdock_standins::{Faults, Running, table};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use super::Handle;
use crate::control::{ControlHandle, Snapshot};
use crate::metrics::Metrics;
use crate::settings::EntrySettings;

const TOKEN: &str = "0123456789abcdef-ana";

struct Fixture {
    table: Running,
    listener: Handle,
    metrics: Metrics,
    _control: ControlHandle,
}

fn settings(table: &Running, tokens: &std::path::Path) -> EntrySettings {
    let text = format!(
        "role: entry\n\
         node: {{id: e1, region: r, zone: z, peer_addr: '127.0.0.1:0', status_addr: '127.0.0.1:0'}}\n\
         callers_addr: '127.0.0.1:0'\n\
         operators_addr: '127.0.0.1:0'\n\
         operator_tokens_file: {}\n\
         platform: {{table_url: '{}', object_store_url: 'http://127.0.0.1:9', \
         origin_url: 'http://127.0.0.1:9', fleet_view_url: 'http://127.0.0.1:9', timeout_ms: 1000}}\n\
         security: {{peer_key_file: /nonexistent}}\n",
        tokens.display(),
        table.url()
    );
    serde_yaml_ng::from_str(&text).unwrap()
}

fn fixture() -> Fixture {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("masticdock-tokens-{}-{number}", std::process::id());
    let tokens = std::env::temp_dir().join(name);
    std::fs::write(&tokens, format!("# operators\nana:{TOKEN}\n")).unwrap();
    std::fs::set_permissions(&tokens, Permissions::from_mode(0o600)).unwrap();
    let table = table::spawn("127.0.0.1:0".parse().unwrap()).unwrap();
    let settings = settings(&table, &tokens);
    let (control, _receiver) = ControlHandle::channel();
    control.snapshots.publish(Snapshot {
        adopted: true,
        ..Snapshot::default()
    });
    let metrics = Metrics::new();
    let listener = super::spawn(&settings, &control, &metrics).unwrap();
    std::fs::remove_file(&tokens).unwrap();
    Fixture {
        table,
        listener,
        metrics,
        _control: control,
    }
}

impl Fixture {
    fn get_with<T: DeserializeOwned>(&self, token: &str, path: &str) -> (u16, T) {
        let url = format!("http://{}{path}", self.listener.addr());
        let response = attohttpc::get(url).bearer_auth(token).send().unwrap();
        (response.status().as_u16(), response.json().unwrap())
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> T {
        let (status, body) = self.get_with(TOKEN, path);
        assert_eq!(status, 200);
        body
    }

    fn post(&self, body: &Value) -> (u16, Value) {
        let url = format!("http://{}/v1/changes", self.listener.addr());
        let request = attohttpc::post(url).bearer_auth(TOKEN).json(body).unwrap();
        let response = request.send().unwrap();
        (response.status().as_u16(), response.json().unwrap())
    }

    fn accepted(&self, body: &Value) -> ChangeAnswer {
        let (status, answer) = self.post(body);
        assert_eq!(status, 200, "{answer}");
        serde_json::from_value(answer).unwrap()
    }

    fn problem(&self, body: &Value) -> Problem {
        let (status, answer) = self.post(body);
        let problem: Problem = serde_json::from_value(answer).unwrap();
        assert_eq!(status, problem.status);
        problem
    }

    fn audit(&self) -> AuditPage {
        self.get("/v1/audit?after=0&limit=50")
    }
}

fn model(id: &str, description: &str) -> Value {
    let model = json!({"kind": "model", "name": "grind", "description": description});
    json!({"change_id": id, "changes": [{"put": model}]})
}

/// Returns faults that drop the responses to writes, `times` times when given.
fn drop_write_responses(times: Option<u32>) -> Faults {
    Faults {
        lose_answer: 1.0,
        only: "TransactWriteItems".to_owned(),
        times,
        ..Faults::default()
    }
}

/// Guards against an operators' API that is open to everyone on the network.
#[test]
fn a_missing_or_wrong_token_is_rejected_and_counted() {
    let fixture = fixture();
    let (status, problem) = fixture.get_with::<Problem>("wrong-token-wrong-token", "/v1/vms");
    assert_eq!((status, problem.type_name.as_str()), (401, "unauthorized"));
    let url = format!("http://{}/v1/vms", fixture.listener.addr());
    let response = attohttpc::get(url).send().unwrap();
    assert_eq!(response.status().as_u16(), 401);
    let metrics = String::from_utf8(fixture.metrics.render()).unwrap();
    assert!(metrics.contains("masticdock_operator_refused_total 2"));
    let list: VmList = fixture.get("/v1/vms");
    assert!(list.vms.is_empty());
}

/// Guards against a change applied twice or reported as failed when the response to the write is
/// lost.
#[test]
fn a_lost_write_response_is_resolved_by_reading_the_change_id() {
    let fixture = fixture();
    fixture.table.faults.set(drop_write_responses(Some(1)));
    let answer = fixture.accepted(&model("c-1", "first"));
    assert_eq!(answer.revision, Revision(1));
    assert_eq!(fixture.audit().changes.len(), 1);
}

/// Guards against applying a change twice when the client sends the request again.
#[test]
fn a_resent_change_id_is_applied_once() {
    let fixture = fixture();
    let first = fixture.accepted(&model("c-1", "first"));
    let second = fixture.accepted(&model("c-1", "first"));
    assert_eq!(first.revision, second.revision);
    assert_eq!(fixture.audit().changes.len(), 1);
}

/// Guards against an operator overwriting another operator's change without noticing.
#[test]
fn a_conflict_reports_the_change_of_the_other_operator() {
    let fixture = fixture();
    fixture.accepted(&model("theirs", "first"));
    let mut mine = model("mine", "second");
    mine["expected_revision"] = json!(0);
    let problem = fixture.problem(&mine);
    assert_eq!(
        (problem.status, problem.type_name.as_str()),
        (409, "conflict")
    );
    let other = problem.other_change.unwrap();
    assert_eq!(
        (other.change_id.as_str(), other.operator.as_str()),
        ("theirs", "ana")
    );
    assert_eq!(fixture.audit().changes.len(), 1);
}

/// Guards against races of operators: each accepted change must be in the audit trail once, and
/// no two may have the same revision.
#[test]
fn concurrent_operators_get_distinct_revisions_or_a_conflict() {
    let fixture = Arc::new(fixture());
    let mut threads = Vec::new();
    for number in 0..8 {
        let fixture = Arc::clone(&fixture);
        let body = model(&format!("c-{number}"), &format!("by {number}"));
        threads.push(std::thread::spawn(move || fixture.post(&body)));
    }
    let mut accepted = Vec::new();
    for thread in threads {
        let (status, body) = thread.join().unwrap();
        match status {
            200 => accepted.push(body["revision"].as_u64().unwrap()),
            409 | 503 => {}
            other => panic!("status {other}: {body}"),
        }
    }
    accepted.sort_unstable();
    let audit: Vec<u64> = fixture
        .audit()
        .changes
        .iter()
        .map(|c| c.revision.0)
        .collect();
    assert!(!accepted.is_empty());
    assert_eq!(accepted, audit);
}

/// Guards against a response to a change during a table outage that suggests the change may have
/// been accepted.
#[test]
fn a_table_outage_is_reported_and_changes_are_accepted_after_recovery() {
    let fixture = fixture();
    fixture.table.faults.set(Faults {
        unavailable: 1.0,
        ..Faults::default()
    });
    let problem = fixture.problem(&model("c-1", "first"));
    assert_eq!(
        (problem.status, problem.type_name.as_str()),
        (503, "table-unavailable")
    );
    fixture.table.faults.set(Faults::default());
    assert!(fixture.audit().changes.is_empty());
    fixture.accepted(&model("c-1", "first"));
}

/// Guards against reporting a change as not accepted when the response to its write is lost and its
/// id cannot be read.
#[test]
fn an_outage_right_after_a_write_is_reported_as_unknown() {
    let fixture = fixture();
    fixture.table.faults.set(drop_write_responses(None));
    let table = fixture.table.clone();
    let problem = std::thread::scope(|scope| {
        scope.spawn(move || {
            // Makes the table unavailable as soon as the write took effect.
            for _ in 0..2_000 {
                let stats = attohttpc::get(format!("{}/stats", table.url()))
                    .send()
                    .unwrap();
                let stats: Value = stats.json().unwrap();
                if stats["applied"].as_u64() > Some(0) {
                    break;
                }
            }
            table.faults.set(Faults {
                unavailable: 1.0,
                ..Faults::default()
            });
        });
        fixture.post(&model("c-1", "first"))
    });
    fixture.table.faults.set(Faults::default());
    let resolved = problem.0 == 200;
    let unknown = problem.1["type"] == "outcome-unknown";
    assert!(resolved || unknown, "{problem:?}");
    assert_eq!(fixture.audit().changes.len(), 1);
}

/// Guards against a dry run that writes, or that accepts a change which the real run rejects.
#[test]
fn a_dry_run_checks_and_writes_nothing() {
    let fixture = fixture();
    let version = json!({"kind": "version", "name": "v1", "model": "absent",
        "manifest": "00".repeat(32), "size_bytes": 10});
    let mut body = json!({"change_id": "c", "dry_run": true, "changes": [{"put": version}]});
    let problem = fixture.problem(&body);
    assert_eq!(
        (problem.status, problem.field.as_deref()),
        (422, Some("model"))
    );
    body["dry_run"] = json!(false);
    assert_eq!(fixture.problem(&body).status, 422);
    let mut good = model("d", "x");
    good["dry_run"] = json!(true);
    assert_eq!(fixture.accepted(&good).revision, Revision(0));
    assert!(fixture.audit().changes.is_empty());
}

/// Guards against changes that exceed the limits of a table transaction.
#[test]
fn a_change_with_too_many_resources_is_rejected() {
    let fixture = fixture();
    let model = json!({"put": {"kind": "model", "name": "m"}});
    let changes: Vec<Value> = std::iter::repeat_n(model, 91).collect();
    let problem = fixture.problem(&json!({"change_id": "c", "changes": changes}));
    assert_eq!(
        (problem.status, problem.type_name.as_str()),
        (413, "too-large")
    );
}

/// Guards against a typing error that is answered with an empty list instead of an error.
#[test]
fn an_unknown_name_kind_or_path_is_reported() {
    let fixture = fixture();
    let list: ResourceList = fixture.get("/v1/resources?kind=model");
    assert!(list.resources.is_empty());
    for (path, status) in [
        ("/v1/resources?kind=model&name=x", 404),
        ("/v1/resources?kind=modle", 422),
        ("/v1/rollouts/none/status", 404),
        ("/v1/nothing", 404),
    ] {
        let (got, problem) = fixture.get_with::<Problem>(TOKEN, path);
        assert_eq!(got, status, "{path}");
        assert!(problem.tip.is_some(), "{path}");
    }
}
