//! Watches the tables of the platform's store.

mod catalog;

use std::net::SocketAddr;
use std::time::Duration;

use masticdock_adapter::{Feed, NodeBounds, Row, StoreClient, StoreError, Table};
use masticdock_core::serving::{PollLimits, change_age, poll_pause};
use masticdock_core::units::MonoMs;
use rand::Rng;
use tokio::time::{Instant, sleep};

use crate::{clock, pauses};

pub(crate) use catalog::Catalog;

/// Timeout of a poll that does not wait for changes. A slow store answers within 250
/// ms.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Backoff after the first failed call, in milliseconds.
const BACKOFF_MIN_MS: u64 = 100;
/// Maximum backoff after failed calls, in milliseconds. It bounds the time until the
/// recovery of the store is noticed.
const BACKOFF_MAX_MS: u64 = 400;

/// Time after the end of a long poll by which its successor has a reply, if the store
/// answers.
const POLL_SLACK: Duration = Duration::from_millis(1_500);

/// Returns the limits that the polls of the tables have to keep.
pub(crate) const fn poll_limits(bounds: &NodeBounds) -> PollLimits {
    PollLimits {
        configuration_deadline: Duration::from_millis(bounds.configuration_deadline_ms),
        stable: Duration::from_millis(bounds.stable_ms),
        drain: Duration::from_millis(bounds.drain_ms),
    }
}

/// Returns the age up to which what an entry knows of a table is current, in
/// milliseconds.
pub(crate) fn current_age_max_ms(bounds: &NodeBounds) -> u64 {
    let age = poll_limits(bounds).long_poll() + POLL_SLACK;
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

/// Event that a [`TableWatcher`] delivers.
#[derive(Debug)]
pub(crate) enum TableEvent {
    /// All rows of the table, and the greatest age in milliseconds that changes since the
    /// previous event can have, unless the store lost its history.
    Snapshot(Vec<Row>, u64),
    /// Rows that changed since the previous event, and the greatest age that the changes
    /// can have, in milliseconds.
    Changes(Vec<Row>, u64),
    /// A poll ended without changes, so the rows are still those of the table.
    Unchanged,
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
}

/// Range of the pause after a poll, in which further changes gather.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PollPause {
    /// Pause after a poll whose reply arrived quickly.
    pub(crate) min: Duration,
    /// Maximum pause after a poll whose reply filled the link.
    pub(crate) max: Duration,
}

/// Time before the reply to a poll in which this process may have missed a change.
#[derive(Debug, Clone, Copy)]
struct ObservationGap {
    /// Time before the poll in which none was open; `None` after failed polls.
    pause: Option<Duration>,
    /// When the poll was sent.
    sent_at: MonoMs,
    /// When the process last ran before a pause that a former poll overlapped.
    unobserved_since: Option<MonoMs>,
}

impl ObservationGap {
    /// Returns when the process last ran before it paused during this or a former poll.
    fn unobserved_since(&self) -> Option<MonoMs> {
        let paused_at = pauses::last_after(self.sent_at).map(|pause| pause.began_at);
        self.unobserved_since.or(paused_at)
    }

    /// Returns the time since the process last ran before such a pause, or zero.
    fn unobserved(&self) -> Duration {
        let now = clock::now();
        now.since(self.unobserved_since().unwrap_or(now))
    }
}

impl TableWatcher {
    /// Watches the table and passes each event to `apply`, which returns the pause until
    /// the next poll; never returns.
    pub(crate) async fn run(self, mut apply: impl FnMut(TableEvent) -> PollPause) {
        let store = StoreClient::new(self.store);
        let mut version = None;
        let mut failures = 0_u32;
        let mut last_reply_at = Instant::now();
        // Since when this process knows nothing of the table because it did not run.
        let mut unobserved_since: Option<MonoMs> = None;
        loop {
            // After a failure, polls without waiting, so that the recovery of the store
            // is detected at once.
            let wait = if failures == 0 {
                self.long_poll_wait
            } else {
                Duration::ZERO
            };
            let pause = (failures == 0).then(|| last_reply_at.elapsed());
            let sent_at = clock::now();
            let gap = ObservationGap {
                pause,
                sent_at,
                unobserved_since,
            };
            let result = self.poll(&store, version, wait, gap).await;
            let event = match result {
                Ok((event, new_version)) => {
                    version = new_version;
                    last_reply_at = Instant::now();
                    // Without an event, the table is read as a whole next.
                    unobserved_since = event.is_none().then(|| gap.unobserved_since()).flatten();
                    event
                }
                Err(error) => {
                    // A poll that overlaps a pause can time out although the store answered.
                    unobserved_since = pauses::last_after(sent_at).map(|pause| pause.began_at);
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
            let Some((event, body_duration)) = event else {
                continue;
            };
            let is_unchanged = matches!(event, TableEvent::Unchanged);
            let pause = apply(event);
            if !is_unchanged {
                sleep(poll_pause(body_duration, pause.min, pause.max)).await;
            }
        }
    }

    async fn poll(
        &self,
        store: &StoreClient,
        version: Option<u64>,
        wait: Duration,
        gap: ObservationGap,
    ) -> Result<(Option<(TableEvent, Duration)>, Option<u64>), StoreError> {
        let Some(version) = version else {
            let snapshot = store.read(self.table).await?;
            let unobserved_ms = u64::try_from(gap.unobserved().as_millis()).unwrap_or(u64::MAX);
            let event = TableEvent::Snapshot(snapshot.rows, unobserved_ms);
            return Ok((
                Some((event, snapshot.body_duration)),
                Some(snapshot.version),
            ));
        };
        let sent_at = Instant::now();
        match store
            .poll_changes(self.table, version, wait, RESPONSE_TIMEOUT)
            .await?
        {
            Feed::Changes { rows, version, .. } if rows.is_empty() => {
                Ok((Some((TableEvent::Unchanged, Duration::ZERO)), Some(version)))
            }
            Feed::Changes {
                rows,
                version,
                body_duration,
            } => {
                let waited = sent_at.elapsed().saturating_sub(body_duration);
                let age = change_age(waited, gap.pause, gap.unobserved()) + body_duration;
                let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
                let event = TableEvent::Changes(rows, age_ms);
                Ok((Some((event, body_duration)), Some(version)))
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
