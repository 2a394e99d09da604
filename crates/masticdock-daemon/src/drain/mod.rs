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

/// Interval at which the stop flag and the requests in progress are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time for which a leaving process keeps running even if idle, so that the other
/// members learn that it leaves and requests in flight to it are rejected instead of cut off.
const LEAVE_NOTICE_TIME: Duration = Duration::from_millis(1_500);

/// Time given to the control thread to send its last datagrams.
const LAST_SEND_TIME: Duration = Duration::from_millis(150);

/// Returns true when an operator has marked this VM as stopping.
pub(crate) fn is_marked_stopping(control: &ControlHandle, own_id: &str) -> bool {
    let own_id: Result<VmId, _> = own_id.parse();
    let config = &control.snapshot().config;
    own_id.is_ok_and(|own_id| config.vm_mark(&own_id) == Some(Mark::Stopping))
}

/// Announces to the other members that this process leaves, and blocks until it is idle.
pub(crate) fn leave_when_idle(control: &ControlHandle, in_progress: impl Fn() -> usize) {
    log_event!(
        event::PROCESS_DRAINING,
        "stop requested; {} requests in progress",
        in_progress()
    );
    let wait_until_idle = || {
        while in_progress() > 0 {
            thread::sleep(POLL_INTERVAL);
        }
    };
    control.send(ControlMsg::Leave);
    thread::sleep(LEAVE_NOTICE_TIME);
    wait_until_idle();
    control.send(ControlMsg::Left);
    thread::sleep(LAST_SEND_TIME);
    // Requests that arrived meanwhile are rejected, and their responses must not be cut off.
    wait_until_idle();
    log_event!(event::PROCESS_STOPPED, "no request in progress");
}

/// Flag that is set when the process is requested to stop.
#[derive(Debug, Clone)]
pub(crate) struct StopSignal(Arc<AtomicBool>);

impl StopSignal {
    /// Registers the signal handlers; a second signal ends the process immediately.
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

    /// Returns true once a signal has requested a stop.
    pub(crate) fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Blocks until a signal requests a stop.
    pub(crate) fn wait(&self) {
        self.wait_or(|| false);
    }

    /// Blocks until a signal requests a stop or `stop_requested` returns true.
    pub(crate) fn wait_or(&self, stop_requested: impl Fn() -> bool) {
        while !self.is_set() && !stop_requested() {
            thread::sleep(POLL_INTERVAL);
        }
    }
}
