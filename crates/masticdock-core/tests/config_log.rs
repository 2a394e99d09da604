//! Tests the configuration log against reference implementations, on an in-memory fake table.

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

fn build_log(steps: &[Vec<(u8, Option<u64>)>]) -> Vec<AcceptedChange> {
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

/// Reference implementation: replays the log up to `revision`.
fn reference_state(
    log: &[AcceptedChange],
    revision: u64,
) -> BTreeMap<ResourceKey, (Revision, Resource)> {
    let mut resources_by_key = BTreeMap::new();
    for change in log.iter().filter(|change| change.revision.0 <= revision) {
        for entry in &change.changes {
            match entry {
                ResourceChange::Put(resource) => {
                    resources_by_key.insert(resource.key(), (change.revision, resource.clone()));
                }
                ResourceChange::Delete(key) => {
                    resources_by_key.remove(key);
                }
            }
        }
    }
    resources_by_key
}

fn resources_of(state: &ConfigState) -> BTreeMap<ResourceKey, (Revision, Resource)> {
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

    /// Guards against a return to an older configuration when changes arrive out of order or
    /// more than once.
    #[test]
    fn out_of_order_changes_never_lower_the_revision(
        steps in steps(),
        deliveries in prop::collection::vec((0_usize..20, 1_usize..8), 1..40),
    ) {
        let log = build_log(&steps);
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
            prop_assert_eq!(resources_of(&state), reference_state(&log, state.revision().0));
        }
    }

    /// Guards against an adoption that mixes revisions because operators write between its reads.
    #[test]
    fn adoption_during_writes_yields_the_second_head(
        steps in steps(),
        first in 0_usize..20,
        reads in prop::collection::vec(0_usize..20, 4),
        second in 0_usize..20,
    ) {
        let log = build_log(&steps);
        let first = first.min(log.len());
        let second = second.clamp(first, log.len());
        // Each resource is read at a different revision between the two heads.
        let mut resources = Vec::new();
        for (name, read) in (0_u8..4).zip(reads) {
            let at = read.clamp(first, second) as u64;
            let key = put(name, 0).key();
            if let Some((revision, resource)) = reference_state(&log, at).remove(&key) {
                resources.push(StoredResource { revision, resource });
            }
        }
        let adoption = TableAdoption::new(Revision(first as u64), resources);
        let rows: Vec<_> = log[first..].to_vec();
        let state = adoption.finish(Revision(second as u64), &rows).unwrap();
        prop_assert_eq!(state.revision(), Revision(second as u64));
        prop_assert_eq!(resources_of(&state), reference_state(&log, second as u64));
    }

    /// Guards against a peer that receives changes with a gap because older ones were evicted.
    #[test]
    fn a_window_returns_all_changes_or_none(len in 1_u64..30, capacity in 0_usize..12, asked in 0_u64..35) {
        let mut window = ChangeWindow::new(Revision(0), capacity);
        for revision in 1..=len {
            window.push(change(revision, Vec::new()));
        }
        let expected: Vec<u64> = (asked + 1..=len).collect();
        match window.since(Revision(asked)) {
            Some(changes) => {
                let returned: Vec<u64> = changes.iter().map(|change| change.revision.0).collect();
                prop_assert_eq!(returned, expected);
            }
            None => prop_assert!(expected.len() > capacity),
        }
    }
}

/// Fault injected into one write to the fake table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteFault {
    None,
    /// The write takes effect, but the response is lost.
    LoseResponse,
    /// The response is lost, and the write takes effect only before the next one.
    DelayEffect,
    /// The write does not reach the table.
    NotSent,
}

#[derive(Debug, Default)]
struct FakeTable {
    log: Vec<AcceptedChange>,
    /// Write whose response was lost and that has not taken effect yet.
    delayed_write: Option<AcceptedChange>,
    /// Faults of the next writes, in order.
    faults: Vec<WriteFault>,
    reads_fail: bool,
    /// Change that another operator writes just before the next write.
    concurrent_change: Option<AcceptedChange>,
    /// Change that another operator writes as soon as the delayed write has taken effect.
    change_after_delayed: Option<AcceptedChange>,
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

    fn apply_delayed_write(&mut self) {
        if let Some(delayed_write) = self.delayed_write.take() {
            self.insert(&delayed_write);
        }
    }

    fn write(&mut self, change: &AcceptedChange) -> WriteOutcome {
        self.apply_delayed_write();
        if let Some(concurrent_change) = self.concurrent_change.take() {
            assert_eq!(self.insert(&concurrent_change), WriteOutcome::Written);
        }
        let fault = if self.faults.is_empty() {
            WriteFault::None
        } else {
            self.faults.remove(0)
        };
        match fault {
            WriteFault::None => self.insert(change),
            WriteFault::LoseResponse => {
                self.insert(change);
                WriteOutcome::Unknown("answer lost".to_owned())
            }
            WriteFault::DelayEffect => {
                self.delayed_write = Some(change.clone());
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

fn propose_change(
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
    let unavailable = || TableUnavailableError("down".to_owned());
    propose(
        &proposal,
        &mut ProposalPorts {
            revision_of: &mut |id| {
                let table = table.borrow();
                if table.reads_fail {
                    return Err(unavailable());
                }
                let found = table.log.iter().find(|change| change.change_id == *id);
                Ok(found.map(|change| change.revision))
            },
            state_at_head: &mut || {
                let mut table = table.borrow_mut();
                if table.change_after_delayed.is_some() && table.delayed_write.is_some() {
                    table.apply_delayed_write();
                    let other = table.change_after_delayed.take().unwrap();
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

/// Guards against a change that is applied twice or reported as failed although it was accepted,
/// after the response to its write was lost.
#[test]
fn a_lost_response_is_resolved_by_the_change_id() {
    let mut table = FakeTable {
        faults: vec![WriteFault::LoseResponse],
        ..FakeTable::default()
    };
    let accepted = propose_change(&mut table, "c", None, &[put(1, 1)]).unwrap();
    assert_eq!(accepted, Accepted::Earlier(Revision(1)));
    assert_eq!(table.log.len(), 1);
}

/// Retries under a new change id after a lost response, as a client that does not keep its id would.
fn retry_with_new_change_id(table: &mut FakeTable, changes: &[ResourceChange]) {
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

/// Shows that the failure above occurs with a retry that does not reuse the change id, so that
/// the test above is known to detect it.
#[test]
fn a_retry_with_a_new_change_id_applies_the_change_twice() {
    let mut table = FakeTable {
        faults: vec![WriteFault::LoseResponse],
        ..FakeTable::default()
    };
    retry_with_new_change_id(&mut table, &[put(1, 1)]);
    assert_eq!(table.log.len(), 2);
}

/// Guards against a change that is applied twice because the first write takes effect only after
/// its retry was started.
#[test]
fn a_delayed_write_and_its_retry_take_effect_once() {
    let mut table = FakeTable {
        faults: vec![WriteFault::DelayEffect],
        ..FakeTable::default()
    };
    let accepted = propose_change(&mut table, "c", None, &[put(1, 1)]).unwrap();
    assert_eq!(accepted, Accepted::Earlier(Revision(1)));
    assert_eq!(table.log.len(), 1);
}

/// Guards against a conflict reported for an accepted change: its delayed write takes effect
/// between the lookup of its id and the read of the head, and a later change follows it.
#[test]
fn a_delayed_write_below_another_change_is_not_a_conflict() {
    let mut table = FakeTable {
        faults: vec![WriteFault::DelayEffect],
        change_after_delayed: Some(change(2, vec![put(1, 9)])),
        ..FakeTable::default()
    };
    let accepted = propose_change(&mut table, "c", None, &[put(1, 1)]).unwrap();
    assert_eq!(accepted, Accepted::Earlier(Revision(1)));
    assert_eq!(table.log.len(), 2);
}

/// Guards against an operator who is told that a change was not accepted while its write may
/// still take effect.
#[test]
fn an_unresolved_write_is_reported_as_unknown() {
    let mut table = FakeTable {
        faults: vec![WriteFault::DelayEffect, WriteFault::NotSent],
        ..FakeTable::default()
    };
    let result = propose_change(&mut table, "c", None, &[put(1, 1)]);
    assert!(matches!(result, Err(ProposalError::OutcomeUnknown(_))));
    table.apply_delayed_write();
    table.reads_fail = false;
    table.faults.clear();
    let retried = propose_change(&mut table, "c", None, &[put(1, 1)]).unwrap();
    assert_eq!(retried, Accepted::Earlier(Revision(1)));
}

/// Guards against an operator who silently overwrites the concurrent change of another one.
#[test]
fn a_concurrent_change_of_the_same_resource_is_a_conflict() {
    let concurrent_change = change(1, vec![put(1, 7)]);
    let mut table = FakeTable {
        concurrent_change: Some(concurrent_change.clone()),
        ..FakeTable::default()
    };
    let result = propose_change(&mut table, "mine", None, &[put(1, 8)]);
    assert_eq!(
        result,
        Err(ProposalError::Conflict(Box::new(concurrent_change)))
    );
    assert_eq!(table.log.len(), 1);
}

/// Guards against a conflict reported for concurrent changes of different resources.
#[test]
fn changes_of_different_resources_are_both_accepted() {
    let mut table = FakeTable {
        concurrent_change: Some(change(1, vec![put(2, 7)])),
        ..FakeTable::default()
    };
    let accepted = propose_change(&mut table, "mine", Some(0), &[put(1, 8)]).unwrap();
    assert!(matches!(accepted, Accepted::Now(change) if change.revision == Revision(2)));
}

/// Guards against a change that overwrites one made after the revision on which it is based.
#[test]
fn a_change_since_the_expected_revision_is_a_conflict() {
    let mut table = FakeTable::default();
    for revision in 1..=3 {
        let other = change(revision, vec![put(1, revision)]);
        assert_eq!(table.insert(&other), WriteOutcome::Written);
    }
    let result = propose_change(&mut table, "mine", Some(2), &[delete(1)]);
    assert!(matches!(result, Err(ProposalError::Conflict(other)) if other.revision == Revision(3)));
    let unknown_revision = propose_change(&mut table, "mine", Some(9), &[delete(1)]);
    assert_eq!(
        unknown_revision,
        Err(ProposalError::UnknownRevision(Revision(9)))
    );
}

proptest! {
    #![proptest_config(Config {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(0x7072_6f70),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against results of proposals that contradict the log, for any sequence of write
    /// faults.
    #[test]
    fn proposal_results_agree_with_the_log(calls in prop::collection::vec(
        (0_u8..3, prop::collection::vec(0_u8..4, 0..4)), 1..15,
    )) {
        let mut table = FakeTable::default();
        for (number, (name, faults)) in calls.into_iter().enumerate() {
            table.faults = faults.into_iter().map(|fault| match fault {
                0 => WriteFault::None,
                1 => WriteFault::LoseResponse,
                2 => WriteFault::DelayEffect,
                _ => WriteFault::NotSent,
            }).collect();
            table.reads_fail = false;
            let id = format!("call-{number}");
            let result = propose_change(&mut table, &id, None, &[put(name, number as u64)]);
            table.apply_delayed_write();
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

/// Guards against a process that adopts an old revision when it restarts during a table outage.
#[test]
fn a_restarted_process_adopts_the_highest_revision_of_several_zones() {
    let peer_revision = |zone: &str, revision| PeerRevision {
        peer: (),
        zone: zone.parse().unwrap(),
        revision: Revision(revision),
    };
    let one_zone = [peer_revision("a", 7), peer_revision("a", 8)];
    assert_eq!(choose_peer(&one_zone, 2), None);
    let two_zones = [
        peer_revision("a", 7),
        peer_revision("b", 9),
        peer_revision("a", 8),
    ];
    assert_eq!(choose_peer(&two_zones, 2).unwrap().revision, Revision(9));
    let nothing_held = [peer_revision("a", 0), peer_revision("b", 0)];
    assert_eq!(choose_peer(&nothing_held, 2), None);
}
