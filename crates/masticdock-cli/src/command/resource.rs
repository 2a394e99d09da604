//! `masticdock get`, `describe` and `delete`.

use std::process::ExitCode;

use masticdock_core::operator_api::ResourceList;
use masticdock_core::resource::{Resource, ResourceChange, ResourceKey};

use super::apply;
use crate::cli::{OutputFormat, ResourceArgs};
use crate::client::Client;
use crate::error::{CliError, CliErrorKind};
use crate::output;

pub(super) fn get(
    client: &Client,
    format: OutputFormat,
    args: &ResourceArgs,
) -> Result<ExitCode, CliError> {
    let list = client.resources(args.kind, args.name.as_deref())?;
    output::print(format, &list, resource_table)?;
    Ok(ExitCode::SUCCESS)
}

fn resource_table(list: &ResourceList) -> String {
    let mut rows = Vec::with_capacity(list.resources.len());
    for entry in &list.resources {
        let key = entry.resource.key();
        rows.push(vec![
            key.name.to_string(),
            entry.revision.to_string(),
            summary(&entry.resource),
        ]);
    }
    output::table(&["NAME", "REVISION", "SUMMARY"], &rows)
}

fn summary(resource: &Resource) -> String {
    match resource {
        Resource::Model(model) => model.description.to_string(),
        Resource::Version(version) => format!("{} of model {}", version.size_bytes, version.model),
        Resource::Adapter(adapter) => format!("{} on {}", adapter.size_bytes, adapter.base),
        Resource::Rollout(rollout) => {
            let paused = if rollout.paused { ", paused" } else { "" };
            format!("{} on `{}`{paused}", rollout.version, rollout.selector)
        }
        Resource::Service(service) => {
            let idempotency = if service.idempotent {
                "idempotent"
            } else {
                "not idempotent"
            };
            format!("{idempotency}, timeout {} ms", service.timeout_ms)
        }
        Resource::Workspace(workspace) => format!(
            "{}/s, {} at once",
            workspace.rate_per_s, workspace.concurrency
        ),
        Resource::VmLabels(labels) => {
            let pairs: Vec<String> = labels
                .labels
                .iter()
                .map(|(key, value)| format!("{key}={value}"))
                .collect();
            pairs.join(", ")
        }
        Resource::VmMark(mark) => format!("{:?}", mark.mark).to_lowercase(),
    }
}

fn required_key(args: &ResourceArgs) -> Result<ResourceKey, CliError> {
    let Some(name) = &args.name else {
        return Err(CliError::usage("no name is given")
            .with_tip(format!("`masticdock get {}` lists the names", args.kind)));
    };
    Ok(ResourceKey {
        kind: args.kind,
        name: name.clone(),
    })
}

pub(super) fn describe(
    client: &Client,
    format: OutputFormat,
    args: &ResourceArgs,
) -> Result<ExitCode, CliError> {
    let key = required_key(args)?;
    let list = client.resources(key.kind, Some(&key.name))?;
    let Some(entry) = list.resources.first() else {
        return Err(CliError::new(
            CliErrorKind::NotFound,
            format!("there is no {key}"),
        ));
    };
    // Resources are written in YAML, so YAML replaces the table format here.
    let format = if format == OutputFormat::Table {
        OutputFormat::Yaml
    } else {
        format
    };
    output::print(format, &entry.resource, |_| String::new())?;
    Ok(ExitCode::SUCCESS)
}

pub(super) fn delete(
    client: &Client,
    args: &ResourceArgs,
    dry_run: bool,
) -> Result<ExitCode, CliError> {
    let key = required_key(args)?;
    let answer = client.change(vec![ResourceChange::Delete(key.clone())], None, dry_run)?;
    apply::print_outcome(&key.to_string(), "deleted", &answer, dry_run);
    apply::print_matches_and_warnings(&answer);
    Ok(ExitCode::SUCCESS)
}
