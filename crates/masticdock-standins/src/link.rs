//! TCP relays from listen addresses to target addresses, which share one link with a
//! rate limit.
//!
//! The control address takes the faults: `unavailable` 1 cuts the link, `stall` 1
//! holds back all bytes, and `corrupt` is the probability that a bit of a read is
//! flipped. `GET /stats` at that address returns [`LinkStats`].

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Running;
use crate::faults::{Fault, FaultControl};
use crate::http::{self, Call};
use crate::pacer::Pacer;

/// Maximum number of bytes per read.
const READ_BYTES_MAX: usize = 16 << 10;
/// Interval at which an idle connection checks whether the link is cut.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Options of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkOptions {
    /// Address to accept connections on; with port 0, each target gets its own port.
    pub listen: SocketAddr,
    /// Addresses to relay connections to.
    pub targets: Vec<SocketAddr>,
    /// Address of the control requests.
    pub control: SocketAddr,
    /// Rate limit of each direction, over all connections; 0 means no limit.
    pub rate_bytes_per_s: u64,
    /// Delay of each read, in milliseconds.
    pub latency_ms: u64,
}

/// Counts of relayed bytes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkStats {
    /// Bytes sent to the targets.
    pub to_target_bytes: u64,
    /// Bytes received from the targets.
    pub from_target_bytes: u64,
}

struct Direction {
    pacer: Pacer,
    bytes: AtomicU64,
    latency: Duration,
    faults: Arc<FaultControl>,
}

/// Starts a link; returns its control server and the listen address of each target.
///
/// # Errors
///
/// Returns an error if an address cannot be bound.
pub fn spawn(options: &LinkOptions) -> io::Result<(Running, Vec<SocketAddr>)> {
    let faults = Arc::new(FaultControl::default());
    let direction = || {
        Arc::new(Direction {
            pacer: Pacer::new(options.rate_bytes_per_s),
            bytes: AtomicU64::new(0),
            latency: Duration::from_millis(options.latency_ms),
            faults: Arc::clone(&faults),
        })
    };
    let (to_target, from_target) = (direction(), direction());
    let mut addrs = Vec::with_capacity(options.targets.len());
    for target in options.targets.iter().copied() {
        let listener = http::bind(options.listen)?;
        addrs.push(listener.local_addr()?);
        let (to_target, from_target) = (Arc::clone(&to_target), Arc::clone(&from_target));
        thread::spawn(move || accept(&listener, target, &to_target, &from_target));
    }
    let handler = {
        Arc::new(move |call: Call| {
            let stats = LinkStats {
                to_target_bytes: to_target.bytes.load(Ordering::Relaxed),
                from_target_bytes: from_target.bytes.load(Ordering::Relaxed),
            };
            call.answer_json(200, &stats);
        })
    };
    let control = http::spawn(options.control, &faults, handler)?;
    let running = Running {
        addr: control,
        faults,
    };
    Ok((running, addrs))
}

fn accept(
    listener: &TcpListener,
    target: SocketAddr,
    to_target: &Arc<Direction>,
    from_target: &Arc<Direction>,
) {
    for caller in listener.incoming().flatten() {
        if to_target.is_cut() {
            continue;
        }
        if let Err(error) = relay(caller, target, to_target, from_target) {
            log::debug!("cannot relay to {target}: {error}");
        }
    }
}

fn relay(
    caller: TcpStream,
    target: SocketAddr,
    to_target: &Arc<Direction>,
    from_target: &Arc<Direction>,
) -> io::Result<()> {
    let upstream = TcpStream::connect(target)?;
    upstream.set_nodelay(true)?;
    let pairs = [
        (caller.try_clone()?, upstream.try_clone()?, to_target),
        (upstream, caller, from_target),
    ];
    for (from, to, direction) in pairs {
        from.set_read_timeout(Some(CUT_POLL_INTERVAL))?;
        let direction = Arc::clone(direction);
        thread::spawn(move || {
            if direction.copy(&from, &to).is_err() {
                let _unused = from.shutdown(Shutdown::Both);
            }
            let _unused = to.shutdown(Shutdown::Write);
        });
    }
    Ok(())
}

impl Direction {
    fn is_cut(&self) -> bool {
        self.faults.get().unavailable >= 1.0
    }

    fn copy(&self, mut from: &TcpStream, mut to: &TcpStream) -> io::Result<()> {
        let mut buffer = vec![0; READ_BYTES_MAX];
        loop {
            if self.is_cut() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let len = match from.read(&mut buffer) {
                Ok(0) => return Ok(()),
                Ok(len) => len,
                Err(error) if is_timeout(&error) => continue,
                Err(error) => return Err(error),
            };
            let draw = self.faults.draw("relay");
            if draw.fault == Fault::Corrupt {
                buffer[len / 2] ^= 1;
            }
            thread::sleep(self.latency);
            self.pacer.pace(len);
            if draw.fault == Fault::Stall {
                self.faults.wait_until_replaced(draw.generation);
            }
            if self.is_cut() {
                continue;
            }
            to.write_all(&buffer[..len])?;
            self.bytes.fetch_add(len as u64, Ordering::Relaxed);
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}
