//! Pools of idle connections to upstreams.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use masticdock_adapter::{CallError, Connection, connect};
use masticdock_core::ids::UpstreamId;
use masticdock_core::serving::{AttemptHistory, connect_timeout_ms};
use masticdock_core::units::MonoMs;
use tokio::time::timeout_at;

use super::candidates::ChosenUpstream;
use super::cold_start;
use super::request::Call;
use super::state::Entry;
use crate::clock;

/// Maximum idle time of a pooled connection, in milliseconds.
const IDLE_TIMEOUT_MAX_MS: u64 = 4_000;
/// Time before the upstream's idle timeout at which a connection is discarded, in
/// milliseconds.
const IDLE_MARGIN_MS: u64 = 500;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: MonoMs,
    expires_at: MonoMs,
}

/// Connection for one attempt.
#[derive(Debug)]
pub(super) struct AttemptConnection {
    pub(super) connection: Connection,
    /// True if the connection carried other requests before.
    pub(super) is_reused: bool,
}

/// Takes an idle connection to the chosen upstream or opens one; returns `None` if the
/// upstream cannot be reached.
pub(super) async fn acquire_connection(
    entry: &Entry,
    call: &Call,
    chosen: &ChosenUpstream,
    history: &AttemptHistory,
) -> Option<AttemptConnection> {
    let id = &chosen.upstream.id;
    // An upstream may close an idle connection while a request is being sent on it; a request
    // that may run once cannot be retried then. On a reused connection, a request without an
    // id cannot be told from others.
    if call.route.kind.is_safe_to_retry()
        && !call.head.request_id.is_empty()
        && let Some(connection) = entry.pools.take_idle(id)
    {
        return Some(AttemptConnection {
            connection,
            is_reused: true,
        });
    }
    let timeout = Duration::from_millis(connect_timeout_ms(history));
    let opened = entry.pools.open(chosen.upstream.address, timeout);
    let error = match timeout_at(call.deadline, opened).await {
        Ok(Ok(connection)) => {
            return Some(AttemptConnection {
                connection,
                is_reused: false,
            });
        }
        Ok(Err(error)) => error.to_string(),
        Err(_) => "the deadline passed while connecting".to_owned(),
    };
    entry.with_load(id, |load| load.record_error(clock::now()));
    cold_start::record_unreachable(entry, &chosen.upstream);
    log::warn!(
        event = "upstream.unreachable",
        request_id = call.head.request_id.as_str(),
        upstream = id.as_str(),
        error = error.as_str();
        "cannot connect to an upstream"
    );
    None
}

/// Idle connections by upstream.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPools {
    idle: RefCell<HashMap<UpstreamId, Vec<IdleConnection>>>,
}

impl ConnectionPools {
    /// Removes and returns the most recently used idle connection.
    pub(crate) fn take_idle(&self, id: &UpstreamId) -> Option<Connection> {
        let mut pools = self.idle.borrow_mut();
        let pool = pools.get_mut(id)?;
        let now = clock::now();
        pool.retain(|idle| !idle.connection.is_closed() && now < idle.expires_at);
        let index = pool.iter().rposition(|idle| idle.connection.is_ready())?;
        Some(pool.remove(index).connection)
    }

    /// Returns whether a connection to the upstream has been idle since `since` and is open.
    pub(crate) fn has_idle_since(&self, id: &UpstreamId, since: MonoMs) -> bool {
        let pools = self.idle.borrow();
        let mut pool = pools.get(id).into_iter().flatten();
        pool.any(|idle| idle.idle_since <= since && !idle.connection.is_closed())
    }

    /// Opens a new connection, which is not pooled yet.
    pub(crate) async fn open(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Connection, CallError> {
        connect(address, timeout).await
    }

    /// Returns a connection to the pool after its response was read completely.
    pub(crate) fn put_back(
        &self,
        id: &UpstreamId,
        connection: Connection,
        idle_timeout_ms: Option<u64>,
    ) {
        if connection.is_closed() {
            return;
        }
        let now = clock::now();
        let reuse_ms = idle_timeout_ms
            .map_or(IDLE_TIMEOUT_MAX_MS, |timeout_ms| {
                timeout_ms.saturating_sub(IDLE_MARGIN_MS)
            })
            .min(IDLE_TIMEOUT_MAX_MS);
        self.idle
            .borrow_mut()
            .entry(id.clone())
            .or_default()
            .push(IdleConnection {
                connection,
                idle_since: now,
                expires_at: now.plus_ms(reuse_ms),
            });
    }

    /// Closes the idle connections to an upstream.
    pub(crate) fn close_idle(&self, id: &UpstreamId) {
        self.idle.borrow_mut().remove(id);
    }

    /// Closes connections that exceed their idle time.
    pub(crate) fn close_expired(&self) {
        let now = clock::now();
        let mut pools = self.idle.borrow_mut();
        for pool in pools.values_mut() {
            pool.retain(|idle| !idle.connection.is_closed() && now < idle.expires_at);
        }
        pools.retain(|_, pool| !pool.is_empty());
    }
}
