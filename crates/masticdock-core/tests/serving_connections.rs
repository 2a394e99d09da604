//! Timeouts of connections from callers.

use masticdock_core::serving::{
    ConnectionPhase, ConnectionTimeout, ConnectionTimer, RequestLimits,
};
use masticdock_core::units::MonoMs;

fn limits(idle_timeout_ms: u64) -> RequestLimits {
    RequestLimits {
        head_timeout_ms: 1_000,
        idle_timeout_ms,
        ..RequestLimits::default()
    }
}

/// An idle connection keeps the timeout of its latest response or gets a longer one; the
/// next response brings the timeout then in force.
#[test]
fn an_idle_connection_keeps_its_timeout() {
    let idle = Some(ConnectionTimeout::Idle);
    let mut timer = ConnectionTimer::new(&limits(5_000), MonoMs(0));
    assert_eq!(timer.exceeded(&limits(500), MonoMs(4_999)), None);
    assert_eq!(timer.exceeded(&limits(500), MonoMs(5_000)), idle);
    assert_eq!(timer.exceeded(&limits(9_000), MonoMs(5_000)), None);
    timer.respond(&limits(500));
    timer.enter(ConnectionPhase::Idle, MonoMs(6_000));
    assert_eq!(timer.exceeded(&limits(500), MonoMs(6_499)), None);
    assert_eq!(timer.exceeded(&limits(500), MonoMs(6_500)), idle);
}

/// A slow head is subject to its own timeout, a request in progress to none.
#[test]
fn a_request_in_progress_has_no_timeout() {
    let mut timer = ConnectionTimer::new(&limits(500), MonoMs(0));
    timer.enter(ConnectionPhase::Head, MonoMs(0));
    assert_eq!(timer.exceeded(&limits(500), MonoMs(999)), None);
    let slow_head = Some(ConnectionTimeout::Head);
    assert_eq!(timer.exceeded(&limits(500), MonoMs(1_000)), slow_head);
    timer.enter(ConnectionPhase::Active, MonoMs(0));
    assert_eq!(timer.exceeded(&limits(500), MonoMs(9_000)), None);
}

/// A response that the caller reads on has no timeout, one that it leaves unread has.
#[test]
fn an_unread_response_has_a_timeout() {
    let unread = Some(ConnectionTimeout::Unread);
    let mut timer = ConnectionTimer::new(&limits(500), MonoMs(0));
    timer.enter(ConnectionPhase::Sending, MonoMs(0));
    assert!(!timer.is_unread_for(2_000, MonoMs(1_999)));
    assert!(timer.is_unread_for(2_000, MonoMs(2_000)));
    assert_eq!(timer.exceeded(&limits(500), MonoMs(9_999)), None);
    assert_eq!(timer.exceeded(&limits(20_000), MonoMs(10_000)), None);
    assert_eq!(timer.exceeded(&limits(500), MonoMs(10_000)), unread);
    timer.enter(ConnectionPhase::Sending, MonoMs(9_000));
    assert_eq!(timer.exceeded(&limits(500), MonoMs(10_000)), None);
}
