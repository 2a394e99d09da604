//! State shared by the tasks of an agent.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use compact_str::ToCompactString;
use masticdock_adapter::{EngineClient, EngineReport, Manifest, NodeSettings, StoreClient, Table};
use masticdock_core::ids::{RegionId, UpstreamId};
use masticdock_core::serving::{
    AgentReport, ChangeAge, ChunkPeer, ChunkSourceSelector, CrashRecords, CrashRecordsSettings,
    EngineCrashes, EngineCrashesSettings, LoadId, LoadState, LoadedWeights, ModelTarget,
    PrefillBacklog, StoreReadSchedule, StoreReadSettings, VersionNumber, VersionTimeline,
};
use masticdock_core::transfer::{ChunkSet, LinkPacer, ReadWindow, cross_region_rate};
use masticdock_core::units::{BytesPerSecond, MonoMs};
use tokio::sync::Notify;

use super::version_chunks::VersionChunks;
use crate::datagram::{ConfiguredTarget, Hello};
use crate::tables::{Catalog, TableEvent, TableSnapshot, current_age_max_ms};
use crate::{clock, upstream_list};

/// Share of the VM's link that uploads may use, in percent. The events of streams share
/// the link: they are late after 120 ms, in which the link transmits three chunks.
const UPLOAD_LINK_PERCENT: u64 = 85;

/// Age of the last hello above which no entry counts as reachable, in milliseconds.
/// Each entry sends a hello once a second.
const HELLO_AGE_MAX_MS: u64 = 2_500;
/// Time after its last hello for which an entry receives reports, in milliseconds.
const ENTRY_SUBSCRIPTION_MS: u64 = 3_500;
/// Number of entries that are asked for the list of upstreams before the store is read.
const LIST_ATTEMPTS_MAX: usize = 2;
/// Age up to which the list of upstreams is reused for a further attempt to fetch a
/// version, in milliseconds. Every read of the store is priced.
const UPSTREAMS_AGE_MAX_MS: u64 = 5_000;
/// Granularity of the reported link delay, in milliseconds. Smaller differences do not
/// matter, since one pass of an engine takes some tens of milliseconds.
const LINK_DELAY_STEP_MS: u32 = 20;

/// Maximum number of crashes of upstreams without an agent that are kept.
const KEPT_CRASHES_MAX: usize = 64;

/// State of the agent.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) settings: Rc<NodeSettings>,
    /// Address of the engine on this VM.
    pub(crate) upstream: SocketAddr,
    pub(crate) engine: EngineClient,
    pub(crate) store: StoreClient,
    pub(crate) catalog: RefCell<Catalog>,
    /// Newest report of the engine; `None` while the engine does not answer.
    pub(crate) engine_report: RefCell<Option<EngineReport>>,
    /// Chunks by version, of versions that the engine has not loaded yet.
    pub(crate) chunks: RefCell<BTreeMap<VersionNumber, Rc<VersionChunks>>>,
    /// Manifest that was read last.
    pub(crate) last_manifest: RefCell<Option<(VersionNumber, Manifest)>>,
    /// Version of all staged chunks, once this process has staged them or the engine
    /// was found to serve the newest version.
    pub(crate) staged_version: Cell<Option<VersionNumber>>,
    /// Which loads of the engine are known to be intact.
    pub(crate) loaded_weights: RefCell<LoadedWeights>,
    /// Version of the last load order that the engine accepted.
    pub(crate) ordered_version: Cell<Option<VersionNumber>>,
    /// True from the announcement of a switch to the entries until the report of the
    /// engine shows it.
    pub(crate) switching: Cell<bool>,
    /// Time of the last hello according to which some streams cannot be resumed on
    /// another upstream.
    pub(crate) unresumable_at: Cell<MonoMs>,
    /// Entries that sent a hello recently.
    pub(crate) entries: RefCell<BTreeMap<SocketAddr, KnownEntry>>,
    /// When this agent reads the store itself.
    pub(crate) store_reads: Cell<StoreReadSchedule>,
    /// Model to serve, and the version of the configuration that names it.
    target: RefCell<Option<ConfiguredTarget>>,
    /// Chunks that the agents of the region announced last, each for one version.
    pub(crate) peer_chunks: RefCell<HashMap<IpAddr, (VersionNumber, ChunkSet)>>,
    /// Notified when an agent of the region announces chunks.
    pub(crate) peers_changed: Notify,
    /// Crashes of the engine.
    pub(crate) crashes: RefCell<EngineCrashes>,
    /// Crashes of upstreams without an agent, kept for all entries.
    pub(crate) kept_crashes: RefCell<CrashRecords>,
    /// Notified when a crash is confirmed or has further suspects.
    pub(crate) crashes_changed: Notify,
    /// Prompts that the engine has not read yet.
    pub(crate) prefill_backlog: Cell<PrefillBacklog>,
    /// Limits the concurrent reads from the same region.
    pub(crate) read_window: RefCell<ReadWindow>,
    /// Chunks for agents of the same region that wait to be sent.
    pub(crate) same_region_waiting: Cell<usize>,
    /// Time at which the list of upstreams was read last.
    upstreams_read_at: Cell<Option<MonoMs>>,
    /// Paces all uploads to other agents.
    pub(crate) upload_pacer: RefCell<LinkPacer>,
    /// Paces the uploads to each other region.
    cross_region_upload_pacers: RefCell<BTreeMap<RegionId, LinkPacer>>,
    /// Chunks for other regions that wait only for the link of this VM. They have
    /// priority, because each of them supplies a whole region.
    pub(crate) cross_region_waiting: Cell<usize>,
    /// Notified after each change of the state above.
    pub(crate) changed: Notify,
}

/// An entry that receives reports of the engine.
#[derive(Debug, Clone)]
pub(crate) struct KnownEntry {
    pub(crate) region: RegionId,
    hello_at: MonoMs,
}

/// Another agent of the service, and its address.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) chunk_peer: ChunkPeer,
    pub(crate) agent: SocketAddr,
}

impl Agent {
    pub(crate) fn new(settings: Rc<NodeSettings>, upstream: SocketAddr) -> Self {
        let store = StoreClient::new(settings.store_address);
        let catalog = RefCell::new(Catalog::new(&settings.bounds));
        let store_reads = StoreReadSettings {
            informed_ms: current_age_max_ms(&settings.bounds),
            ..StoreReadSettings::default()
        };
        let crashes = EngineCrashes::new(settings.ip, EngineCrashesSettings::default());
        let upload_rate = BytesPerSecond(settings.link_rate.0 * UPLOAD_LINK_PERCENT / 100);
        Self {
            settings,
            upstream,
            engine: EngineClient::new(upstream),
            store,
            catalog,
            engine_report: RefCell::new(None),
            chunks: RefCell::default(),
            last_manifest: RefCell::new(None),
            staged_version: Cell::new(None),
            loaded_weights: RefCell::default(),
            ordered_version: Cell::new(None),
            switching: Cell::new(false),
            unresumable_at: Cell::new(MonoMs(0)),
            entries: RefCell::default(),
            store_reads: Cell::new(StoreReadSchedule::new(store_reads, clock::now())),
            target: RefCell::new(None),
            peer_chunks: RefCell::default(),
            peers_changed: Notify::new(),
            crashes: RefCell::new(crashes),
            kept_crashes: RefCell::new(CrashRecords::new(CrashRecordsSettings {
                records_max: KEPT_CRASHES_MAX,
                ..CrashRecordsSettings::default()
            })),
            crashes_changed: Notify::new(),
            prefill_backlog: Cell::default(),
            read_window: RefCell::default(),
            same_region_waiting: Cell::new(0),
            upstreams_read_at: Cell::new(None),
            upload_pacer: RefCell::new(LinkPacer::new(upload_rate)),
            cross_region_upload_pacers: RefCell::default(),
            cross_region_waiting: Cell::new(0),
            changed: Notify::new(),
        }
    }

    /// Reads the list of upstreams, unless the last read is recent. An agent needs the
    /// list only when it fetches a version, so it does not watch the table.
    pub(crate) async fn read_upstreams(&self) {
        let now = clock::now();
        let read_at = self.upstreams_read_at.get();
        if read_at.is_some_and(|read_at| now.since_ms(read_at) < UPSTREAMS_AGE_MAX_MS) {
            return;
        }
        if self.read_upstreams_from_entry().await || self.read_upstreams_from_store().await {
            self.upstreams_read_at.set(Some(now));
        }
    }

    /// Reads the list of upstreams from an entry, one of this region if possible; returns
    /// false if none answered.
    async fn read_upstreams_from_entry(&self) -> bool {
        let Some(service) = &self.settings.service else {
            return false;
        };
        for entry in self
            .entries_by_distance()
            .into_iter()
            .take(LIST_ATTEMPTS_MAX)
        {
            match upstream_list::read(entry, service).await {
                Ok(upstreams) => {
                    self.catalog.borrow_mut().replace_upstreams(upstreams);
                    return true;
                }
                Err(error) => log::warn!(
                    event = "upstreams.unread",
                    entry:% = entry,
                    error:% = error;
                    "cannot read the list of upstreams from an entry; trying another source"
                ),
            }
        }
        false
    }

    async fn read_upstreams_from_store(&self) -> bool {
        match self.store.read(Table::Upstreams).await {
            Ok(snapshot) => {
                let event = TableEvent::Snapshot(TableSnapshot {
                    rows: snapshot.rows,
                    age: ChangeAge::default(),
                    era: snapshot.position.era,
                    is_followed: false,
                });
                self.catalog.borrow_mut().apply_upstream_event(event);
                true
            }
            Err(error) => {
                log::warn!(
                    event = "store.read_failed",
                    table = Table::Upstreams.as_str(),
                    error:% = error;
                    "cannot read the list of upstreams; the last one stays in use"
                );
                false
            }
        }
    }

    /// Returns the known entries in random order, those of this region first.
    fn entries_by_distance(&self) -> Vec<SocketAddr> {
        let entries = self.entries.borrow();
        let mut ordered: Vec<(bool, u32, SocketAddr)> = entries
            .iter()
            .map(|(address, entry)| {
                let is_remote = entry.region != self.settings.region;
                (is_remote, rand::random(), *address)
            })
            .collect();
        ordered.sort_unstable();
        ordered.into_iter().map(|(_, _, address)| address).collect()
    }

    /// Records a hello; returns true if the entry was not known.
    pub(crate) fn record_hello(&self, address: SocketAddr, hello: &Hello, now: MonoMs) -> bool {
        let known = KnownEntry {
            region: self.region(&hello.zone),
            hello_at: now,
        };
        let mut entries = self.entries.borrow_mut();
        let is_new = entries.insert(address, known).is_none();
        entries.retain(|_, entry| now.since_ms(entry.hello_at) < ENTRY_SUBSCRIPTION_MS);
        drop(entries);
        if !hello.resumable {
            self.unresumable_at.set(now);
        }
        let mut store_reads = self.store_reads.get();
        store_reads.record_hello(hello.poll_age_ms.into(), now);
        self.store_reads.set(store_reads);
        if let Some(target) = &hello.target {
            self.adopt_target(target.clone());
        }
        is_new
    }

    /// Makes a target the current one unless it comes from the same or an older configuration.
    pub(crate) fn adopt_target(&self, adopted: ConfiguredTarget) {
        let mut target = self.target.borrow_mut();
        let replaces = target
            .as_ref()
            .is_none_or(|current| adopted.configuration.replaces(current.configuration));
        if !replaces {
            return;
        }
        let is_same = target
            .as_ref()
            .is_some_and(|current| current.target == adopted.target);
        if !is_same {
            log::info!(
                event = "target.adopted",
                model = adopted.target.model.as_str(),
                configuration = adopted.configuration.number,
                origin:% = adopted.target.origin.address;
                "the configuration names the model to serve"
            );
        }
        *target = Some(adopted);
    }

    /// Returns the model to serve, once an entry or the store named it.
    pub(crate) fn target_model(&self) -> Option<ModelTarget> {
        let target = self.target.borrow();
        target.as_ref().map(|adopted| adopted.target.clone())
    }

    /// Returns the id of the upstream on this VM, once it is registered.
    pub(crate) fn own_upstream_id(&self) -> Option<UpstreamId> {
        let catalog = self.catalog.borrow();
        let own = catalog
            .directory
            .iter()
            .find(|upstream| upstream.address == self.upstream)?;
        Some(own.id.clone())
    }

    /// Returns the version of which the engine holds all layers.
    pub(crate) fn loaded_version(&self, target: &ModelTarget) -> Option<VersionNumber> {
        let report = self.engine_report.borrow();
        let models = &report.as_ref()?.models;
        let model = models.iter().find(|model| model.model == target.model)?;
        model.complete_version(target.layers)
    }

    /// Returns what the engine has loaded and whether that is known to be intact.
    pub(crate) fn load_state(&self) -> Option<(LoadId, LoadState)> {
        let report = self.engine_report.borrow();
        let load = load_id(report.as_ref()?);
        Some((load, self.loaded_weights.borrow().state(load)))
    }

    /// Returns whether the engine may serve requests on a complete version.
    pub(crate) fn serves(&self, target: &ModelTarget) -> bool {
        let may_serve = self
            .load_state()
            .is_some_and(|(_, state)| state.may_serve());
        may_serve && self.loaded_version(target).is_some()
    }

    /// Records that the engine accepted an order after `orders` others. Without a read of the
    /// stage, the order takes no chunks.
    pub(crate) fn record_accepted_order(&self, orders: u64, read_at: Option<MonoMs>) {
        let report = self.engine_report.borrow();
        let load = LoadId {
            started_at_ms: report.as_ref().and_then(|report| report.started_at_ms),
            orders: orders.saturating_add(1),
        };
        let now = clock::now();
        let mut weights = self.loaded_weights.borrow_mut();
        weights.record_accepted(load, read_at.unwrap_or(now), now);
    }

    /// Returns the newest declared version, or version 1 if none is known.
    pub(crate) fn newest_declared(&self, target: &ModelTarget) -> VersionNumber {
        let catalog = self.catalog.borrow();
        catalog
            .timeline(&target.model)
            .map_or(VersionNumber(1), VersionTimeline::newest)
    }

    /// Returns true if completing the fetch of `version` would only delay a newer one.
    pub(crate) fn is_fetch_superseded(
        &self,
        target: &ModelTarget,
        version: VersionNumber,
        fetching_since: MonoMs,
    ) -> bool {
        let catalog = self.catalog.borrow();
        catalog
            .timeline(&target.model)
            .is_some_and(|timeline| timeline.is_superseded(version, fetching_since, clock::now()))
    }

    /// Returns the time by which the engine has to serve a newer version, if one is
    /// declared.
    pub(crate) fn switch_deadline(&self, target: &ModelTarget) -> Option<MonoMs> {
        let loaded = self.loaded_version(target)?;
        self.catalog
            .borrow()
            .timeline(&target.model)?
            .begin_until(loaded)
    }

    /// Returns the in-memory chunks of a version.
    pub(crate) fn chunks_of(&self, version: VersionNumber) -> Option<Rc<VersionChunks>> {
        self.chunks.borrow().get(&version).cloned()
    }

    /// Returns the manifest of a version if it has been read.
    pub(crate) fn manifest_of(&self, version: VersionNumber) -> Option<Manifest> {
        if let Some(chunks) = self.chunks_of(version) {
            return Some(chunks.manifest.clone());
        }
        let manifest = self.last_manifest.borrow();
        let (_, manifest) = manifest
            .as_ref()
            .filter(|(read_version, _)| *read_version == version)?;
        Some(manifest.clone())
    }

    /// Returns the chunks of the newest version that is at least partly in memory.
    pub(crate) fn newest_in_memory(&self) -> Option<Rc<VersionChunks>> {
        self.chunks.borrow().values().next_back().cloned()
    }

    /// Returns the chunks of the newest version that is completely in memory.
    pub(crate) fn newest_fetched(&self) -> Option<Rc<VersionChunks>> {
        let chunks = self.chunks.borrow();
        let complete = chunks.values().rev().find(|chunks| chunks.is_complete())?;
        Some(Rc::clone(complete))
    }

    /// Frees all in-memory chunks once the engine serves `version`; the stage serves
    /// peers from then on.
    pub(crate) fn evict_chunks(&self, version: VersionNumber) {
        let mut chunks = self.chunks.borrow_mut();
        if self.staged_version.get() == Some(version) && chunks.is_empty() {
            return;
        }
        self.staged_version.set(Some(version));
        log::info!(
            event = "version.serving",
            weights = version.0;
            "the engine serves the newest version"
        );
        chunks.clear();
    }

    /// Returns the region of an availability zone.
    pub(crate) fn region(&self, zone: &masticdock_core::ids::ZoneId) -> RegionId {
        let regions = &self.settings.regions;
        regions.get(zone).unwrap_or(&self.settings.region).clone()
    }

    /// Returns the other agents of the service.
    pub(crate) fn peers(&self, target: &ModelTarget, version: VersionNumber) -> Vec<Peer> {
        let catalog = self.catalog.borrow();
        let mut peers = Vec::new();
        let Some(service) = &self.settings.service else {
            return peers;
        };
        for upstream in catalog.directory.serving(service, clock::now()) {
            if upstream.address == self.upstream {
                continue;
            }
            let loaded = upstream
                .models
                .iter()
                .find(|model| model.model == target.model)
                .and_then(|model| model.complete_version(target.layers));
            peers.push(Peer {
                chunk_peer: ChunkPeer {
                    name: upstream.address.ip().to_compact_string(),
                    region: self.region(&upstream.zone),
                    complete: loaded == Some(version),
                },
                agent: SocketAddr::new(upstream.address.ip(), self.settings.peer_port),
            });
        }
        peers
    }

    /// Calls `choose` with a selector of sources among `peers`.
    pub(crate) fn with_source_selector<T>(
        &self,
        peers: &[Peer],
        origin_region: Option<&RegionId>,
        choose: impl FnOnce(&ChunkSourceSelector<'_>) -> T,
    ) -> T {
        let listed: Vec<ChunkPeer> = peers.iter().map(|peer| peer.chunk_peer.clone()).collect();
        choose(&ChunkSourceSelector {
            own_name: &self.settings.ip.to_string(),
            region: &self.settings.region,
            origin_region,
            peers: &listed,
        })
    }

    /// Returns true while at least one entry sends hellos.
    pub(crate) fn has_recent_hello(&self, now: MonoMs) -> bool {
        let entries = self.entries.borrow();
        entries
            .values()
            .any(|entry| now.since_ms(entry.hello_at) <= HELLO_AGE_MAX_MS)
    }

    /// Returns the time until a chunk may be sent to another region, in milliseconds.
    pub(crate) fn cross_region_wait_ms(&self, region: &RegionId, now: MonoMs) -> u64 {
        let pacers = self.cross_region_upload_pacers.borrow();
        pacers.get(region).map_or(0, |pacer| pacer.wait_ms(now))
    }

    /// Accounts for a chunk that is being sent to another region, in the rate limit
    /// between regions.
    pub(crate) fn record_cross_region_upload(&self, region: &RegionId, bytes: u64, now: MonoMs) {
        let catalog = self.catalog.borrow();
        let own_region = &self.settings.region;
        let senders = catalog
            .directory
            .iter()
            .filter(|upstream| {
                Some(&upstream.service) == self.settings.service.as_ref()
                    && self.region(&upstream.zone) == *own_region
            })
            .count();
        let mut pacers = self.cross_region_upload_pacers.borrow_mut();
        let pacer = pacers
            .entry(region.clone())
            .or_insert_with(|| LinkPacer::new(cross_region_rate(senders)));
        pacer.take(bytes, now);
    }

    /// Returns the delay that chunks on the link cause to requests, in milliseconds,
    /// rounded down to the reported granularity.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn link_delay_ms(&self) -> u32 {
        let delay_ms = self.read_window.borrow().delay_ms(clock::now());
        delay_ms as u32 / LINK_DELAY_STEP_MS * LINK_DELAY_STEP_MS
    }

    /// Returns the prefill time of a prompt of mean length, in milliseconds; 0 while unknown.
    pub(crate) fn mean_prefill_ms(&self) -> u64 {
        self.target_model()
            .map_or(0, |target| target.mean_prefill_ms)
    }

    /// Returns the number of prompts that the engine has probably not read; a request that
    /// waits for a slot is one of them.
    fn unread_prompts(&self, report: &EngineReport) -> u32 {
        let prompts = self.prefill_backlog.get().prompts(self.mean_prefill_ms());
        prompts.max(report.queued)
    }

    /// Returns the report of the engine for entries.
    pub(crate) fn report_for_entries(&self) -> AgentReport {
        let loaded = self
            .target_model()
            .and_then(|target| self.loaded_version(&target));
        let common = AgentReport {
            entries: u32::try_from(self.entries.borrow().len()).unwrap_or(u32::MAX),
            link_delay_ms: self.link_delay_ms(),
            ..AgentReport::default()
        };
        let may_serve = self.load_state().is_none_or(|(_, state)| state.may_serve());
        let report = self.engine_report.borrow();
        let Some(report) = report.as_ref() else {
            return common;
        };
        AgentReport {
            running: report.running,
            queued: report.queued,
            pending_prefills: self.unread_prompts(report),
            version: loaded,
            switching: report.busy || self.switching.get() || !may_serve,
            reachable: true,
            started_at_ms: report.started_at_ms,
            slowness: report.slowness.and_then(Result::ok),
            ..common
        }
    }
}

/// Returns the id of what an engine has loaded.
pub(crate) fn load_id(report: &EngineReport) -> LoadId {
    LoadId {
        started_at_ms: report.started_at_ms,
        orders: report.orders,
    }
}
