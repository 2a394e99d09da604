//! Rate, concurrency and load limits of workspaces at this entry.

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

/// Time between two checks for changed demand.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum change of demand that is published to other entries, in percent.
const DEMAND_CHANGE_PERCENT: u64 = 20;

/// Number of samples over which the moving averages extend; a new sample has the inverse weight.
const AVERAGE_SAMPLES: u64 = 16;

/// Demand and limits of one workspace at this entry.
#[derive(Default)]
struct WorkspaceState {
    meter: DemandMeter,
    rate_bucket: Option<RequestTokenBucket>,
    /// Weight of the workspace in the fair share of capacity.
    weight: u32,
    seq: u64,
    /// Last published rate, in thousandths of a request per second, and concurrency.
    published: (u64, u32),
}

/// Moving averages of a service's response times without queueing, in microseconds.
#[derive(Default, Clone, Copy)]
struct ServiceTimes {
    first_byte_us: u64,
    total_us: u64,
}

#[derive(Default)]
struct State {
    workspaces: BTreeMap<WorkspaceId, WorkspaceState>,
    service_times: BTreeMap<CompactString, ServiceTimes>,
    requests_in_flight: u64,
}

/// Limits of workspaces at this entry.
pub(super) struct AdmissionLimits {
    entry: CompactString,
    per_upstream_max: u64,
    clock: Clock,
    control: ControlHandle,
    state: Mutex<State>,
}

impl AdmissionLimits {
    /// Creates the limits and starts to publish this entry's demand to other entries.
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
            .spawn(move || publish_demand(&weak))?;
        Ok(limits)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request, which counts against the limits until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns the problem to respond with when a limit rejects the request.
    pub(super) fn try_admit(
        self: &Arc<Self>,
        call: &Call,
        load: SubsetLoad,
    ) -> Result<LimitGuard, Problem> {
        let now = self.clock.now();
        let snapshot = self.control.snapshot();
        let mut state = self.lock();
        let service_times = state.service_times.get(call.service.name.as_str()).copied();
        let workspace = state
            .workspaces
            .entry(call.workspace.name.clone())
            .or_default();
        workspace.weight = call.workspace.weight;
        workspace.meter.record_arrival(now);
        check_concurrency(workspace, &call.workspace, &snapshot, &self.entry, now)?;
        let admission_input = self.admission_input(
            &mut state,
            call,
            load,
            service_times.unwrap_or_default(),
            now,
        );
        admit(&admission_input).map_err(shed_problem)?;
        let workspace = state
            .workspaces
            .entry(call.workspace.name.clone())
            .or_default();
        // The rate is checked last because a taken token is not returned.
        check_rate(workspace, &call.workspace, &snapshot, &self.entry, now)?;
        workspace.meter.begin_request();
        state.requests_in_flight += 1;
        Ok(LimitGuard {
            limits: Arc::clone(self),
            workspace: call.workspace.name.clone(),
        })
    }

    /// Collects the load, the capacity and the workspace's share for the admission decision.
    fn admission_input(
        &self,
        state: &mut State,
        call: &Call,
        load: SubsetLoad,
        service_times: ServiceTimes,
        now: MonoMs,
    ) -> AdmissionInput {
        let capacity = load.upstreams.max(1) * self.per_upstream_max;
        let mut weighted_demands = Vec::with_capacity(state.workspaces.len());
        let mut own_index = 0;
        let mut own_in_flight = 0;
        for (name, workspace) in &mut state.workspaces {
            if *name == call.workspace.name {
                own_index = weighted_demands.len();
                own_in_flight = u64::from(workspace.meter.in_flight());
            }
            let needed = u64::from(workspace.meter.concurrency_demand(now));
            // One more than the current demand, so that each workspace can grow.
            weighted_demands.push((workspace.weight, needed + 1));
        }
        AdmissionInput {
            priority: call.priority,
            remaining_ms: call.deadline.since_ms(now),
            first_byte_ms: service_times.first_byte_us / 1_000,
            service_ms: service_times.total_us / 1_000,
            running: load.running,
            queued: load.queued,
            entry_in_flight: state.requests_in_flight,
            capacity,
            workspace_in_flight: own_in_flight,
            workspace_share: fair_shares(capacity, &weighted_demands)[own_index],
        }
    }

    /// Adds the times of a response that did not wait in a queue to the averages of its service.
    pub(super) fn record_latency(&self, service: &str, first_byte: Duration, total_time: Duration) {
        let to_micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let average = |old: u64, new: u64| {
            if old == 0 {
                return new;
            }
            (old * (AVERAGE_SAMPLES - 1) + new) / AVERAGE_SAMPLES
        };
        let mut state = self.lock();
        let service_times = state.service_times.entry(service.into()).or_default();
        service_times.first_byte_us = average(service_times.first_byte_us, to_micros(first_byte));
        service_times.total_us = average(service_times.total_us, to_micros(total_time));
    }
}

/// Returns the demand of a workspace at each live entry, including this one.
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

/// Takes a token of the workspace's request rate at this entry.
fn check_rate(
    workspace: &mut WorkspaceState,
    limits: &Workspace,
    snapshot: &Snapshot,
    entry: &str,
    now: MonoMs,
) -> Result<(), Problem> {
    if limits.rate_per_s == 0 {
        return Ok(());
    }
    let own = workspace.published.0;
    let demands = demands(snapshot, &limits.name, entry, own, |reported| {
        reported.rate_milli
    });
    let share_milli = entry_share(u64::from(limits.rate_per_s) * 1_000, &demands, entry);
    let rate_bucket = workspace
        .rate_bucket
        .get_or_insert_with(|| RequestTokenBucket::full(share_milli, now));
    rate_bucket.try_take(share_milli, now).map_err(|wait_ms| {
        Problem::not_run(
            ProblemKind::RateLimited,
            format_compact!("the limit is {} requests per second", limits.rate_per_s),
        )
        .with_retry_after_s(wait_ms.div_ceil(1_000))
    })
}

/// Checks the workspace's limit of requests in flight at this entry.
fn check_concurrency(
    workspace: &mut WorkspaceState,
    limits: &Workspace,
    snapshot: &Snapshot,
    entry: &str,
    now: MonoMs,
) -> Result<(), Problem> {
    if limits.concurrency == 0 {
        return Ok(());
    }
    let own = u64::from(workspace.published.1);
    let demands = demands(snapshot, &limits.name, entry, own, |reported| {
        u64::from(reported.in_progress)
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
    limits: Arc<AdmissionLimits>,
    workspace: WorkspaceId,
}

impl Drop for LimitGuard {
    fn drop(&mut self) {
        let mut state = self.limits.lock();
        state.requests_in_flight -= 1;
        if let Some(workspace) = state.workspaces.get_mut(&self.workspace) {
            workspace.meter.end_request();
        }
    }
}

/// Publishes changed demand until [`AdmissionLimits`] is dropped.
fn publish_demand(weak: &Weak<AdmissionLimits>) {
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
            if !has_changed_enough(old_rate, rate_milli)
                && !has_changed_enough(u64::from(old_in_progress), u64::from(in_progress))
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

/// Returns true when demand changed enough to be published; small changes would overload gossip.
const fn has_changed_enough(old: u64, new: u64) -> bool {
    old.abs_diff(new) * 100 > old * DEMAND_CHANGE_PERCENT
}
