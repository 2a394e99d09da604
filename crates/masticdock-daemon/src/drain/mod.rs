//! Graceful shutdown on SIGTERM and SIGINT.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::flag;

/// Time between two looks at the flag.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Set when the process was asked to stop.
#[derive(Debug, Clone)]
pub(crate) struct StopSignal(Arc<AtomicBool>);

impl StopSignal {
    /// Registers the handlers; a second signal ends the process at once.
    ///
    /// # Errors
    ///
    /// Fails when a handler cannot be registered.
    pub(crate) fn register() -> std::io::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        for signal in [SIGTERM, SIGINT] {
            flag::register_conditional_shutdown(signal, 1, Arc::clone(&stop))?;
            flag::register(signal, Arc::clone(&stop))?;
        }
        Ok(Self(stop))
    }

    /// Returns true once the process was asked to stop.
    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Blocks until the process is asked to stop.
    pub(crate) fn wait(&self) {
        while !self.is_set() {
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
