//! Verdict from the ledgers of the stand-ins.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use masticdock_standins::{LedgerEntry, Outcome};

use super::Report;
use super::caller::{Attempt, Board, Done, Told};
use super::setup::{ENGINES, PLAINS, engine_vm, plain_vm};
use crate::fleet::Fleet;

/// Time until the last runs have ended.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Counts of the verdict.
#[derive(Debug, Default)]
pub(super) struct Verdict {
    requests: usize,
    complete: usize,
    not_run: usize,
    unknown: usize,
    lost: usize,
    cut: usize,
    wrong_answer: usize,
    ran_twice: usize,
    not_run_but_ran: usize,
}

impl Verdict {
    pub(super) const fn fill(&self, report: &mut Report) {
        report.requests = self.requests;
        report.complete = self.complete;
        report.not_run = self.not_run;
        report.unknown = self.unknown;
        report.lost = self.lost;
        report.cut = self.cut;
        report.wrong_answer = self.wrong_answer;
        report.ran_twice = self.ran_twice;
        report.not_run_but_ran = self.not_run_but_ran;
    }
}

/// Names of the stand-ins that keep a ledger.
pub(super) fn ledger_names() -> Vec<String> {
    let engines = (0..ENGINES).map(|index| format!("engine-{}", engine_vm(index)));
    let plains = (0..PLAINS).map(|index| format!("plain-{}", plain_vm(index)));
    engines.chain(plains).collect()
}

/// Reads all ledgers; an engine that restarts is waited for.
pub(super) fn ledgers(fleet: &Fleet) -> anyhow::Result<Vec<LedgerEntry>> {
    let mut entries = Vec::new();
    for name in ledger_names() {
        let mut page = fleet.ledger(&name);
        for _ in 0..100 {
            if page.is_ok() {
                break;
            }
            std::thread::sleep(Duration::from_millis(50));
            page = fleet.ledger(&name);
        }
        entries.extend(page?.entries);
    }
    Ok(entries)
}

/// Waits until no run is in progress.
pub(super) fn settle(fleet: &mut Fleet) {
    let ended = fleet.wait_until("all runs have ended", SETTLE_TIMEOUT, |fleet| {
        let entries = ledgers(fleet).unwrap_or_default();
        !entries.is_empty() && entries.iter().all(|run| run.outcome != Outcome::Running)
    });
    if let Err(error) = ended {
        log::warn!("{error}");
    }
}

/// Returns the number of keys that ran more than once.
pub(super) fn count_twice(entries: &[LedgerEntry], run: &str) -> usize {
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    let prefix = format!("{run}-order-");
    for entry in entries {
        if entry.key.starts_with(&prefix) {
            *runs.entry(&entry.key).or_default() += 1;
        }
    }
    for (key, count) in runs.iter().filter(|(_, count)| **count > 1) {
        log::info!("key {key} ran {count} times");
    }
    runs.values().filter(|count| **count > 1).count()
}

/// Judges the callers' reports by the ledgers.
pub(super) fn judge(fleet: &Fleet, board: &Board, done: &[Done]) -> anyhow::Result<Verdict> {
    let entries = ledgers(fleet)?;
    let ran: BTreeSet<&str> = entries.iter().map(|run| run.request_id.as_str()).collect();
    let mut verdict = Verdict {
        requests: done.len(),
        ran_twice: count_twice(&entries, "mixed"),
        ..Verdict::default()
    };
    for one in done {
        for attempt in &one.attempts {
            judge_attempt(&mut verdict, board, &ran, attempt);
        }
        let Some(last) = one.attempts.last() else {
            verdict.lost += 1;
            continue;
        };
        match &last.told {
            Told::Complete(_) => verdict.complete += 1,
            Told::Failed(_, state) if state == "unknown" => verdict.unknown += 1,
            // An earlier attempt with this key may have run.
            Told::Failed(..) if one.attempts.iter().any(|attempt| !attempt.says_not_run()) => {
                verdict.unknown += 1;
            }
            Told::Failed(..) => verdict.not_run += 1,
            Told::NoConnection | Told::Broken(_) => {
                log::info!("lost: {one:?}");
                verdict.lost += 1;
            }
        }
        if let Told::Failed(kind, state) = &last.told {
            let number = one.request.number;
            log::info!(
                "request {number} ended as {kind} ({state}), key {:?}",
                one.key
            );
        }
    }
    Ok(verdict)
}

fn judge_attempt(verdict: &mut Verdict, board: &Board, ran: &BTreeSet<&str>, attempt: &Attempt) {
    match &attempt.told {
        Told::Complete(false) => {
            log::info!("wrong answer: {attempt:?}");
            verdict.wrong_answer += 1;
        }
        // Only the death of the entry itself excuses a connection that breaks.
        Told::Broken(_) if !board.was_killed(attempt.entry, attempt.begin, attempt.end) => {
            log::info!("cut: {attempt:?}");
            verdict.cut += 1;
        }
        _ if attempt.says_not_run() && ran.contains(attempt.request_id.as_str()) => {
            log::info!("called not run but ran: {attempt:?}");
            verdict.not_run_but_ran += 1;
        }
        _ => {}
    }
}
