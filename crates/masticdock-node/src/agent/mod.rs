//! The agent: brings the engine on its VM to the newest declared version of the model
//! weights, and serves chunks of weights to other agents.

mod crashes;
mod engine_poll;
mod fetch_loop;
mod link_speeds;
mod peer_client;
mod peer_server;
mod reporter;
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
use crate::tasks::spawn_restarted;
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
    spawn_for(&agent, "store_reads", store_reads::run);
    spawn_for(&agent, "engine_poll", engine_poll::run);
    spawn_for(&agent, "fetch_loop", fetch_loop::run);
    spawn_for(&agent, "switch_loop", switch_loop::run);
    spawn_for(&agent, "reporter", reporter::run);
    spawn_for(&agent, "peer_server", peer_server::run);
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

fn spawn_for<T>(agent: &Rc<Agent>, name: &'static str, run: impl Fn(Rc<Agent>) -> T + 'static)
where
    T: Future<Output = ()> + 'static,
{
    let agent = Rc::clone(agent);
    spawn_restarted(name, move || run(Rc::clone(&agent)));
}
