//! What follows an attempt, and the budget of repeats.

use masticdock_core::serving::{
    AttemptHistory, AttemptOutcome, FinalResponse, NextStep, RequestKind, WindowedRetryBudget,
    WindowedRetryBudgetSettings, next_step,
};
use masticdock_core::units::MonoMs;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ENDS: [AttemptOutcome; 5] = [
    AttemptOutcome::NotSent,
    AttemptOutcome::NotExecuted,
    AttemptOutcome::ServerError,
    AttemptOutcome::Broken,
    AttemptOutcome::Silent,
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

proptest! {
    #![proptest_config(config())]

    // Guards against a request that runs twice, or is called "not run" after it may have run.
    #[test]
    fn a_request_is_repeated_only_where_its_kind_and_the_response_permit(
        kind in kinds(),
        attempts_max in 1..4_u32,
        ends in prop::collection::vec(prop::sample::select(ENDS.to_vec()), 1..8),
        response_started in any::<bool>(),
        left_ms in 0..3_000_u64,
        budget in 0..4_u32,
    ) {
        let mut made = AttemptHistory { response_started, ..AttemptHistory::default() };
        let mut budget = budget;
        let mut may_have_run = false;
        for end in ends {
            // A request that may have run and may not run again must have ended before.
            prop_assert!(!may_have_run || kind.is_safe_to_retry());
            prop_assert!(made.sent < attempts_max);
            made.record(end);
            may_have_run |= end.may_have_run();
            let step = next_step(kind, attempts_max, &made, end, left_ms, || {
                let left = budget > 0;
                budget = budget.saturating_sub(1);
                left
            });
            let NextStep::End(answer) = step else {
                prop_assert!(left_ms >= 100);
                continue;
            };
            if answer == FinalResponse::NotRun {
                prop_assert!(!may_have_run && !response_started);
            }
            if response_started {
                prop_assert_eq!(answer, FinalResponse::Aborted);
            }
            return Ok(());
        }
    }

    // Guards against a surge of repeats: in every window they stay within the
    // ratio of that window's requests and the slack.
    #[test]
    fn repeats_of_every_window_stay_within_the_budget(
        steps in prop::collection::vec((0..400_u64, any::<bool>()), 1..300),
    ) {
        let settings = WindowedRetryBudgetSettings { ratio: 0.2, window_ms: 10_000, slack: 5 };
        let mut budget = WindowedRetryBudget::new(settings);
        let mut now = MonoMs(60_000);
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for (gap_ms, request) in steps {
            now = now.plus_ms(gap_ms);
            if request {
                budget.record_request(now);
                requests.push(now);
            } else if budget.try_spend(now) {
                repeats.push(now);
                let within = |at: &&MonoMs| now.since_ms(**at) < 10_000;
                let spent = repeats.iter().filter(within).count();
                // Requests of the window, and of the bucket that it begins in.
                let counted = requests.iter().filter(|at| now.since_ms(**at) <= 10_500).count();
                // Five times both sides: the ratio is a fifth and the slack 5.
                prop_assert!(spent * 5 <= counted + 25);
            }
        }
    }
}

/// Guards against a request that waits for a repeat which nothing permits.
#[test]
fn an_error_of_the_upstream_is_passed_on_when_it_is_final() {
    let mut made = AttemptHistory::default();
    made.record(AttemptOutcome::ServerError);
    let step = next_step(
        RequestKind::NonIdempotent,
        3,
        &made,
        AttemptOutcome::ServerError,
        1_000,
        || true,
    );
    assert_eq!(step, NextStep::End(FinalResponse::Forwarded));
}
