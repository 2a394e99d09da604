//! Watches the tables of the platform's store.

mod catalog;
mod evacuations;

use std::net::SocketAddr;
use std::time::Duration;

use masticdock_adapter::{Feed, NodeBounds, Row, StoreClient, StoreError, Table};
use masticdock_core::serving::{
    ChangeAge, PollLimits, PollReply, StoreEra, StorePosition, TableObservation, poll_pause,
};
use masticdock_core::units::MonoMs;
use rand::Rng;
use tokio::time::sleep;

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

/// Time after a pause of this process in which polls may fail although the store answers,
/// in milliseconds.
const WAKING_MS: u64 = 2_000;

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

/// All rows of a table.
#[derive(Debug)]
pub(crate) struct TableSnapshot {
    pub(crate) rows: Vec<Row>,
    /// How old changes since the previous event can be.
    pub(crate) age: ChangeAge,
    /// Era of the store in which the table was read.
    pub(crate) era: Option<StoreEra>,
    /// True if its later changes follow; a single read does not tell when an evacuation ends.
    pub(crate) is_followed: bool,
}

/// Event that a [`TableWatcher`] delivers.
#[derive(Debug)]
pub(crate) enum TableEvent {
    /// All rows of the table.
    Snapshot(TableSnapshot),
    /// Rows that changed since the previous event, and how old the changes can be.
    Changes(Vec<Row>, ChangeAge),
    /// A poll ended without changes, so the rows are still those of the table.
    Unchanged,
    /// The store answers again after failures. Delivered before the snapshot or the
    /// changes of the call that succeeded.
    Recovered {
        /// Beginning of the last call that failed. The store may have been reachable since.
        reachable_since: MonoMs,
    },
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

/// Returns whether this process has paused shortly before.
fn is_waking() -> bool {
    pauses::after(MonoMs(clock::now().0.saturating_sub(WAKING_MS))).is_some()
}

fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl TableWatcher {
    /// Watches the table and passes each event to `apply`, which returns the pause until
    /// the next poll; never returns.
    pub(crate) async fn run(self, mut apply: impl FnMut(TableEvent) -> PollPause) {
        let store = StoreClient::new(self.store);
        let mut position = None;
        let mut failures = 0_u32;
        let mut attempt_ended_at = clock::now();
        let mut reachable_since = clock::started_at();
        let mut has_read = false;
        let mut observation = TableObservation::new(attempt_ended_at);
        loop {
            // After a failure, polls without waiting, so that the recovery of the store
            // is detected at once.
            let wait = if failures == 0 {
                self.long_poll_wait
            } else {
                Duration::ZERO
            };
            if let Some(pause) = pauses::after(attempt_ended_at) {
                observation.record_pause(&pause);
            }
            let attempt_began_at = clock::now();
            let unread_since = (!has_read).then_some(reachable_since);
            let result = self
                .poll(&store, position, wait, &mut observation, unread_since)
                .await;
            attempt_ended_at = clock::now();
            let event = match result {
                Ok((event, new_position)) => {
                    position = new_position;
                    event
                }
                Err(error) => {
                    observation.record_failure(is_waking());
                    reachable_since = attempt_began_at;
                    self.log_failure(failures, &error);
                    let took = attempt_ended_at.since(attempt_began_at);
                    sleep(backoff(failures).saturating_sub(took)).await;
                    failures += 1;
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
                apply(TableEvent::Recovered { reachable_since });
            }
            let Some((event, body_duration)) = event else {
                continue;
            };
            has_read = true;
            let is_unchanged = matches!(event, TableEvent::Unchanged);
            let pause = apply(event);
            if !is_unchanged {
                sleep(poll_pause(body_duration, pause.min, pause.max)).await;
            }
        }
    }

    /// Polls the table once. `unread_since` is the time since which the table can have been
    /// read, if this poll is the first to do so.
    async fn poll(
        &self,
        store: &StoreClient,
        position: Option<StorePosition>,
        wait: Duration,
        observation: &mut TableObservation,
        unread_since: Option<MonoMs>,
    ) -> Result<(Option<(TableEvent, Duration)>, Option<StorePosition>), StoreError> {
        let sent_at = clock::now();
        let mut observe = |body_duration: Duration| {
            let reply = PollReply {
                sent_at,
                read_at: MonoMs(clock::now().0.saturating_sub(duration_ms(body_duration))),
                pause: pauses::after(sent_at),
            };
            let known_until = observation.known_until();
            let pause = known_until.and_then(pauses::longest_after);
            let age = ChangeAge {
                max_ms: duration_ms(observation.change_age(&reply) + body_duration),
                running_since: pause.map(|pause| pause.ended_at),
                follows_gap: observation.has_gap(sent_at),
            };
            observation.record_reply(&reply);
            unread_since.map_or(age, ChangeAge::unknown)
        };
        let Some(position) = position else {
            let snapshot = store.read(self.table).await?;
            let event = TableEvent::Snapshot(TableSnapshot {
                rows: snapshot.rows,
                age: observe(snapshot.body_duration),
                era: snapshot.position.era,
                is_followed: true,
            });
            return Ok((
                Some((event, snapshot.body_duration)),
                Some(snapshot.position),
            ));
        };
        match store
            .poll_changes(self.table, position, wait, RESPONSE_TIMEOUT)
            .await?
        {
            Feed::Changes {
                rows,
                position,
                body_duration,
            } => {
                let age = observe(body_duration);
                if rows.is_empty() {
                    return Ok((
                        Some((TableEvent::Unchanged, Duration::ZERO)),
                        Some(position),
                    ));
                }
                let event = TableEvent::Changes(rows, age);
                Ok((Some((event, body_duration)), Some(position)))
            }
            Feed::HistoryLost => {
                log::warn!(
                    event = "store.history_lost",
                    table = self.table.as_str(),
                    version = position.version;
                    "the store no longer has the changes since this version; rereading the table"
                );
                observation.record_failure(is_waking());
                Ok((None, None))
            }
            // The changes that the next read finds are not older than the last reply, in
            // whichever era they were made, so the observation stays valid.
            Feed::Restored { era } => {
                log::warn!(
                    event = "store.restored",
                    table = self.table.as_str(),
                    old_era = position.era.map_or(0, |era| era.0),
                    era = era.map_or(0, |era| era.0);
                    "the store came back from a copy; rereading the table"
                );
                Ok((None, None))
            }
        }
    }

    fn log_failure(&self, failures: u32, error: &StoreError) {
        if failures > 0 {
            return;
        }
        log::warn!(
            event = "dependency.lost",
            dependency = "store",
            table = self.table.as_str(),
            error:% = error;
            "the store does not answer; the last known rows stay in effect"
        );
    }
}

/// Returns the time between the beginnings of two calls after `failures` failed ones. A call
/// that took longer is followed at once by the next one, so that the return of the store shows
/// within one timeout.
fn backoff(failures: u32) -> Duration {
    let backoff_ms = (BACKOFF_MIN_MS << failures.min(3)).min(BACKOFF_MAX_MS);
    let jitter_ms = rand::rng().random_range(0..=backoff_ms / 2);
    Duration::from_millis(backoff_ms / 2 + jitter_ms)
}
