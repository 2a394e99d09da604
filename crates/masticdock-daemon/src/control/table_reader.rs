//! Thread that reads the configuration from the table.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use compact_str::CompactString;
use masticdock_core::event;
use masticdock_core::membership::is_reader;

use super::peer_adoption::adopt_from_peers;
use super::{ConfigReadError, ConfigTable, ControlHandle, ControlMsg, Snapshot};
use crate::event_log::log_event;
use crate::net::rpc::RpcHandle;

/// Readers of the table in each availability zone.
const READERS_PER_ZONE: usize = 2;
/// Failed reads after which a process without a configuration asks its peers.
const FAILURES_BEFORE_PEERS: u32 = 2;

/// What the thread works with.
pub(super) struct TableReader {
    pub(super) table: ConfigTable,
    pub(super) interval: Duration,
    pub(super) control: ControlHandle,
    pub(super) rpc: RpcHandle,
    pub(super) own_id: CompactString,
    /// Set while gossip shows a higher revision that no peer has handed over.
    pub(super) behind: Arc<AtomicBool>,
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
        if snapshot.adopted && !self.has_duty(&snapshot) {
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

    fn has_duty(&self, snapshot: &Snapshot) -> bool {
        if self.behind.load(Ordering::Relaxed) {
            return true;
        }
        let own = snapshot.members.iter().find(|m| m.id == self.own_id);
        own.is_none_or(|own| is_reader(b"table", &snapshot.members, own, READERS_PER_ZONE))
    }

    fn read_once(&self, snapshot: &Snapshot) -> Result<(), ConfigReadError> {
        if !snapshot.adopted {
            let state = self.table.adopt()?;
            self.control.send(ControlMsg::Adopted(state));
            return Ok(());
        }
        let own = snapshot.config.revision();
        let head = self.table.head()?;
        // Set again by the next tick while gossip still shows a higher revision.
        self.behind.store(false, Ordering::Relaxed);
        if head <= own {
            // A head below the held revision is a lagging read.
            return Ok(());
        }
        let changes = self.table.log_after(own)?;
        self.control.send(ControlMsg::Changes(changes));
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
            "table down; a peer holds revision {}",
            state.revision()
        );
        self.control.send(ControlMsg::Adopted(state));
    }
}
