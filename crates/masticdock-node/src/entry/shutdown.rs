//! Graceful shutdown within the grace period.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::state::Entry;

/// Time after which the balancer sends no new connections: it asks once a
/// second and takes an entry out after two misses.
const BALANCER_NOTICE: Duration = Duration::from_millis(2_600);
/// Time kept between the end of the process and the end of the grace period.
const MARGIN: Duration = Duration::from_millis(500);
/// Time between two looks at the connections.
const INTERVAL: Duration = Duration::from_millis(100);

/// Serves what is under way and returns when nothing is left or the grace ends.
pub(crate) async fn run(entry: &Rc<Entry>, accepting: &JoinHandle<()>) {
    let started = Instant::now();
    let grace = Duration::from_millis(entry.settings.bounds.grace_ms);
    let end = started + grace.saturating_sub(MARGIN);
    entry.begin_stop();
    log::info!(
        event = "process.stopping",
        connections = entry.connections.count(),
        in_use = entry.connections.in_use();
        "SIGTERM received; the entry reports not ready and serves on"
    );
    sleep(BALANCER_NOTICE).await;
    while Instant::now() < end {
        // Connections accepted meanwhile are closed after their answer as well.
        entry.connections.close_all();
        if entry.connections.in_use() == 0 {
            break;
        }
        sleep(INTERVAL).await;
    }
    accepting.abort();
    log::info!(
        event = "process.drained",
        in_use = entry.connections.in_use(),
        took_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        "the entry has no more connections to serve or no more time"
    );
}
