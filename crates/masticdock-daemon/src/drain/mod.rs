//! Graceful shutdown on SIGTERM and SIGINT.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use masticdock_core::event;
use masticdock_core::ids::VmId;
use masticdock_core::resource::Mark;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::flag;

use crate::control::{ControlHandle, ControlMsg};
use crate::event_log::log_event;

/// Time between two looks at the flag.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a leaving process stays up although it is idle, so that the
/// others hear of it and requests under way to it are refused, not cut.
const LEAVE_NOTICE: Duration = Duration::from_millis(1_500);

/// Time in which the control thread sends its last datagrams.
const FAREWELL_TIME: Duration = Duration::from_millis(150);

/// Returns true when an operator marked this VM as stopping.
pub(crate) fn is_marked_stopping(control: &ControlHandle, own_id: &str) -> bool {
    let own_id: Result<VmId, _> = own_id.parse();
    let config = &control.snapshot().config;
    own_id.is_ok_and(|own_id| config.vm_mark(&own_id) == Some(Mark::Stopping))
}

/// Tells the others that this process leaves and waits until it is idle.
pub(crate) fn leave_when_idle(control: &ControlHandle, in_progress: impl Fn() -> usize) {
    log_event!(
        event::PROCESS_DRAINING,
        "stop requested; {} requests in progress",
        in_progress()
    );
    control.send(ControlMsg::Leave);
    thread::sleep(LEAVE_NOTICE);
    while in_progress() > 0 {
        thread::sleep(POLL_INTERVAL);
    }
    control.send(ControlMsg::Left);
    thread::sleep(FAREWELL_TIME);
    log_event!(event::PROCESS_STOPPED, "no request in progress");
}

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
        self.wait_or(|| false);
    }

    /// Blocks until the process is asked to stop by a signal or by `asked`.
    pub(crate) fn wait_or(&self, asked: impl Fn() -> bool) {
        while !self.is_set() && !asked() {
            thread::sleep(POLL_INTERVAL);
        }
    }
}
