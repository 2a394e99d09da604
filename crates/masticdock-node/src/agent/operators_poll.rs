//! Reads what an agent needs of the operators' table.
//!
//! The configuration can be large, and all agents together would fill the
//! links between regions with it at each change. An agent reads it once for the
//! parameters of its engine, hears of versions from entries, and asks the store
//! for the rows of versions alone.

use std::rc::Rc;
use std::time::Duration;

use masticdock_adapter::{Row, StoreError};
use tokio::time::sleep;

use super::state::Agent;
use crate::clock;
use crate::tables::TableEvent;

/// Time between two reads until the configuration names the own service.
const START_INTERVAL: Duration = Duration::from_millis(700);
/// Time between two reads of versions while entries tell them.
const CALM_INTERVAL: Duration = Duration::from_secs(8);
/// Time between two reads of versions while no entry is heard.
const ALONE_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time between two looks at the age of the last hello.
const LOOK_INTERVAL: Duration = Duration::from_millis(600);

/// Reads the operators' table for ever.
pub(crate) async fn run(agent: Rc<Agent>) {
    let mut known = false;
    while agent.model_goal().is_none() {
        let rows = agent.store.read(masticdock_adapter::Table::Operators).await;
        apply(&agent, rows.map(|snapshot| snapshot.rows), &mut known);
        if agent.model_goal().is_none() {
            sleep(START_INTERVAL).await;
        }
    }
    loop {
        wait(&agent).await;
        let rows = agent.store.read_versions().await;
        apply(&agent, rows.map(|snapshot| snapshot.rows), &mut known);
    }
}

/// Waits until the next read is due.
async fn wait(agent: &Agent) {
    let started_at = clock::now();
    loop {
        sleep(LOOK_INTERVAL).await;
        let now = clock::now();
        let interval = if agent.hears_entries(now) {
            CALM_INTERVAL
        } else {
            ALONE_INTERVAL
        };
        if now.since(started_at) >= interval {
            return;
        }
    }
}

fn apply(agent: &Agent, rows: Result<Vec<Row>, StoreError>, known: &mut bool) {
    match rows {
        Ok(rows) => {
            let event = if *known {
                TableEvent::Changes(rows)
            } else {
                TableEvent::Snapshot(rows)
            };
            *known = true;
            agent.catalog.borrow_mut().apply_operator_event(event);
            agent.changed.notify_waiters();
        }
        Err(error) => log::warn!(
            event = "store.read_failed",
            table = "op",
            error:% = error;
            "declared versions cannot be read; entries may tell them"
        ),
    }
}
