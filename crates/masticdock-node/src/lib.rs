//! Processes of masticdock on the users' platform: the entry, which accepts requests
//! from callers, and the agent, which distributes model weights to the engine on its
//! VM.

mod agent;
mod clock;
mod configuration_check;
mod datagram;
mod entry;
mod http_server;
mod json_log;
mod metrics;
mod pauses;
mod signals;
mod tables;
mod tasks;
mod upstream_list;

use std::rc::Rc;

pub use configuration_check::{CheckError, ConfigurationReport, check_configuration_file};
pub use http_server::{ResponseBody, respond, serve, serve_on};
use masticdock_adapter::{NodeSettings, read_settings, settings_path};
pub use tasks::spawn_restarted;

/// Error that prevents a process from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings file cannot be read or is invalid.
    #[error(transparent)]
    Settings(#[from] masticdock_adapter::ReadSettingsError),
    /// An address cannot be bound or is missing from the settings, or the runtime cannot
    /// be created.
    #[error("cannot start: {0}")]
    Io(#[from] std::io::Error),
}

/// Role that a process runs in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Accepts requests from callers and routes them to upstreams.
    Entry,
    /// Fetches model weights and loads them into the engine on its VM.
    Agent,
}

/// Runs a process until it receives SIGTERM.
///
/// # Errors
///
/// Returns [`StartError`] if the settings are invalid, or if an address or the runtime
/// is unavailable.
pub fn run(role: Role) -> Result<(), StartError> {
    let path = settings_path();
    let settings = Rc::new(read_settings(&path)?);
    let log = json_log::install(&settings.node);
    tasks::report_panics();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    log_start(role, &settings);
    let tasks = tokio::task::LocalSet::new();
    let result = tasks.block_on(&runtime, async {
        tokio::task::spawn_local(pauses::watch());
        match role {
            Role::Entry => entry::run(settings, path).await,
            Role::Agent => agent::run(settings, path).await,
        }
    });
    log::info!(event = "process.stopped", failed = result.is_err(); "process stopped");
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
        "process started"
    );
}

/// Validates the settings file and logs whether it differs from the settings in use.
/// Every change, including addresses and the VM, takes effect only after a restart.
fn check_settings_file(path: &std::path::Path, current: &NodeSettings) {
    match read_settings(path) {
        Ok(settings) => log::info!(
            event = "process.reloaded",
            changed = settings != *current;
            "SIGHUP received; the settings file is valid, but changes need a restart"
        ),
        Err(error) => log::warn!(
            event = "process.reload_failed",
            error:% = error;
            "SIGHUP received; invalid settings file; the previous settings stay in effect"
        ),
    }
}
