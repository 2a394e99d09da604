//! Record of the requests that an upstream ran.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use crate::http::Call;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It has not ended.
    Running,
    /// The whole answer was made.
    Complete,
    /// The caller went away.
    Cancelled,
    /// The engine crashed.
    Crashed,
    /// The engine began to load another version.
    CutByLoad,
}

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Value of `X-Masticdock-Request-Id` or else of `X-Request-Id`.
    pub request_id: String,
    /// Value of `user` in the JSON body, by which tests find their requests.
    pub user: String,
    /// Value of `Idempotency-Key`.
    pub key: String,
    /// Path of the call.
    pub path: String,
    /// How many runs of this request id the upstream has begun, this one included.
    pub count: u32,
    /// How the run ended.
    pub outcome: Outcome,
    /// Version that ran it, empty for plain services.
    pub version: String,
    /// Index of the first token.
    pub resume_from: u32,
    /// Tokens made.
    pub tokens: u32,
}

/// Answer of `GET /ledger`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerPage {
    /// The runs in the order in which they began.
    pub entries: Vec<LedgerEntry>,
}

#[derive(Debug, Default)]
struct Inner {
    entries: Vec<LedgerEntry>,
    counts: BTreeMap<String, u32>,
}

/// Runs of one upstream; kept over crashes of the engine.
#[derive(Debug, Default)]
pub(crate) struct Ledger(Mutex<Inner>);

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a run begins; returns its position and count.
    pub(crate) fn begin(
        &self,
        call: &Call,
        user: String,
        version: &str,
        resume_from: u32,
    ) -> (usize, u32) {
        let request_id = call
            .header("X-Masticdock-Request-Id")
            .or_else(|| call.header("X-Request-Id"))
            .unwrap_or_default();
        let key = call.header("Idempotency-Key").unwrap_or_default();
        let mut inner = self.lock();
        let count = inner.counts.entry(request_id.clone()).or_default();
        *count += 1;
        let count = *count;
        inner.entries.push(LedgerEntry {
            request_id,
            user,
            key,
            path: call.path.clone(),
            count,
            outcome: Outcome::Running,
            version: version.to_owned(),
            resume_from,
            tokens: 0,
        });
        (inner.entries.len() - 1, count)
    }

    /// Records how a run ended.
    pub(crate) fn end(&self, position: usize, outcome: Outcome, tokens: u32) {
        let mut inner = self.lock();
        let entry = &mut inner.entries[position];
        entry.outcome = outcome;
        entry.tokens = tokens;
    }

    pub(crate) fn page(&self) -> LedgerPage {
        LedgerPage {
            entries: self.lock().entries.clone(),
        }
    }
}
