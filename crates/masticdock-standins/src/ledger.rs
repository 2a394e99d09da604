//! Record of the runs of requests at an upstream.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use crate::http::Call;

/// Outcome of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The run is in progress.
    Running,
    /// The response was generated in full.
    Complete,
    /// The caller disconnected.
    Cancelled,
    /// The engine crashed.
    Crashed,
    /// A load order cancelled the run.
    CutByLoad,
}

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Value of `X-Masticdock-Request-Id`, or of `X-Request-Id` if that is absent.
    pub request_id: String,
    /// Value of `user` in the JSON body, by which tests find their requests.
    pub user: String,
    /// Value of `Idempotency-Key`.
    pub key: String,
    /// Path of the request.
    pub path: String,
    /// Number of runs of this request id that were started at the upstream, this one
    /// included.
    pub count: u32,
    /// Outcome of the run.
    pub outcome: Outcome,
    /// Version that ran the request; empty for plain services.
    pub version: String,
    /// Index of the first generated token.
    pub resume_from: u32,
    /// Number of generated tokens.
    pub tokens: u32,
}

/// Response to `GET /ledger`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerPage {
    /// Runs in the order in which they started.
    pub entries: Vec<LedgerEntry>,
}

#[derive(Debug, Default)]
struct Inner {
    entries: Vec<LedgerEntry>,
    counts: BTreeMap<String, u32>,
}

/// Runs of one upstream; preserved across crashes of the engine.
#[derive(Debug, Default)]
pub(crate) struct Ledger(Mutex<Inner>);

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of a run; returns its index and its count for the request id.
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

    /// Records the outcome of a run.
    pub(crate) fn end(&self, index: usize, outcome: Outcome, tokens: u32) {
        let mut inner = self.lock();
        let entry = &mut inner.entries[index];
        entry.outcome = outcome;
        entry.tokens = tokens;
    }

    pub(crate) fn page(&self) -> LedgerPage {
        LedgerPage {
            entries: self.lock().entries.clone(),
        }
    }
}
