//! Attempts of one request that run beside each other while upstreams are silent.
//!
//! A silent upstream may be sound and go on, so its attempt is kept while the request is
//! sent to another one. The first response ends all other attempts.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

use masticdock_core::ids::UpstreamId;
use masticdock_core::serving::{AttemptHistory, AttemptOutcome};
use tokio::sync::Notify;

use super::attempt::{AttemptResult, run_attempt};
use super::candidates::ChosenUpstream;
use super::pool::AttemptConnection;
use super::request::{Call, FailedAttempts};
use super::retry::PreparedAttempt;
use super::state::Entry;

/// Failed attempts of a request, shared by those that run.
pub(crate) type SharedFailures = Rc<RefCell<FailedAttempts>>;

/// Counts an attempt among the failed ones of its request, at the latest when it is dropped.
#[derive(Debug)]
pub(crate) struct AttemptRecord {
    failures: SharedFailures,
    upstream: UpstreamId,
    is_recorded: Cell<bool>,
}

impl AttemptRecord {
    fn new(failures: &SharedFailures, upstream: &UpstreamId) -> Self {
        Self {
            failures: Rc::clone(failures),
            upstream: upstream.clone(),
            is_recorded: Cell::new(false),
        }
    }

    /// Counts the attempt as failed, unless it counts already.
    pub(crate) fn fail(&self, failure: AttemptOutcome) {
        if !self.is_recorded.replace(true) {
            self.failures.borrow_mut().record(&self.upstream, failure);
        }
    }

    /// Takes the attempt for the one whose response is passed on. Returns true if it counts
    /// as failed all the same, because it was silent.
    pub(crate) fn accept(&self) -> bool {
        self.is_recorded.replace(true)
    }
}

impl Drop for AttemptRecord {
    fn drop(&mut self) {
        self.fail(AttemptOutcome::Discarded);
    }
}

/// An attempt that ended, with its upstream.
#[derive(Debug)]
pub(crate) struct EndedAttempt {
    pub(crate) chosen: ChosenUpstream,
    pub(crate) result: AttemptResult,
    pub(crate) record: Rc<AttemptRecord>,
}

/// Attempts that run beside each other.
#[derive(Debug, Default)]
struct AttemptRace {
    /// Number of attempts that were started.
    started: Cell<usize>,
    /// The attempt that may prepare another one: the newest that runs.
    newest: Cell<usize>,
    prepared: RefCell<Option<Box<PreparedAttempt>>>,
    handed_over: Notify,
}

/// What an attempt needs in order to have the request sent to another upstream as well.
#[derive(Debug)]
pub(crate) struct RaceMember {
    race: Rc<AttemptRace>,
    number: usize,
    record: Rc<AttemptRecord>,
    /// Attempts that had failed when this one started.
    pub(super) history: AttemptHistory,
}

impl RaceMember {
    /// Returns whether this attempt may prepare another one.
    pub(super) fn may_prepare(&self) -> bool {
        self.race.newest.get() == self.number && self.race.prepared.borrow().is_none()
    }

    /// Returns the failed attempts, this one among them because it is silent.
    pub(super) fn failures_with_own(&self) -> FailedAttempts {
        let failures = self.record.failures.borrow();
        if self.record.is_recorded.get() {
            return failures.clone();
        }
        failures.with_silent(&self.record.upstream)
    }

    /// Has a prepared attempt run beside this one.
    pub(super) fn hand_over(&self, prepared: Box<PreparedAttempt>) {
        self.record.fail(AttemptOutcome::Silent);
        *self.race.prepared.borrow_mut() = Some(prepared);
        self.race.handed_over.notify_one();
    }
}

struct RunningAttempt<'a> {
    number: usize,
    chosen: ChosenUpstream,
    record: Rc<AttemptRecord>,
    future: Pin<Box<dyn Future<Output = AttemptResult> + 'a>>,
}

/// Sends a request to the chosen upstream and, while that is silent, to others. Returns the
/// first response, or the last failure; all other attempts are counted as failed and closed.
pub(crate) async fn run_attempts(
    entry: &Rc<Entry>,
    call: &Call,
    chosen: ChosenUpstream,
    failures: &SharedFailures,
    last_event_id: Option<u64>,
) -> EndedAttempt {
    let race = Rc::new(AttemptRace::default());
    let start = |chosen: ChosenUpstream, connection: Option<AttemptConnection>| {
        let number = race.started.get() + 1;
        race.started.set(number);
        race.newest.set(number);
        let record = Rc::new(AttemptRecord::new(failures, &chosen.upstream.id));
        let member = RaceMember {
            race: Rc::clone(&race),
            number,
            record: Rc::clone(&record),
            history: failures.borrow().history,
        };
        let sent_to = chosen.clone();
        let future = Box::pin(async move {
            run_attempt(entry, call, &sent_to, connection, &member, last_event_id).await
        });
        RunningAttempt {
            number,
            chosen,
            record,
            future,
        }
    };
    let mut running = vec![start(chosen, None)];
    loop {
        let (index, result) = tokio::select! {
            biased;
            ended = next_end(&mut running) => ended,
            () = race.handed_over.notified() => {
                let prepared = race.prepared.borrow_mut().take();
                if let Some(prepared) = prepared {
                    let PreparedAttempt { chosen, connection } = *prepared;
                    running.push(start(chosen, Some(connection)));
                }
                continue;
            }
        };
        let ended = running.remove(index);
        // An error response of an upstream is passed on; other failures wait for the rest.
        if let AttemptResult::Failed(failure, None) = &result
            && let Some(newest) = running.last()
        {
            ended.record.fail(*failure);
            race.newest.set(newest.number);
            continue;
        }
        if let AttemptResult::Failed(failure, _) = &result {
            ended.record.fail(*failure);
        }
        return EndedAttempt {
            chosen: ended.chosen,
            result,
            record: ended.record,
        };
    }
}

/// Waits until one of the attempts ends; returns its position.
async fn next_end(running: &mut [RunningAttempt<'_>]) -> (usize, AttemptResult) {
    poll_fn(|context| {
        for (index, attempt) in running.iter_mut().enumerate() {
            if let Poll::Ready(result) = attempt.future.as_mut().poll(context) {
                return Poll::Ready((index, result));
            }
        }
        Poll::Pending
    })
    .await
}
