//! Naive version: every VM reads the whole copy from the origin.

use std::net::{Ipv4Addr, SocketAddr};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use masticdock_platform::{HttpSettings, OriginClient};
use masticdock_standins::origin;

use super::rates::Rates;

/// Time without a byte after which a read fails.
const STALL_TIMEOUT: Duration = Duration::from_mins(1);

/// Smallest number of VMs.
const VMS_MIN: u64 = 2;

/// Figures of the naive version.
pub(super) struct NaiveFigures {
    pub(super) vms: u64,
    pub(super) time_to_n_s: f64,
    pub(super) origin_copies: u64,
}

/// Starts the naive version beside the measured one.
pub(super) fn spawn(rates: &Rates) -> anyhow::Result<JoinHandle<anyhow::Result<NaiveFigures>>> {
    let rates = rates.clone();
    let thread = thread::Builder::new().name("naive".to_owned());
    Ok(thread.spawn(move || measure(&rates))?)
}

fn measure(rates: &Rates) -> anyhow::Result<NaiveFigures> {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let origin = origin::spawn(addr, rates.origin_bytes_per_s)?;
    let in_time_bytes = rates.allowed_s * rates.origin_bytes_per_s;
    let in_time = in_time_bytes.div_ceil(rates.copy_bytes);
    let vms = in_time.max(VMS_MIN);
    let begin = Instant::now();
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
        time_to_n_s: begin.elapsed().as_secs_f64(),
        origin_copies: vms,
    })
}

fn read_copy(client: &OriginClient, rates: &Rates) -> anyhow::Result<()> {
    let object = format!("generated/{}/naive", rates.copy_bytes);
    client.read_paced(&object, 0, rates.copy_bytes, STALL_TIMEOUT, &mut |_| true)?;
    Ok(())
}
