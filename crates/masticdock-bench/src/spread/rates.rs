//! Rates of the emulated links and the lower bound of the transfer time.

use super::{REGIONS, SpreadArgs};

/// Number of copies that the origin's link carries in the time allowed.
const ORIGIN_COPIES: u64 = 4;

/// Number of copies that a VM's link carries in the time allowed.
const VM_COPIES: u64 = 2;

/// Ratio of the rate of a VM's link to the rate between regions: 1 Gbit/s to 25 Mbit/s.
const VM_TO_INTER_REGION_RATIO: u64 = 40;

/// Sizes of the transfer and rates of the links.
#[derive(Debug, Clone)]
pub(super) struct Rates {
    pub(super) copy_bytes: u64,
    pub(super) chunk_bytes: u64,
    pub(super) allowed_s: u64,
    pub(super) origin_bytes_per_s: u64,
    pub(super) vm_bytes_per_s: u64,
    pub(super) inter_region_bytes_per_s: u64,
}

impl Rates {
    pub(super) fn new(args: &SpreadArgs) -> Self {
        let copy_bytes = args.mib << 20;
        let allowed_s = args.allowed_s.max(1);
        let vm_bytes_per_s = copy_bytes * VM_COPIES / allowed_s;
        Self {
            copy_bytes,
            chunk_bytes: args.chunk_kib << 10,
            allowed_s,
            origin_bytes_per_s: copy_bytes * ORIGIN_COPIES / allowed_s,
            vm_bytes_per_s,
            inter_region_bytes_per_s: vm_bytes_per_s / VM_TO_INTER_REGION_RATIO,
        }
    }

    /// Returns the lower bound of the transfer time to `vms` VMs; `--help` shows the formula.
    #[expect(
        clippy::cast_precision_loss,
        reason = "sizes and rates are far below 2^52"
    )]
    pub(super) fn bound_s(&self, vms: usize) -> f64 {
        let chunks = self.copy_bytes.div_ceil(self.chunk_bytes);
        let hops = u64::from(vms.max(1).ilog2());
        let pipeline_bytes = (chunks + hops) * self.chunk_bytes;
        let pipeline_s = pipeline_bytes as f64 / self.vm_bytes_per_s as f64;
        let supply_bytes_per_s = self.origin_bytes_per_s + REGIONS * self.inter_region_bytes_per_s;
        let supply_s = (REGIONS * self.copy_bytes) as f64 / supply_bytes_per_s as f64;
        pipeline_s.max(supply_s)
    }
}
