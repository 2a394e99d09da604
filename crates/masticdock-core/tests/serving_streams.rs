//! Events cut out of a stream, and callers that return.

use masticdock_core::serving::{DeadlineEstimate, EventSplitter, RetryAfter, RetryAfterSettings};
use masticdock_core::units::MonoMs;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\ndata: d";

/// Guards against events that are cut, joined or lost where a read ends.
#[test]
fn events_are_the_same_wherever_the_bytes_are_cut() {
    for size in 1..=STREAM.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for bytes in STREAM.as_bytes().chunks(size) {
            events.extend(splitter.push(bytes).unwrap());
        }
        let ids: Vec<Option<u64>> = events.iter().map(|event| event.id).collect();
        assert_eq!(ids, [Some(1), Some(2), None], "reads of {size} bytes");
        let bytes: Vec<u8> = events.into_iter().flat_map(|event| event.bytes).collect();
        assert!(STREAM.as_bytes().starts_with(&bytes));
        assert!(splitter.has_partial_event());
    }
}

/// Guards against memory that grows with an upstream that sends no event.
#[test]
fn an_event_without_an_end_is_refused() {
    let mut splitter = EventSplitter::default();
    let bytes = vec![b'x'; 64 * 1_024];
    let refused = (0..8).any(|_| splitter.push(&bytes).is_none());
    assert!(refused);
}

/// Guards against new callers that look as if they returned, because deadlines
/// differ or a few callers wait much longer.
#[test]
fn only_callers_that_spent_their_time_elsewhere_count_as_returning() {
    let mut usual = DeadlineEstimate::default();
    let mut wrong = 0;
    for n in 0..2_000_u64 {
        let deadline_ms = if n % 25 == 24 {
            12_000
        } else {
            5_100 + n * 7 % 900
        };
        if usual.is_returning(deadline_ms) && n > 100 {
            wrong += 1;
        }
    }
    assert!(
        wrong < 20,
        "{wrong} of 1,900 new callers count as returning"
    );
    // A caller that was told to come back after 1.9 s.
    assert!(usual.is_returning(4_000));
}

/// Replays a burst and an overload that goes on.
/// Guards against callers that all return while there is still no room.
#[test]
fn callers_are_spread_wider_while_rejections_go_on() {
    let settings = RetryAfterSettings::default();
    let mut advice = RetryAfter::new(settings);
    assert_eq!(advice.delay_ms(0.9), settings.delay_min_ms);
    let mut now = MonoMs(60_000);
    for n in 0..200_u64 {
        now = now.plus_ms(20);
        advice.record(n % 2 == 0, now);
    }
    let spread_ms = advice.delay_ms(0.99) - advice.delay_ms(0.0);
    assert!(spread_ms > 1_000, "the spread is {spread_ms} ms");
    assert!(advice.delay_ms(1.0) <= settings.delay_max_ms);
    for _ in 0..200 {
        now = now.plus_ms(20);
        advice.record(false, now);
    }
    assert!(advice.delay_ms(0.99) < settings.delay_min_ms + 200);
}
