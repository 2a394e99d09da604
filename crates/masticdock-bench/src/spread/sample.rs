//! Samples the state and resource usage of all VMs.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use masticdock_core::ids::Digest;
use masticdock_platform::{EngineState, EngineStatus};

use super::VERSION;
use crate::fleet::Fleet;

/// Metric that counts the bytes of an agent's control messages.
const CONTROL_BYTES_METRIC: &str = "masticdock_control_bytes_total";

/// Wait after the transfer until gossip has propagated the last status changes.
const GOSSIP_SETTLE: Duration = Duration::from_secs(20);

/// Duration of the measurement of idle agents.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Measurements of one VM.
#[derive(Debug, Clone, Default)]
struct Vm {
    id: String,
    cpu_ms_before: u64,
    control_bytes_before: f64,
    resident_bytes_max: u64,
    cpu_share: f64,
    control_bytes_per_s: f64,
    serves_after_s: Option<f64>,
}

/// Measurements of all VMs since the start of the transfer.
pub(super) struct Sampler {
    started_at: Instant,
    root: Digest,
    vms: Vec<Vm>,
    /// VMs whose engine served weights with a wrong or missing root digest.
    pub(super) corrupt_accepted: BTreeSet<String>,
    /// VMs whose engine was ready without a version or with another one.
    pub(super) mixed_or_partial: BTreeSet<String>,
}

impl Sampler {
    pub(super) fn new(fleet: &mut Fleet, count: usize, root: Digest) -> anyhow::Result<Self> {
        let mut vms = Vec::with_capacity(count);
        for index in 0..count {
            let id = format!("vm-{index}");
            vms.push(Vm {
                cpu_ms_before: fleet.cpu_ms(&id)?,
                control_bytes_before: fleet.metric(&id, CONTROL_BYTES_METRIC)?,
                id,
                ..Vm::default()
            });
        }
        Ok(Self {
            started_at: Instant::now(),
            root,
            vms,
            corrupt_accepted: BTreeSet::new(),
            mixed_or_partial: BTreeSet::new(),
        })
    }

    /// Reads the status of each VM's engine, and measures an agent once its engine
    /// starts to serve.
    pub(super) fn sample(
        &mut self,
        fleet: &mut Fleet,
        killed: &BTreeSet<String>,
    ) -> anyhow::Result<()> {
        let mut serving = 0;
        for vm in &mut self.vms {
            if killed.contains(&vm.id) {
                continue;
            }
            if let Ok(resident_bytes) = fleet.resident_bytes(&vm.id) {
                vm.resident_bytes_max = vm.resident_bytes_max.max(resident_bytes);
            }
            let status: EngineStatus =
                fleet.control_get(&format!("engine-{}", vm.id), "/status")?;
            if status.state != EngineState::Ready {
                continue;
            }
            if status
                .version
                .as_ref()
                .map(masticdock_core::ids::VersionId::as_str)
                != Some(VERSION)
            {
                self.mixed_or_partial.insert(vm.id.clone());
                continue;
            }
            if status.root != Some(self.root) {
                self.corrupt_accepted.insert(vm.id.clone());
                continue;
            }
            serving += 1;
            if vm.serves_after_s.is_none() {
                let elapsed_s = self.started_at.elapsed().as_secs_f64();
                vm.serves_after_s = Some(elapsed_s);
                vm.record_usage(fleet, elapsed_s)?;
            }
        }
        log::info!(
            "{:.1} s: {serving} of {} VMs serve",
            self.started_at.elapsed().as_secs_f64(),
            self.vms.len() - killed.len()
        );
        Ok(())
    }

    pub(super) fn all_serve(&self, killed: &BTreeSet<String>) -> bool {
        let mut alive = self.vms.iter().filter(|vm| !killed.contains(&vm.id));
        alive.all(|vm| vm.serves_after_s.is_some())
    }

    /// Logs the end of the agent's log for each VM that does not serve.
    pub(super) fn log_not_serving(&self, fleet: &mut Fleet, killed: &BTreeSet<String>) {
        for vm in &self.vms {
            if vm.serves_after_s.is_some() || killed.contains(&vm.id) {
                continue;
            }
            log::warn!(
                "{} does not serve the version\n{}",
                vm.id,
                fleet.log_tail(&vm.id)
            );
        }
    }

    pub(super) fn time_to_n_s(&self) -> f64 {
        self.max(|vm| vm.serves_after_s.unwrap_or(0.0))
    }

    pub(super) fn median_s(&self) -> f64 {
        let mut times: Vec<f64> = self.vms.iter().filter_map(|vm| vm.serves_after_s).collect();
        times.sort_by(f64::total_cmp);
        times.get(times.len() / 2).copied().unwrap_or(0.0)
    }

    pub(super) fn serving(&self) -> usize {
        let serving = self.vms.iter().filter(|vm| vm.serves_after_s.is_some());
        serving.count()
    }

    pub(super) fn resident_bytes_max(&self) -> u64 {
        let all = self.vms.iter().map(|vm| vm.resident_bytes_max);
        all.max().unwrap_or(0)
    }

    pub(super) fn cpu_share_max(&self) -> f64 {
        self.max(|vm| vm.cpu_share)
    }

    pub(super) fn control_bytes_per_s_max(&self) -> f64 {
        self.max(|vm| vm.control_bytes_per_s)
    }

    /// Returns the maximum rate of an agent's control messages while nothing is transferred.
    pub(super) fn idle_control_bytes_per_s_max(
        &self,
        fleet: &mut Fleet,
        killed: &BTreeSet<String>,
    ) -> anyhow::Result<f64> {
        std::thread::sleep(GOSSIP_SETTLE);
        let mut before = Vec::new();
        for vm in &self.vms {
            if !killed.contains(&vm.id) {
                before.push((
                    &vm.id,
                    Instant::now(),
                    fleet.metric(&vm.id, CONTROL_BYTES_METRIC)?,
                ));
            }
        }
        std::thread::sleep(IDLE_TIME);
        let mut highest = 0.0_f64;
        for (id, at, bytes_before) in before {
            let bytes = fleet.metric(id, CONTROL_BYTES_METRIC)? - bytes_before;
            highest = highest.max(bytes / at.elapsed().as_secs_f64());
        }
        Ok(highest)
    }

    fn max(&self, figure: impl Fn(&Vm) -> f64) -> f64 {
        self.vms.iter().map(figure).fold(0.0, f64::max)
    }
}

impl Vm {
    /// Computes the CPU share and control traffic until the engine started to serve.
    #[expect(
        clippy::cast_precision_loss,
        reason = "processor time is far below 2^52 ms"
    )]
    fn record_usage(&mut self, fleet: &mut Fleet, elapsed_s: f64) -> anyhow::Result<()> {
        let cpu_ms = fleet.cpu_ms(&self.id)?.saturating_sub(self.cpu_ms_before);
        self.cpu_share = cpu_ms as f64 / 1_000.0 / elapsed_s;
        let control_bytes =
            fleet.metric(&self.id, CONTROL_BYTES_METRIC)? - self.control_bytes_before;
        self.control_bytes_per_s = control_bytes / elapsed_s;
        Ok(())
    }
}
