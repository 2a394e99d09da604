//! Selection of the agents that this entry sends requests to, based on their load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::Duration;

use attohttpc::ProxySettings;
use compact_str::{CompactString, format_compact};
use masticdock_core::ids::{ServiceId, VersionId};
use masticdock_core::resource::Service;
use masticdock_core::router::{self, Candidate, LoadEstimate, PickCandidate, PickPolicy};
use masticdock_core::units::MonoMs;

use super::Clock;
use super::candidates::{self, candidates};
use crate::agent::proxy::LoadReport;
use crate::control::{ControlHandle, Snapshot};
use crate::settings::{EntrySettings, NodeSettings};

/// Time between two load polls of the upstreams in use.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of one load poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(300);

/// Age of a load report above which the upstream is polled, in milliseconds.
const REPORT_AGE_MS_MAX: u64 = 500;

/// Time for which an upstream is avoided after a failure, in milliseconds.
const AVOID_DURATION_MS: u64 = 1_000;

/// Maximum age of a cached candidate list, in milliseconds.
const VIEW_AGE_MS_MAX: u64 = 100;

/// An upstream that a request is sent to.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) id: CompactString,
    pub(super) addr: SocketAddr,
}

/// Total load of the upstreams in a service's subset.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SubsetLoad {
    pub(super) upstreams: u64,
    pub(super) running: u64,
    pub(super) queued: u64,
}

/// Load and availability of one upstream.
#[derive(Debug, Default, Clone)]
struct Upstream {
    load: LoadEstimate,
    running: u32,
    queued: u32,
    reported_at: MonoMs,
    avoid_until: MonoMs,
    /// True when the last report said that the agent does not serve.
    not_serving: bool,
}

/// Cached candidates of a service and the subset of them that this entry uses.
#[derive(Clone)]
struct ServiceView {
    built_at: MonoMs,
    snapshot_seq: u64,
    candidates: Arc<Vec<(Candidate, SocketAddr)>>,
    subset: Arc<Vec<(CompactString, SocketAddr)>>,
}

#[derive(Default)]
struct State {
    upstreams: BTreeMap<CompactString, Upstream>,
    views: BTreeMap<ServiceId, ServiceView>,
}

/// Agents that this entry sends requests to.
pub(super) struct Upstreams {
    node: NodeSettings,
    subset_size: usize,
    pick_policy: PickPolicy,
    clock: Clock,
    control: ControlHandle,
    state: Mutex<State>,
}

impl Upstreams {
    /// Creates the table of upstreams and starts the load polls.
    pub(super) fn spawn(
        settings: &EntrySettings,
        control: &ControlHandle,
        clock: Clock,
    ) -> std::io::Result<Arc<Self>> {
        let requests = &settings.requests;
        let upstreams = Arc::new(Self {
            node: settings.node.clone(),
            subset_size: usize::try_from(requests.subset_size).unwrap_or(usize::MAX),
            pick_policy: PickPolicy {
                load_bound_percent: requests.load_bound_percent,
                own_in_flight_max: u32::try_from(requests.per_upstream_in_progress_max)
                    .unwrap_or(u32::MAX),
            },
            clock,
            control: control.clone(),
            state: Mutex::default(),
        });
        let weak = Arc::downgrade(&upstreams);
        thread::Builder::new()
            .name("upstream-status".to_owned())
            .spawn(move || poll_loop(&weak))?;
        Ok(upstreams)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Picks an upstream and counts the request as in flight there until the guard is dropped.
    ///
    /// Upstreams in `tried` are not eligible; the caller clears the list when none is left.
    pub(super) fn pick(
        self: &Arc<Self>,
        service: &Service,
        required_version: Option<&VersionId>,
        prefix: Option<&[u8]>,
        tie_break_key: &str,
        tried: &[CompactString],
    ) -> Option<PickedUpstream> {
        let now = self.clock.now();
        let snapshot = self.control.snapshot();
        let mut state = self.lock();
        let view = self.view(&mut state, service, &snapshot, now);
        let subset = match required_version {
            None => Arc::clone(&view.subset),
            Some(_) => Arc::new(self.subset(&service.name, &view.candidates, required_version)),
        };
        let mut pick_candidates = Vec::with_capacity(subset.len());
        for (id, _) in subset.iter() {
            let upstream = state.upstreams.entry(id.clone()).or_default();
            pick_candidates.push(PickCandidate {
                id,
                load: upstream.load,
                eligible: !upstream.not_serving
                    && upstream.avoid_until <= now
                    && !tried.contains(id),
            });
        }
        let picked = router::pick(
            &pick_candidates,
            prefix,
            tie_break_key.as_bytes(),
            self.pick_policy,
        )?;
        let (id, addr) = &subset[picked];
        state
            .upstreams
            .entry(id.clone())
            .or_default()
            .load
            .begin_request();
        Some(PickedUpstream {
            upstreams: Arc::clone(self),
            target: Target {
                id: id.clone(),
                addr: *addr,
            },
        })
    }

    /// Returns false when no agent of the service serves the version or is about to.
    pub(super) fn may_return(
        &self,
        service: &Service,
        required_version: Option<&VersionId>,
    ) -> bool {
        candidates::may_return(service, required_version, &self.control.snapshot())
    }

    /// Returns the total load of the service's subset, without upstreams that do not serve.
    pub(super) fn subset_load(&self, service: &Service) -> SubsetLoad {
        let now = self.clock.now();
        let snapshot = self.control.snapshot();
        let mut state = self.lock();
        let view = self.view(&mut state, service, &snapshot, now);
        let mut load = SubsetLoad::default();
        for (id, _) in view.subset.iter() {
            let Some(upstream) = state.upstreams.get(id) else {
                load.upstreams += 1;
                continue;
            };
            if upstream.not_serving {
                continue;
            }
            load.upstreams += 1;
            load.running += u64::from(upstream.running);
            load.queued += u64::from(upstream.queued);
        }
        load
    }

    /// Applies a load report from a response or a poll.
    pub(super) fn apply_report(&self, id: &str, report: &LoadReport) {
        let now = self.clock.now();
        let mut state = self.lock();
        let upstream = state.upstreams.entry(id.into()).or_default();
        upstream.load.record_report(report.in_progress);
        upstream.running = report.in_progress.saturating_sub(report.queued);
        upstream.queued = report.queued;
        upstream.reported_at = now;
        upstream.not_serving = !report.serving;
    }

    /// Avoids an upstream that could not be reached or stalled.
    pub(super) fn avoid(&self, id: &str) {
        let until = self.clock.now().plus_ms(AVOID_DURATION_MS);
        let mut state = self.lock();
        state.upstreams.entry(id.into()).or_default().avoid_until = until;
    }

    /// Returns the cached view of a service, rebuilt when the snapshot changed and the view is not
    /// recent.
    fn view(
        &self,
        state: &mut State,
        service: &Service,
        snapshot: &Snapshot,
        now: MonoMs,
    ) -> ServiceView {
        if let Some(view) = state.views.get(&service.name) {
            let recent = now.since_ms(view.built_at) < VIEW_AGE_MS_MAX;
            if view.snapshot_seq == snapshot.seq || recent {
                return view.clone();
            }
        }
        let candidates = candidates(service, snapshot);
        let subset = self.subset(&service.name, &candidates, None);
        let view = ServiceView {
            built_at: now,
            snapshot_seq: snapshot.seq,
            candidates: Arc::new(candidates),
            subset: Arc::new(subset),
        };
        state.views.insert(service.name.clone(), view.clone());
        view
    }

    /// Returns the subset of the candidates with the required version that this entry sends to.
    fn subset(
        &self,
        service: &ServiceId,
        candidates: &[(Candidate, SocketAddr)],
        required_version: Option<&VersionId>,
    ) -> Vec<(CompactString, SocketAddr)> {
        let only: Vec<Candidate> = candidates.iter().map(|(agent, _)| agent.clone()).collect();
        let matching = router::filter_by_version(&only, required_version);
        let key = format_compact!("{}/{service}", self.node.id);
        let chosen = router::select_subset(
            key.as_bytes(),
            &self.node.region,
            &self.node.zone,
            &matching,
            self.subset_size,
        );
        let mut subset = Vec::with_capacity(chosen.len());
        for candidate in chosen {
            let found = candidates
                .iter()
                .find(|(agent, _)| agent.id == candidate.id);
            if let Some((_, addr)) = found {
                subset.push((candidate.id.clone(), *addr));
            }
        }
        subset
    }
}

/// A picked upstream, which counts the request as in flight until this is dropped.
pub(super) struct PickedUpstream {
    upstreams: Arc<Upstreams>,
    pub(super) target: Target,
}

impl Drop for PickedUpstream {
    fn drop(&mut self) {
        let mut state = self.upstreams.lock();
        if let Some(upstream) = state.upstreams.get_mut(&self.target.id) {
            upstream.load.end_request();
        }
    }
}

/// Polls the upstreams in use until [`Upstreams`] is dropped.
fn poll_loop(weak: &Weak<Upstreams>) {
    loop {
        thread::sleep(POLL_INTERVAL);
        let Some(upstreams) = weak.upgrade() else {
            return;
        };
        for target in due_targets(&upstreams) {
            match read_load(target.addr) {
                Some(report) => upstreams.apply_report(&target.id, &report),
                None => upstreams.avoid(&target.id),
            }
        }
    }
}

/// Returns the upstreams in use whose last report is stale, and removes those no longer in use.
fn due_targets(upstreams: &Upstreams) -> Vec<Target> {
    let now = upstreams.clock.now();
    let mut state = upstreams.lock();
    let mut addrs: BTreeMap<CompactString, SocketAddr> = BTreeMap::new();
    for view in state.views.values() {
        addrs.extend(view.subset.iter().cloned());
    }
    state
        .upstreams
        .retain(|id, upstream| addrs.contains_key(id) || upstream.load.own_in_flight() > 0);
    let mut due = Vec::new();
    for (id, addr) in addrs {
        let reported_at = state.upstreams.get(&id).map(|agent| agent.reported_at);
        if reported_at.is_some_and(|at| now.since_ms(at) < REPORT_AGE_MS_MAX) {
            continue;
        }
        due.push(Target { id, addr });
    }
    due
}

fn read_load(addr: SocketAddr) -> Option<LoadReport> {
    let response = attohttpc::get(format!("http://{addr}/v1/load"))
        .connect_timeout(POLL_TIMEOUT)
        .read_timeout(POLL_TIMEOUT)
        .follow_redirects(false)
        .proxy_settings(ProxySettings::builder().build())
        .send()
        .ok()?;
    serde_json::from_str(&response.text_utf8().ok()?).ok()
}
