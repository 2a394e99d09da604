//! Implementations of the subcommands.

mod apply;
mod audit;
mod explain;
mod manifest;
mod resource;
mod rollout;
mod trace;
mod vm;

use std::process::ExitCode;

use clap::CommandFactory;

use crate::cli::{Cli, Command};
use crate::client::Client;
use crate::error::CliError;

/// Runs a subcommand and returns its exit status.
///
/// # Errors
///
/// Returns why the command failed, with a tip if one is known.
pub(crate) fn run(cli: &Cli) -> Result<ExitCode, CliError> {
    let format = cli.access.output;
    match &cli.command {
        Command::Explain { number } => return explain::run(*number),
        Command::Manifest(args) => return manifest::run(args),
        Command::Trace(args) => return trace::run(args),
        Command::Completions { shell } => {
            let mut command = Cli::command();
            clap_complete::generate(*shell, &mut command, "masticdock", &mut std::io::stdout());
            return Ok(ExitCode::SUCCESS);
        }
        _ => {}
    }
    let client = Client::new(&cli.access)?;
    match &cli.command {
        Command::Apply(args) => apply::run(&client, args),
        Command::Get(args) => resource::get(&client, format, args),
        Command::Describe(args) => resource::describe(&client, format, args),
        Command::Delete { resource, dry_run } => resource::delete(&client, resource, *dry_run),
        Command::Rollout(command) => rollout::run(&client, format, command),
        Command::Vm(command) => vm::run(&client, format, command),
        Command::Audit(args) => audit::run(&client, format, args),
        Command::Explain { .. }
        | Command::Manifest(_)
        | Command::Trace(_)
        | Command::Completions { .. } => Ok(ExitCode::SUCCESS),
    }
}
