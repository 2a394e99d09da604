//! `masticdock rollout`.

use std::io::IsTerminal;
use std::process::ExitCode;
use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};
use masticdock_core::config_log::{ConfigState, StoredResource};
use masticdock_core::ids::{Revision, RolloutId};
use masticdock_core::operator_api::{RolloutState, RolloutStatus};
use masticdock_core::resource::{Resource, ResourceChange, ResourceKind, Rollout};
use masticdock_core::rollout;

use super::apply;
use crate::cli::{OutputFormat, RolloutCommand, StatusArgs};
use crate::client::Client;
use crate::error::{CliError, CliErrorKind};
use crate::output;

/// Exit status of a rollout that halted automatically.
const EXIT_HALTED: u8 = 6;

pub(super) fn run(
    client: &Client,
    format: OutputFormat,
    command: &RolloutCommand,
) -> Result<ExitCode, CliError> {
    match command {
        RolloutCommand::Status(args) if args.watch => watch(client, args),
        RolloutCommand::Status(args) => {
            let status = client.rollout_status(&args.name)?;
            output::print(format, &status, status_text)?;
            Ok(exit_code(&status))
        }
        RolloutCommand::Pause { name } => update(client, name, "paused", |rollout| {
            rollout.paused = true;
            Ok(())
        }),
        RolloutCommand::Resume { name } => update(client, name, "resumed", |rollout| {
            rollout.paused = false;
            Ok(())
        }),
        RolloutCommand::Undo { name } => update(
            client,
            name,
            "returned to its previous version",
            |rollout| undo(client, rollout),
        ),
    }
}

/// Restores the previous version and removes adapters that do not belong to it.
fn undo(client: &Client, rollout: &mut Rollout) -> Result<(), CliError> {
    let mut resources = Vec::new();
    for kind in [ResourceKind::Version, ResourceKind::Adapter] {
        for entry in client.resources(kind, None)?.resources {
            resources.push(StoredResource {
                revision: entry.revision,
                resource: entry.resource,
            });
        }
    }
    let config = ConfigState::from_resources(Revision::default(), resources);
    *rollout = rollout::undo(&config, rollout).map_err(|error| {
        let message = format!("rollout {} cannot be undone: {error}", rollout.name);
        CliError::new(CliErrorKind::Failed, message)
    })?;
    Ok(())
}

/// Updates a rollout unless the configuration changed since it was read.
fn update(
    client: &Client,
    name: &RolloutId,
    verb: &str,
    change: impl FnOnce(&mut Rollout) -> Result<(), CliError>,
) -> Result<ExitCode, CliError> {
    let list = client.resources(ResourceKind::Rollout, Some(name.as_str()))?;
    let revision: Revision = list.revision;
    let Some(Resource::Rollout(mut rollout)) = list
        .resources
        .into_iter()
        .next()
        .map(|entry| entry.resource)
    else {
        return Err(CliError::new(
            CliErrorKind::NotFound,
            format!("there is no rollout {name}"),
        ));
    };
    change(&mut rollout)?;
    let changes = vec![ResourceChange::Put(Resource::Rollout(rollout))];
    let answer = client.change(changes, Some(revision), false)?;
    apply::print_outcome(&format!("rollout/{name}"), verb, &answer, false);
    apply::print_matches_and_warnings(&answer);
    Ok(ExitCode::SUCCESS)
}

fn state_text(state: &RolloutState) -> String {
    match state {
        RolloutState::Progressing => "progressing".to_owned(),
        RolloutState::Complete => "complete".to_owned(),
        RolloutState::Paused => "paused".to_owned(),
        RolloutState::Halted { reason } => format!("halted: {reason}"),
    }
}

fn status_line(status: &RolloutStatus) -> String {
    format!(
        "{}: {} of {} VMs serve {} ({} fetching, {} waiting, {} switching, {} failed), {}",
        status.rollout,
        status.serving,
        status.selected,
        status.version,
        status.fetching,
        status.verified,
        status.switching,
        status.failed.len(),
        state_text(&status.state)
    )
}

fn status_text(status: &RolloutStatus) -> String {
    let mut text = status_line(status);
    text.push('\n');
    for vm in &status.failed {
        text.push_str("failed on VM ");
        text.push_str(vm.as_str());
        text.push('\n');
    }
    text
}

fn exit_code(status: &RolloutStatus) -> ExitCode {
    match status.state {
        RolloutState::Halted { .. } => ExitCode::from(EXIT_HALTED),
        _ => ExitCode::SUCCESS,
    }
}

fn watch(client: &Client, args: &StatusArgs) -> Result<ExitCode, CliError> {
    let bar = progress_bar();
    let mut last = String::new();
    loop {
        let status = client.rollout_status(&args.name)?;
        let line = status_line(&status);
        if let Some(bar) = &bar {
            bar.set_length(u64::from(status.selected));
            bar.set_position(u64::from(status.serving));
            bar.set_message(state_text(&status.state));
        } else if line != last {
            println!("{line}");
        }
        last.clone_from(&line);
        let ended = matches!(
            status.state,
            RolloutState::Complete | RolloutState::Halted { .. }
        );
        if ended {
            if let Some(bar) = bar {
                bar.finish_and_clear();
                println!("{line}");
            }
            return Ok(exit_code(&status));
        }
        std::thread::sleep(Duration::from_millis(args.interval_ms));
    }
}

/// Returns a progress bar, or `None` when standard output is not a terminal.
fn progress_bar() -> Option<ProgressBar> {
    if !std::io::stdout().is_terminal() {
        return None;
    }
    let bar = ProgressBar::new(0);
    let style = if std::env::var_os("NO_COLOR").is_some() {
        "{bar:40} {pos}/{len} VMs {msg}"
    } else {
        "{bar:40.green} {pos}/{len} VMs {msg}"
    };
    if let Ok(style) = ProgressStyle::with_template(style) {
        bar.set_style(style);
    }
    Some(bar)
}
