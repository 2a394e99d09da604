//! Signals of the platform.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals that a process acts on.
#[derive(Debug)]
pub(crate) struct Signals {
    terminate: Signal,
    reload: Signal,
}

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SignalAction {
    /// Stop within the grace period.
    Stop,
    /// Read the settings file again.
    Reload,
}

impl Signals {
    /// Registers the handlers.
    pub(crate) fn register() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.reload.recv() => SignalAction::Reload,
        }
    }
}
