//! Tests of splitting streams into events, and of returning callers.

use masticdock_core::serving::{
    DeadlineEstimate, EventOrderError, EventSequence, EventSplitter, RetryAfter,
    RetryAfterSettings, StreamEvent, StreamProgress, StreamProgressSettings,
};
use masticdock_core::units::MonoMs;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\ndata: d";

/// Guards against events that are split, joined or lost at read boundaries.
#[test]
fn events_do_not_depend_on_read_boundaries() {
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

/// Guards against joined streams that lack events, contain other text or end too early.
#[test]
fn events_of_several_upstreams_form_one_sequence() {
    let event = |id| StreamEvent {
        bytes: Vec::new(),
        id,
    };
    let mut sequence = EventSequence::after(Some(4));
    sequence.begin_upstream();
    assert!(sequence.may_end());
    assert_eq!(sequence.append(&event(Some(4))), Ok(false));
    assert_eq!(sequence.append(&event(Some(5))), Ok(true));
    assert_eq!(
        sequence.append(&event(None)),
        Err(EventOrderError::WithoutId)
    );
    let gap = EventOrderError::Gap { id: 7, last_id: 5 };
    assert_eq!(sequence.append(&event(Some(7))), Err(gap));
    sequence.begin_upstream();
    assert_eq!(sequence.append(&event(Some(4))), Ok(false));
    assert!(!sequence.may_end(), "event 5 exists");
    sequence.begin_upstream();
    assert!(sequence.may_end());
    sequence.record_partial_event();
    sequence.begin_upstream();
    assert!(!sequence.may_end(), "event 6 exists");
    assert_eq!(sequence.append(&event(Some(6))), Ok(true));
    assert!(sequence.may_end());
    assert_eq!(sequence.last_id(), Some(6));
}

/// Guards against unbounded memory use when an upstream sends no complete event.
#[test]
fn an_event_without_an_end_is_rejected() {
    let mut splitter = EventSplitter::default();
    let bytes = vec![b'x'; 64 * 1_024];
    let rejected = (0..8).any(|_| splitter.push(&bytes).is_none());
    assert!(rejected);
}

/// Guards against new callers that are taken for returning ones because deadlines vary
/// or a few callers have much longer deadlines.
#[test]
fn only_callers_with_a_much_shorter_deadline_count_as_returning() {
    let mut estimate = DeadlineEstimate::default();
    let mut false_positives = 0;
    for n in 0..2_000_u64 {
        let deadline_ms = if n % 25 == 24 {
            12_000
        } else {
            5_100 + n * 7 % 900
        };
        if estimate.is_returning(deadline_ms) && n > 100 {
            false_positives += 1;
        }
    }
    assert!(
        false_positives < 20,
        "{false_positives} of 1,900 new callers count as returning"
    );
    // A caller that was told to return after 1.9 s.
    assert!(estimate.is_returning(4_000));
}

/// Guards against callers that all return while the upstreams are still full, in a
/// lasting overload.
#[test]
fn retry_delays_spread_while_rejections_continue() {
    let settings = RetryAfterSettings::default();
    let mut retry_after = RetryAfter::new(settings);
    assert_eq!(retry_after.delay_ms(0.9), settings.delay_min_ms);
    let mut now = MonoMs(60_000);
    for n in 0..200_u64 {
        now = now.plus_ms(20);
        retry_after.record(n % 2 == 0, now);
    }
    let spread_ms = retry_after.delay_ms(0.99) - retry_after.delay_ms(0.0);
    assert!(spread_ms > 1_000, "the spread is {spread_ms} ms");
    assert!(retry_after.delay_ms(1.0) <= settings.delay_max_ms);
    for _ in 0..200 {
        now = now.plus_ms(20);
        retry_after.record(false, now);
    }
    assert!(retry_after.delay_ms(0.99) < settings.delay_min_ms + 200);
}

/// Feeds a stream that was just delivered with bytes after each pause; returns the longest
/// silence that counted, and whether the bytes may go on.
fn read_with_pauses(pauses_ms: &[u64], completes_event: impl Fn(usize) -> bool) -> (u64, bool) {
    let settings = StreamProgressSettings::default();
    let mut now = MonoMs(60_000);
    let mut progress = StreamProgress::new(settings, now);
    let mut silent_ms = 0;
    for (index, pause_ms) in pauses_ms.iter().enumerate() {
        for _ in 0..pause_ms / settings.check_interval_ms {
            now = now.plus_ms(settings.check_interval_ms);
            silent_ms = silent_ms.max(progress.check(now).unwrap_or(0));
        }
        now = now.plus_ms(pause_ms % settings.check_interval_ms);
        if !progress.record_bytes(completes_event(index), now) {
            return (silent_ms, false);
        }
    }
    (silent_ms, true)
}

/// Guards against silence, also within an event, that ends a stream, and against a stream
/// that stays open for bytes without an event.
#[test]
fn silence_ends_no_stream_but_bytes_without_an_event_do() {
    assert_eq!(read_with_pauses(&[900; 9], |_| true), (0, true));
    let (silent_ms, goes_on) = read_with_pauses(&[2_000, 30, 3_000], |index| index == 2);
    assert!(silent_ms >= 2_000 && goes_on);
    assert!(!read_with_pauses(&[200; 9], |_| false).1);
}

/// Guards against a pause of this process that counts as silence of an upstream.
#[test]
fn a_pause_of_the_process_is_no_silence() {
    let mut progress = StreamProgress::new(StreamProgressSettings::default(), MonoMs(60_000));
    assert_eq!(progress.check(MonoMs(70_000)), None);
}
