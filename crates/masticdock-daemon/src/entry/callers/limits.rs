//! Limits of workspaces at this entry.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::Duration;

use compact_str::{CompactString, ToCompactString, format_compact};
use masticdock_core::ids::WorkspaceId;
use masticdock_core::limiter::{
    AdmissionInput, DemandMeter, DemandRecord, RequestTokenBucket, ShedReason, admit, entry_share,
    fair_shares,
};
use masticdock_core::membership::{Liveness, Role};
use masticdock_core::problem::{Problem, ProblemKind};
use masticdock_core::resource::Workspace;
use masticdock_core::units::MonoMs;

use super::Clock;
use super::admit::Call;
use super::upstreams::SubsetLoad;
use crate::control::{ControlHandle, ControlMsg, Snapshot};
use crate::settings::EntrySettings;

/// Time between two looks at the demand.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// Change of demand that is told to other entries, in percent.
const CHANGE_PERCENT: u64 = 20;

/// Weight of a new sample in a moving average: one in this many.
const AVERAGE_WEIGHT: u64 = 16;

#[derive(Default)]
struct PerWorkspace {
    meter: DemandMeter,
    bucket: Option<RequestTokenBucket>,
    weight: u32,
    seq: u64,
    published: (u64, u32),
}

/// Usual times of a service, in microseconds.
#[derive(Default, Clone, Copy)]
struct Usual {
    first_byte_us: u64,
    whole_us: u64,
}

#[derive(Default)]
struct State {
    workspaces: BTreeMap<WorkspaceId, PerWorkspace>,
    usual: BTreeMap<CompactString, Usual>,
    total: u64,
}

/// Limits of workspaces at this entry.
pub(super) struct Limits {
    entry: CompactString,
    per_upstream_max: u64,
    clock: Clock,
    control: ControlHandle,
    state: Mutex<State>,
}

impl Limits {
    /// Starts telling other entries about the demand.
    pub(super) fn spawn(
        settings: &EntrySettings,
        control: &ControlHandle,
        clock: Clock,
    ) -> std::io::Result<Arc<Self>> {
        let limits = Arc::new(Self {
            entry: settings.node.id.clone(),
            per_upstream_max: settings.requests.per_upstream_in_progress_max,
            clock,
            control: control.clone(),
            state: Mutex::default(),
        });
        let weak = Arc::downgrade(&limits);
        thread::Builder::new()
            .name("demand".to_owned())
            .spawn(move || publish(&weak))?;
        Ok(limits)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a request or says why not; it counts until the guard is dropped.
    pub(super) fn enter(
        self: &Arc<Self>,
        call: &Call,
        load: SubsetLoad,
    ) -> Result<LimitGuard, Problem> {
        let now = self.clock.now();
        let snapshot = self.control.snapshot();
        let mut state = self.lock();
        let usual = state.usual.get(call.service.name.as_str()).copied();
        let workspace = state
            .workspaces
            .entry(call.workspace.name.clone())
            .or_default();
        workspace.weight = call.workspace.weight;
        workspace.meter.record_arrival(now);
        check_concurrency(workspace, &call.workspace, &snapshot, &self.entry, now)?;
        let input = self.input(&mut state, call, load, usual.unwrap_or_default(), now);
        admit(&input).map_err(shed_problem)?;
        let workspace = state
            .workspaces
            .entry(call.workspace.name.clone())
            .or_default();
        // Last, because a taken token is not given back.
        check_rate(workspace, &call.workspace, &snapshot, &self.entry, now)?;
        workspace.meter.begin_request();
        state.total += 1;
        Ok(LimitGuard {
            limits: Arc::clone(self),
            workspace: call.workspace.name.clone(),
        })
    }

    fn input(
        &self,
        state: &mut State,
        call: &Call,
        load: SubsetLoad,
        usual: Usual,
        now: MonoMs,
    ) -> AdmissionInput {
        let capacity = load.upstreams.max(1) * self.per_upstream_max;
        let mut asks = Vec::with_capacity(state.workspaces.len());
        let mut own = 0;
        let mut own_in_progress = 0;
        for (name, workspace) in &mut state.workspaces {
            if *name == call.workspace.name {
                own = asks.len();
                own_in_progress = u64::from(workspace.meter.in_flight());
            }
            let wanted = u64::from(workspace.meter.concurrency_demand(now));
            // One more than in progress, so that each workspace has room to grow.
            asks.push((workspace.weight, wanted + 1));
        }
        AdmissionInput {
            priority: call.priority,
            remaining_ms: call.deadline.since_ms(now),
            first_byte_ms: usual.first_byte_us / 1_000,
            service_ms: usual.whole_us / 1_000,
            running: load.running,
            queued: load.queued,
            entry_in_flight: state.total,
            capacity,
            workspace_in_flight: own_in_progress,
            workspace_share: fair_shares(capacity, &asks)[own],
        }
    }

    /// Learns the usual times of a service from an answer that met no queue.
    pub(super) fn learn(&self, service: &str, first_byte: Duration, whole: Duration) {
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let average = |old: u64, new: u64| {
            if old == 0 {
                return new;
            }
            (old * (AVERAGE_WEIGHT - 1) + new) / AVERAGE_WEIGHT
        };
        let mut state = self.lock();
        let usual = state.usual.entry(service.into()).or_default();
        usual.first_byte_us = average(usual.first_byte_us, micros(first_byte));
        usual.whole_us = average(usual.whole_us, micros(whole));
    }
}

/// Returns the demand of each live entry for a workspace, the own one included.
fn demands<'a>(
    snapshot: &'a Snapshot,
    workspace: &WorkspaceId,
    own: &'a str,
    own_demand: u64,
    demand: impl Fn(&DemandRecord) -> u64,
) -> Vec<(&'a str, u64)> {
    let mut demands = vec![(own, own_demand)];
    for member in snapshot.members.iter() {
        if member.role != Role::Entry || member.liveness != Liveness::Alive || member.id == own {
            continue;
        }
        let record = snapshot
            .demands
            .iter()
            .find(|record| record.entry == member.id && record.workspace == *workspace);
        demands.push((member.id.as_str(), record.map_or(0, &demand)));
    }
    demands
}

fn check_rate(
    workspace: &mut PerWorkspace,
    limits: &Workspace,
    snapshot: &Snapshot,
    entry: &str,
    now: MonoMs,
) -> Result<(), Problem> {
    if limits.rate_per_s == 0 {
        return Ok(());
    }
    let own = workspace.published.0;
    let demands = demands(snapshot, &limits.name, entry, own, |one| one.rate_milli);
    let share_milli = entry_share(u64::from(limits.rate_per_s) * 1_000, &demands, entry);
    let bucket = workspace
        .bucket
        .get_or_insert_with(|| RequestTokenBucket::full(share_milli, now));
    bucket.try_take(share_milli, now).map_err(|wait_ms| {
        Problem::not_run(
            ProblemKind::RateLimited,
            format_compact!("the limit is {} requests per second", limits.rate_per_s),
        )
        .with_retry_after_s(wait_ms.div_ceil(1_000))
    })
}

fn check_concurrency(
    workspace: &mut PerWorkspace,
    limits: &Workspace,
    snapshot: &Snapshot,
    entry: &str,
    now: MonoMs,
) -> Result<(), Problem> {
    if limits.concurrency == 0 {
        return Ok(());
    }
    let own = u64::from(workspace.published.1);
    let demands = demands(snapshot, &limits.name, entry, own, |one| {
        u64::from(one.in_progress)
    });
    let share = entry_share(u64::from(limits.concurrency), &demands, entry);
    if u64::from(workspace.meter.in_flight()) < share {
        return Ok(());
    }
    workspace.meter.record_rejection(now);
    let detail = format_compact!("the limit is {} requests in progress", limits.concurrency);
    Err(Problem::not_run(ProblemKind::ConcurrencyLimited, detail).with_retry_after_s(1))
}

fn shed_problem(shed: ShedReason) -> Problem {
    match shed {
        ShedReason::Capacity => Problem::not_run(
            ProblemKind::Overloaded,
            "capacity is short; send the request again later or with a higher priority",
        ),
        ShedReason::Deadline => Problem::not_run(
            ProblemKind::DeadlineUnreachable,
            "the answer would come after the deadline; allow more time",
        ),
    }
    .with_retry_after_s(1)
}

/// A request that counts against the limits of its workspace.
pub(super) struct LimitGuard {
    limits: Arc<Limits>,
    workspace: WorkspaceId,
}

impl Drop for LimitGuard {
    fn drop(&mut self) {
        let mut state = self.limits.lock();
        state.total -= 1;
        if let Some(workspace) = state.workspaces.get_mut(&self.workspace) {
            workspace.meter.end_request();
        }
    }
}

fn publish(weak: &Weak<Limits>) {
    loop {
        thread::sleep(PUBLISH_INTERVAL);
        let Some(limits) = weak.upgrade() else {
            return;
        };
        let now = limits.clock.now();
        let mut records = Vec::new();
        for (name, workspace) in &mut limits.lock().workspaces {
            let rate_milli = workspace.meter.rate_milli(now);
            let in_progress = workspace.meter.concurrency_demand(now);
            let (old_rate, old_in_progress) = workspace.published;
            if !changed(old_rate, rate_milli)
                && !changed(u64::from(old_in_progress), u64::from(in_progress))
            {
                continue;
            }
            workspace.published = (rate_milli, in_progress);
            workspace.seq += 1;
            records.push(DemandRecord {
                entry: limits.entry.to_compact_string(),
                workspace: name.clone(),
                seq: workspace.seq,
                rate_milli,
                in_progress,
            });
        }
        for record in records {
            limits.control.send(ControlMsg::Demand(record));
        }
    }
}

/// Returns true when a change is worth telling; small ones would fill the gossip.
const fn changed(old: u64, new: u64) -> bool {
    old.abs_diff(new) * 100 > old * CHANGE_PERCENT
}
