//! Agents that this entry sends to, with their load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::Duration;

use attohttpc::ProxySettings;
use compact_str::{CompactString, format_compact};
use masticdock_core::ids::{ServiceId, VersionId};
use masticdock_core::membership::{Liveness, Member, Phase, Role};
use masticdock_core::resource::{Service, ServiceKind};
use masticdock_core::router::{self, Candidate, LoadEstimate, PickCandidate, PickPolicy};
use masticdock_core::units::MonoMs;

use super::Clock;
use crate::agent::proxy::LoadReport;
use crate::control::{ControlHandle, Snapshot};
use crate::settings::{EntrySettings, NodeSettings};

/// Time between two status polls of the upstreams in use.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time-out of one status poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(300);

/// Age of a report above which the upstream is polled, in milliseconds.
const REPORT_AGE_MS_MAX: u64 = 500;

/// Time for which an upstream that failed is avoided, in milliseconds.
const AVOID_MS: u64 = 1_000;

/// Time for which a list of candidates is used, in milliseconds.
const VIEW_AGE_MS_MAX: u64 = 100;

/// An upstream that a request is sent to.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub(super) id: CompactString,
    pub(super) addr: SocketAddr,
}

/// Load of a service's subset.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SubsetLoad {
    pub(super) upstreams: u64,
    pub(super) running: u64,
    pub(super) queued: u64,
}

#[derive(Debug, Default, Clone)]
struct Upstream {
    load: LoadEstimate,
    running: u32,
    queued: u32,
    reported_at: MonoMs,
    avoid_until: MonoMs,
    /// True after a report that the agent's gate is closed.
    closed: bool,
}

#[derive(Clone)]
struct View {
    made_at: MonoMs,
    snapshot_seq: u64,
    candidates: Arc<Vec<(Candidate, SocketAddr)>>,
    subset: Arc<Vec<(CompactString, SocketAddr)>>,
}

#[derive(Default)]
struct State {
    upstreams: BTreeMap<CompactString, Upstream>,
    views: BTreeMap<ServiceId, View>,
}

/// Agents that this entry sends to.
pub(super) struct Upstreams {
    node: NodeSettings,
    subset_size: usize,
    rules: PickPolicy,
    clock: Clock,
    control: ControlHandle,
    state: Mutex<State>,
}

impl Upstreams {
    /// Starts the status polls.
    pub(super) fn spawn(
        settings: &EntrySettings,
        control: &ControlHandle,
        clock: Clock,
    ) -> std::io::Result<Arc<Self>> {
        let requests = &settings.requests;
        let upstreams = Arc::new(Self {
            node: settings.node.clone(),
            subset_size: usize::try_from(requests.subset_size).unwrap_or(usize::MAX),
            rules: PickPolicy {
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
            .spawn(move || poll(&weak))?;
        Ok(upstreams)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Picks an upstream and counts the request there until the guard is dropped.
    ///
    /// Those in `tried` are taken only when no other is left.
    pub(super) fn pick(
        self: &Arc<Self>,
        service: &Service,
        wanted: Option<&VersionId>,
        prefix: Option<&[u8]>,
        spread: &str,
        tried: &[CompactString],
    ) -> Option<TargetGuard> {
        let now = self.clock.now();
        let snapshot = self.control.snapshot();
        let mut state = self.lock();
        let view = self.view(&mut state, service, &snapshot, now);
        let subset = match wanted {
            None => Arc::clone(&view.subset),
            Some(_) => Arc::new(self.subset(&service.name, &view.candidates, wanted)),
        };
        let mut choices = Vec::with_capacity(subset.len());
        for (id, _) in subset.iter() {
            let upstream = state.upstreams.entry(id.clone()).or_default();
            choices.push(PickCandidate {
                id,
                load: upstream.load,
                eligible: !upstream.closed && upstream.avoid_until <= now && !tried.contains(id),
            });
        }
        let picked = router::pick(&choices, prefix, spread.as_bytes(), self.rules)?;
        let (id, addr) = &subset[picked];
        state
            .upstreams
            .entry(id.clone())
            .or_default()
            .load
            .begin_request();
        Some(TargetGuard {
            upstreams: Arc::clone(self),
            target: Target {
                id: id.clone(),
                addr: *addr,
            },
        })
    }

    /// Returns the load of a service's subset.
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
            if upstream.closed {
                continue;
            }
            load.upstreams += 1;
            load.running += u64::from(upstream.running);
            load.queued += u64::from(upstream.queued);
        }
        load
    }

    /// Takes a report that came with an answer or a poll.
    pub(super) fn report(&self, id: &str, report: &LoadReport) {
        let now = self.clock.now();
        let mut state = self.lock();
        let upstream = state.upstreams.entry(id.into()).or_default();
        upstream.load.record_report(report.in_progress);
        upstream.running = report.in_progress.saturating_sub(report.queued);
        upstream.queued = report.queued;
        upstream.reported_at = now;
        upstream.closed = !report.serving;
    }

    /// Avoids an upstream that could not be reached or sent nothing.
    pub(super) fn avoid(&self, id: &str) {
        let until = self.clock.now().plus_ms(AVOID_MS);
        let mut state = self.lock();
        state.upstreams.entry(id.into()).or_default().avoid_until = until;
    }

    fn view(&self, state: &mut State, service: &Service, snapshot: &Snapshot, now: MonoMs) -> View {
        if let Some(view) = state.views.get(&service.name) {
            let fresh = now.since_ms(view.made_at) < VIEW_AGE_MS_MAX;
            if view.snapshot_seq == snapshot.seq || fresh {
                return view.clone();
            }
        }
        let candidates = candidates(service, snapshot);
        let subset = self.subset(&service.name, &candidates, None);
        let view = View {
            made_at: now,
            snapshot_seq: snapshot.seq,
            candidates: Arc::new(candidates),
            subset: Arc::new(subset),
        };
        state.views.insert(service.name.clone(), view.clone());
        view
    }

    fn subset(
        &self,
        service: &ServiceId,
        candidates: &[(Candidate, SocketAddr)],
        wanted: Option<&VersionId>,
    ) -> Vec<(CompactString, SocketAddr)> {
        let only: Vec<Candidate> = candidates.iter().map(|(one, _)| one.clone()).collect();
        let matching = router::filter_by_version(&only, wanted);
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
            let found = candidates.iter().find(|(one, _)| one.id == candidate.id);
            if let Some((_, addr)) = found {
                subset.push((candidate.id.clone(), *addr));
            }
        }
        subset
    }
}

/// Returns the agents that can take requests of `service`.
///
/// Suspects are candidates only while no agent is certainly alive.
fn candidates(service: &Service, snapshot: &Snapshot) -> Vec<(Candidate, SocketAddr)> {
    for liveness in [Liveness::Alive, Liveness::Suspect] {
        let mut found = Vec::new();
        for member in snapshot.members.iter() {
            if member.liveness != liveness || !takes_work(member, service, snapshot) {
                continue;
            }
            let Some(addr) = member.traffic_addr else {
                continue;
            };
            let candidate = Candidate {
                id: member.id.clone(),
                region: member.region.clone(),
                zone: member.zone.clone(),
                version: member.status.serving_version.clone(),
            };
            found.push((candidate, addr));
        }
        if !found.is_empty() {
            return found;
        }
    }
    Vec::new()
}

fn takes_work(member: &Member, service: &Service, snapshot: &Snapshot) -> bool {
    if member.role != Role::Agent
        || member.status.leaving
        || snapshot.marked_leaving.contains(&member.id)
        || !member.status.services.contains(&service.name)
    {
        return false;
    }
    if service.upstream == ServiceKind::Plain {
        return true;
    }
    let closed = matches!(member.status.phase, Phase::Draining | Phase::Loading);
    member.status.serving_version.is_some() && !closed
}

/// A picked upstream; the request counts there until this is dropped.
pub(super) struct TargetGuard {
    upstreams: Arc<Upstreams>,
    pub(super) target: Target,
}

impl Drop for TargetGuard {
    fn drop(&mut self) {
        let mut state = self.upstreams.lock();
        if let Some(upstream) = state.upstreams.get_mut(&self.target.id) {
            upstream.load.end_request();
        }
    }
}

fn poll(weak: &Weak<Upstreams>) {
    loop {
        thread::sleep(POLL_INTERVAL);
        let Some(upstreams) = weak.upgrade() else {
            return;
        };
        for target in due(&upstreams) {
            match read_load(target.addr) {
                Some(report) => upstreams.report(&target.id, &report),
                None => upstreams.avoid(&target.id),
            }
        }
    }
}

/// Returns the upstreams in use whose last report is old, and forgets those gone.
fn due(upstreams: &Upstreams) -> Vec<Target> {
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
        let reported_at = state.upstreams.get(&id).map(|one| one.reported_at);
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
