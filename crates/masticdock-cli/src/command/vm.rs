//! `masticdock vm`.

use std::process::ExitCode;

use compact_str::CompactString;
use masticdock_core::ids::{Revision, VmId};
use masticdock_core::operator_api::VmList;
use masticdock_core::resource::{
    Labels, Mark, Resource, ResourceChange, ResourceKey, ResourceKind, VmLabels, VmMark,
};
use masticdock_core::rollout::BuiltinLabels;
use masticdock_core::selector::Selector;

use super::apply;
use crate::cli::{OutputFormat, VmCommand};
use crate::client::Client;
use crate::error::{CliError, CliErrorKind};
use crate::output;

pub(super) fn run(
    client: &Client,
    format: OutputFormat,
    command: &VmCommand,
) -> Result<ExitCode, CliError> {
    match command {
        VmCommand::List { selector } => list(client, format, selector.as_deref()),
        VmCommand::Label { vm, labels } => label(client, vm, labels),
        VmCommand::Drain { vm } => mark(client, vm, Mark::Leaving),
        VmCommand::Stop { vm } => mark(client, vm, Mark::Stopping),
        VmCommand::Undrain { vm } => undrain(client, vm),
    }
}

fn list(
    client: &Client,
    format: OutputFormat,
    selector: Option<&str>,
) -> Result<ExitCode, CliError> {
    let mut vms = client.vms()?;
    if let Some(text) = selector {
        retain_selected(&mut vms, text)?;
    }
    output::print(format, &vms, vm_table)?;
    Ok(ExitCode::SUCCESS)
}

fn retain_selected(vms: &mut VmList, selector: &str) -> Result<(), CliError> {
    let selector: Selector = selector
        .parse()
        .map_err(|error| CliError::usage(format!("{error}")))?;
    vms.vms.retain(|vm| {
        let builtin = BuiltinLabels {
            vm: vm.id.as_str(),
            zone: vm.zone.as_str(),
            region: vm.region.as_str(),
        };
        selector.matches_with(|key| builtin.value(Some(&vm.labels), key))
    });
    Ok(())
}

fn vm_table(list: &VmList) -> String {
    let mut rows = Vec::with_capacity(list.vms.len());
    for vm in &list.vms {
        let version = vm.serving_version.as_ref();
        let labels: Vec<String> = vm
            .labels
            .iter()
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        rows.push(vec![
            vm.id.to_string(),
            vm.zone.to_string(),
            format!("{:?}", vm.liveness).to_lowercase(),
            format!("{:?}", vm.phase).to_lowercase(),
            version.map_or_else(|| "-".to_owned(), ToString::to_string),
            if vm.leaving { "yes" } else { "no" }.to_owned(),
            labels.join(","),
        ]);
    }
    output::table(
        &[
            "VM", "ZONE", "LIVENESS", "PHASE", "VERSION", "LEAVING", "LABELS",
        ],
        &rows,
    )
}

fn label(client: &Client, vm: &VmId, edits: &[CompactString]) -> Result<ExitCode, CliError> {
    let (mut labels, revision) = current_labels(client, vm)?;
    for edit in edits {
        apply_edit(&mut labels, edit)?;
    }
    let resource = Resource::VmLabels(VmLabels {
        name: vm.clone(),
        labels,
    });
    change(
        client,
        vec![ResourceChange::Put(resource)],
        revision,
        vm,
        "labelled",
    )
}

fn current_labels(client: &Client, vm: &VmId) -> Result<(Labels, Option<Revision>), CliError> {
    let list = match client.resources(ResourceKind::VmLabels, Some(vm.as_str())) {
        Ok(list) => list,
        Err(error) if error.kind == CliErrorKind::NotFound => return Ok((Labels::new(), None)),
        Err(error) => return Err(error),
    };
    let mut labels = Labels::new();
    for entry in list.resources {
        if let Resource::VmLabels(current) = entry.resource {
            labels = current.labels;
        }
    }
    Ok((labels, Some(list.revision)))
}

fn apply_edit(labels: &mut Labels, edit: &CompactString) -> Result<(), CliError> {
    if let Some((key, value)) = edit.split_once('=')
        && !key.is_empty()
    {
        labels.insert(CompactString::new(key), CompactString::new(value));
        return Ok(());
    }
    if let Some(key) = edit.strip_suffix('-')
        && !key.is_empty()
    {
        labels.remove(key);
        return Ok(());
    }
    Err(CliError::usage(format!("invalid label `{edit}`"))
        .with_tip("use `key=value` to set a label or `key-` to remove it"))
}

fn mark(client: &Client, vm: &VmId, mark: Mark) -> Result<ExitCode, CliError> {
    let resource = Resource::VmMark(VmMark {
        name: vm.clone(),
        mark,
    });
    let verb = match mark {
        Mark::Leaving => "marked as leaving",
        Mark::Stopping => "marked as stopping",
    };
    change(client, vec![ResourceChange::Put(resource)], None, vm, verb)
}

fn undrain(client: &Client, vm: &VmId) -> Result<ExitCode, CliError> {
    let key = ResourceKey {
        kind: ResourceKind::VmMark,
        name: CompactString::new(vm.as_str()),
    };
    change(
        client,
        vec![ResourceChange::Delete(key)],
        None,
        vm,
        "unmarked",
    )
}

fn change(
    client: &Client,
    changes: Vec<ResourceChange>,
    expected_revision: Option<Revision>,
    vm: &VmId,
    verb: &str,
) -> Result<ExitCode, CliError> {
    let answer = client.change(changes, expected_revision, false)?;
    apply::print_outcome(&format!("vm/{vm}"), verb, &answer, false);
    apply::print_matches_and_warnings(&answer);
    Ok(ExitCode::SUCCESS)
}
