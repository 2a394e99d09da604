//! Tests of the decision after an attempt, and of the retry budget.

use masticdock_core::serving::{
    AttemptHistory, AttemptOutcome, FinalResponse, NextStep, RequestKind, ResponseIdentity,
    WindowedRetryBudget, WindowedRetryBudgetSettings, connect_timeout_ms, next_step,
};
use masticdock_core::units::MonoMs;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const OUTCOMES: [AttemptOutcome; 6] = [
    AttemptOutcome::NotSent,
    AttemptOutcome::NotExecuted,
    AttemptOutcome::ServerError,
    AttemptOutcome::Broken,
    AttemptOutcome::Silent,
    AttemptOutcome::Discarded,
];

fn kinds() -> impl Strategy<Value = RequestKind> {
    prop::sample::select(vec![
        RequestKind::Idempotent,
        RequestKind::NonIdempotent,
        RequestKind::Stream { resumable: true },
        RequestKind::Stream { resumable: false },
    ])
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Returns a budget of a fifth of the requests and 5 more in 10 s.
fn new_budget() -> WindowedRetryBudget {
    WindowedRetryBudget::new(WindowedRetryBudgetSettings {
        ratio: 0.2,
        window_ms: 10_000,
        slack: 5,
        ..WindowedRetryBudgetSettings::default()
    })
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a request that runs twice, or is reported as not run although it may
    /// have run.
    #[test]
    fn a_request_is_retried_only_if_its_kind_and_the_outcome_permit(
        kind in kinds(),
        attempts_max in 1..4_u32,
        outcomes in prop::collection::vec(prop::sample::select(OUTCOMES.to_vec()), 1..8),
        response_started in any::<bool>(),
        remaining_ms in 0..3_000_u64,
        budget in 0..4_u32,
    ) {
        let mut history = AttemptHistory { response_started, ..AttemptHistory::default() };
        let mut budget = budget;
        let mut may_have_run = false;
        for outcome in outcomes {
            // A request that may have run and is not safe to retry must have ended before.
            prop_assert!(!may_have_run || kind.is_safe_to_retry());
            // Only rejections of the rest of a stream do not count, and no more than the route
            // allows attempts.
            let excused = if response_started { history.rejected.min(attempts_max) } else { 0 };
            prop_assert!(history.sent - excused < attempts_max);
            history.record(outcome);
            may_have_run |= outcome.may_have_run();
            let step = next_step(kind, attempts_max, &history, outcome, remaining_ms, || {
                let left = budget > 0;
                budget = budget.saturating_sub(1);
                left
            });
            let NextStep::End(response) = step else {
                prop_assert!(remaining_ms >= 100);
                continue;
            };
            if response == FinalResponse::NotRun {
                prop_assert!(!may_have_run && !response_started);
            }
            if response_started {
                prop_assert_eq!(response, FinalResponse::Aborted);
            }
            return Ok(());
        }
    }

    /// Guards against retry storms: in every window the retries stay within the ratio of
    /// the window's requests plus the slack.
    #[test]
    fn retries_of_every_window_stay_within_the_budget(
        steps in prop::collection::vec((0..400_u64, any::<bool>()), 1..300),
    ) {
        let mut budget = new_budget();
        let mut now = MonoMs(60_000);
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for (gap_ms, request) in steps {
            now = now.plus_ms(gap_ms);
            if request {
                budget.record_request(now);
                requests.push(now);
            } else if budget.try_spend(now) {
                retries.push(now);
                let within = |at: &&MonoMs| now.since_ms(**at) < 10_000;
                let spent = retries.iter().filter(within).count();
                // Requests of the window and of the bucket in which it starts.
                let counted = requests.iter().filter(|at| now.since_ms(**at) <= 10_500).count();
                // Both sides are multiplied by five: the ratio is a fifth and the slack 5.
                prop_assert!(spent * 5 <= counted + 25);
            }
        }
    }
}

proptest! {
    /// Guards against retries that are sent within the budget, but arrive together with those
    /// of the next window, because upstreams did not read them for a while.
    #[test]
    fn retries_that_arrive_late_stay_within_the_budget(
        steps in prop::collection::vec((0..400_u64, any::<bool>(), 0..10_000_u64, any::<bool>()), 1..300),
    ) {
        let mut budget = new_budget();
        let mut now = MonoMs(60_000);
        let mut requests = Vec::new();
        // Times at which each retry was sent and arrives.
        let mut retries: Vec<(MonoMs, MonoMs)> = Vec::new();
        let mut responses: Vec<MonoMs> = Vec::new();
        for (gap_ms, request, delay_ms, is_answered) in steps {
            now = now.plus_ms(gap_ms);
            responses.sort_unstable_by_key(|at| at.0);
            while responses.first().is_some_and(|at| *at <= now) {
                budget.record_response(responses.remove(0));
            }
            if request {
                budget.record_request(now);
                requests.push(now);
            } else if budget.try_spend(now) {
                let arrives_at = now.plus_ms(delay_ms);
                retries.push((now, arrives_at));
                if is_answered {
                    responses.push(arrives_at);
                }
            }
        }
        for (_, end) in &retries {
            let within = |at: MonoMs| at <= *end && end.since_ms(at) < 10_000;
            let arrived: Vec<_> = retries.iter().filter(|(_, at)| within(*at)).collect();
            let last_sent = arrived.iter().map(|(sent, _)| sent.0).max().unwrap_or(0);
            let counted = requests
                .iter()
                .filter(|at| at.0 <= last_sent && last_sent - at.0 <= 10_500)
                .count();
            prop_assert!(arrived.len() * 5 <= counted + 25);
        }
    }
}

/// Guards against a request that waits for a retry that is not permitted.
#[test]
fn a_final_error_of_the_upstream_is_forwarded() {
    let mut history = AttemptHistory::default();
    history.record(AttemptOutcome::ServerError);
    let step = next_step(
        RequestKind::NonIdempotent,
        3,
        &history,
        AttemptOutcome::ServerError,
        1_000,
        || true,
    );
    assert_eq!(step, NextStep::End(FinalResponse::Forwarded));
}

/// Guards against three connection attempts of 400 ms to VMs with squeezed links, after
/// which the objective of a request is missed whatever follows.
#[test]
fn the_first_slow_connection_leaves_time_for_another_upstream() {
    let mut history = AttemptHistory::default();
    let first_ms = connect_timeout_ms(&history);
    assert!(first_ms <= 150, "a quarter of the objective of 600 ms");
    history.record(AttemptOutcome::NotSent);
    let second_ms = connect_timeout_ms(&history);
    assert!(second_ms > first_ms);
    for _ in 0..5 {
        history.record(AttemptOutcome::NotSent);
        assert!(connect_timeout_ms(&history) >= second_ms);
    }
}

/// Guards against a copy of another request's response, or a refusal that was written
/// before the request arrived, that is taken for the response.
#[test]
fn only_a_response_that_can_be_no_copy_is_certain() {
    let identity = |sent_id, named_id, reused_connection, not_executed| ResponseIdentity {
        sent_id,
        named_id,
        reused_connection,
        not_executed,
    };
    for (reused, refused) in [(false, false), (false, true), (true, false), (true, true)] {
        assert!(identity("a", Some("a"), reused, refused).is_certain());
        assert!(!identity("a", Some("b"), reused, refused).is_certain());
        assert!(!identity("", Some("b"), reused, refused).is_certain());
        let without_id = identity("a", None, reused, refused);
        assert_eq!(without_id.is_certain(), !reused && !refused);
        assert_eq!(identity("", None, reused, refused).is_certain(), !reused);
    }
}
