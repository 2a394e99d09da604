//! Decides whether a request can be sent to another upstream at the moment.

use masticdock_core::ids::UpstreamId;
use masticdock_core::serving::{AttemptHistory, check_retry};

use super::candidates::ChosenUpstream;
use super::cold_start;
use super::eligibility;
use super::pool::{AttemptConnection, acquire_connection};
use super::request::{Call, FailedAttempts, attempts_max, choose_for_call};
use super::state::Entry;
use crate::clock;

/// Whether a request can be sent to another upstream; texts are logged as the reason.
#[derive(Debug)]
pub(super) enum RetryPlan {
    /// It can be sent now; the retry budget is spent.
    Send(Box<ChosenUpstream>),
    /// It may be possible later.
    Later(&'static str),
    /// It will not be possible.
    Never(&'static str),
}

/// Attempt that can be sent at once.
#[derive(Debug)]
pub(crate) struct PreparedAttempt {
    pub(super) chosen: ChosenUpstream,
    pub(super) connection: AttemptConnection,
}

/// Plans another attempt after failed ones, at another upstream.
pub(super) fn plan_retry(entry: &Entry, call: &Call, failures: &FailedAttempts) -> RetryPlan {
    let plan = choose_retry(entry, call, failures);
    if matches!(plan, RetryPlan::Send(_)) && !spend_budget(entry, call, &failures.history) {
        return RetryPlan::Later("no_budget");
    }
    plan
}

/// Plans another attempt like [`plan_retry`] and connects to its upstream. The retry budget is
/// spent only once the connection is open.
///
/// # Errors
///
/// Returns the reason why the request cannot be sent to another upstream at the moment.
pub(super) async fn prepare_retry(
    entry: &Entry,
    call: &Call,
    failures: &FailedAttempts,
) -> Result<Box<PreparedAttempt>, &'static str> {
    let history = &failures.history;
    let chosen = match choose_retry(entry, call, failures) {
        RetryPlan::Send(chosen) => *chosen,
        RetryPlan::Later(reason) | RetryPlan::Never(reason) => return Err(reason),
    };
    let Some(connection) = acquire_connection(entry, call, &chosen, history).await else {
        return Err("unreachable");
    };
    let window = chosen.begin_window;
    if window.is_some_and(|window| !window.may_send(clock::now())) {
        return Err("no_place");
    }
    if !eligibility::may_send(entry, call, &chosen.upstream) {
        return Err("ineligible");
    }
    if cold_start::blocked_until(entry, &chosen.upstream, clock::now()).is_some() {
        return Err("no_place");
    }
    if !spend_budget(entry, call, history) {
        return Err("no_budget");
    }
    Ok(Box::new(PreparedAttempt { chosen, connection }))
}

/// Plans another attempt without spending the retry budget.
fn choose_retry(entry: &Entry, call: &Call, failures: &FailedAttempts) -> RetryPlan {
    let history = &failures.history;
    let attempts_max = attempts_max(entry, call);
    let excluded = &excluded_upstreams(entry, call, failures, attempts_max);
    let checked = check_retry(call.route.kind, attempts_max, history, call.time_left_ms());
    if let Err(denial) = checked {
        return RetryPlan::Never(denial.as_str());
    }
    let Ok(chosen) = choose_for_call(entry, call, excluded) else {
        if eligibility::has_upstream(entry, call, excluded) {
            return RetryPlan::Later("no_place");
        }
        return RetryPlan::Never("no_other_upstream");
    };
    let affordable = history.sent == 0
        || entry.with_retry_budget(&call.service, |budget| budget.has_left(clock::now()));
    if !affordable {
        return RetryPlan::Later("no_budget");
    }
    RetryPlan::Send(Box::new(chosen))
}

/// Returns the upstreams that a retry must not be sent to. Once as many were asked as the
/// route allows, only those remain that rejected the rest of a stream.
fn excluded_upstreams(
    entry: &Entry,
    call: &Call,
    failures: &FailedAttempts,
    attempts_max: u32,
) -> Vec<UpstreamId> {
    let mut excluded = failures.upstreams.clone();
    if failures.history.sent < attempts_max {
        return excluded;
    }
    let catalog = entry.catalog.borrow();
    for upstream in catalog.directory.serving(&call.service, clock::now()) {
        if !failures.rejecting.contains(&upstream.id) {
            excluded.push(upstream.id.clone());
        }
    }
    excluded
}

fn spend_budget(entry: &Entry, call: &Call, history: &AttemptHistory) -> bool {
    // The first send after failed connections is not a retry.
    history.sent == 0
        || entry.with_retry_budget(&call.service, |budget| budget.try_spend(clock::now()))
}
