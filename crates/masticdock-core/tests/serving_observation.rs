//! How old a change can be that a process reads from a table.

use std::time::Duration;

use masticdock_core::serving::{Pause, PollReply, TableObservation};
use masticdock_core::units::MonoMs;

fn reply(sent_ms: u64, read_ms: u64, pause: Option<(u64, u64)>) -> PollReply {
    PollReply {
        sent_at: MonoMs(sent_ms),
        read_at: MonoMs(read_ms),
        pause: pause.map(|(began_ms, ended_ms)| Pause {
            began_at: MonoMs(began_ms),
            ended_at: MonoMs(ended_ms),
        }),
    }
}

fn age_ms(observation: &TableObservation, reply: &PollReply) -> u64 {
    u64::try_from(observation.change_age(reply).as_millis()).unwrap()
}

/// Guards against a change that counts as new although the process did not run when it
/// was made, in each order of poll, pause and change.
#[test]
fn a_change_made_during_a_pause_is_as_old_as_the_pause() {
    let observation = TableObservation::new(MonoMs(1_000));
    // The poll is open when the pause begins, and returns the change after it.
    assert!(age_ms(&observation, &reply(1_010, 6_000, Some((2_000, 6_000)))) >= 4_000);
    // The pause begins as soon as the poll is sent: the change can precede the poll.
    assert!(age_ms(&observation, &reply(1_100, 6_000, Some((1_150, 6_000)))) >= 5_000);
    // The pause falls between two polls.
    assert!(age_ms(&observation, &reply(5_000, 5_010, None)) >= 4_000);
    // The open poll ends empty during the pause; the next one returns the change.
    let mut ended = observation;
    ended.record_reply(&reply(1_010, 6_000, Some((2_000, 6_000))));
    assert!(age_ms(&ended, &reply(6_001, 6_010, None)) >= 4_000);
    // The open poll times out on waking, and so does the next one.
    let mut failed = observation;
    failed.record_failure(true);
    failed.record_failure(true);
    assert!(age_ms(&failed, &reply(6_300, 6_310, None)) >= 5_000);
    // The pause falls into a back-off.
    let mut backing_off = observation;
    backing_off.record_failure(false);
    backing_off.record_pause(&reply(0, 0, Some((2_000, 6_000))).pause.unwrap());
    assert!(age_ms(&backing_off, &reply(6_000, 6_010, None)) >= 4_000);
}

/// Guards against an older version that ends early although nothing was missed.
#[test]
fn a_change_that_an_open_poll_returns_is_new() {
    let mut observation = TableObservation::new(MonoMs(1_000));
    let unpaused = reply(1_010, 3_000, None);
    assert!(observation.change_age(&unpaused) <= Duration::from_millis(300));
    // A poll that waits after a pause has seen that nothing changed before.
    observation.record_reply(&reply(3_000, 9_000, Some((4_000, 9_000))));
    let waited = reply(9_010, 10_000, None);
    assert!(observation.change_age(&waited) <= Duration::from_millis(300));
    // Limits start anew when the store returns.
    observation.record_failure(false);
    let returned = reply(20_000, 20_010, None);
    assert!(observation.change_age(&returned) <= Duration::from_millis(300));
}

/// Guards against a change that hides earlier ones of the same row, which are taken for known.
#[test]
fn a_time_without_polls_is_a_gap() {
    let mut observation = TableObservation::new(MonoMs(1_000));
    observation.record_reply(&reply(1_010, 1_020, None));
    // The usual pauses between polls.
    assert!(!observation.has_gap(MonoMs(1_120)) && !observation.has_gap(MonoMs(1_620)));
    // A poll that was open for long had no change to return.
    observation.record_reply(&reply(1_120, 4_000, None));
    assert!(!observation.has_gap(MonoMs(4_100)));
    assert!(observation.has_gap(MonoMs(6_000)));
    // The reply may be as old as the beginning of the pause.
    observation.record_reply(&reply(6_000, 9_000, Some((6_500, 9_000))));
    assert!(observation.has_gap(MonoMs(9_010)));
    observation.record_reply(&reply(9_010, 9_020, None));
    observation.record_failure(false);
    assert!(observation.has_gap(MonoMs(9_800)));
}
