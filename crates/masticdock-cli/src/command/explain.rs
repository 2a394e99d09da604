//! `masticdock explain`.

use std::process::ExitCode;

use masticdock_core::event;

use crate::error::{CliError, CliErrorKind};

pub(super) fn run(number: u16) -> Result<ExitCode, CliError> {
    let Some(event) = event::find(number) else {
        return Err(CliError::new(
            CliErrorKind::NotFound,
            format!("there is no event {number}"),
        )
        .with_tip("event numbers appear in log lines as `[E4000]`; docs/EVENTS.md lists them"));
    };
    println!("event {} ({})", event.number, event.level.as_str());
    println!("meaning: {}", event.meaning);
    println!("action:  {}", event.action);
    Ok(ExitCode::SUCCESS)
}
