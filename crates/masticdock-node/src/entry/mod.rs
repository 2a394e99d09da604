//! Entry role: accepts requests from callers and routes them to upstreams.

mod admission;
mod agents;
mod answer;
mod attempt;
mod attempt_race;
mod body;
mod caller_stream;
mod candidates;
mod cold_start;
mod connections;
mod crashes;
mod eligibility;
mod entry_count;
mod event_queue;
mod live_stream;
mod load_guard;
mod memory;
mod outcome;
mod pool;
mod rate_limits;
mod relay;
mod reports;
mod request;
mod request_body;
mod response_end;
mod response_head;
mod retry;
mod route;
mod shutdown;
mod state;
mod upstreams_server;
mod wait;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use masticdock_adapter::{NodeSettings, Table};
use masticdock_core::serving::DirectoryChange;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::StartError;
use crate::clock;
use crate::http_server::{respond, serve};
use crate::metrics;
use crate::signals::{SignalAction, Signals};
use crate::tables::{PollPause, TableWatcher, poll_limits};
use crate::tasks::spawn_with_state;
use state::Entry;

/// Range of the interval between polls while the configuration changes rapidly; a
/// configuration has to be in force within 2 s.
const OPERATORS_POLL_PAUSE: PollPause = PollPause {
    min: Duration::from_millis(100),
    max: Duration::from_millis(600),
};
/// Interval between removals of lapsed upstreams and expired connections.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the entry until a stop signal arrives and the shutdown completes.
///
/// # Errors
///
/// Returns an error if the settings lack an address, or if a signal handler or the
/// callers' listener cannot be set up.
pub(crate) async fn run(settings: Rc<NodeSettings>, path: PathBuf) -> Result<(), StartError> {
    let mut signals = Signals::register()?;
    let (Some(callers), Some(readiness)) = (settings.callers_address, settings.readiness_address)
    else {
        return Err(StartError::Io(std::io::Error::other(
            "the settings contain no address for callers; tip: run the entry on a VM that callers can reach",
        )));
    };
    let entry = Rc::new(Entry::new(Rc::clone(&settings)));
    let listener = Rc::new(TcpListener::bind(callers).await?);
    spawn_with_state(&entry, "readiness", move |entry| {
        serve_readiness(readiness, entry)
    });
    spawn_local(metrics::serve_metrics(settings.ip));
    follow_tables(&entry);
    spawn_with_state(&entry, "reports", reports::run);
    spawn_with_state(&entry, "upstreams_server", upstreams_server::run);
    spawn_with_state(&entry, "cleanup", run_cleanup);
    let accept_task = spawn_with_state(&entry, "accept", move |entry| {
        connections::accept(entry, Rc::clone(&listener))
    });
    loop {
        match signals.next().await {
            SignalAction::Stop => break,
            SignalAction::Reload => crate::check_settings_file(&path, &settings),
        }
    }
    shutdown::run(&entry, &accept_task).await;
    Ok(())
}

async fn serve_readiness(address: SocketAddr, entry: Rc<Entry>) {
    let result = serve(address, move |_request| {
        let status = if entry.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        async move { respond(status, Bytes::new()) }
    })
    .await;
    if let Err(error) = result {
        log::error!(event = "listener.failed", address:% = address, error:% = error; "cannot serve readiness checks");
    }
}

fn follow_tables(entry: &Rc<Entry>) {
    let limits = poll_limits(&entry.settings.bounds);
    let watcher = TableWatcher {
        table: Table::Operators,
        store: entry.settings.store_address,
        long_poll_wait: limits.long_poll(),
    };
    spawn_with_state(entry, "operators_table", move |entry| {
        watcher.run(move |event| {
            let has_new_version = entry.catalog.borrow_mut().apply_operator_event(event);
            if has_new_version {
                entry.version_declared.notify_one();
            }
            eligibility::check_restrictions(&entry);
            OPERATORS_POLL_PAUSE
        })
    });
    let watcher = TableWatcher {
        table: Table::Upstreams,
        ..watcher
    };
    spawn_with_state(entry, "upstreams_table", move |entry| {
        watcher.run(move |event| {
            let changes = entry.catalog.borrow_mut().apply_upstream_event(event);
            discard_stale_state(&entry, &changes);
            let pause = limits.upstreams_pause(&changes);
            PollPause {
                min: pause,
                max: pause,
            }
        })
    });
}

/// Discards state and idle connections of upstreams that left or restarted.
fn discard_stale_state(entry: &Entry, changes: &[DirectoryChange]) {
    cold_start::record_changes(entry, changes);
    for change in changes {
        match change {
            DirectoryChange::Gone(id) => entry.remove_upstream(id),
            DirectoryChange::Joined(upstream) => entry.remove_upstream(&upstream.id),
            DirectoryChange::Leaving(id) => entry.pools.close_idle(id),
            DirectoryChange::Updated(_) | DirectoryChange::Lapsed(..) => {}
        }
    }
}

async fn run_cleanup(entry: Rc<Entry>) {
    loop {
        sleep(CLEANUP_INTERVAL).await;
        entry.catalog.borrow_mut().adopt_held_configuration();
        entry.catalog.borrow_mut().expire_evacuations();
        entry.closed.borrow_mut().expire(clock::now());
        eligibility::check_restrictions(&entry);
        let changes = entry.catalog.borrow_mut().expire();
        discard_stale_state(&entry, &changes);
        entry.connections.apply_limits(&entry.limits());
        entry.pools.close_expired();
        cold_start::update_gauge(&entry);
    }
}
