//! Report of a measurement run.

use serde::Serialize;

use super::SpreadArgs;
use super::naive::NaiveFigures;
use super::rates::Rates;
use super::sample::Sampler;
use crate::fleet::Fleet;

/// Results of one run, printed as a JSON object.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    vms: usize,
    bytes: u64,
    chunks: u64,
    weighting: f64,
    faults: bool,
    seed: u64,
    serving: usize,
    time_to_n_s: f64,
    median_s: f64,
    bound_s: f64,
    time_ratio: f64,
    origin_copies: f64,
    naive_vms: u64,
    naive_time_to_n_s: f64,
    naive_origin_copies: u64,
    corrupt_accepted: usize,
    mixed_or_partial_served: usize,
    /// Maximum resident memory of an agent, without the weights.
    agent_rss_mib_max: u64,
    agent_cpu_core_share_max: f64,
    /// Control traffic sent and received from the start of the transfer until the VM served.
    agent_control_bytes_per_s_max: f64,
    /// Control traffic after the transfer, while nothing changes.
    agent_control_bytes_per_s_idle_max: f64,
}

impl Report {
    #[expect(clippy::cast_precision_loss, reason = "byte counts are far below 2^52")]
    pub(super) fn new(
        args: &SpreadArgs,
        rates: &Rates,
        sampler: &Sampler,
        fleet: &Fleet,
        idle_control_bytes_per_s: f64,
    ) -> anyhow::Result<Self> {
        let bound_s = rates.bound_s(args.vms);
        let time_to_n_s = sampler.time_to_n_s();
        let read_bytes = fleet.origin_stats()?.read_bytes;
        let overhead_bytes = sampler
            .resident_bytes_max()
            .saturating_sub(rates.copy_bytes);
        Ok(Self {
            vms: args.vms,
            bytes: rates.copy_bytes,
            chunks: rates.copy_bytes.div_ceil(rates.chunk_bytes),
            weighting: args.weighting,
            faults: args.faults,
            seed: args.seed,
            serving: sampler.serving(),
            time_to_n_s,
            median_s: sampler.median_s(),
            bound_s,
            time_ratio: time_to_n_s / bound_s,
            origin_copies: read_bytes as f64 / rates.copy_bytes as f64,
            naive_vms: 0,
            naive_time_to_n_s: 0.0,
            naive_origin_copies: 0,
            corrupt_accepted: sampler.corrupt_accepted.len(),
            mixed_or_partial_served: sampler.mixed_or_partial.len(),
            agent_rss_mib_max: overhead_bytes >> 20,
            agent_cpu_core_share_max: sampler.cpu_share_max(),
            agent_control_bytes_per_s_max: sampler.control_bytes_per_s_max(),
            agent_control_bytes_per_s_idle_max: idle_control_bytes_per_s,
        })
    }

    pub(super) const fn add_naive(&mut self, naive: &NaiveFigures) {
        self.naive_vms = naive.vms;
        self.naive_time_to_n_s = naive.time_to_n_s;
        self.naive_origin_copies = naive.origin_copies;
    }
}
