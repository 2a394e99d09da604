//! Thread that reads the configuration from the table service.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use compact_str::CompactString;
use masticdock_core::config_log::missing_revision;
use masticdock_core::event;
use masticdock_core::membership::is_reader;

use super::peer_adoption::adopt_from_peers;
use super::{ConfigReadError, ConfigTable, ControlHandle, ControlMsg, Snapshot};
use crate::event_log::log_event;
use crate::net::rpc::RpcHandle;

/// Number of processes in each availability zone that poll the table.
const READERS_PER_ZONE: usize = 2;
/// Consecutive failed reads after which a process without a configuration asks its peers.
const FAILURES_BEFORE_PEERS: u32 = 2;

/// Dependencies of the thread.
pub(super) struct TableReader {
    pub(super) table: ConfigTable,
    pub(super) interval: Duration,
    pub(super) control: ControlHandle,
    pub(super) rpc: RpcHandle,
    pub(super) own_id: CompactString,
    /// Set when the table has to be read: after a gap in the received changes, or while gossip
    /// shows a higher revision that could not be pulled from a peer in time.
    pub(super) table_read_due: Arc<AtomicBool>,
}

impl TableReader {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be started.
    pub(super) fn spawn(self) -> anyhow::Result<()> {
        thread::Builder::new()
            .name("table-reader".to_owned())
            .spawn(move || {
                let mut failures = 0;
                loop {
                    failures = self.poll_once(failures);
                    thread::sleep(self.interval);
                }
            })?;
        Ok(())
    }

    fn poll_once(&self, failures: u32) -> u32 {
        let snapshot = self.control.snapshot();
        if snapshot.adopted && !self.must_read(&snapshot) {
            return 0;
        }
        match self.read_once(&snapshot) {
            Ok(()) => {
                if failures > 0 {
                    log_event!(event::TABLE_AVAILABLE, "the table service answers again");
                }
                0
            }
            Err(error) => {
                if failures == 0 {
                    log_event!(event::TABLE_UNAVAILABLE, "{error}");
                }
                if !snapshot.adopted && failures + 1 >= FAILURES_BEFORE_PEERS {
                    self.adopt_from_peers(&snapshot);
                }
                failures + 1
            }
        }
    }

    fn must_read(&self, snapshot: &Snapshot) -> bool {
        if self.table_read_due.load(Ordering::Relaxed) {
            return true;
        }
        let own = snapshot.members.iter().find(|m| m.id == self.own_id);
        own.is_none_or(|own| is_reader(b"table", &snapshot.members, own, READERS_PER_ZONE))
    }

    pub(super) fn read_once(&self, snapshot: &Snapshot) -> Result<(), ConfigReadError> {
        if !snapshot.adopted {
            let state = self.table.adopt()?;
            self.control.send(ControlMsg::Adopted(state));
            return Ok(());
        }
        let own = snapshot.config.revision();
        let head = self.table.head()?;
        // The next tick of the control thread sets the flag again if gossip still shows a higher
        // revision.
        self.table_read_due.store(false, Ordering::Relaxed);
        if head <= own {
            // A head below the held revision comes from a stale read.
            return Ok(());
        }
        let changes = self.table.log_after(own)?;
        let message = if missing_revision(own, head, &changes).is_some() {
            // The rows of the resources hold the effect of a change whose log row cannot be read.
            ControlMsg::Adopted(self.table.adopt()?)
        } else {
            ControlMsg::Changes(changes)
        };
        self.control.send(message);
        Ok(())
    }

    fn adopt_from_peers(&self, snapshot: &Snapshot) {
        let adopted = adopt_from_peers(&self.rpc, snapshot, &self.own_id);
        let Some(state) = adopted else {
            log::debug!("too few peers answered, or none holds a configuration");
            return;
        };
        log_event!(
            event::CONFIG_ADOPTED_FROM_PEER,
            "table service unavailable; adopted revision {} from a peer",
            state.revision()
        );
        self.control.send(ControlMsg::Adopted(state));
    }
}
