//! Process signals that the platform sends.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Stream of the signals that a process handles.
#[derive(Debug)]
pub(crate) struct Signals {
    terminate: Signal,
    reload: Signal,
}

/// Action that a signal requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SignalAction {
    /// Shut down within the grace period (SIGTERM).
    Stop,
    /// Check the settings file (SIGHUP).
    Reload,
}

impl Signals {
    /// Registers the signal handlers.
    pub(crate) fn register() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal and returns its action.
    pub(crate) async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.reload.recv() => SignalAction::Reload,
        }
    }
}
