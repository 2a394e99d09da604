//! The masticdock daemon: `entry` on entry VMs, `agent` beside each upstream.

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
