//! Following the tables of the platform's store.

mod catalog;

use std::net::SocketAddr;
use std::time::Duration;

use masticdock_adapter::{Feed, Row, StoreClient, StoreError, Table};
use rand::Rng;
use tokio::time::sleep;

pub(crate) use catalog::Catalog;

/// Time in which a call that asks for changes without waiting has to be answered.
/// A store that is slow answers within a quarter of a second.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// First pause after a failed call, in milliseconds.
const BACKOFF_MIN_MS: u64 = 100;
/// Longest pause after failed calls, in milliseconds; a store that returned is
/// noticed within it.
const BACKOFF_MAX_MS: u64 = 400;

/// What a table's follower tells.
#[derive(Debug)]
pub(crate) enum TableEvent {
    /// All rows of the table.
    Snapshot(Vec<Row>),
    /// Rows that changed.
    Changes(Vec<Row>),
    /// The store answers again after failures that began before this snapshot or change.
    Recovered,
}

/// Settings of a follower.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TableWatcher {
    /// Table to follow.
    pub(crate) table: Table,
    /// Address of the store.
    pub(crate) store: SocketAddr,
    /// Longest wait for a change in one call. Calls are priced; a path that fell
    /// silent shows only when a wait ends without an answer.
    pub(crate) long_poll_wait: Duration,
    /// Time between two calls while changes come in quick succession.
    pub(crate) batch_window: Duration,
}

impl TableWatcher {
    /// Follows the table for ever and hands each event to `apply`.
    pub(crate) async fn run(self, mut apply: impl FnMut(TableEvent)) {
        let store = StoreClient::new(self.store);
        let mut version = None;
        let mut failures = 0_u32;
        loop {
            // A store that was away is asked without waiting, so that its return
            // shows at once.
            let wait = if failures == 0 {
                self.long_poll_wait
            } else {
                Duration::ZERO
            };
            let result = self.poll(&store, version, wait).await;
            let event = match result {
                Ok((event, new_version)) => {
                    version = new_version;
                    event
                }
                Err(error) => {
                    self.back_off(&mut failures, &error).await;
                    continue;
                }
            };
            if failures > 0 {
                log::info!(
                    event = "dependency.regained",
                    dependency = "store",
                    table = self.table.as_str(),
                    failures = failures;
                    "the store answers again"
                );
                failures = 0;
                apply(TableEvent::Recovered);
            }
            let Some(event) = event else {
                continue;
            };
            apply(event);
            if !self.batch_window.is_zero() {
                sleep(self.batch_window).await;
            }
        }
    }

    async fn poll(
        &self,
        store: &StoreClient,
        version: Option<u64>,
        wait: Duration,
    ) -> Result<(Option<TableEvent>, Option<u64>), StoreError> {
        let Some(version) = version else {
            let snapshot = store.read(self.table).await?;
            return Ok((
                Some(TableEvent::Snapshot(snapshot.rows)),
                Some(snapshot.version),
            ));
        };
        match store
            .poll_changes(self.table, version, wait, RESPONSE_TIMEOUT)
            .await?
        {
            Feed::Changes(rows, new_version) if rows.is_empty() => Ok((None, Some(new_version))),
            Feed::Changes(rows, new_version) => {
                Ok((Some(TableEvent::Changes(rows)), Some(new_version)))
            }
            Feed::HistoryLost => {
                log::warn!(
                    event = "store.history_lost",
                    table = self.table.as_str(),
                    version = version;
                    "the store dropped its history; the table is read anew"
                );
                Ok((None, None))
            }
        }
    }

    async fn back_off(&self, failures: &mut u32, error: &StoreError) {
        if *failures == 0 {
            log::warn!(
                event = "dependency.lost",
                dependency = "store",
                table = self.table.as_str(),
                error:% = error;
                "the store does not answer; the last known rows stay in force"
            );
        }
        let backoff_ms = (BACKOFF_MIN_MS << (*failures).min(3)).min(BACKOFF_MAX_MS);
        *failures += 1;
        let jitter_ms = rand::rng().random_range(0..=backoff_ms / 2);
        sleep(Duration::from_millis(backoff_ms / 2 + jitter_ms)).await;
    }
}
