//! The state chart, compared with a hand-written transition function, and invalid
//! charts.

use masticdock_core::membership::Phase;
use masticdock_core::switch::{
    Chart, ChartErrorKind, StateMachine, SwitchAction, SwitchEvent, Timeouts,
};
use masticdock_core::units::MonoMs;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const TIMEOUTS: Timeouts = Timeouts {
    drain_ms: 1_000,
    load_ms: 300,
};

/// Transition function written by hand, independently of the chart file.
fn reference_transition(phase: Phase, event: SwitchEvent) -> (Phase, Vec<SwitchAction>) {
    use Phase::{Draining, Failed, Fetching, Idle, Loading, Serving, Verified};
    use SwitchAction as A;
    use SwitchEvent as E;
    // While a load is ordered, only its outcome has an effect.
    if phase == Loading {
        return match event {
            E::OrderRefused => (Verified, vec![A::OpenGate, A::ReleaseSlot]),
            E::EngineReady => (Serving, vec![A::OpenGate, A::ReleaseSlot, A::DropCopies]),
            E::LoadFailed | E::EngineCrashed | E::TimedOut => {
                (Failed, vec![A::ReportFailure, A::ReleaseSlot])
            }
            _ => (phase, vec![]),
        };
    }
    let mut drain_rollback = if phase == Draining {
        vec![A::OpenGate, A::ReleaseSlot]
    } else {
        vec![]
    };
    let has_copies = !matches!(phase, Idle | Serving);
    match event {
        E::WantNew => {
            drain_rollback.push(A::StartFetch);
            (Fetching, drain_rollback)
        }
        E::WantHeld if phase == Serving => (Serving, vec![]),
        E::WantHeld if matches!(phase, Idle | Failed) => (Serving, vec![A::OpenGate]),
        E::WantHeld if phase == Draining => {
            drain_rollback.push(A::DropCopies);
            (Serving, drain_rollback)
        }
        E::WantHeld => (Serving, vec![A::OpenGate, A::DropCopies]),
        E::WantNone if phase == Idle => (Idle, vec![]),
        E::WantNone => {
            if has_copies {
                drain_rollback.push(A::DropCopies);
            }
            (Idle, drain_rollback)
        }
        E::EngineCrashed => {
            let mut actions = vec![A::CloseGate];
            match phase {
                Draining => actions.push(A::ReleaseSlot),
                Serving => actions.push(A::ReportCrash),
                _ => {}
            }
            actions.push(A::StartRestore);
            (Fetching, actions)
        }
        E::CopiesVerified if phase == Fetching => (Verified, vec![]),
        E::CopiesFailed if phase == Fetching => (Failed, vec![A::ReportFailure]),
        E::SlotGranted if phase == Verified => (Draining, vec![A::CloseGate]),
        E::SlotLost if phase == Draining => (Verified, vec![A::OpenGate]),
        E::TimedOut if phase == Draining => (Verified, drain_rollback),
        E::Drained if phase == Draining => (Loading, vec![A::OrderLoad]),
        E::EngineReady if phase == Failed => (Failed, vec![A::OpenGate, A::DropCopies]),
        E::EngineReady if phase == Idle => (Idle, vec![A::OpenGate]),
        E::RestoreNeeded if matches!(phase, Idle | Failed) => (Fetching, vec![A::StartRestore]),
        _ => (phase, vec![]),
    }
}

/// Guards against an edit of the chart file that changes a transition by accident.
#[test]
fn chart_matches_the_reference_transitions() {
    let events = prop::collection::vec(prop::sample::select(SwitchEvent::ALL.to_vec()), 1..60);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(1_000), rng);
    runner
        .run(&events, |events| {
            let chart = Chart::built_in().unwrap();
            let mut machine = StateMachine::new(chart, TIMEOUTS, MonoMs(0));
            let mut expected = Phase::Idle;
            for event in events {
                let (next, actions) = reference_transition(expected, event);
                prop_assert_eq!(machine.handle(event, MonoMs(0)), actions);
                prop_assert_eq!(machine.phase(), next, "{:?} at {:?}", event, expected);
                expected = next;
            }
            Ok(())
        })
        .unwrap();
}

/// Guards against a load order while requests are admitted, and against requests
/// that are admitted while the VM drains or loads.
#[test]
fn load_is_ordered_only_while_no_requests_are_admitted() {
    let events = prop::collection::vec(prop::sample::select(SwitchEvent::ALL.to_vec()), 1..80);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[13; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(1_000), rng);
    runner
        .run(&events, |events| {
            let chart = Chart::built_in().unwrap();
            let mut machine = StateMachine::new(chart, TIMEOUTS, MonoMs(0));
            let mut open = true;
            for event in events {
                for action in machine.handle(event, MonoMs(0)) {
                    match action {
                        SwitchAction::OpenGate => open = true,
                        SwitchAction::CloseGate => open = false,
                        SwitchAction::OrderLoad => prop_assert!(!open),
                        _ => {}
                    }
                }
                let closed = matches!(machine.phase(), Phase::Draining | Phase::Loading);
                prop_assert!(!closed || !open);
            }
            Ok(())
        })
        .unwrap();
}

/// Guards against a drain or a load that never ends.
#[test]
fn timeouts_count_from_the_entry_into_the_state() {
    let mut machine = StateMachine::new(Chart::built_in().unwrap(), TIMEOUTS, MonoMs(0));
    for event in [
        SwitchEvent::WantNew,
        SwitchEvent::CopiesVerified,
        SwitchEvent::SlotGranted,
    ] {
        machine.handle(event, MonoMs(5_000));
        assert!(!machine.is_timed_out(MonoMs(5_999)));
    }
    assert!(machine.is_timed_out(MonoMs(6_000)));
    machine.handle(SwitchEvent::Drained, MonoMs(6_000));
    assert!(!machine.is_timed_out(MonoMs(6_299)));
    assert!(machine.is_timed_out(MonoMs(6_300)));
}

/// Guards against an agent that starts with an invalid chart.
#[test]
fn invalid_charts_are_rejected() {
    let valid_chart = include_str!("../src/switch/switch.chart.yaml");
    let cases = [
        (
            "to: verified, do: []",
            "to: checked, do: []",
            ChartErrorKind::UnknownState,
        ),
        ("  failed:\n", "  broken:\n", ChartErrorKind::UnknownState),
        (
            "      drained: {",
            "      drain: {",
            ChartErrorKind::UnknownEvent,
        ),
        ("[order_load]", "[load]", ChartErrorKind::UnknownAction),
        ("    timeout: drain\n", "", ChartErrorKind::InvalidTimeout),
        (
            "timeout: load",
            "timeout: wait",
            ChartErrorKind::InvalidTimeout,
        ),
        (
            "      drained: { to: loading, do: [order_load] }\n",
            "",
            ChartErrorKind::UnhandledEvent,
        ),
        (
            "      - want_held\n      - want_none\n      - copies",
            "      - want_held\n      - want_none\n      - engine_ready\n      - copies",
            ChartErrorKind::ConflictingEvent,
        ),
        (
            "to: draining, do",
            "to: verified, do",
            ChartErrorKind::Unreachable,
        ),
        ("initial: idle", "first: idle", ChartErrorKind::Malformed),
    ];
    for (from, to, kind) in cases {
        assert!(valid_chart.contains(from), "{from}");
        let error = Chart::parse(&valid_chart.replace(from, to)).unwrap_err();
        assert_eq!(error.kind(), kind, "{error}");
    }
}
