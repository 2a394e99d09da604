//! The entry: takes requests from callers and changes from operators.

use crate::settings::EntrySettings;

/// Runs an entry until it is told to stop.
///
/// # Errors
///
/// Fails when a listener cannot be opened or a secret cannot be read.
pub(crate) fn run(_settings: EntrySettings) -> anyhow::Result<()> {
    anyhow::bail!("the entry is not implemented yet")
}
