//! What a process knows from the tables of the platform's store.

use std::collections::BTreeMap;
use std::rc::Rc;

use masticdock_adapter::{
    DeclaredVersion, OperatorRow, Row, decode_operator_row, decode_upstream_row,
};
use masticdock_core::ids::{ModelId, UpstreamId};
use masticdock_core::serving::{
    Configuration, Directory, DirectoryChange, Upstream, VersionTimeline,
};
use masticdock_core::units::MonoMs;

use super::TableEvent;
use crate::clock;

/// Time after the store's return in which lapsed rows come back, in
/// milliseconds; stated by the platform.
const LAPSED_ROW_GRACE_MS: u64 = 2_000;
/// Age that a version has at least when it is found at start, in milliseconds.
/// Its true age is unknown; a restarted process has to keep the bound only once
/// it has been up for some seconds, so this age is never too young.
const VERSION_AGE_AT_START_MS: u64 = 5_000;

/// Configuration, declared versions and upstreams.
#[derive(Debug)]
pub(crate) struct Catalog {
    /// Newest configuration; `None` until the first is read.
    pub(crate) configuration: Option<Rc<Configuration>>,
    /// Known upstreams.
    pub(crate) directory: Directory,
    /// True once the upstreams' table was read.
    pub(crate) upstreams_loaded: bool,
    versions: BTreeMap<ModelId, VersionTimeline>,
    operators_loaded: bool,
    version_deadline_ms: u64,
}

impl Catalog {
    /// Makes a catalog that knows nothing.
    pub(crate) const fn new(version_deadline_ms: u64) -> Self {
        Self {
            configuration: None,
            directory: Directory::new(LAPSED_ROW_GRACE_MS),
            upstreams_loaded: false,
            versions: BTreeMap::new(),
            operators_loaded: false,
            version_deadline_ms,
        }
    }

    /// Returns the declared versions of a model.
    pub(crate) fn timeline(&self, model: &ModelId) -> Option<&VersionTimeline> {
        self.versions.get(model)
    }

    /// Applies an event of the operators' table; returns true when a version was declared.
    pub(crate) fn apply_operator_event(&mut self, event: TableEvent) -> bool {
        match event {
            TableEvent::Recovered => false,
            TableEvent::Snapshot(rows) => {
                let is_first = !self.operators_loaded;
                self.operators_loaded = true;
                self.apply_operator_rows(&rows, is_first)
            }
            TableEvent::Changes(rows) => self.apply_operator_rows(&rows, false),
        }
    }

    fn apply_operator_rows(&mut self, rows: &[Row], at_start: bool) -> bool {
        let now = clock::now();
        let mut any_new = false;
        for row in rows {
            match decode_operator_row(row) {
                Ok(OperatorRow::Configuration(configuration)) => {
                    self.apply_configuration(*configuration);
                }
                Ok(OperatorRow::Version(declared)) => {
                    let age_ms = if at_start { VERSION_AGE_AT_START_MS } else { 0 };
                    let learnt_at = MonoMs(now.0.saturating_sub(age_ms));
                    any_new |= self.record_version(&declared, learnt_at, "store");
                }
                Ok(OperatorRow::Other) => {}
                Err(error) => log::warn!(
                    event = "row.unreadable",
                    key = row.key.as_str(),
                    error:% = error;
                    "a row of the operators cannot be read; the previous one stays in force"
                ),
            }
        }
        any_new
    }

    /// Records a declared version that was learnt at the time given; returns
    /// false when it is not newer than those known.
    pub(crate) fn record_version(
        &mut self,
        declared: &DeclaredVersion,
        learnt_at: MonoMs,
        from: &'static str,
    ) -> bool {
        let timeline = self
            .versions
            .entry(declared.model.clone())
            .or_insert_with(|| VersionTimeline::new(self.version_deadline_ms));
        if !timeline.declare(declared.version, learnt_at) {
            return false;
        }
        log::info!(
            event = "version.declared",
            model = declared.model.as_str(),
            weights = declared.version.0,
            age_ms = clock::now().since_ms(learnt_at),
            from = from;
            "a version of the weights is declared"
        );
        true
    }

    /// Returns the newest declared version of each model with its age in milliseconds.
    pub(crate) fn newest_versions(&self) -> Vec<(DeclaredVersion, u64)> {
        let now = clock::now();
        let mut newest = Vec::new();
        for (model, timeline) in &self.versions {
            let version = timeline.newest();
            if let Some(learnt_at) = timeline.learnt_at(version) {
                let declared = DeclaredVersion {
                    model: model.clone(),
                    version,
                };
                newest.push((declared, now.since_ms(learnt_at)));
            }
        }
        newest
    }

    /// Takes over a configuration unless a newer one is in force.
    fn apply_configuration(&mut self, configuration: Configuration) {
        let current = self
            .configuration
            .as_ref()
            .map_or(0, |current| current.version);
        if configuration.version <= current {
            return;
        }
        log::info!(
            event = "configuration.adopted",
            version = configuration.version,
            previous = current,
            routes = configuration.route_count();
            "a configuration is in force"
        );
        self.configuration = Some(Rc::new(configuration));
    }

    /// Applies an event of the upstreams' table and returns what changed.
    pub(crate) fn apply_upstream_event(&mut self, event: TableEvent) -> Vec<DirectoryChange> {
        let now = clock::now();
        let changes = match event {
            TableEvent::Recovered => {
                self.directory.store_recovered(now);
                Vec::new()
            }
            TableEvent::Snapshot(rows) => {
                self.upstreams_loaded = true;
                let upstreams = rows.iter().filter_map(decode_row).collect();
                self.directory.replace(upstreams, now)
            }
            TableEvent::Changes(rows) => {
                let mut changes = Vec::new();
                for row in &rows {
                    changes.extend(self.apply_upstream_row(row, now));
                }
                changes
            }
        };
        log_changes(&changes);
        changes
    }

    fn apply_upstream_row(&mut self, row: &Row, now: MonoMs) -> Option<DirectoryChange> {
        if let Some(upstream) = decode_row(row) {
            return self.directory.put(upstream);
        }
        let id: UpstreamId = row.key.parse().ok()?;
        self.directory.remove(&id, now)
    }

    /// Drops upstreams whose lapsed rows did not come back.
    pub(crate) fn expire(&mut self) -> Vec<DirectoryChange> {
        let changes = self.directory.expire(clock::now());
        log_changes(&changes);
        changes
    }
}

/// Decodes a row; `None` for one that was removed or names no usable upstream.
fn decode_row(row: &Row) -> Option<Upstream> {
    match decode_upstream_row(row) {
        Ok(upstream) => upstream,
        Err(error) => {
            log::warn!(
                event = "row.unreadable",
                key = row.key.as_str(),
                error = error.as_str();
                "a row names no usable upstream"
            );
            None
        }
    }
}

fn log_changes(changes: &[DirectoryChange]) {
    for change in changes {
        match change {
            DirectoryChange::Joined(upstream) => log::info!(
                event = "upstream.joined",
                upstream = upstream.id.as_str(),
                service = upstream.service.as_str(),
                address:% = upstream.address,
                zone = upstream.zone.as_str();
                "an upstream joined"
            ),
            DirectoryChange::Updated(upstream) => log::info!(
                event = "upstream.updated",
                upstream = upstream.id.as_str(),
                models:? = upstream.models;
                "the row of an upstream changed"
            ),
            DirectoryChange::Leaving(id) => log::info!(
                event = "upstream.leaving",
                upstream = id.as_str();
                "an upstream leaves; it gets no new requests"
            ),
            DirectoryChange::Gone(id) => log::info!(
                event = "upstream.gone",
                upstream = id.as_str();
                "an upstream is gone"
            ),
            DirectoryChange::Lapsed(id, until) => log::warn!(
                event = "upstream.lapsed",
                upstream = id.as_str(),
                usable_until_ms = until.0;
                "the row of an upstream lapsed while the store was away"
            ),
        }
    }
}
