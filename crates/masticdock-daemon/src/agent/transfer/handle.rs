//! Handle through which other threads control transfers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use anyhow::Context as _;
use compact_str::CompactString;
use crossbeam::channel::{self, Sender};
use masticdock_core::ids::Digest;
use masticdock_platform::OriginClient;

use super::message::Message;
use super::origin::{self, OriginReader};
use super::worker::Worker;
use super::{CopyProgress, TransferPeer, VerifiedCopy, WantedCopy};
use crate::net::rpc::{PeerRequest, Responder, RpcHandle};
use crate::settings::{LinkSettings, TransferSettings};

/// Configuration of the transfers of one agent.
#[derive(Debug, Clone)]
pub(crate) struct TransferConfig {
    /// This VM as a peer of others.
    pub(crate) own: TransferPeer,
    /// Rates of the network links, and the shares of them that transfers may use.
    pub(crate) links: LinkSettings,
    /// Limits and timeouts of transfers.
    pub(crate) settings: TransferSettings,
}

/// State of one copy as published to other threads.
#[derive(Debug, Clone)]
pub(super) struct CopyStatus {
    pub(super) progress: CopyProgress,
    pub(super) copy: Option<Arc<VerifiedCopy>>,
}

/// Status of the wanted copies, written by the transfer thread.
pub(super) type StatusTable = Arc<Mutex<BTreeMap<Digest, CopyStatus>>>;

/// Handle to the transfer thread; cheap to clone.
#[derive(Clone)]
pub(crate) struct TransferHandle {
    sender: Sender<Message>,
    status: StatusTable,
}

/// Starts the transfer thread.
///
/// # Errors
///
/// Fails if a thread cannot be started.
pub(crate) fn spawn(
    config: TransferConfig,
    origin: OriginClient,
    rpc: RpcHandle,
) -> anyhow::Result<TransferHandle> {
    let stall_timeout = Duration::from_millis(config.settings.stall_timeout_ms);
    spawn_with(
        config,
        &origin::reader_from_client(origin, stall_timeout),
        rpc,
    )
}

pub(super) fn spawn_with(
    config: TransferConfig,
    origin: &OriginReader,
    rpc: RpcHandle,
) -> anyhow::Result<TransferHandle> {
    let (sender, receiver) = channel::unbounded();
    let (orders, order_receiver) = channel::unbounded();
    let links = &config.links;
    let origin_rate = links.vm_rate_bytes_per_s.scaled(links.weights_share);
    origin::spawn_readers(&order_receiver, &sender, origin, origin_rate)
        .context("cannot start the threads that read from the origin")?;
    let status = StatusTable::default();
    let mut worker = Worker::new(config, rpc, orders, sender.clone(), Arc::clone(&status));
    thread::Builder::new()
        .name("transfer".to_owned())
        .spawn(move || worker.run(&receiver))
        .context("cannot start the transfer thread")?;
    Ok(TransferHandle { sender, status })
}

impl TransferHandle {
    fn send(&self, message: Message) {
        if self.sender.send(message).is_err() {
            log::debug!("cannot send a message: the transfer thread has ended");
        }
    }

    fn status(&self) -> MutexGuard<'_, BTreeMap<Digest, CopyStatus>> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the set of wanted copies.
    ///
    /// Chunks that old and new copies have in common are kept. A verified copy that is
    /// no longer wanted is still sent to others for `transfer.seeding_ms`.
    pub(crate) fn set_wanted(&self, wanted: Vec<WantedCopy>) {
        self.send(Message::SetWanted(wanted));
    }

    /// Returns the progress of a copy; `None` if it is not wanted or its chunks are
    /// dropped.
    pub(crate) fn progress(&self, digest: &Digest) -> Option<CopyProgress> {
        self.status()
            .get(digest)
            .map(|status| status.progress.clone())
    }

    /// Returns a wanted copy once it is verified, until its chunks are dropped after
    /// [`TransferHandle::release`].
    pub(crate) fn verified_copy(&self, digest: &Digest) -> Option<Arc<VerifiedCopy>> {
        self.status().get(digest)?.copy.clone()
    }

    /// Reports that the engine holds the copy. Its chunks are then kept only for
    /// `transfer.seeding_ms`, to be sent to others.
    pub(crate) fn release(&self, digest: &Digest) {
        self.send(Message::Release(*digest));
    }

    /// Answers `Chunk` and `Announce` calls from other agents. Any other call is
    /// dropped, which the caller sees as a failure.
    pub(crate) fn handle_call(
        &self,
        caller: CompactString,
        request: PeerRequest,
        respond: Responder,
    ) {
        self.send(Message::Call(caller, request, respond));
    }
}
