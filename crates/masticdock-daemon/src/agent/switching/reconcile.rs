//! Steps of the driver that follow the configuration and the transfer.

use std::sync::Arc;

use masticdock_core::event;
use masticdock_core::ids::Digest;
use masticdock_core::manifest::Manifest;
use masticdock_core::membership::Phase;
use masticdock_core::switch::SwitchEvent;
use masticdock_core::units::{MonoMs, Share};

use super::assignment::{Want, Wanted};
use super::driver::{Driver, Goal, Purpose};
use super::engine_view::Holding;
use super::manifest_cache::Lookup;
use super::message::Command;
use super::target::{Target, resolve};
use crate::agent::transfer::{TransferPeer, WantedCopy};
use crate::event_log::log_event;

impl Driver {
    /// Returns the wanted version unless the rollout halted or is unusable.
    fn usable_want(&self) -> Option<&Wanted> {
        match &self.want {
            Want::Version(wanted) => Some(wanted),
            Want::Nothing | Want::Halted(..) | Want::Unusable(_) => None,
        }
    }

    /// Returns what the rollout brings, even when it halted.
    pub(super) fn any_want(&self) -> Option<&Wanted> {
        match &self.want {
            Want::Version(wanted) | Want::Halted(wanted, _) => Some(wanted),
            Want::Nothing | Want::Unusable(_) => None,
        }
    }

    pub(super) fn want_target(&self) -> Option<&Target> {
        self.any_want().map(|wanted| &wanted.target)
    }

    /// Feeds the chart what the configuration wants.
    pub(super) fn follow_want(&mut self, now: MonoMs) {
        self.log_complaint();
        if self.machine.phase() == Phase::Loading || self.is_recovering() {
            return;
        }
        if self.held.is_some() && self.held.as_ref() == self.want_target() {
            return self.on_want_held(now);
        }
        let Some(wanted) = self.usable_want().cloned() else {
            return self.on_want_none(now);
        };
        if self
            .failure
            .as_ref()
            .is_some_and(|it| it.target == wanted.target)
        {
            // It is tried again once the rollout brings something else.
            return;
        }
        if let Lookup::Unusable(error) = self.lookup(&wanted.target, now) {
            self.complain(event::VERSION_UNUSABLE, format!("{error}"));
            return self.on_want_none(now);
        }
        self.on_want_new(wanted, now);
    }

    /// Returns true while the engine gets back what it lost; another wish ends that.
    fn is_recovering(&self) -> bool {
        if self.lost.is_none() {
            return false;
        }
        let wanted_now = self.usable_want().map(|wanted| &wanted.target);
        let failed = self.failure.as_ref().map(|failure| &failure.target);
        let unchanged = |then: Option<&Target>| wanted_now.is_none() || wanted_now == then;
        match self.goal.as_ref().map(|goal| &goal.purpose) {
            Some(Purpose::Restore(wanted_then)) => unchanged(wanted_then.as_ref()),
            _ => self.machine.phase() == Phase::Failed && unchanged(failed),
        }
    }

    fn on_want_held(&mut self, now: MonoMs) {
        if self.machine.phase() != Phase::Serving {
            self.feed(SwitchEvent::WantHeld, now);
        }
    }

    fn on_want_none(&mut self, now: MonoMs) {
        let settled = matches!(self.machine.phase(), Phase::Idle | Phase::Failed);
        if settled && self.goal.is_none() {
            return;
        }
        if let Some(goal) = &self.goal {
            log_event!(
                event::SWITCH_ABANDONED,
                "version {} is no longer wanted here",
                goal.target.version
            );
        }
        self.feed(SwitchEvent::WantNone, now);
    }

    fn on_want_new(&mut self, wanted: Wanted, now: MonoMs) {
        if let Some(goal) = &mut self.goal
            && goal.target == wanted.target
        {
            // The rollout may have changed in another field.
            goal.purpose = Purpose::Switch(wanted);
            return;
        }
        self.next_goal = Some(Goal {
            target: wanted.target.clone(),
            purpose: Purpose::Switch(wanted),
        });
        self.feed(SwitchEvent::WantNew, now);
    }

    fn log_complaint(&mut self) {
        match self.want.clone() {
            Want::Unusable(error) => self.complain(event::VERSION_UNUSABLE, error.to_string()),
            Want::Halted(wanted, reason) => {
                let text = format!("rollout {}: {reason}", wanted.rollout.name);
                self.complain(event::ROLLOUT_HALTED, text);
            }
            Want::Nothing | Want::Version(_) => {}
        }
    }

    /// Logs a complaint unless it is the one logged last.
    pub(super) fn complain(&mut self, event: event::Event, text: String) {
        if self.complaints.get(&event.number) == Some(&text) {
            return;
        }
        log_event!(event, "{text}");
        self.complaints.insert(event.number, text);
    }

    /// Looks up manifests and has missing ones read.
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

    /// Finds out what the engine held when the agent started.
    ///
    /// Returns true while the manifests of that version are read.
    pub(super) fn is_finding_held(&mut self, now: MonoMs) -> bool {
        let phase = self.machine.phase();
        let open_phase = matches!(phase, Phase::Idle | Phase::Fetching | Phase::Verified);
        if !open_phase || self.held.is_some() || self.lost.is_some() {
            return false;
        }
        let Some((version, adapters)) = self.engine.ready_version() else {
            return false;
        };
        let target = match resolve(&self.snapshot.config, &version, &adapters) {
            Ok(target) => target,
            Err(error) => {
                let text = format!("the engine holds version {version}: {error}");
                self.complain(event::ENGINE_UNKNOWN_VERSION, text);
                return false;
            }
        };
        let manifests = match self.lookup(&target, now) {
            Lookup::Ready(manifests) => manifests,
            Lookup::Pending => return true,
            Lookup::Unusable(error) => {
                let text = format!("the engine holds version {version}: {error}");
                self.complain(event::ENGINE_UNKNOWN_VERSION, text);
                return false;
            }
        };
        match self.engine.holding(&target, &manifests) {
            Some(Holding::Yes) => {
                log_event!(
                    event::VERSION_ALREADY_LOADED,
                    "the engine holds version {version}"
                );
                self.held = Some(target);
                self.serving_since = now;
            }
            Some(Holding::Corrupt(text)) => self.complain(event::ENGINE_UNKNOWN_VERSION, text),
            _ => {}
        }
        false
    }

    /// Gives the goal's copies to the transfer and watches their progress.
    pub(super) fn follow_copies(&mut self, now: MonoMs) {
        let phase = self.machine.phase();
        let Some(goal) = self.goal.clone() else {
            return;
        };
        if phase == Phase::Failed {
            return;
        }
        match self.lookup(&goal.target, now) {
            Lookup::Ready(manifests) => self.want_copies(&goal, manifests, now),
            Lookup::Pending => return,
            Lookup::Unusable(error) => {
                return self.complain(event::VERSION_UNUSABLE, error.to_string());
            }
        }
        if phase == Phase::Fetching {
            self.check_progress(&goal, now);
        }
    }

    fn want_copies(&mut self, goal: &Goal, manifests: Vec<Arc<Manifest>>, now: MonoMs) {
        let (peers, origin_weighting) = self.peers(goal, now);
        let digests: Vec<Digest> = goal.target.parts().map(|it| it.manifest).collect();
        if digests == self.wanted_copies && peers == self.wanted_peers {
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
        self.wanted_copies = digests;
        self.wanted_peers = peers;
    }

    fn peers(&mut self, goal: &Goal, now: MonoMs) -> (Arc<Vec<TransferPeer>>, Share) {
        let rollout = match &goal.purpose {
            Purpose::Switch(wanted) => Some(wanted.rollout.clone()),
            Purpose::Restore(_) => self.any_want().map(|wanted| wanted.rollout.clone()),
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
        for weights in goal.target.parts() {
            let progress = (self.transfer.progress)(&weights.manifest);
            if let Some(failure) = progress.as_ref().and_then(|it| it.failure.clone()) {
                self.failure_reason = format!("manifest {}: {failure}", weights.manifest);
                return self.feed(SwitchEvent::CopiesFailed, now);
            }
            all_verified &= progress.is_some_and(|it| it.verified);
        }
        if all_verified {
            log_event!(
                event::WEIGHTS_VERIFIED,
                "version {} is complete and verified",
                goal.target.version
            );
            self.feed(SwitchEvent::CopiesVerified, now);
        }
    }
}
