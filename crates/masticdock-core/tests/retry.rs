//! Compares the retry decisions with a naive version.

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

    // Guards against retries that grow faster than successes.
    #[test]
    fn budget_equals_counting(percent in 0..=100_u64, steps in prop::collection::vec(any::<bool>(), 0..600)) {
        let mut budget = RetryBudget::new(percent);
        // In hundredths of a retry: 10 to begin with, 100 at most.
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

    // Guards against a request that some upstream may have run and that is called not run.
    #[test]
    fn one_unknown_attempt_makes_the_request_unknown(states in prop::collection::vec(run_state(), 1..10)) {
        let mut progress = RequestProgress::new(MonoMs(1_000));
        for state in &states {
            progress.record_failure(*state);
        }
        let unknown = states.contains(&RunState::Unknown);
        let told = progress.run_state(*states.last().unwrap());
        prop_assert_eq!(told == RunState::Unknown, unknown);
        prop_assert_eq!(u64::from(progress.attempts + progress.rejections), states.len() as u64);
    }

    // Guards against attempts past a limit and against budget spent on refusals.
    #[test]
    fn decision_equals_the_list_of_rules(
        attempts in 0..6_u32,
        rejections in 0..6_u32,
        failed in run_state(),
        kind in kind(),
        now in 0..1_100_u64,
        spent in 0..12_u64,
    ) {
        let progress = RequestProgress { attempts, rejections, ..RequestProgress::new(MonoMs(1_000)) };
        let rules = RetryPolicy { attempts_max: 4, rejections_max: 5, remaining_ms_min: 10 };
        let mut budget = RetryBudget::new(20);
        for _ in 0..spent {
            budget.try_spend();
        }
        let before = budget.remaining();
        let decision = check_retry(&progress, failed, kind, rules, &mut budget, MonoMs(now));
        let obstacles = [
            (is_terminal(kind), NoRetryReason::Terminal),
            (attempts >= 4 || rejections >= 5, NoRetryReason::AttemptsExhausted),
            (now + 10 >= 1_000, NoRetryReason::DeadlineTooClose),
            (failed == RunState::Unknown && before == 0, NoRetryReason::BudgetExhausted),
        ];
        let first = obstacles.into_iter().find(|(holds, _)| *holds);
        prop_assert_eq!(decision, first.map_or(Ok(()), |(_, reason)| Err(reason)));
        let costs = u64::from(decision.is_ok() && failed == RunState::Unknown);
        prop_assert_eq!(budget.remaining(), before - costs);
    }
}

// Guards against a changed problem type: callers match on them.
#[test]
fn problem_types_are_distinct_and_found_again() {
    for (index, kind) in ProblemKind::ALL.iter().enumerate() {
        assert_eq!(ProblemKind::from_slug(kind.slug()), Some(*kind));
        for other in &ProblemKind::ALL[index + 1..] {
            assert_ne!(kind.slug(), other.slug());
        }
        assert!((400..600).contains(&kind.status()));
    }
}
