//! Detection of pauses in which a process did not run.

use masticdock_core::serving::{Pause, PauseDetector, PauseSettings};
use masticdock_core::units::MonoMs;

/// A process that ticks late under load is not paused; one that stood still is, from its
/// last tick on, both before and after the tick that follows.
#[test]
fn a_pause_is_known_before_and_after_the_next_tick() {
    let mut detector = PauseDetector::new(PauseSettings::default(), MonoMs(1_000));
    assert_eq!(detector.tick(MonoMs(1_250)), None);
    assert_eq!(detector.tick(MonoMs(1_600)), None);
    assert_eq!(detector.tick(MonoMs(1_900)), None);
    assert_eq!(detector.pause_after(MonoMs(1_000), MonoMs(2_100)), None);
    let pause = Pause {
        began_at: MonoMs(1_900),
        ended_at: MonoMs(6_000),
    };
    let (sent_at, now) = (MonoMs(1_800), MonoMs(6_000));
    assert_eq!(detector.pause_after(sent_at, now), Some(pause));
    assert_eq!(detector.tick(now), Some(pause));
    assert_eq!(pause.duration_ms(), 4_100);
    assert_eq!(detector.pause_after(sent_at, MonoMs(6_010)), Some(pause));
    // What was asked after the pause is current.
    assert_eq!(detector.pause_after(MonoMs(6_005), MonoMs(6_300)), None);
}

/// Guards against a short pause that hides a long one just before it, as on waking with
/// much to do.
#[test]
fn pauses_in_a_row_count_from_the_first() {
    let mut detector = PauseDetector::new(PauseSettings::default(), MonoMs(8_200));
    assert!(detector.tick(MonoMs(12_500)).is_some());
    let pause = Pause {
        began_at: MonoMs(8_200),
        ended_at: MonoMs(13_300),
    };
    let (sent_at, now) = (MonoMs(8_100), MonoMs(13_300));
    assert_eq!(detector.pause_after(sent_at, now), Some(pause));
    assert!(detector.tick(now).is_some());
    assert_eq!(detector.pause_after(sent_at, MonoMs(13_310)), Some(pause));
    let later = detector
        .pause_after(MonoMs(12_600), MonoMs(13_310))
        .unwrap();
    assert_eq!(later.began_at, MonoMs(12_500));
}

/// Guards against a short stall on waking that is taken for the end of the pause before it.
#[test]
fn the_longest_pause_is_told_from_the_stalls_around_it() {
    let mut detector = PauseDetector::new(PauseSettings::default(), MonoMs(1_000));
    for now_ms in [1_450, 9_000, 9_250, 9_700] {
        detector.tick(MonoMs(now_ms));
    }
    let long = Pause {
        began_at: MonoMs(1_450),
        ended_at: MonoMs(9_000),
    };
    let now = MonoMs(9_800);
    assert_eq!(detector.longest_after(MonoMs(1_100), now), Some(long));
    let stall = detector.longest_after(MonoMs(9_000), now).unwrap();
    assert_eq!(stall.ended_at, MonoMs(9_700));
    assert_eq!(detector.longest_after(MonoMs(9_700), now), None);
}
