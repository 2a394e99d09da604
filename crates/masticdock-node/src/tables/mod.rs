//! Watches the tables of the platform's store.

mod catalog;

use std::net::SocketAddr;
use std::time::Duration;

use masticdock_adapter::{Feed, Row, StoreClient, StoreError, Table};
use rand::Rng;
use tokio::time::sleep;

pub(crate) use catalog::Catalog;

/// Timeout of a poll that does not wait for changes. A slow store answers within 250
/// ms.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Backoff after the first failed call, in milliseconds.
const BACKOFF_MIN_MS: u64 = 100;
/// Maximum backoff after failed calls, in milliseconds. It bounds the time until the
/// recovery of the store is noticed.
const BACKOFF_MAX_MS: u64 = 400;

/// Event that a [`TableWatcher`] delivers.
#[derive(Debug)]
pub(crate) enum TableEvent {
    /// All rows of the table.
    Snapshot(Vec<Row>),
    /// Rows that changed since the previous event.
    Changes(Vec<Row>),
    /// The store answers again after failures. Delivered before the snapshot or the
    /// changes of the call that succeeded.
    Recovered,
}

/// Long-polls a table of the store and delivers its changes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TableWatcher {
    /// Table to watch.
    pub(crate) table: Table,
    /// Address of the store.
    pub(crate) store: SocketAddr,
    /// Maximum duration of one long poll. Longer polls cost fewer calls, which are
    /// priced, but detect a lost connection later: it shows only when a poll ends
    /// without a response.
    pub(crate) long_poll_wait: Duration,
    /// Delay after each change, so that one call returns all changes of a burst.
    pub(crate) batch_window: Duration,
}

impl TableWatcher {
    /// Watches the table and passes each event to `apply`; never returns.
    pub(crate) async fn run(self, mut apply: impl FnMut(TableEvent)) {
        let store = StoreClient::new(self.store);
        let mut version = None;
        let mut failures = 0_u32;
        loop {
            // After a failure, polls without waiting, so that the recovery of the store
            // is detected at once.
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
                    "the store no longer has the changes since this version; rereading the table"
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
                "the store does not answer; the last known rows stay in effect"
            );
        }
        let backoff_ms = (BACKOFF_MIN_MS << (*failures).min(3)).min(BACKOFF_MAX_MS);
        *failures += 1;
        let jitter_ms = rand::rng().random_range(0..=backoff_ms / 2);
        sleep(Duration::from_millis(backoff_ms / 2 + jitter_ms)).await;
    }
}
