//! Path between an entry and the store that can be cut: what is on it then is lost.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

#[derive(Clone, Default)]
pub struct Proxy(Arc<Path>);

#[derive(Default)]
struct Path {
    is_cut: AtomicBool,
    /// Number of cuts so far; connections from before one carry nothing any more.
    cuts: AtomicU64,
}

impl Proxy {
    /// Starts a path from `address` to `target`.
    pub fn start(address: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let proxy = Self::default();
        let path = Arc::clone(&proxy.0);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let path = Arc::clone(&path);
                // Either end may close its connection at any time.
                thread::spawn(move || path.serve(stream, target));
            }
        });
        Ok(proxy)
    }

    pub fn cut(&self) {
        self.0.cuts.fetch_add(1, Ordering::SeqCst);
        self.0.is_cut.store(true, Ordering::SeqCst);
    }

    /// Ends a cut. Connections that were opened during it stay dead.
    pub fn heal(&self) {
        self.0.is_cut.store(false, Ordering::SeqCst);
    }
}

impl Path {
    fn serve(self: Arc<Self>, near: TcpStream, target: SocketAddr) -> std::io::Result<()> {
        let is_dead = self.is_cut.load(Ordering::SeqCst);
        let cuts = self.cuts.load(Ordering::SeqCst);
        let far = TcpStream::connect(target)?;
        let (near_reader, far_writer) = (near.try_clone()?, far.try_clone()?);
        let path = Arc::clone(&self);
        thread::spawn(move || path.carry(near_reader, far_writer, is_dead, cuts));
        self.carry(far, near, is_dead, cuts)
    }

    fn carry(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        is_dead: bool,
        cuts: u64,
    ) -> std::io::Result<()> {
        let mut bytes = [0; 16_384];
        loop {
            let length = from.read(&mut bytes)?;
            if is_dead || self.cuts.load(Ordering::SeqCst) != cuts {
                // What arrives is lost; the connection stays open, as behind a partition.
                if length == 0 {
                    return Ok(());
                }
                continue;
            }
            if length == 0 {
                return to.shutdown(Shutdown::Write);
            }
            to.write_all(&bytes[..length])?;
        }
    }
}
