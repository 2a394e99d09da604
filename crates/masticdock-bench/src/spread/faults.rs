//! Schedules faults during the transfer, drawn from a seeded generator.

use std::collections::BTreeSet;
use std::time::Duration;

use masticdock_standins::Faults;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::SpreadArgs;
use crate::fleet::Fleet;

/// One of this many VMs is killed.
const KILL_DIVISOR: usize = 10;

/// One of this many VMs is suspended for a while, so that its connections stay
/// open without carrying bytes.
const SUSPEND_DIVISOR: usize = 20;

/// Duration of a VM's suspension and of the link's stall, in seconds.
const STALL_S: f64 = 8.0;

/// Share of the origin's responses that is corrupted.
const CORRUPT_SHARE: f64 = 0.02;

/// Name of the link between a region and the platform that is stalled.
const STALLED_LINK: &str = "link-r2";

/// A fault to inject, or the end of one.
#[derive(Debug, Clone)]
enum Action {
    Kill(String),
    Freeze(String),
    Thaw(String),
    CorruptOrigin,
    StallLink,
    ReleaseLink,
}

/// Pending faults, and the VMs killed so far.
pub(super) struct Schedule {
    /// Pending actions with their time in seconds, the latest first.
    actions: Vec<(f64, Action)>,
    killed: BTreeSet<String>,
}

impl Schedule {
    pub(super) fn new(args: &SpreadArgs, bound_s: f64) -> Self {
        let mut schedule = Self {
            actions: Vec::new(),
            killed: BTreeSet::new(),
        };
        if args.faults {
            log::info!("drawing faults from seed {}", args.seed);
            schedule.draw(args, bound_s);
        }
        schedule
    }

    fn draw(&mut self, args: &SpreadArgs, bound_s: f64) {
        let mut rng = ChaCha8Rng::seed_from_u64(args.seed);
        let mut vms: Vec<String> = (0..args.vms).map(|index| format!("vm-{index}")).collect();
        vms.shuffle(&mut rng);
        let mut vms = vms.into_iter();
        let actions = &mut self.actions;
        actions.push((0.0, Action::CorruptOrigin));
        for vm in vms.by_ref().take(args.vms / KILL_DIVISOR) {
            let at_s = rng.random_range(0.1..0.8) * bound_s;
            actions.push((at_s, Action::Kill(vm)));
        }
        for vm in vms.take(args.vms / SUSPEND_DIVISOR) {
            let at_s = rng.random_range(0.1..0.7) * bound_s;
            actions.push((at_s, Action::Freeze(vm.clone())));
            actions.push((at_s + STALL_S, Action::Thaw(vm)));
        }
        let at_s = rng.random_range(0.2..0.6) * bound_s;
        actions.push((at_s, Action::StallLink));
        actions.push((at_s + STALL_S, Action::ReleaseLink));
        actions.sort_by(|a, b| b.0.total_cmp(&a.0));
    }

    /// Executes all actions that are due.
    pub(super) fn apply(&mut self, fleet: &mut Fleet, elapsed: Duration) -> anyhow::Result<()> {
        while let Some((at_s, _)) = self.actions.last() {
            if *at_s > elapsed.as_secs_f64() {
                return Ok(());
            }
            let Some((_, action)) = self.actions.pop() else {
                return Ok(());
            };
            log::info!("fault: {action:?}");
            self.execute(fleet, action)?;
        }
        Ok(())
    }

    fn execute(&mut self, fleet: &mut Fleet, action: Action) -> anyhow::Result<()> {
        let stall = |stall| Faults {
            stall,
            ..Faults::default()
        };
        match action {
            Action::Kill(vm) => {
                fleet.kill(&vm)?;
                self.killed.insert(vm);
                Ok(())
            }
            Action::Freeze(vm) => fleet.stop(&vm),
            Action::Thaw(vm) => fleet.go_on(&vm),
            Action::CorruptOrigin => {
                let faults = Faults {
                    corrupt: CORRUPT_SHARE,
                    only: "/generated/".to_owned(),
                    ..Faults::default()
                };
                fleet.set_faults("origin", &faults)
            }
            Action::StallLink => fleet.set_faults(STALLED_LINK, &stall(1.0)),
            Action::ReleaseLink => fleet.set_faults(STALLED_LINK, &stall(0.0)),
        }
    }

    pub(super) const fn killed(&self) -> &BTreeSet<String> {
        &self.killed
    }

    pub(super) const fn is_over(&self) -> bool {
        self.actions.is_empty()
    }
}
