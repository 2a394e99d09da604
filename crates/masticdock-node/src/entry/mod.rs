//! The entry: takes requests of callers and sends them to upstreams.

mod answer;
mod attempt;
mod candidates;
mod connections;
mod outcome;
mod pool;
mod relay;
mod reports;
mod request;
mod shutdown;
mod state;

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
use crate::http_server::{respond, serve};
use crate::metrics;
use crate::signals::{SignalAction, Signals};
use crate::tables::TableWatcher;
use state::Entry;

/// Longest wait for a change of a table. Together with the time for the answer
/// it stays under 3 s, after which a calm VM has to know what changed.
const WAIT: Duration = Duration::from_secs(2);
/// Time between two calls while the configuration changes in quick succession; it
/// has to be in force after 2 s.
const SETTLE: Duration = Duration::from_millis(100);
/// The same for rows of upstreams, which change often: agents tell what matters
/// of an engine, and who leaves goes on serving for 2 s.
const UPSTREAMS_SETTLE: Duration = Duration::from_millis(250);
/// Time between two looks at lapsed upstreams and idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the entry until it is told to stop.
pub(crate) async fn run(settings: Rc<NodeSettings>, path: PathBuf) -> Result<(), StartError> {
    let mut signals = Signals::register()?;
    let (Some(callers), Some(readiness)) = (settings.callers_address, settings.readiness_address)
    else {
        return Err(StartError::Io(std::io::Error::other(
            "the settings name no address for callers; tip: run the entry on a VM that callers reach",
        )));
    };
    let entry = Rc::new(Entry::new(Rc::clone(&settings)));
    let listener = TcpListener::bind(callers).await?;
    spawn_local(serve_readiness(readiness, Rc::clone(&entry)));
    spawn_local(metrics::serve_metrics(settings.ip));
    follow(&entry);
    spawn_local(reports::run(Rc::clone(&entry)));
    spawn_local(sweep(Rc::clone(&entry)));
    let accepting = spawn_local(connections::accept(Rc::clone(&entry), listener));
    loop {
        match signals.next().await {
            SignalAction::Stop => break,
            SignalAction::Reload => crate::check_settings_file(&path, &settings),
        }
    }
    shutdown::run(&entry, &accepting).await;
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
        log::error!(event = "listener.failed", address:% = address, error:% = error; "cannot answer readiness checks");
    }
}

fn follow(entry: &Rc<Entry>) {
    let follower = TableWatcher {
        table: Table::Operators,
        store: entry.settings.store_address,
        long_poll_wait: WAIT,
        batch_window: SETTLE,
    };
    let of_operators = Rc::clone(entry);
    spawn_local(follower.run(move |event| {
        let mut catalog = of_operators.catalog.borrow_mut();
        if catalog.apply_operator_event(event) {
            of_operators.versions_changed.notify_one();
        }
    }));
    let follower = TableWatcher {
        table: Table::Upstreams,
        batch_window: UPSTREAMS_SETTLE,
        ..follower
    };
    let of_upstreams = Rc::clone(entry);
    spawn_local(follower.run(move |event| {
        let changes = of_upstreams
            .catalog
            .borrow_mut()
            .apply_upstream_event(event);
        forget(&of_upstreams, &changes);
    }));
}

/// Drops what is known of upstreams that are gone or were restarted.
fn forget(entry: &Entry, changes: &[DirectoryChange]) {
    for change in changes {
        match change {
            DirectoryChange::Gone(id) => entry.forget(id),
            DirectoryChange::Joined(upstream) => entry.forget(&upstream.id),
            DirectoryChange::Leaving(id) => entry.pools.close_idle(id),
            DirectoryChange::Updated(_) | DirectoryChange::Lapsed(..) => {}
        }
    }
}

async fn sweep(entry: Rc<Entry>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let changes = entry.catalog.borrow_mut().expire();
        forget(&entry, &changes);
        entry.connections.sweep(&entry.limits());
        entry.pools.sweep();
    }
}
