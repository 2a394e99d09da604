//! Polls the store for the rows of the operators' table that an agent needs.
//!
//! The configuration can be large: if every agent read it after each change, the links
//! between regions would be saturated. An agent therefore reads the configuration only
//! once, for the parameters of its engine. It learns of versions from entries and polls
//! the store for the rows of versions alone.

use std::rc::Rc;
use std::time::Duration;

use masticdock_adapter::{Row, StoreError};
use tokio::time::sleep;

use super::state::Agent;
use crate::clock;
use crate::tables::TableEvent;

/// Interval between reads until the configuration contains the service of this VM.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(700);
/// Interval between reads of versions while entries send hellos, which carry the
/// versions.
const POLL_INTERVAL: Duration = Duration::from_secs(8);
/// Interval between reads of versions while no entry sends hellos.
const POLL_INTERVAL_WITHOUT_ENTRIES: Duration = Duration::from_millis(1_200);
/// Interval between checks of the age of the last hello.
const HELLO_CHECK_INTERVAL: Duration = Duration::from_millis(600);

/// Reads the configuration once and then polls the versions; never returns.
pub(crate) async fn run(agent: Rc<Agent>) {
    let mut snapshot_applied = false;
    while agent.target_model().is_none() {
        let rows = agent.store.read(masticdock_adapter::Table::Operators).await;
        apply_rows(
            &agent,
            rows.map(|snapshot| snapshot.rows),
            &mut snapshot_applied,
        );
        if agent.target_model().is_none() {
            sleep(STARTUP_POLL_INTERVAL).await;
        }
    }
    loop {
        wait_for_next_poll(&agent).await;
        let rows = agent.store.read_versions().await;
        apply_rows(
            &agent,
            rows.map(|snapshot| snapshot.rows),
            &mut snapshot_applied,
        );
    }
}

/// Waits until the next read is due.
async fn wait_for_next_poll(agent: &Agent) {
    let started_at = clock::now();
    loop {
        sleep(HELLO_CHECK_INTERVAL).await;
        let now = clock::now();
        let interval = if agent.has_recent_hello(now) {
            POLL_INTERVAL
        } else {
            POLL_INTERVAL_WITHOUT_ENTRIES
        };
        if now.since(started_at) >= interval {
            return;
        }
    }
}

fn apply_rows(agent: &Agent, rows: Result<Vec<Row>, StoreError>, snapshot_applied: &mut bool) {
    match rows {
        Ok(rows) => {
            let event = if *snapshot_applied {
                TableEvent::Changes(rows)
            } else {
                TableEvent::Snapshot(rows)
            };
            *snapshot_applied = true;
            agent.catalog.borrow_mut().apply_operator_event(event);
            agent.changed.notify_waiters();
        }
        Err(error) => log::warn!(
            event = "store.read_failed",
            table = "op",
            error:% = error;
            "cannot read the declared versions from the store; hellos may still carry them"
        ),
    }
}
