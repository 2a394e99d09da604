//! Simulates the claim protocol over a table that loses responses and delays or
//! drops writes.

use std::collections::BTreeMap;

use compact_str::CompactString;
use masticdock_core::ledger::{
    ClaimId, EntryState, ExistingKeyOutcome, LedgerEntry, ReadBackOutcome, ReleaseStep,
    StoredResponse, release_step, resolve_existing_key, resolve_read_back,
};
use masticdock_core::poison::Fingerprint;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(15),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

const FINGERPRINT: Fingerprint = Fingerprint([7; 16]);

/// Condition of a write: the tag that the entry must have, or `None` if the entry
/// must be absent.
type Condition = Option<CompactString>;

/// What the simulation does with one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteFate {
    /// The write and its response arrive.
    Acknowledged,
    /// The write arrives, and its response is lost.
    ResponseLost,
    /// The response is lost, and the write arrives later.
    Delayed,
    /// The write is lost.
    Dropped,
}

/// One key of the table, and the writes that have not arrived yet.
#[derive(Default)]
struct Table {
    entry: Option<LedgerEntry>,
    delayed: Vec<(LedgerEntry, Condition)>,
}

#[derive(PartialEq, Eq)]
enum WriteResult {
    Applied,
    Rejected,
    Unknown,
}

impl Table {
    fn apply(&mut self, entry: &LedgerEntry, condition: &Condition) -> bool {
        let is_met = match (&self.entry, condition) {
            (None, None) => true,
            (Some(stored), Some(tag)) => stored.tag() == *tag,
            _ => false,
        };
        if is_met {
            self.entry = Some(entry.clone());
        }
        is_met
    }

    fn write(
        &mut self,
        entry: &LedgerEntry,
        condition: &Condition,
        write_fate: WriteFate,
    ) -> WriteResult {
        match write_fate {
            WriteFate::Acknowledged if self.apply(entry, condition) => WriteResult::Applied,
            WriteFate::Acknowledged => WriteResult::Rejected,
            WriteFate::ResponseLost => {
                self.apply(entry, condition);
                WriteResult::Unknown
            }
            WriteFate::Delayed => {
                self.delayed.push((entry.clone(), condition.clone()));
                WriteResult::Unknown
            }
            WriteFate::Dropped => WriteResult::Unknown,
        }
    }
}

#[derive(Default)]
struct Simulation {
    table: Table,
    runs: u32,
    claims: u128,
    /// Claims whose request ran but whose outcome is not stored yet.
    unrecorded: BTreeMap<u128, LedgerEntry>,
    /// Claims that were abandoned but may still take effect.
    abandoned: Vec<LedgerEntry>,
}

fn response() -> StoredResponse {
    StoredResponse {
        status: 200,
        content_type: "application/json".into(),
        version: None,
        body: "{}".to_owned(),
    }
}

impl Simulation {
    /// Simulates an attempt by some agent. Reads of the table fail unless
    /// `reads_succeed`.
    fn attempt(&mut self, write_fate: WriteFate, reads_succeed: bool) {
        let mut condition = None;
        if reads_succeed && let Some(stored) = &self.table.entry {
            match resolve_existing_key(stored, FINGERPRINT, true) {
                ExistingKeyOutcome::Reclaim { tag } => condition = Some(tag),
                _ => return,
            }
        }
        self.claims += 1;
        let claim = ClaimId::from_random(self.claims);
        let entry = LedgerEntry::claimed(claim.clone(), "vm-1".parse().unwrap(), FINGERPRINT);
        match self.table.write(&entry, &condition, write_fate) {
            WriteResult::Applied => return self.run(entry),
            WriteResult::Rejected => return,
            WriteResult::Unknown => {}
        }
        if reads_succeed
            && resolve_read_back(self.table.entry.as_ref(), &claim) == ReadBackOutcome::Run
        {
            return self.run(entry);
        }
        self.abandoned.push(entry);
    }

    fn run(&mut self, entry: LedgerEntry) {
        self.runs += 1;
        self.unrecorded.insert(self.claims, entry);
    }

    fn finish_one(&mut self, write_fate: WriteFate) {
        let Some((number, entry)) = self.unrecorded.pop_first() else {
            return;
        };
        let done = entry.done(response());
        if self.table.write(&done, &Some(entry.tag()), write_fate) == WriteResult::Unknown {
            // The agent retries the write until the table responds.
            self.unrecorded.insert(number, entry);
        }
    }

    fn release_one(&mut self, write_fate: WriteFate) {
        let Some(entry) = self.abandoned.pop() else {
            return;
        };
        let condition = match release_step(self.table.entry.as_ref(), &entry.claim) {
            ReleaseStep::Settled => return,
            ReleaseStep::PutIfAbsent => None,
            ReleaseStep::PutIfTag(tag) => Some(tag),
        };
        self.claims += 1;
        let released = entry.released(ClaimId::from_random(self.claims));
        if self.table.write(&released, &condition, write_fate) != WriteResult::Applied {
            self.abandoned.insert(0, entry);
        }
    }

    fn deliver_delayed(&mut self) {
        if !self.table.delayed.is_empty() {
            let (entry, condition) = self.table.delayed.remove(0);
            self.table.apply(&entry, &condition);
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Attempt(WriteFate, bool),
    Finish(WriteFate),
    Release(WriteFate),
    DeliverDelayed,
}

fn step() -> impl Strategy<Value = Step> {
    let write_fate = || {
        prop::sample::select(vec![
            WriteFate::Acknowledged,
            WriteFate::ResponseLost,
            WriteFate::Delayed,
            WriteFate::Dropped,
        ])
    };
    prop_oneof![
        (write_fate(), any::<bool>())
            .prop_map(|(write_fate, reads_succeed)| Step::Attempt(write_fate, reads_succeed)),
        write_fate().prop_map(Step::Finish),
        write_fate().prop_map(Step::Release),
        Just(Step::DeliverDelayed),
    ]
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a non-idempotent request that runs twice, and against a key
    /// that stays unusable although its request never ran.
    #[test]
    fn request_runs_at_most_once_and_its_key_stays_usable(
        steps in prop::collection::vec(step(), 0..40)
    ) {
        let mut simulation = Simulation::default();
        for step in steps {
            match step {
                Step::Attempt(write_fate, reads_succeed) =>
                    simulation.attempt(write_fate, reads_succeed),
                Step::Finish(write_fate) => simulation.finish_one(write_fate),
                Step::Release(write_fate) => simulation.release_one(write_fate),
                Step::DeliverDelayed => simulation.deliver_delayed(),
            }
            prop_assert!(simulation.runs <= 1);
        }
        // The table works again, and all delayed writes arrive.
        for _ in 0..100 {
            simulation.deliver_delayed();
            simulation.release_one(WriteFate::Acknowledged);
            simulation.finish_one(WriteFate::Acknowledged);
        }
        prop_assert!(simulation.abandoned.is_empty());
        simulation.attempt(WriteFate::Acknowledged, true);
        simulation.finish_one(WriteFate::Acknowledged);
        prop_assert_eq!(simulation.runs, 1);
        let entry = simulation.table.entry.unwrap();
        prop_assert_eq!(&entry.state, &EntryState::Done(Some(response())));
        let attributes = entry.to_attributes();
        let text = |name: &str| {
            attributes.iter().find(|(found, _)| *found == name).map(|(_, value)| value.as_str())
        };
        prop_assert_eq!(LedgerEntry::from_attributes(text), Some(entry.clone()));
    }
}

/// Guards against a stored response that is replayed to a different request, and
/// against a claim of a dead VM that is reported as in progress.
#[test]
fn outcome_of_an_attempt_follows_the_existing_entry() {
    let entry = LedgerEntry::claimed(
        ClaimId::from_random(1),
        "vm-1".parse().unwrap(),
        FINGERPRINT,
    );
    let other = Fingerprint([8; 16]);
    let large = StoredResponse {
        body: "x".repeat(70_000),
        ..response()
    };
    let cases = [
        (
            entry.clone(),
            FINGERPRINT,
            true,
            ExistingKeyOutcome::InProgress,
        ),
        (
            entry.clone(),
            FINGERPRINT,
            false,
            ExistingKeyOutcome::OutcomeUnknown,
        ),
        (entry.clone(), other, true, ExistingKeyOutcome::KeyReused),
        (
            entry.done(response()),
            FINGERPRINT,
            false,
            ExistingKeyOutcome::Replay(response()),
        ),
        (
            entry.done(response()),
            other,
            false,
            ExistingKeyOutcome::KeyReused,
        ),
        (
            entry.done(large),
            FINGERPRINT,
            true,
            ExistingKeyOutcome::ResponseNotStored,
        ),
    ];
    for (stored, fingerprint, alive, expected) in cases {
        assert_eq!(resolve_existing_key(&stored, fingerprint, alive), expected);
    }
    let released = entry.released(ClaimId::from_random(2));
    let reclaim = ExistingKeyOutcome::Reclaim {
        tag: released.tag(),
    };
    assert_eq!(resolve_existing_key(&released, other, true), reclaim);
}
