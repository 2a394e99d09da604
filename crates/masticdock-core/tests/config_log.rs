//! The configuration log against naive versions, over a small fake table.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::format_compact;
use masticdock_core::config_log::{
    Accepted, AcceptedChange, ApplyOutcome, ChangeWindow, ConfigState, PeerRevision, Proposal,
    ProposalError, ProposalPorts, StoredResource, TableAdoption, TableUnavailableError,
    WriteOutcome, choose_peer, propose, transaction,
};
use masticdock_core::ids::Revision;
use masticdock_core::resource::{Model, Resource, ResourceChange, ResourceKey};
use masticdock_core::units::UnixMs;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn put(name: u8, text: u64) -> ResourceChange {
    ResourceChange::Put(Resource::Model(Model {
        name: format!("m{name}").parse().unwrap(),
        description: format_compact!("{text}"),
    }))
}

fn delete(name: u8) -> ResourceChange {
    ResourceChange::Delete(put(name, 0).key())
}

fn change(revision: u64, changes: Vec<ResourceChange>) -> AcceptedChange {
    AcceptedChange {
        revision: Revision(revision),
        change_id: format!("c{revision}").parse().unwrap(),
        operator: "ana".parse().unwrap(),
        accepted_at_unix_ms: UnixMs(revision),
        changes,
    }
}

fn log_of(steps: &[Vec<(u8, Option<u64>)>]) -> Vec<AcceptedChange> {
    let mut log = Vec::new();
    for (step, revision) in steps.iter().zip(1..) {
        let changes = step.iter().map(|(name, text)| match text {
            Some(text) => put(*name, *text),
            None => delete(*name),
        });
        log.push(change(revision, changes.collect()));
    }
    log
}

/// Replays the whole log up to a revision into a map.
fn naive(log: &[AcceptedChange], revision: u64) -> BTreeMap<ResourceKey, (Revision, Resource)> {
    let mut map = BTreeMap::new();
    for change in log.iter().filter(|change| change.revision.0 <= revision) {
        for entry in &change.changes {
            match entry {
                ResourceChange::Put(resource) => {
                    map.insert(resource.key(), (change.revision, resource.clone()));
                }
                ResourceChange::Delete(key) => {
                    map.remove(key);
                }
            }
        }
    }
    map
}

fn contents(state: &ConfigState) -> BTreeMap<ResourceKey, (Revision, Resource)> {
    let entries = state.iter();
    entries
        .map(|(key, stored)| (key.clone(), (stored.revision, stored.resource.clone())))
        .collect()
}

fn steps() -> impl Strategy<Value = Vec<Vec<(u8, Option<u64>)>>> {
    let entry = (0_u8..4, prop::option::weighted(0.7, 0_u64..100));
    prop::collection::vec(prop::collection::vec(entry, 1..4), 1..20)
}

proptest! {
    #![proptest_config(Config {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(0x636f_6e66),
        failure_persistence: None,
        ..Config::default()
    })]

    // Guards against an older revision coming into force when reads lag or repeat.
    #[test]
    fn deliveries_in_any_order_never_go_back(
        steps in steps(),
        deliveries in prop::collection::vec((0_usize..20, 1_usize..8), 1..40),
    ) {
        let log = log_of(&steps);
        let mut state = ConfigState::default();
        for (start, len) in deliveries {
            let before = state.revision();
            for change in log.iter().skip(start).take(len) {
                let applied = state.apply(change);
                prop_assert_eq!(
                    matches!(applied, ApplyOutcome::Gap { .. }),
                    change.revision > state.revision()
                );
            }
            prop_assert!(state.revision() >= before);
            prop_assert_eq!(contents(&state), naive(&log, state.revision().0));
        }
    }

    // Guards against an adoption that mixes revisions while operators write.
    #[test]
    fn adoption_while_others_write_equals_the_second_head(
        steps in steps(),
        first in 0_usize..20,
        reads in prop::collection::vec(0_usize..20, 4),
        second in 0_usize..20,
    ) {
        let log = log_of(&steps);
        let first = first.min(log.len());
        let second = second.clamp(first, log.len());
        // Each resource is read at a moment of its own between the two heads.
        let mut resources = Vec::new();
        for (name, read) in (0_u8..4).zip(reads) {
            let at = read.clamp(first, second) as u64;
            let key = put(name, 0).key();
            if let Some((revision, resource)) = naive(&log, at).remove(&key) {
                resources.push(StoredResource { revision, resource });
            }
        }
        let adoption = TableAdoption::new(Revision(first as u64), resources);
        let rows: Vec<_> = log[first..].to_vec();
        let state = adoption.finish(Revision(second as u64), &rows).unwrap();
        prop_assert_eq!(state.revision(), Revision(second as u64));
        prop_assert_eq!(contents(&state), naive(&log, second as u64));
    }

    // Guards against a peer that is handed an incomplete run of changes.
    #[test]
    fn a_window_gives_all_changes_or_none(len in 1_u64..30, capacity in 0_usize..12, asked in 0_u64..35) {
        let mut window = ChangeWindow::new(Revision(0), capacity);
        for revision in 1..=len {
            window.push(change(revision, Vec::new()));
        }
        let expected: Vec<u64> = (asked + 1..=len).collect();
        match window.since(Revision(asked)) {
            Some(changes) => {
                let given: Vec<u64> = changes.iter().map(|change| change.revision.0).collect();
                prop_assert_eq!(given, expected);
            }
            None => prop_assert!(expected.len() > capacity),
        }
    }
}

/// What happens to one write of the fake table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteFault {
    None,
    /// Takes effect, but the answer is lost.
    LoseAnswer,
    /// The answer is lost and the effect comes with the next call.
    LateEffect,
    /// Does not reach the table.
    NotSent,
}

#[derive(Debug, Default)]
struct FakeTable {
    log: Vec<AcceptedChange>,
    late: Option<AcceptedChange>,
    faults: Vec<WriteFault>,
    reads_fail: bool,
    /// Written by another operator just before the next write.
    rival: Option<AcceptedChange>,
    /// Written by another operator once a late effect came.
    after_late: Option<AcceptedChange>,
}

impl FakeTable {
    fn insert(&mut self, change: &AcceptedChange) -> WriteOutcome {
        let writes = transaction(change);
        assert!(writes.len() >= 4, "head, change id, log and audit");
        if self
            .log
            .iter()
            .any(|other| other.change_id == change.change_id)
        {
            return WriteOutcome::ChangeIdExists;
        }
        if change.revision.0 != self.log.len() as u64 + 1 {
            return WriteOutcome::HeadMoved;
        }
        self.log.push(change.clone());
        WriteOutcome::Written
    }

    fn settle_late(&mut self) {
        if let Some(late) = self.late.take() {
            self.insert(&late);
        }
    }

    fn write(&mut self, change: &AcceptedChange) -> WriteOutcome {
        self.settle_late();
        if let Some(rival) = self.rival.take() {
            assert_eq!(self.insert(&rival), WriteOutcome::Written);
        }
        let fault = if self.faults.is_empty() {
            WriteFault::None
        } else {
            self.faults.remove(0)
        };
        match fault {
            WriteFault::None => self.insert(change),
            WriteFault::LoseAnswer => {
                self.insert(change);
                WriteOutcome::Unknown("answer lost".to_owned())
            }
            WriteFault::LateEffect => {
                self.late = Some(change.clone());
                WriteOutcome::Unknown("answer lost".to_owned())
            }
            WriteFault::NotSent => WriteOutcome::NotWritten("not sent".to_owned()),
        }
    }

    fn state(&self) -> ConfigState {
        let mut state = ConfigState::default();
        for change in &self.log {
            assert_eq!(state.apply(change), ApplyOutcome::Applied);
        }
        state
    }
}

fn run(
    table: &mut FakeTable,
    id: &str,
    expected: Option<u64>,
    changes: &[ResourceChange],
) -> Result<Accepted, ProposalError<()>> {
    let proposal = Proposal {
        change_id: id.parse().unwrap(),
        operator: "ana".parse().unwrap(),
        expected: expected.map(Revision),
        keys: changes
            .iter()
            .map(ResourceChange::key)
            .collect::<BTreeSet<_>>(),
        proposed_at: UnixMs(1),
    };
    let table = std::cell::RefCell::new(table);
    let down = || TableUnavailableError("down".to_owned());
    propose(
        &proposal,
        &mut ProposalPorts {
            revision_of: &mut |id| {
                let table = table.borrow();
                if table.reads_fail {
                    return Err(down());
                }
                let found = table.log.iter().find(|change| change.change_id == *id);
                Ok(found.map(|change| change.revision))
            },
            state_at_head: &mut || {
                let mut table = table.borrow_mut();
                if table.after_late.is_some() && table.late.is_some() {
                    table.settle_late();
                    let other = table.after_late.take().unwrap();
                    assert_eq!(table.insert(&other), WriteOutcome::Written);
                }
                Ok(table.state())
            },
            changes_after: &mut |after| {
                let table = table.borrow();
                let newer = table.log.iter().filter(|change| change.revision > after);
                Ok(newer.cloned().collect())
            },
            check: &mut |_| Ok(changes.to_vec()),
            write: &mut |change| {
                let mut table = table.borrow_mut();
                let outcome = table.write(change);
                table.reads_fail |= table.faults.first() == Some(&WriteFault::NotSent)
                    && matches!(outcome, WriteOutcome::Unknown(_));
                outcome
            },
            backoff: &mut |_| {},
        },
    )
}

// Guards against a second effect or a false failure after a lost answer.
#[test]
fn a_lost_answer_is_resolved_by_the_change_id() {
    let mut table = FakeTable {
        faults: vec![WriteFault::LoseAnswer],
        ..FakeTable::default()
    };
    let accepted = run(&mut table, "c", None, &[put(1, 1)]).unwrap();
    assert_eq!(accepted, Accepted::Earlier(Revision(1)));
    assert_eq!(table.log.len(), 1);
}

/// Writes again after a lost answer under a new id, as a client without read-back would.
fn naive_retry(table: &mut FakeTable, changes: &[ResourceChange]) {
    for attempt in 0..3 {
        let change = AcceptedChange {
            change_id: format!("try-{attempt}").parse().unwrap(),
            ..change(table.log.len() as u64 + 1, changes.to_vec())
        };
        if table.write(&change) == WriteOutcome::Written {
            return;
        }
    }
}

// Shows that the fault above occurs with a blind retry.
#[test]
fn a_blind_retry_has_two_effects() {
    let mut table = FakeTable {
        faults: vec![WriteFault::LoseAnswer],
        ..FakeTable::default()
    };
    naive_retry(&mut table, &[put(1, 1)]);
    assert_eq!(table.log.len(), 2);
}

// Guards against a write that takes effect after it was given up and repeated.
#[test]
fn a_late_effect_and_the_repeated_write_have_one_effect() {
    let mut table = FakeTable {
        faults: vec![WriteFault::LateEffect],
        ..FakeTable::default()
    };
    let accepted = run(&mut table, "c", None, &[put(1, 1)]).unwrap();
    assert_eq!(accepted, Accepted::Earlier(Revision(1)));
    assert_eq!(table.log.len(), 1);
}

// Guards against reporting a conflict with a later change although the own one
// took effect between the reading of its id and of the head.
#[test]
fn a_late_effect_below_another_change_is_no_conflict() {
    let mut table = FakeTable {
        faults: vec![WriteFault::LateEffect],
        after_late: Some(change(2, vec![put(1, 9)])),
        ..FakeTable::default()
    };
    let accepted = run(&mut table, "c", None, &[put(1, 1)]).unwrap();
    assert_eq!(accepted, Accepted::Earlier(Revision(1)));
    assert_eq!(table.log.len(), 2);
}

// Guards against telling an operator "not accepted" while the write may yet take effect.
#[test]
fn an_unresolved_write_is_reported_as_unknown() {
    let mut table = FakeTable {
        faults: vec![WriteFault::LateEffect, WriteFault::NotSent],
        ..FakeTable::default()
    };
    let result = run(&mut table, "c", None, &[put(1, 1)]);
    assert!(matches!(result, Err(ProposalError::OutcomeUnknown(_))));
    table.settle_late();
    table.reads_fail = false;
    table.faults.clear();
    let again = run(&mut table, "c", None, &[put(1, 1)]).unwrap();
    assert_eq!(again, Accepted::Earlier(Revision(1)));
}

// Guards against one of two operators overwriting the other's change unseen.
#[test]
fn the_second_of_two_operators_sees_the_change_of_the_first() {
    let rival = change(1, vec![put(1, 7)]);
    let mut table = FakeTable {
        rival: Some(rival.clone()),
        ..FakeTable::default()
    };
    let result = run(&mut table, "mine", None, &[put(1, 8)]);
    assert_eq!(result, Err(ProposalError::Conflict(Box::new(rival))));
    assert_eq!(table.log.len(), 1);
}

// Guards against a conflict between operators who change different resources.
#[test]
fn changes_of_different_resources_are_both_accepted() {
    let mut table = FakeTable {
        rival: Some(change(1, vec![put(2, 7)])),
        ..FakeTable::default()
    };
    let accepted = run(&mut table, "mine", Some(0), &[put(1, 8)]).unwrap();
    assert!(matches!(accepted, Accepted::Now(change) if change.revision == Revision(2)));
}

// Guards against a change based on a revision that the operator never saw replaced.
#[test]
fn a_change_since_the_expected_revision_is_a_conflict() {
    let mut table = FakeTable::default();
    for revision in 1..=3 {
        let other = change(revision, vec![put(1, revision)]);
        assert_eq!(table.insert(&other), WriteOutcome::Written);
    }
    let result = run(&mut table, "mine", Some(2), &[delete(1)]);
    assert!(matches!(result, Err(ProposalError::Conflict(other)) if other.revision == Revision(3)));
    let unknown = run(&mut table, "mine", Some(9), &[delete(1)]);
    assert_eq!(unknown, Err(ProposalError::UnknownRevision(Revision(9))));
}

proptest! {
    #![proptest_config(Config {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(0x7072_6f70),
        failure_persistence: None,
        ..Config::default()
    })]

    // Guards against answers that contradict the log, under any mix of lost writes.
    #[test]
    fn answers_agree_with_the_log(calls in prop::collection::vec(
        (0_u8..3, prop::collection::vec(0_u8..4, 0..4)), 1..15,
    )) {
        let mut table = FakeTable::default();
        for (number, (name, faults)) in calls.into_iter().enumerate() {
            table.faults = faults.into_iter().map(|fault| match fault {
                0 => WriteFault::None,
                1 => WriteFault::LoseAnswer,
                2 => WriteFault::LateEffect,
                _ => WriteFault::NotSent,
            }).collect();
            table.reads_fail = false;
            let id = format!("call-{number}");
            let result = run(&mut table, &id, None, &[put(name, number as u64)]);
            table.settle_late();
            let effects = table.log.iter().filter(|c| c.change_id.as_str() == id).count();
            match result {
                Ok(Accepted::Now(change)) => {
                    prop_assert_eq!(table.log.iter().find(|c| c.revision == change.revision), Some(&change));
                    prop_assert_eq!(effects, 1);
                }
                Ok(Accepted::Earlier(_)) => prop_assert_eq!(effects, 1),
                Err(ProposalError::OutcomeUnknown(_)) => prop_assert!(effects <= 1),
                Err(_) => prop_assert_eq!(effects, 0),
            }
        }
    }
}

// Guards against a restart in an outage that leads back to an older revision.
#[test]
fn a_restarted_process_takes_the_highest_revision_of_several_zones() {
    let offer = |zone: &str, revision| PeerRevision {
        peer: (),
        zone: zone.parse().unwrap(),
        revision: Revision(revision),
    };
    let one_zone = [offer("a", 7), offer("a", 8)];
    assert_eq!(choose_peer(&one_zone, 2), None);
    let two_zones = [offer("a", 7), offer("b", 9), offer("a", 8)];
    assert_eq!(choose_peer(&two_zones, 2).unwrap().revision, Revision(9));
    let nothing_held = [offer("a", 0), offer("b", 0)];
    assert_eq!(choose_peer(&nothing_held, 2), None);
}
