//! Load orders to the engine; runs on a worker thread.

use masticdock_core::units::MonoMs;
use masticdock_platform::{LoadOrder, PlatformError, PlatformErrorKind};

use super::message::{ExpiringOrder, OrderResult};

/// Sends an order unless the lease behind it may have ended.
///
/// Reads the clock immediately before sending: the process may have been paused
/// since the decision, and an engine that ignores fencing numbers would execute a
/// late order.
pub(super) fn send(
    expiring: &ExpiringOrder,
    clock: impl Fn() -> MonoMs,
    load: impl Fn(&LoadOrder) -> Result<(), PlatformError>,
) -> OrderResult {
    if clock() >= expiring.valid_until {
        return OrderResult::Withheld;
    }
    let Err(error) = load(&expiring.order) else {
        return OrderResult::Accepted;
    };
    match error.kind {
        PlatformErrorKind::Rejected => OrderResult::RejectedByEngine(error.to_string()),
        PlatformErrorKind::OutcomeUnknown | PlatformErrorKind::Malformed => {
            OrderResult::Unknown(error.to_string())
        }
        _ => OrderResult::NotSent(error.to_string()),
    }
}
