//! Driver steps that reconcile the VM with its assignment and the weight transfer.

use std::sync::Arc;

use masticdock_core::event;
use masticdock_core::ids::Digest;
use masticdock_core::manifest::Manifest;
use masticdock_core::membership::Phase;
use masticdock_core::switch::SwitchEvent;
use masticdock_core::units::{MonoMs, Share};

use super::assignment::{AssignedVersion, Assignment};
use super::driver::{Driver, Goal, Purpose};
use super::engine_view::LoadStatus;
use super::manifest_cache::Lookup;
use super::message::Command;
use super::target::{Target, resolve};
use crate::agent::transfer::{TransferPeer, WantedCopy};
use crate::event_log::log_event;

impl Driver {
    /// Returns the assigned version unless it is unusable or its rollout is halted.
    fn active_assignment(&self) -> Option<&AssignedVersion> {
        match &self.assignment {
            Assignment::Version(assigned) => Some(assigned),
            Assignment::Unassigned | Assignment::Halted(..) | Assignment::Unusable(_) => None,
        }
    }

    /// Returns the assigned version, including that of a halted rollout.
    pub(super) fn assigned_or_halted(&self) -> Option<&AssignedVersion> {
        match &self.assignment {
            Assignment::Version(assigned) | Assignment::Halted(assigned, _) => Some(assigned),
            Assignment::Unassigned | Assignment::Unusable(_) => None,
        }
    }

    pub(super) fn assigned_target(&self) -> Option<&Target> {
        self.assigned_or_halted().map(|assigned| &assigned.target)
    }

    /// Passes events to the state machine for the current assignment.
    pub(super) fn reconcile_assignment(&mut self, now: MonoMs) {
        self.log_assignment_problem();
        if self.machine.phase() == Phase::Loading || self.is_recovering() {
            return;
        }
        if self.held.is_some() && self.held.as_ref() == self.assigned_target() {
            return self.on_held_assigned(now);
        }
        let Some(assigned) = self.active_assignment().cloned() else {
            return self.on_none_assigned(now);
        };
        if self
            .failure
            .as_ref()
            .is_some_and(|it| it.target == assigned.target)
        {
            // The VM does not retry a failed target until the rollout changes it.
            return;
        }
        if let Lookup::Unusable(error) = self.lookup(&assigned.target, now) {
            self.log_once(event::VERSION_UNUSABLE, format!("{error}"));
            return self.on_none_assigned(now);
        }
        self.on_new_assigned(assigned, now);
    }

    /// Returns true while the VM restores a lost version; another assignment ends that.
    fn is_recovering(&self) -> bool {
        if self.lost.is_none() {
            return false;
        }
        let assigned_now = self.active_assignment().map(|assigned| &assigned.target);
        let failed = self.failure.as_ref().map(|failure| &failure.target);
        let unchanged = |then: Option<&Target>| assigned_now.is_none() || assigned_now == then;
        match self.goal.as_ref().map(|goal| &goal.purpose) {
            Some(Purpose::Restore(assigned_then)) => unchanged(assigned_then.as_ref()),
            _ => self.machine.phase() == Phase::Failed && unchanged(failed),
        }
    }

    fn on_held_assigned(&mut self, now: MonoMs) {
        if self.machine.phase() != Phase::Serving {
            self.handle_event(SwitchEvent::WantHeld, now);
        }
    }

    fn on_none_assigned(&mut self, now: MonoMs) {
        let settled = matches!(self.machine.phase(), Phase::Idle | Phase::Failed);
        if settled && self.goal.is_none() {
            return;
        }
        if let Some(goal) = &self.goal {
            log_event!(
                event::SWITCH_ABANDONED,
                "version {} is no longer assigned to this VM",
                goal.target.version
            );
        }
        self.handle_event(SwitchEvent::WantNone, now);
    }

    fn on_new_assigned(&mut self, assigned: AssignedVersion, now: MonoMs) {
        if let Some(goal) = &mut self.goal
            && goal.target == assigned.target
        {
            // Another field of the rollout may have changed.
            goal.purpose = Purpose::Switch(assigned);
            return;
        }
        self.next_goal = Some(Goal {
            target: assigned.target.clone(),
            purpose: Purpose::Switch(assigned),
        });
        self.handle_event(SwitchEvent::WantNew, now);
    }

    fn log_assignment_problem(&mut self) {
        match self.assignment.clone() {
            Assignment::Unusable(err) => self.log_once(event::VERSION_UNUSABLE, err.to_string()),
            Assignment::Halted(assigned, reason) => {
                let text = format!("rollout {}: {reason}", assigned.rollout.name);
                self.log_once(event::ROLLOUT_HALTED, text);
            }
            Assignment::Unassigned | Assignment::Version(_) => {}
        }
    }

    /// Logs a lasting condition, unless its text equals the last one logged.
    pub(super) fn log_once(&mut self, event: event::Event, text: String) {
        if self.logged_conditions.get(&event.number) == Some(&text) {
            return;
        }
        log_event!(event, "{text}");
        self.logged_conditions.insert(event.number, text);
    }

    /// Looks up the manifests of a target and queues reads of missing ones.
    pub(super) fn lookup(&mut self, target: &Target, now: MonoMs) -> Lookup {
        let mut reads = Vec::new();
        let found = self.manifests.lookup(target, now, &mut reads);
        for digest in reads {
            let command = Command::ReadManifest(digest);
            if !self.commands.contains(&command) {
                self.commands.push(command);
            }
        }
        found
    }

    /// Detects the version that the engine held when the agent started.
    ///
    /// Returns true while the manifests of that version are being read.
    pub(super) fn detect_held(&mut self, now: MonoMs) -> bool {
        let phase = self.machine.phase();
        let may_detect = matches!(phase, Phase::Idle | Phase::Fetching | Phase::Verified);
        if !may_detect || self.held.is_some() || self.lost.is_some() {
            return false;
        }
        let Some((version, adapters)) = self.engine.ready_version() else {
            return false;
        };
        let target = match resolve(&self.snapshot.config, &version, &adapters) {
            Ok(target) => target,
            Err(error) => {
                let text = format!("the engine holds version {version}: {error}");
                self.log_once(event::ENGINE_UNKNOWN_VERSION, text);
                return false;
            }
        };
        let manifests = match self.lookup(&target, now) {
            Lookup::Ready(manifests) => manifests,
            Lookup::Pending => return true,
            Lookup::Unusable(error) => {
                let text = format!("the engine holds version {version}: {error}");
                self.log_once(event::ENGINE_UNKNOWN_VERSION, text);
                return false;
            }
        };
        match self.engine.load_status(&target, &manifests) {
            Some(LoadStatus::Loaded) => {
                log_event!(
                    event::VERSION_ALREADY_LOADED,
                    "the engine holds version {version}"
                );
                self.held = Some(target);
                self.serving_since = now;
            }
            Some(LoadStatus::Corrupt(text)) => self.log_once(event::ENGINE_UNKNOWN_VERSION, text),
            _ => {}
        }
        false
    }

    /// Passes the copies of the goal to the transfer and checks their progress.
    pub(super) fn update_copies(&mut self, now: MonoMs) {
        let phase = self.machine.phase();
        let Some(goal) = self.goal.clone() else {
            return;
        };
        if phase == Phase::Failed {
            return;
        }
        match self.lookup(&goal.target, now) {
            Lookup::Ready(manifests) => self.request_copies(&goal, manifests, now),
            Lookup::Pending => return,
            Lookup::Unusable(error) => {
                return self.log_once(event::VERSION_UNUSABLE, error.to_string());
            }
        }
        if phase == Phase::Fetching {
            self.check_progress(&goal, now);
        }
    }

    fn request_copies(&mut self, goal: &Goal, manifests: Vec<Arc<Manifest>>, now: MonoMs) {
        let (peers, origin_weighting) = self.peers(goal, now);
        let digests: Vec<Digest> = goal.target.all_weights().map(|it| it.manifest).collect();
        if digests == self.requested_copies && peers == self.requested_peers {
            return;
        }
        let mut copies = Vec::with_capacity(digests.len());
        for (digest, manifest) in digests.iter().zip(manifests) {
            copies.push(WantedCopy {
                digest: *digest,
                manifest,
                peers: Arc::clone(&peers),
                origin_weighting,
            });
        }
        (self.transfer.set_wanted)(copies);
        self.requested_copies = digests;
        self.requested_peers = peers;
    }

    fn peers(&mut self, goal: &Goal, now: MonoMs) -> (Arc<Vec<TransferPeer>>, Share) {
        let rollout = match &goal.purpose {
            Purpose::Switch(assigned) => Some(assigned.rollout.clone()),
            Purpose::Restore(_) => self
                .assigned_or_halted()
                .map(|assigned| assigned.rollout.clone()),
        };
        let Some(rollout) = rollout else {
            let own = self.evaluator.own_peer(&self.snapshot);
            return (Arc::new(own), Share::default());
        };
        let group = self.evaluator.group(&self.snapshot, &rollout, now);
        (Arc::clone(&group.peers), rollout.origin_weighting)
    }

    fn check_progress(&mut self, goal: &Goal, now: MonoMs) {
        let mut all_verified = true;
        for weights in goal.target.all_weights() {
            let progress = (self.transfer.progress)(&weights.manifest);
            if let Some(failure) = progress.as_ref().and_then(|it| it.failure.clone()) {
                self.failure_reason = format!("manifest {}: {failure}", weights.manifest);
                return self.handle_event(SwitchEvent::CopiesFailed, now);
            }
            all_verified &= progress.is_some_and(|it| it.verified);
        }
        if all_verified {
            log_event!(
                event::WEIGHTS_VERIFIED,
                "version {} is complete and verified",
                goal.target.version
            );
            self.handle_event(SwitchEvent::CopiesVerified, now);
        }
    }
}
