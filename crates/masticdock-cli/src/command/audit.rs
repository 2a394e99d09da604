//! `masticdock audit`.

use std::process::ExitCode;
use std::time::{Duration, SystemTime};

use masticdock_core::operator_api::AuditPage;
use masticdock_core::resource::ResourceChange;

use crate::cli::{AuditArgs, OutputFormat};
use crate::client::Client;
use crate::error::CliError;
use crate::output;

pub(super) fn run(
    client: &Client,
    format: OutputFormat,
    args: &AuditArgs,
) -> Result<ExitCode, CliError> {
    let page = client.audit(args.after, args.limit)?;
    output::print(format, &page, audit_table)?;
    Ok(ExitCode::SUCCESS)
}

fn audit_table(page: &AuditPage) -> String {
    let mut rows = Vec::new();
    for change in &page.changes {
        let accepted_at =
            SystemTime::UNIX_EPOCH + Duration::from_millis(change.accepted_at_unix_ms.0);
        let mut operations = Vec::with_capacity(change.changes.len());
        for resource in &change.changes {
            let verb = match resource {
                ResourceChange::Put(_) => "put",
                ResourceChange::Delete(_) => "delete",
            };
            operations.push(format!("{verb} {}", resource.key()));
        }
        rows.push(vec![
            change.revision.to_string(),
            humantime::format_rfc3339_seconds(accepted_at).to_string(),
            change.operator.to_string(),
            operations.join(", "),
        ]);
    }
    output::table(&["REVISION", "TIME", "OPERATOR", "WHAT"], &rows)
}
