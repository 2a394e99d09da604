//! Tests the table stand-in through the table client.

use masticdock_platform::{
    Condition, HttpSettings, Item, ItemKey, PlatformErrorKind, TableClient, Value, Write,
};
use masticdock_standins::{Faults, Running, table};

fn start() -> (Running, TableClient) {
    let running = table::spawn("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = TableClient::new(running.url(), "masticdock", HttpSettings::default());
    (running, client)
}

fn put(pk: &str, sk: &str, number: u64, condition: Condition) -> Write {
    Write::Put {
        item: Item::new(ItemKey::new(pk, sk)).with_number("revision", number),
        condition,
    }
}

fn revision_is(number: u64) -> Condition {
    Condition::Equals("revision".into(), Value::Number(number))
}

/// Guards against a transaction that is partly applied when one condition fails.
#[test]
fn failed_condition_is_reported_and_nothing_is_written() {
    let (_running, client) = start();
    let head = put("config", "head", 1, Condition::Absent);
    client.transact(std::slice::from_ref(&head), "t1").unwrap();
    let writes = [put("log", "1", 1, Condition::Always), head];
    let error = client.transact(&writes, "t2").unwrap_err();
    assert_eq!(error.kind, PlatformErrorKind::ConditionFailed(vec![1]));
    assert_eq!(client.get(&ItemKey::new("log", "1")).unwrap(), None);
}

/// Guards against two operators who both advance the head from the same revision.
#[test]
fn head_advances_once_per_expected_revision() {
    let (_running, client) = start();
    let created = put("config", "head", 7, Condition::Absent);
    client.transact(&[created], "t1").unwrap();
    let next = put("config", "head", 8, revision_is(7));
    client.transact(std::slice::from_ref(&next), "t2").unwrap();
    let error = client.transact(&[next], "t3").unwrap_err();
    assert_eq!(error.kind, PlatformErrorKind::ConditionFailed(vec![0]));
    let head = client.get(&ItemKey::new("config", "head")).unwrap();
    assert_eq!(head.unwrap().number("revision"), Some(8));
}

/// Guards against ignored conditions on deletes, condition checks and absent items.
#[test]
fn conditions_on_deletes_checks_and_absent_items_are_evaluated() {
    let (_running, client) = start();
    let key = ItemKey::new("slot", "0");
    let either = Condition::AbsentOrEquals("revision".into(), Value::Number(1));
    for token in ["t1", "t2"] {
        let write = put("slot", "0", 1, either.clone());
        client.transact(&[write], token).unwrap();
    }
    let check = Write::Check {
        key: key.clone(),
        condition: revision_is(2),
    };
    assert!(client.transact(&[check], "t3").is_err());
    let delete = |number| Write::Delete {
        key: key.clone(),
        condition: revision_is(number),
    };
    assert!(client.transact(&[delete(2)], "t4").is_err());
    client.transact(&[delete(1)], "t5").unwrap();
    assert_eq!(client.get(&key).unwrap(), None);
}

/// Guards against log rows that a query returns out of order or omits.
#[test]
fn query_pages_are_in_sort_key_order() {
    let (_running, client) = start();
    for number in [30, 10, 20] {
        let sk = format!("{number:020}");
        let write = put("log", &sk, number, Condition::Always);
        client.transact(&[write], &sk).unwrap();
    }
    let other = put("other", "1", 1, Condition::Always);
    client.transact(&[other], "t").unwrap();
    let revisions = |after: u64, limit| -> Vec<u64> {
        let after = format!("{after:020}");
        let items = client.query_after("log", &after, limit).unwrap();
        items
            .iter()
            .filter_map(|item| item.number("revision"))
            .collect()
    };
    assert_eq!(revisions(0, 2), [10, 20]);
    assert_eq!(revisions(10, 10), [20, 30]);
    assert_eq!(revisions(30, 10), [0u64; 0]);
    assert_eq!(client.query_all("log").unwrap().len(), 3);
}

/// Guards against a lost response that is reported as a write without effect.
#[test]
fn lost_response_is_an_unknown_outcome_but_was_applied() {
    let (running, client) = start();
    running.faults.set(Faults {
        lose_answer: 1.0,
        only: "TransactWriteItems".to_owned(),
        times: Some(1),
        ..Faults::default()
    });
    let write = put("change", "c1", 1, Condition::Absent);
    let error = client
        .transact(std::slice::from_ref(&write), "t1")
        .unwrap_err();
    assert_eq!(error.kind, PlatformErrorKind::OutcomeUnknown);
    assert!(client.get(&ItemKey::new("change", "c1")).unwrap().is_some());
    // With the same token, the retry succeeds without a second effect.
    client.transact(std::slice::from_ref(&write), "t1").unwrap();
    assert!(client.transact(&[write], "t2").is_err());
}

/// Guards against a lost request that takes effect, and against an unavailable table
/// that is reported as an unknown outcome.
#[test]
fn lost_request_and_outage_have_no_effect() {
    let (running, client) = start();
    let write = put("change", "c1", 1, Condition::Absent);
    for (faults, kind) in [
        (
            Faults {
                lose_request: 1.0,
                ..Faults::default()
            },
            PlatformErrorKind::OutcomeUnknown,
        ),
        (
            Faults {
                unavailable: 1.0,
                ..Faults::default()
            },
            PlatformErrorKind::Throttled,
        ),
    ] {
        running.faults.set(faults);
        let error = client
            .transact(std::slice::from_ref(&write), "t1")
            .unwrap_err();
        assert_eq!(error.kind, kind);
    }
    running.faults.set(Faults::default());
    assert_eq!(client.get(&ItemKey::new("change", "c1")).unwrap(), None);
}

/// Guards against accepting a token that was used for different writes or exceeds the
/// 36 characters of the protocol, duplicate items, or an empty key.
#[test]
fn invalid_tokens_and_duplicate_items_are_rejected() {
    let (_running, client) = start();
    client
        .transact(&[put("a", "1", 1, Condition::Always)], "t1")
        .unwrap();
    let other = put("a", "1", 2, Condition::Always);
    for (writes, token) in [
        (vec![other.clone()], "t1".to_owned()),
        (vec![other.clone()], "x".repeat(37)),
        (vec![other.clone(), other], "t2".to_owned()),
        (vec![put("", "1", 2, Condition::Always)], "t3".to_owned()),
    ] {
        let error = client.transact(&writes, &token).unwrap_err();
        assert_eq!(error.kind, PlatformErrorKind::Rejected);
    }
}
