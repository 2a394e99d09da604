//! Driver of this VM's state machine; runs on the control thread.
//!
//! The driver never blocks: it handles reports of the worker threads, passes
//! events to the state machine, carries out its actions and queues commands for
//! the worker threads.

use std::collections::BTreeMap;
use std::sync::Arc;

use compact_str::CompactString;
use masticdock_core::event;
use masticdock_core::ids::{Digest, Fence, RolloutId};
use masticdock_core::lease::HeldLease;
use masticdock_core::membership::{MemberStatus, Phase};
use masticdock_core::switch::{Chart, ChartError, StateMachine, SwitchEvent, Timeouts};
use masticdock_core::units::MonoMs;

use super::assignment::{AssignedVersion, Assignment, Evaluator};
use super::engine_view::EngineView;
use super::manifest_cache::ManifestCache;
use super::message::{Command, Report};
use super::metrics::SwitchingMetrics;
use super::target::{Target, resolve};
use super::{SwitchingConfig, TransferPort};
use crate::agent::transfer::TransferPeer;
use crate::agent::{GateState, ServingGate};
use crate::control::Snapshot;
use crate::event_log::log_event;

/// Maximum duration of a drain; after it the VM keeps serving its current version.
const DRAIN_TIMEOUT_MS: u64 = 600_000;

/// Reason for loading a target.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Purpose {
    /// A rollout assigns it.
    Switch(AssignedVersion),
    /// The engine lost it. Holds the target that was assigned at that time, because
    /// only another assignment may end the recovery.
    Restore(Option<Target>),
}

/// Target that the VM is working towards.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Goal {
    pub(super) target: Target,
    pub(super) purpose: Purpose,
}

/// Permission to send a load order.
#[derive(Debug, Clone)]
pub(super) struct Permit {
    pub(super) fence: Fence,
    pub(super) valid_until: MonoMs,
    /// Lease of the slot; `None` for a VM that is out of service already.
    pub(super) lease: Option<HeldLease>,
}

/// State of the load order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum OrderState {
    /// No order is in flight.
    #[default]
    None,
    /// The order is queued at the worker thread.
    Sending,
    /// The order did not reach the engine and is retried at this time.
    Retry(MonoMs),
    /// The engine accepted the order or may have accepted it.
    AwaitingLoad,
}

/// Target that failed on this VM.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Failure {
    pub(super) rollout: RolloutId,
    pub(super) target: Target,
}

/// Driver of one VM; see the module documentation.
pub(super) struct Driver {
    pub(super) config: SwitchingConfig,
    pub(super) gate: Arc<ServingGate>,
    pub(super) transfer: TransferPort,
    pub(super) metrics: SwitchingMetrics,
    pub(super) machine: StateMachine,
    pub(super) evaluator: Evaluator,
    pub(super) manifests: ManifestCache,
    pub(super) engine: EngineView,
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) assignment: Assignment,
    /// Last logged text of each lasting condition, by event number; avoids repeated log lines.
    pub(super) logged_conditions: BTreeMap<u16, String>,
    pub(super) goal: Option<Goal>,
    /// Goal that the next `start_fetch` adopts.
    pub(super) next_goal: Option<Goal>,
    /// Target that the engine holds, checked by its root digest.
    pub(super) held: Option<Target>,
    /// Target that the engine held before it lost it; set until it is restored or replaced.
    pub(super) lost: Option<Target>,
    pub(super) gate_open: bool,
    pub(super) failure: Option<Failure>,
    pub(super) failure_reason: String,
    pub(super) permit: Option<Permit>,
    pub(super) last_fence: Option<Fence>,
    pub(super) table_call_in_flight: bool,
    /// Rollout of the most recent slot claim.
    pub(super) claim_rollout: Option<RolloutId>,
    pub(super) claim_retry_at: MonoMs,
    pub(super) renew_retry_at: MonoMs,
    pub(super) restore_retry_at: MonoMs,
    pub(super) order: OrderState,
    /// True if the engine may have accepted an order that was not answered.
    pub(super) order_outcome_unknown: bool,
    pub(super) serving_since: MonoMs,
    pub(super) requested_copies: Vec<Digest>,
    pub(super) requested_peers: Arc<Vec<TransferPeer>>,
    pub(super) commands: Vec<Command>,
}

impl Driver {
    /// Creates a driver that knows no configuration and no engine status.
    ///
    /// # Errors
    ///
    /// Fails if the built-in chart is invalid.
    pub(super) fn new(
        config: SwitchingConfig,
        gate: Arc<ServingGate>,
        transfer: TransferPort,
        metrics: SwitchingMetrics,
        now: MonoMs,
    ) -> Result<Self, ChartError> {
        let timeouts = Timeouts {
            drain_ms: DRAIN_TIMEOUT_MS,
            load_ms: config.load_timeout_ms,
        };
        Ok(Self {
            machine: StateMachine::new(Chart::built_in()?, timeouts, now),
            evaluator: Evaluator::new(CompactString::new(config.vm.as_str())),
            config,
            gate,
            transfer,
            metrics,
            manifests: ManifestCache::default(),
            engine: EngineView::default(),
            snapshot: Arc::default(),
            assignment: Assignment::Unassigned,
            logged_conditions: BTreeMap::new(),
            goal: None,
            next_goal: None,
            held: None,
            lost: None,
            gate_open: true,
            failure: None,
            failure_reason: String::new(),
            permit: None,
            last_fence: None,
            table_call_in_flight: false,
            claim_rollout: None,
            claim_retry_at: MonoMs(0),
            renew_retry_at: MonoMs(0),
            restore_retry_at: MonoMs(0),
            order: OrderState::None,
            order_outcome_unknown: false,
            serving_since: MonoMs(0),
            requested_copies: Vec::new(),
            requested_peers: Arc::default(),
            commands: Vec::new(),
        })
    }

    /// Handles a report of a worker thread.
    pub(super) fn handle_report(&mut self, report: Report, now: MonoMs) {
        match report {
            Report::Manifest(digest, read) => self.manifests.record(digest, read, now),
            Report::Claimed(result) => self.on_claim_result(result, now),
            Report::FenceIssued(result) => self.on_fence_result(result, now),
            Report::Renewed(result) => self.on_renew_result(result, now),
            Report::Ordered(result) => self.on_order_result(result, now),
            Report::Engine(status) => self.on_engine_status(status, now),
        }
    }

    /// Applies a snapshot and advances as far as possible without blocking.
    pub(super) fn tick(&mut self, now: MonoMs, snapshot: &Arc<Snapshot>) -> MemberStatus {
        if self.snapshot.seq != snapshot.seq {
            self.apply_snapshot(snapshot);
        }
        // Before the first engine report, the agent could fetch a version that the
        // engine already holds.
        if self.snapshot.adopted && self.engine.has_report() {
            if !self.detect_held(now) {
                self.reconcile_assignment(now);
            }
            self.update_copies(now);
            self.update_permit(now);
            self.retry_order(now);
        }
        if self.machine.is_timed_out(now) {
            self.on_timeout(now);
        }
        self.sync_gate();
        self.status()
    }

    fn apply_snapshot(&mut self, snapshot: &Arc<Snapshot>) {
        self.snapshot = Arc::clone(snapshot);
        let assignment = self.evaluator.assignment(snapshot);
        if assignment != self.assignment {
            self.logged_conditions.clear();
            self.assignment = assignment;
        }
        if let Some(failure) = &self.failure {
            let rollout = self.evaluator.rollout(&failure.rollout);
            let target = rollout.map(|it| resolve(&snapshot.config, &it.version, &it.adapters));
            if target != Some(Ok(failure.target.clone())) {
                self.failure = None;
            }
        }
        let kept = [&self.held, &self.lost];
        let goal = self.goal.as_ref().map(|goal| &goal.target);
        let assigned = self.assigned_or_halted().map(|assigned| &assigned.target);
        let keep: Vec<Target> = kept
            .into_iter()
            .flatten()
            .chain(goal)
            .chain(assigned)
            .cloned()
            .collect();
        if self.held.is_some() {
            self.manifests
                .retain(|digest| keep.iter().any(|target| target.references(digest)));
        }
    }

    /// Removes and returns the commands for the worker threads.
    pub(super) fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    fn on_timeout(&mut self, now: MonoMs) {
        match self.machine.phase() {
            Phase::Draining => log_event!(
                event::DRAIN_TIMED_OUT,
                "{} requests are still in progress after {DRAIN_TIMEOUT_MS} ms",
                self.gate.in_progress()
            ),
            _ => {
                self.failure_reason = format!(
                    "field `load_timeout_ms`: the engine did not load within {} ms",
                    self.config.load_timeout_ms
                );
            }
        }
        self.handle_event(SwitchEvent::TimedOut, now);
    }

    /// Updates the gate to match what the engine holds.
    pub(super) fn sync_gate(&self) {
        let state = match (&self.held, self.gate_open) {
            (_, false) => GateState::Draining,
            (None, true) => GateState::NotServing,
            (Some(held), true) => GateState::Serving(Some(held.version.clone())),
        };
        if self.gate.state() != state {
            self.gate.set_state(state);
        }
    }

    fn status(&self) -> MemberStatus {
        let held = self.held.as_ref().filter(|_| self.gate_open);
        let mut phase = self.machine.phase();
        let settled = matches!(phase, Phase::Idle | Phase::Serving);
        let failed_here = self.failure.as_ref();
        if settled && failed_here.is_some_and(|it| self.held.as_ref() != Some(&it.target)) {
            phase = Phase::Failed;
        }
        self.metrics.set_phase(phase);
        MemberStatus {
            phase,
            serving_version: held.map(|target| target.version.clone()),
            failed: failed_here.map(|it| (it.rollout.clone(), it.target.version.clone())),
            ..MemberStatus::default()
        }
    }
}
