//! The agent: brings the engine on its VM to the newest declared version of the model
//! weights, and serves chunks of weights to other agents.

mod crashes;
mod engine_poll;
mod fetch_loop;
mod link_speeds;
mod load_check;
mod peer_client;
mod peer_server;
mod reporter;
mod stage;
mod state;
mod store_reads;
mod switch_loop;
mod version_chunks;
mod version_fetch;

use std::path::PathBuf;
use std::rc::Rc;

use masticdock_adapter::NodeSettings;

use crate::StartError;
use crate::signals::{SignalAction, Signals};
use crate::tasks::spawn_with_state;
use state::Agent;

/// Runs the agent until it receives SIGTERM.
pub(crate) async fn run(settings: Rc<NodeSettings>, path: PathBuf) -> Result<(), StartError> {
    let mut signals = Signals::register()?;
    let Some(upstream) = settings.upstream_address else {
        return Err(StartError::Io(std::io::Error::other(
            "the settings name no upstream on this VM; tip: run the agent on the VM of an upstream",
        )));
    };
    let agent = Rc::new(Agent::new(Rc::clone(&settings), upstream));
    spawn_with_state(&agent, "store_reads", store_reads::run);
    spawn_with_state(&agent, "engine_poll", engine_poll::run);
    spawn_with_state(&agent, "fetch_loop", fetch_loop::run);
    spawn_with_state(&agent, "switch_loop", switch_loop::run);
    spawn_with_state(&agent, "reporter", reporter::run);
    spawn_with_state(&agent, "peer_server", peer_server::run);
    loop {
        match signals.next().await {
            SignalAction::Stop => {
                log::info!(event = "process.stopping"; "SIGTERM received; stopping");
                return Ok(());
            }
            SignalAction::Reload => crate::check_settings_file(&path, &settings),
        }
    }
}
