//! The agent: keeps the weights of the upstream on its VM at the declared version.

mod engine_watch;
mod fetch;
mod fetcher;
mod links;
mod peer_client;
mod peer_server;
mod pieces;
mod reporter;
mod state;
mod store_watch;
mod switcher;

use std::path::PathBuf;
use std::rc::Rc;

use masticdock_adapter::NodeSettings;
use tokio::task::spawn_local;

use crate::StartError;
use crate::signals::{SignalAction, Signals};
use state::Agent;

/// Runs the agent until it is told to stop.
pub(crate) async fn run(settings: Rc<NodeSettings>, path: PathBuf) -> Result<(), StartError> {
    let mut signals = Signals::register()?;
    let Some(upstream) = settings.upstream_address else {
        return Err(StartError::Io(std::io::Error::other(
            "the settings name no upstream on this VM; tip: run the agent beside an upstream",
        )));
    };
    let agent = Rc::new(Agent::new(Rc::clone(&settings), upstream));
    spawn_local(store_watch::run(Rc::clone(&agent)));
    spawn_local(engine_watch::run(Rc::clone(&agent)));
    spawn_local(fetcher::run(Rc::clone(&agent)));
    spawn_local(switcher::run(Rc::clone(&agent)));
    spawn_local(reporter::run(Rc::clone(&agent)));
    spawn_local(peer_server::run(Rc::clone(&agent)));
    loop {
        match signals.next().await {
            SignalAction::Stop => {
                log::info!(event = "process.stopping"; "SIGTERM received");
                return Ok(());
            }
            SignalAction::Reload => crate::check_settings_file(&path, &settings),
        }
    }
}
