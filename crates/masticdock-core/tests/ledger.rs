//! Runs the claim protocol over a table that loses answers and applies writes late.

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

/// Condition of a write: the tag that the entry must have, `None` for an absent entry.
type Condition = Option<CompactString>;

/// What happens to one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Answered,
    AnswerLost,
    /// The answer is lost and the write arrives later.
    Late,
    /// The write is lost.
    Lost,
}

/// One key of the table with writes that are still under way.
#[derive(Default)]
struct Table {
    entry: Option<LedgerEntry>,
    late: Vec<(LedgerEntry, Condition)>,
}

#[derive(PartialEq, Eq)]
enum Written {
    Applied,
    Refused,
    Unknown,
}

impl Table {
    fn apply(&mut self, entry: &LedgerEntry, condition: &Condition) -> bool {
        let holds = match (&self.entry, condition) {
            (None, None) => true,
            (Some(stored), Some(tag)) => stored.tag() == *tag,
            _ => false,
        };
        if holds {
            self.entry = Some(entry.clone());
        }
        holds
    }

    fn write(&mut self, entry: &LedgerEntry, condition: &Condition, fate: Fate) -> Written {
        match fate {
            Fate::Answered if self.apply(entry, condition) => Written::Applied,
            Fate::Answered => Written::Refused,
            Fate::AnswerLost => {
                self.apply(entry, condition);
                Written::Unknown
            }
            Fate::Late => {
                self.late.push((entry.clone(), condition.clone()));
                Written::Unknown
            }
            Fate::Lost => Written::Unknown,
        }
    }
}

#[derive(Default)]
struct World {
    table: Table,
    runs: u32,
    claims: u128,
    /// Claims that were held and run but whose outcome is not recorded yet.
    open: BTreeMap<u128, LedgerEntry>,
    /// Claims that were given up but may still take effect.
    given_up: Vec<LedgerEntry>,
}

fn response() -> StoredResponse {
    StoredResponse {
        status: 200,
        content_type: "application/json".into(),
        version: None,
        body: "{}".to_owned(),
    }
}

impl World {
    /// One attempt of some agent; the reads of the table fail when `reads` is false.
    fn attempt(&mut self, fate: Fate, reads: bool) {
        let mut condition = None;
        if reads && let Some(stored) = &self.table.entry {
            match resolve_existing_key(stored, FINGERPRINT, true) {
                ExistingKeyOutcome::Reclaim { tag } => condition = Some(tag),
                _ => return,
            }
        }
        self.claims += 1;
        let claim = ClaimId::from_random(self.claims);
        let entry = LedgerEntry::claimed(claim.clone(), "vm-1".parse().unwrap(), FINGERPRINT);
        match self.table.write(&entry, &condition, fate) {
            Written::Applied => return self.run(entry),
            Written::Refused => return,
            Written::Unknown => {}
        }
        if reads && resolve_read_back(self.table.entry.as_ref(), &claim) == ReadBackOutcome::Run {
            return self.run(entry);
        }
        self.given_up.push(entry);
    }

    fn run(&mut self, entry: LedgerEntry) {
        self.runs += 1;
        self.open.insert(self.claims, entry);
    }

    fn finish_one(&mut self, fate: Fate) {
        let Some((number, entry)) = self.open.pop_first() else {
            return;
        };
        let done = entry.done(response());
        if self.table.write(&done, &Some(entry.tag()), fate) == Written::Unknown {
            // Written again until the table tells.
            self.open.insert(number, entry);
        }
    }

    fn release_one(&mut self, fate: Fate) {
        let Some(entry) = self.given_up.pop() else {
            return;
        };
        let condition = match release_step(self.table.entry.as_ref(), &entry.claim) {
            ReleaseStep::Settled => return,
            ReleaseStep::PutIfAbsent => None,
            ReleaseStep::PutIfTag(tag) => Some(tag),
        };
        self.claims += 1;
        let released = entry.released(ClaimId::from_random(self.claims));
        if self.table.write(&released, &condition, fate) != Written::Applied {
            self.given_up.insert(0, entry);
        }
    }

    fn late_arrives(&mut self) {
        if !self.table.late.is_empty() {
            let (entry, condition) = self.table.late.remove(0);
            self.table.apply(&entry, &condition);
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Attempt(Fate, bool),
    Finish(Fate),
    Release(Fate),
    LateArrives,
}

fn step() -> impl Strategy<Value = Step> {
    let fate = || {
        prop::sample::select(vec![
            Fate::Answered,
            Fate::AnswerLost,
            Fate::Late,
            Fate::Lost,
        ])
    };
    prop_oneof![
        (fate(), any::<bool>()).prop_map(|(fate, reads)| Step::Attempt(fate, reads)),
        fate().prop_map(Step::Finish),
        fate().prop_map(Step::Release),
        Just(Step::LateArrives),
    ]
}

proptest! {
    #![proptest_config(config())]

    // Guards against a non-idempotent request that runs twice, and against a key
    // that stays unusable although nothing ran.
    #[test]
    fn a_key_runs_at_most_once_and_ends_settled(steps in prop::collection::vec(step(), 0..40)) {
        let mut world = World::default();
        for step in steps {
            match step {
                Step::Attempt(fate, reads) => world.attempt(fate, reads),
                Step::Finish(fate) => world.finish_one(fate),
                Step::Release(fate) => world.release_one(fate),
                Step::LateArrives => world.late_arrives(),
            }
            prop_assert!(world.runs <= 1);
        }
        // The table works again and every write that was under way has arrived.
        for _ in 0..100 {
            world.late_arrives();
            world.release_one(Fate::Answered);
            world.finish_one(Fate::Answered);
        }
        prop_assert!(world.given_up.is_empty());
        world.attempt(Fate::Answered, true);
        world.finish_one(Fate::Answered);
        prop_assert_eq!(world.runs, 1);
        let entry = world.table.entry.unwrap();
        prop_assert_eq!(&entry.state, &EntryState::Done(Some(response())));
        let attributes = entry.to_attributes();
        let text = |name: &str| {
            attributes.iter().find(|(found, _)| *found == name).map(|(_, value)| value.as_str())
        };
        prop_assert_eq!(LedgerEntry::from_attributes(text), Some(entry.clone()));
    }
}

// Guards against an answer for another request and against a promise about a dead VM's claim.
#[test]
fn a_second_attempt_gets_what_the_entry_says() {
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
    let anew = ExistingKeyOutcome::Reclaim {
        tag: released.tag(),
    };
    assert_eq!(resolve_existing_key(&released, other, true), anew);
}
