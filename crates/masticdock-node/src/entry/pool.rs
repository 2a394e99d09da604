//! Kept connections to upstreams.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use masticdock_adapter::{CallError, Connection, connect};
use masticdock_core::ids::UpstreamId;
use masticdock_core::units::MonoMs;

use crate::clock;

/// Time for a connection to an upstream: a healthy one answers within some
/// milliseconds, and a lost packet costs a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest idle time of a kept connection, in milliseconds.
const IDLE_MS_MAX: u64 = 4_000;
/// Time by which a connection is given up before its upstream closes it, in milliseconds.
const IDLE_MARGIN_MS: u64 = 500;

#[derive(Debug)]
struct Kept {
    connection: Connection,
    usable_until: MonoMs,
}

/// Kept connections by upstream.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    kept: RefCell<HashMap<UpstreamId, Vec<Kept>>>,
}

impl Pools {
    /// Returns a connection that is kept, the one used last first.
    pub(crate) fn take(&self, id: &UpstreamId) -> Option<Connection> {
        let mut pools = self.kept.borrow_mut();
        let pool = pools.get_mut(id)?;
        let now = clock::now();
        pool.retain(|kept| !kept.connection.is_closed() && now < kept.usable_until);
        let index = pool.iter().rposition(|kept| kept.connection.is_ready())?;
        Some(pool.remove(index).connection)
    }

    /// Opens a connection.
    pub(crate) async fn open(&self, address: SocketAddr) -> Result<Connection, CallError> {
        connect(address, CONNECT_TIMEOUT).await
    }

    /// Keeps a connection after a whole response.
    pub(crate) fn keep(
        &self,
        id: &UpstreamId,
        connection: Connection,
        idle_timeout_ms: Option<u64>,
    ) {
        if connection.is_closed() {
            return;
        }
        let now = clock::now();
        let idle_ms = idle_timeout_ms
            .map_or(IDLE_MS_MAX, |timeout_ms| {
                timeout_ms.saturating_sub(IDLE_MARGIN_MS)
            })
            .min(IDLE_MS_MAX);
        self.kept
            .borrow_mut()
            .entry(id.clone())
            .or_default()
            .push(Kept {
                connection,
                usable_until: now.plus_ms(idle_ms),
            });
    }

    /// Closes the idle connections to an upstream.
    pub(crate) fn close_idle(&self, id: &UpstreamId) {
        self.kept.borrow_mut().remove(id);
    }

    /// Closes connections that were idle too long.
    pub(crate) fn sweep(&self) {
        let now = clock::now();
        let mut pools = self.kept.borrow_mut();
        for pool in pools.values_mut() {
            pool.retain(|kept| !kept.connection.is_closed() && now < kept.usable_until);
        }
        pools.retain(|_, pool| !pool.is_empty());
    }
}
