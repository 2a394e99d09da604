//! `masticdock apply`.

use std::io::Read;
use std::path::Path;
use std::process::ExitCode;

use masticdock_core::ids::Revision;
use masticdock_core::operator_api::ChangeAnswer;
use masticdock_core::resource::{Resource, ResourceChange};

use crate::cli::ApplyArgs;
use crate::client::Client;
use crate::error::CliError;
use crate::yaml;

pub(super) fn run(client: &Client, args: &ApplyArgs) -> Result<ExitCode, CliError> {
    let resources = read_resources(&args.file)?;
    let mut changes = Vec::with_capacity(resources.len());
    for resource in resources {
        changes.push(ResourceChange::Put(resource));
    }
    let keys: Vec<String> = changes
        .iter()
        .map(|change| change.key().to_string())
        .collect();
    let answer = client.change(changes, args.expected_revision.map(Revision), args.dry_run)?;
    for key in keys {
        print_outcome(&key, "applied", &answer, args.dry_run);
    }
    print_matches_and_warnings(&answer);
    Ok(ExitCode::SUCCESS)
}

pub(super) fn print_outcome(key: &str, verb: &str, answer: &ChangeAnswer, dry_run: bool) {
    if dry_run {
        println!(
            "{key} would be {verb} (dry run at revision {})",
            answer.revision
        );
    } else {
        println!("{key} {verb} at revision {}", answer.revision);
    }
}

pub(super) fn print_matches_and_warnings(answer: &ChangeAnswer) {
    for (rollout, vms) in &answer.matched {
        let names: Vec<&str> = vms.iter().map(masticdock_core::ids::VmId::as_str).collect();
        println!(
            "rollout {rollout} selects {} VMs: {}",
            vms.len(),
            names.join(", ")
        );
    }
    for warning in &answer.warnings {
        eprintln!("warning: {warning}");
    }
}

fn read_resources(path: &Path) -> Result<Vec<Resource>, CliError> {
    let text = read_text(path)?;
    let mut resources = Vec::new();
    for document in yaml::documents(&text) {
        let resource = yaml::parse_resource(&document).map_err(|error| {
            let mut location = path.display().to_string();
            if let Some(line) = error.line {
                location = format!("{location}:{line}");
            }
            let tip = error.tip.unwrap_or_else(|| {
                "`masticdock describe KIND NAME` shows the fields of a resource".to_owned()
            });
            CliError::usage(format!("{location}: {}", error.message)).with_tip(tip)
        })?;
        resource
            .check()
            .map_err(|error| CliError::usage(format!("{}: {error}", resource.key())))?;
        resources.push(resource);
    }
    if resources.is_empty() {
        return Err(CliError::usage(format!(
            "{} contains no resources",
            path.display()
        )));
    }
    Ok(resources)
}

fn read_text(path: &Path) -> Result<String, CliError> {
    let result = if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(path)
    };
    result.map_err(|error| CliError::usage(format!("cannot read {}: {error}", path.display())))
}
