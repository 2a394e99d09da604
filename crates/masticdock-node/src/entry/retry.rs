//! Decides whether a request can be sent to another upstream at the moment.

use masticdock_core::ids::UpstreamId;
use masticdock_core::serving::{AttemptHistory, check_retry};

use super::candidates::ChosenUpstream;
use super::request::{Call, attempts_max, choose_for_call};
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

/// Plans another attempt after those in `history`, at an upstream other than `excluded`.
pub(super) fn plan_retry(
    entry: &Entry,
    call: &Call,
    history: &AttemptHistory,
    excluded: &[UpstreamId],
) -> RetryPlan {
    let attempts_max = attempts_max(entry, call);
    let checked = check_retry(call.route.kind, attempts_max, history, call.time_left_ms());
    if let Err(denial) = checked {
        return RetryPlan::Never(denial.as_str());
    }
    let Ok(chosen) = choose_for_call(entry, call, excluded) else {
        let catalog = entry.catalog.borrow();
        let mut serving = catalog.directory.serving(&call.service);
        if serving.any(|upstream| !excluded.contains(&upstream.id)) {
            return RetryPlan::Later("no_place");
        }
        return RetryPlan::Never("no_other_upstream");
    };
    let spent = history.sent == 0
        || entry.with_retry_budget(&call.service, |budget| budget.try_spend(clock::now()));
    if !spent {
        return RetryPlan::Later("no_budget");
    }
    RetryPlan::Send(Box::new(chosen))
}
