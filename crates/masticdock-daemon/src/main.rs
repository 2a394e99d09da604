//! The masticdock daemon: `entry` on entry VMs, `agent` beside each upstream.

// Parts of the skeleton are not wired yet.
#![allow(dead_code, unused_imports, clippy::unused_self)]

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
