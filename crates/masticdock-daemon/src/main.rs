//! The masticdock daemon: runs as `entry` on entry VMs and as `agent` next to each upstream.

mod agent;
mod cli;
mod control;
mod drain;
mod entry;
mod event_log;
mod metrics;
mod net;
mod request_http;
mod secrets;
mod settings;
mod status;
#[cfg(test)]
mod tests;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
