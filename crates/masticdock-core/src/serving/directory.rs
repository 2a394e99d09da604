//! Upstreams as their rows in the platform's store tell.
//!
//! A row that vanishes while the store was away may only have lapsed: a living
//! upstream writes it again soon after the store returns. Such an upstream stays
//! usable for a short time, and the results of connections judge it meanwhile.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::{ModelId, ServiceId, UpstreamId, ZoneId};
use crate::units::MonoMs;

use super::versions::VersionNumber;

/// Layers of one version that an upstream holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LayerSpan {
    /// First layer.
    pub from: u32,
    /// Layer after the last one.
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
    /// Returns the version of which all of `layers` layers are held, if any.
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
    /// Id of this incarnation.
    pub id: UpstreamId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Requests that it processes at once.
    pub slots: u32,
    /// True once it takes no new requests.
    pub leaving: bool,
    /// Models with the layers it holds.
    pub models: Vec<ModelState>,
    /// Start of the process, in milliseconds since the Unix epoch; tells a
    /// restart under the same id.
    pub started_at_ms: Option<u64>,
}

/// What a change of a row means for users of the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DirectoryChange {
    /// A new upstream, or one that was restarted under its id.
    Joined(Upstream),
    /// The row of a known upstream changed.
    Updated(Upstream),
    /// The upstream leaves and takes no new requests.
    Leaving(UpstreamId),
    /// The upstream is gone.
    Gone(UpstreamId),
    /// The row vanished while the store was away; the upstream stays usable
    /// until the time given.
    Lapsed(UpstreamId, MonoMs),
}

#[derive(Debug, Clone)]
struct Entry {
    upstream: Upstream,
    lapses_at: Option<MonoMs>,
}

/// All known upstreams.
#[derive(Debug, Clone)]
pub struct Directory {
    entries: BTreeMap<UpstreamId, Entry>,
    /// Time after the store's return in which lapsed rows come back, in milliseconds.
    lapse_grace_ms: u64,
    store_recovered_at: Option<MonoMs>,
}

impl Directory {
    /// Makes an empty directory.
    #[must_use]
    pub const fn new(lapse_grace_ms: u64) -> Self {
        Self {
            entries: BTreeMap::new(),
            lapse_grace_ms,
            store_recovered_at: None,
        }
    }

    /// Notes that the store answers again after it did not.
    pub const fn store_recovered(&mut self, now: MonoMs) {
        self.store_recovered_at = Some(now);
    }

    /// Applies a row of an upstream.
    pub fn put(&mut self, upstream: Upstream) -> Option<DirectoryChange> {
        let id = upstream.id.clone();
        let previous = self.entries.insert(
            id.clone(),
            Entry {
                upstream: upstream.clone(),
                lapses_at: None,
            },
        );
        let Some(previous) = previous else {
            if upstream.leaving {
                return Some(DirectoryChange::Leaving(id));
            }
            return Some(DirectoryChange::Joined(upstream));
        };
        let previous = previous.upstream;
        if previous.started_at_ms != upstream.started_at_ms {
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

    /// Applies the removal of a row, or a row that names no usable upstream.
    pub fn remove(&mut self, id: &UpstreamId, now: MonoMs) -> Option<DirectoryChange> {
        let entry = self.entries.get_mut(id)?;
        let grace_ends_at = self
            .store_recovered_at
            .map(|regained_at| regained_at.plus_ms(self.lapse_grace_ms));
        if let Some(grace_ends_at) = grace_ends_at
            && now < grace_ends_at
            && !entry.upstream.leaving
        {
            if entry.lapses_at.is_some() {
                return None;
            }
            entry.lapses_at = Some(grace_ends_at);
            return Some(DirectoryChange::Lapsed(id.clone(), grace_ends_at));
        }
        self.entries.remove(id);
        Some(DirectoryChange::Gone(id.clone()))
    }

    /// Replaces everything by a full read of the rows.
    pub fn replace(&mut self, rows: Vec<Upstream>, now: MonoMs) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        let known: Vec<UpstreamId> = self.entries.keys().cloned().collect();
        for id in known {
            if rows.iter().any(|row| row.id == id) {
                continue;
            }
            changes.extend(self.remove(&id, now));
        }
        for row in rows {
            changes.extend(self.put(row));
        }
        changes
    }

    /// Drops upstreams whose grace has passed.
    pub fn expire(&mut self, now: MonoMs) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        self.entries.retain(|id, entry| {
            let keep = entry.lapses_at.is_none_or(|at| now < at);
            if !keep {
                changes.push(DirectoryChange::Gone(id.clone()));
            }
            keep
        });
        changes
    }

    /// Returns the upstream with this id.
    #[must_use]
    pub fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.entries.get(id).map(|entry| &entry.upstream)
    }

    /// Iterates over the upstreams of a service that are not leaving.
    pub fn serving<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Upstream> {
        self.iter()
            .filter(move |upstream| upstream.service == *service && !upstream.leaving)
    }

    /// Iterates over all known upstreams, leaving ones included.
    pub fn iter(&self) -> impl Iterator<Item = &Upstream> {
        self.entries.values().map(|entry| &entry.upstream)
    }
}
