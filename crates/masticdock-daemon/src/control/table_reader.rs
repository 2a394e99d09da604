//! Thread that reads the configuration from the table.

use std::thread;
use std::time::Duration;

use masticdock_core::event;

use super::{ConfigReadError, ConfigTable, ControlHandle, ControlMsg};
use crate::event_log::log_event;

/// Starts the thread.
///
/// # Errors
///
/// Fails when the thread cannot be started.
pub(super) fn spawn(
    table: ConfigTable,
    interval: Duration,
    control: ControlHandle,
) -> anyhow::Result<()> {
    thread::Builder::new()
        .name("table-reader".to_owned())
        .spawn(move || {
            let mut reachable = true;
            loop {
                reachable = poll_once(&table, &control, reachable);
                thread::sleep(interval);
            }
        })?;
    Ok(())
}

fn poll_once(table: &ConfigTable, control: &ControlHandle, was_reachable: bool) -> bool {
    match read_once(table, control) {
        Ok(()) => {
            if !was_reachable {
                log_event!(event::TABLE_AVAILABLE, "the table service answers again");
            }
            true
        }
        Err(error) => {
            if was_reachable {
                log_event!(event::TABLE_UNAVAILABLE, "{error}");
            }
            false
        }
    }
}

fn read_once(table: &ConfigTable, control: &ControlHandle) -> Result<(), ConfigReadError> {
    let snapshot = control.snapshot();
    if !snapshot.adopted {
        let state = table.adopt()?;
        control.send(ControlMsg::Adopted(state));
        return Ok(());
    }
    let own = snapshot.config.revision();
    let head = table.head()?;
    if head <= own {
        // A head below the held revision is a lagging read.
        return Ok(());
    }
    control.send(ControlMsg::Changes(table.log_after(own)?));
    Ok(())
}
