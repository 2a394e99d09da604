//! Commands of the driver to its worker threads, and their reports.

use masticdock_core::ids::{Digest, Fence};
use masticdock_core::lease::{HeldLease, SlotKey};
use masticdock_core::units::MonoMs;
use masticdock_platform::{EngineStatus, LoadOrder, PlatformError};

use super::manifest_cache::ManifestRead;

/// Work that may block and runs on a worker thread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Command {
    /// Read a manifest.
    ReadManifest(Digest),
    /// Claim a slot if it is free or its lease has expired.
    Claim(SlotKey),
    /// Issue a fencing number without a slot.
    IssueFence,
    /// Renew the lease of the held slot.
    Renew,
    /// Release the held slot.
    Release,
    /// Send a load order, unless its permission has expired.
    Order(ExpiringOrder),
}

/// Load order with the time from which it must not be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ExpiringOrder {
    pub(super) order: LoadOrder,
    /// Earliest time at which the lease behind the order may have ended.
    pub(super) valid_until: MonoMs,
}

/// Outcome of a slot claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ClaimResult {
    /// The slot is held by this VM.
    Held(HeldLease),
    /// Another VM holds the slot.
    HeldByOther,
    /// The table service does not answer.
    Unavailable(String),
}

/// Outcome of a lease renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RenewResult {
    /// The slot is still held.
    Held(HeldLease),
    /// Another VM has claimed the slot.
    Lost,
    /// The table service does not answer; the lease is unchanged.
    Unavailable(String),
}

/// Outcome of a load order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum OrderResult {
    /// The engine accepted the order.
    Accepted,
    /// The order was not sent, because the lease may have ended.
    Withheld,
    /// The engine rejected the order.
    RejectedByEngine(String),
    /// The order did not reach the engine.
    NotSent(String),
    /// The engine may have accepted the order.
    Unknown(String),
}

/// Result of a [`Command`], or a status of the engine.
#[derive(Debug)]
pub(super) enum Report {
    /// Result of [`Command::ReadManifest`].
    Manifest(Digest, ManifestRead),
    /// Result of [`Command::Claim`].
    Claimed(ClaimResult),
    /// Result of [`Command::IssueFence`], with the time before the write.
    FenceIssued(Result<(Fence, MonoMs), String>),
    /// Result of [`Command::Renew`].
    Renewed(RenewResult),
    /// Result of [`Command::Order`].
    Ordered(OrderResult),
    /// Status of the engine.
    Engine(Result<EngineStatus, PlatformError>),
}
