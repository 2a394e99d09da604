//! Claims of request keys in the table.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use crossbeam::channel::{Receiver, Sender, unbounded};
use masticdock_core::ids::VmId;
use masticdock_core::ledger::{
    ClaimId, ExistingKeyOutcome, LedgerEntry, ReadBackOutcome, ReleaseStep, StoredResponse,
    release_step, resolve_existing_key, resolve_read_back,
};
use masticdock_core::problem::{Problem, ProblemKind};
use masticdock_platform::{
    Condition, HttpSettings, Item, ItemKey, PlatformError, PlatformErrorKind, TableClient, Value,
    Write,
};

use super::run_request::RunRequest;
use crate::settings::PlatformSettings;

/// Time between two attempts to settle an entry.
const SETTLE_INTERVAL: Duration = Duration::from_millis(500);

/// Attempts to settle an entry before it is given up: an hour of outage.
const SETTLE_ATTEMPTS_MAX: u32 = 7_200;

/// Attempts to write an outcome before the response goes out without it.
const DONE_ATTEMPTS: u32 = 3;

/// Time after which a retry of a non-idempotent request makes sense, in seconds.
const RETRY_AFTER_S: u64 = 5;

/// Claims again after a release by another agent, at most this often.
const CLAIM_ROUNDS_MAX: u32 = 3;

/// A held claim.
pub(super) struct Claim {
    key: ItemKey,
    entry: LedgerEntry,
}

/// What came of an attempt to claim.
pub(super) enum ClaimOutcome {
    /// The key is claimed: run the request.
    Held(Claim),
    /// The request ran before; this is its answer.
    Answer(StoredResponse),
    /// The request does not run under this attempt.
    Refused(Problem),
}

enum Settle {
    Done(Claim, StoredResponse),
    Release(Claim),
}

#[derive(Default)]
struct Open {
    claims: Mutex<HashSet<ClaimId>>,
}

/// Claims request keys and settles them in the background when the table is down.
pub(super) struct Claims {
    table: TableClient,
    vm: VmId,
    open: Arc<Open>,
    settle: Sender<Settle>,
}

impl Claims {
    pub(super) fn spawn(platform: &PlatformSettings, vm: VmId) -> std::io::Result<Self> {
        let http = HttpSettings {
            timeout_ms: platform.timeout_ms,
        };
        let table = TableClient::new(
            platform.table_url.clone(),
            platform.table_name.clone(),
            http,
        );
        let (settle, queue) = unbounded();
        let open = Arc::<Open>::default();
        let settling = (table.clone(), Arc::clone(&open));
        thread::Builder::new()
            .name("claim-settler".to_owned())
            .spawn(move || settle_all(&settling.0, &settling.1, &queue))?;
        Ok(Self {
            table,
            vm,
            open,
            settle,
        })
    }

    /// Returns the number of claims without a recorded outcome.
    pub(super) fn unsettled(&self) -> usize {
        self.open.lock().len()
    }

    /// Claims the key of `request`; nothing runs unless the claim is held.
    pub(super) fn claim(
        &self,
        request: &RunRequest,
        key: &str,
        holder_alive: impl Fn(&VmId) -> bool,
    ) -> ClaimOutcome {
        let pk = format_compact!("request/{}/{}", request.workspace, request.service);
        let key = ItemKey::new(pk, key);
        let mut condition = Condition::Absent;
        for _ in 0..CLAIM_ROUNDS_MAX {
            let claim = Claim {
                key: key.clone(),
                entry: LedgerEntry::claimed(
                    ClaimId::from_random(rand::random()),
                    self.vm.clone(),
                    request.fingerprint,
                ),
            };
            self.open.lock().insert(claim.entry.claim.clone());
            let stored = match self.write_claim(&claim, condition) {
                Ok(()) => return ClaimOutcome::Held(claim),
                Err(Unclaimed::Other(stored)) => *stored,
                Err(Unclaimed::Refused(problem)) => {
                    self.open.forget(&claim.entry.claim);
                    return ClaimOutcome::Refused(problem);
                }
                Err(Unclaimed::NeverRun(problem)) => {
                    self.queue(Settle::Release(claim));
                    return ClaimOutcome::Refused(problem);
                }
            };
            self.open.forget(&claim.entry.claim);
            let own = stored.vm == self.vm;
            let alive = if own {
                self.open.lock().contains(&stored.claim)
            } else {
                holder_alive(&stored.vm)
            };
            condition = match resolve_existing_key(&stored, request.fingerprint, alive) {
                ExistingKeyOutcome::Reclaim { tag } => Condition::Equals(
                    CompactString::const_new("tag"),
                    Value::Text(tag.to_string()),
                ),
                other => return answer_second(other),
            };
        }
        ClaimOutcome::Refused(in_progress())
    }

    fn write_claim(&self, claim: &Claim, condition: Condition) -> Result<(), Unclaimed> {
        let token = claim.entry.claim.as_str();
        let written = put(&self.table, claim, &claim.entry, condition, token);
        let Err(error) = written else {
            return Ok(());
        };
        match error.kind {
            PlatformErrorKind::ConditionFailed(_) => match read(&self.table, &claim.key) {
                Ok(Some(stored)) => Err(Unclaimed::Other(Box::new(stored))),
                // The entry went away between the write and the read.
                Ok(None) => Err(Unclaimed::Refused(in_progress())),
                Err(error) => Err(Unclaimed::Refused(unavailable(&error))),
            },
            _ if error.had_no_effect() => Err(Unclaimed::Refused(unavailable(&error))),
            _ => self.read_back(claim, &error),
        }
    }

    fn read_back(&self, claim: &Claim, error: &PlatformError) -> Result<(), Unclaimed> {
        let Ok(stored) = read(&self.table, &claim.key) else {
            return Err(Unclaimed::NeverRun(unavailable(error)));
        };
        match (
            resolve_read_back(stored.as_ref(), &claim.entry.claim),
            stored,
        ) {
            (ReadBackOutcome::Run, _) => Ok(()),
            (ReadBackOutcome::HeldByOther, Some(stored)) => Err(Unclaimed::Other(Box::new(stored))),
            _ => Err(Unclaimed::NeverRun(unavailable(error))),
        }
    }

    /// Records the response; in the background when the table does not answer.
    pub(super) fn done(&self, claim: Claim, response: StoredResponse) {
        for _ in 0..DONE_ATTEMPTS {
            if settle_done(&self.table, &claim, &response) {
                self.open.forget(&claim.entry.claim);
                return;
            }
        }
        self.queue(Settle::Done(claim, response));
    }

    /// Gives the claim up: the request was not run and never will be under it.
    pub(super) fn release(&self, claim: Claim) {
        if settle_release(&self.table, &claim) {
            self.open.forget(&claim.entry.claim);
            return;
        }
        self.queue(Settle::Release(claim));
    }

    fn queue(&self, settle: Settle) {
        if self.settle.send(settle).is_err() {
            log::error!("the thread that settles claims has ended");
        }
    }
}

impl Open {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashSet<ClaimId>> {
        self.claims.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn forget(&self, claim: &ClaimId) {
        self.lock().remove(claim);
    }
}

enum Unclaimed {
    /// Another attempt made the stored entry.
    Other(Box<LedgerEntry>),
    /// The claim had no effect.
    Refused(Problem),
    /// The claim may still take effect; it must be released.
    NeverRun(Problem),
}

fn unavailable(error: &PlatformError) -> Problem {
    Problem::not_run(
        ProblemKind::TableUnavailable,
        format_compact!("the key could not be claimed ({error}); send the request again later"),
    )
    .with_retry_after_s(RETRY_AFTER_S)
}

fn in_progress() -> Problem {
    Problem::unknown(
        ProblemKind::RequestInProgress,
        "an earlier attempt with this key has not ended; ask again for its answer",
    )
    .with_retry_after_s(1)
}

fn answer_second(second: ExistingKeyOutcome) -> ClaimOutcome {
    match second {
        ExistingKeyOutcome::Replay(response) => ClaimOutcome::Answer(response),
        ExistingKeyOutcome::KeyReused => ClaimOutcome::Refused(Problem::not_run(
            ProblemKind::KeyReused,
            "use a fresh Idempotency-Key for each request",
        )),
        ExistingKeyOutcome::InProgress | ExistingKeyOutcome::Reclaim { .. } => {
            ClaimOutcome::Refused(in_progress())
        }
        ExistingKeyOutcome::OutcomeUnknown => ClaimOutcome::Refused(Problem::unknown(
            ProblemKind::OutcomeUnknown,
            "the VM that claimed this key died before it recorded an outcome; check by hand",
        )),
        ExistingKeyOutcome::ResponseNotStored => ClaimOutcome::Refused(Problem::unknown(
            ProblemKind::OutcomeUnknown,
            "the request ran and its answer was too large to keep",
        )),
    }
}

fn put(
    table: &TableClient,
    claim: &Claim,
    entry: &LedgerEntry,
    condition: Condition,
    token: &str,
) -> Result<(), PlatformError> {
    let mut item = Item::new(claim.key.clone());
    for (name, value) in entry.to_attributes() {
        item = item.with_text(name, value);
    }
    table.transact(&[Write::Put { item, condition }], token)
}

fn read(table: &TableClient, key: &ItemKey) -> Result<Option<LedgerEntry>, PlatformError> {
    let Some(item) = table.get(key)? else {
        return Ok(None);
    };
    let entry = LedgerEntry::from_attributes(|name| item.text(name));
    entry.map(Some).ok_or_else(|| PlatformError {
        kind: PlatformErrorKind::Malformed,
        call: "request key",
        message: "the stored entry cannot be read".to_owned(),
    })
}

fn tag_is(tag: &str) -> Condition {
    Condition::Equals(CompactString::const_new("tag"), Value::Text(tag.to_owned()))
}

/// Returns true once the outcome is recorded or cannot be any more.
fn settle_done(table: &TableClient, claim: &Claim, response: &StoredResponse) -> bool {
    let done = claim.entry.done(response.clone());
    let token = format!("{}-d", claim.entry.claim);
    let condition = tag_is(&claim.entry.tag());
    match put(table, claim, &done, condition, &token) {
        Ok(()) => true,
        // A lost response and a repeated write end here: the entry is `done` already.
        Err(error) => matches!(error.kind, PlatformErrorKind::ConditionFailed(_)),
    }
}

/// Returns true once the claim is released or cannot take effect any more.
fn settle_release(table: &TableClient, claim: &Claim) -> bool {
    let Ok(stored) = read(table, &claim.key) else {
        return false;
    };
    let condition = match release_step(stored.as_ref(), &claim.entry.claim) {
        ReleaseStep::Settled => return true,
        ReleaseStep::PutIfAbsent => Condition::Absent,
        ReleaseStep::PutIfTag(tag) => tag_is(&tag),
    };
    let released = claim.entry.released(ClaimId::from_random(rand::random()));
    put(table, claim, &released, condition, released.claim.as_str()).is_ok()
}

fn settle_all(table: &TableClient, open: &Open, queue: &Receiver<Settle>) {
    let mut waiting: Vec<(Settle, u32)> = Vec::new();
    loop {
        if waiting.is_empty() {
            let Ok(settle) = queue.recv() else {
                return;
            };
            waiting.push((settle, 0));
        }
        waiting.extend(queue.try_iter().map(|settle| (settle, 0)));
        waiting.retain_mut(|(settle, attempts)| {
            *attempts += 1;
            let (claim, settled) = match settle {
                Settle::Done(claim, response) => (&*claim, settle_done(table, claim, response)),
                Settle::Release(claim) => (&*claim, settle_release(table, claim)),
            };
            if settled || *attempts >= SETTLE_ATTEMPTS_MAX {
                open.forget(&claim.entry.claim);
                return false;
            }
            true
        });
        if !waiting.is_empty() {
            thread::sleep(SETTLE_INTERVAL);
        }
    }
}
