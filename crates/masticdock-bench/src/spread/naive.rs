//! Baseline for comparison: every VM reads the whole copy from the origin.

use std::net::{Ipv4Addr, SocketAddr};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use masticdock_platform::{HttpSettings, OriginClient};
use masticdock_standins::origin;

use super::rates::Rates;

/// Timeout of a read that receives no bytes.
const STALL_TIMEOUT: Duration = Duration::from_mins(1);

/// Minimum number of simulated VMs.
const VMS_MIN: u64 = 2;

/// Results of the naive version.
pub(super) struct NaiveFigures {
    pub(super) vms: u64,
    pub(super) time_to_n_s: f64,
    pub(super) origin_copies: u64,
}

/// Starts the naive version in a thread, in parallel to the measured fleet.
pub(super) fn spawn(rates: &Rates) -> anyhow::Result<JoinHandle<anyhow::Result<NaiveFigures>>> {
    let rates = rates.clone();
    let thread = thread::Builder::new().name("naive".to_owned());
    Ok(thread.spawn(move || measure(&rates))?)
}

/// Reads one copy per VM, with as many VMs as the origin can serve in the time allowed.
fn measure(rates: &Rates) -> anyhow::Result<NaiveFigures> {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let origin = origin::spawn(addr, rates.origin_bytes_per_s)?;
    let allowed_bytes = rates.allowed_s * rates.origin_bytes_per_s;
    let vms_in_time = allowed_bytes.div_ceil(rates.copy_bytes);
    let vms = vms_in_time.max(VMS_MIN);
    let started_at = Instant::now();
    let mut readers = Vec::new();
    for _ in 0..vms {
        let client = OriginClient::new(format!("http://{}", origin.addr), HttpSettings::default());
        let rates = rates.clone();
        readers.push(thread::spawn(move || read_copy(&client, &rates)));
    }
    for reader in readers {
        let result = reader.join();
        result.map_err(|_| anyhow::anyhow!("a reader of the naive version panicked"))??;
    }
    Ok(NaiveFigures {
        vms,
        time_to_n_s: started_at.elapsed().as_secs_f64(),
        origin_copies: vms,
    })
}

fn read_copy(client: &OriginClient, rates: &Rates) -> anyhow::Result<()> {
    let object = format!("generated/{}/naive", rates.copy_bytes);
    client.read_paced(&object, 0, rates.copy_bytes, STALL_TIMEOUT, &mut |_| true)?;
    Ok(())
}
