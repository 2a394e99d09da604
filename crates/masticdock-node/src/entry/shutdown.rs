//! Graceful shutdown within the grace period.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::state::Entry;

/// Time after which the load balancer sends no new connections: it checks readiness
/// once a second and removes an entry after two failed checks.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(2_600);
/// Time reserved between the end of the process and the end of the grace period.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// Interval between checks of the open connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until no connection is open or the grace period is about to end.
pub(crate) async fn run(entry: &Rc<Entry>, accept_task: &JoinHandle<()>) {
    let started_at = Instant::now();
    let grace = Duration::from_millis(entry.settings.bounds.grace_ms);
    let stop_at = started_at + grace.saturating_sub(GRACE_MARGIN);
    entry.begin_shutdown();
    log::info!(
        event = "process.stopping",
        connections = entry.connections.count(),
        in_use = entry.connections.in_use();
        "SIGTERM received; the entry reports not ready and keeps serving during shutdown"
    );
    sleep(LOAD_BALANCER_DELAY).await;
    while Instant::now() < stop_at {
        // Connections accepted since the last check are closed after their response too.
        if entry.connections.close_all() {
            break;
        }
        sleep(CHECK_INTERVAL).await;
    }
    accept_task.abort();
    log::info!(
        event = "process.drained",
        in_use = entry.connections.in_use(),
        took_ms = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        "the entry has no connection open or the grace period is about to end"
    );
}
