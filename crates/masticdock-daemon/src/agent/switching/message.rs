//! Commands of the driver to its worker threads, and their reports.

use masticdock_core::ids::{Digest, Fence};
use masticdock_core::lease::{HeldLease, SlotKey};
use masticdock_core::units::MonoMs;
use masticdock_platform::{EngineStatus, LoadOrder, PlatformError};

use super::manifest_cache::ManifestRead;

/// Work that may block.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Command {
    /// Read a manifest.
    ReadManifest(Digest),
    /// Claim a slot, or look whether it is free.
    Claim(SlotKey),
    /// Issue a fencing number without a slot.
    IssueFence,
    /// Renew the slot that is held.
    Renew,
    /// Free the slot that is held.
    Release,
    /// Order a load, unless the time is over.
    Order(TimedOrder),
}

/// A load order and the moment from which it must not be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct TimedOrder {
    /// The order.
    pub(super) order: LoadOrder,
    /// First moment at which the lease behind the order may have ended.
    pub(super) valid_until: MonoMs,
}

/// What became of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ClaimResult {
    /// The slot is held.
    Held(HeldLease),
    /// Another VM holds it.
    HeldByOther,
    /// The table service does not answer.
    Unavailable(String),
}

/// What became of a renewal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RenewResult {
    /// The slot is still held.
    Held(HeldLease),
    /// Another VM took it over.
    Lost,
    /// The table service does not answer; the lease runs on.
    Unavailable(String),
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum OrderResult {
    /// The engine took it.
    Accepted,
    /// It was withheld, because its time was over.
    Withheld,
    /// The engine refused it.
    RejectedByEngine(String),
    /// The engine was not reached.
    NotSent(String),
    /// The engine may have taken it.
    Unknown(String),
}

/// Result of a [`Command`], or a look at the engine.
#[derive(Debug)]
pub(super) enum Report {
    /// A manifest was read or not.
    Manifest(Digest, ManifestRead),
    /// See [`Command::Claim`].
    Claimed(ClaimResult),
    /// See [`Command::IssueFence`]; the time is that before the write.
    Fenced(Result<(Fence, MonoMs), String>),
    /// See [`Command::Renew`].
    Renewed(RenewResult),
    /// See [`Command::Order`].
    Ordered(OrderResult),
    /// Status of the engine.
    Engine(Result<EngineStatus, PlatformError>),
}
