//! Command line of the demo and the measurements.

mod demo;

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use masticdock_bench::{spread, traffic};

/// Runs masticdock on this machine, with stand-ins for the platform.
#[derive(Debug, Parser)]
#[command(name = "masticdock-bench", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Rolls a second version out over four VMs while requests flow
    Demo,
    Spread(spread::SpreadArgs),
    /// Measures the request path, with faults or without
    Traffic(traffic::TrafficArgs),
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(
        env_logger::Env::default().default_filter_or("warn,masticdock_bench::spread=info"),
    )
    .init();
    let result = match Cli::parse().command {
        Command::Demo => demo::run(),
        Command::Spread(args) => spread::run(&args).map(|()| true),
        Command::Traffic(args) => traffic::run(&args).map(|()| true),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}
