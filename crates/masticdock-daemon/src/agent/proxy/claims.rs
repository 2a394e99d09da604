//! Claims of request keys in the table.
//!
//! An agent claims the key of a non-idempotent request before it runs the request
//! and records the outcome afterwards. A claim is settled once its outcome is
//! recorded or it is released.

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

/// Time between two attempts to settle a claim in the background.
const SETTLE_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of attempts to settle a claim in the background before it is
/// abandoned; covers a table outage of one hour.
const SETTLE_ATTEMPTS_MAX: u32 = 7_200;

/// Number of attempts to record an outcome before the response is sent and the
/// outcome is recorded in the background.
const OUTCOME_WRITE_ATTEMPTS_MAX: u32 = 3;

/// Time after which a caller may retry a request that was rejected because the table
/// was unavailable, in seconds.
const RETRY_AFTER_S: u64 = 5;

/// Maximum number of attempts to claim a key. Each attempt after the first replaces
/// an entry that was released.
const CLAIM_ATTEMPTS_MAX: u32 = 3;

/// Claim of a request key, with the entry that this agent writes for it.
pub(super) struct Claim {
    key: ItemKey,
    entry: LedgerEntry,
}

/// Outcome of an attempt to claim a request key.
pub(super) enum ClaimOutcome {
    /// The key is claimed, so the request may run.
    Held(Claim),
    /// An earlier attempt has ended with this recorded response.
    Recorded(StoredResponse),
    /// This attempt must not run the request.
    Rejected(Problem),
}

/// Write that settles a claim.
enum Settlement {
    /// Records the outcome of the request.
    Done(Claim, StoredResponse),
    /// Releases the claim of a request that was not run.
    Release(Claim),
}

/// Claims of this agent that are not settled.
#[derive(Default)]
struct OpenClaims {
    claims: Mutex<HashSet<ClaimId>>,
}

/// Claims request keys, and settles claims in the background while the table is
/// unavailable.
pub(super) struct Claims {
    table: TableClient,
    vm: VmId,
    open: Arc<OpenClaims>,
    settlements: Sender<Settlement>,
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
        let (settlements, queue) = unbounded();
        let open = Arc::<OpenClaims>::default();
        let settler_context = (table.clone(), Arc::clone(&open));
        thread::Builder::new()
            .name("claim-settler".to_owned())
            .spawn(move || run_settler(&settler_context.0, &settler_context.1, &queue))?;
        Ok(Self {
            table,
            vm,
            open,
            settlements,
        })
    }

    /// Returns the number of claims that are not settled.
    pub(super) fn unsettled(&self) -> usize {
        self.open.lock().len()
    }

    /// Claims the key of `request`, which may run only if the outcome is
    /// [`ClaimOutcome::Held`].
    ///
    /// `is_vm_alive` states whether a VM is a live member of the fleet.
    pub(super) fn claim(
        &self,
        request: &RunRequest,
        key: &str,
        is_vm_alive: impl Fn(&VmId) -> bool,
    ) -> ClaimOutcome {
        let pk = format_compact!("request/{}/{}", request.workspace, request.service);
        let key = ItemKey::new(pk, key);
        let mut condition = Condition::Absent;
        for _ in 0..CLAIM_ATTEMPTS_MAX {
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
                Err(ClaimFailure::ExistingEntry(stored)) => *stored,
                Err(ClaimFailure::Rejected(problem)) => {
                    self.open.close(&claim.entry.claim);
                    return ClaimOutcome::Rejected(problem);
                }
                Err(ClaimFailure::EffectUnknown(problem)) => {
                    self.enqueue(Settlement::Release(claim));
                    return ClaimOutcome::Rejected(problem);
                }
            };
            self.open.close(&claim.entry.claim);
            let held_by_this_vm = stored.vm == self.vm;
            let holder_alive = if held_by_this_vm {
                self.open.lock().contains(&stored.claim)
            } else {
                is_vm_alive(&stored.vm)
            };
            condition = match resolve_existing_key(&stored, request.fingerprint, holder_alive) {
                ExistingKeyOutcome::Reclaim { tag } => Condition::Equals(
                    CompactString::const_new("tag"),
                    Value::Text(tag.to_string()),
                ),
                resolved => return claim_outcome(resolved),
            };
        }
        ClaimOutcome::Rejected(request_in_progress())
    }

    fn write_claim(&self, claim: &Claim, condition: Condition) -> Result<(), ClaimFailure> {
        let token = claim.entry.claim.as_str();
        let result = put_entry(&self.table, claim, &claim.entry, condition, token);
        let Err(error) = result else {
            return Ok(());
        };
        match error.kind {
            PlatformErrorKind::ConditionFailed(_) => match read_entry(&self.table, &claim.key) {
                Ok(Some(stored)) => Err(ClaimFailure::ExistingEntry(Box::new(stored))),
                // The entry was deleted between the write and the read.
                Ok(None) => Err(ClaimFailure::Rejected(request_in_progress())),
                Err(error) => Err(ClaimFailure::Rejected(table_unavailable(&error))),
            },
            _ if error.had_no_effect() => Err(ClaimFailure::Rejected(table_unavailable(&error))),
            _ => self.read_back(claim, &error),
        }
    }

    /// Reads the entry back to find out whether a claim whose response was lost took
    /// effect.
    fn read_back(&self, claim: &Claim, error: &PlatformError) -> Result<(), ClaimFailure> {
        let Ok(stored) = read_entry(&self.table, &claim.key) else {
            return Err(ClaimFailure::EffectUnknown(table_unavailable(error)));
        };
        match (
            resolve_read_back(stored.as_ref(), &claim.entry.claim),
            stored,
        ) {
            (ReadBackOutcome::Run, _) => Ok(()),
            (ReadBackOutcome::HeldByOther, Some(stored)) => {
                Err(ClaimFailure::ExistingEntry(Box::new(stored)))
            }
            _ => Err(ClaimFailure::EffectUnknown(table_unavailable(error))),
        }
    }

    /// Records the response; in the background if the table does not answer.
    pub(super) fn record_outcome(&self, claim: Claim, response: StoredResponse) {
        for _ in 0..OUTCOME_WRITE_ATTEMPTS_MAX {
            if try_record_outcome(&self.table, &claim, &response) {
                self.open.close(&claim.entry.claim);
                return;
            }
        }
        self.enqueue(Settlement::Done(claim, response));
    }

    /// Releases the claim of a request that was not run and will not run under it.
    pub(super) fn release(&self, claim: Claim) {
        if try_release(&self.table, &claim) {
            self.open.close(&claim.entry.claim);
            return;
        }
        self.enqueue(Settlement::Release(claim));
    }

    fn enqueue(&self, settlement: Settlement) {
        if self.settlements.send(settlement).is_err() {
            log::error!("cannot settle a claim in the background: the settler thread has ended");
        }
    }
}

impl OpenClaims {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashSet<ClaimId>> {
        self.claims.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close(&self, claim: &ClaimId) {
        self.lock().remove(claim);
    }
}

/// Reason why a claim is not held.
enum ClaimFailure {
    /// The key already has an entry of another attempt.
    ExistingEntry(Box<LedgerEntry>),
    /// The claim did not take effect.
    Rejected(Problem),
    /// The claim may still take effect and has to be released.
    EffectUnknown(Problem),
}

fn table_unavailable(error: &PlatformError) -> Problem {
    Problem::not_run(
        ProblemKind::TableUnavailable,
        format_compact!("the key could not be claimed ({error}); send the request again later"),
    )
    .with_retry_after_s(RETRY_AFTER_S)
}

fn request_in_progress() -> Problem {
    Problem::unknown(
        ProblemKind::RequestInProgress,
        "an earlier attempt with this key has not ended; ask again for its answer",
    )
    .with_retry_after_s(1)
}

/// Returns the outcome of a claim whose key already has an entry.
fn claim_outcome(existing: ExistingKeyOutcome) -> ClaimOutcome {
    match existing {
        ExistingKeyOutcome::Replay(response) => ClaimOutcome::Recorded(response),
        ExistingKeyOutcome::KeyReused => ClaimOutcome::Rejected(Problem::not_run(
            ProblemKind::KeyReused,
            "use a fresh Idempotency-Key for each request",
        )),
        ExistingKeyOutcome::InProgress | ExistingKeyOutcome::Reclaim { .. } => {
            ClaimOutcome::Rejected(request_in_progress())
        }
        ExistingKeyOutcome::OutcomeUnknown => ClaimOutcome::Rejected(Problem::unknown(
            ProblemKind::OutcomeUnknown,
            "the VM that claimed this key died before it recorded an outcome; check by hand",
        )),
        ExistingKeyOutcome::ResponseNotStored => ClaimOutcome::Rejected(Problem::unknown(
            ProblemKind::OutcomeUnknown,
            "the request ran and its answer was too large to keep",
        )),
    }
}

fn put_entry(
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

fn read_entry(table: &TableClient, key: &ItemKey) -> Result<Option<LedgerEntry>, PlatformError> {
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

/// Returns true if the outcome is recorded or can no longer be recorded.
fn try_record_outcome(table: &TableClient, claim: &Claim, response: &StoredResponse) -> bool {
    let done = claim.entry.done(response.clone());
    let token = format!("{}-d", claim.entry.claim);
    let condition = tag_is(&claim.entry.tag());
    match put_entry(table, claim, &done, condition, &token) {
        Ok(()) => true,
        // The condition fails if an earlier write of the outcome succeeded but its
        // response was lost: the entry is `done` already.
        Err(error) => matches!(error.kind, PlatformErrorKind::ConditionFailed(_)),
    }
}

/// Returns true if the claim is released or can no longer take effect.
fn try_release(table: &TableClient, claim: &Claim) -> bool {
    let Ok(stored) = read_entry(table, &claim.key) else {
        return false;
    };
    let condition = match release_step(stored.as_ref(), &claim.entry.claim) {
        ReleaseStep::Settled => return true,
        ReleaseStep::PutIfAbsent => Condition::Absent,
        ReleaseStep::PutIfTag(tag) => tag_is(&tag),
    };
    let released = claim.entry.released(ClaimId::from_random(rand::random()));
    put_entry(table, claim, &released, condition, released.claim.as_str()).is_ok()
}

/// Settles queued claims until the sender of the queue is dropped.
fn run_settler(table: &TableClient, open: &OpenClaims, queue: &Receiver<Settlement>) {
    let mut waiting: Vec<(Settlement, u32)> = Vec::new();
    loop {
        if waiting.is_empty() {
            let Ok(settlement) = queue.recv() else {
                return;
            };
            waiting.push((settlement, 0));
        }
        waiting.extend(queue.try_iter().map(|settlement| (settlement, 0)));
        waiting.retain_mut(|(settlement, attempts)| {
            *attempts += 1;
            let (claim, settled) = match settlement {
                Settlement::Done(claim, response) => {
                    (&*claim, try_record_outcome(table, claim, response))
                }
                Settlement::Release(claim) => (&*claim, try_release(table, claim)),
            };
            if settled || *attempts >= SETTLE_ATTEMPTS_MAX {
                open.close(&claim.entry.claim);
                return false;
            }
            true
        });
        if !waiting.is_empty() {
            thread::sleep(SETTLE_INTERVAL);
        }
    }
}
