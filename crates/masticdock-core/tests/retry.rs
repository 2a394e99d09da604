//! Compares retry decisions with a naive implementation.

use masticdock_core::problem::{ProblemKind, RunState};
use masticdock_core::retry::{
    NoRetryReason, RequestProgress, RetryBudget, RetryPolicy, check_retry, is_terminal,
};
use masticdock_core::units::MonoMs;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn kind() -> impl Strategy<Value = ProblemKind> {
    prop::sample::select(ProblemKind::ALL)
}

fn run_state() -> impl Strategy<Value = RunState> {
    prop::sample::select(vec![RunState::NotRun, RunState::Unknown])
}

proptest! {
    #![proptest_config(config())]

    /// Guards against more retries than the configured ratio to successes allows.
    #[test]
    fn budget_allows_retries_in_proportion_to_successes(percent in 0..=100_u64, steps in prop::collection::vec(any::<bool>(), 0..600)) {
        let mut budget = RetryBudget::new(percent);
        // In hundredths of a retry: starts at 10 retries, holds at most 100.
        let mut hundredths: u64 = 1_000;
        for success in steps {
            if success {
                budget.record_success();
                hundredths = (hundredths + percent).min(10_000);
                continue;
            }
            let allowed = hundredths >= 100;
            if allowed {
                hundredths -= 100;
            }
            prop_assert_eq!(budget.try_spend(), allowed);
        }
        prop_assert_eq!(budget.remaining(), hundredths / 100);
    }

    /// Guards against reporting a request as not run although an upstream may have run it.
    #[test]
    fn one_unknown_attempt_makes_the_request_unknown(states in prop::collection::vec(run_state(), 1..10)) {
        let mut progress = RequestProgress::new(MonoMs(1_000));
        for state in &states {
            progress.record_failure(*state);
        }
        let unknown = states.contains(&RunState::Unknown);
        let reported = progress.run_state(*states.last().unwrap());
        prop_assert_eq!(reported == RunState::Unknown, unknown);
        prop_assert_eq!(u64::from(progress.attempts + progress.rejections), states.len() as u64);
    }

    /// Guards against retries beyond a limit, and against charging the budget for
    /// rejected attempts.
    #[test]
    fn the_first_applicable_reason_prevents_a_retry(
        attempts in 0..6_u32,
        rejections in 0..6_u32,
        failed_state in run_state(),
        kind in kind(),
        now in 0..1_100_u64,
        retries_spent in 0..12_u64,
    ) {
        let progress = RequestProgress { attempts, rejections, ..RequestProgress::new(MonoMs(1_000)) };
        let policy = RetryPolicy { attempts_max: 4, rejections_max: 5, remaining_ms_min: 10 };
        let mut budget = RetryBudget::new(20);
        for _ in 0..retries_spent {
            budget.try_spend();
        }
        let before = budget.remaining();
        let decision = check_retry(&progress, failed_state, kind, policy, &mut budget, MonoMs(now));
        let reasons = [
            (is_terminal(kind), NoRetryReason::Terminal),
            (attempts >= 4 || rejections >= 5, NoRetryReason::AttemptsExhausted),
            (now + 10 >= 1_000, NoRetryReason::DeadlineTooClose),
            (failed_state == RunState::Unknown && before == 0, NoRetryReason::BudgetExhausted),
        ];
        let first = reasons.into_iter().find(|(holds, _)| *holds);
        prop_assert_eq!(decision, first.map_or(Ok(()), |(_, reason)| Err(reason)));
        let cost = u64::from(decision.is_ok() && failed_state == RunState::Unknown);
        prop_assert_eq!(budget.remaining(), before - cost);
    }
}

/// Guards against problem types that share a slug or do not parse back; callers
/// match on the slugs.
#[test]
fn problem_types_are_distinct_and_parse_back() {
    for (index, kind) in ProblemKind::ALL.iter().enumerate() {
        assert_eq!(ProblemKind::from_slug(kind.slug()), Some(*kind));
        for other in &ProblemKind::ALL[index + 1..] {
            assert_ne!(kind.slug(), other.slug());
        }
        assert!((400..600).contains(&kind.status()));
    }
}
