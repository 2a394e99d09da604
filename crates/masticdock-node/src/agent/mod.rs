//! The agent: keeps the weights of the upstream on its VM at the declared version.

mod engine_watch;
mod fetch;
mod keeper;
mod peer_server;
mod pieces;
mod reporter;
mod state;

use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use masticdock_adapter::{NodeSettings, Table};
use tokio::task::spawn_local;

use crate::StartError;
use crate::signals::{Request, Signals};
use crate::tables::Follower;
use state::Agent;

/// Longest wait for a declared version in one call; a version has 8 s.
const WAIT: Duration = Duration::from_secs(4);
/// Time between two reads of the store while changes come in quick succession:
/// an agent needs declared versions within a second, not each configuration.
const SETTLE: Duration = Duration::from_millis(300);

/// Runs the agent until it is told to stop.
pub(crate) async fn run(settings: Rc<NodeSettings>, path: PathBuf) -> Result<(), StartError> {
    let mut signals = Signals::register()?;
    let Some(upstream) = settings.upstream else {
        return Err(StartError::Io(std::io::Error::other(
            "the settings name no upstream on this VM; tip: run the agent beside an upstream",
        )));
    };
    let agent = Rc::new(Agent::new(Rc::clone(&settings), upstream));
    follow(&agent);
    spawn_local(engine_watch::run(Rc::clone(&agent)));
    spawn_local(keeper::run(Rc::clone(&agent)));
    spawn_local(reporter::run(Rc::clone(&agent)));
    spawn_local(peer_server::run(Rc::clone(&agent)));
    loop {
        match signals.next().await {
            Request::Stop => {
                log::info!(event = "process.stopping"; "SIGTERM received");
                return Ok(());
            }
            Request::Reload => crate::reload(&path, &settings),
        }
    }
}

fn follow(agent: &Rc<Agent>) {
    let follower = Follower {
        table: Table::Operators,
        store: agent.settings.store,
        wait: WAIT,
        settle: SETTLE,
    };
    let of_operators = Rc::clone(agent);
    spawn_local(follower.run(move |event| {
        of_operators.catalog.borrow_mut().apply_operators(event);
        of_operators.changed.notify_waiters();
    }));
}
