//! Event loops of masticdock on the users' platform: the entry that takes
//! requests of callers, and the agent that keeps the weights of one upstream.

mod agent;
mod clock;
mod entry;
mod http_server;
mod json_log;
mod metrics;
mod peer;
mod signals;
mod tables;

use std::rc::Rc;

pub use http_server::{ResponseBody, respond, serve, serve_on};
use masticdock_adapter::{NodeSettings, read_settings, settings_path};

/// Reports why a process could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] masticdock_adapter::ReadSettingsError),
    /// An address or the runtime is not to be had.
    #[error("cannot start: {0}")]
    Io(#[from] std::io::Error),
}

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Takes requests of callers.
    Entry,
    /// Keeps the weights of the upstream on its VM.
    Agent,
}

/// Runs a process of the platform's deployment until it is told to stop.
///
/// # Errors
///
/// Reports settings that cannot be used and addresses that are taken.
pub fn run(role: Role) -> Result<(), StartError> {
    let path = settings_path();
    let settings = Rc::new(read_settings(&path)?);
    let log = json_log::install(&settings.node);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    log_start(role, &settings);
    let tasks = tokio::task::LocalSet::new();
    let result = tasks.block_on(&runtime, async {
        match role {
            Role::Entry => entry::run(settings, path).await,
            Role::Agent => agent::run(settings, path).await,
        }
    });
    log::info!(event = "process.stopped", failed = result.is_err(); "process stops");
    log.flush();
    result
}

fn log_start(role: Role, settings: &NodeSettings) {
    log::info!(
        event = "process.started",
        role:? = role,
        zone = settings.zone.as_str(),
        store:% = settings.store_address,
        version = env!("CARGO_PKG_VERSION");
        "process starts"
    );
}

/// Reads the settings again; addresses and the VM stay what they were at start.
fn reload(path: &std::path::Path, current: &NodeSettings) {
    match read_settings(path) {
        Ok(settings) => log::info!(
            event = "process.reloaded",
            changed = settings != *current;
            "SIGHUP received; settings that need a restart stay as they are"
        ),
        Err(error) => log::warn!(
            event = "process.reload_failed",
            error:% = error;
            "SIGHUP received; the settings file cannot be used, the old settings stay"
        ),
    }
}
