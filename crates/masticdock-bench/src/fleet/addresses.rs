//! Loopback addresses of the child processes.

use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};

/// Numbers the processes that this process started.
static NEXT: AtomicU32 = AtomicU32::new(0);

/// Addresses given out, because the kernel may offer a port again once it was closed.
///
/// The lock is held while a port is probed and while a child is forked. Until it
/// executes its program, a child holds copies of all descriptors, so a probed
/// port would stay bound for that time.
static GIVEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());

/// Processes that get an address of their own.
const PROCESSES_MAX: u32 = 508;
/// Attempts to find a port that is free for TCP and UDP.
const PORT_ATTEMPTS: u32 = 50;

/// Returns the next loopback address, derived from the process id and a counter.
///
/// Two processes share an address only when their ids agree in the lower 15
/// bits or one starts more than 508 children; ports still keep them apart.
pub(super) fn next_ip() -> IpAddr {
    let number = NEXT.fetch_add(1, Ordering::Relaxed) % PROCESSES_MAX;
    let pid = std::process::id();
    let low = |value: u32| u8::try_from(value & 0xff).unwrap_or(0);
    // The second byte is 1 to 254: 7 bits of the process id and the upper half of the counter.
    let second = 1 + (pid >> 8) % 127 + 127 * (number / 254);
    IpAddr::V4(Ipv4Addr::new(
        127,
        low(second),
        low(pid),
        low(1 + number % 254),
    ))
}

/// Returns a port of `ip` that is free for TCP and UDP.
pub(super) fn free_addr(ip: IpAddr) -> io::Result<SocketAddr> {
    let mut given = GIVEN.lock().unwrap_or_else(PoisonError::into_inner);
    for _ in 0..PORT_ATTEMPTS {
        let addr = TcpListener::bind((ip, 0))?.local_addr()?;
        if UdpSocket::bind(addr).is_ok() && given.insert(addr) {
            return Ok(addr);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Starts a child while no port is probed.
pub(super) fn spawn(command: &mut Command) -> io::Result<Child> {
    let _guard = GIVEN.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}
