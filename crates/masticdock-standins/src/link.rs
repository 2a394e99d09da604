//! Paced TCP relay between listen addresses and target addresses that share a link.
//!
//! The faults are set on the control address: `unavailable` 1 cuts the link,
//! `stall` 1 holds all bytes, `corrupt` flips a byte of a read with this
//! probability. `GET /stats` there answers [`LinkStats`].

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Running;
use crate::faults::{FaultControl, Hit};
use crate::http::{self, Call};
use crate::pacer::Pacer;

/// Bytes relayed at once.
const READ_BYTES: usize = 16 << 10;
/// Time between two looks at whether the link is cut.
const CUT_POLL: Duration = Duration::from_millis(20);

/// Options of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkOptions {
    /// Address on which connections are taken; with port 0 each target has its own port.
    pub listen: SocketAddr,
    /// Addresses to which they are relayed.
    pub targets: Vec<SocketAddr>,
    /// Address of the fault controls.
    pub control: SocketAddr,
    /// Rate of each direction over all connections; 0 means no limit.
    pub rate_bytes_per_s: u64,
    /// Time that each read is held back, in milliseconds.
    pub latency_ms: u64,
}

/// Bytes relayed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkStats {
    /// Bytes towards the target.
    pub to_target_bytes: u64,
    /// Bytes from the target.
    pub from_target_bytes: u64,
}

struct Direction {
    pacer: Pacer,
    bytes: AtomicU64,
    latency: Duration,
    faults: Arc<FaultControl>,
}

/// Starts a link; returns the control and the address that stands for each target.
///
/// # Errors
///
/// Fails when an address cannot be bound.
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
    let (there, back) = (direction(), direction());
    let mut addrs = Vec::with_capacity(options.targets.len());
    for target in options.targets.iter().copied() {
        let listener = http::bind(options.listen)?;
        addrs.push(listener.local_addr()?);
        let (there, back) = (Arc::clone(&there), Arc::clone(&back));
        thread::spawn(move || accept(&listener, target, &there, &back));
    }
    let handler = {
        Arc::new(move |call: Call| {
            let stats = LinkStats {
                to_target_bytes: there.bytes.load(Ordering::Relaxed),
                from_target_bytes: back.bytes.load(Ordering::Relaxed),
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
    there: &Arc<Direction>,
    back: &Arc<Direction>,
) {
    for caller in listener.incoming().flatten() {
        if there.is_cut() {
            continue;
        }
        if let Err(error) = relay(caller, target, there, back) {
            log::debug!("cannot relay to {target}: {error}");
        }
    }
}

fn relay(
    caller: TcpStream,
    target: SocketAddr,
    there: &Arc<Direction>,
    back: &Arc<Direction>,
) -> io::Result<()> {
    let upstream = TcpStream::connect(target)?;
    upstream.set_nodelay(true)?;
    let pairs = [
        (caller.try_clone()?, upstream.try_clone()?, there),
        (upstream, caller, back),
    ];
    for (from, to, direction) in pairs {
        from.set_read_timeout(Some(CUT_POLL))?;
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
        let mut buffer = vec![0; READ_BYTES];
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
            if draw.hit == Hit::Corrupt {
                buffer[len / 2] ^= 1;
            }
            thread::sleep(self.latency);
            self.pacer.pace(len);
            if draw.hit == Hit::Stall {
                self.faults.wait_changed(draw.generation);
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
