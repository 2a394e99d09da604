//! Reads the operators' table while no entry informs this agent.
//!
//! An agent needs the parameters of its engine and the declared versions. Entries send
//! both in their hellos; see [`StoreReadSchedule`] for when an agent reads them itself.
//!
//! [`StoreReadSchedule`]: masticdock_core::serving::StoreReadSchedule

use std::rc::Rc;
use std::time::Duration;

use masticdock_adapter::Table;
use masticdock_core::serving::ChangeAge;
use tokio::time::sleep;

use super::state::Agent;
use crate::clock;
use crate::datagram::ConfiguredTarget;
use crate::tables::{TableEvent, TableSnapshot};

/// Maximum time between checks of the schedule, which hellos postpone.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Age assumed for versions that an agent reads first, in milliseconds: its engine is to switch
/// soon, but not at the same moment as those of other agents that start.
const FIRST_READ_AGE_MS: u64 = 5_000;

/// Reads the table whenever the schedule says so; never returns.
pub(crate) async fn run(agent: Rc<Agent>) {
    loop {
        wait_until_due(&agent).await;
        read_operators(&agent).await;
        let mut store_reads = agent.store_reads.get();
        store_reads.record_read(clock::now());
        agent.store_reads.set(store_reads);
    }
}

async fn wait_until_due(agent: &Agent) {
    let draw = rand::random();
    loop {
        let now = clock::now();
        let due_at = agent.store_reads.get().due_at(draw, now);
        if now >= due_at {
            return;
        }
        sleep(due_at.since(now).min(CHECK_INTERVAL)).await;
    }
}

/// Reads the configuration until it names the model of this agent, and only the rows of
/// versions from then on: the configuration can be large.
async fn read_operators(agent: &Agent) {
    let result = if agent.target_model().is_none() {
        agent.store.read(Table::Operators).await
    } else {
        agent.store.read_versions().await
    };
    let snapshot = match result {
        Ok(snapshot) => snapshot,
        Err(error) => {
            log::warn!(
                event = "store.read_failed",
                table = Table::Operators.as_str(),
                error:% = error;
                "cannot read the operators' table; hellos of entries may still inform this agent"
            );
            return;
        }
    };
    // An agent only plans its switch by the age; entries keep the limits.
    let is_first = agent.catalog.borrow().operators_polled_at.is_none();
    let age = ChangeAge {
        max_ms: if is_first { FIRST_READ_AGE_MS } else { 0 },
        ..ChangeAge::default()
    };
    let event = TableEvent::Snapshot(TableSnapshot {
        rows: snapshot.rows,
        age,
        era: snapshot.position.era,
        is_followed: false,
    });
    let mut catalog = agent.catalog.borrow_mut();
    catalog.apply_operator_event(event);
    let target = catalog.configuration.as_ref().and_then(|configuration| {
        let service = agent.settings.service.as_ref()?;
        ConfiguredTarget::of(configuration, catalog.configuration_stamp(), service)
    });
    drop(catalog);
    if let Some(target) = target {
        agent.adopt_target(target);
    }
    agent.changed.notify_waiters();
}
