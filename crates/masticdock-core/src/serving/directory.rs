//! Directory of upstreams, built from their rows in the platform's store.
//!
//! A row that is missing after a store outage may merely have expired: a live
//! upstream writes it again soon after the store recovers. Such an upstream stays
//! usable for a grace period, in which connection results decide whether it is used.
//!
//! Failure: the store was never away, only the path of this process to it, and the row of an
//! upstream that leaves was removed meanwhile. A process cannot tell this from an outage, so
//! the grace period ends in any case before the time from which it has to leave such an
//! upstream out, counted from the earliest moment at which the path may have been back.
//!
//! A store that comes back from a copy lists upstreams again that left since. A process
//! that announced its shutdown stays unusable for good, one whose row was only removed
//! until it writes again.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::field_hash::hash_fields;
use crate::ids::{ModelId, ServiceId, UpstreamId, ZoneId};
use crate::units::MonoMs;

use super::crashes::UpstreamProcess;
use super::versions::VersionNumber;

/// Contiguous layers of one version that an upstream holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LayerSpan {
    /// First layer.
    pub from: u32,
    /// End of the range, exclusive.
    pub until: u32,
    /// Version of the layers.
    pub version: VersionNumber,
}

/// A model as an upstream reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelState {
    /// Name of the model.
    pub model: ModelId,
    /// Layers held.
    pub layers: Vec<LayerSpan>,
}

impl ModelState {
    /// Returns the newest version of which all `layers` layers are held, if any.
    #[must_use]
    pub fn complete_version(&self, layers: u32) -> Option<VersionNumber> {
        self.layers
            .iter()
            .filter(|span| span.from == 0 && span.until >= layers.max(1))
            .map(|span| span.version)
            .max()
    }
}

/// An upstream as its row describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Id of this incarnation of the upstream.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// True once it accepts no new requests.
    pub leaving: bool,
    /// Models and the layers of them that it holds.
    pub models: Vec<ModelState>,
    /// Start time of the process, in milliseconds since the Unix epoch; a change
    /// shows a restart under the same id.
    pub started_at_ms: Option<u64>,
    /// Time for which it stays cold after a start, in milliseconds, as its row says.
    pub cold_left_ms: Option<u64>,
}

impl Upstream {
    /// Returns the process of the upstream. A hash of the id stands for the start time if the
    /// row does not tell it.
    #[must_use]
    pub fn process(&self) -> UpstreamProcess {
        let id_hash = || u64::from_le_bytes(hash_fields(&[self.id.as_str().as_bytes()]));
        UpstreamProcess {
            vm: self.address.ip(),
            started_at_ms: self.started_at_ms.unwrap_or_else(id_hash),
        }
    }

    /// Returns whether `started_at_ms`, the start of a process that was seen later in the
    /// place of this one, shows that this process is gone.
    #[must_use]
    pub fn is_replaced_by(&self, started_at_ms: Option<u64>) -> bool {
        match (self.started_at_ms, started_at_ms) {
            (Some(own), Some(later)) => own < later,
            _ => false,
        }
    }
}

/// Change to the directory that follows from a change of rows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectoryChange {
    /// The upstream is new or was restarted under the same id.
    Joined(Upstream),
    /// The row of a known upstream changed.
    Updated(Upstream),
    /// The upstream is shutting down and accepts no new requests.
    Leaving(UpstreamId),
    /// The upstream was removed.
    Gone(UpstreamId),
    /// The row disappeared around a store outage; the upstream stays usable until
    /// the given time.
    Lapsed(UpstreamId, MonoMs),
}

#[derive(Debug, Clone)]
struct Record {
    /// The upstream; leaving while it is withheld.
    upstream: Upstream,
    expires_at: Option<MonoMs>,
    /// Time until which the upstream is unusable because its row may be from a copy.
    withheld_until: Option<MonoMs>,
}

impl Record {
    const fn has_announced_leaving(&self) -> bool {
        self.upstream.leaving && self.withheld_until.is_none()
    }

    fn is_usable(&self, now: MonoMs) -> bool {
        !self.upstream.leaving && self.expires_at.is_none_or(|expires_at| now < expires_at)
    }
}

/// A process that left.
#[derive(Debug, Clone, Copy)]
struct Departure {
    started_at_ms: Option<u64>,
    announced: bool,
    at: MonoMs,
}

/// How a row reached this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RowSource {
    /// The upstream wrote it since the previous reply.
    Write,
    /// It was in the table.
    Table,
    /// It was in the table of a store that came back from a copy.
    Copy,
}

/// Time after the return of the store from a copy by which it has removed the rows of
/// upstreams that do not write, in milliseconds.
const WITHHELD_MS: u64 = 6_000;
/// Time for which a process that left is remembered, in milliseconds; longer than any copy
/// is old.
const DEPARTURES_KEPT_MS: u64 = 600_000;

/// Time that a request takes from the check of its upstream to its arrival, in milliseconds.
const ARRIVAL_MS: u64 = 250;

/// Settings of a [`Directory`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DirectorySettings {
    /// Time after the return of the store in which upstreams restore expired rows, in
    /// milliseconds.
    pub grace_period_ms: u64,
    /// Time after the return of the path to the store from which upstreams without a row must
    /// receive no requests, in milliseconds.
    pub removal_deadline_ms: u64,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        Self {
            grace_period_ms: 2_000,
            removal_deadline_ms: 3_000,
        }
    }
}

/// All known upstreams.
#[derive(Debug, Clone)]
pub struct Directory {
    settings: DirectorySettings,
    records: BTreeMap<UpstreamId, Record>,
    departures: BTreeMap<UpstreamId, Departure>,
    /// End of the grace period after the latest return of the store.
    grace_ends_at: Option<MonoMs>,
}

impl Directory {
    /// Creates an empty directory.
    #[must_use]
    pub const fn new(settings: DirectorySettings) -> Self {
        Self {
            settings,
            records: BTreeMap::new(),
            departures: BTreeMap::new(),
            grace_ends_at: None,
        }
    }

    /// Records that the store is reachable again. It may have been so since `reachable_since`,
    /// the beginning of the last call that failed.
    pub fn store_recovered(&mut self, reachable_since: MonoMs, now: MonoMs) {
        let usable_ms = (self.settings.removal_deadline_ms).saturating_sub(ARRIVAL_MS);
        let grace_ends_at = now.plus_ms(self.settings.grace_period_ms);
        self.grace_ends_at = Some(grace_ends_at.min(reachable_since.plus_ms(usable_ms)));
    }

    /// Inserts or updates the row that an upstream wrote.
    pub fn put(&mut self, upstream: Upstream) -> Option<DirectoryChange> {
        self.insert(upstream, RowSource::Write, MonoMs(0))
    }

    /// Returns whether a row that says nothing of a shutdown belongs to a process that left,
    /// and until when it counts as such.
    fn departure(&self, row: &Upstream, source: RowSource, now: MonoMs) -> (bool, Option<MonoMs>) {
        let record = self.records.get(&row.id);
        let departure = self.departures.get(&row.id);
        let (started_at_ms, announced) = match (record, departure) {
            (Some(record), _) => (
                record.upstream.started_at_ms,
                record.has_announced_leaving(),
            ),
            (None, Some(departure)) => (departure.started_at_ms, departure.announced),
            (None, None) => return (false, None),
        };
        if row.leaving || started_at_ms != row.started_at_ms {
            return (false, None);
        }
        // Without a start time, a restart under the same id looks like the same process.
        if announced && started_at_ms.is_some() {
            return (true, None);
        }
        let withheld_until = record.and_then(|record| record.withheld_until);
        let until = match source {
            RowSource::Table => withheld_until.filter(|until| now < *until),
            RowSource::Copy if announced || record.is_none() || withheld_until.is_some() => {
                Some(now.plus_ms(WITHHELD_MS))
            }
            RowSource::Copy | RowSource::Write => None,
        };
        (until.is_some(), until)
    }

    fn insert(
        &mut self,
        mut upstream: Upstream,
        source: RowSource,
        now: MonoMs,
    ) -> Option<DirectoryChange> {
        let (has_left, withheld_until) = self.departure(&upstream, source, now);
        upstream.leaving |= has_left;
        let id = upstream.id.clone();
        let previous = self.records.insert(
            id.clone(),
            Record {
                upstream: upstream.clone(),
                expires_at: None,
                withheld_until,
            },
        );
        let Some(previous) = previous else {
            if upstream.leaving {
                return Some(DirectoryChange::Leaving(id));
            }
            return Some(DirectoryChange::Joined(upstream));
        };
        let previous = previous.upstream;
        let returns = previous.leaving && !upstream.leaving;
        if returns || previous.started_at_ms != upstream.started_at_ms {
            return Some(DirectoryChange::Joined(upstream));
        }
        if upstream.leaving && !previous.leaving {
            return Some(DirectoryChange::Leaving(id));
        }
        if previous == upstream {
            return None;
        }
        Some(DirectoryChange::Updated(upstream))
    }

    /// Applies the removal of a row, or its replacement by one without a usable upstream.
    pub fn remove(&mut self, id: &UpstreamId, now: MonoMs) -> Option<DirectoryChange> {
        let record = self.records.get_mut(id)?;
        if let Some(grace_ends_at) = self.grace_ends_at
            && now < grace_ends_at
            && !record.upstream.leaving
        {
            if record.expires_at.is_some() {
                return None;
            }
            record.expires_at = Some(grace_ends_at);
            return Some(DirectoryChange::Lapsed(id.clone(), grace_ends_at));
        }
        let record = self.records.remove(id)?;
        self.record_departure(id.clone(), &record, now);
        Some(DirectoryChange::Gone(id.clone()))
    }

    fn record_departure(&mut self, id: UpstreamId, record: &Record, now: MonoMs) {
        self.departures
            .retain(|_, departure| now.since_ms(departure.at) < DEPARTURES_KEPT_MS);
        let departure = Departure {
            started_at_ms: record.upstream.started_at_ms,
            announced: record.has_announced_leaving(),
            at: now,
        };
        self.departures.insert(id, departure);
    }

    /// Replaces the contents with a full read of the rows.
    pub fn replace(&mut self, rows: Vec<Upstream>, now: MonoMs) -> Vec<DirectoryChange> {
        self.replace_from(rows, RowSource::Table, now)
    }

    /// Replaces the contents with a full read of the rows after the store came back from a
    /// copy. Upstreams that joined since the copy was taken have the grace period to write
    /// their rows again.
    pub fn replace_restored(&mut self, rows: Vec<Upstream>, now: MonoMs) -> Vec<DirectoryChange> {
        self.grace_ends_at = Some(now.plus_ms(self.settings.grace_period_ms));
        self.replace_from(rows, RowSource::Copy, now)
    }

    fn replace_from(
        &mut self,
        rows: Vec<Upstream>,
        source: RowSource,
        now: MonoMs,
    ) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        let known: Vec<UpstreamId> = self.records.keys().cloned().collect();
        for id in known {
            if rows.iter().any(|row| row.id == id) {
                continue;
            }
            changes.extend(self.remove(&id, now));
        }
        for row in rows {
            changes.extend(self.insert(row, source, now));
        }
        changes
    }

    /// Removes upstreams whose grace period has ended, and makes those usable whose rows the
    /// store would have removed by now if they did not write.
    pub fn expire(&mut self, now: MonoMs) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        let is_due = |at: Option<MonoMs>| at.is_some_and(|at| now >= at);
        let expired = self
            .records
            .extract_if(.., |_, record| is_due(record.expires_at));
        let expired: Vec<(UpstreamId, Record)> = expired.collect();
        for (id, record) in expired {
            self.record_departure(id.clone(), &record, now);
            changes.push(DirectoryChange::Gone(id));
        }
        for record in self.records.values_mut() {
            if !is_due(record.withheld_until) {
                continue;
            }
            record.withheld_until = None;
            record.upstream.leaving = false;
            changes.push(DirectoryChange::Joined(record.upstream.clone()));
        }
        changes
    }

    /// Returns the upstream with this id.
    #[must_use]
    pub fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.records.get(id).map(|record| &record.upstream)
    }

    /// Returns whether a process that started later is listed under the id of an upstream, or
    /// at its address for the same service, which shows that the upstream is gone.
    #[must_use]
    pub fn has_later_process(&self, upstream: &Upstream) -> bool {
        self.iter().any(|other| {
            let has_its_place =
                other.address == upstream.address && other.service == upstream.service;
            (other.id == upstream.id || has_its_place)
                && upstream.is_replaced_by(other.started_at_ms)
        })
    }

    /// Iterates over the upstreams of a service that may receive requests.
    pub fn serving<'a>(
        &'a self,
        service: &'a ServiceId,
        now: MonoMs,
    ) -> impl Iterator<Item = &'a Upstream> {
        (self.records.values())
            .filter(move |record| record.upstream.service == *service && record.is_usable(now))
            .map(|record| &record.upstream)
    }

    /// Returns whether the upstream with this id may receive requests.
    #[must_use]
    pub fn is_serving(&self, id: &UpstreamId, now: MonoMs) -> bool {
        (self.records.get(id)).is_some_and(|record| record.is_usable(now))
    }

    /// Iterates over all known upstreams, including leaving ones.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.records.values().map(|record| &record.upstream)
    }
}
