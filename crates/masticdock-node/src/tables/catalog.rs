//! In-memory copy of the platform's tables.

use std::collections::BTreeMap;
use std::rc::Rc;

use masticdock_adapter::{
    DeclaredVersion, NodeBounds, OperatorRow, Row, Table, decode_operator_row, decode_upstream_row,
};
use masticdock_core::ids::{ExternalName, ModelId, UpstreamId};
use masticdock_core::serving::{
    ChangeAge, Configuration, ConfigurationDecision, ConfigurationId, ConfigurationOrder,
    ConfigurationOrderSettings, ConfigurationSource, ConfigurationStamp, Directory,
    DirectoryChange, DirectorySettings, EvacuatedZones, StoreEra, Upstream, VersionLimits,
    VersionTimeline,
};
use masticdock_core::units::MonoMs;

use super::TableEvent;
use super::evacuations::EvacuationRow;
use crate::clock;
use crate::metrics::metrics;

/// Configuration, declared versions and upstreams, as the tables last had them.
#[derive(Debug)]
pub(crate) struct Catalog {
    /// Newest configuration; `None` until the first one has been read.
    pub(crate) configuration: Option<Rc<Configuration>>,
    /// Known upstreams.
    pub(crate) directory: Directory,
    /// True once the table of upstreams has been read.
    pub(crate) upstreams_loaded: bool,
    /// Zones whose upstreams get nothing new; always empty in agents.
    pub(crate) evacuated: EvacuatedZones,
    /// Time of the last successful poll of the operators' table.
    pub(crate) operators_polled_at: Option<MonoMs>,
    /// Time of the last successful poll of the table of upstreams.
    pub(crate) upstreams_polled_at: Option<MonoMs>,
    versions: BTreeMap<ModelId, VersionTimeline>,
    /// Era of the store in which the table of upstreams was read last.
    upstreams_era: Option<StoreEra>,
    /// Era of the store in which the operators' table was read last.
    operators_era: Option<StoreEra>,
    configuration_order: ConfigurationOrder,
    /// Latest era in which the current configuration is known to have been written.
    configuration_written_in: Option<StoreEra>,
    /// Configuration that replaces the current one unless another one is written.
    held_configuration: Option<Configuration>,
    version_limits: VersionLimits,
}

/// What rows of the operators' table tell beside the configuration.
#[derive(Debug, Default)]
struct AppliedRows {
    /// True if a row declares a new version.
    has_new_version: bool,
    evacuations: Vec<EvacuationRow>,
}

impl Catalog {
    /// Returns an empty catalog.
    pub(crate) fn new(bounds: &NodeBounds) -> Self {
        let order = ConfigurationOrderSettings {
            hold_ms: bounds.configuration_deadline_ms / 2,
            ..ConfigurationOrderSettings::default()
        };
        Self {
            configuration: None,
            directory: Directory::new(DirectorySettings {
                removal_deadline_ms: bounds.stable_ms,
                ..DirectorySettings::default()
            }),
            upstreams_loaded: false,
            evacuated: EvacuatedZones::default(),
            operators_polled_at: None,
            upstreams_polled_at: None,
            versions: BTreeMap::new(),
            upstreams_era: None,
            operators_era: None,
            configuration_order: ConfigurationOrder::new(order),
            configuration_written_in: None,
            held_configuration: None,
            version_limits: VersionLimits {
                in_force_ms: bounds.version_deadline_ms,
                excused_ms: bounds.stable_ms,
            },
        }
    }

    /// Returns the declared versions of a model.
    pub(crate) fn timeline(&self, model: &ModelId) -> Option<&VersionTimeline> {
        self.versions.get(model)
    }

    /// Applies an event of the operators' table; returns true if it declares a new
    /// version.
    pub(crate) fn apply_operator_event(&mut self, event: TableEvent) -> bool {
        self.operators_polled_at = Some(clock::now());
        match event {
            TableEvent::Recovered { .. } | TableEvent::Unchanged => false,
            TableEvent::Snapshot(snapshot) => {
                let is_restored =
                    self.operators_era.is_some() && snapshot.era != self.operators_era;
                if is_restored {
                    self.configuration_order.store_restored(clock::now());
                }
                self.operators_era = snapshot.era;
                let source = ConfigurationSource::Snapshot;
                let applied = self.apply_operator_rows(&snapshot.rows, source, snapshot.age);
                if snapshot.is_followed {
                    self.replace_evacuations(applied.evacuations, is_restored);
                }
                applied.has_new_version
            }
            TableEvent::Changes(rows, age) => {
                let applied = self.apply_operator_rows(&rows, ConfigurationSource::Change, age);
                self.apply_evacuations(applied.evacuations);
                applied.has_new_version
            }
        }
    }

    /// Applies rows whose changes have the given age, and returns those on zones.
    fn apply_operator_rows(
        &mut self,
        rows: &[Row],
        source: ConfigurationSource,
        age: ChangeAge,
    ) -> AppliedRows {
        let declared_at = self.version_limits.declared_at(clock::now(), age);
        let mut applied = AppliedRows::default();
        for row in rows {
            match decode_operator_row(row) {
                Ok(OperatorRow::Configuration(configuration)) => {
                    let content = row.value.as_deref().unwrap_or_default();
                    let offered = ConfigurationId::new(configuration.version, content);
                    if age.follows_gap {
                        self.configuration_order.record_gap();
                    }
                    self.apply_configuration(*configuration, offered, source);
                }
                Ok(OperatorRow::Version(declared)) => {
                    applied.has_new_version |= self.record_version(&declared, declared_at, "store");
                }
                Ok(OperatorRow::Evacuation { zone, evacuated }) => {
                    applied.evacuations.push((zone, evacuated));
                }
                Ok(OperatorRow::Other) => {}
                Err(error) => {
                    count_unreadable(Table::Operators);
                    log::warn!(
                        event = "row.unreadable",
                        key = row.key.as_str(),
                        error:% = error;
                        "invalid row in the operators' table; the previous one stays in effect"
                    );
                }
            }
        }
        applied
    }

    /// Records a declared version and the time at which this process learnt of it;
    /// returns false if it is not newer than the known versions. `from` names the
    /// source in the log.
    pub(crate) fn record_version(
        &mut self,
        declared: &DeclaredVersion,
        learnt_at: MonoMs,
        from: &'static str,
    ) -> bool {
        let timeline = self
            .versions
            .entry(declared.model.clone())
            .or_insert_with(|| VersionTimeline::new(self.version_limits.in_force_ms));
        if !timeline.declare(declared.version, learnt_at) {
            return false;
        }
        log::info!(
            event = "version.declared",
            model = declared.model.as_str(),
            weights = declared.version.0,
            age_ms = clock::now().since_ms(learnt_at),
            from = from;
            "new version of the weights declared"
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

    /// Makes a configuration the current one unless the current one is the same or
    /// newer.
    fn apply_configuration(
        &mut self,
        configuration: Configuration,
        offered: ConfigurationId,
        source: ConfigurationSource,
    ) {
        self.held_configuration = None;
        let is_first = self.configuration.is_none();
        let is_current = offered.number == self.configuration_version();
        if source == ConfigurationSource::Change && is_current {
            self.configuration_written_in = self.operators_era;
        }
        match self
            .configuration_order
            .offer(offered, source, clock::now())
        {
            ConfigurationDecision::Ignore => {}
            ConfigurationDecision::Adopt => {
                let may_be_copy = is_first && source == ConfigurationSource::Snapshot;
                let written_in = self.operators_era.filter(|_| !may_be_copy);
                self.adopt_configuration(configuration, written_in);
            }
            ConfigurationDecision::Hold(until) => {
                log::warn!(
                    event = "configuration.held",
                    version = configuration.version,
                    current = self.configuration_version(),
                    until_ms = until.0;
                    "a lower number was written after the store came back from a copy; waiting for further writes"
                );
                self.held_configuration = Some(configuration);
            }
        }
    }

    /// Makes the held configuration the current one once it is due.
    pub(crate) fn adopt_held_configuration(&mut self) {
        if self.configuration_order.adopt_held(clock::now())
            && let Some(configuration) = self.held_configuration.take()
        {
            self.adopt_configuration(configuration, self.operators_era);
        }
    }

    /// Returns the stamp of the current configuration for processes that it is handed on to.
    pub(crate) fn configuration_stamp(&self) -> ConfigurationStamp {
        ConfigurationStamp {
            number: self.configuration_version(),
            written_in: self.configuration_written_in,
        }
    }

    fn configuration_version(&self) -> u64 {
        let current = self.configuration.as_ref();
        current.map_or(0, |current| current.version)
    }

    fn adopt_configuration(&mut self, configuration: Configuration, written_in: Option<StoreEra>) {
        let current = self.configuration_version();
        let unreadable = configuration.unreadable.count;
        log::info!(
            event = "configuration.adopted",
            version = configuration.version,
            previous = current,
            routes = configuration.route_count(),
            unreadable = unreadable;
            "configuration applied"
        );
        let entries = &metrics().unreadable_entries;
        entries.set(i64::try_from(unreadable).unwrap_or(i64::MAX));
        self.configuration = Some(Rc::new(configuration));
        self.configuration_written_in = written_in;
    }

    /// Applies an event of the upstreams' table and returns the changes.
    pub(crate) fn apply_upstream_event(&mut self, event: TableEvent) -> Vec<DirectoryChange> {
        let now = clock::now();
        self.upstreams_polled_at = Some(now);
        let changes = match event {
            TableEvent::Unchanged => return Vec::new(),
            TableEvent::Recovered { reachable_since } => {
                self.directory.store_recovered(reachable_since, now);
                Vec::new()
            }
            TableEvent::Snapshot(snapshot) => {
                // A list from an entry has no era.
                let is_restored =
                    self.upstreams_era.is_some() && snapshot.era != self.upstreams_era;
                self.upstreams_loaded = true;
                self.upstreams_era = snapshot.era;
                let upstreams = snapshot.rows.iter().filter_map(decode_row).collect();
                if is_restored {
                    self.directory.replace_restored(upstreams, now)
                } else {
                    self.directory.replace(upstreams, now)
                }
            }
            TableEvent::Changes(rows, _) => {
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

    /// Replaces the upstreams of a service by a list of them that another process holds.
    pub(crate) fn replace_upstreams(&mut self, upstreams: Vec<Upstream>) {
        self.upstreams_loaded = true;
        let listed = upstreams.len();
        let changes = self.directory.replace(upstreams, clock::now());
        log::info!(
            event = "upstreams.listed",
            upstreams = listed,
            changes = changes.len();
            "list of upstreams read from an entry"
        );
    }

    fn apply_upstream_row(&mut self, row: &Row, now: MonoMs) -> Option<DirectoryChange> {
        if let Some(upstream) = decode_row(row) {
            return self.directory.put(upstream);
        }
        let id = UpstreamId::from_external(&row.key).ok()?;
        self.directory.remove(&id, now)
    }

    /// Removes upstreams whose lapsed rows did not reappear within the grace period,
    /// and returns the changes.
    pub(crate) fn expire(&mut self) -> Vec<DirectoryChange> {
        let changes = self.directory.expire(clock::now());
        log_changes(&changes);
        changes
    }
}

/// Decodes a row; returns `None` if the row was removed or is invalid.
fn decode_row(row: &Row) -> Option<Upstream> {
    match decode_upstream_row(row) {
        Ok(upstream) => upstream,
        Err(error) => {
            count_unreadable(Table::Upstreams);
            log::warn!(
                event = "row.unreadable",
                key = row.key.as_str(),
                error = error.as_str();
                "invalid row in the upstreams' table; treating it as removed"
            );
            None
        }
    }
}

fn count_unreadable(table: Table) {
    let rows = &metrics().unreadable_rows;
    rows.with_label_values(&[table.as_str()]).inc();
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
                "upstream joined"
            ),
            DirectoryChange::Updated(upstream) => log::info!(
                event = "upstream.updated",
                upstream = upstream.id.as_str(),
                models:? = upstream.models;
                "row of an upstream changed"
            ),
            DirectoryChange::Leaving(id) => log::info!(
                event = "upstream.leaving",
                upstream = id.as_str();
                "upstream is leaving; it receives no new requests"
            ),
            DirectoryChange::Gone(id) => log::info!(
                event = "upstream.gone",
                upstream = id.as_str();
                "upstream removed"
            ),
            DirectoryChange::Lapsed(id, until) => log::warn!(
                event = "upstream.lapsed",
                upstream = id.as_str(),
                usable_until_ms = until.0;
                "row of an upstream lapsed while the store was unavailable"
            ),
        }
    }
}
