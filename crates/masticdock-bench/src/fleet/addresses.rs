//! Allocates loopback addresses and ports for the child processes.

use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};

/// Number of IP addresses handed out so far by [`next_ip`].
static NEXT_IP_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Addresses already allocated, since the kernel may offer a port again after it is closed.
///
/// The lock is held while a port is probed and while a child is forked. Between
/// fork and exec a child holds copies of all file descriptors, which would keep
/// a probed port bound.
static ALLOCATED: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());

/// Number of distinct IP addresses; further processes reuse them.
const DISTINCT_IPS: u32 = 508;
/// Maximum number of attempts to find a port that is free for both TCP and UDP.
const PORT_ATTEMPTS_MAX: u32 = 50;

/// Returns the next loopback address, derived from the process id and a counter.
///
/// Two launchers use the same IP addresses only if their process ids agree in the
/// lower 15 bits, and one launcher repeats them only beyond 508 children. Ports
/// remain distinct in both cases.
pub(super) fn next_ip() -> IpAddr {
    let number = NEXT_IP_NUMBER.fetch_add(1, Ordering::Relaxed) % DISTINCT_IPS;
    let pid = std::process::id();
    let low = |value: u32| u8::try_from(value & 0xff).unwrap_or(0);
    // The second byte is 1 to 254: it combines 7 bits of the process id with the counter's
    // upper half.
    let second = 1 + (pid >> 8) % 127 + 127 * (number / 254);
    IpAddr::V4(Ipv4Addr::new(
        127,
        low(second),
        low(pid),
        low(1 + number % 254),
    ))
}

/// Allocates an address on `ip` whose port is free for both TCP and UDP.
pub(super) fn free_addr(ip: IpAddr) -> io::Result<SocketAddr> {
    let mut allocated = ALLOCATED.lock().unwrap_or_else(PoisonError::into_inner);
    for _ in 0..PORT_ATTEMPTS_MAX {
        let addr = TcpListener::bind((ip, 0))?.local_addr()?;
        if UdpSocket::bind(addr).is_ok() && allocated.insert(addr) {
            return Ok(addr);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Spawns a child process while no port is being probed.
pub(super) fn spawn(command: &mut Command) -> io::Result<Child> {
    let _guard = ALLOCATED.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn()
}
